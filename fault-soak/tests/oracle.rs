//! The oracle finds each violation in what was seen, and none where there is none.

use fault_soak::oracle::{judge, Rule};
use fault_soak::plan::{Shape, SoakPlan, Trouble, TroubleKind};
use fault_soak::record::*;
use fault_soak::settings::{METERED_BURST, METERED_RATE};

/// A second.
const SECOND: Micros = 1_000_000;

fn plan(hedging: bool) -> SoakPlan {
    let shape = Shape { ingresses: 2, backends: 2, clients: 2, seconds: 10 };
    SoakPlan { hedging, ..SoakPlan::draw(1, shape, &TroubleKind::ALL) }
}

/// A plan in which no ingress stands still.
fn plan_without_pauses(hedging: bool) -> SoakPlan {
    let mut plan = plan(hedging);
    plan.troubles.retain(|trouble| trouble.kind != TroubleKind::Pauses);
    plan
}

/// A request that is served half a second after it was sent.
fn request(class: Class, ending: Ending) -> RequestRecord {
    RequestRecord {
        id: "i0-c1-1".into(),
        class,
        ingress: 0,
        sent_at: SECOND,
        timeout: 2 * SECOND,
        ending,
        ended_at: SECOND + SECOND / 2,
        may_cross_close: false,
        pipelined_behind: 0,
        metered_customer: None,
    }
}

/// An attempt that is told 100 ms, and over after 10 ms.
fn arrival(at: Micros) -> ArrivalRecord {
    ArrivalRecord {
        id: "i0-c1-1".into(),
        backend: 0,
        at,
        time_told: SECOND / 10,
        rejected: false,
        ended_at: Some(at + 10_000),
    }
}

fn rules(hedging: bool, seen: &Seen) -> Vec<Rule> {
    judge(&plan_without_pauses(hedging), seen).into_iter().map(|violation| violation.rule).collect()
}

fn seen(request: RequestRecord, arrivals: Vec<ArrivalRecord>) -> Seen {
    Seen { requests: vec![request], arrivals, ..Seen::default() }
}

/// A non-idempotent request is retried after a rejection, and a keyed one within its window; both are allowed. If
/// the oracle reported them, whoever runs the soak would search for a fault that does not exist.
#[test]
fn a_request_that_keeps_the_rules_is_no_violation() {
    let rejected = ArrivalRecord { rejected: true, ..arrival(SECOND + 1000) };
    let served = request(Class::NonIdempotent, Ending::Served);
    assert_eq!(rules(false, &seen(served, vec![rejected, arrival(SECOND + 20_000)])), []);
    let retried = request(Class::Keyed, Ending::Served);
    let arrivals = vec![arrival(SECOND), arrival(SECOND + 200_000)];
    assert_eq!(rules(false, &seen(retried, arrivals)), []);
}

/// A client gets no answer, a closed connection, the value of another request, or bytes that it never asked for.
/// Each is a fault that a customer would notice, and the oracle has to report it; an error, or a client that left
/// by itself, is none.
#[test]
fn answers_that_are_missing_or_wrong_are_found() {
    for (ending, expected) in [
        (Ending::Unanswered, vec![Rule::Lost]),
        (Ending::Closed, vec![Rule::Lost]),
        (Ending::WrongValue, vec![Rule::WrongValue]),
        (Ending::Failed, vec![]),
        (Ending::Left, vec![]),
    ] {
        assert_eq!(rules(false, &seen(request(Class::Keyed, ending), vec![])), expected, "{ending:?}");
    }
    let stray = Seen { stray_bytes: vec!["+PONG".into()], ..Seen::default() };
    assert_eq!(rules(false, &stray), [Rule::SecondAnswer]);
}

/// The ingress closes an idle connection while a request is on its way to it, and the client simply sends it once
/// more; that is allowed. If a backend has seen the request, the ingress had read it and the close is a lost
/// request. An ingress that the soak itself kills answers nobody, which is no fault of the program.
#[test]
fn closes_are_excused_where_the_protocol_excuses_them() {
    let crossing = RequestRecord { may_cross_close: true, ..request(Class::Keyed, Ending::Closed) };
    assert_eq!(rules(false, &seen(crossing.clone(), vec![])), []);
    assert_eq!(rules(false, &seen(crossing.clone(), vec![arrival(SECOND)])), [Rule::Lost]);
    let killed = ProcessRecord { ingress: 0, event: ProcessEvent::Killed, at: SECOND + 1000 };
    let seen = Seen { processes: vec![killed], ..seen(crossing, vec![arrival(SECOND)]) };
    assert_eq!(rules(false, &seen), []);
}

