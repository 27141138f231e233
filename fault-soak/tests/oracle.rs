//! Tests that the oracle reports violations in the observations, and reports none for permitted behaviour.

use fault_soak::oracle::{check, Rule};
use fault_soak::plan::{InjectedFault, Shape, SoakPlan};
use fault_soak::record::*;
use fault_soak::scenario::FaultScenario;
use fault_soak::settings::{METERED_BURST, METERED_RATE};

/// One second, in microseconds.
const SECOND: Micros = 1_000_000;

fn plan(hedging: bool) -> SoakPlan {
    let shape = Shape { ingresses: 2, backends: 2, clients: 2, seconds: 10 };
    SoakPlan { hedging, ..SoakPlan::draw(1, shape, FaultScenario::all()) }
}

/// Returns a plan that pauses no ingress.
fn plan_without_pauses(hedging: bool) -> SoakPlan {
    let mut plan = plan(hedging);
    plan.faults.retain(|fault| fault.kind != FaultScenario::Pauses);
    plan
}

/// Returns a request that ends half a second after it was sent.
fn request(class: RequestClass, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        id: "i0-c1-1".into(),
        class,
        ingress: 0,
        sent_at: SECOND,
        timeout: 2 * SECOND,
        outcome,
        ended_at: SECOND + SECOND / 2,
        may_cross_close: false,
        pipelined_behind: 0,
        metered_customer: None,
    }
}

/// Returns an attempt that states a timeout of 100 ms and ends after 10 ms.
fn arrival(at: Micros) -> ArrivalRecord {
    ArrivalRecord {
        id: "i0-c1-1".into(),
        backend: 0,
        at,
        time_budget: SECOND / 10,
        rejected: false,
        ended_at: Some(at + 10_000),
    }
}

fn rules(hedging: bool, observations: &Observations) -> Vec<Rule> {
    check(&plan_without_pauses(hedging), observations).into_iter().map(|violation| violation.rule).collect()
}

fn observations(request: RequestRecord, arrivals: Vec<ArrivalRecord>) -> Observations {
    Observations { requests: vec![request], arrivals, ..Observations::default() }
}

/// A non-idempotent request may be retried after a rejection, and a keyed request within its window. If the
/// oracle reported these, engineers would search for faults that do not exist.
#[test]
fn permitted_retries_are_not_violations() {
    let rejected = ArrivalRecord { rejected: true, ..arrival(SECOND + 1000) };
    let served = request(RequestClass::NonIdempotent, Outcome::Served);
    assert_eq!(rules(false, &observations(served, vec![rejected, arrival(SECOND + 20_000)])), []);
    let retried = request(RequestClass::Keyed, Outcome::Served);
    let arrivals = vec![arrival(SECOND), arrival(SECOND + 200_000)];
    assert_eq!(rules(false, &observations(retried, arrivals)), []);
}

/// A client gets no answer, a closed connection, another request's value, or unexpected bytes. Each is a
/// fault visible to customers. Errors and disconnects by the client are not violations.
#[test]
fn missing_and_wrong_answers_are_violations() {
    for (outcome, expected) in [
        (Outcome::Unanswered, vec![Rule::Lost]),
        (Outcome::Closed, vec![Rule::Lost]),
        (Outcome::WrongValue, vec![Rule::WrongValue]),
        (Outcome::Failed, vec![]),
        (Outcome::Disconnected, vec![]),
    ] {
        assert_eq!(
            rules(false, &observations(request(RequestClass::Keyed, outcome), vec![])),
            expected,
            "{outcome:?}"
        );
    }
    let stray = Observations { stray_bytes: vec!["+PONG".into()], ..Observations::default() };
    assert_eq!(rules(false, &stray), [Rule::SecondAnswer]);
}

/// The ingress may close an idle connection while a request is in transit, which the client then repeats. If
/// the request has reached a backend, the ingress has read it, and the close loses the request. Requests to
/// an ingress that the plan kills are not counted as lost.
#[test]
fn closes_permitted_by_the_protocol_are_not_violations() {
    let closed = RequestRecord { may_cross_close: true, ..request(RequestClass::Keyed, Outcome::Closed) };
    assert_eq!(rules(false, &observations(closed.clone(), vec![])), []);
    assert_eq!(rules(false, &observations(closed.clone(), vec![arrival(SECOND)])), [Rule::Lost]);
    let killed = ProcessRecord { ingress: 0, event: ProcessEvent::Killed, at: SECOND + 1000 };
    let observations =
        Observations { processes: vec![killed], ..observations(closed, vec![arrival(SECOND)]) };
    assert_eq!(rules(false, &observations), []);
}

