//! Tests of [`super`].

use super::*;

const SENT_AT: Instant = Instant::from_micros(10_000_000);
const LATENCY_BUDGET: Duration = Duration::from_millis(100);
/// Time at which the attempt is late.
const LATE_AT: Instant = Instant::from_micros(10_060_000);
const KEYED: Idempotency =
    Idempotency::Keyed { scope: IdempotencyScope::Zone, window: Duration::from_secs(2) };

/// Returns limits with three attempts, one at a time, and without cancellation.
fn limits() -> Limits {
    Limits { max_attempts: 3, connect_timeout: Duration::from_millis(250), ..Limits::default() }
}

/// Returns the policy of one of ten gateways.
fn policy(limits: Limits) -> RetryPolicy {
    RetryPolicy::new(&Settings { limits, tick: Duration::from_millis(4), ..Settings::default() }, 10)
}

/// Returns a late attempt of an idempotent request, at a backend that answers others.
fn late() -> AttemptCheckContext {
    AttemptCheckContext {
        now: LATE_AT,
        sent_at: SENT_AT,
        latency_budget: LATENCY_BUDGET,
        is_silent: false,
        is_shedding: false,
        idempotency: Idempotency::Idempotent,
    }
}

/// Returns a request whose only attempt failed without being executed.
fn failed_once() -> RetryContext {
    RetryContext {
        now: SENT_AT,
        answer_due_at: SENT_AT + LATENCY_BUDGET,
        idempotency: Idempotency::Idempotent,
        attempts: 1,
        in_flight: 0,
        may_have_executed: false,
        closed: false,
    }
}

/// An attempt fails shortly before the request's time ends. A retry could not be answered in time and would
/// only load the backends, so the client is rejected immediately.
#[test]
fn a_retry_that_would_be_answered_too_late_is_refused() {
    let (policy, context) = (policy(limits()), failed_once());
    let last_moment = context.answer_due_at - Duration::from_millis(4) - Duration::MICROSECOND;
    assert_eq!(policy.may_retry(&RetryContext { now: last_moment, ..context }), Ok(AttemptKind::Retry));
    let too_late = last_moment + Duration::MICROSECOND;
    assert_eq!(policy.may_retry(&RetryContext { now: too_late, ..context }), Err(RetryRefusal::TooLate));
}

/// A backend resets the connection after it received a payout command. Another attempt might pay twice, so
/// it is refused. The client gets an error, since a rejection would mean that a retry is safe.
#[test]
fn a_non_idempotent_request_that_may_have_been_executed_is_neither_retried_nor_rejected() {
    let idempotency = Idempotency::NonIdempotent;
    let context = RetryContext { idempotency, may_have_executed: true, ..failed_once() };
    let refusal = RetryRefusal::NotPermitted(AttemptRefusal::MayHaveExecuted);
    assert_eq!(
        policy(Limits { hedging: true, cancellation: true, ..limits() }).may_retry(&context),
        Err(refusal)
    );
    assert_eq!(RetryPolicy::final_answer(idempotency, true), FinalAnswer::Failed);
    assert_eq!(RetryPolicy::final_answer(idempotency, false), FinalAnswer::Rejected);
}

/// All backends fail at once. Each first attempt earns a tenth of a retry, so that retries cannot multiply
/// the load: once the budget is exhausted they are refused until ten more requests have been sent.
#[test]
fn retries_are_bounded_by_the_first_attempts() {
    let mut policy = policy(limits());
    let mut sent = 0;
    while policy.may_retry(&failed_once()).is_ok() {
        policy.record_retry();
        sent += 1;
    }
    assert_eq!(sent, 4);
    assert_eq!(policy.may_retry(&failed_once()), Err(RetryRefusal::BudgetExhausted));
    (0..11).for_each(|_| policy.record_first_attempt());
    assert_eq!(policy.may_retry(&failed_once()), Ok(AttemptKind::Retry));
}

/// A backend answers other attempts while this one is late. If the settings allow two attempts at once, a
/// hedged request is sent, except while load is shed: many answers are late then, and hedging would add
/// load. An attempt at a silent backend is hedged even while load is shed.
#[test]
fn a_late_answer_is_hedged_unless_load_is_shed() {
    let policy = policy(Limits { hedging: true, cancellation: true, ..limits() });
    let early = AttemptCheckContext { now: LATE_AT - Duration::MICROSECOND, ..late() };
    assert_eq!(policy.check_attempt(&early), AttemptCheck::CheckAt(LATE_AT));
    assert_eq!(policy.check_attempt(&late()), AttemptCheck::Hedge);
    let shedding = AttemptCheckContext { is_shedding: true, ..late() };
    assert_eq!(policy.check_attempt(&shedding), AttemptCheck::KeepWaiting);
    let silent = AttemptCheckContext { is_silent: true, ..shedding };
    assert_eq!(policy.check_attempt(&silent), AttemptCheck::Hedge);
}

/// A backend is silent and the settings forbid hedging. Its attempt is cancelled, so that the request is
/// retried elsewhere while the client still waits. An attempt that is only late is left alone: its answer
/// is probably on its way.
#[test]
fn an_attempt_at_a_silent_backend_is_cancelled_where_hedging_is_forbidden() {
    let silent = AttemptCheckContext { is_silent: true, ..late() };
    let cancelling = policy(Limits { cancellation: true, ..limits() });
    assert_eq!(cancelling.check_attempt(&silent), AttemptCheck::CancelAndRetry);
    assert_eq!(cancelling.check_attempt(&late()), AttemptCheck::KeepWaiting);
    assert_eq!(policy(limits()).check_attempt(&silent), AttemptCheck::KeepWaiting);
    let non_idempotent = AttemptCheckContext { idempotency: Idempotency::NonIdempotent, ..silent };
    assert_eq!(cancelling.check_attempt(&non_idempotent), AttemptCheck::KeepWaiting);
}

/// A keyed request may have been executed in one zone. Its next attempt has to stay where the key is stored
/// and to begin before the key expires, measured at the latest time at which its connection may be
/// established.
#[test]
fn a_keyed_retry_stays_in_its_scope_and_window() {
    let policy = policy(limits());
    let endpoint = Endpoint { zone: 3, ..Endpoint::default() };
    let executed = Some(ExecutedAttempt { sent_at: SENT_AT, endpoint });
    let begins_after = Duration::from_millis(254);
    let last_moment = SENT_AT + Duration::from_secs(2) - begins_after - Duration::MICROSECOND;
    let scope = policy.scope(last_moment, KEYED, executed).expect("the key has not expired");
    assert!(scope.includes(&endpoint) && !scope.includes(&Endpoint::default()));
    let refused = policy.scope(last_moment + Duration::MICROSECOND, KEYED, executed).err();
    assert_eq!(refused, Some(KeyExpired));
    let anywhere = policy.scope(last_moment + Duration::from_secs(9), KEYED, None);
    assert!(matches!(anywhere, Ok(RetryScope::Anywhere)), "no attempt was executed");
}
