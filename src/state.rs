//! What a gateway remembers: records and data structures. No decision and no tuned value lives here.

mod arithmetic;
mod backend;
mod backend_table;
mod customer;
mod endpoint_index;
mod gateway_set;
mod latency;
mod load_shedder;
mod observation;
mod peer;
mod peer_table;
mod quota_table;
mod request;
mod request_table;
mod retry_budget;
mod retry_scope;
mod token_wait;

pub use arithmetic::{decay, hash, DecayingAverage, DecayingRate, SECOND};
pub use backend::{Backend, Health};
pub use backend_table::BackendTable;
pub use customer::{refill_time, time_to_refill, Customer, GatewayUsage, MAX_REPORTED_IN_FLIGHT};
pub use endpoint_index::EndpointIndex;
pub use gateway_set::GatewaySet;
pub use latency::LatencyBaseline;
pub use load_shedder::LoadShedder;
pub use observation::{Observation, Source};
pub use peer::{OutboxEntry, Peer, QueuedSample, Receipt};
pub use peer_table::PeerTable;
pub use quota_table::QuotaTable;
pub use request::RequestState;
pub use request_table::RequestTable;
pub use retry_budget::RetryBudget;
pub use retry_scope::RetryScope;
pub use token_wait::TokenWait;
