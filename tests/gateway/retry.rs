//! Retries by idempotency, and hedging.

use crate::support::gateway::{is_failed, is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{
    endpoint, settings, settings_of, IDEMPOTENT, KEYED, NON_IDEMPOTENT, SECOND, UNLIMITED,
};
use ingress::*;

/// A backend doesn't answer a customer's order, and the attempt times out. The order may have been
/// executed, so it is neither hedged nor retried. The client gets an error, since a rejection would mean
/// that a retry is safe.
#[test]
fn a_non_idempotent_request_fails_after_a_timeout_without_a_retry() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let SubmittedRequest { id, actions } = harness.request(NON_IDEMPOTENT, UNLIMITED, 1, 1.0);
    let backend = sent_to(&actions)[0];
    let later = harness.advance(SECOND * 2);
    assert!(sent_to(&later).is_empty(), "a non-idempotent request is not hedged");
    let end = harness.end_attempt(id, 0, backend, Outcome::TimedOut);
    assert!(is_failed(&end) && !is_rejected(&end) && sent_to(&end).is_empty());
}

/// A backend rejects a customer's order without executing it, so it is retried at another backend. That one
/// resets the connection and may have executed the order, so the client gets an error and no third backend
/// receives the order.
#[test]
fn a_non_idempotent_request_is_retried_only_if_never_executed() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let SubmittedRequest { id, actions } = harness.request(NON_IDEMPOTENT, UNLIMITED, 1, 1.0);
    let retry = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Rejected);
    assert_eq!(sent_to(&retry).len(), 1);
    let end = harness.end_attempt(id, 1, sent_to(&retry)[0], Outcome::Reset);
    assert!(is_failed(&end) && !is_rejected(&end), "the second attempt may have been executed");
}

/// Returns the actions at the end of a keyed request's only attempt, whose connection is reset this long
/// after it was sent. The latency objective permits retries for longer than the window of the key.
fn reset_keyed_request_after(delay: Duration) -> Vec<Action> {
    let mut settings = settings();
    settings.classes[usize::from(KEYED)].latency_objective = SECOND * 4;
    settings.limits.hedging = false;
    settings.limits.cancellation = false;
    let mut harness = GatewayHarness::new(settings, 6);
    let SubmittedRequest { id, actions } = harness.request(KEYED, UNLIMITED, 1, 1.0);
    harness.advance(delay);
    harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Reset)
}

/// A keyed request fails at a backend that may have executed it. Only the backends of its cell store its
/// idempotency key, and only for the window, so any other retry would execute the request a second time.
#[test]
fn a_keyed_retry_stays_in_its_cell_and_window() {
    let mut harness = GatewayHarness::new(settings(), 6);
    let SubmittedRequest { id, actions } = harness.request(KEYED, UNLIMITED, 1, 1.0);
    let first = sent_to(&actions)[0];
    let retry = harness.end_attempt(id, 0, first, Outcome::Error);
    assert_eq!(sent_to(&retry).len(), 1);
    assert_eq!(sent_to(&retry)[0].0 % 2, first.0 % 2, "the retry stays in its cell");

    let end = reset_keyed_request_after(SECOND * 2);
    assert!(sent_to(&end).is_empty() && is_failed(&end) && !is_rejected(&end), "the key has expired");
}

/// A keyed request fails when the window of its idempotency key is nearly over. An attempt begins only once
/// its connection is established, which may take 250 ms; if the key expires before that, a retry would
/// execute the request a second time.
#[test]
fn a_keyed_retry_needs_time_to_connect_within_its_window() {
    for (delay, expected_retries) in [(Duration::from_millis(1600), 1), (Duration::from_millis(1800), 0)] {
        let end = reset_keyed_request_after(delay);
        assert_eq!(
            sent_to(&end).len(),
            expected_retries,
            "{} us after the first attempt, in a window of 2 s",
            delay.as_micros()
        );
        assert_eq!(is_failed(&end), expected_retries == 0);
    }
}

/// A keyed request fails after all backends of its cell were removed, including the one that received it.
/// The cell must still be recorded: the remaining backends don't have the key and would execute the request
/// a second time, so the client gets an error.
#[test]
fn a_keyed_retry_stays_in_its_cell_after_its_first_backend_is_removed() {
    let mut harness = GatewayHarness::new(settings(), 6);
    let SubmittedRequest { id, actions } = harness.request(KEYED, UNLIMITED, 1, 1.0);
    let first = sent_to(&actions)[0];
    let remaining: Vec<Endpoint> =
        (0..6).map(endpoint).filter(|endpoint| endpoint.cell != (first.0 % 2) as u16).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, remaining));
    let end = harness.end_attempt(id, 0, first, Outcome::Reset);
    assert!(sent_to(&end).is_empty() && is_failed(&end), "no listed backend has the key");
}

/// All backends become slow just after a fleet of 100 gateways has started. If each gateway had its own
/// small hedging budget, all of them together would spend it at once and keep the backends slow, so the
/// budget is divided among the fleet.
#[test]
fn hedging_of_a_hundred_gateways_does_not_double_the_load_of_slow_backends() {
    let (mut first_attempts, mut hedges) = (0, 0);
    for own_id in 0..100 {
        let mut harness = GatewayHarness::new(settings_of(own_id, 100), 200);
        let early = harness.request_from_set(IDEMPOTENT, UNLIMITED, 5, 1.0, 1.0).actions;
        first_attempts += sent_to(&early).len();
        for number in 0..20 {
            first_attempts +=
                sent_to(&harness.request_from_set(IDEMPOTENT, UNLIMITED, 6 + number, 1.0, 1.0).actions).len();
        }
        // Requests whose wait for a grant timed out are sent now.
        first_attempts += sent_to(&harness.advance(Duration::from_millis(200))).len();
        hedges += sent_to(&harness.advance(SECOND / 2)).len();
    }
    assert!(first_attempts >= 1500, "only {first_attempts} attempts were sent");
    assert!(
        (100..=450).contains(&hedges),
        "{hedges} hedges were sent for {first_attempts} unanswered attempts"
    );
}
