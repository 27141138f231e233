//! What a gateway remembers: records and data structures. No decision and no tuned value lives here.

mod arithmetic;
mod backend;
mod backend_table;
mod customer;
mod endpoint_index;
mod gateway_set;
mod grant_request;
mod hard_limit_share;
mod latency;
mod observation;
mod peer;
mod peer_table;
mod quota_table;
mod request;
mod request_table;
mod token_bucket;
mod token_wait;

pub use arithmetic::{decay, hash, DecayingAverage, DecayingRate, MICROS_PER_SECOND};
pub use backend::{Backend, Health};
pub use backend_table::BackendTable;
pub use customer::{Customer, GatewayUsage, MAX_REPORTED_IN_FLIGHT};
pub use endpoint_index::EndpointIndex;
pub use gateway_set::GatewaySet;
pub use grant_request::GrantRequest;
pub use hard_limit_share::HardLimitShare;
pub use latency::LatencyBaseline;
pub use observation::{Observation, Source};
pub use peer::{OutboxEntry, Peer, QueuedSample, Receipt};
pub use peer_table::PeerTable;
pub use quota_table::QuotaTable;
pub use request::RequestState;
pub use request_table::RequestTable;
pub use token_bucket::{refill_time, time_to_refill};
pub use token_wait::TokenWait;