/// A request reaches backends twice: a non-idempotent one, a keyed one after its window, one beside the other where
/// no hedging is allowed, or more often than the settings allow. A customer's order could be executed twice, or
/// backends get needless load, and the oracle has to report each; two attempts at once are no violation where
/// hedging is allowed.
#[test]
fn repeats_are_judged_by_class_and_settings() {
    let twice =
        |class, gap| seen(request(class, Ending::Served), vec![arrival(SECOND), arrival(SECOND + gap)]);
    assert_eq!(rules(true, &twice(Class::NonIdempotent, 50_000)), [Rule::UnsafeRepeat]);
    assert_eq!(rules(true, &twice(Class::Keyed, 1_600_001)), [Rule::KeyExpired]);
    let mut beside = twice(Class::Idempotent, 20_000);
    beside.arrivals[0].ended_at = Some(SECOND + 200_000);
    assert_eq!(rules(false, &beside), [Rule::ConcurrentAttempts]);
    assert_eq!(rules(true, &beside), []);
    let many = (0..4).map(|index| arrival(SECOND + index * 20_000)).collect();
    assert_eq!(rules(true, &seen(request(Class::Idempotent, Ending::Served), many)), [Rule::TooManyAttempts]);
}

/// A backend is given more time than the client will wait, or gets a request 0.2 s after its client has
/// disconnected. It works for nobody in both cases, and the oracle has to report that.
#[test]
fn times_told_and_attempts_for_nobody_are_found() {
    let overstated = ArrivalRecord { time_told: 2 * SECOND, ..arrival(2 * SECOND) };
    let served = request(Class::Keyed, Ending::Served);
    assert_eq!(rules(true, &seen(served, vec![overstated])), [Rule::TimeOverstated]);
    let left = request(Class::Keyed, Ending::Left);
    let late = arrival(left.ended_at + 200_001);
    assert_eq!(rules(true, &seen(left, vec![late])), [Rule::AttemptAfterDisconnect]);
}

/// A change of the list at 2 s, told to ingress 0 a moment later.
fn told(listing: Listing, restarted: bool) -> Seen {
    Seen {
        changes: vec![ListChange { version: 2, backend: 0, listing, restarted, at: 2 * SECOND }],
        notifications: vec![Notification { ingress: 0, version: 2, at: 2 * SECOND + 10_000 }],
        ..Seen::default()
    }
}

/// A backend is listed as draining, and the ingress knows it. What reaches the backend within the grace period, and
/// the time that it takes the soak to see it, is allowed; one request later than that would have failed at a
/// backend that shuts down, and is reported.
#[test]
fn what_comes_to_a_draining_backend_past_the_grace_is_found() {
    let at = |at| Seen { arrivals: vec![arrival(at)], ..told(Listing::Draining, false) };
    assert_eq!(rules(true, &at(2 * SECOND + 360_000)), []);
    assert_eq!(rules(true, &at(2 * SECOND + 360_001)), [Rule::SentToDraining]);
}

/// A backend restarts and gets as many requests as one that has run for long, though it can bear only a few while
/// it warms up. A real one would be overloaded by its own start, so the oracle has to report it; a backend that
/// gets none is no violation.
#[test]
fn a_cold_backend_that_gets_an_even_part_is_found() {
    // 100 requests a second for each of two backends, one of which has just started.
    let even = (0..1000).map(|index| arrival(index * 10_000));
    let other = even.clone().map(|arrival| ArrivalRecord { backend: 1, ..arrival });
    let all: Vec<ArrivalRecord> = even.chain(other.clone()).collect();
    assert_eq!(rules(true, &Seen { arrivals: all, ..told(Listing::Up, true) }), [Rule::SlowStartExceeded]);
    let spared: Vec<ArrivalRecord> = other.clone().chain(other).collect();
    assert_eq!(rules(true, &Seen { arrivals: spared, ..told(Listing::Up, true) }), []);
}

