//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::*;

/// The first request that waits causes a grant request. A second one shortly afterwards waits for the same
/// answer, which applies to both.
#[test]
fn waiting_requests_share_one_grant_request() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let first = request(customer, RATE_QUOTA, 1.0);
    let second = Request { id: RequestId(2), ..first };
    let mut wait = |request| manager.await_grant(START, request, GrantScope::Quota, GrantTiming::WithOthers);
    assert_eq!(wait(&first), GrantRequestStep::RequestGrant);
    assert_eq!(wait(&second), GrantRequestStep::AwaitAnswer);
    let owner = manager.customers[&customer].quota_owners[0];
    let answered = manager.on_grant(START, owner, &grant(customer, 9.0, 0)).expect("the sender is an owner");
    assert_eq!(answered.waiting, [first.id, second.id]);
    assert_eq!(answered.answers, GrantAnswers::Complete);
    assert_eq!(manager.on_grant(START, owner + 1, &grant(customer, 9.0, 0)), None, "not an owner");
}

/// A grant request for each request of a customer far over its concurrency quota would make the owner lose
/// other messages. Those above a quarter of the messages that the owner can receive, here 25 of 100 per
/// second, are skipped. None is skipped in a small fleet, before the first answer, or at the owner.
#[test]
fn grant_requests_are_limited_for_a_customer_far_over_its_quota() {
    let mut large = manager(LARGE_FLEET);
    let customer = customer_owned(&mut large, CONCURRENCY_QUOTA, false);
    assert!(!large.skips_grant_request(START, customer, 1.0), "no answer received yet");
    let owner = large.customers[&customer].quota_owners[0];
    let mut skipped = |rate, draw| {
        large.on_grant(START, owner, &QuotaGrant { remote_rate: rate, ..grant(customer, 0.0, 2) });
        large.skips_grant_request(START, customer, draw)
    };
    assert!(!skipped(25.0, 1.0));
    assert!(skipped(100.0, 0.26) && !skipped(100.0, 0.24), "three of four are skipped");
    let own_customer = customer_owned(&mut large, CONCURRENCY_QUOTA, true);
    assert!(!large.skips_grant_request(START, own_customer, 1.0));

    let mut small = manager(SMALL_FLEET);
    let base = request(customer, CONCURRENCY_QUOTA, 1.0);
    small.observe_request(START, &Request { gateway_set_start: 1.0, gateway_set_size: 2.0, ..base });
    small.on_grant(START, 1, &QuotaGrant { remote_rate: 100.0, ..grant(customer, 0.0, 2) });
    assert!(!small.skips_grant_request(START, customer, 1.0));
}

/// Granted units of a hard limit expire when the last waiting request is decided, and are ignored 250 ms or
/// more after they were requested. Units that are kept longer would raise the hard limit.
#[test]
fn granted_units_of_a_hard_limit_expire_with_the_waiting_requests() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, HARD_LIMIT, false);
    let waiting = request(customer, HARD_LIMIT, 1.0);
    let owner = manager.customers[&customer].granters[0];
    let answer = QuotaGrant { hard_limit_grant: 3.0, ..grant(customer, 9.0, 0) };
    let mut granted_after = |age| {
        manager.await_grant(START, &waiting, GrantScope::QuotaAndHardLimit, GrantTiming::AtOnce);
        let answered = manager.on_grant(START + Duration::from_millis(age), owner, &answer);
        let answers = answered.map(|answered| answered.answers);
        assert_eq!(answers, Some(GrantAnswers::Outstanding), "the second owner has not answered");
        let granted = manager.customers[&customer].hard_limit.granted;
        manager.stop_awaiting_grant(customer, waiting.id);
        assert_eq!(manager.customers[&customer].hard_limit.granted, 0.0, "the grant expired");
        granted
    };
    assert_eq!([249, 250].map(&mut granted_after), [3.0, 0.0]);
}

/// A request waits for a grant for at most 100 ms, and at most a fifth of its latency objective and of the
/// time until its deadline.
#[test]
fn the_wait_for_a_grant_is_at_most_a_fifth_of_the_time_left() {
    let wait = |left, objective| {
        let deadline = START + Duration::from_millis(left);
        grant_wait(START, deadline, Duration::from_millis(objective)).as_millis()
    };
    assert_eq!(wait(4000, 1000), 100);
    assert_eq!(wait(4000, 200), 40);
    assert_eq!(wait(100, 200), 20);
}
