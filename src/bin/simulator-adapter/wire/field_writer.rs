//! Sequential writer of the fields of a record.

use super::field_reader::BACKEND_ID_BYTES;
use ingress::{BackendId, Duration, RequestId};

/// Writes the fields of a record of `SIZE` bytes in order. Bytes that are not written are zero. Writing
/// beyond the end is a programming error and panics.
pub struct FieldWriter<const SIZE: usize> {
    record: [u8; SIZE],
    /// Offset of the next field.
    written: usize,
}

impl<const SIZE: usize> FieldWriter<SIZE> {
    /// Creates a record of zeros.
    pub fn new() -> Self {
        FieldWriter { record: [0; SIZE], written: 0 }
    }

    /// Returns the whole record.
    pub fn finish(self) -> [u8; SIZE] {
        self.record
    }

    /// Appends bytes unchanged.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        let end = self.written + bytes.len();
        self.record[self.written..end].copy_from_slice(bytes);
        self.written = end;
        self
    }

    pub fn u8(&mut self, value: u8) -> &mut Self {
        self.bytes(&[value])
    }

    pub fn u16(&mut self, value: u16) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    pub fn u32(&mut self, value: u32) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    pub fn u64(&mut self, value: u64) -> &mut Self {
        self.bytes(&value.to_le_bytes())
    }

    /// Appends a duration in microseconds, as four bytes. Longer durations are capped at the maximum.
    pub fn duration(&mut self, duration: Duration) -> &mut Self {
        self.u32(u32::try_from(duration.as_micros()).unwrap_or(u32::MAX))
    }

    /// Appends the eight bytes of a request's identifier.
    pub fn request(&mut self, id: RequestId) -> &mut Self {
        self.u64(id.0)
    }

    /// Appends a backend's identifier of [`BACKEND_ID_BYTES`] bytes.
    pub fn backend(&mut self, backend: BackendId) -> &mut Self {
        self.bytes(&backend.0.to_le_bytes()[..BACKEND_ID_BYTES])
    }
}
