//! Writes the fields of a record one after another, in the order in which the wire has them.

use super::field_reader::BACKEND_ID_SIZE;
use ingress::{BackendId, Duration, RequestId};

/// A record of `SIZE` bytes under construction; bytes that are not written are zero. Writing beyond its end
/// is an error of the layout and panics.
pub struct FieldWriter<const SIZE: usize> {
    /// The whole record.
    record: [u8; SIZE],
    /// Where the next field goes.
    written: usize,
}

impl<const SIZE: usize> FieldWriter<SIZE> {
    /// An empty record.
    pub fn new() -> Self {
        FieldWriter { record: [0; SIZE], written: 0 }
    }

    /// The record.
    pub fn finish(self) -> [u8; SIZE] {
        self.record
    }

    /// Bytes as they are.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        let end = self.written + bytes.len();
        self.record[self.written..end].copy_from_slice(bytes);
        self.written = end;
        self
    }

    /// A number of one byte.
    pub fn u8(&mut self, value: u8) -> &mut Self {
        self.bytes(&[value])
    }

    /// A number of two bytes.
    pub fn u16(&mut self, value: u16) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// A number of four bytes.
    pub fn u32(&mut self, value: u32) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// A number of eight bytes.
    pub fn u64(&mut self, value: u64) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// A duration of time, in microseconds, in four bytes; one that is too long for them becomes the longest.
    pub fn duration(&mut self, duration: Duration) -> &mut Self {
        self.u32(u32::try_from(duration.as_micros()).unwrap_or(u32::MAX))
    }

    /// A request's identifier.
    pub fn request(&mut self, id: RequestId) -> &mut Self {
        self.u64(id.0)
    }

    /// A backend's identifier.
    pub fn backend(&mut self, backend: BackendId) -> &mut Self {
        self.bytes(&backend.0.to_le_bytes()[..BACKEND_ID_SIZE])
    }
}
