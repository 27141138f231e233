//! Quotas on attempts in flight, and the owners that grant them.

use crate::support::gateway::{
    is_failed, is_rejected, sent_to, settings, Fleet, GatewayHarness, SECOND, START,
};
use crate::support::gateway::{CONCURRENCY_QUOTA, IDEMPOTENT, NON_IDEMPOTENT, UNLIMITED};
use ingress::*;

#[test]
fn a_concurrency_quota_counts_cancelled_attempts_until_they_end() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let (id, actions) = harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0);
    assert_eq!(sent_to(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).1).len(), 1);
    assert!(is_rejected(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).1));
    harness.handle(Event::ClientDisconnected(id));
    assert!(
        is_rejected(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).1),
        "called off, yet still out"
    );
    harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Cancelled);
    assert_eq!(sent_to(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).1).len(), 1);
}

/// Guards against an attempt at a slow backend that occupies one of a customer's few places for as long as
/// the client waits, though its answer has been worth nothing since the latency objective.
#[test]
fn an_attempt_under_a_concurrency_quota_expires_at_its_latency_objective() {
    let mut harness = GatewayHarness::new(Settings { gateway_count: 100, ..settings() }, 200);
    let until = |actions: &[Action]| {
        let expiry =
            |a: &Action| if let Action::Send { expires_at: expires, .. } = a { Some(*expires) } else { None };
        actions.iter().find_map(expiry)
    };
    let (id, actions) = harness.request_from_set(NON_IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 1.0);
    assert_eq!(until(&actions), Some(START + SECOND), "a cap of two, an aim of a second");
    assert_eq!(
        until(&harness.request_from_set(NON_IDEMPOTENT, UNLIMITED, 6, 1.0, 1.0).1),
        Some(0),
        "without a cap it lasts as long as the client"
    );
    harness.advance(SECOND + 20_000);
    let ended = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::TimedOut);
    assert!(is_failed(&ended), "told at once, not later");
    assert_eq!(sent_to(&harness.request_from_set(NON_IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 1.0).1).len(), 1);
}

/// Guards against admitting every request of a customer with a concurrency quota where its quota owner is not
/// heard: an owner that is asked for more than it takes in is heard by nobody. The more an error costs, the
/// fewer requests pass; some always do.
#[test]
fn without_answers_of_the_quota_owner_a_random_share_is_admitted() {
    for (over_cost, share) in [(0.0, 1.0), (1.0, 0.5), (3.0, 0.25)] {
        let mut s = Settings { gateway_count: 300, ..settings() };
        s.plans[usize::from(CONCURRENCY_QUOTA)].over_quota_cost = over_cost;
        let mut harness = GatewayHarness::new(s, 200);
        let (mut sent, mut asked) = (0, 0);
        for customer in 0..400 {
            let (id, at_once) = harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, customer, 1.0, 300.0);
            if !sent_to(&at_once).is_empty() {
                continue; // a home of its own: nobody to ask
            }
            asked += 1;
            let later = harness.advance(120_000);
            for backend in sent_to(&later) {
                sent += 1;
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        let part = f64::from(sent) / f64::from(asked);
        assert!((part - share).abs() < 0.1, "{part} of {asked} let in at a cost of {over_cost}");
    }
}

/// Guards against admitting customers whom an overloaded quota owner does not answer for: those are the
/// customers that overload it, and each request over the quota costs as much as one inside earns. An owner
/// that sends nothing at all may have died.
#[test]
fn a_request_is_rejected_where_the_quota_owner_answers_for_other_customers_only() {
    // Where being wrong costs nothing no lot is drawn: who is not heard is let in.
    let harness_of = |me| {
        let mut s = Settings { gateway_count: 100, own_id: GatewayId(me), ..settings() };
        s.plans[usize::from(CONCURRENCY_QUOTA)].over_quota_cost = 0.0;
        GatewayHarness::new(s, 200)
    };
    let mut harness = harness_of(0);
    let told = |actions: &[Action]| {
        let one = |a: &Action| {
            if let Action::SendToPeer { to, bytes } = a {
                Some((to.unwrap(), bytes.clone()))
            } else {
                None
            }
        };
        actions.iter().find_map(one)
    };
    let home = told(&harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 100.0).1)
        .expect("its home is asked")
        .0;
    assert_eq!(sent_to(&harness.advance(200_000)).len(), 1, "its home was never heard");
    harness.now += 3 * SECOND;
    // Another customer with the same home, and its word on that one.
    let mut others = 100..;
    let question = loop {
        let asked = told(
            &harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, others.next().unwrap(), 1.0, 100.0).1,
        );
        if let Some((_, bytes)) = asked.filter(|a| a.0 == home) {
            break bytes;
        }
    };
    let mut its = harness_of(home.0);
    its.now = harness.now;
    let (_, bytes) =
        told(&its.handle(Event::PeerMessage { from: GatewayId(0), bytes: question })).expect("its word");
    harness.handle(Event::PeerMessage { from: home, bytes });
    harness.advance(300_000);
    let (id, _) = harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 100.0);
    let later = harness.advance(300_000);
    assert!(later.iter().any(|a| matches!(a, Action::Reject { id: refused, .. } if *refused == id)));
}

/// Guards against one customer with so many requests that its quota owner cannot take the grant requests in,
/// and loses the ends of attempts and the requests for all its other customers with them.
#[test]
fn grant_requests_for_a_busy_customer_are_limited() {
    let mut fleet = Fleet::new(100);
    let mut sent = 0;
    for n in 0..400usize {
        sent += fleet.request(n % 5, CONCURRENCY_QUOTA, 1.0, 100.0, 0); // 50 a second, by five busy gateways
    }
    // A question, a word and an end for each would be 1,200; a home takes in 60 a second here, so 480 in 8 s.
    assert!(fleet.messages_sent <= 1000, "{} messages for 400 requests", fleet.messages_sent);
    assert!(sent >= 150, "{sent} of 400 sent");
}
