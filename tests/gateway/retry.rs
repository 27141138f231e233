//! Retries by idempotency, and hedging.

use crate::support::gateway::{is_failed, is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{
    endpoint, settings, settings_of, IDEMPOTENT, KEYED, NON_IDEMPOTENT, SECOND, UNLIMITED,
};
use ingress::*;

/// A backend does not answer a customer's order, and the attempt times out. The order may have been executed, so it
/// is neither hedged nor retried, and the client gets an error rather than a rejection, which would say that
/// sending it again is harmless.
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

/// One backend rejects a customer's order, which it has therefore not executed, and the order goes to another
/// backend. That one resets the connection, after which the order may have been executed; the client gets an error,
/// and no third backend gets the order.
#[test]
fn a_non_idempotent_request_is_retried_only_if_never_executed() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let SubmittedRequest { id, actions } = harness.request(NON_IDEMPOTENT, UNLIMITED, 1, 1.0);
    let retry = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Rejected);
    assert_eq!(sent_to(&retry).len(), 1);
    let end = harness.end_attempt(id, 1, sent_to(&retry)[0], Outcome::Reset);
    assert!(is_failed(&end) && !is_rejected(&end), "the second attempt may have been executed");
}

/// The actions at the end of a keyed request's only attempt, whose connection is reset this long after it was sent.
/// Its latency objective lets it be retried for longer than the window of its key lasts.
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

/// A keyed request fails at a backend that may have executed it. Only the backends of its cell know its idempotency
/// key, and only for some time, so a retry goes to one of those or to none; any other backend would execute the
/// request a second time.
#[test]
fn a_keyed_retry_stays_in_its_cell_and_window() {
    let mut harness = GatewayHarness::new(settings(), 6);
    let SubmittedRequest { id, actions } = harness.request(KEYED, UNLIMITED, 1, 1.0);
    let first = sent_to(&actions)[0];
    let retry = harness.end_attempt(id, 0, first, Outcome::Error);
    assert_eq!(sent_to(&retry).len(), 1);
    assert_eq!(sent_to(&retry)[0].0 % 2, first.0 % 2, "same cell");

    let end = reset_keyed_request_after(SECOND * 2);
    assert!(sent_to(&end).is_empty() && is_failed(&end) && !is_rejected(&end), "outside the window");
}

/// A keyed request fails when the window of its idempotency key is nearly over. An attempt begins only once its
/// connection is established, which may take a quarter of a second; if that is longer than the window lasts, the
/// backend has forgotten the key and would execute the request again, so there is no retry.
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

/// A keyed request fails, and all backends of its cell have been removed from the list meanwhile, the one that got
/// it included. The ingress still has to know which cell that was: the backends that are left do not know the key
/// and would execute the request again, so the client gets an error.
#[test]
fn a_keyed_retry_keeps_to_its_cell_after_its_first_backend_is_removed() {
    let mut harness = GatewayHarness::new(settings(), 6);
    let SubmittedRequest { id, actions } = harness.request(KEYED, UNLIMITED, 1, 1.0);
    let first = sent_to(&actions)[0];
    let remaining: Vec<Endpoint> =
        (0..6).map(endpoint).filter(|endpoint| endpoint.cell != (first.0 % 2) as u16).collect();
    harness.handle(Event::Endpoints(EndpointUpdate::Snapshot, remaining));
    let end = harness.end_attempt(id, 0, first, Outcome::Reset);
    assert!(sent_to(&end).is_empty() && is_failed(&end), "no backend left that knows the key");
}

/// All backends become slow just after a fleet of a hundred gateways has started. Formerly each gateway had a small
/// budget for hedged requests, harmless by itself, but a hundred of them were spent at once and kept the backends slow;
/// now the gateways together hedge only a part of the requests.
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
        first_attempts += sent_to(&harness.advance(Duration::from_millis(200))).len(); // waited for a grant that does not come
        hedges += sent_to(&harness.advance(SECOND / 2)).len();
    }
    assert!(first_attempts >= 1500, "{first_attempts} sent");
    assert!((100..=450).contains(&hedges), "{hedges} hedges of {first_attempts} attempts that stay silent");
}
