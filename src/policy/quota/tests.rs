//! Tests of [`super`], and what the tests of its files share.

use super::token_wait::QuotaLimit;
use super::*;
use crate::gossip::{PeerAge, PeerStart, QuotaGrant, TokenLevel, UsageReport};
use crate::policy::load_shedding::Familiarity;
use crate::{Limits, Request, RequestId};

/// When the gateways under test start.
pub(super) const START: Instant = Instant::from_micros(1_000_000_000);
/// Gateways of a fleet in which all own the quotas.
pub(super) const SMALL_FLEET: u16 = 3;
/// Gateways of a fleet in which owners are designated.
pub(super) const LARGE_FLEET: u16 = 300;
/// Index of a plan with a quota of 10 units a second and a burst of 20.
const RATE_QUOTA: u16 = 0;
/// Index of a plan with a quota of two attempts in flight.
const CONCURRENCY_QUOTA: u16 = 1;

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
    let settings =
        Settings { gateway_count, limits, plans: vec![plan(), concurrency_quota], ..Settings::default() };
    QuotaManager::new(&settings, START)
}

/// A request of a customer that comes to all gateways.
pub(super) fn request(customer: CustomerId, plan: u16, units: f64) -> Request {
    let set_size = f64::from(LARGE_FLEET);
    Request { id: RequestId(1), customer, plan, units, gateway_set_size: set_size, ..Request::default() }
}

/// A customer, of all those with a plan, whose quota gateway 0 owns, or does not.
fn customer_owned(manager: &mut QuotaManager, plan: u16, owned: bool) -> CustomerId {
    let owns = |id: &CustomerId| {
        manager.observe_request(START, &request(*id, plan, 1.0));
        manager.grant_status(START, *id).is_quota_owner == owned
    };
    (0..).map(CustomerId).find(owns).expect("some customer of so many")
}

/// The shortage that a request for so many units meets, where no peer was ever heard.
fn shortage(manager: &mut QuotaManager, now: Instant, request: &Request) -> Option<Shortage> {
    let facts = TokenFacts { now, request, answer_seconds: 0.25 };
    manager.token_wait(&facts, |_| None).longest()
}

/// A report of a peer that requests a grant.
fn report(customer: CustomerId, plan: u8, total_units: u16, in_flight: u8) -> UsageReport {
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
fn grant(customer: CustomerId, tokens: f64, remote_in_flight: u8) -> QuotaGrant {
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
    assert_eq!(shortage(&mut manager, START + token_wait::GRANT_LIFETIME, &request), None);
}

/// Two gateways request 15 of a customer's 20 units at the same time. The owner charges the first grant at
/// once, without waiting for the report of its use, so that the second one is told that 5 units are left.
#[test]
fn an_owner_charges_what_it_grants_at_once() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, true);
    let mut tokens_told = |from, report: &UsageReport| {
        let answer = manager.on_usage_report(START, from, PeerAge::NotOlder, report);
        answer.expect("a grant was requested").tokens
    };
    assert_eq!(tokens_told(1, &report(customer, 0, 0, 0)), 20.0);
    assert_eq!(tokens_told(2, &report(customer, 0, 0, 0)), 5.0);
    // The first one reports the 15 units, in quarters: they are not charged twice.
    let used = UsageReport { requests_grant: true, ..report(customer, 0, 60, 0) };
    assert_eq!(tokens_told(1, &used), 5.0);
}

/// A plan allows two attempts in flight over all gateways. The owner has granted one to each of two peers; a
/// third is told that two are in flight elsewhere, and has its request wait as long as an answer takes.
#[test]
fn a_concurrency_quota_counts_what_was_granted_elsewhere() {
    let mut owner = manager(LARGE_FLEET);
    let customer = customer_owned(&mut owner, CONCURRENCY_QUOTA, true);
    let mut in_flight_told = |from| {
        let answer = owner.on_usage_report(START, from, PeerAge::NotOlder, &report(customer, 1, 0, 0));
        answer.expect("a grant was requested").remote_in_flight
    };
    assert_eq!([1, 2, 3].map(&mut in_flight_told), [0, 1, 2]);

    let mut asker = manager(LARGE_FLEET);
    let customer = customer_owned(&mut asker, CONCURRENCY_QUOTA, false);
    let request = request(customer, CONCURRENCY_QUOTA, 1.0);
    let asked_of = asker.customers[&customer].quota_owners[0];
    asker.on_grant(START, asked_of, &grant(customer, 0.0, 2));
    let expected = Shortage { limit: QuotaLimit::Concurrency, seconds: 0.25 };
    assert_eq!(shortage(&mut asker, START, &request), Some(expected));
}

