//! The simulator's frames: batches of events in, replies with actions out. All numbers are little-endian, and
//! every length and offset that comes from outside is checked.
//!
//! A frame is a header, records of a fixed size, and a tail that holds what has no fixed size; records point
//! into it.

mod batch;
mod field_reader;
mod field_writer;
mod record;
mod reply;

pub use batch::{frame_size, Batch, BATCH_HEADER_SIZE};
pub use record::{Record, RecordContent};
pub use reply::Reply;

/// The number of an instance on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

#[cfg(test)]
mod tests;
