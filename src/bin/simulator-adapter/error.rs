//! The errors that end the adapter: input that is cut short or malformed, and output that cannot be written.

use ingress::SettingsError;
use std::io;
use std::str::Utf8Error;
use thiserror::Error;

/// Why the adapter ended before the input did.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input ended within the header of a batch.
    #[error("input ended after {read} bytes of a batch header")]
    TruncatedHeader {
        /// Bytes of the header that were read.
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
        /// Bytes after the header that were read.
        read: usize,
        /// Bytes after the header that it promised.
        expected: u64,
    },
    /// Writing a reply failed.
    #[error("cannot write a reply: {0}")]
    WriteReply(#[source] io::Error),
    /// The header of a batch contradicts itself.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A record of a batch is malformed.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// A batch that is too short for the records that its header promises.
#[derive(Debug, Error)]
#[error("batch {batch}: length {length} is too short for its {records} records")]
pub struct FrameError {
    /// The batch's number.
    pub batch: u32,
    /// The frame's length by the header.
    pub length: usize,
    /// The number of records by the header.
    pub records: u32,
}

/// An error in a field of a record, with its place.
#[derive(Debug, Error)]
#[error("batch {batch}, record {index}, field {field}: {problem}")]
pub struct RecordError {
    /// The batch's number.
    pub batch: u32,
    /// The record's index in its batch.
    pub index: usize,
    /// The field's name.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: FieldProblem,
}

/// What is wrong with a field.
#[derive(Debug, Error)]
pub enum FieldProblem {
    /// It refers to a place outside the tail of its batch.
    #[error("offset {offset} and count {count} leave the tail of {tail_length} bytes")]
    OutsideTail {
        /// The place's beginning in the tail.
        offset: usize,
        /// The number of items there.
        count: usize,
        /// The length of the tail in bytes.
        tail_length: usize,
    },
    /// No outcome has this code.
    #[error("unknown code {0}")]
    UnknownOutcome(u16),
    /// No kind of endpoint update has this code.
    #[error("unknown kind {0}")]
    UnknownEndpointUpdate(u8),
    /// No availability has this code.
    #[error("unknown state {0}")]
    UnknownAvailability(u8),
    /// It is not text.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// The settings in it cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// It names an instance that is not running.
    #[error("no such instance is running; ignored")]
    InstanceNotRunning,
}
