//! Tests of [`super`], and helpers for the tests of its submodules.

use super::shortages::QuotaLimit;
use super::*;
use crate::gossip::{QuotaGrant, TokenLevel, UsageReport};
use crate::{Limits, Request, RequestId};

/// Start time of the gateways under test.
pub(super) const START: Instant = Instant::from_micros(1_000_000_000);
/// Size of a fleet in which all gateways own the quotas.
pub(super) const SMALL_FLEET: u16 = 3;
/// Size of a fleet with designated quota owners.
pub(super) const LARGE_FLEET: u16 = 300;
/// Index of a plan with a quota of 10 units per second and a burst of 20.
pub(super) const RATE_QUOTA: u16 = 0;
/// Index of a plan with a quota of two attempts in flight.
pub(super) const CONCURRENCY_QUOTA: u16 = 1;
/// Index of a plan with a hard limit of 5 units per second and a burst of 40, and a quota that is never
/// reached.
pub(super) const HARD_LIMIT: u16 = 2;
/// Number of customers that [`customer_owned`] searches.
const MAX_CUSTOMERS: u64 = 10_000;

/// Returns a plan with a quota of 10 units per second and a burst of 20.
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

/// Creates the quota manager of gateway 0 in a fleet, started at [`START`].
pub(super) fn manager(gateway_count: u16) -> QuotaManager {
    let limits = Limits { peer_messages: true, peer_messages_per_second: 100.0, ..Limits::default() };
    let concurrency_quota = Plan { rate: 0.0, burst: 0.0, concurrency_quota: 2, ..plan() };
    let hard_limit = Plan { rate: 1e6, burst: 1e6, hard_limit_rate: 5.0, hard_limit_burst: 40.0, ..plan() };
    let plans = vec![plan(), concurrency_quota, hard_limit];
    let settings = Settings { gateway_count, plans, limits, ..Settings::default() };
    QuotaManager::new(&settings, START)
}

/// Creates a request of a customer that uses all gateways of a large fleet.
pub(super) fn request(customer: CustomerId, plan: u16, units: f64) -> Request {
    let set_size = f64::from(LARGE_FLEET);
    Request { id: RequestId(1), customer, plan, units, gateway_set_size: set_size, ..Request::default() }
}

/// Returns a customer whose quota gateway 0 owns, or does not own, depending on `owned`.
pub(super) fn customer_owned(manager: &mut QuotaManager, plan: u16, owned: bool) -> CustomerId {
    let owns = |id: &CustomerId| {
        manager.observe_request(START, &request(*id, plan, 1.0)).grant.is_quota_owner == owned
    };
    (0..MAX_CUSTOMERS).map(CustomerId).find(owns).expect("one of the customers matches")
}

/// Returns the longest shortage for a request at a gateway that has received no message from a peer.
pub(super) fn shortage(manager: &mut QuotaManager, now: Instant, request: &Request) -> Option<Shortage> {
    let context = ShortageContext { now, request, answer_seconds: 0.25 };
    manager.refill_and_find_shortages(&context, |_| None).longest()
}

/// Creates a peer's usage report that requests a grant.
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

/// Creates an owner's answer.
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

/// A customer of a single gateway uses its burst of 20 units at once. Its next request, of 5 units, is
/// allowed only after the refill at 10 units per second.
#[test]
fn a_request_over_the_burst_is_allowed_after_the_refill() {
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

/// A gateway of a large fleet rejects a customer after an owner's answer without tokens. It admits the
/// customer again 2 s after the last answer; otherwise a fleet that loses messages would reject all
/// customers.
#[test]
fn an_owners_answer_expires_after_two_seconds() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let request = request(customer, RATE_QUOTA, 1.0);
    assert_eq!(shortage(&mut manager, START, &request), None);
    let owner = manager.customers[&customer].quota_owners[0];
    let answer = QuotaGrant { remote_rate: 10.0, ..grant(customer, -1.0, 0) };
    manager.on_grant(START, owner, &answer);
    let found = shortage(&mut manager, START, &request).expect("no tokens");
    assert_eq!(found.limit, QuotaLimit::Rate);
    assert!(shortage(&mut manager, START + Duration::from_millis(1), &request).is_some());
    assert_eq!(shortage(&mut manager, START + Duration::from_secs(2), &request), None);
}

/// The record of a customer without requests is removed after its lifetime, in which its buckets refill. A
/// customer with an attempt in flight keeps its record and is reported again, in case a report was lost.
#[test]
fn a_sweep_removes_idle_customers() {
    let mut manager = manager(1);
    let (idle, busy) = (CustomerId(1), CustomerId(2));
    manager.observe_request(START, &request(idle, RATE_QUOTA, 1.0));
    manager.observe_request(START, &request(busy, CONCURRENCY_QUOTA, 1.0));
    manager.begin_attempt(busy);
    assert_eq!(manager.sweep(START + Duration::from_secs(30)), [busy]);
    assert_eq!(manager.customers.len(), 2, "the lifetime of a record at an owner is 40 s");
    assert_eq!(manager.sweep(START + Duration::from_millis(30_900)), [], "a sweep runs once per second");
    assert_eq!(manager.sweep(START + Duration::from_secs(60)), [busy]);
    assert!(manager.customers.keys().eq([&busy]));
}

/// Usage before a gateway's start is unknown, so a customer's bucket begins with this gateway's share of the
/// burst. The rest is added once it is known that all gateways started together.
#[test]
fn withheld_tokens_are_released_when_the_fleet_started_together() {
    let mut manager = manager(SMALL_FLEET);
    let customer = CustomerId(7);
    manager.observe_request(START, &request(customer, RATE_QUOTA, 1.0));
    assert!(manager.withholds_tokens());
    assert_eq!(manager.customers[&customer].bucket.tokens(), 20.0 / 3.0, "this gateway's share");
    manager.release_withheld_tokens();
    assert!(!manager.withholds_tokens());
    assert!((manager.customers[&customer].bucket.tokens() - 20.0).abs() < 1e-9);
}
