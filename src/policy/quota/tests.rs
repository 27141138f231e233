//! Tests of [`super`], and what the tests of its files share.

use super::shortages::QuotaLimit;
use super::*;
use crate::gossip::{QuotaGrant, TokenLevel, UsageReport};
use crate::{Limits, Request, RequestId};

/// When the gateways under test start.
pub(super) const START: Instant = Instant::from_micros(1_000_000_000);
/// Gateways of a fleet in which all own the quotas.
pub(super) const SMALL_FLEET: u16 = 3;
/// Gateways of a fleet in which owners are designated.
pub(super) const LARGE_FLEET: u16 = 300;
/// Index of a plan with a quota of 10 units a second and a burst of 20.
pub(super) const RATE_QUOTA: u16 = 0;
/// Index of a plan with a quota of two attempts in flight.
pub(super) const CONCURRENCY_QUOTA: u16 = 1;
/// Index of a plan with a hard limit of 5 units a second and a burst of 40, and a quota that is never
/// reached.
pub(super) const HARD_LIMIT: u16 = 2;
/// Customers among which one is looked for that a gateway owns, or does not.
const MAX_CUSTOMERS: u64 = 10_000;

/// A plan with 10 units a second and a burst of 20.
pub(super) fn plan() -> Plan {
    Plan {
        rate: 10.0,
        burst: 20.0,
        concurrency_quota: 0,
        hard_limit_rate: 0.0,
        hard_limit_burst: 0.0,
        price: 1.0,
        over_quota_cost: 1.0,
    }
}

/// The quotas of gateway 0 of a fleet that has just started.
pub(super) fn manager(gateway_count: u16) -> QuotaManager {
    let limits = Limits { peer_messages: true, peer_messages_per_second: 100.0, ..Limits::default() };
    let concurrency_quota = Plan { rate: 0.0, burst: 0.0, concurrency_quota: 2, ..plan() };
    let hard_limit = Plan { rate: 1e6, burst: 1e6, hard_limit_rate: 5.0, hard_limit_burst: 40.0, ..plan() };
    let plans = vec![plan(), concurrency_quota, hard_limit];
    let settings = Settings { gateway_count, plans, limits, ..Settings::default() };
    QuotaManager::new(&settings, START)
}

/// A request of a customer that comes to all gateways.
pub(super) fn request(customer: CustomerId, plan: u16, units: f64) -> Request {
    let set_size = f64::from(LARGE_FLEET);
    Request { id: RequestId(1), customer, plan, units, gateway_set_size: set_size, ..Request::default() }
}

/// A customer, of all those with a plan, whose quota gateway 0 owns, or does not.
pub(super) fn customer_owned(manager: &mut QuotaManager, plan: u16, owned: bool) -> CustomerId {
    let owns = |id: &CustomerId| {
        manager.observe_request(START, &request(*id, plan, 1.0)).grant.is_quota_owner == owned
    };
    (0..MAX_CUSTOMERS).map(CustomerId).find(owns).expect("some customer of so many")
}

/// The shortage of tokens for a request, at a gateway that has never heard of a peer.
pub(super) fn shortage(manager: &mut QuotaManager, now: Instant, request: &Request) -> Option<Shortage> {
    let context = ShortageContext { now, request, answer_seconds: 0.25 };
    manager.refill_and_find_shortages(&context, |_| None).longest()
}

/// A report of a peer that requests a grant.
pub(super) fn report(customer: CustomerId, plan: u8, total_units: u16, in_flight: u8) -> UsageReport {
    UsageReport {
        customer,
        plan,
        total_units,
        in_flight,
        tokens_level: TokenLevel::UNKNOWN,
        gateway_set_start: 0,
        gateway_set_size: LARGE_FLEET,
        requests_grant: true,
        requested_units: 15.0,
        needs_hard_limit_grant: false,
    }
}

/// An owner's answer.
pub(super) fn grant(customer: CustomerId, tokens: f64, remote_in_flight: u8) -> QuotaGrant {
    QuotaGrant {
        customer,
        receiver_total: 0,
        tokens,
        remote_rate: 0.0,
        remote_in_flight,
        hard_limit_grant: 0.0,
    }
}

/// A single gateway sees all that a customer uses. The customer spends its burst of 20 units at once, and its
/// next request, for 5 units, has to wait until they are refilled at 10 units a second.
#[test]
fn beyond_the_burst_a_request_waits_for_the_refill() {
    let mut manager = manager(1);
    let request = request(CustomerId(7), RATE_QUOTA, 5.0);
    manager.observe_request(START, &request);
    assert_eq!(shortage(&mut manager, START, &request), None);
    manager.charge(request.customer, 20.0);
    let expected = Shortage { limit: QuotaLimit::Rate, seconds: 0.5 };
    assert_eq!(shortage(&mut manager, START, &request), Some(expected));
    let refilled_at = START + Duration::from_millis(500);
    assert_eq!(shortage(&mut manager, refilled_at, &request), None);
}

/// In a large fleet a gateway knows a customer's usage by the grants of its owner alone. Without any it
/// admits; once the owner says that there are no tokens it does not; and when the owner has been silent for 2
/// s it admits again, since a fleet whose messages are lost would otherwise reject all customers.
#[test]
fn a_grant_is_believed_for_two_seconds() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let request = request(customer, RATE_QUOTA, 1.0);
    assert_eq!(shortage(&mut manager, START, &request), None);
    let owner = manager.customers[&customer].quota_owners[0];
    let answer = QuotaGrant { remote_rate: 10.0, ..grant(customer, -1.0, 0) };
    manager.on_grant(START, owner, &answer);
    let met = shortage(&mut manager, START, &request).expect("no tokens");
    assert_eq!(met.limit, QuotaLimit::Rate);
    assert!(shortage(&mut manager, START + Duration::from_millis(1), &request).is_some());
    assert_eq!(shortage(&mut manager, START + Duration::from_secs(2), &request), None);
}

/// A customer no longer comes. Its record is removed once its buckets are full again, but not while one of
/// its attempts is in flight: such a customer is reported again, because the report of its attempt may have
/// been lost.
#[test]
fn a_sweep_forgets_customers_that_are_idle() {
    let mut manager = manager(1);
    let (idle, busy) = (CustomerId(1), CustomerId(2));
    manager.observe_request(START, &request(idle, RATE_QUOTA, 1.0));
    manager.observe_request(START, &request(busy, CONCURRENCY_QUOTA, 1.0));
    manager.begin_attempt(busy);
    assert_eq!(manager.sweep(START + Duration::from_secs(30)), [busy]);
    assert_eq!(manager.customers.len(), 2, "an owner keeps a record for 40 s");
    assert_eq!(manager.sweep(START + Duration::from_millis(30_900)), [], "once a second");
    assert_eq!(manager.sweep(START + Duration::from_secs(60)), [busy]);
    assert!(manager.customers.keys().eq([&busy]));
}

/// A gateway that starts cannot tell a fleet that starts with it from one that has run for long, so it begins
/// with a part of a customer's burst. Once it turns out that all started together the rest is added.
#[test]
fn withheld_tokens_are_released_where_the_fleet_started_together() {
    let mut manager = manager(SMALL_FLEET);
    let customer = CustomerId(7);
    manager.observe_request(START, &request(customer, RATE_QUOTA, 1.0));
    assert!(manager.withholds_tokens());
    assert_eq!(manager.customers[&customer].bucket.tokens(), 20.0 / 3.0, "this gateway's share");
    manager.release_withheld_tokens();
    assert!(!manager.withholds_tokens());
    assert!((manager.customers[&customer].bucket.tokens() - 20.0).abs() < 1e-9);
}
