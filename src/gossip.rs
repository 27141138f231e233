//! Gossip: the messages that gateways send each other about the usage of customers and the latency of
//! backends, and their bytes. [`PeerExchange`] keeps what waits for each peer and tells what
//! of theirs is outdated. What a gateway reports and how it acts on a message is decided in `policy`.

mod bytes;
mod encoding;
mod exchange;
mod message;
mod peer;
mod units;

pub use encoding::{MAX_CLASS, MAX_MESSAGE_BYTES, MAX_PLAN, MAX_SAMPLES, MAX_USAGE_REPORTS};
pub use exchange::PeerExchange;
pub use message::{backend_tag, incarnation_of, Body, LatencySample, Message, QuotaGrant, UsageReport};
pub use peer::{OutboxEntry, PeerAge, PeerStart};
pub use units::{floor_to_wire_units, wrap_total, wrapping_delta, TokenLevel};