/// A request reaches backends repeatedly: a non-idempotent one, a keyed one after its window, concurrently
/// although hedging is not allowed, or more often than allowed. It could be executed twice, or cause needless
/// load. Concurrent attempts are permitted with hedging.
#[test]
fn repeated_attempts_are_checked_by_class_and_settings() {
    let two_attempts = |class, gap| {
        observations(request(class, Outcome::Served), vec![arrival(SECOND), arrival(SECOND + gap)])
    };
    assert_eq!(rules(true, &two_attempts(RequestClass::NonIdempotent, 50_000)), [Rule::UnsafeRepeat]);
    assert_eq!(rules(true, &two_attempts(RequestClass::Keyed, 1_600_001)), [Rule::KeyExpired]);
    let mut concurrent = two_attempts(RequestClass::Idempotent, 20_000);
    concurrent.arrivals[0].ended_at = Some(SECOND + 200_000);
    assert_eq!(rules(false, &concurrent), [Rule::ConcurrentAttempts]);
    assert_eq!(rules(true, &concurrent), []);
    let many = (0..4).map(|index| arrival(SECOND + index * 20_000)).collect();
    assert_eq!(
        rules(true, &observations(request(RequestClass::Idempotent, Outcome::Served), many)),
        [Rule::TooManyAttempts]
    );
}

/// An attempt states a longer timeout than its client waits, or begins 0.2 s after its client has
/// disconnected. In both cases the backend works for a reply that no client receives.
#[test]
fn overstated_timeouts_and_attempts_after_a_disconnect_are_violations() {
    let overstated = ArrivalRecord { time_budget: 2 * SECOND, ..arrival(2 * SECOND) };
    let served = request(RequestClass::Keyed, Outcome::Served);
    assert_eq!(rules(true, &observations(served, vec![overstated])), [Rule::TimeOverstated]);
    let disconnected = request(RequestClass::Keyed, Outcome::Disconnected);
    let late = arrival(disconnected.ended_at + 200_001);
    assert_eq!(rules(true, &observations(disconnected, vec![late])), [Rule::AttemptAfterDisconnect]);
}

/// Returns a change of the endpoint list at 2 s, of which ingress 0 is notified 10 ms later.
fn notified(status: EndpointStatus, restarted: bool) -> Observations {
    Observations {
        changes: vec![EndpointChange { version: 2, backend: 0, status, restarted, at: 2 * SECOND }],
        notifications: vec![Notification { ingress: 0, version: 2, at: 2 * SECOND + 10_000 }],
        ..Observations::default()
    }
}

/// Requests to a draining backend are permitted within the grace period plus the delay of observation. A
/// later request would fail at a backend that shuts down.
#[test]
fn requests_to_a_draining_backend_after_the_grace_period_are_violations() {
    let at = |at| Observations { arrivals: vec![arrival(at)], ..notified(EndpointStatus::Draining, false) };
    assert_eq!(rules(true, &at(2 * SECOND + 360_000)), []);
    assert_eq!(rules(true, &at(2 * SECOND + 360_001)), [Rule::SentToDraining]);
}

/// A restarted backend receives as many requests as a backend in normal operation, which would overload it
/// during slow start. It is not a violation that a restarted backend receives no requests.
#[test]
fn an_even_share_during_slow_start_is_a_violation() {
    // 100 requests per second for each of two backends, one of which has just started.
    let to_restarted = (0..1000).map(|index| arrival(index * 10_000));
    let to_other = to_restarted.clone().map(|arrival| ArrivalRecord { backend: 1, ..arrival });
    let all: Vec<ArrivalRecord> = to_restarted.chain(to_other.clone()).collect();
    assert_eq!(
        rules(true, &Observations { arrivals: all, ..notified(EndpointStatus::Up, true) }),
        [Rule::SlowStartExceeded]
    );
    let only_to_other: Vec<ArrivalRecord> = to_other.clone().chain(to_other).collect();
    assert_eq!(
        rules(true, &Observations { arrivals: only_to_other, ..notified(EndpointStatus::Up, true) }),
        []
    );
}

