//! Tests of [`super`].

use super::*;
use crate::{Idempotency, IdempotencyScope};

/// A request whose first attempt failed and was never executed.
const FAILED_ONCE: AttemptFacts = AttemptFacts {
    idempotency: Idempotency::Idempotent,
    hedging: false,
    max_attempts: 3,
    attempts: 1,
    in_flight: 0,
    may_have_executed: false,
    closed: false,
};

fn at(micros: u64) -> Instant {
    Instant::from_micros(micros)
}

#[test]
fn attempts_are_named_by_those_before_them() {
    let hedge = AttemptFacts { in_flight: 1, hedging: true, ..FAILED_ONCE };
    assert_eq!(may_start_attempt(&AttemptFacts { attempts: 0, ..FAILED_ONCE }), Ok(AttemptKind::First));
    assert_eq!(may_start_attempt(&FAILED_ONCE), Ok(AttemptKind::Retry));
    assert_eq!(may_start_attempt(&hedge), Ok(AttemptKind::Hedge));
}

#[test]
fn attempts_are_refused_with_a_reason() {
    let window = Duration::from_micros(1000);
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Fleet, window };
    let executed = AttemptFacts { may_have_executed: true, ..FAILED_ONCE };
    for (facts, expected) in [
        (AttemptFacts { closed: true, ..FAILED_ONCE }, AttemptRefusal::Closed),
        (AttemptFacts { attempts: 3, ..FAILED_ONCE }, AttemptRefusal::AttemptLimit),
        (AttemptFacts { in_flight: 1, ..FAILED_ONCE }, AttemptRefusal::InFlight),
        (
            AttemptFacts { idempotency: Idempotency::NonIdempotent, ..executed },
            AttemptRefusal::MayHaveExecuted,
        ),
    ] {
        assert_eq!(may_start_attempt(&facts), Err(expected), "{facts:?}");
    }
    assert_eq!(may_start_attempt(&AttemptFacts { idempotency: keyed, ..executed }), Ok(AttemptKind::Retry));
    assert_eq!(may_repeat_key(window, at(50), at(1049)), Ok(()));
    assert_eq!(may_repeat_key(window, at(50), at(1050)), Err(AttemptRefusal::KeyExpired));
}

#[test]
fn an_attempt_begins_while_somebody_waits_and_its_time_lasts() {
    let facts = WriteFacts { now: at(100), expires_at: at(200), begins_by: at(150), closed: false };
    let begin_at = |micros| may_begin_writing(&WriteFacts { now: at(micros), ..facts });
    assert_eq!((begin_at(150), begin_at(151)), (Ok(()), Err(WriteRefusal::ConnectedTooLate)));
    assert_eq!(begin_at(200), Err(WriteRefusal::Expired));
    assert_eq!(may_begin_writing(&WriteFacts { closed: true, ..facts }), Err(WriteRefusal::Closed));
}

#[test]
fn only_backends_that_take_work_are_sent_any() {
    assert_eq!(may_send_to(Some(Availability::Ready)), Ok(()));
    assert_eq!(may_send_to(Some(Availability::Draining)), Err(BackendRefusal::Draining));
    assert_eq!(may_send_to(Some(Availability::Gone)), Err(BackendRefusal::NotListed));
    assert_eq!(may_send_to(None), Err(BackendRefusal::NotListed));
}

#[test]
fn connections_rest_and_are_not_kept_for_too_long() {
    let limits =
        ReuseLimits { min_idle_time: Duration::from_micros(20), max_idle_time: Duration::from_micros(100) };
    let after = |micros| may_reuse_connection(Duration::from_micros(micros), limits);
    assert_eq!((after(19), after(20)), (Err(ReuseRefusal::TooFresh), Ok(())));
    assert_eq!((after(99), after(100)), (Ok(()), Err(ReuseRefusal::TooOld)));
}

#[test]
fn clients_are_closed_between_two_requests_only() {
    let idle = ClientConnectionFacts { is_busy: false, has_input: false, is_closing: false };
    let close = may_close_client;
    assert_eq!(close(idle), Ok(()));
    assert_eq!(close(ClientConnectionFacts { is_busy: true, ..idle }), Err(CloseRefusal::RepliesOwed));
    assert_eq!(close(ClientConnectionFacts { has_input: true, ..idle }), Err(CloseRefusal::InputPending));
    assert_eq!(close(ClientConnectionFacts { is_closing: true, ..idle }), Err(CloseRefusal::Closing));
}
