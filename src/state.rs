//! What a gateway remembers: records and data structures. What follows from them is decided in `policy`.

mod arithmetic;
mod backend;
mod backend_table;
mod endpoint_index;
mod request;
mod request_table;

pub use arithmetic::{
    decay, unit_draw, DecayingAverage, DecayingRate, Salt, GOLDEN_RATIO_MULTIPLIER, MICROS_PER_SECOND,
};
pub use backend::Backend;
pub use backend_table::BackendTable;
pub use endpoint_index::EndpointIndex;
pub use request::{Attempt, RequestState};
pub use request_table::RequestTable;
