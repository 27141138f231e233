//! The simulator's wire protocol: batches of events as input, replies with actions as output.
//!
//! A frame consists of a header, records of a fixed size, and a tail with the data of variable size, to which
//! records refer by offset. All integers are little-endian, and all lengths and offsets in the input are
//! checked.
//!
//! The names and codes of the wire are defined in this module alone, and its errors use them. Those that
//! differ from the terms in the code:
//!
//! | name on the wire | term in the code |
//! | --- | --- |
//! | `Provision`, `PowerOff` | [`RecordContent::Start`], [`RecordContent::Stop`] |
//! | `conf` | settings |
//! | `Call` | [`Event::Request`] |
//! | `op_id`, `cls`, `api_key` | request id, class, customer |
//! | `not_after_us`, `size_units` | deadline, units |
//! | `width`, `from_no` | `gateway_set_size`, `gateway_set_start` |
//! | `Settled` | [`Event::AttemptEnded`] |
//! | `round_no`, `wait_time_us`, `complete`, `charged` | attempt, elapsed, `request_closed`, `charged_units` |
//! | `usage`: a load report | `reported_queue_depth` |
//! | `Withdrawn` | [`Event::RequestClosed`] |
//! | `RosterChange` with `scope` and `rows` | [`Event::Endpoints`] with its kind and endpoints |
//! | `DeadlineHit`, `SetAlarm` | [`Event::Timer`], [`Action::SetTimer`] |
//! | `NeighbourSays` with `octets`, `WritePeer` | [`Event::PeerMessage`], [`Action::SendToPeer`] |
//! | `ProbeDone`, `Reckoned` | [`Event::Unused`] |
//! | `Deliver`, `Revoke` | [`Action::Send`], [`Action::Cancel`] |
//! | `TurnAway` with `pause_us` | [`Action::Reject`] with `retry_after` |
//! | `Listen`, `Record` | [`Action::PollDiscovery`], [`Action::Log`] |
//!
//! [`Event::Request`]: ingress::Event::Request
//! [`Event::AttemptEnded`]: ingress::Event::AttemptEnded
//! [`Event::RequestClosed`]: ingress::Event::RequestClosed
//! [`Event::Endpoints`]: ingress::Event::Endpoints
//! [`Event::Timer`]: ingress::Event::Timer
//! [`Event::PeerMessage`]: ingress::Event::PeerMessage
//! [`Event::Unused`]: ingress::Event::Unused
//! [`Action::SetTimer`]: ingress::Action::SetTimer
//! [`Action::SendToPeer`]: ingress::Action::SendToPeer
//! [`Action::Send`]: ingress::Action::Send
//! [`Action::Cancel`]: ingress::Action::Cancel
//! [`Action::Reject`]: ingress::Action::Reject
//! [`Action::PollDiscovery`]: ingress::Action::PollDiscovery
//! [`Action::Log`]: ingress::Action::Log

mod batch;
mod field_reader;
mod field_writer;
mod record;
mod reply;

pub use batch::{frame_size, Batch, BATCH_HEADER_BYTES};
pub use record::{Record, RecordContent};
pub use reply::Reply;

/// Identifies a simulated process on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

#[cfg(test)]
mod tests;
