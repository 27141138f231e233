//! Tests of [`super`].

use super::*;

/// A test writes a plan of faults into an environment variable, and the process under test reads it there. Each
/// field arrives as it was written, and an unknown kind of fault is an error; a fault that was silently dropped
/// would let a test pass without its fault.
#[test]
fn plan_round_trips_through_json() {
    let plan = FaultPlan {
        seed: 7,
        faults: vec![ScheduledFault {
            kind: SystemCallFault::ShortRead,
            probability: 0.25,
            from_ms: 10,
            until_ms: 20,
        }],
        clock_steps: vec![ClockStep { at_ms: 3000, by_ms: -3_600_000 }],
    };
    assert_eq!(FaultPlan::from_json(&plan.to_json()).unwrap(), plan);
    assert!(FaultPlan::from_json("{\"seed\":1,\"faults\":[{\"kind\":\"none\"}]}").is_err());
}

/// A fault is planned for part of a run. Before and after that it must not strike, as a process might not even
/// start; where two faults of one kind overlap, their probabilities add up.
#[test]
fn faults_are_active_only_within_their_interval() {
    let fault = |from_ms, until_ms| ScheduledFault {
        from_ms,
        until_ms,
        ..ScheduledFault::always(SystemCallFault::FailedAccept, 0.5)
    };
    let plan = FaultPlan { faults: vec![fault(10, 30), fault(20, 30)], ..FaultPlan::default() };
    let at = |elapsed| plan.probability(SystemCallFault::FailedAccept, elapsed);
    assert_eq!([at(9), at(10), at(20), at(30)], [0.0, 0.5, 1.0, 0.0]);
    assert_eq!(plan.probability(SystemCallFault::FailedSocket, 20), 0.0);
}

/// A plan steps the wall clock twice, forward and then further back. From each step on the process sees the sum of
/// the steps so far, as on a machine whose clock is corrected repeatedly.
#[test]
fn clock_steps_accumulate() {
    let step = |at_ms, by_ms| ClockStep { at_ms, by_ms };
    let plan = FaultPlan { clock_steps: vec![step(10, 500), step(20, -800)], ..FaultPlan::default() };
    assert_eq!([9, 10, 20].map(|elapsed| plan.clock_offset_ms(elapsed)), [0, 500, -300]);
}
