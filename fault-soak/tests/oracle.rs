//! The oracle finds each violation in the observations, and none where there is none.

use fault_soak::oracle::{check, Rule};
use fault_soak::plan::{InjectedFault, Shape, SoakPlan};
use fault_soak::record::*;
use fault_soak::scenario::FaultScenario;
use fault_soak::settings::{METERED_BURST, METERED_RATE};

/// A second.
const SECOND: Micros = 1_000_000;

fn plan(hedging: bool) -> SoakPlan {
    let shape = Shape { ingresses: 2, backends: 2, clients: 2, seconds: 10 };
    SoakPlan { hedging, ..SoakPlan::draw(1, shape, FaultScenario::all()) }
}

/// A plan that pauses no ingress.
fn plan_without_pauses(hedging: bool) -> SoakPlan {
    let mut plan = plan(hedging);
    plan.faults.retain(|fault| fault.kind != FaultScenario::Pauses);
    plan
}

/// A request that is served half a second after it was sent.
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

/// An attempt that states a timeout of 100 ms, and ends after 10 ms.
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

/// A non-idempotent request is retried after a rejection, and a keyed one within its window; both are allowed. If
/// the oracle reported them, whoever runs the soak would search for a fault that does not exist.
#[test]
fn permitted_retries_are_not_violations() {
    let rejected = ArrivalRecord { rejected: true, ..arrival(SECOND + 1000) };
    let served = request(RequestClass::NonIdempotent, Outcome::Served);
    assert_eq!(rules(false, &observations(served, vec![rejected, arrival(SECOND + 20_000)])), []);
    let retried = request(RequestClass::Keyed, Outcome::Served);
    let arrivals = vec![arrival(SECOND), arrival(SECOND + 200_000)];
    assert_eq!(rules(false, &observations(retried, arrivals)), []);
}

/// A client gets no answer, a closed connection, the value of another request, or bytes that it never asked for.
/// Each is a fault that a customer would notice, and the oracle has to report it; an error, or a client that left
/// by itself, is none.
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

/// The ingress closes an idle connection while a request is on its way to it, and the client simply sends it once
/// more; that is allowed. If a backend has seen the request, the ingress had read it and the close is a lost
/// request. An ingress that the soak itself kills answers nobody, which is no fault of the program.
#[test]
fn closes_permitted_by_the_protocol_are_not_violations() {
    let crossing = RequestRecord { may_cross_close: true, ..request(RequestClass::Keyed, Outcome::Closed) };
    assert_eq!(rules(false, &observations(crossing.clone(), vec![])), []);
    assert_eq!(rules(false, &observations(crossing.clone(), vec![arrival(SECOND)])), [Rule::Lost]);
    let killed = ProcessRecord { ingress: 0, event: ProcessEvent::Killed, at: SECOND + 1000 };
    let observations =
        Observations { processes: vec![killed], ..observations(crossing, vec![arrival(SECOND)]) };
    assert_eq!(rules(false, &observations), []);
}

/// A request reaches backends twice: a non-idempotent one, a keyed one after its window, one beside the other where
/// no hedging is allowed, or more often than the settings allow. A customer's order could be executed twice, or
/// backends get needless load, and the oracle has to report each; two attempts at once are no violation where
/// hedging is allowed.
#[test]
fn repeated_attempts_are_checked_by_class_and_settings() {
    let twice = |class, gap| {
        observations(request(class, Outcome::Served), vec![arrival(SECOND), arrival(SECOND + gap)])
    };
    assert_eq!(rules(true, &twice(RequestClass::NonIdempotent, 50_000)), [Rule::UnsafeRepeat]);
    assert_eq!(rules(true, &twice(RequestClass::Keyed, 1_600_001)), [Rule::KeyExpired]);
    let mut beside = twice(RequestClass::Idempotent, 20_000);
    beside.arrivals[0].ended_at = Some(SECOND + 200_000);
    assert_eq!(rules(false, &beside), [Rule::ConcurrentAttempts]);
    assert_eq!(rules(true, &beside), []);
    let many = (0..4).map(|index| arrival(SECOND + index * 20_000)).collect();
    assert_eq!(
        rules(true, &observations(request(RequestClass::Idempotent, Outcome::Served), many)),
        [Rule::TooManyAttempts]
    );
}

