//! Records of a batch: a code, the number of an instance, and the fields that belong to the code.

use super::field_reader::FieldReader;
use super::InstanceId;
use crate::error::{FieldProblem, RecordError};
use ingress::{
    AttemptEnded, Availability, CustomerId, Endpoint, EndpointUpdate, Event, GatewayId, LoadReport, Outcome,
    Request, RequestId,
};

/// Bytes of a record.
pub const RECORD_SIZE: usize = 48;
/// Bytes of an endpoint in the tail.
const ENDPOINT_SIZE: usize = 24;
/// Bytes of an endpoint update between its kind and its rows, which the decision module has no use for.
const ENDPOINT_UPDATE_SKIPPED: usize = 8;
/// The most values that a load report has on the wire.
const MAX_REPORT_VALUES: usize = 4;
/// Metered use is counted in hundredths.
const METER_UNITS: f64 = 100.0;

/// The codes of records.
mod code {
    pub const REQUEST: u8 = 10;
    pub const ATTEMPT_ENDED: u8 = 20;
    pub const HEALTH_CHECK_ENDED: u8 = 30;
    pub const COUNTER_UPDATED: u8 = 40;
    pub const START: u8 = 50;
    pub const ENDPOINTS: u8 = 60;
    pub const TIMER: u8 = 70;
    pub const PEER_MESSAGE: u8 = 80;
    pub const CLIENT_DISCONNECTED: u8 = 90;
    pub const FIRST_BYTE: u8 = 100;
    pub const STOP: u8 = 110;
}

/// A record of a batch.
pub struct Record<'a> {
    /// The number of its batch.
    pub batch: u32,
    /// Its index in the batch.
    pub index: usize,
    /// Its bytes.
    pub body: &'a [u8],
    /// The tail of its batch.
    pub tail: &'a [u8],
}

/// What a record says.
pub enum RecordContent<'a> {
    /// The instance starts.
    Start {
        /// Seed of all that it draws.
        seed: u64,
        /// Its settings, a line each.
        settings: &'a str,
    },
    /// The instance was killed.
    Stop,
    /// An event for the instance.
    Event(Event),
    /// A code that this adapter does not know.
    Unknown,
}

impl<'a> Record<'a> {
    /// The instance that the record is for.
    pub fn instance(&self) -> InstanceId {
        let mut fields = FieldReader::new(self.body);
        fields.skip(1);
        InstanceId(fields.u16())
    }

    /// The error that something is wrong with a field of this record.
    pub fn error(&self, field: &'static str, problem: FieldProblem) -> RecordError {
        RecordError { batch: self.batch, index: self.index, field, problem }
    }

