//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::*;
use crate::policy::quota::{GrantScope, GrantTiming};

/// Anyone can send a request that states another plan for a customer. The record keeps its plan until more
/// requests have stated the other plan than had confirmed the old one.
#[test]
fn a_single_request_does_not_change_a_customers_plan() {
    let mut manager = manager(SMALL_FLEET);
    let mut plan_by = |plan| manager.observe_request(START, &request(CustomerId(7), plan, 1.0)).plan;
    assert_eq!([RATE_QUOTA; 3].map(&mut plan_by), [RATE_QUOTA; 3]);
    assert_eq!([CONCURRENCY_QUOTA; 2].map(&mut plan_by), [RATE_QUOTA; 2], "two requests confirmed the plan");
    assert_eq!(plan_by(CONCURRENCY_QUOTA), CONCURRENCY_QUOTA);
}

/// A customer counts as active to load shedding for 10 s after its last request.
#[test]
fn a_customer_is_active_for_ten_seconds_after_a_request() {
    let mut manager = manager(SMALL_FLEET);
    let mut activity_at =
        |now| manager.observe_request(now, &request(CustomerId(7), RATE_QUOTA, 1.0)).activity;
    let at_ten_seconds = START + Duration::from_secs(10);
    assert_eq!(activity_at(START), CustomerActivity::Inactive);
    assert_eq!(activity_at(at_ten_seconds), CustomerActivity::Active);
    assert_eq!(activity_at(at_ten_seconds + Duration::from_millis(10_001)), CustomerActivity::Inactive);
}

/// Forged requests change the plan of a customer that has used up its hard limit, and change it back. A full
/// bucket after the changes would allow the limit to be exceeded. Waiting requests and attempts in flight
/// remain in the record.
#[test]
fn a_replaced_record_keeps_the_level_of_the_hard_limit() {
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
