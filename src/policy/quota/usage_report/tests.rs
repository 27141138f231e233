//! Tests of [`super`].

use super::*;
use crate::policy::quota::shortages::{QuotaLimit, Shortage};
use crate::policy::quota::tests::*;
use crate::Duration;

/// Two gateways request 15 of a customer's 20 units at the same time. The owner charges the first grant
/// immediately, before a report of its use, so the second answer has 5 units left.
#[test]
fn an_owner_charges_granted_units_immediately() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, true);
    let mut tokens_answered = |from, report: &UsageReport| {
        let answer = manager.on_usage_report(START, from, PeerAge::NotOlder, report);
        answer.expect("a grant was requested").tokens
    };
    assert_eq!(tokens_answered(1, &report(customer, 0, 0, 0)), 20.0);
    assert_eq!(tokens_answered(2, &report(customer, 0, 0, 0)), 5.0);
    // The first gateway reports the 15 units, in quarters of a unit; they are not charged again.
    let used = UsageReport { requests_grant: true, ..report(customer, 0, 60, 0) };
    assert_eq!(tokens_answered(1, &used), 5.0);
}

/// A plan allows two attempts in flight over all gateways, and the owner has granted one to each of two
/// peers. A third gateway is informed of both, and waits for the expected response time.
#[test]
fn a_concurrency_quota_counts_attempts_granted_to_other_gateways() {
    let mut counting = manager(LARGE_FLEET);
    let customer = customer_owned(&mut counting, CONCURRENCY_QUOTA, true);
    let mut in_flight_answered = |from| {
        let answer = counting.on_usage_report(START, from, PeerAge::NotOlder, &report(customer, 1, 0, 0));
        answer.expect("a grant was requested").remote_in_flight
    };
    assert_eq!([1, 2, 3].map(&mut in_flight_answered), [0, 1, 2]);

    let mut requester = manager(LARGE_FLEET);
    let customer = customer_owned(&mut requester, CONCURRENCY_QUOTA, false);
    let request = request(customer, CONCURRENCY_QUOTA, 1.0);
    let owner = requester.customers[&customer].quota_owners[0];
    requester.on_grant(START, owner, &grant(customer, 0.0, 2));
    let expected = Shortage { limit: QuotaLimit::Concurrency, seconds: 0.25 };
    assert_eq!(shortage(&mut requester, START, &request), Some(expected));
}

/// The first report that a new owner receives from an older gateway contains all usage since that gateway's
/// start. The owner must not charge it; it charges the differences of later reports.
#[test]
fn the_first_total_of_an_older_gateway_is_not_charged() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, true);
    let now = START + Duration::from_secs(11);
    let mut tokens_left = |total_units| {
        let usage = UsageReport { requests_grant: false, ..report(customer, 0, total_units, 0) };
        assert_eq!(manager.on_usage_report(now, 1, PeerAge::Older, &usage), None, "no grant was requested");
        manager.customers[&customer].bucket.tokens()
    };
    assert_eq!(tokens_left(4000), 20.0, "a thousand units, used at any time before");
    assert_eq!(tokens_left(4008), 18.0, "two units since the first report");
}

/// A peer has removed the record of a customer after a long pause, and its total restarts at zero. The owner,
/// which retains records longer, counts the small total as new usage. After a shorter pause a lower total
/// means that units were returned.
#[test]
fn a_total_that_restarts_at_zero_counts_as_new_usage() {
    let used_units = |pause| {
        let mut manager = manager(LARGE_FLEET);
        let customer = customer_owned(&mut manager, RATE_QUOTA, true);
        let mut tokens_after = |now, total_units| {
            let usage = UsageReport { requests_grant: false, ..report(customer, 0, total_units, 0) };
            manager.on_usage_report(now, 1, PeerAge::NotOlder, &usage);
            manager.customers[&customer].bucket.tokens()
        };
        tokens_after(START, 16);
        20.0 - tokens_after(START + pause, 8)
    };
    assert_eq!(used_units(Duration::from_secs(21)), 2.0, "8 quarters of a unit");
    assert_eq!(used_units(Duration::from_secs(19)), 0.0, "2 units are returned, up to a full bucket");
}

/// An owner of a hard limit grants units of its own share, rounded down to the quarters that a message can
/// carry, and deducts them immediately. It grants nothing if it lacks a part of the requested units.
#[test]
fn granted_units_of_a_hard_limit_are_deducted_at_the_owner() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, HARD_LIMIT, true);
    let needs =
        UsageReport { requested_units: 3.3, needs_hard_limit_grant: true, ..report(customer, 2, 0, 0) };
    let mut granted_of = |tokens| {
        let record = manager.customers.get_mut(&customer).expect("the customer has a record");
        record.hard_limit.tokens = tokens;
        let answer = manager.on_usage_report(START, 1, PeerAge::NotOlder, &needs);
        let granted = answer.expect("a grant was requested").hard_limit_grant;
        (granted, manager.customers[&customer].hard_limit.tokens)
    };
    assert_eq!(granted_of(4.0), (3.25, 0.75));
    assert_eq!(granted_of(3.0), (0.0, 3.0));
}

/// In a large fleet, grant requests for a customer with a concurrency quota can overload its owner. The
/// owner's answers then carry the rate of those requests, by which gateways limit them. Otherwise the rate is
/// in units.
#[test]
fn the_rate_under_a_concurrency_quota_counts_grant_requests_in_a_large_fleet() {
    // Eight units since the last report, and one grant request, over a time constant of 2 s.
    let rate_after = |gateway_count, plan| {
        let mut manager = manager(gateway_count);
        let customer = customer_owned(&mut manager, plan, true);
        let record = manager.customers.get_mut(&customer).expect("the customer has a record");
        record.remote.replace(0.0, 0);
        let gateway_set_size = gateway_count;
        let used = UsageReport { gateway_set_size, ..report(customer, plan as u8, 32, 0) };
        manager.on_usage_report(START, 1, PeerAge::NotOlder, &used);
        manager.customers[&customer].remote.rate()
    };
    assert_eq!(rate_after(LARGE_FLEET, CONCURRENCY_QUOTA), 0.5);
    assert_eq!(rate_after(LARGE_FLEET, RATE_QUOTA), 4.0);
    assert_eq!(rate_after(SMALL_FLEET, CONCURRENCY_QUOTA), 4.0);
}
