//! Encoding of messages as bytes. Integers are little-endian.
//!
//! | bytes | content |
//! | --- | --- |
//! | 1 | [`VERSION`] |
//! | 1 | kind of the body (2 bits), count of samples (6 bits) |
//! | 4 | sender's incarnation |
//! | 2 | sequence number |
//! | 1 | count of entries |
//! | 4 each | samples: tag of the backend (3 bytes), latency step (5 bits), class (3 bits) |
//! | 4 | receiver's incarnation, before quota grants only |
//! | 14 or 12 each | entries: usage reports or quota grants |
//!
//! A usage report consists of the customer and the attempts in flight (5 bytes), the total (2), the token
//! level (1), the flags and the plan (1), the requested units (1), the start (2) and the size (2) of the
//! gateway set.
//!
//! A quota grant consists of the customer and the attempts in flight (5 bytes), the receiver's total (2), the
//! tokens (2), the rate (2) and the units of the hard limit (1).

use super::bytes::{ByteReader, ByteWriter};
use super::units::{from_wire_units, latency_of_step, latency_step, to_wire_units};
use super::{Body, LatencySample, Message, QuotaGrant, TokenLevel, UsageReport};

/// Version of the layout; messages of other versions are ignored.
const VERSION: u8 = 0xA2;
const USAGE_REPORTS_KIND: u8 = 0;
const QUOTA_GRANTS_KIND: u8 = 1;
/// Number of low bits that hold the kind, below the count of samples.
const KIND_BITS: u32 = 2;
const KIND_MASK: u8 = (1 << KIND_BITS) - 1;
/// Number of low bits that hold the latency step of a sample, below its class.
const LATENCY_STEP_BITS: u32 = 5;
const LATENCY_STEP_MASK: u8 = (1 << LATENCY_STEP_BITS) - 1;
/// Flag of a usage report that requests units of the hard limit.
const HARD_LIMIT_FLAG: u8 = 1;
/// Flag of a usage report that requests a grant.
const GRANT_FLAG: u8 = 2;
/// Number of low bits that hold the flags of a usage report, below its plan.
const FLAG_BITS: u32 = 2;

/// Number of bytes before the samples.
const HEADER_BYTES: usize = 9;
const SAMPLE_BYTES: usize = 4;
const INCARNATION_BYTES: usize = 4;
const USAGE_REPORT_BYTES: usize = 14;
const QUOTA_GRANT_BYTES: usize = 12;
/// Maximum length of an encoded message between gateways.
pub const MAX_MESSAGE_BYTES: usize = 256;
/// Maximum length of the body, next to the maximum number of samples.
const MAX_BODY_BYTES: usize = MAX_MESSAGE_BYTES - HEADER_BYTES - MAX_SAMPLES * SAMPLE_BYTES;

/// Maximum number of [`LatencySample`]s in a message.
pub(crate) const MAX_SAMPLES: usize = 6;
/// Maximum number of [`UsageReport`]s in a message.
pub(crate) const MAX_USAGE_REPORTS: usize = MAX_BODY_BYTES / USAGE_REPORT_BYTES;
/// Maximum number of [`QuotaGrant`]s in a message.
const MAX_QUOTA_GRANTS: usize = (MAX_BODY_BYTES - INCARNATION_BYTES) / QUOTA_GRANT_BYTES;
/// Highest plan index that a [`UsageReport`] can hold.
pub(crate) const MAX_PLAN: usize = 63;
/// Highest class index that a [`LatencySample`] can hold.
pub(crate) const MAX_CLASS: usize = 7;

impl Message {
    /// Encodes the message. Samples and entries beyond the maximum numbers are omitted.
    pub(crate) fn encode(&self) -> Vec<u8> {
        let (kind, entry_count) = match &self.body {
            Body::UsageReports(reports) => (USAGE_REPORTS_KIND, reports.len().min(MAX_USAGE_REPORTS)),
            Body::QuotaGrants { grants, .. } => (QUOTA_GRANTS_KIND, grants.len().min(MAX_QUOTA_GRANTS)),
        };
        let sample_count = self.samples.len().min(MAX_SAMPLES);
        let mut writer = ByteWriter::default();
        writer.u8(VERSION);
        writer.u8(kind | (sample_count as u8) << KIND_BITS);
        writer.u32(self.incarnation);
        writer.u16(self.sequence);
        writer.u8(entry_count as u8);
        self.samples.iter().take(sample_count).for_each(|sample| sample.encode(&mut writer));
        match &self.body {
            Body::UsageReports(reports) => {
                reports.iter().take(entry_count).for_each(|report| report.encode(&mut writer));
            }
            Body::QuotaGrants { receiver_incarnation, grants } => {
                writer.u32(*receiver_incarnation);
                grants.iter().take(entry_count).for_each(|grant| grant.encode(&mut writer));
            }
        }
        writer.finish()
    }

