//! The messages between gateways. [`super::encoding`] encodes and decodes them.

use super::TokenLevel;
use crate::state::GOLDEN_RATIO_MULTIPLIER;
use crate::{CustomerId, Instant};

/// A customer's usage at one gateway since that gateway's start, reported to the owners of the customer's
/// quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UsageReport {
    pub customer: CustomerId,
    /// Index of the customer's plan.
    pub plan: u8,
    /// Units forwarded since the gateway's start, see [`super::wrap_total`].
    pub total_units: u16,
    /// Number of attempts in flight, at most 127.
    pub in_flight: u8,
    /// Sender's estimate of the fill level of the quota's token bucket.
    pub tokens_level: TokenLevel,
    /// Index of the first gateway of the customer's gateway set, which receives the customer's requests.
    pub gateway_set_start: u16,
    /// Number of consecutive gateways in the set.
    pub gateway_set_size: u16,
    /// Whether a [`QuotaGrant`] of `requested_units` is requested.
    pub requests_grant: bool,
    /// Units for which the grant is requested, rounded up to wire units, at most 63.75.
    pub requested_units: f64,
    /// Whether the same number of units of the hard limit is requested as well.
    pub needs_hard_limit_grant: bool,
}

/// A quota owner's answer to a [`UsageReport`] that requests a grant: the customer's usage as the owner
/// counts it.
///
/// The answer does not state whether the request is granted or refused: the receiver checks whether the
/// tokens and the attempts in flight leave room for its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaGrant {
    pub customer: CustomerId,
    /// The receiver's own total as last reported; later usage is not yet deducted from `tokens`.
    pub receiver_total: u16,
    /// Units in the quota's token bucket; negative while the customer has exceeded the quota.
    pub tokens: f64,
    /// Units per second of all gateways except the receiver.
    ///
    /// A designated owner (see `QuotaOwnership`) counts grant requests instead for a plan with a concurrency
    /// quota: the value is then the grant requests per second of all gateways, including the receiver, plus
    /// the owner's own units per second.
    pub remote_rate: f64,
    /// Number of attempts in flight from all gateways except the receiver, at most 127.
    pub remote_in_flight: u8,
    /// Units of the hard limit that the receiver may use, rounded down to wire units, at most 63.75.
    pub hard_limit_grant: f64,
}

/// The latency or failure of one attempt at a backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencySample {
    /// The backend's [`backend_tag`].
    pub backend_tag: u32,
    /// Index of the request's class.
    pub class: u8,
    /// Ratio of the latency to the class's latency objective; `None` for an error or a missing answer.
    pub objective_ratio: Option<f64>,
}

/// The content of a message besides latency samples.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Body {
    /// The sender's usage, addressed to an owner of the customers' quotas.
    UsageReports(Vec<UsageReport>),
    /// A quota owner's answers to usage reports that request grants.
    QuotaGrants {
        /// Incarnation of the receiver that sent the requests; a later one must not use the grants.
        receiver_incarnation: u32,
        /// One grant for each request.
        grants: Vec<QuotaGrant>,
    },
}

/// A message between two gateways.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Message {
    /// Incarnation of the sender, see [`incarnation_of`].
    pub incarnation: u32,
    /// Number of messages from the sender to this receiver including this one, wrapping.
    pub sequence: u16,
    /// Latencies and failures of the sender's latest attempts.
    pub samples: Vec<LatencySample>,
    pub body: Body,
}

/// Returns the incarnation of a gateway's process: its start time by the wall clock in milliseconds,
/// wrapping.
///
/// A later incarnation may have a lower number, since wall clocks can be set back.
pub(crate) fn incarnation_of(started_at: Instant) -> u32 {
    (started_at.as_micros() / 1000) as u32
}

/// Returns the tag of a backend in messages: 24 bits of a hash of its id.
pub(crate) fn backend_tag(id: u64) -> u32 {
    (id.wrapping_mul(GOLDEN_RATIO_MULTIPLIER) >> 40) as u32
}
