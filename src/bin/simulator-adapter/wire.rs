//! The simulator's frames: batches of events in, replies with actions out. All numbers are little-endian, and
//! every length and offset that comes from outside is checked.
//!
//! A frame is a header, records of a fixed size, and a tail that holds what has no fixed size; records point
//! into it.
//!
//! This module is the one place that knows the names and codes of the wire, which its errors use. Where they differ
//! from the terms in the code:
//!
//! | name on the wire | term in the code |
//! | --- | --- |
//! | `Provision`, `PowerOff` | [`RecordContent::Start`], [`RecordContent::Stop`] |
//! | `conf` | settings |
//! | `Call` | [`Event::Request`](ingress::Event) |
//! | `op_id`, `cls`, `api_key` | request id, class, customer |
//! | `not_after_us`, `size_units`, `width`, `from_no` | deadline, units, `gateway_set_size`, `gateway_set_start` |
//! | `Settled` | [`Event::AttemptEnded`](ingress::Event) |
//! | `round_no`, `wait_time_us`, `complete`, `charged` | attempt, elapsed, answered, `charged_units` |
//! | `usage`, a load report | `reported_queue_depth` |
//! | `Withdrawn` | [`Event::ClientDisconnected`](ingress::Event) |
//! | `RosterChange` with `scope` and `rows` | [`Event::Endpoints`](ingress::Event) with the kind of update and endpoints |
//! | `DeadlineHit`, `SetAlarm` | [`Event::Timer`](ingress::Event), [`Action::SetTimer`](ingress::Action) |
//! | `NeighbourSays` with `octets`, `WritePeer` | [`Event::PeerMessage`](ingress::Event), [`Action::SendToPeer`](ingress::Action) |
//! | `ProbeDone`, `Reckoned` | [`Event::Unused`](ingress::Event) |
//! | `Deliver`, `Revoke` | [`Action::Send`](ingress::Action), [`Action::Cancel`](ingress::Action) |
//! | `TurnAway` with `pause_us` | [`Action::Reject`](ingress::Action) with `retry_after` |
//! | `Listen`, `Record` | [`Action::WatchEndpoints`](ingress::Action), [`Action::Log`](ingress::Action) |

mod batch;
mod field_reader;
mod field_writer;
mod record;
mod reply;

pub use batch::{frame_size, Batch, BATCH_HEADER_SIZE};
pub use record::{Record, RecordContent};
pub use reply::Reply;

/// The number of an instance on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

#[cfg(test)]
mod tests;
