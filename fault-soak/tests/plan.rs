//! Plans are drawn from their seeds alone.

use fault_plan::FaultKind;
use fault_soak::plan::{Shape, SoakPlan, Trouble, TroubleKind};

const SHAPE: Shape = Shape { ingresses: 10, backends: 6, clients: 24, seconds: 8 };

/// A run of the soak fails, and somebody plays its seed again to find the cause. The same seed has to give the same
/// faults at the same times, and another seed others.
#[test]
fn a_seed_gives_one_plan() {
    let plan = |seed| SoakPlan::draw(seed, SHAPE, &TroubleKind::ALL);
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).troubles, plan(8).troubles);
}

/// Each plan has at least two faults that overlap in time, as faults that come together are what the soak is for.
/// All end well before the run does, so that the ingresses have time to recover and a request that is lost is not
/// mistaken for one cut off by the end.
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

/// Somebody who searches for a cause has the soak play one kind of fault only. A fault of another kind in that plan
/// would lead the search astray.
#[test]
fn troubles_of_given_kinds_alone_are_drawn() {
    let plan = SoakPlan::draw(3, SHAPE, &[TroubleKind::Reload]);
    assert!(plan.troubles.iter().all(|trouble| trouble.kind == TroubleKind::Reload));
}

/// A plan with these troubles.
fn plan_of(troubles: &[Trouble]) -> SoakPlan {
    SoakPlan { troubles: troubles.to_vec(), ..SoakPlan::draw(1, SHAPE, &TroubleKind::ALL) }
}

/// Faults are planned by the time of the whole run, but a process that restarted counts from its own start. Its
/// plan must begin later by as much and include a clock that was stepped before it started; otherwise faults would
/// strike at other times, or other processes, than the report says.
#[test]
fn the_shim_gets_what_strikes_its_process_by_the_clock_of_its_start() {
    let short = Trouble { kind: TroubleKind::ShortReads, from_ms: 3000, until_ms: 5000, target: 14 };
    let step = Trouble { kind: TroubleKind::ClockBack, from_ms: 2000, until_ms: 2500, target: 0 };
    let plan = plan_of(&[short, step]);
    let struck = plan.shim_plan(4, 2600);
    assert_eq!(struck.faults.len(), 1);
    assert_eq!((struck.faults[0].kind, struck.faults[0].from_ms), (FaultKind::ShortRead, 400));
    assert_eq!(struck.clock_offset_ms(0), -3_600_000, "stepped before the process started");
    let other = plan.shim_plan(5, 0);
    assert!(other.faults.is_empty());
    assert_eq!((other.clock_offset_ms(1999), other.clock_offset_ms(2000)), (0, -3_600_000));
}
