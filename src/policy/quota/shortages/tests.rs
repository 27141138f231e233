//! Tests of [`super`].

use super::*;
use crate::policy::quota::tests::plan;
use crate::policy::quota::{GatewaySet, GrantRequest, QuotaBucket, RemoteUsage};
use crate::RequestId;

/// The time of the requests under test.
const NOW: Instant = Instant::from_micros(5_000_000);

/// A request lacks tokens of its quota for one second and of its hard limit for two. Its client is advised to wait
/// for two; after one it would be rejected again.
#[test]
fn the_longest_wait_counts() {
    let quota = Shortage { limit: QuotaLimit::Rate, seconds: 1.0 };
    let hard_limit = Shortage { limit: QuotaLimit::HardLimit, seconds: 2.0 };
    let shortages = Shortages { quota: Some(quota), hard_limit: Some(hard_limit) };
    assert_eq!(shortages.longest(), Some(hard_limit));
    assert_eq!(Shortages { hard_limit: None, ..shortages }.longest(), Some(quota));
    assert_eq!(Shortages::default().longest(), None);
}

/// Peers have likely used units that they have not reported yet. These are taken off the tokens, but never
/// more than the peers' share of them: a gateway that alone serves a customer may use the whole bucket.
#[test]
fn unreported_usage_of_peers_is_taken_off_up_to_their_share() {
    let set = GatewaySet { start: 0, size: 2.0 };
    let shared = Customer {
        bucket: QuotaBucket::new(&plan(), 10.0),
        own_rate: 5.0,
        remote: RemoteUsage::with_rate(5.0),
        gateway_set: set,
        ..Customer::default()
    };
    assert_eq!(shared.rate_wait_seconds(&plan(), 3.0, 7.0), None);
    assert_eq!(shared.rate_wait_seconds(&plan(), 3.0, 8.0), Some(0.1), "one unit at 10 a second");
    assert_eq!(shared.rate_wait_seconds(&plan(), 300.0, 5.0), None, "half of the tokens are this gateway's");
    let alone = Customer { remote: RemoteUsage::default(), ..shared };
    assert_eq!(alone.rate_wait_seconds(&plan(), 300.0, 10.0), None);
}

/// An owner does not answer a request for a grant. If it sent other messages a moment ago it is overloaded
/// with requests of this customer, which is then taken to be over its quota. If it is silent it may be down,
/// and only some requests are rejected: three of four where a wrong admission costs three times what a right
/// one earns.
#[test]
fn an_owner_that_is_alive_but_does_not_answer_is_overloaded() {
    let grant_request = GrantRequest { requested_at: Some(NOW), ..GrantRequest::default() };
    let customer = Customer { quota_owners: vec![1], grant_request, ..Customer::default() };
    let costly = Plan { over_quota_cost: 3.0, ..plan() };
    let rejected = |customer: &Customer, heard: Option<Instant>| {
        let ids = (0..1000).map(RequestId);
        let presumes = |id: &RequestId| {
            let request = Request { id: *id, ..Request::default() };
            let context = ShortageContext { now: NOW, request: &request, answer_seconds: 0.0 };
            customer.presumes_owners_overloaded(&costly, &context, Instant::ZERO, |_| heard)
        };
        ids.filter(presumes).count()
    };
    assert_eq!(rejected(&customer, Some(NOW)), 1000);
    for silent in [None, Some(NOW - GRANT_LIFETIME)] {
        assert!((700..800).contains(&rejected(&customer, silent)));
    }
    let never_asked = Customer { grant_request: GrantRequest::default(), ..customer };
    assert_eq!(rejected(&never_asked, Some(NOW)), 0);
}

/// A gateway that has seen little of a customer still has a tenth of its even share of the tokens for it,
/// once it knows the usage of others; before that, its even share.
#[test]
fn a_gateway_that_sees_little_of_a_customer_has_a_floor() {
    let set = GatewaySet { start: 0, size: 2.0 };
    let remote = RemoteUsage::with_rate(9.5);
    let unknown = Customer { remote, gateway_set: set, ..Customer::default() };
    assert_eq!(unknown.own_share(&plan()), 5.0 / 14.5);
    let known = Customer { answered_at: Some(NOW), ..unknown };
    assert_eq!(known.own_share(&plan()), 0.5 / 10.0);
}
