//! The messages between gateways, with typed fields. [`super::encoding`] turns them into bytes and back.

use super::TokenLevel;
use crate::state::GOLDEN_RATIO_MULTIPLIER;
use crate::{CustomerId, Instant};

/// A customer's usage, as one gateway counts it since its start. It goes to the owners of the customer's
/// quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct UsageReport {
    /// The customer.
    pub customer: CustomerId,
    /// Index of the customer's plan.
    pub plan: u8,
    /// Units forwarded since the gateway's start, see [`super::wrap_total`].
    pub total_units: u16,
    /// Attempts in flight, 127 at most.
    pub in_flight: u8,
    /// How full the gateway takes the quota's token bucket to be.
    pub tokens_level: TokenLevel,
    /// The first gateway of the customer's set.
    pub gateway_set_start: u16,
    /// How many gateways follow each other in the set.
    pub gateway_set_size: u16,
    /// Whether a [`QuotaGrant`] is requested, for `requested_units`.
    pub requests_grant: bool,
    /// Units that the waiting request needs, rounded up to what messages count in, 63.75 at most.
    pub requested_units: f64,
    /// Whether as many units of the hard limit are requested, too.
    pub needs_hard_limit_grant: bool,
}

/// An owner's answer to a [`UsageReport`] that requests a grant: what it knows of the customer's usage.
///
/// It grants or refuses, and does not say which: the receiver tells by whether the tokens and the attempts in
/// flight leave room for its request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct QuotaGrant {
    /// The customer.
    pub customer: CustomerId,
    /// The receiver's own total as last reported: `tokens` doesn't include newer usage yet.
    pub receiver_total: u16,
    /// Units in the quota's token bucket; negative while usage beyond the quota counts against it.
    pub tokens: f64,
    /// Units a second of all gateways but the receiver. For a plan with a concurrency quota a designated
    /// owner gives requests for grants a second, the receiver's included, plus its own units a second.
    pub remote_rate: f64,
    /// Attempts in flight from all gateways but the receiver, 127 at most.
    pub remote_in_flight: u8,
    /// Units of the hard limit that the receiver may use, in wire units, 63.75 at most.
    pub hard_limit_grant: f64,
}

/// How one attempt at a backend went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct LatencySample {
    /// The backend, by its [`backend_tag`].
    pub backend_tag: u32,
    /// The request's class.
    pub class: u8,
    /// Latency as a share of the class's latency objective; none if no answer or an error came.
    pub objective_ratio: Option<f64>,
}

/// What a message is about, besides latency samples.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Body {
    /// The sender's usage, for owners of the customers' quotas.
    UsageReports(Vec<UsageReport>),
    /// An owner's answers to usage reports that requested grants.
    QuotaGrants {
        /// The incarnation of the receiver that sent the requests; a later one must not use the grants.
        receiver_incarnation: u32,
        /// One for each request.
        grants: Vec<QuotaGrant>,
    },
}

/// A message between two gateways.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Message {
    /// The sender's incarnation, see [`incarnation_of`].
    pub incarnation: u32,
    /// Counts the sender's messages to this receiver, wrapping.
    pub sequence: u16,
    /// How the sender's latest attempts went.
    pub samples: Vec<LatencySample>,
    /// What the message is about.
    pub body: Body,
}

/// The number that tells a gateway from the same gateway after a restart: the millisecond of its start by its
/// wall clock, wrapping. A later one may be less, since wall clocks are stepped.
pub(crate) fn incarnation_of(started_at: Instant) -> u32 {
    (started_at.as_micros() / 1000) as u32
}

/// A short name for a backend, 24 bits of a hash of its id.
pub(crate) fn backend_tag(id: u64) -> u32 {
    (id.wrapping_mul(GOLDEN_RATIO_MULTIPLIER) >> 40) as u32
}
