//! Writes and reads the integers of a message, little-endian. A reader never reads past the end.

use crate::CustomerId;

/// Low bits of the five bytes that hold a customer's id and a count.
const CUSTOMER_BITS: u64 = 33;
/// Selects the customer's id.
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
/// The highest count of attempts in flight that a message carries, in the bits above the id.
pub(crate) const MAX_REPORTED_IN_FLIGHT: u8 = 127;

/// The bytes of a message in the making.
#[derive(Default)]
pub(crate) struct ByteWriter(Vec<u8>);

impl ByteWriter {
    /// The bytes written.
    pub(crate) fn finish(self) -> Vec<u8> {
        self.0
    }

    /// Appends one byte.
    pub(crate) fn u8(&mut self, value: u8) {
        self.0.push(value);
    }

    /// Appends two bytes.
    pub(crate) fn u16(&mut self, value: u16) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    /// Appends two bytes, in two's complement.
    pub(crate) fn i16(&mut self, value: i16) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    /// Appends the low three bytes.
    pub(crate) fn u24(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_le_bytes()[..3]);
    }

    /// Appends four bytes.
    pub(crate) fn u32(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    /// Appends a customer's id and a count of at most [`MAX_REPORTED_IN_FLIGHT`], in five bytes.
    pub(crate) fn customer_and_count(&mut self, customer: CustomerId, count: u8) {
        let packed =
            (customer.0 & CUSTOMER_MASK) | u64::from(count.min(MAX_REPORTED_IN_FLIGHT)) << CUSTOMER_BITS;
        self.0.extend_from_slice(&packed.to_le_bytes()[..5]);
    }
}

/// What is left to read of a message. Each method returns none where the bytes don't suffice.
pub(crate) struct ByteReader<'a>(pub &'a [u8]);

impl ByteReader<'_> {
    /// Whether all bytes have been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads so many bytes.
    fn take<const COUNT: usize>(&mut self) -> Option<[u8; COUNT]> {
        let (taken, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*taken)
    }

    /// Reads one byte.
    pub(crate) fn u8(&mut self) -> Option<u8> {
        self.take().map(u8::from_le_bytes)
    }

    /// Reads two bytes.
    pub(crate) fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_le_bytes)
    }

    /// Reads two bytes, in two's complement.
    pub(crate) fn i16(&mut self) -> Option<i16> {
        self.take().map(i16::from_le_bytes)
    }

    /// Reads three bytes.
    pub(crate) fn u24(&mut self) -> Option<u32> {
        let [low, middle, high] = self.take()?;
        Some(u32::from_le_bytes([low, middle, high, 0]))
    }

    /// Reads four bytes.
    pub(crate) fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_le_bytes)
    }

    /// Reads a customer's id and a count, from five bytes.
    pub(crate) fn customer_and_count(&mut self) -> Option<(CustomerId, u8)> {
        let mut packed = [0; 8];
        packed[..5].copy_from_slice(&self.take::<5>()?);
        let packed = u64::from_le_bytes(packed);
        Some((CustomerId(packed & CUSTOMER_MASK), (packed >> CUSTOMER_BITS) as u8))
    }
}
