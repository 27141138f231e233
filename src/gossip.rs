//! Gossip: messages between gateways about the usage of customers and the latency of backends.
//!
//! [`PeerExchange`] holds the outbox of each peer and rejects outdated messages. The content of reports and
//! the handling of received messages are decided in `policy`.

mod bytes;
mod encoding;
mod exchange;
mod message;
mod peer;
mod units;

pub(crate) use bytes::MAX_REPORTED_IN_FLIGHT;
pub use encoding::MAX_MESSAGE_BYTES;
pub(crate) use encoding::{MAX_CLASS, MAX_PLAN, MAX_SAMPLES, MAX_USAGE_REPORTS};
pub(crate) use exchange::PeerExchange;
pub(crate) use message::{
    backend_tag, incarnation_of, Body, LatencySample, Message, QuotaGrant, UsageReport,
};
pub(crate) use peer::{OutboxEntry, PeerAge, PeerStart};
pub(crate) use units::{floor_to_wire_units, wrap_total, wrapping_delta, TokenLevel};
