//! Tests of drawing plans from seeds.

use fault_plan::SystemCallFault;
use fault_soak::plan::{InjectedFault, Shape, SoakPlan};
use fault_soak::scenario::FaultScenario;

const SHAPE: Shape = Shape { ingresses: 10, backends: 6, clients: 24, seconds: 8 };

/// A failed run is reproduced by its seed, so a seed always draws the same faults at the same times, and
/// another seed draws others.
#[test]
fn plan_is_determined_by_its_seed() {
    let plan = |seed| SoakPlan::draw(seed, SHAPE, FaultScenario::all());
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).faults, plan(8).faults);
}

/// Each plan has faults that overlap in time, whose combination the soak tests. All faults end 1.5 s before
/// the run, so that ingresses can recover, and a lost request cannot be mistaken for one interrupted by the
/// end.
#[test]
fn faults_overlap_and_end_before_the_run_ends() {
    for seed in 1..300 {
        let plan = SoakPlan::draw(seed, SHAPE, FaultScenario::all());
        assert!(plan.faults.len() >= 2, "{plan:?}");
        assert!(plan.faults.iter().all(|fault| fault.until_ms <= 6500), "{plan:?}");
        let first = plan.faults[0];
        assert!(plan.faults[1..].iter().any(|other| other.overlaps(&first)), "{plan:?}");
    }
}

/// A run limited to one kind of fault isolates a cause. A fault of another kind in its plan would invalidate
/// the result.
#[test]
fn only_the_given_kinds_of_faults_are_drawn() {
    let plan = SoakPlan::draw(3, SHAPE, &[FaultScenario::Reload]);
    assert!(plan.faults.iter().all(|fault| fault.kind == FaultScenario::Reload));
}

fn plan_with(faults: &[InjectedFault]) -> SoakPlan {
    SoakPlan { faults: faults.to_vec(), ..SoakPlan::draw(1, SHAPE, FaultScenario::all()) }
}

/// Faults are planned relative to the start of the load, but a process measures time from its own start. Its
/// plan must be shifted accordingly and include earlier clock steps; otherwise faults would be injected at
/// other times or into other processes than reported.
#[test]
fn shim_plan_holds_the_faults_of_its_process_relative_to_its_start() {
    let short = InjectedFault { kind: FaultScenario::ShortReads, from_ms: 3000, until_ms: 5000, target: 14 };
    let step = InjectedFault { kind: FaultScenario::ClockBack, from_ms: 2000, until_ms: 2500, target: 0 };
    let plan = plan_with(&[short, step]);
    let own = plan.shim_plan(4, 2600);
    assert_eq!(own.faults.len(), 1);
    assert_eq!((own.faults[0].kind, own.faults[0].from_ms), (SystemCallFault::ShortRead, 400));
    assert_eq!(own.clock_offset_ms(0), -3_600_000, "stepped before the process started");
    let other = plan.shim_plan(5, 0);
    assert!(other.faults.is_empty());
    assert_eq!((other.clock_offset_ms(1999), other.clock_offset_ms(2000)), (0, -3_600_000));
}