/// A backend is given more time than the client will wait, or gets a request 0.2 s after its client has
/// disconnected. It works for nobody in both cases, and the oracle has to report that.
#[test]
fn overstated_timeouts_and_attempts_after_a_disconnect_are_violations() {
    let overstated = ArrivalRecord { time_budget: 2 * SECOND, ..arrival(2 * SECOND) };
    let served = request(RequestClass::Keyed, Outcome::Served);
    assert_eq!(rules(true, &observations(served, vec![overstated])), [Rule::TimeOverstated]);
    let disconnected = request(RequestClass::Keyed, Outcome::Disconnected);
    let late = arrival(disconnected.ended_at + 200_001);
    assert_eq!(rules(true, &observations(disconnected, vec![late])), [Rule::AttemptAfterDisconnect]);
}

/// A change of the list at 2 s, of which ingress 0 is notified 10 ms later.
fn notified(status: EndpointStatus, restarted: bool) -> Observations {
    Observations {
        changes: vec![EndpointChange { version: 2, backend: 0, status, restarted, at: 2 * SECOND }],
        notifications: vec![Notification { ingress: 0, version: 2, at: 2 * SECOND + 10_000 }],
        ..Observations::default()
    }
}

/// A backend is listed as draining, and the ingress knows it. What reaches the backend within the grace period, and
/// the time that it takes the soak to see it, is allowed; one request later than that would have failed at a
/// backend that shuts down, and is reported.
#[test]
fn requests_to_a_draining_backend_after_the_grace_period_are_violations() {
    let at = |at| Observations { arrivals: vec![arrival(at)], ..notified(EndpointStatus::Draining, false) };
    assert_eq!(rules(true, &at(2 * SECOND + 360_000)), []);
    assert_eq!(rules(true, &at(2 * SECOND + 360_001)), [Rule::SentToDraining]);
}

/// A backend restarts and gets as many requests as one that has run for long, though it can bear only a few while
/// it warms up. A real one would be overloaded by its own start, so the oracle has to report it; a backend that
/// gets none is no violation.
#[test]
fn an_even_share_during_slow_start_is_a_violation() {
    // 100 requests a second for each of two backends, one of which has just started.
    let even = (0..1000).map(|index| arrival(index * 10_000));
    let other = even.clone().map(|arrival| ArrivalRecord { backend: 1, ..arrival });
    let all: Vec<ArrivalRecord> = even.chain(other.clone()).collect();
    assert_eq!(
        rules(true, &Observations { arrivals: all, ..notified(EndpointStatus::Up, true) }),
        [Rule::SlowStartExceeded]
    );
    let spared: Vec<ArrivalRecord> = other.clone().chain(other).collect();
    assert_eq!(rules(true, &Observations { arrivals: spared, ..notified(EndpointStatus::Up, true) }), []);
}

/// An ingress crashes, does not become ready, or does not end in time after SIGTERM; a client that sends garbage is
/// neither answered nor disconnected within 3 s. Each would cost an operator requests or descriptors and has to be
/// reported; a process that the soak kills is no violation.
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

/// The soak stops an ingress for a moment, so that it notices a disconnect later and sends an attempt behind it.
/// That delay is the soak's own doing and is allowed; without a stop in the plan the same attempt is a violation.
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

/// Customers are served 1.6 times what their quotas allow, more than delayed messages between ingresses can
/// explain. The operator is paid for the quota only, so the oracle has to report it; what lies within the quotas is
/// no violation.
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

/// An ingress counts fewer requests or attempts than clients and backends saw, or more failures. Operators watch
/// these counters, and the oracle has to report counters that are wrong; those of an ingress that served nothing
/// are all zero.
#[test]
fn counters_below_the_observed_counts_are_violations() {
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

/// The soak reads an ingress's counters from two lines of its log. Without them, as when the log could not be
/// written, there are no counters to compare; zeros in their place would look like a fault of the ingress.
#[test]
fn counters_are_parsed_from_the_log() {
    let log =
        "ingress: counters: requests, requests=7 answers=6 rejections=2 failures=1 disconnected=0 open=1\n\
               ingress: counters: attempts, begun=9 served=3 rejected=0\n";
    let expected = CounterRecord { ingress: 4, requests: 7, answers: 6, not_served: 3, attempts_begun: 9 };
    assert_eq!(fault_soak::counters::parse(4, log), Some(expected));
    assert_eq!(fault_soak::counters::parse(4, "ingress: listening\n"), None);
}
