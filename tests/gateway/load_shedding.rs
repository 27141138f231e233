//! Shedding stages and the concurrency limit.

use crate::support::gateway::{is_rejected, sent_to, GatewayHarness, SubmittedRequest};
use crate::support::settings::{plan, settings, settings_of, IDEMPOTENT, UNLIMITED};
use ingress::*;

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

/// A shedding stage rejects the same customers for an epoch: the retry of a rejected client gets the same
/// answer.
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

/// Whom the concurrency limit rejects is drawn by customer and epoch, not by who comes last: a retry gets the
/// same answer at every gateway.
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