    /// What the record says. `report_fields` names the values in a load report.
    pub fn decode(&self, report_fields: &[String]) -> Result<RecordContent<'a>, RecordError> {
        let mut fields = FieldReader::new(self.body);
        let code = fields.u8();
        let _instance = fields.u16();
        let event = match code {
            code::START => return self.start(&mut fields),
            code::STOP => return Ok(RecordContent::Stop),
            code::ENDPOINTS => self.endpoints(&mut fields)?,
            code::REQUEST => Event::Request(request(&mut fields)),
            code::HEALTH_CHECK_ENDED => self.health_check_ended(&mut fields, report_fields)?,
            code::ATTEMPT_ENDED => self.attempt_ended(&mut fields, report_fields)?,
            code::COUNTER_UPDATED => self.counter_updated(&mut fields)?,
            code::CLIENT_DISCONNECTED => Event::ClientDisconnected(RequestId(fields.u64())),
            code::TIMER => Event::Timer(fields.u32()),
            code::FIRST_BYTE => Event::FirstByte { id: RequestId(fields.u64()), attempt: fields.u16() },
            code::PEER_MESSAGE => self.peer_message(&mut fields)?,
            _ => return Ok(RecordContent::Unknown),
        };
        Ok(RecordContent::Event(event))
    }

    /// Seed, and where the settings stand.
    fn start(&self, fields: &mut FieldReader) -> Result<RecordContent<'a>, RecordError> {
        let seed = fields.u64();
        let text = self.tail_part(fields, "conf", 1)?;
        let settings =
            std::str::from_utf8(text).map_err(|error| self.error("conf", FieldProblem::NotUtf8(error)))?;
        Ok(RecordContent::Start { seed, settings })
    }

    /// Kind, and where the rows stand.
    fn endpoints(&self, fields: &mut FieldReader) -> Result<Event, RecordError> {
        let update = match fields.u8() {
            0 => EndpointUpdate::Delta,
            1 => EndpointUpdate::Snapshot,
            2 => EndpointUpdate::CachedSnapshot,
            3 => EndpointUpdate::PollFailed,
            other => return Err(self.error("scope", FieldProblem::UnknownEndpointUpdate(other))),
        };
        fields.skip(ENDPOINT_UPDATE_SKIPPED);
        let rows = self.tail_part(fields, "rows", ENDPOINT_SIZE)?;
        let endpoints: Result<Vec<Endpoint>, RecordError> =
            rows.chunks_exact(ENDPOINT_SIZE).map(|row| self.endpoint(row)).collect();
        Ok(Event::Endpoints(update, endpoints?))
    }

    /// A row of an endpoint list.
    fn endpoint(&self, row: &[u8]) -> Result<Endpoint, RecordError> {
        let mut fields = FieldReader::new(row);
        Ok(Endpoint {
            backend: fields.backend(),
            zone: fields.u8(),
            machine_type: fields.u16(),
            cell: fields.u16(),
            availability: self.availability(&mut fields)?,
            size: fields.f32(),
            started_at: fields.start(),
        })
    }

    /// An endpoint's state.
    fn availability(&self, fields: &mut FieldReader) -> Result<Availability, RecordError> {
        match fields.u8() {
            0 => Ok(Availability::Draining),
            1 => Ok(Availability::Ready),
            2 => Ok(Availability::Gone),
            other => Err(self.error("rows.availability", FieldProblem::UnknownAvailability(other))),
        }
    }

    /// The end of a health check.
    fn health_check_ended(
        &self,
        fields: &mut FieldReader,
        report_fields: &[String],
    ) -> Result<Event, RecordError> {
        Ok(Event::HealthCheckEnded {
            backend: fields.backend(),
            outcome: self.outcome(fields)?,
            elapsed: fields.span(),
            load_report: load_report(fields, report_fields),
        })
    }

    /// The end of an attempt.
    fn attempt_ended(
        &self,
        fields: &mut FieldReader,
        report_fields: &[String],
    ) -> Result<Event, RecordError> {
        Ok(Event::AttemptEnded(AttemptEnded {
            id: RequestId(fields.u64()),
            elapsed: fields.span(),
            outcome: self.outcome(fields)?,
            answered: fields.u8() != 0,
            attempt: fields.u16(),
            // One more than the value, so that 0 stands for no meter.
            metered: fields.u16().checked_sub(1).map(|hundredths| f64::from(hundredths) / METER_UNITS),
            backend: fields.backend(),
            charged_units: Some(fields.u16()).filter(|units| *units > 0).map(f64::from),
            load_report: load_report(fields, report_fields),
        }))
    }

    /// The end of a call to the shared counter.
    fn counter_updated(&self, fields: &mut FieldReader) -> Result<Event, RecordError> {
        Ok(Event::CounterUpdated { name: fields.u64(), outcome: self.outcome(fields)?, total: fields.f32() })
    }

    /// Sender, and where the message stands.
    fn peer_message(&self, fields: &mut FieldReader) -> Result<Event, RecordError> {
        let from = GatewayId(fields.u16());
        let bytes = self.tail_part(fields, "octets", 1)?.to_vec();
        Ok(Event::PeerMessage { from, bytes })
    }

    /// How an attempt, a health check or a call to the counter ended.
    fn outcome(&self, fields: &mut FieldReader) -> Result<Outcome, RecordError> {
        Ok(match fields.u16() {
            200 => Outcome::Ok,
            502 => Outcome::Error,
            429 => Outcome::Rejected,
            408 => Outcome::TimedOut,
            521 => Outcome::ConnectFailed,
            520 => Outcome::Reset,
            444 => Outcome::Cancelled,
            409 => Outcome::NotSent,
            other => return Err(self.error("outcome", FieldProblem::UnknownOutcome(other))),
        })
    }

    /// The part of the tail that the next two fields point to: an offset, and a count of items of `item_size`
    /// bytes.
    fn tail_part(
        &self,
        fields: &mut FieldReader,
        field: &'static str,
        item_size: usize,
    ) -> Result<&'a [u8], RecordError> {
        let (offset, count) = (fields.u32() as usize, fields.u32() as usize);
        let end = count.checked_mul(item_size).and_then(|length| length.checked_add(offset));
        end.and_then(|end| self.tail.get(offset..end)).ok_or_else(|| {
            self.error(field, FieldProblem::OutsideTail { offset, count, tail_length: self.tail.len() })
        })
    }
}

/// A client's request.
fn request(fields: &mut FieldReader) -> Request {
    Request {
        id: RequestId(fields.u64()),
        class: fields.u8(),
        plan: fields.u16(),
        customer: CustomerId(fields.u64()),
        deadline: fields.instant(),
        units: fields.f32(),
        gateway_set_size: fields.f32(),
        gateway_set_start: fields.f32(),
    }
}

/// A load report: a count, then as many values; none for a count of 0.
fn load_report(fields: &mut FieldReader, names: &[String]) -> Option<LoadReport> {
    let count = usize::from(fields.u8()).min(MAX_REPORT_VALUES);
    let mut report = LoadReport::default();
    for name in names.iter().take(count) {
        let value = fields.f32();
        report.set_field(name, value.is_finite().then_some(value));
    }
    (count > 0).then_some(report)
}
