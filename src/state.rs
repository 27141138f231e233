//! What a gateway remembers: records and data structures. No decision and no tuned value lives here.

mod arithmetic;
mod backend;
mod customer;
mod endpoint_index;
mod peer;
mod peer_table;
mod quota_table;
mod request;

use crate::gossip::{incarnation_of, Body, Message};
use crate::*;
pub use arithmetic::*;
pub use backend::*;
pub use customer::*;
use endpoint_index::EndpointIndex;
pub use peer::*;
pub use peer_table::PeerTable;
pub use quota_table::QuotaTable;
pub use request::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

/// One gateway's decisions. Feed it events, do what it asks.
#[derive(Default)]
pub struct Gateway {
    pub(crate) settings: Settings,
    pub(crate) random_state: u64,
    pub(crate) now: Micros,
    pub(crate) started_at: Micros,
    pub(crate) next_wake_up_at: Micros,
    /// Stood still until then: times found with that turn say nothing.
    pub(crate) resumed_at: Micros,
    pub(crate) requests: BTreeMap<RequestId, RequestState>,
    pub(crate) queue: VecDeque<RequestId>,
    pub(crate) request_timers: BinaryHeap<Reverse<(Micros, RequestId)>>,
    pub(crate) quota: QuotaTable,
    pub(crate) peers: PeerTable,
    pub(crate) backends: BTreeMap<BackendId, Backend>,
    pub(crate) backends_by_tag: BTreeMap<u32, BackendId>,
    /// The ready ones, in an order of this gateway's own.
    pub(crate) ready_backends: EndpointIndex,
    pub(crate) ready_capacity: f64,
    /// Whether zones could be reached.
    pub(crate) zone_health: BTreeMap<u8, Health>,
    pub(crate) latency_baselines: Vec<LatencyBaseline>,
    pub(crate) pressure: f64,
    pub(crate) pressure_updated_at: Micros,
    /// Recent share of requests inside their quota that found no place.
    pub(crate) rejection_rate: f64,
    pub(crate) shedding_stage: usize,
    pub(crate) stage_changed_at: Micros,
    /// Attempts that may be out at a backend, by all gateways, if all send alike.
    pub(crate) concurrency_per_backend: f64,
    pub(crate) limit_reduced_at: Micros,
    pub(crate) in_flight: u32,
    pub(crate) retry_tokens: f64,
    pub(crate) send_rate: f64,
    pub(crate) send_rate_updated_at: Micros,
    pub(crate) next_poll_at: Micros,
    pub(crate) fleet_size: u64,
}

impl Gateway {
    /// Sends a peer a message, with the latest samples.
    pub(crate) fn send_message(&mut self, to: u16, body: Body, actions: &mut Vec<Action>) {
        let samples = self.peers.take_samples();
        let peer = self.peers.entry(to);
        peer.sent_messages = peer.sent_messages.wrapping_add(1);
        peer.next_send_at = self.now + self.quota.report_interval;
        let (incarnation, sequence) = (incarnation_of(self.started_at), peer.sent_messages);
        let bytes = Message { incarnation, sequence, samples, body }.encode();
        actions.push(Action::SendToPeer { to: Some(GatewayId(to)), bytes });
    }

    /// An answer streams: the other attempts are cancelled, and this one is the client's.
    pub(crate) fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.cancel_attempts(Some(attempt), self.settings.limits.cancellation, actions);
            request.streaming = true;
        }
    }
}
