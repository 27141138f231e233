//! Decoding of batches: a header with count, length, clock and number, the records of events, and the tail.

use super::field_reader::FieldReader;
use super::record::{Record, RECORD_BYTES};
use crate::error::FrameError;
use ingress::Instant;

/// Length of a batch's header in bytes.
pub const BATCH_HEADER_BYTES: usize = 20;

/// The decoded header of a batch.
struct Header {
    record_count: u32,
    /// Length of the whole frame in bytes, including this header.
    frame_size: usize,
    /// See [`Batch::clock`].
    clock: Instant,
    /// See [`Batch::number`].
    number: u32,
}

impl Header {
    /// Decodes a header, and checks that its length is sufficient for its records.
    fn parse(bytes: &[u8]) -> Result<Header, FrameError> {
        let mut fields = FieldReader::new(bytes);
        let header = Header {
            record_count: fields.u32(),
            frame_size: fields.u32() as usize,
            clock: fields.instant(),
            number: fields.u32(),
        };
        if header.frame_size < header.tail_start() {
            return Err(FrameError {
                batch: header.number,
                length: header.frame_size,
                records: header.record_count,
            });
        }
        Ok(header)
    }

    /// Returns the offset of the tail in the frame.
    fn tail_start(&self) -> usize {
        BATCH_HEADER_BYTES + self.record_count as usize * RECORD_BYTES
    }
}

/// Returns the length in bytes of the frame that starts with this header.
pub fn frame_size(header: &[u8]) -> Result<usize, FrameError> {
    Ok(Header::parse(header)?.frame_size)
}

/// A batch of records with the same time.
pub struct Batch<'a> {
    /// Number of the batch, repeated in the reply.
    pub number: u32,
    /// Time of all records.
    pub clock: Instant,
    /// Encoded records.
    records: &'a [u8],
    /// Data of variable size, to which records refer by offset.
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits a whole frame, whose length is that returned by [`frame_size`].
    pub fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        let header = Header::parse(frame)?;
        let tail_start = header.tail_start();
        let records = &frame[BATCH_HEADER_BYTES..tail_start];
        let tail = &frame[tail_start..header.frame_size];
        Ok(Batch { number: header.number, clock: header.clock, records, tail })
    }

    /// Returns the records in order.
    pub fn records(&self) -> impl Iterator<Item = Record<'a>> + '_ {
        let bodies = self.records.chunks_exact(RECORD_BYTES).enumerate();
        bodies.map(|(index, body)| Record { batch: self.number, index, body, tail: self.tail })
    }
}
