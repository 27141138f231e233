//! Plans are drawn from their seeds alone.

use fault_plan::SystemCallFault;
use fault_soak::plan::{Shape, SoakPlan, Trouble, TroubleKind};

const SHAPE: Shape = Shape { ingresses: 10, backends: 6, clients: 24, seconds: 8 };

#[test]
fn a_seed_gives_one_plan() {
    let plan = |seed| SoakPlan::draw(seed, SHAPE, &TroubleKind::ALL);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).troubles, plan(8).troubles);
}

#[test]
fn troubles_overlap_and_end_before_the_run() {
    for seed in 1..300 {
        let plan = SoakPlan::draw(seed, SHAPE, &TroubleKind::ALL);
        assert!(plan.troubles.len() >= 2, "{plan:?}");
        assert!(plan.troubles.iter().all(|trouble| trouble.until_ms <= 6500), "{plan:?}");
        let first = plan.troubles[0];
        assert!(plan.troubles[1..].iter().any(|other| other.overlaps(&first)), "{plan:?}");
    }
}

#[test]
fn troubles_of_given_kinds_alone_are_drawn() {
    let plan = SoakPlan::draw(3, SHAPE, &[TroubleKind::Reload]);
    assert!(plan.troubles.iter().all(|trouble| trouble.kind == TroubleKind::Reload));
}

/// A plan with these troubles.
fn plan_of(troubles: &[Trouble]) -> SoakPlan {
    SoakPlan { troubles: troubles.to_vec(), ..SoakPlan::draw(1, SHAPE, &TroubleKind::ALL) }
}

#[test]
fn the_shim_gets_what_strikes_its_process_by_the_clock_of_its_start() {
    let short = Trouble { kind: TroubleKind::ShortReads, from_ms: 3000, until_ms: 5000, target: 14 };
    let step = Trouble { kind: TroubleKind::ClockBack, from_ms: 2000, until_ms: 2500, target: 0 };
    let plan = plan_of(&[short, step]);
    let struck = plan.shim_plan(4, 2600);
    assert_eq!(struck.faults.len(), 1);
    assert_eq!((struck.faults[0].kind, struck.faults[0].from_ms), (SystemCallFault::ShortRead, 400));
    assert_eq!(struck.clock_offset_ms(0), -3_600_000, "stepped before the process started");
    let other = plan.shim_plan(5, 0);
    assert!(other.faults.is_empty());
    assert_eq!((other.clock_offset_ms(1999), other.clock_offset_ms(2000)), (0, -3_600_000));
}
