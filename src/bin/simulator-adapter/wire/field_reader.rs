//! Sequential reader of the fields of a record.

use ingress::{BackendId, Duration, Instant};

/// Length of a backend's identifier on the wire, in bytes.
pub const BACKEND_ID_BYTES: usize = 6;

/// Reads the fields of a record in order. Reading beyond the end is a programming error and panics.
pub struct FieldReader<'a> {
    /// Bytes from the next field to the end.
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Creates a reader at the first byte of a record.
    pub fn new(bytes: &'a [u8]) -> Self {
        FieldReader { rest: bytes }
    }

    pub fn skip(&mut self, count: usize) {
        self.rest = &self.rest[count..];
    }

    /// Reads the next `N` bytes.
    fn bytes<const N: usize>(&mut self) -> [u8; N] {
        let (field, rest) = self.rest.split_at(N);
        self.rest = rest;
        let mut bytes = [0; N];
        bytes.copy_from_slice(field);
        bytes
    }

    pub fn u8(&mut self) -> u8 {
        u8::from_le_bytes(self.bytes())
    }

    pub fn u16(&mut self) -> u16 {
        u16::from_le_bytes(self.bytes())
    }

    pub fn u32(&mut self) -> u32 {
        u32::from_le_bytes(self.bytes())
    }

    pub fn u64(&mut self) -> u64 {
        u64::from_le_bytes(self.bytes())
    }

    /// Reads a point in time, in microseconds of the host's clock.
    pub fn instant(&mut self) -> Instant {
        Instant::from_micros(self.u64())
    }

    /// Reads the start time of a backend. The value 0 means that it started long ago, and is read as `None`.
    pub fn start_time(&mut self) -> Option<Instant> {
        Some(self.instant()).filter(|start| *start != Instant::ZERO)
    }

    /// Reads a duration in microseconds, of four bytes.
    pub fn duration(&mut self) -> Duration {
        Duration::from_micros(u64::from(self.u32()))
    }

    /// Reads a floating-point number of four bytes.
    pub fn f32(&mut self) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes()))
    }

    /// Reads a backend's identifier of [`BACKEND_ID_BYTES`] bytes.
    pub fn backend(&mut self) -> BackendId {
        let mut identifier = [0; 8];
        identifier[..BACKEND_ID_BYTES].copy_from_slice(&self.bytes::<BACKEND_ID_BYTES>());
        BackendId(u64::from_le_bytes(identifier))
    }
}
