//! Decoding of the records of a batch: a code, the number of an instance, and the fields of that code.

use super::field_reader::{FieldReader, BACKEND_ID_BYTES};
use super::InstanceId;
use crate::error::{FieldProblem, RecordError};
use ingress::{
    AttemptEnded, Availability, CustomerId, Endpoint, EndpointUpdate, Event, GatewayId, LoadReportField,
    Outcome, Request, RequestId,
};

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 48;
/// Length of an endpoint in the tail, in bytes.
const ENDPOINT_BYTES: usize = 24;
/// Length in bytes of the version of an endpoint list, which follows its kind and is ignored.
const ENDPOINT_UPDATE_SKIPPED_BYTES: usize = 8;
/// Offset of the outcome in the fields of a health check, after the backend's identifier.
const HEALTH_CHECK_OUTCOME_OFFSET: usize = BACKEND_ID_BYTES;
/// Offset of the outcome in the fields of a call to the shared counter, after the counter's name.
const COUNTER_OUTCOME_OFFSET: usize = size_of::<u64>();
/// Maximum number of values in a load report on the wire.
const MAX_REPORT_VALUES: usize = 4;
/// Length in bytes of a customer's metered usage, which is ignored.
const METERED_USAGE_BYTES: usize = size_of::<u16>();

/// Codes of records, each documented with its name on the wire.
mod code {
    /// `Call`.
    pub const REQUEST: u8 = 10;
    /// `Settled`.
    pub const ATTEMPT_ENDED: u8 = 20;
    /// `ProbeDone`.
    pub const HEALTH_CHECK_ENDED: u8 = 30;
    /// `Reckoned`.
    pub const COUNTER_UPDATED: u8 = 40;
    /// `Provision`.
    pub const START: u8 = 50;
    /// `RosterChange`.
    pub const ENDPOINTS: u8 = 60;
    /// `DeadlineHit`.
    pub const TIMER: u8 = 70;
    /// `NeighbourSays`.
    pub const PEER_MESSAGE: u8 = 80;
    /// `Withdrawn`.
    pub const CLIENT_DISCONNECTED: u8 = 90;
    /// `FirstByte`, as in the library.
    pub const FIRST_BYTE: u8 = 100;
    /// `PowerOff`.
    pub const STOP: u8 = 110;
}

/// An undecoded record of a batch.
pub struct Record<'a> {
    /// Number in the header of the batch.
    pub batch: u32,
    /// Index of the record in the batch.
    pub index: usize,
    /// Encoded record.
    pub body: &'a [u8],
    /// Tail of the batch.
    pub tail: &'a [u8],
}

/// A decoded record: the start or stop of an instance, or an event for it.
pub enum RecordContent<'a> {
    /// An instance has to be started.
    Start {
        /// Seed of the gateway's random draws.
        seed: u64,
        /// Settings in lines of the form `path=value`.
        settings: &'a str,
    },
    /// The instance has to be stopped, because the simulated process was killed.
    Stop,
    /// An event has to be passed to the instance.
    Event(Event),
    /// The code is not defined in this adapter.
    Unknown,
}

impl<'a> Record<'a> {
    /// Returns the instance that the record is addressed to.
    pub fn instance(&self) -> InstanceId {
        let mut fields = FieldReader::new(self.body);
        fields.skip(1);
        InstanceId(fields.u16())
    }

    /// Creates an error for a field of this record.
    pub fn error(&self, field: &'static str, problem: FieldProblem) -> RecordError {
        RecordError { batch: self.batch, index: self.index, field, problem }
    }