/// A request is held for a grant. The first one asks the owners; a second one a moment later waits for the
/// same answer; the answer is for both.
#[test]
fn requests_that_wait_share_one_request_for_a_grant() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let first = request(customer, RATE_QUOTA, 1.0);
    let second = Request { id: RequestId(2), ..first };
    let mut wait = |request| manager.await_grant(START, request, GrantScope::Quota, GrantTiming::WithOthers);
    assert_eq!(wait(&first), GrantRequestStep::Ask);
    assert_eq!(wait(&second), GrantRequestStep::AwaitAnswer);
    let owner = manager.customers[&customer].quota_owners[0];
    let answered = manager.on_grant(START, owner, &grant(customer, 9.0, 0)).expect("the owner was asked");
    assert_eq!(answered.waiting, [first.id, second.id]);
    assert_eq!(answered.answers, GrantAnswers::Complete);
    assert_eq!(manager.on_grant(START, owner + 1, &grant(customer, 9.0, 0)), None, "not an owner");
}

/// An owner has charged a request that waited for its grant. If the request is admitted the owner knows of it
/// already; if it is rejected after all the owner has to be told that the units were not used. In a small
/// fleet there are other owners, which know of neither.
#[test]
fn owners_are_told_what_they_cannot_know() {
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

/// Somebody sends a request under another plan of a customer that is well known. The record keeps its plan.
/// Only when more requests name the other plan than have confirmed the old one does it change.
#[test]
fn a_single_request_does_not_change_a_customers_plan() {
    let mut manager = manager(SMALL_FLEET);
    let mut plan_by = |plan| manager.observe_request(START, &request(CustomerId(7), plan, 1.0)).plan;
    assert_eq!([RATE_QUOTA; 3].map(&mut plan_by), [RATE_QUOTA; 3]);
    assert_eq!([CONCURRENCY_QUOTA; 2].map(&mut plan_by), [RATE_QUOTA; 2], "two confirmed the plan");
    assert_eq!(plan_by(CONCURRENCY_QUOTA), CONCURRENCY_QUOTA);
}

/// A customer that was not seen for more than 10 s counts as unseen to load shedding.
#[test]
fn a_customer_is_familiar_for_ten_seconds() {
    let mut manager = manager(SMALL_FLEET);
    let mut familiarity_at =
        |now| manager.observe_request(now, &request(CustomerId(7), RATE_QUOTA, 1.0)).familiarity;
    let at_ten_seconds = START + Duration::from_secs(10);
    assert_eq!(familiarity_at(START), Familiarity::Unseen);
    assert_eq!(familiarity_at(at_ten_seconds), Familiarity::Known);
    assert_eq!(familiarity_at(at_ten_seconds + Duration::from_millis(10_001)), Familiarity::Unseen);
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
    assert_eq!(manager.customers[&customer].tokens, 20.0 / 3.0, "this gateway's share");
    manager.release_withheld_tokens();
    assert!(!manager.withholds_tokens());
    assert!((manager.customers[&customer].tokens - 20.0).abs() < 1e-9);
}

/// An owner restarts, and has forgotten all usage. The gateway that was active for a customer a moment ago
/// reports it again; customers that were not seen for some seconds are not worth a message. In a large fleet
/// an owner that is heard for the first time has not forgotten anything.
#[test]
fn a_restarted_owner_is_told_of_active_customers() {
    let mut manager = manager(LARGE_FLEET);
    let customer = customer_owned(&mut manager, RATE_QUOTA, false);
    let owner = manager.customers[&customer].quota_owners[0];
    manager.customers.retain(|id, _| *id == customer);
    assert_eq!(manager.on_peer_start(START, owner, PeerStart::Restarted), [customer]);
    assert_eq!(manager.on_peer_start(START, owner, PeerStart::FirstHeard), []);
    let later = START + Duration::from_secs(3);
    assert_eq!(manager.on_peer_start(later, owner, PeerStart::Restarted), []);
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
        manager.customers[&customer].tokens
    };
    assert_eq!(tokens_left(4000), 20.0, "a thousand units, of any time");
    assert_eq!(tokens_left(4008), 18.0, "two units, since the first report");
}
