//! Tests of [`super`].

use super::*;
use crate::gossip::TokenLevel;
use crate::policy::quota::tests::*;
use crate::policy::quota::{GrantScope, GrantTiming};
use crate::Request;

/// A designated owner charges a request when it grants it. If the request is rejected nevertheless, the owner
/// needs a report, or the customer is charged for unused units. In a small fleet the other owners need a
/// report of an admitted request, too.
#[test]
fn decisions_are_reported_unless_the_only_owner_has_charged_them() {
    let mut large = manager(LARGE_FLEET);
    let customer = customer_owned(&mut large, RATE_QUOTA, false);
    let owner = large.customers[&customer].quota_owners[0];
    large.on_grant(START, owner, &grant(customer, 9.0, 0));
    assert_eq!(large.report_after_admission(customer, DecisionPoint::GrantWait), None);
    large.on_grant(START, owner, &grant(customer, 9.0, 0));
    assert_eq!(large.report_after_rejection(customer, DecisionPoint::GrantWait), Some(ReportPurpose::Usage));
    assert_eq!(
        large.report_after_rejection(customer, DecisionPoint::Arrival),
        None,
        "no owner has charged it"
    );

    let mut small = manager(SMALL_FLEET);
    small.observe_request(START, &request(customer, RATE_QUOTA, 1.0));
    assert_eq!(small.report_after_admission(customer, DecisionPoint::GrantWait), Some(ReportPurpose::Usage));
}

/// A restarted owner has lost all usage, so customers could use their full quotas again. Gateways report the
/// customers with recent usage to it. In a large fleet an owner's first message does not mean a restart, so
/// nothing is reported.
#[test]
fn a_restarted_owner_receives_reports_of_customers_with_recent_usage() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let owner = manager.customers[&customer].quota_owners[0];
    manager.customers.retain(|id, _| *id == customer);
    assert_eq!(manager.on_peer_start(START, owner, PeerStart::Restarted), [customer]);
    assert_eq!(manager.on_peer_start(START, owner, PeerStart::FirstHeard), []);
    let later = START + Duration::from_secs(3);
    assert_eq!(manager.on_peer_start(later, owner, PeerStart::Restarted), []);
}

/// In a small fleet a gateway that is not an owner admits a request on arrival by an earlier grant, and
/// requests a new one for the next request. In a large fleet a grant is requested for each request.
#[test]
fn a_small_fleet_renews_its_grants_after_admission() {
    let customer = CustomerId(7);
    let purpose_in = |gateway_count| {
        let mut manager = manager(gateway_count);
        let base = request(customer, RATE_QUOTA, 1.0);
        manager.observe_request(START, &Request { gateway_set_start: 1.0, gateway_set_size: 2.0, ..base });
        manager.report_after_admission(customer, DecisionPoint::Arrival)
    };
    assert_eq!(purpose_in(SMALL_FLEET), Some(ReportPurpose::GrantRequest));
    assert_eq!(purpose_in(LARGE_FLEET), Some(ReportPurpose::Usage));
}

/// Usage is reported to all other owners, in two copies if all gateways own the quota. Only the reports to
/// the two granters request a grant.
#[test]
fn usage_is_reported_to_all_other_owners_and_grants_requested_from_granters() {
    let mut small = manager(SMALL_FLEET);
    let customer = customer_owned(&mut small, RATE_QUOTA, true);
    let granters = small.customers[&customer].granters;
    let recipients = small.report_recipients(customer, ReportPurpose::GrantRequest);
    assert!(recipients.iter().map(|recipient| recipient.gateway).eq([1, 2]));
    for recipient in recipients {
        assert_eq!(recipient.entry.copies_left, 2);
        assert_eq!(recipient.entry.requests_grant, granters.contains(&recipient.gateway));
    }
    let usage = small.report_recipients(customer, ReportPurpose::Usage);
    assert!(usage.iter().all(|recipient| !recipient.entry.requests_grant));
}

/// A report includes the level of the bucket for an owner that has lost its record. At a reporter the level
/// is known for 1 s after an owner's answer.
#[test]
fn the_level_of_a_bucket_is_reported_for_a_second_after_an_answer() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let owner = manager.customers[&customer].quota_owners[0];
    manager.on_grant(START, owner, &grant(customer, 20.0, 0));
    let entry = OutboxEntry { copies_left: 1, requests_grant: false };
    let mut level_after = |millis| {
        let report = manager.usage_report(START + Duration::from_millis(millis), owner, customer, entry);
        report.expect("the customer has a record").tokens_level
    };
    assert_eq!(level_after(999), TokenLevel::from_tokens(20.0, 20.0));
    assert_eq!(level_after(1000), TokenLevel::UNKNOWN);
}

/// A grant is requested from both owners of a hard limit, but units of the hard limit only from one, drawn by
/// the time and the customer: of two grants one would be wasted.
#[test]
fn units_of_a_hard_limit_are_requested_from_one_owner() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, HARD_LIMIT, false);
    let waiting = request(customer, HARD_LIMIT, 1.0);
    manager.await_grant(START, &waiting, GrantScope::QuotaAndHardLimit, GrantTiming::AtOnce);
    let owners = manager.customers[&customer].granters;
    let entry = OutboxEntry { copies_left: 1, requests_grant: true };
    let mut drawn_first = 0;
    for millis in 0..100 {
        let now = START + Duration::from_millis(millis);
        let requested = owners.map(|owner| {
            let report =
                manager.usage_report(now, owner, customer, entry).expect("the customer has a record");
            assert!(report.requests_grant);
            report.needs_hard_limit_grant
        });
        assert_ne!(requested[0], requested[1]);
        drawn_first += usize::from(requested[0]);
    }
    assert!((30..70).contains(&drawn_first), "{drawn_first}");
}
