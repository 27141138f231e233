//! Writer and reader of the little-endian integers of a message. The reader never reads past the end.

use crate::CustomerId;

/// Number of low bits that hold the customer's id in a five-byte field of id and count.
const CUSTOMER_BITS: u64 = 33;
const CUSTOMER_MASK: u64 = (1 << CUSTOMER_BITS) - 1;
/// Maximum count of attempts in flight in a message, stored in the bits above the customer's id.
pub(crate) const MAX_REPORTED_IN_FLIGHT: u8 = 127;

/// Buffer of a message under construction.
#[derive(Default)]
pub(crate) struct ByteWriter(Vec<u8>);

impl ByteWriter {
    /// Returns the bytes written.
    pub(crate) fn finish(self) -> Vec<u8> {
        self.0
    }

    pub(crate) fn u8(&mut self, value: u8) {
        self.0.push(value);
    }

    pub(crate) fn u16(&mut self, value: u16) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    pub(crate) fn i16(&mut self, value: i16) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    /// Appends the low three bytes of a value.
    pub(crate) fn u24(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_le_bytes()[..3]);
    }

    pub(crate) fn u32(&mut self, value: u32) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    /// Appends a customer's id and a count, capped at [`MAX_REPORTED_IN_FLIGHT`], in five bytes.
    pub(crate) fn customer_and_count(&mut self, customer: CustomerId, count: u8) {
        let packed =
            (customer.0 & CUSTOMER_MASK) | u64::from(count.min(MAX_REPORTED_IN_FLIGHT)) << CUSTOMER_BITS;
        self.0.extend_from_slice(&packed.to_le_bytes()[..5]);
    }
}

/// The unread bytes of a message. Each method returns `None` if too few are left.
pub(crate) struct ByteReader<'a>(pub &'a [u8]);

impl ByteReader<'_> {
    /// Returns whether all bytes have been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Reads `COUNT` bytes.
    fn take<const COUNT: usize>(&mut self) -> Option<[u8; COUNT]> {
        let (taken, rest) = self.0.split_first_chunk()?;
        self.0 = rest;
        Some(*taken)
    }

    pub(crate) fn u8(&mut self) -> Option<u8> {
        self.take().map(u8::from_le_bytes)
    }

    pub(crate) fn u16(&mut self) -> Option<u16> {
        self.take().map(u16::from_le_bytes)
    }

    pub(crate) fn i16(&mut self) -> Option<i16> {
        self.take().map(i16::from_le_bytes)
    }

    /// Reads a three-byte integer.
    pub(crate) fn u24(&mut self) -> Option<u32> {
        let [low, middle, high] = self.take()?;
        Some(u32::from_le_bytes([low, middle, high, 0]))
    }

    pub(crate) fn u32(&mut self) -> Option<u32> {
        self.take().map(u32::from_le_bytes)
    }

    /// Reads the five bytes of a customer's id and a count.
    pub(crate) fn customer_and_count(&mut self) -> Option<(CustomerId, u8)> {
        let mut packed = [0; 8];
        packed[..5].copy_from_slice(&self.take::<5>()?);
        let packed = u64::from_le_bytes(packed);
        Some((CustomerId(packed & CUSTOMER_MASK), (packed >> CUSTOMER_BITS) as u8))
    }
}
