//! Tests of the fault plan.

use super::*;

/// A plan keeps all its fields when it is passed through the environment variable, and an unknown kind of
/// fault is an error. If a fault were dropped silently, a test would pass without it.
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

/// A fault is not injected outside of its interval, where it could prevent the process from starting.
/// The probabilities of overlapping faults of the same kind add up.
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

/// The wall clock of the process is off by the sum of all steps so far, as on a machine whose clock is
/// corrected repeatedly.
#[test]
fn clock_steps_accumulate() {
    let step = |at_ms, by_ms| ClockStep { at_ms, by_ms };
    let plan = FaultPlan { clock_steps: vec![step(10, 500), step(20, -800)], ..FaultPlan::default() };
    assert_eq!([9, 10, 20].map(|elapsed| plan.clock_offset_ms(elapsed)), [0, 500, -300]);
}
