//! Tests of [`super`].

use super::*;

fn plan(hard_limit_rate: f64, concurrency_quota: u32) -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        concurrency_quota,
        hard_limit_rate,
        hard_limit_burst: 40.0,
        price: 1.0,
        over_quota_cost: 1.0,
    }
}

fn limits(peer_messages_per_second: f64) -> Limits {
    Limits { peer_messages: true, peer_messages_per_second, ..Limits::default() }
}

fn shared() -> QuotaOwnership {
    QuotaOwnership::new(&limits(100.0), 11)
}

/// A gateway of a small fleet can take in reports from all others. With ten peers and a hundred messages a
/// second each peer sends one every 150 ms; however few peers there are, none sends more than one every 50
/// ms.
#[test]
fn a_small_fleet_reports_as_often_as_its_receivers_can_take_in() {
    let interval = |fleet_size| QuotaOwnership::new(&limits(100.0), fleet_size).report_interval();
    assert_eq!(interval(11), Duration::from_millis(150));
    assert_eq!(interval(2), Duration::from_millis(50));
    assert_eq!(interval(1), Duration::from_millis(50));
}

/// With more gateways the reports would come too seldom to decide by, from 350 ms on. Designated owners are
/// asked instead, without any interval.
#[test]
fn a_large_fleet_designates_owners() {
    assert_ne!(QuotaOwnership::new(&limits(100.0), 24), QuotaOwnership::Designated);
    let large = QuotaOwnership::new(&limits(100.0), 25);
    assert_eq!(large, QuotaOwnership::Designated);
    assert_eq!(large.report_interval(), Duration::ZERO);
}

/// Where all gateways own the quota, the customer's whole set does. Otherwise one gateway is enough, and two
/// hold a hard limit, so that it can be granted while one of them is down.
#[test]
fn owners_are_the_whole_set_or_one_or_two() {
    let set = GatewaySet { start: 1, size: 3.0 };
    assert_eq!(shared().owners(set, 11, [2, 3], &plan(4.0, 0)), [1, 2, 3]);
    let designated = QuotaOwnership::Designated;
    assert_eq!(designated.owners(set, 300, [2, 3], &plan(4.0, 0)), [2, 3]);
    assert_eq!(designated.owners(set, 300, [2, 3], &plan(0.0, 0)), [2]);
}

/// A gateway that has just started cannot know what a customer used before. Where all gateways count, the
/// bucket begins with what is known to be there; a designated owner believes it to be full.
#[test]
fn an_unknown_customer_begins_with_what_can_be_vouched_for() {
    assert_eq!(shared().initial_tokens(&plan(0.0, 0), 3.0), 3.0);
    assert_eq!(shared().initial_tokens(&plan(0.0, 0), 300.0), 20.0, "no more than the bucket holds");
    assert_eq!(QuotaOwnership::Designated.initial_tokens(&plan(0.0, 0), 3.0), 20.0);
}

/// Usage beyond the quota is paid back by later requests where gateways admit first and report then. A
/// designated owner leaves a debt as it is, and makes none.
#[test]
fn debt_arises_only_where_requests_are_admitted_before_they_are_counted() {
    assert_eq!(shared().min_tokens(&plan(0.0, 0), 5.0), -20.0);
    assert_eq!(QuotaOwnership::Designated.min_tokens(&plan(0.0, 0), 5.0), 0.0);
    assert_eq!(QuotaOwnership::Designated.min_tokens(&plan(0.0, 0), -5.0), -5.0);
}

/// A grant of a fleet that shares the count stands for the requests of the next moments; a designated owner
/// counts single requests, and is asked twice for each, since a lost message must not admit what is beyond
/// the quota.
#[test]
fn a_grant_of_a_designated_owner_is_requested_for_each_request() {
    assert_eq!(shared().grant_freshness(), Duration::from_millis(100));
    assert_eq!(shared().grant_attempts(), 1);
    assert_eq!(QuotaOwnership::Designated.grant_freshness(), Duration::ZERO);
    assert_eq!(QuotaOwnership::Designated.grant_attempts(), 2);
}

/// What peers used since their last reports is not known here. Where all gateways count, that is one report
/// interval and the time that a report takes, in which each report is sent twice; a designated owner is asked
/// instead.
#[test]
fn usage_is_unreported_for_an_interval_and_the_way_of_a_report() {
    assert_eq!(shared().unreported_time(), Duration::from_millis(150 + 350));
    assert_eq!(shared().report_copies(), 2);
    assert_eq!(QuotaOwnership::Designated.unreported_time(), Duration::ZERO);
    assert_eq!(QuotaOwnership::Designated.report_copies(), 1);
}

/// An owner of a small fleet keeps the total of a peer that no longer reports, since all that the peer ever
/// forwarded would count as new without it. In a large fleet so many totals would be kept for nothing.
#[test]
fn a_small_fleet_keeps_old_totals() {
    assert!(shared().retains_old_totals());
    assert!(!QuotaOwnership::Designated.retains_old_totals());
}
