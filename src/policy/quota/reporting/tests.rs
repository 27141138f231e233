//! Tests of [`super`].

use super::*;
use crate::gossip::TokenLevel;
use crate::policy::quota::tests::*;
use crate::policy::quota::{GrantScope, GrantTiming};
use crate::Request;

/// An owner has charged a request that waited for its grant. If the request is admitted, the owner knows that
/// already; if it is rejected after all, the owner must be notified, or the customer pays for units that it did not
/// use. In a small fleet there are other owners, which know of neither.
#[test]
fn owners_are_notified_of_what_they_cannot_know() {
    let mut large = manager(LARGE_FLEET);
    let customer = customer_owned(&mut large, RATE_QUOTA, false);
    let owner = large.customers[&customer].quota_owners[0];
    large.on_grant(START, owner, &grant(customer, 9.0, 0));
    assert_eq!(large.report_after_admission(customer, DecisionPoint::GrantWait), None);
    large.on_grant(START, owner, &grant(customer, 9.0, 0));
    assert_eq!(large.report_after_rejection(customer, DecisionPoint::GrantWait), Some(ReportPurpose::Usage));
    assert_eq!(large.report_after_rejection(customer, DecisionPoint::Arrival), None, "nobody counts on it");

    let mut small = manager(SMALL_FLEET);
    small.observe_request(START, &request(customer, RATE_QUOTA, 1.0));
    assert_eq!(small.report_after_admission(customer, DecisionPoint::GrantWait), Some(ReportPurpose::Usage));
}

/// An owner restarts and has forgotten all usage, so that customers could use their full quotas once more. The
/// gateway that was active for a customer a moment ago reports it again; customers that were not seen for some
/// seconds are not worth a message. In a large fleet an owner that is heard for the first time has not forgotten
/// anything.
#[test]
fn a_restarted_owner_gets_reports_on_active_customers() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let owner = manager.customers[&customer].quota_owners[0];
    manager.customers.retain(|id, _| *id == customer);
    assert_eq!(manager.on_peer_start(START, owner, PeerStart::Restarted), [customer]);
    assert_eq!(manager.on_peer_start(START, owner, PeerStart::FirstHeard), []);
    let later = START + Duration::from_secs(3);
    assert_eq!(manager.on_peer_start(later, owner, PeerStart::Restarted), []);
}

/// A request was admitted on arrival by a gateway that owns no part of its quota. In a small fleet an older
/// grant allowed that, and a new one is requested for the next request; in a large one each request asks for
/// its own.
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

/// Usage is reported to all owners but this gateway, and twice where all gateways own the quota. A grant is
/// requested only of those that hold the hard limit, which are two at most.
#[test]
fn reports_go_to_all_other_owners_and_requests_for_grants_to_two() {
    let mut small = manager(SMALL_FLEET);
    let customer = customer_owned(&mut small, RATE_QUOTA, true);
    let holders = small.customers[&customer].granters;
    let recipients = small.report_recipients(customer, ReportPurpose::GrantRequest);
    assert!(recipients.iter().map(|recipient| recipient.gateway).eq([1, 2]));
    for recipient in recipients {
        assert_eq!(recipient.entry.copies_left, 2);
        assert_eq!(recipient.entry.requests_grant, holders.contains(&recipient.gateway));
    }
    let usage = small.report_recipients(customer, ReportPurpose::Usage);
    assert!(usage.iter().all(|recipient| !recipient.entry.requests_grant));
}

/// A report says how full the gateway takes the bucket to be, for an owner that has forgotten it. A gateway
/// that is not an owner knows that for a second after a grant, and says nothing otherwise.
#[test]
fn the_level_of_a_bucket_is_reported_while_it_is_known() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let owner = manager.customers[&customer].quota_owners[0];
    manager.on_grant(START, owner, &grant(customer, 20.0, 0));
    let entry = OutboxEntry { copies_left: 1, requests_grant: false };
    let mut level_after = |millis| {
        let report = manager.usage_report(START + Duration::from_millis(millis), owner, customer, entry);
        report.expect("a known customer").tokens_level
    };
    assert_eq!(level_after(999), TokenLevel::from_tokens(20.0, 20.0));
    assert_eq!(level_after(1000), TokenLevel::UNKNOWN);
}

/// Both owners of a hard limit are asked whether the quota allows a request, but only one of them, drawn by
/// the time, for units of the hard limit: two grants would waste one.
#[test]
fn units_of_a_hard_limit_are_requested_of_one_owner() {
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
            let report = manager.usage_report(now, owner, customer, entry).expect("a known customer");
            assert!(report.requests_grant);
            report.needs_hard_limit_grant
        });
        assert_ne!(requested[0], requested[1]);
        drawn_first += usize::from(requested[0]);
    }
    assert!((30..70).contains(&drawn_first), "{drawn_first}");
}
