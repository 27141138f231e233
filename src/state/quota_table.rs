//! The customers that a gateway knows, and since when it knows what they use.

use super::Customer;
use crate::{CustomerId, Duration, Instant, Plan, RequestId};
use std::collections::BTreeMap;

/// The quotas of all customers, as far as one gateway knows them.
#[derive(Default)]
pub struct QuotaTable {
    /// The record of each customer seen lately.
    pub customers: BTreeMap<CustomerId, Customer>,
    /// Since when all usage of customers is known: this start; none where all gateways started with this one.
    pub usage_known_since: Option<Instant>,
    /// Time between usage reports where every gateway of a customer owns its quota; 0 in a fleet too large
    /// for that.
    pub report_interval: Duration,
    /// When old records are next removed.
    pub next_sweep_at: Instant,
}

impl QuotaTable {
    /// Whether each gateway of a customer's set owns its quota, as in a fleet small enough for all of them to
    /// report to each other. In a larger one an owner or two are asked for grants.
    pub fn all_gateways_own_quotas(&self) -> bool {
        !self.report_interval.is_zero()
    }

    /// Seconds for which all usage has been known here.
    pub fn seconds_of_known_usage(&self, now: Instant) -> f64 {
        self.usage_known_since.map_or(f64::MAX, |since| now.duration_since(since).as_secs_f64())
    }

    /// Whether an owner of the customer's quota has charged its request already. The answer is yes only once.
    pub fn take_owner_charge(&mut self, customer: CustomerId) -> bool {
        let customer = self.customers.get_mut(&customer);
        customer.is_some_and(|customer| std::mem::take(&mut customer.grant_request.charged_by_owner))
    }

    /// Refills a customer's token buckets up to now.
    pub fn refill(&mut self, id: CustomerId, now: Instant, plans: &[Plan]) -> Option<&mut Customer> {
        let customer = self.customers.get_mut(&id)?;
        customer.refill(&plans[customer.plan], now);
        Some(customer)
    }

    /// Adds the withheld tokens to all buckets: from now on usage counts as known from the beginning.
    pub fn release_withheld_tokens(&mut self) {
        self.usage_known_since = None;
        for customer in self.customers.values_mut() {
            customer.tokens += std::mem::take(&mut customer.withheld_tokens).max(0.0);
        }
    }

    /// A request no longer awaits a grant, if it did; what was granted of the hard limit lapses with the last
    /// one.
    pub fn stop_awaiting_grant(&mut self, customer: CustomerId, id: RequestId, awaited: bool) {
        if let Some(customer) = self.customers.get_mut(&customer).filter(|_| awaited) {
            customer.grant_request.waiting.retain(|waiting| *waiting != id);
            if customer.grant_request.waiting.is_empty() {
                customer.hard_limit.granted = 0.0;
            }
        }
    }
}
