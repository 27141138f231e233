//! Gossip: the messages that gateways send each other about the usage of customers and the latency of
//! backends, and their bytes. What a gateway reports and how it acts on a message is decided in `policy`.

mod bytes;
mod encoding;
mod exchange;
mod message;
mod peer;
mod peer_table;
mod units;

pub use encoding::{MAX_CLASS, MAX_PLAN, MAX_SAMPLES, MAX_USAGE_REPORTS};
pub use message::{backend_tag, incarnation_of, Body, LatencySample, Message, QuotaGrant, UsageReport};
pub use peer::{OutboxEntry, Peer, QueuedSample, Receipt};
pub use peer_table::PeerTable;
pub use units::{floor_to_wire_units, wrap_total, wrapping_delta, TokenLevel};
