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

/// The report interval grows with the number of peers, so that a gateway can process all reports: 150 ms for
/// ten peers and 100 messages per second. It is at least 50 ms.
#[test]
fn the_report_interval_of_a_small_fleet_grows_with_its_size() {
    let interval = |fleet_size| QuotaOwnership::new(&limits(100.0), fleet_size).report_interval();
    assert_eq!(interval(11), Duration::from_millis(150));
    assert_eq!(interval(2), Duration::from_millis(50));
    assert_eq!(interval(1), Duration::from_millis(50));
}

/// Reports at an interval above 350 ms would be too old for decisions. A fleet of that size uses designated
/// owners, without a report interval.
#[test]
fn a_large_fleet_has_designated_owners() {
    assert_ne!(QuotaOwnership::new(&limits(100.0), 24), QuotaOwnership::Designated);
    let large = QuotaOwnership::new(&limits(100.0), 25);
    assert_eq!(large, QuotaOwnership::Designated);
    assert_eq!(large.report_interval(), Duration::ZERO);
}

/// In a small fleet the customer's whole gateway set owns its quota. In a large one a single gateway does, or
/// two if there is a hard limit, so that one of them may fail.
#[test]
fn owners_are_the_whole_gateway_set_or_one_or_two_granters() {
    let set = GatewaySet { start: 1, size: 3.0 };
    assert_eq!(shared().owners(set, 11, [2, 3], &plan(4.0, 0)), [1, 2, 3]);
    let designated = QuotaOwnership::Designated;
    assert_eq!(designated.owners(set, 300, [2, 3], &plan(4.0, 0)), [2, 3]);
    assert_eq!(designated.owners(set, 300, [2, 3], &plan(0.0, 0)), [2]);
}

/// Usage before a gateway's start is unknown. If all gateways own the quota, a new bucket holds the counted
/// tokens only; at a designated owner it is full.
#[test]
fn a_new_bucket_is_full_only_with_designated_owners() {
    assert_eq!(shared().initial_tokens(&plan(0.0, 0), 3.0), 3.0);
    assert_eq!(shared().initial_tokens(&plan(0.0, 0), 300.0), 20.0, "limited to the burst");
    assert_eq!(QuotaOwnership::Designated.initial_tokens(&plan(0.0, 0), 3.0), 20.0);
}

/// In a small fleet requests are admitted before they are reported, so that usage over the quota becomes a
/// debt. A designated owner adds no debt, but keeps an existing one.
#[test]
fn reported_usage_adds_debt_only_in_a_small_fleet() {
    assert_eq!(shared().min_tokens(&plan(0.0, 0), 5.0), -20.0);
    assert_eq!(QuotaOwnership::Designated.min_tokens(&plan(0.0, 0), 5.0), 0.0);
    assert_eq!(QuotaOwnership::Designated.min_tokens(&plan(0.0, 0), -5.0), -5.0);
}

/// In a small fleet a grant admits the requests of the next 100 ms. A designated owner counts each request,
/// and a grant is requested twice, so that a lost message does not admit a request over the quota.
#[test]
fn a_designated_owner_grants_each_request() {
    assert_eq!(shared().grant_freshness(), Duration::from_millis(100));
    assert_eq!(shared().grant_attempts(), 1);
    assert_eq!(QuotaOwnership::Designated.grant_freshness(), Duration::ZERO);
    assert_eq!(QuotaOwnership::Designated.grant_attempts(), 2);
}

/// In a small fleet usage is unreported for the report interval plus the propagation time, which includes the
/// second copy of each report. The answers of designated owners include all usage.
#[test]
fn usage_is_unreported_for_the_report_interval_and_the_propagation_time() {
    assert_eq!(shared().unreported_time(), Duration::from_millis(150 + 350));
    assert_eq!(shared().report_copies(), 2);
    assert_eq!(QuotaOwnership::Designated.unreported_time(), Duration::ZERO);
    assert_eq!(QuotaOwnership::Designated.report_copies(), 1);
}

/// An owner in a small fleet retains the total of a peer that no longer reports; without it, all past usage
/// through the peer would count as new. In a large fleet such totals would waste memory.
#[test]
fn a_small_fleet_retains_old_totals() {
    assert!(shared().retains_old_totals());
    assert!(!QuotaOwnership::Designated.retains_old_totals());
}
