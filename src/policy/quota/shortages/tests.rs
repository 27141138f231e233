//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::plan;
use crate::policy::quota::{GatewaySet, GrantRequest, QuotaBucket, RemoteUsage};
use crate::RequestId;

/// Arrival time of the requests under test.
const NOW: Instant = Instant::from_micros(5_000_000);

/// A request lacks tokens of its quota for one second and of its hard limit for two. A client that retried
/// after one second would be rejected again.
#[test]
fn the_longest_shortage_determines_the_wait() {
    let quota = Shortage { limit: QuotaLimit::Rate, seconds: 1.0 };
    let hard_limit = Shortage { limit: QuotaLimit::HardLimit, seconds: 2.0 };
    let shortages = Shortages { quota: Some(quota), hard_limit: Some(hard_limit) };
    assert_eq!(shortages.longest(), Some(hard_limit));
    assert_eq!(Shortages { hard_limit: None, ..shortages }.longest(), Some(quota));
    assert_eq!(Shortages::default().longest(), None);
}

/// The estimate of peers' unreported usage reduces the available tokens by at most the peers' share. A
/// gateway that forwards all requests of a customer can use the whole bucket.
#[test]
fn unreported_usage_of_peers_is_deducted_up_to_their_share() {
    let set = GatewaySet { start: 0, size: 2.0 };
    let shared = Customer {
        bucket: QuotaBucket::new(&plan(), 10.0),
        own_rate: 5.0,
        remote: RemoteUsage::with_rate(5.0),
        gateway_set: set,
        ..Customer::default()
    };
    assert_eq!(shared.rate_wait_seconds(&plan(), 3.0, 7.0), None);
    assert_eq!(shared.rate_wait_seconds(&plan(), 3.0, 8.0), Some(0.1), "one unit at 10 units per second");
    assert_eq!(
        shared.rate_wait_seconds(&plan(), 300.0, 5.0),
        None,
        "this gateway's share is half of the tokens"
    );
    let alone = Customer { remote: RemoteUsage::default(), ..shared };
    assert_eq!(alone.rate_wait_seconds(&plan(), 300.0, 10.0), None);
}

/// An owner that sends other messages but does not answer a grant request is presumed to be overloaded by
/// this customer, whose requests are rejected. A silent owner may be down, so only a part is rejected: three
/// of four if a request over the quota costs three times the value of one within it.
#[test]
fn an_owner_that_sends_other_messages_but_no_answer_is_presumed_overloaded() {
    let grant_request = GrantRequest { requested_at: Some(NOW), ..GrantRequest::default() };
    let customer = Customer { quota_owners: vec![1], grant_request, ..Customer::default() };
    let costly = Plan { over_quota_cost: 3.0, ..plan() };
    let rejected = |customer: &Customer, last_received_at: Option<Instant>| {
        let ids = (0..1000).map(RequestId);
        let presumes = |id: &RequestId| {
            let request = Request { id: *id, ..Request::default() };
            let context = ShortageContext { now: NOW, request: &request, answer_seconds: 0.0 };
            customer.presumes_owners_overloaded(&costly, &context, Instant::ZERO, |_| last_received_at)
        };
        ids.filter(presumes).count()
    };
    assert_eq!(rejected(&customer, Some(NOW)), 1000);
    for silent in [None, Some(NOW - GRANT_LIFETIME)] {
        assert!((700..800).contains(&rejected(&customer, silent)));
    }
    let without_grant_request = Customer { grant_request: GrantRequest::default(), ..customer };
    assert_eq!(rejected(&without_grant_request, Some(NOW)), 0);
}

/// A gateway without usage by a customer is assumed to have its even share of the rate, or a tenth of that
/// once the usage of other gateways is known.
#[test]
fn a_gateway_without_usage_has_a_minimum_share() {
    let set = GatewaySet { start: 0, size: 2.0 };
    let remote = RemoteUsage::with_rate(9.5);
    let unknown = Customer { remote, gateway_set: set, ..Customer::default() };
    assert_eq!(unknown.own_share(&plan()), 5.0 / 14.5);
    let known = Customer { answered_at: Some(NOW), ..unknown };
    assert_eq!(known.own_share(&plan()), 0.5 / 10.0);
}
