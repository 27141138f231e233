//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::*;
use crate::policy::quota::{GrantScope, GrantTiming};

/// Somebody sends a request under another plan of a customer that is well known. The record keeps its plan.
/// Only when more requests name the other plan than have confirmed the old one does it change.
#[test]
fn a_single_request_does_not_change_a_customers_plan() {
    let mut manager = manager(SMALL_FLEET);
    let mut plan_by = |plan| manager.observe_request(START, &request(CustomerId(7), plan, 1.0)).plan;
    assert_eq!([RATE_QUOTA; 3].map(&mut plan_by), [RATE_QUOTA; 3]);
    assert_eq!([CONCURRENCY_QUOTA; 2].map(&mut plan_by), [RATE_QUOTA; 2], "two confirmed the plan");
    assert_eq!(plan_by(CONCURRENCY_QUOTA), CONCURRENCY_QUOTA);
}

/// A customer that was not seen for more than 10 s counts as unseen to load shedding.
#[test]
fn a_customer_is_familiar_for_ten_seconds() {
    let mut manager = manager(SMALL_FLEET);
    let mut activity_at =
        |now| manager.observe_request(now, &request(CustomerId(7), RATE_QUOTA, 1.0)).activity;
    let at_ten_seconds = START + Duration::from_secs(10);
    assert_eq!(activity_at(START), CustomerActivity::Inactive);
    assert_eq!(activity_at(at_ten_seconds), CustomerActivity::Active);
    assert_eq!(activity_at(at_ten_seconds + Duration::from_millis(10_001)), CustomerActivity::Inactive);
}

/// A customer used up its hard limit. Somebody makes its record change its plan and change it back: its
/// bucket must not be full again, or the limit could be passed at will. What waits and what is in flight goes
/// on.
#[test]
fn a_changed_record_keeps_the_level_of_the_hard_limit() {
    let mut manager = manager(1);
    let now = START + Duration::from_secs(60);
    let customer = CustomerId(7);
    let waiting = request(customer, HARD_LIMIT, 1.0);
    manager.observe_request(now, &waiting);
    manager.await_grant(now, &waiting, GrantScope::Quota, GrantTiming::AtOnce);
    manager.begin_attempt(customer);
    assert_eq!(manager.customers[&customer].hard_limit.tokens, 40.0, "refilled since the start");
    manager.charge(customer, 39.0);
    let changed = manager.observe_request(now, &request(customer, RATE_QUOTA, 1.0));
    let changed_back = manager.observe_request(now, &waiting);
    assert_eq!((changed.plan, changed_back.plan), (RATE_QUOTA, HARD_LIMIT));
    let record = &manager.customers[&customer];
    assert!(record.hard_limit.tokens <= 1.0);
    assert_eq!((record.grant_request.waiting.as_slice(), record.in_flight), (&[waiting.id][..], 1));
}
