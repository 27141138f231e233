//! Reads the fields of a record one after another, in the order in which the wire has them.

use ingress::{BackendId, Duration, Instant};

/// Bytes of a backend's identifier on the wire.
pub const BACKEND_ID_SIZE: usize = 6;

/// The fields of a record that are still to be read. Reading beyond the record's end is an error of the
/// layout and panics.
pub struct FieldReader<'a> {
    /// The bytes from the next field on.
    rest: &'a [u8],
}

impl<'a> FieldReader<'a> {
    /// Starts at the first of these bytes.
    pub fn new(bytes: &'a [u8]) -> Self {
        FieldReader { rest: bytes }
    }

    /// Skips bytes.
    pub fn skip(&mut self, count: usize) {
        self.rest = &self.rest[count..];
    }

    /// The next bytes as they are.
    fn bytes<const N: usize>(&mut self) -> [u8; N] {
        let (field, rest) = self.rest.split_at(N);
        self.rest = rest;
        let mut bytes = [0; N];
        bytes.copy_from_slice(field);
        bytes
    }

    /// A number of one byte.
    pub fn u8(&mut self) -> u8 {
        u8::from_le_bytes(self.bytes())
    }

    /// A number of two bytes.
    pub fn u16(&mut self) -> u16 {
        u16::from_le_bytes(self.bytes())
    }

    /// A number of four bytes.
    pub fn u32(&mut self) -> u32 {
        u32::from_le_bytes(self.bytes())
    }

    /// A number of eight bytes.
    pub fn u64(&mut self) -> u64 {
        u64::from_le_bytes(self.bytes())
    }

    /// A point in time, in microseconds of the host's clock.
    pub fn instant(&mut self) -> Instant {
        Instant::from_micros(self.u64())
    }

    /// The time when a backend started; none for 0, which stands for long ago.
    pub fn start_time(&mut self) -> Option<Instant> {
        Some(self.instant()).filter(|start| *start != Instant::ZERO)
    }

    /// A duration of time, in microseconds.
    pub fn duration(&mut self) -> Duration {
        Duration::from_micros(u64::from(self.u32()))
    }

    /// A floating-point number of four bytes.
    pub fn f32(&mut self) -> f64 {
        f64::from(f32::from_le_bytes(self.bytes()))
    }

    /// A backend's identifier.
    pub fn backend(&mut self) -> BackendId {
        let mut identifier = [0; 8];
        identifier[..BACKEND_ID_SIZE].copy_from_slice(&self.bytes::<BACKEND_ID_SIZE>());
        BackendId(u64::from_le_bytes(identifier))
    }
}