    /// Decodes the record. `report_fields` are the fields of a load report, in order.
    pub fn decode(&self, report_fields: &[LoadReportField]) -> Result<RecordContent<'a>, RecordError> {
        let mut fields = FieldReader::new(self.body);
        let code = fields.u8();
        let _instance = fields.u16();
        let event = match code {
            code::START => return self.start(&mut fields),
            code::STOP => return Ok(RecordContent::Stop),
            code::ENDPOINTS => self.endpoints(&mut fields)?,
            code::REQUEST => Event::Request(request(&mut fields)),
            code::HEALTH_CHECK_ENDED => self.unused_event(&mut fields, HEALTH_CHECK_OUTCOME_OFFSET)?,
            code::ATTEMPT_ENDED => self.attempt_ended(&mut fields, report_fields)?,
            code::COUNTER_UPDATED => self.unused_event(&mut fields, COUNTER_OUTCOME_OFFSET)?,
            code::CLIENT_DISCONNECTED => Event::RequestClosed(RequestId(fields.u64())),
            code::TIMER => Event::Timer(fields.u32()),
            code::FIRST_BYTE => Event::FirstByte { id: RequestId(fields.u64()), attempt: fields.u16() },
            code::PEER_MESSAGE => self.peer_message(&mut fields)?,
            _ => return Ok(RecordContent::Unknown),
        };
        Ok(RecordContent::Event(event))
    }

    /// Reads the seed and the settings of an instance.
    fn start(&self, fields: &mut FieldReader) -> Result<RecordContent<'a>, RecordError> {
        let seed = fields.u64();
        let text = self.tail_slice(fields, "conf", 1)?;
        let settings =
            std::str::from_utf8(text).map_err(|error| self.error("conf", FieldProblem::NotUtf8(error)))?;
        Ok(RecordContent::Start { seed, settings })
    }

    /// Reads the kind and the rows of an endpoint update.
    fn endpoints(&self, fields: &mut FieldReader) -> Result<Event, RecordError> {
        let update = match fields.u8() {
            0 => EndpointUpdate::Delta,
            1 => EndpointUpdate::Snapshot,
            2 => EndpointUpdate::CachedSnapshot,
            3 => EndpointUpdate::PollFailed,
            other => return Err(self.error("scope", FieldProblem::UnknownEndpointUpdate(other))),
        };
        fields.skip(ENDPOINT_UPDATE_SKIPPED_BYTES);
        let rows = self.tail_slice(fields, "rows", ENDPOINT_BYTES)?;
        let endpoints: Result<Vec<Endpoint>, RecordError> =
            rows.chunks_exact(ENDPOINT_BYTES).map(|row| self.endpoint(row)).collect();
        Ok(Event::Endpoints(update, endpoints?))
    }

    /// Reads a row of an endpoint list.
    fn endpoint(&self, row: &[u8]) -> Result<Endpoint, RecordError> {
        let mut fields = FieldReader::new(row);
        Ok(Endpoint {
            backend: fields.backend(),
            zone: fields.u8(),
            machine_type: fields.u16(),
            cell: fields.u16(),
            availability: self.availability(&mut fields)?,
            size: fields.f32(),
            started_at: fields.start_time(),
        })
    }

    /// Reads the availability of an endpoint.
    fn availability(&self, fields: &mut FieldReader) -> Result<Availability, RecordError> {
        match fields.u8() {
            0 => Ok(Availability::Draining),
            1 => Ok(Availability::Ready),
            2 => Ok(Availability::Gone),
            other => Err(self.error("rows.availability", FieldProblem::UnknownAvailability(other))),
        }
    }

    /// Reads an event that is ignored, and checks its outcome at this offset.
    fn unused_event(&self, fields: &mut FieldReader, outcome_offset: usize) -> Result<Event, RecordError> {
        fields.skip(outcome_offset);
        self.outcome(fields)?;
        Ok(Event::Unused)
    }

    /// Reads the fields of an attempt's end, in their order on the wire.
    fn attempt_ended(
        &self,
        fields: &mut FieldReader,
        report_fields: &[LoadReportField],
    ) -> Result<Event, RecordError> {
        let id = RequestId(fields.u64());
        let elapsed = fields.duration();
        let outcome = self.outcome(fields)?;
        let request_closed = fields.u8() != 0;
        let attempt = fields.u16();
        fields.skip(METERED_USAGE_BYTES);
        let backend = fields.backend();
        let charged_units = Some(fields.u16()).filter(|units| *units > 0).map(f64::from);
        let reported_queue_depth = queue_depth(fields, report_fields);
        Ok(Event::AttemptEnded(AttemptEnded {
            id,
            attempt,
            backend,
            outcome,
            request_closed,
            elapsed,
            charged_units,
            reported_queue_depth,
        }))
    }

    /// Reads the sender and the bytes of a peer's message.
    fn peer_message(&self, fields: &mut FieldReader) -> Result<Event, RecordError> {
        let from = GatewayId(fields.u16());
        let bytes = self.tail_slice(fields, "octets", 1)?.to_vec();
        Ok(Event::PeerMessage { from, bytes })
    }

    /// Reads the code of an outcome.
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

    /// Returns the part of the tail given by the next two fields: an offset in bytes, and a count of items of
    /// `item_size` bytes.
    fn tail_slice(
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

/// Reads the fields of a request, in their order on the wire.
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

/// Reads a load report (a count and that number of values), and returns the queue depth in it.
fn queue_depth(fields: &mut FieldReader, report_fields: &[LoadReportField]) -> Option<f64> {
    let count = usize::from(fields.u8()).min(MAX_REPORT_VALUES);
    let mut queue_depth = None;
    for report_field in report_fields.iter().take(count) {
        let value = fields.f32();
        if *report_field == LoadReportField::QueueDepth {
            queue_depth = Some(value).filter(|value| value.is_finite());
        }
    }
    queue_depth
}
