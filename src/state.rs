//! What a gateway remembers: records and data structures. No decision and no tuned value lives here.

mod arithmetic;
mod backend;
mod customer;
mod endpoint_index;
mod peer;
mod request;

use crate::gossip::{incarnation_of, Body, Message};
use crate::*;
pub use arithmetic::*;
pub use backend::*;
pub use customer::*;
use endpoint_index::EndpointIndex;
pub use peer::*;
pub use request::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

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
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    pub(crate) peers: BTreeMap<u16, Peer>,
    /// Peers with something in their outbox.
    pub(crate) peers_with_outbox: BTreeSet<u16>,
    pub(crate) latency_samples: VecDeque<QueuedSample>,
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
    /// Since when all use of customers is known: this start; none where all gateways started with this one.
    pub(crate) usage_known_since: Option<Micros>,
    /// Report period with all gateways as homes; nought in a fleet too large for that.
    pub(crate) report_interval: Micros,
    pub(crate) next_sweep_at: Micros,
    pub(crate) next_poll_at: Micros,
    pub(crate) fleet_size: u64,
}

impl Gateway {
    /// A request is held no longer; what was granted for the last one lapses with it.
    pub(crate) fn stop_awaiting_grant(&mut self, customer: CustomerId, id: RequestId, held: bool) {
        if let Some(c) = self.customers.get_mut(&customer).filter(|_| held) {
            c.awaiting_grant.retain(|h| *h != id);
            if c.awaiting_grant.is_empty() {
                c.hard_limit_grant = 0.0;
            }
        }
    }

    /// Sends a peer a message, with the latest samples.
    pub(crate) fn send_message(&mut self, to: u16, body: Body, actions: &mut Vec<Action>) {
        let samples = self.latency_samples.iter().map(|queued| queued.sample).collect();
        self.latency_samples.iter_mut().for_each(|queued| queued.retransmissions -= 1);
        self.latency_samples.retain(|queued| queued.retransmissions > 0);
        let (now, p) = (self.now, self.peers.entry(to).or_default());
        p.sent_messages = p.sent_messages.wrapping_add(1);
        p.next_send_at = now + self.report_interval;
        let bytes = Message {
            incarnation: incarnation_of(self.started_at),
            sequence: p.sent_messages,
            samples,
            body,
        }
        .encode();
        actions.push(Action::SendToPeer { to: Some(GatewayId(to)), bytes });
    }

    /// An answer streams: the other attempts are cancelled, and this one is the client's.
    pub(crate) fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.cancel_attempts(Some(attempt), self.settings.limits.cancellation, actions);
            request.streaming = true;
        }
    }

    /// Seconds for which all usage has been known here.
    pub(crate) fn seconds_of_known_usage(&self) -> f64 {
        self.usage_known_since.map_or(f64::MAX, |t| (self.now - t) as f64 / SECOND)
    }
}
