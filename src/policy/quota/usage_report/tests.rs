//! Tests of [`super`].

use super::*;
use crate::policy::quota::shortages::{QuotaLimit, Shortage};
use crate::policy::quota::tests::*;
use crate::Duration;

/// Two gateways request 15 of a customer's 20 units at the same time. The owner charges the first grant at
/// once, without waiting for the report of its use, so that the second one learns that only 5 units are left.
#[test]
fn an_owner_charges_what_it_grants_at_once() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, true);
    let mut tokens_answered = |from, report: &UsageReport| {
        let answer = manager.on_usage_report(START, from, PeerAge::NotOlder, report);
        answer.expect("a grant was requested").tokens
    };
    assert_eq!(tokens_answered(1, &report(customer, 0, 0, 0)), 20.0);
    assert_eq!(tokens_answered(2, &report(customer, 0, 0, 0)), 5.0);
    // The first one reports the 15 units, in quarters: they are not charged twice.
    let used = UsageReport { requests_grant: true, ..report(customer, 0, 60, 0) };
    assert_eq!(tokens_answered(1, &used), 5.0);
}

/// A plan allows two attempts in flight over all gateways. The owner has granted one to each of two peers; a
/// third learns that two are in flight elsewhere, and has its request wait as long as an answer takes.
#[test]
fn a_concurrency_quota_counts_what_was_granted_elsewhere() {
    let mut counting = manager(LARGE_FLEET);
    let customer = customer_owned(&mut counting, CONCURRENCY_QUOTA, true);
    let mut in_flight_answered = |from| {
        let answer = counting.on_usage_report(START, from, PeerAge::NotOlder, &report(customer, 1, 0, 0));
        answer.expect("a grant was requested").remote_in_flight
    };
    assert_eq!([1, 2, 3].map(&mut in_flight_answered), [0, 1, 2]);

    let mut asker = manager(LARGE_FLEET);
    let customer = customer_owned(&mut asker, CONCURRENCY_QUOTA, false);
    let request = request(customer, CONCURRENCY_QUOTA, 1.0);
    let owner = asker.customers[&customer].quota_owners[0];
    asker.on_grant(START, owner, &grant(customer, 0.0, 2));
    let expected = Shortage { limit: QuotaLimit::Concurrency, seconds: 0.25 };
    assert_eq!(shortage(&mut asker, START, &request), Some(expected));
}

/// A gateway has run for long when an owner starts, and its first report counts all that it ever forwarded.
/// The owner must not charge that at once; of later reports it charges the difference.
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
    assert_eq!(tokens_left(4000), 20.0, "a thousand units, of any time");
    assert_eq!(tokens_left(4008), 18.0, "two units, since the first report");
}

/// A peer forgot a customer that paused for long, and counts its usage from nothing again. The owner, which
/// keeps records for longer, takes the small total for what it is. Were the peer still counting, a total that
/// falls would be units given back.
#[test]
fn a_total_that_was_counted_anew_is_taken_for_new_usage() {
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
    assert_eq!(used_units(Duration::from_secs(19)), 0.0, "2 units come back to a full bucket");
}

/// An owner of a hard limit grants units of its own share, in the quarters that a message can carry, and
/// deducts them at once. What it does not have in full it does not grant.
#[test]
fn units_of_a_hard_limit_are_deducted_where_they_are_granted() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, HARD_LIMIT, true);
    let needs =
        UsageReport { requested_units: 3.3, needs_hard_limit_grant: true, ..report(customer, 2, 0, 0) };
    let mut granted_of = |tokens| {
        let record = manager.customers.get_mut(&customer).expect("it was seen");
        record.hard_limit.tokens = tokens;
        let answer = manager.on_usage_report(START, 1, PeerAge::NotOlder, &needs);
        let granted = answer.expect("a grant was requested").hard_limit_grant;
        (granted, manager.customers[&customer].hard_limit.tokens)
    };
    assert_eq!(granted_of(4.0), (3.25, 0.75));
    assert_eq!(granted_of(3.0), (0.0, 3.0));
}

/// Requests for grants on a customer with a concurrency quota can be too many for its owner in a large fleet.
/// The rate that the owner tells with its grants is then one of those requests, by which the gateways ration
/// them. Elsewhere it is one of units.
#[test]
fn the_rate_of_a_concurrency_quota_counts_requests_in_a_large_fleet() {
    // Eight units were used since the last report, and one grant is requested: over a time constant of 2 s.
    let rate_after = |gateway_count, plan| {
        let mut manager = manager(gateway_count);
        let customer = customer_owned(&mut manager, plan, true);
        let record = manager.customers.get_mut(&customer).expect("it was seen");
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
