//! What a gateway remembers: records and data structures. No decision and no tuned value lives here.

mod arithmetic;
mod backend;
mod backend_table;
mod endpoint_index;
mod latency;
mod observation;
mod request;
mod request_table;

pub use arithmetic::{decay, hash, DecayingAverage, DecayingRate, MICROS_PER_SECOND};
pub use backend::{Backend, Health};
pub use backend_table::BackendTable;
pub use endpoint_index::EndpointIndex;
pub use latency::LatencyBaseline;
pub use observation::{Observation, Source};
pub use request::RequestState;
pub use request_table::RequestTable;
