//! Batches: a header with count, length, clock and number, then the records of events, then the tail.

use super::field_reader::FieldReader;
use super::record::{Record, RECORD_SIZE};
use crate::error::FrameError;
use ingress::Instant;

/// Bytes of a batch's header.
pub const BATCH_HEADER_SIZE: usize = 20;

/// A batch's header.
struct Header {
    /// How many records follow.
    record_count: u32,
    /// Bytes of the whole frame, this header included.
    frame_size: usize,
    /// See [`Batch::clock`].
    clock: Instant,
    /// See [`Batch::number`].
    number: u32,
}

impl Header {
    /// Reads a header; its length must hold the records that it promises.
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

    /// Where the tail starts in the frame.
    fn tail_start(&self) -> usize {
        BATCH_HEADER_SIZE + self.record_count as usize * RECORD_SIZE
    }
}

/// The size of the whole frame that starts with this header.
pub fn frame_size(header: &[u8]) -> Result<usize, FrameError> {
    Ok(Header::parse(header)?.frame_size)
}

/// A batch of records.
pub struct Batch<'a> {
    /// Its number, which the reply repeats.
    pub number: u32,
    /// The time of its records.
    pub clock: Instant,
    /// The bytes of all records.
    records: &'a [u8],
    /// The tail, which records point into.
    tail: &'a [u8],
}

impl<'a> Batch<'a> {
    /// Splits a whole frame, as [`frame_size`] measured it.
    pub fn parse(frame: &'a [u8]) -> Result<Self, FrameError> {
        let header = Header::parse(frame)?;
        let tail_start = header.tail_start();
        let records = &frame[BATCH_HEADER_SIZE..tail_start];
        let tail = &frame[tail_start..header.frame_size];
        Ok(Batch { number: header.number, clock: header.clock, records, tail })
    }

    /// The records in their order.
    pub fn records(&self) -> impl Iterator<Item = Record<'a>> + '_ {
        let bodies = self.records.chunks_exact(RECORD_SIZE).enumerate();
        bodies.map(|(index, body)| Record { batch: self.number, index, body, tail: self.tail })
    }
}
