//! Shedding stages and the concurrency limit.

use crate::support::gateway::{is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{plan, settings, settings_of, IDEMPOTENT, UNLIMITED};
use ingress::*;

/// Backends become slow and later fast again. The gateway raises its shedding stage while they are slow, so
/// that admitted requests are served in time, and lowers it afterwards; a stage that stayed up would reject
/// customers without need. Both changes are logged for the operator.
#[test]
fn the_shedding_stage_rises_with_latency_and_falls_again() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let mut log = Vec::new();
    for step in 0..800u64 {
        let is_slow = (100..300).contains(&step);
        let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, step, 1.0);
        if let Some(backend) = sent_to(&actions).first() {
            let elapsed = if is_slow { Duration::from_millis(900) } else { Duration::from_millis(100) };
            harness.end_attempt_after(elapsed, id, 0, *backend, Outcome::Ok);
        }
        let actions = harness.advance(Duration::from_millis(20));
        log.extend(actions.into_iter().filter_map(|action| match action {
            Action::Log(line) => Some((step, line)),
            _ => None,
        }));
    }
    let up = log.iter().find(|(_, line)| line.contains("from=0, to=1")).expect("the stage rises to 1");
    assert!((100..300).contains(&up.0));
    let down =
        log.iter().rev().find(|(_, line)| line.contains("from=1, to=0")).expect("the stage falls to 0");
    assert!(down.0 > 300);
}

/// Gateways reject part of the customers while all backends are slow. If each gateway chose its own
/// customers, a rejected client that retries at another gateway would be admitted there, and the load would
/// not fall.
#[test]
fn all_gateways_shed_the_same_customers() {
    let rejections = |own_id: u16| {
        let mut settings = settings_of(own_id, 3);
        settings.plans = vec![plan(1e6, 1e6)];
        let mut harness = GatewayHarness::new(settings, 4);
        for step in 0..400u64 {
            let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, UNLIMITED, step % 40, 1.0);
            for backend in sent_to(&actions) {
                let elapsed = if step < 40 { Duration::from_millis(100) } else { Duration::from_millis(900) };
                harness.end_attempt_after(elapsed, id, 0, backend, Outcome::Ok);
            }
            harness.advance(Duration::from_millis(20));
        }
        (0..40)
            .map(|customer| is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions))
            .collect::<Vec<_>>()
    };
    let (here, there) = (rejections(0), rejections(1));
    assert_eq!(here, there);
    assert!(
        here.contains(&true) && here.contains(&false),
        "the stage admits some customers and rejects others"
    );
}

/// Half of the backends are removed while the load stays the same. If the remaining ones received all
/// requests, they would be overloaded and fail as well; the concurrency limit halves with the number of
/// backends.
#[test]
fn remaining_backends_do_not_take_over_the_load_of_removed_ones() {
    let in_flight = |backends: u64| {
        let mut harness = GatewayHarness::new(settings(), 12);
        harness.update_endpoints(EndpointUpdate::Snapshot, backends);
        (0..200)
            .map(|customer| sent_to(&harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions).len())
            .sum::<usize>()
    };
    assert!(in_flight(12) >= 12);
    assert!(
        in_flight(6) * 2 <= in_flight(12) + 2,
        "{} in flight at 6 backends, {} at 12",
        in_flight(6),
        in_flight(12)
    );
}

/// The concurrency limit is exceeded. Rejection depends on the customer and not on the order of arrival: if
/// each retry had another chance, all rejected clients would retry at once and add to the load.
#[test]
fn the_concurrency_limit_rejects_the_same_customers_again() {
    let mut harness = GatewayHarness::new(settings(), 12);
    let rejections: Vec<bool> = (0..80)
        .map(|customer| is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions))
        .collect();
    let first_rejected = rejections.iter().position(|rejected| *rejected).expect("the limit is reached");
    let last_admitted = rejections.iter().rposition(|rejected| !*rejected).expect("some are admitted");
    assert!(first_rejected < last_admitted, "some are rejected before the limit is reached");
    assert!(
        is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, first_rejected as u64, 1.0).actions),
        "a retry is rejected again"
    );
}
