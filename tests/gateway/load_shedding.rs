//! Shedding stages and the concurrency limit.

use crate::support::gateway::{is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{plan, settings, settings_of, IDEMPOTENT, UNLIMITED};
use ingress::*;

/// Backends become slow and later fast again. The gateway raises its shedding stage while they are slow, so that
/// the requests it does admit are served in time, and lowers it afterwards; an operator sees both in the log. A
/// stage that stayed up would reject customers for nothing.
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
    let up = log.iter().find(|(_, line)| line.contains("from=0, to=1")).expect("an alert");
    assert!((100..300).contains(&up.0));
    let down =
        log.iter().rev().find(|(_, line)| line.contains("from=1, to=0")).expect("the end of the alert");
    assert!(down.0 > 300);
}

/// All backends are slow, and gateways reject part of the customers. If each gateway chose for itself, a rejected
/// client that retries elsewhere would be admitted there, and the load would not fall; so all of them reject the
/// same customers.
#[test]
fn all_gateways_shed_the_same_customers() {
    let verdicts = |own_id: u16| {
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
    let (here, there) = (verdicts(0), verdicts(1));
    assert_eq!(here, there);
    assert!(here.contains(&true) && here.contains(&false), "half of a priority passes in the third stage");
}

/// Half of the backends disappear while the load stays the same. If the other half took over all requests, it would
/// be overloaded and fail as well; the limit on requests in flight halves with the backends, and the rest is
/// rejected.
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

/// More customers come than the concurrency limit has room for. Who is rejected depends on the customer and not on
/// who came last: if a retry had another chance, rejected clients would all retry at once and add to the load.
#[test]
fn the_concurrency_limit_rejects_the_same_customers_again() {
    let mut harness = GatewayHarness::new(settings(), 12);
    let verdicts: Vec<bool> = (0..80)
        .map(|customer| is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, customer, 1.0).actions))
        .collect();
    let first_rejected = verdicts.iter().position(|rejected| *rejected).expect("the limit is reached");
    let last_admitted = verdicts.iter().rposition(|rejected| !*rejected).expect("some are admitted");
    assert!(first_rejected < last_admitted, "some are rejected before the limit is reached");
    assert!(
        is_rejected(&harness.request(IDEMPOTENT, UNLIMITED, first_rejected as u64, 1.0).actions),
        "a retry changes nothing"
    );
}
