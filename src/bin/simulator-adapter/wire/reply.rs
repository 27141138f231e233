//! Encoding of replies: a header with count, length and the batch's number, the records of actions, and the
//! tail.

use super::field_writer::FieldWriter;
use super::InstanceId;
use ingress::{Action, GatewayId, Instant};

/// Length of a reply's header in bytes.
pub const REPLY_HEADER_BYTES: usize = 12;
/// Length of an action's record in bytes.
pub const ACTION_BYTES: usize = 32;
/// Receiver's index that addresses all peers.
const ALL_PEERS: GatewayId = GatewayId(u16::MAX);
/// Value of the only field of `Listen`: subscribe to discovery, rather than unsubscribe.
const SUBSCRIBE: u8 = 1;

/// Codes of actions, each documented with its name on the wire.
mod code {
    /// `Deliver`.
    pub const SEND: u8 = 10;
    /// `TurnAway`.
    pub const REJECT: u8 = 20;
    /// `Fail`, as in the library.
    pub const FAIL: u8 = 30;
    /// `Revoke`.
    pub const CANCEL: u8 = 40;
    /// `SetAlarm`.
    pub const SET_TIMER: u8 = 50;
    /// `WritePeer`.
    pub const SEND_TO_PEER: u8 = 80;
    /// `Record`.
    pub const LOG: u8 = 90;
    /// `Listen`.
    pub const POLL_DISCOVERY: u8 = 110;
}

/// A reply to a batch, under construction.
pub struct Reply {
    /// Number in the header of the batch to which this replies.
    batch: u32,
    /// Encoded records.
    records: Vec<u8>,
    /// Data of variable size, to which records refer by offset.
    tail: Vec<u8>,
}

impl Reply {
    /// Creates an empty reply to the batch with this number.
    pub fn new(batch: u32) -> Self {
        Reply { batch, records: Vec::new(), tail: Vec::new() }
    }

    /// Appends records of an instance's actions.
    pub fn push(&mut self, instance: InstanceId, actions: &[Action]) {
        for action in actions {
            let mut record = FieldWriter::<ACTION_BYTES>::new();
            record.u8(action_code(action)).u16(instance.0);
            self.write_fields(&mut record, action);
            self.records.extend_from_slice(&record.finish());
        }
    }

    /// Writes the fields of an action, which follow its code and instance.
    fn write_fields(&mut self, record: &mut FieldWriter<ACTION_BYTES>, action: &Action) {
        match action {
            Action::Send { id, backend, expires_at } => {
                // 0 means the client's deadline.
                let expires_at = expires_at.map_or(0, Instant::as_micros);
                record.request(*id).u64(expires_at).backend(*backend);
            }
            Action::Reject { id, retry_after } => {
                record.request(*id).duration(*retry_after);
            }
            Action::Fail(id) => {
                record.request(*id);
            }
            Action::Cancel { id, attempt } => {
                record.request(*id).u16(*attempt);
            }
            Action::SetTimer { delay, token } => {
                record.duration(*delay).u32(*token);
            }
            Action::SendToPeer { to, bytes } => {
                record.u16(to.unwrap_or(ALL_PEERS).0);
                self.write_tail(record, bytes);
            }
            Action::Log(text) => self.write_tail(record, text.as_bytes()),
            Action::PollDiscovery => {
                record.u8(SUBSCRIBE);
            }
        }
    }

    /// Appends bytes to the tail, and writes their offset and length to the record.
    fn write_tail(&mut self, record: &mut FieldWriter<ACTION_BYTES>, bytes: &[u8]) {
        record.u32(self.tail.len() as u32).u32(bytes.len() as u32);
        self.tail.extend_from_slice(bytes);
    }

    /// Encodes the whole frame.
    pub fn finish(self) -> Vec<u8> {
        let size = REPLY_HEADER_BYTES + self.records.len() + self.tail.len();
        let mut header = FieldWriter::<REPLY_HEADER_BYTES>::new();
        header.u32((self.records.len() / ACTION_BYTES) as u32).u32(size as u32).u32(self.batch);
        let mut frame = Vec::with_capacity(size);
        frame.extend_from_slice(&header.finish());
        frame.extend_from_slice(&self.records);
        frame.extend_from_slice(&self.tail);
        frame
    }
}

/// Returns the code of an action on the wire.
fn action_code(action: &Action) -> u8 {
    match action {
        Action::Send { .. } => code::SEND,
        Action::Reject { .. } => code::REJECT,
        Action::Fail(_) => code::FAIL,
        Action::Cancel { .. } => code::CANCEL,
        Action::SetTimer { .. } => code::SET_TIMER,
        Action::SendToPeer { .. } => code::SEND_TO_PEER,
        Action::Log(_) => code::LOG,
        Action::PollDiscovery => code::POLL_DISCOVERY,
    }
}
