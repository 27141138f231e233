//! Errors of the adapter: truncated or malformed input, and failures to read or write.

use ingress::SettingsError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// An error that terminates the adapter.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input ended within the header of a batch.
    #[error("input ended after {read} bytes of a batch header")]
    TruncatedHeader {
        /// Number of header bytes that were read.
        read: usize,
    },
    /// Reading the header of a batch failed.
    #[error("cannot read a batch header: {0}")]
    ReadHeader(#[source] io::Error),
    /// Reading the rest of a batch failed.
    #[error("cannot read a batch: {0}")]
    ReadBatch(#[source] io::Error),
    /// The input ended within a batch.
    #[error("input ended inside a batch: {read} of {expected} bytes after its header")]
    TruncatedBatch {
        /// Number of bytes after the header that were read.
        read: usize,
        /// Number of bytes after the header according to its length.
        expected: u64,
    },
    /// Writing a reply failed.
    #[error("cannot write a reply: {0}")]
    WriteReply(#[source] io::Error),
    /// The length in a batch's header is too short for the number of records in the header.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A record of a batch is malformed.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// A batch header whose length is too short for its number of records.
#[derive(Debug, Error)]
#[error("batch {batch}: length {length} is too short for its {records} records")]
pub struct FrameError {
    /// Number of the batch, repeated from its header.
    pub batch: u32,
    /// Length of the frame in bytes according to the header.
    pub length: usize,
    /// Number of records according to the header.
    pub records: u32,
}

/// An invalid field of a record, with its location in the input.
#[derive(Debug, Error)]
#[error("batch {batch}, record {index}, field {field}: {problem}")]
pub struct RecordError {
    /// Number of the batch, repeated from its header.
    pub batch: u32,
    /// Index of the record in its batch.
    pub index: usize,
    /// Name of the field on the wire.
    pub field: &'static str,
    /// Reason why the field is invalid.
    pub problem: FieldProblem,
}

/// The reason why a field is invalid.
#[derive(Debug, Error)]
pub enum FieldProblem {
    /// The field refers to bytes outside the tail of its batch.
    #[error("offset {offset} and count {count} exceed the tail of {tail_length} bytes")]
    OutsideTail {
        /// Offset of the referenced bytes in the tail.
        offset: usize,
        /// Number of items at the offset.
        count: usize,
        /// Length of the tail in bytes.
        tail_length: usize,
    },
    /// The code is not that of an outcome.
    #[error("unknown code {0}")]
    UnknownOutcome(u16),
    /// The code is not that of a kind of endpoint update.
    #[error("unknown kind {0}")]
    UnknownEndpointUpdate(u8),
    /// The code is not that of an availability.
    #[error("unknown availability {0}")]
    UnknownAvailability(u8),
    /// The bytes are not valid UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// The settings in the field are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The instance of the record is not running.
    #[error("instance is not running; record ignored")]
    InstanceNotRunning,
}