/// An ingress crashes, does not become ready, or does not exit in time after SIGTERM, or a client that sends
/// invalid input is neither answered nor disconnected within 3 s. Such faults lose requests or leak
/// descriptors. A process killed by the plan is not a violation.
#[test]
fn crashes_overdue_exits_and_ignored_invalid_input_are_violations() {
    for (event, expected) in [
        (ProcessEvent::Crashed, vec![Rule::Crashed]),
        (ProcessEvent::NotReady, vec![Rule::Crashed]),
        (ProcessEvent::Overdue, vec![Rule::ShutdownOverdue]),
        (ProcessEvent::Killed, vec![]),
    ] {
        let processes = vec![ProcessRecord { ingress: 0, event, at: SECOND }];
        assert_eq!(
            rules(true, &Observations { processes, ..Observations::default() }),
            expected,
            "{event:?}"
        );
    }
    for (responded_at, expected) in [
        (Some(4 * SECOND), vec![]),
        (Some(4 * SECOND + 100_001), vec![Rule::InvalidInputIgnored]),
        (None, vec![Rule::InvalidInputIgnored]),
    ] {
        let invalid_inputs = vec![InvalidInputRecord { ingress: 0, at: SECOND, responded_at }];
        assert_eq!(
            rules(true, &Observations { invalid_inputs, ..Observations::default() }),
            expected,
            "{responded_at:?}"
        );
    }
}

/// A paused ingress detects a disconnect late and may send an attempt after it. That is permitted if the plan
/// pauses ingresses, and a violation otherwise.
#[test]
fn planned_pauses_extend_the_time_limits() {
    let disconnected = request(RequestClass::Keyed, Outcome::Disconnected);
    let late = arrival(disconnected.ended_at + 300_000);
    let observations = observations(disconnected, vec![late]);
    let mut paused = plan_without_pauses(true);
    let pause = InjectedFault { kind: FaultScenario::Pauses, from_ms: 0, until_ms: 1000, target: 0 };
    paused.faults.push(pause);
    assert_eq!(check(&paused, &observations), []);
    assert_eq!(rules(true, &observations), [Rule::AttemptAfterDisconnect]);
}

/// Customers are served 1.6 times their quotas, which exceeds the effect of delayed messages between
/// ingresses. The operator is paid only for the quota. Usage within the quotas is not a violation.
#[test]
fn far_exceeded_quotas_are_violations() {
    let plan = plan_without_pauses(true);
    let quota = plan.shape.ingresses as f64 * (METERED_BURST + METERED_RATE * plan.shape.seconds as f64);
    let sent = |factor: f64| {
        let numbers = 0..(quota * factor) as usize;
        let id = |number: usize| format!("i0-c1-{number}");
        Observations {
            requests: numbers
                .clone()
                .map(|number| RequestRecord {
                    id: id(number),
                    metered_customer: Some(7),
                    ..request(RequestClass::Idempotent, Outcome::Served)
                })
                .collect(),
            arrivals: numbers.map(|number| ArrivalRecord { id: id(number), ..arrival(SECOND) }).collect(),
            ..Observations::default()
        }
    };
    assert_eq!(rules(true, &sent(1.0)), []);
    assert_eq!(rules(true, &sent(1.6)), [Rule::QuotaExceeded]);
}

/// An ingress counts fewer requests or attempts than clients and backends observed, or more failures, which
/// would mislead operators. The counters of an ingress without requests are zero.
#[test]
fn counters_that_contradict_observations_are_violations() {
    let counters = CounterRecord { ingress: 0, requests: 1, answers: 1, not_served: 0, attempts_begun: 1 };
    for (counters, expected) in [
        (counters, vec![]),
        (CounterRecord { ingress: 1, ..CounterRecord::default() }, vec![]),
        (CounterRecord { requests: 0, ..counters }, vec![Rule::CountersDisagree]),
        (CounterRecord { not_served: 1, ..counters }, vec![Rule::CountersDisagree]),
        (CounterRecord { attempts_begun: 0, ..counters }, vec![Rule::CountersDisagree]),
    ] {
        let served =
            observations(request(RequestClass::Idempotent, Outcome::Served), vec![arrival(SECOND + 1000)]);
        assert_eq!(
            rules(true, &Observations { counters: vec![counters], ..served }),
            expected,
            "{counters:?}"
        );
    }
}

/// The counters of an ingress are parsed from two lines of its log. Without these lines, as after a failure
/// to write the log, there are no counters; zeros would look like a fault of the ingress.
#[test]
fn counters_are_parsed_from_the_log() {
    let log =
        "ingress: counters: requests, requests=7 answers=6 rejections=2 failures=1 disconnected=0 open=1\n\
               ingress: counters: attempts, begun=9 served=3 rejected=0\n";
    let expected = CounterRecord { ingress: 4, requests: 7, answers: 6, not_served: 3, attempts_begun: 9 };
    assert_eq!(fault_soak::counters::parse(4, log), Some(expected));
    assert_eq!(fault_soak::counters::parse(4, "ingress: listening\n"), None);
}