    /// Decodes a message. Returns `None` if the bytes are not exactly one valid message of this version.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Message> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        let mut reader = ByteReader(bytes);
        if reader.u8()? != VERSION {
            return None;
        }
        let kind_and_samples = reader.u8()?;
        let sample_count = kind_and_samples >> KIND_BITS;
        if usize::from(sample_count) > MAX_SAMPLES {
            return None;
        }
        let incarnation = reader.u32()?;
        let sequence = reader.u16()?;
        let entry_count = reader.u8()?;
        let samples = read_all(&mut reader, sample_count, LatencySample::decode)?;
        let body = match kind_and_samples & KIND_MASK {
            USAGE_REPORTS_KIND => {
                Body::UsageReports(read_all(&mut reader, entry_count, UsageReport::decode)?)
            }
            QUOTA_GRANTS_KIND => Body::QuotaGrants {
                receiver_incarnation: reader.u32()?,
                grants: read_all(&mut reader, entry_count, QuotaGrant::decode)?,
            },
            _ => return None,
        };
        reader.is_empty().then_some(Message { incarnation, sequence, samples, body })
    }
}

/// Reads `count` items. Returns `None` if one of them is truncated.
fn read_all<T>(reader: &mut ByteReader, count: u8, read: fn(&mut ByteReader) -> Option<T>) -> Option<Vec<T>> {
    (0..count).map(|_| read(reader)).collect()
}

impl LatencySample {
    fn encode(&self, writer: &mut ByteWriter) {
        writer.u24(self.backend_tag);
        let class = self.class.min(MAX_CLASS as u8);
        writer.u8(class << LATENCY_STEP_BITS | latency_step(self.objective_ratio));
    }

    /// Decodes the bytes of [`Self::encode`]. Returns `None` if they are truncated.
    fn decode(reader: &mut ByteReader) -> Option<LatencySample> {
        let backend_tag = reader.u24()?;
        let class_and_step = reader.u8()?;
        let class = class_and_step >> LATENCY_STEP_BITS;
        let objective_ratio = latency_of_step(class_and_step & LATENCY_STEP_MASK);
        Some(LatencySample { backend_tag, class, objective_ratio })
    }
}

impl UsageReport {
    fn encode(&self, writer: &mut ByteWriter) {
        let grant_flag = if self.requests_grant { GRANT_FLAG } else { 0 };
        let hard_limit_flag = if self.needs_hard_limit_grant { HARD_LIMIT_FLAG } else { 0 };
        writer.customer_and_count(self.customer, self.in_flight);
        writer.u16(self.total_units);
        writer.u8(self.tokens_level.to_byte());
        writer.u8(self.plan << FLAG_BITS | grant_flag | hard_limit_flag);
        writer.u8(to_wire_units(self.requested_units).ceil() as u8);
        writer.u16(self.gateway_set_start);
        writer.u16(self.gateway_set_size);
    }

    /// Decodes the bytes of [`Self::encode`]. Returns `None` if they are truncated.
    fn decode(reader: &mut ByteReader) -> Option<UsageReport> {
        let (customer, in_flight) = reader.customer_and_count()?;
        let total_units = reader.u16()?;
        let tokens_level = TokenLevel::from_byte(reader.u8()?);
        let plan_and_flags = reader.u8()?;
        Some(UsageReport {
            customer,
            plan: plan_and_flags >> FLAG_BITS,
            total_units,
            in_flight,
            tokens_level,
            requests_grant: plan_and_flags & GRANT_FLAG != 0,
            needs_hard_limit_grant: plan_and_flags & HARD_LIMIT_FLAG != 0,
            requested_units: from_wire_units(reader.u8()?),
            gateway_set_start: reader.u16()?,
            gateway_set_size: reader.u16()?,
        })
    }
}

impl QuotaGrant {
    fn encode(&self, writer: &mut ByteWriter) {
        writer.customer_and_count(self.customer, self.remote_in_flight);
        writer.u16(self.receiver_total);
        writer.i16(to_wire_units(self.tokens).floor() as i16);
        writer.u16(to_wire_units(self.remote_rate).round() as u16);
        writer.u8(to_wire_units(self.hard_limit_grant) as u8);
    }

    /// Decodes the bytes of [`Self::encode`]. Returns `None` if they are truncated.
    fn decode(reader: &mut ByteReader) -> Option<QuotaGrant> {
        let (customer, remote_in_flight) = reader.customer_and_count()?;
        Some(QuotaGrant {
            customer,
            receiver_total: reader.u16()?,
            tokens: from_wire_units(reader.i16()?),
            remote_rate: from_wire_units(reader.u16()?),
            remote_in_flight,
            hard_limit_grant: from_wire_units(reader.u8()?),
        })
    }
}

#[cfg(test)]
mod tests;
