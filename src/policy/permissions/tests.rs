//! Tests of [`super`].

use super::*;
use crate::{Idempotency, IdempotencyScope};

/// A request whose first attempt failed without being executed.
const FAILED_ONCE: AttemptContext = AttemptContext {
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

/// The kind of an attempt is logged and shows an operator why a request was sent a second time.
#[test]
fn the_attempt_kind_depends_on_earlier_attempts() {
    let hedge = AttemptContext { in_flight: 1, hedging: true, ..FAILED_ONCE };
    assert_eq!(may_start_attempt(&AttemptContext { attempts: 0, ..FAILED_ONCE }), Ok(AttemptKind::First));
    assert_eq!(may_start_attempt(&FAILED_ONCE), Ok(AttemptKind::Retry));
    assert_eq!(may_start_attempt(&hedge), Ok(AttemptKind::Hedge));
}

/// A further attempt is refused if the client has its answer, all attempts are used, another one is in
/// flight, or a non-idempotent request may have been executed; otherwise an order could be executed twice.
/// A keyed request may be retried until just before the window of its key ends.
#[test]
fn an_attempt_that_is_not_allowed_is_refused_with_its_reason() {
    let window = Duration::from_micros(1000);
    let keyed = Idempotency::Keyed { scope: IdempotencyScope::Fleet, window };
    let executed = AttemptContext { may_have_executed: true, ..FAILED_ONCE };
    for (context, expected) in [
        (AttemptContext { closed: true, ..FAILED_ONCE }, AttemptRefusal::Closed),
        (AttemptContext { attempts: 3, ..FAILED_ONCE }, AttemptRefusal::AttemptLimit),
        (AttemptContext { in_flight: 1, ..FAILED_ONCE }, AttemptRefusal::InFlight),
        (
            AttemptContext { idempotency: Idempotency::NonIdempotent, ..executed },
            AttemptRefusal::MayHaveExecuted,
        ),
    ] {
        assert_eq!(may_start_attempt(&context), Err(expected), "{context:?}");
    }
    assert_eq!(may_start_attempt(&AttemptContext { idempotency: keyed, ..executed }), Ok(AttemptKind::Retry));
    assert_eq!(may_repeat_key(window, at(50), at(1049)), Ok(()));
    assert_eq!(may_repeat_key(window, at(50), at(1050)), Err(KeyExpired));
}

/// The connection to a backend is established late: the request is closed, the attempt has expired, or the
/// policy assumed an earlier start. Writing the command anyway would cause useless work, or execute a
/// request whose idempotency key has expired.
#[test]
fn a_command_is_written_only_for_an_open_request_and_in_time() {
    let context = WriteContext { now: at(100), expires_at: at(200), begins_by: at(150), closed: false };
    let begin_at = |micros| may_begin_writing(&WriteContext { now: at(micros), ..context });
    assert_eq!((begin_at(150), begin_at(151)), (Ok(()), Err(WriteRefusal::ConnectedTooLate)));
    assert_eq!(begin_at(200), Err(WriteRefusal::Expired));
    assert_eq!(may_begin_writing(&WriteContext { closed: true, ..context }), Err(WriteRefusal::Closed));
}

/// A backend that is draining, was removed, or was never listed must not receive requests: it is being shut
/// down, or its address belongs to another program by now.
#[test]
fn only_ready_backends_are_sent_attempts() {
    assert_eq!(may_send_to(Some(Availability::Ready)), Ok(()));
    assert_eq!(may_send_to(Some(Availability::Draining)), Err(BackendRefusal::Draining));
    assert_eq!(may_send_to(Some(Availability::Gone)), Err(BackendRefusal::NotListed));
    assert_eq!(may_send_to(None), Err(BackendRefusal::NotListed));
}

/// A connection that just carried a reply may still receive a duplicate of it, which the next client would
/// get as its answer. A backend may close a connection that was idle for too long while a command is on its
/// way, which fails a non-idempotent request.
#[test]
fn a_connection_is_reused_only_between_minimum_and_maximum_idle_time() {
    let limits =
        ReuseLimits { min_idle_time: Duration::from_micros(20), max_idle_time: Duration::from_micros(100) };
    let after = |micros| may_reuse_connection(Duration::from_micros(micros), limits);
    assert_eq!((after(19), after(20)), (Err(ReuseRefusal::TooFresh), Ok(())));
    assert_eq!((after(99), after(100)), (Ok(()), Err(ReuseRefusal::TooOld)));
}

/// The ingress closes idle clients to make room for others. A client that waits for a reply, or whose next
/// command has begun to arrive, must stay connected, or it would lose an accepted request.
#[test]
fn a_client_is_closed_only_between_two_requests() {
    let idle = ClientConnectionState { is_busy: false, has_input: false, closing: ClosingState::Open };
    let close = may_close_client;
    assert_eq!(close(idle), Ok(()));
    assert_eq!(close(ClientConnectionState { is_busy: true, ..idle }), Err(CloseRefusal::RepliesOwed));
    assert_eq!(close(ClientConnectionState { has_input: true, ..idle }), Err(CloseRefusal::InputPending));
    assert_eq!(
        close(ClientConnectionState { closing: ClosingState::Closing, ..idle }),
        Err(CloseRefusal::Closing)
    );
    assert_eq!(
        close(ClientConnectionState { closing: ClosingState::OverLimit, ..idle }),
        Err(CloseRefusal::OverLimit)
    );
}
