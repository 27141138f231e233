//! The state of a gateway: records and data structures without decisions, which are made in `policy`.

mod arithmetic;
mod backend;
mod backend_table;
mod endpoint_index;
mod request;
mod request_table;

pub(crate) use arithmetic::{
    decay, unit_draw, DecayingAverage, DecayingRate, Salt, GOLDEN_RATIO_MULTIPLIER, MICROS_PER_SECOND,
};
pub(crate) use backend::Backend;
pub(crate) use backend_table::BackendTable;
pub(crate) use endpoint_index::EndpointIndex;
pub(crate) use request::{Attempt, RequestState};
pub(crate) use request_table::RequestTable;
