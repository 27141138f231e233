//! Tests of quotas on attempts in flight, and of the owners that grant them.

use crate::support::fleet::Fleet;
use crate::support::gateway::{
    is_failed, is_rejected, sent_messages, sent_to, GatewayHarness, SubmittedRequest,
};
use crate::support::settings::{
    settings, settings_of, CONCURRENCY_QUOTA, IDEMPOTENT, NON_IDEMPOTENT, SECOND, START, UNLIMITED,
};
use ingress::*;

/// A customer with a quota of two attempts in flight cancels one by disconnecting. The attempt counts until
/// the backend has ended it; otherwise a customer could occupy any number of backends by disconnecting
/// repeatedly.
#[test]
fn a_concurrency_quota_counts_cancelled_attempts_until_they_end() {
    let mut harness = GatewayHarness::new(settings(), 4);
    let SubmittedRequest { id, actions } = harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0);
    assert_eq!(sent_to(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).actions).len(), 1);
    assert!(is_rejected(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).actions));
    harness.handle(Event::RequestClosed(id));
    assert!(
        is_rejected(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).actions),
        "the cancelled attempt is still in flight"
    );
    harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::Cancelled);
    assert_eq!(sent_to(&harness.request(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0).actions).len(), 1);
}

/// A slow backend holds an attempt of a customer with a concurrency quota. Its answer has no value after the
/// latency objective, but the attempt would count against the quota until the client's deadline, and the
/// customer's next requests would be rejected. It therefore expires at the objective.
#[test]
fn an_attempt_under_a_concurrency_quota_expires_at_its_latency_objective() {
    let mut harness = GatewayHarness::new(settings_of(0, 100), 200);
    let expires_at = |actions: &[Action]| {
        let expiry = |action: &Action| {
            if let Action::Send { expires_at, .. } = action {
                Some(*expires_at)
            } else {
                None
            }
        };
        actions.iter().find_map(expiry)
    };
    let SubmittedRequest { id, actions } =
        harness.request_from_set(NON_IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 1.0);
    assert_eq!(
        expires_at(&actions),
        Some(Some(START + SECOND)),
        "a concurrency quota, and a latency objective of 1 s"
    );
    assert_eq!(
        expires_at(&harness.request_from_set(NON_IDEMPOTENT, UNLIMITED, 6, 1.0, 1.0).actions),
        Some(None),
        "without a quota an attempt may last until the client's deadline"
    );
    harness.advance(SECOND + Duration::from_millis(20));
    let ended = harness.end_attempt(id, 0, sent_to(&actions)[0], Outcome::TimedOut);
    assert!(is_failed(&ended), "the request fails at once, not at its deadline");
    assert_eq!(
        sent_to(&harness.request_from_set(NON_IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 1.0).actions).len(),
        1
    );
}

/// A customer's quota owner does not answer, since it is overloaded with grant requests. Admitting all
/// requests would exceed the quota while the fleet is overloaded; admitting none would lock the customer out.
/// A random share is admitted, which is smaller the more an attempt over the quota costs.
#[test]
fn a_random_share_of_requests_is_admitted_without_an_answer_of_the_quota_owner() {
    for (over_cost, share) in [(0.0, 1.0), (1.0, 0.5), (3.0, 0.25)] {
        let mut settings = settings_of(0, 300);
        settings.plans[usize::from(CONCURRENCY_QUOTA)].over_quota_cost = over_cost;
        let mut harness = GatewayHarness::new(settings, 200);
        let (mut sent, mut waited) = (0, 0);
        for customer in 0..400 {
            let SubmittedRequest { id, actions: at_once } =
                harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, customer, 1.0, 300.0);
            if !sent_to(&at_once).is_empty() {
                continue; // this gateway is the quota owner
            }
            waited += 1;
            let later = harness.advance(Duration::from_millis(120));
            for backend in sent_to(&later) {
                sent += 1;
                harness.end_attempt(id, 0, backend, Outcome::Ok);
            }
        }
        let admitted = f64::from(sent) / f64::from(waited);
        assert!((admitted - share).abs() < 0.1, "{admitted} of {waited} admitted at a cost of {over_cost}");
    }
}

/// A quota owner that answers grant requests for other customers, but not for this one, is probably
/// overloaded by this customer, so the request is rejected. An owner that sends nothing may have failed, and
/// the request is admitted.
#[test]
fn a_request_is_rejected_if_the_quota_owner_answers_only_for_other_customers() {
    // Without a cost over the quota, requests are admitted if the quota owner is silent.
    let harness_of = |own_id| {
        let mut settings = settings_of(own_id, 100);
        settings.plans[usize::from(CONCURRENCY_QUOTA)].over_quota_cost = 0.0;
        GatewayHarness::new(settings, 200)
    };
    let mut harness = harness_of(0);
    let owner =
        sent_messages(&harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 100.0).actions)
            .first()
            .expect("a grant is requested from the quota owner")
            .0;
    assert_eq!(
        sent_to(&harness.advance(Duration::from_millis(200))).len(),
        1,
        "no message of the quota owner was received"
    );
    harness.now += SECOND * 3;
    // The quota owner answers a grant request for another of its customers.
    let mut other_customers = 100..;
    let grant_request = loop {
        let messages = sent_messages(
            &harness
                .request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, other_customers.next().unwrap(), 1.0, 100.0)
                .actions,
        );
        if let Some((_, bytes)) = messages.into_iter().next().filter(|message| message.0 == owner) {
            break bytes;
        }
    };
    let mut owner_harness = harness_of(owner.0);
    owner_harness.now = harness.now;
    let answers =
        sent_messages(&owner_harness.handle(Event::PeerMessage { from: GatewayId(0), bytes: grant_request }));
    let (_, bytes) = answers.into_iter().next().expect("the owner's answer");
    harness.handle(Event::PeerMessage { from: owner, bytes });
    harness.advance(Duration::from_millis(300));
    let id = harness.request_from_set(IDEMPOTENT, CONCURRENCY_QUOTA, 5, 1.0, 100.0).id;
    let later = harness.advance(Duration::from_millis(300));
    assert!(later
        .iter()
        .any(|action| matches!(action, Action::Reject { id: rejected, .. } if *rejected == id)));
}

/// A grant request for each request of a busy customer would exceed the messages that its quota owner can
/// receive. The owner would lose messages for its other customers, which would be rejected within their
/// quotas. Grant requests for the busy customer are limited, while many of its requests are still sent.
#[test]
fn grant_requests_for_a_busy_customer_are_limited() {
    let mut fleet = Fleet::new(100);
    let mut sent = 0;
    for number in 0..400usize {
        sent += fleet.request(number % 5, CONCURRENCY_QUOTA, 1.0, 100.0, 0); // 50 per second at five gateways
    }
    // A grant request, an answer and a report of the end for each request would be 1,200 messages; an owner
    // receives at most 60 per second, 480 in 8 s.
    assert!(fleet.messages_sent <= 1000, "{} messages for 400 requests", fleet.messages_sent);
    assert!(sent >= 150, "{sent} of 400 sent");
}