/// An ingress crashes, does not become ready, or does not end in time after SIGTERM; a client that sends garbage is
/// neither answered nor disconnected within 3 s. Each would cost an operator requests or descriptors and has to be
/// reported; a process that the soak kills is no violation.
#[test]
fn processes_and_bad_clients_are_judged() {
    for (event, expected) in [
        (ProcessEvent::Crashed, vec![Rule::Crashed]),
        (ProcessEvent::NotReady, vec![Rule::Crashed]),
        (ProcessEvent::Overdue, vec![Rule::ShutdownOverdue]),
        (ProcessEvent::Killed, vec![]),
    ] {
        let processes = vec![ProcessRecord { ingress: 0, event, at: SECOND }];
        assert_eq!(rules(true, &Seen { processes, ..Seen::default() }), expected, "{event:?}");
    }
    for (told_at, expected) in [
        (Some(4 * SECOND), vec![]),
        (Some(4 * SECOND + 100_001), vec![Rule::BadClientIgnored]),
        (None, vec![Rule::BadClientIgnored]),
    ] {
        let bad_clients = vec![BadClientRecord { ingress: 0, at: SECOND, told_at }];
        assert_eq!(rules(true, &Seen { bad_clients, ..Seen::default() }), expected, "{told_at:?}");
    }
}

/// The soak stops an ingress for a moment, so that it notices a disconnect later and sends an attempt behind it.
/// That delay is the soak's own doing and is allowed; without a stop in the plan the same attempt is a violation.
#[test]
fn pauses_of_the_plan_are_allowed_for() {
    let left = request(Class::Keyed, Ending::Left);
    let late = arrival(left.ended_at + 300_000);
    let seen = seen(left, vec![late]);
    let mut paused = plan_without_pauses(true);
    let pause = Trouble { kind: TroubleKind::Pauses, from_ms: 0, until_ms: 1000, target: 0 };
    paused.troubles.push(pause);
    assert_eq!(judge(&paused, &seen), []);
    assert_eq!(rules(true, &seen), [Rule::AttemptAfterDisconnect]);
}

/// Customers are served 1.6 times what their quotas allow, more than delayed messages between ingresses can
/// explain. The operator is paid for the quota only, so the oracle has to report it; what lies within the quotas is
/// no violation.
#[test]
fn quotas_that_are_passed_by_far_are_found() {
    let plan = plan_without_pauses(true);
    let quota = plan.shape.ingresses as f64 * (METERED_BURST + METERED_RATE * plan.shape.seconds as f64);
    let sent = |factor: f64| {
        let numbers = 0..(quota * factor) as usize;
        let id = |number: usize| format!("i0-c1-{number}");
        Seen {
            requests: numbers
                .clone()
                .map(|number| RequestRecord {
                    id: id(number),
                    metered_customer: Some(7),
                    ..request(Class::Idempotent, Ending::Served)
                })
                .collect(),
            arrivals: numbers.map(|number| ArrivalRecord { id: id(number), ..arrival(SECOND) }).collect(),
            ..Seen::default()
        }
    };
    assert_eq!(rules(true, &sent(1.0)), []);
    assert_eq!(rules(true, &sent(1.6)), [Rule::QuotaExceeded]);
}

/// An ingress counts fewer requests or attempts than clients and backends saw, or more failures. Operators watch
/// these counters, and the oracle has to report counters that are wrong; those of an ingress that served nothing
/// are all zero.
#[test]
fn counters_that_miss_something_are_found() {
    let counted = CounterRecord { ingress: 0, requests: 1, answers: 1, not_served: 0, attempts_begun: 1 };
    for (counted, expected) in [
        (counted, vec![]),
        (CounterRecord { ingress: 1, ..CounterRecord::default() }, vec![]),
        (CounterRecord { requests: 0, ..counted }, vec![Rule::CountersDisagree]),
        (CounterRecord { not_served: 1, ..counted }, vec![Rule::CountersDisagree]),
        (CounterRecord { attempts_begun: 0, ..counted }, vec![Rule::CountersDisagree]),
    ] {
        let served = seen(request(Class::Idempotent, Ending::Served), vec![arrival(SECOND + 1000)]);
        assert_eq!(rules(true, &Seen { counters: vec![counted], ..served }), expected, "{counted:?}");
    }
}

/// The soak reads an ingress's counters from two lines of its log. Without them, as when the log could not be
/// written, there are no counters to compare; zeros in their place would look like a fault of the ingress.
#[test]
fn counters_are_read_from_the_log() {
    let log =
        "ingress: counters: requests, requests=7 answers=6 rejections=2 failures=1 disconnected=0 open=1\n\
               ingress: counters: attempts, begun=9 served=3 rejected=0\n";
    let expected = CounterRecord { ingress: 4, requests: 7, answers: 6, not_served: 3, attempts_begun: 9 };
    assert_eq!(fault_soak::counters::parse(4, log), Some(expected));
    assert_eq!(fault_soak::counters::parse(4, "ingress: listening\n"), None);
}
