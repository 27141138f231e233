//! The limit on the number of customer records.
//!
//! Customers are named by their requests, so their number is not bounded by the settings. At the limit, a
//! record that would be created again without a difference to the quota makes room for a new one.

use super::{Customer, QuotaManager};
use crate::{CustomerId, Instant, Plan};
use std::ops::Bound;

/// Approximate memory of a customer's record, in bytes.
pub const CUSTOMER_RECORD_BYTES: usize = 768;
/// Number of records that are examined to find one that can be removed.
const EXAMINED_RECORDS: usize = 8;

/// The maximum number of records, and the position of the search for one that can be removed.
pub(super) struct RecordLimit {
    pub max_records: usize,
    /// The customer after which the next search begins.
    last_examined: CustomerId,
}

impl Default for RecordLimit {
    fn default() -> Self {
        RecordLimit { max_records: usize::MAX, last_examined: CustomerId::default() }
    }
}

impl QuotaManager {
    /// Sets the maximum number of customer records.
    pub(crate) fn set_max_records(&mut self, max_records: usize) {
        self.record_limit.max_records = max_records;
    }

    /// Returns whether a customer has a record or one can be created. At the limit, another record is
    /// removed.
    pub(crate) fn ensure_record_capacity(&mut self, now: Instant, id: CustomerId) -> bool {
        if self.customers.len() < self.record_limit.max_records || self.customers.contains_key(&id) {
            return true;
        }
        let Some(removable) = self.find_removable(now) else { return false };
        tracing::debug!(target: "policy", customer = removable.0, "customer record removed: limit reached");
        self.customers.remove(&removable);
        true
    }

    /// Returns a customer whose record can be removed, among the next few: one with a single request if there
    /// is any, otherwise the one seen longest ago, and one with reports of other gateways last.
    ///
    /// Each search continues after the previous one, so that all records are examined in turn.
    fn find_removable(&mut self, now: Instant) -> Option<CustomerId> {
        let after = (Bound::Excluded(self.record_limit.last_examined), Bound::Unbounded);
        let next: Vec<CustomerId> =
            self.customers.range(after).map(|(id, _)| *id).take(EXAMINED_RECORDS).collect();
        let wrapped = self.customers.keys().copied().take(EXAMINED_RECORDS - next.len());
        let examined: Vec<CustomerId> = next.into_iter().chain(wrapped).collect();
        self.record_limit.last_examined = *examined.last()?;
        let removable = examined.into_iter().filter_map(|id| {
            let (customer, plan) = self.refill(id, now)?;
            let has_returned = customer.identity_confidence > 0;
            // Other gateways report totals, which a new record at an owner would charge again.
            let has_reports = has_returned && !customer.remote.is_empty();
            let order = (has_reports, has_returned, customer.last_seen_at);
            customer.can_be_created_again(plan).then_some((order, id))
        });
        removable.min_by_key(|(order, _)| *order).map(|(_, id)| id)
    }
}

impl Customer {
    /// Returns whether a new record would allow the same usage as this one: it is not in use, and its buckets
    /// are full.
    fn can_be_created_again(&self, plan: &Plan) -> bool {
        !self.is_in_use() && self.bucket.is_full(plan) && self.hard_limit.is_full(plan)
    }
}

#[cfg(test)]
mod tests;
