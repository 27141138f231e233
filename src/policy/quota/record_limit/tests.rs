//! Tests of [`super`].

use super::*;
use crate::gossip::{PeerAge, UsageReport};
use crate::policy::quota::tests::{manager, report, request, HARD_LIMIT, LARGE_FLEET, RATE_QUOTA, START};
use crate::{Duration, Request};

/// Maximum number of records in these tests.
const MAX_RECORDS: usize = 4;

/// Returns a request of a customer of a single gateway.
fn own_request(customer: u64, plan: u16) -> Request {
    Request { gateway_set_size: 1.0, ..request(CustomerId(customer), plan, 1.0) }
}

/// Creates a manager with a limit of [`MAX_RECORDS`].
fn limited_manager() -> QuotaManager {
    let mut manager = manager(1);
    manager.set_max_records(MAX_RECORDS);
    manager
}

impl QuotaManager {
    /// Records a request if there is capacity for its customer, and charges it.
    fn admit(&mut self, now: Instant, request: &Request) -> bool {
        let admitted = self.ensure_record_capacity(now, request.customer);
        if admitted {
            self.observe_request(now, request);
            self.charge(request.customer, request.units);
        }
        admitted
    }
}

/// One client sends each request under a new name. If each name kept a record, the memory would grow without
/// end; if no new name were accepted, other customers would be rejected for as long as the records last. The
/// names with one request make room, and the customer that returns keeps its record.
#[test]
fn new_customers_replace_those_with_a_single_request() {
    let mut manager = limited_manager();
    let regular = own_request(1_000_000, RATE_QUOTA);
    let mut now = START;
    for name in 0..1_000 {
        now += Duration::from_secs(1); // The buckets are full again.
        assert!(manager.admit(now, &regular));
        assert!(manager.admit(now, &own_request(name, RATE_QUOTA)), "name {name}");
        assert!(manager.customers.len() <= MAX_RECORDS);
        assert!(manager.customers.contains_key(&regular.customer), "name {name}");
    }
}

/// All records are in use or have used up a part of their limits. Removing one would let its customer exceed a
/// limit, so the new customer is rejected. Known customers are admitted, and the new one is once a bucket is full.
#[test]
fn records_with_used_units_are_not_removed() {
    for plan in [RATE_QUOTA, HARD_LIMIT] {
        let mut manager = limited_manager();
        let started = START + Duration::from_secs(3600); // The hard limit has been refilled since the start.
        for customer in 0..MAX_RECORDS as u64 {
            assert!(manager.admit(started, &own_request(customer, plan)));
        }
        let new = own_request(7, plan);
        assert!(!manager.admit(started, &new), "the buckets are not full");
        assert!(manager.admit(started, &own_request(0, plan)), "a known customer");
        let later = started + Duration::from_secs(60);
        (0..MAX_RECORDS as u64).for_each(|customer| manager.begin_attempt(CustomerId(customer)));
        assert!(!manager.admit(later, &new), "attempts are in flight");
        manager.end_attempt(CustomerId(2), 0.0);
        assert!(manager.admit(later, &new));
        assert!(!manager.customers.contains_key(&CustomerId(2)));
        assert_eq!(manager.customers.len(), MAX_RECORDS);
    }
}

/// Peers report the usage of ever new customers. Their records count against the same limit.
#[test]
fn reported_customers_count_against_the_limit() {
    let mut manager = manager(LARGE_FLEET);
    manager.set_max_records(MAX_RECORDS);
    for customer in 0..100 {
        manager.on_usage_report(START, 1, PeerAge::NotOlder, &report(CustomerId(customer), 0, 1, 0));
        assert!(manager.customers.len() <= MAX_RECORDS);
    }
}

/// All customers return, and peers have reported usage of each. If their records were kept for that, an ingress with
/// more customers than records would reject new ones under usual traffic. The one seen longest ago makes room.
#[test]
fn records_with_reports_are_removed_if_there_are_no_others() {
    let mut manager = manager(LARGE_FLEET);
    manager.set_max_records(MAX_RECORDS);
    let mut owned = (0..).map(CustomerId).filter(|id| {
        let mut probe = crate::policy::quota::tests::manager(LARGE_FLEET);
        probe.observe_request(START, &request(*id, RATE_QUOTA, 1.0)).grant.is_quota_owner
    });
    for (index, id) in owned.by_ref().take(MAX_RECORDS).enumerate() {
        for seconds in [0, 1] {
            let now = START + Duration::from_secs(10 * index as u64 + seconds);
            let report = UsageReport { requests_grant: false, ..report(id, 0, 1, 0) };
            manager.on_usage_report(now, 1, PeerAge::NotOlder, &report);
        }
    }
    let oldest = *manager.customers.iter().min_by_key(|(_, customer)| customer.last_seen_at).unwrap().0;
    let later = START + Duration::from_secs(100);
    assert!(manager.admit(later, &request(owned.next().unwrap(), RATE_QUOTA, 1.0)));
    assert!(!manager.customers.contains_key(&oldest));
    assert_eq!(manager.customers.len(), MAX_RECORDS);
}
