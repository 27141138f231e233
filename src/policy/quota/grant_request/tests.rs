//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::*;

/// A request is held for a grant. The first one asks the owners; a second one a moment later waits for the
/// same answer; the answer is for both.
#[test]
fn requests_that_wait_share_one_request_for_a_grant() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let first = request(customer, RATE_QUOTA, 1.0);
    let second = Request { id: RequestId(2), ..first };
    let mut wait = |request| manager.await_grant(START, request, GrantScope::Quota, GrantTiming::WithOthers);
    assert_eq!(wait(&first), GrantRequestStep::RequestGrant);
    assert_eq!(wait(&second), GrantRequestStep::AwaitAnswer);
    let owner = manager.customers[&customer].quota_owners[0];
    let answered = manager.on_grant(START, owner, &grant(customer, 9.0, 0)).expect("the owner was asked");
    assert_eq!(answered.waiting, [first.id, second.id]);
    assert_eq!(answered.answers, GrantAnswers::Complete);
    assert_eq!(manager.on_grant(START, owner + 1, &grant(customer, 9.0, 0)), None, "not an owner");
}

/// A customer sends far more than its concurrency quota allows, through many gateways. If each request asked
/// its owner for a grant the owner would lose other messages, so that requests for grants are skipped beyond
/// a quarter of what it takes in: here 25 of 100 a second. In a small fleet, without a grant, or at the owner
/// none is skipped.
#[test]
fn requests_for_grants_are_rationed_for_a_customer_far_beyond_its_quota() {
    let mut large = manager(LARGE_FLEET);
    let customer = customer_owned(&mut large, CONCURRENCY_QUOTA, false);
    assert!(!large.skips_grant_request(START, customer, 1.0), "no grant came yet");
    let owner = large.customers[&customer].quota_owners[0];
    let mut skipped = |rate, draw| {
        large.on_grant(START, owner, &QuotaGrant { remote_rate: rate, ..grant(customer, 0.0, 2) });
        large.skips_grant_request(START, customer, draw)
    };
    assert!(!skipped(25.0, 1.0));
    assert!(skipped(100.0, 0.26) && !skipped(100.0, 0.24), "three of four");
    let own_customer = customer_owned(&mut large, CONCURRENCY_QUOTA, true);
    assert!(!large.skips_grant_request(START, own_customer, 1.0));

    let mut small = manager(SMALL_FLEET);
    let base = request(customer, CONCURRENCY_QUOTA, 1.0);
    small.observe_request(START, &Request { gateway_set_start: 1.0, gateway_set_size: 2.0, ..base });
    small.on_grant(START, 1, &QuotaGrant { remote_rate: 100.0, ..grant(customer, 0.0, 2) });
    assert!(!small.skips_grant_request(START, customer, 1.0));
}

/// Units of a hard limit are granted for the requests that wait. They lapse when the last one is decided, and
/// are ignored when they come a quarter of a second after they were requested: nothing waits for them any
/// more, and kept longer they would add to the limit.
#[test]
fn granted_units_of_a_hard_limit_are_for_the_requests_that_wait() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, HARD_LIMIT, false);
    let waiting = request(customer, HARD_LIMIT, 1.0);
    let owner = manager.customers[&customer].granters[0];
    let answer = QuotaGrant { hard_limit_grant: 3.0, ..grant(customer, 9.0, 0) };
    let mut granted_after = |age| {
        manager.await_grant(START, &waiting, GrantScope::QuotaAndHardLimit, GrantTiming::AtOnce);
        let answered = manager.on_grant(START + Duration::from_millis(age), owner, &answer);
        let answers = answered.map(|answered| answered.answers);
        assert_eq!(answers, Some(GrantAnswers::Outstanding), "of two owners");
        let granted = manager.customers[&customer].hard_limit.granted;
        manager.stop_awaiting_grant(customer, waiting.id);
        assert_eq!(manager.customers[&customer].hard_limit.granted, 0.0, "it lapsed");
        granted
    };
    assert_eq!([249, 250].map(&mut granted_after), [3.0, 0.0]);
}

/// A request waits for a grant for a tenth of a second at most, and where that is too much for its objective
/// or its deadline for a fifth of the lesser of them.
#[test]
fn the_wait_for_a_grant_is_a_fifth_of_the_time_left() {
    let wait = |left, objective| {
        let deadline = START + Duration::from_millis(left);
        grant_wait(START, deadline, Duration::from_millis(objective)).as_millis()
    };
    assert_eq!(wait(4000, 1000), 100);
    assert_eq!(wait(4000, 200), 40);
    assert_eq!(wait(100, 200), 20);
}
