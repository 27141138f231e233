//! What a gateway remembers: plain records, and the arithmetic that they share. No decision and no tuned value
//! lives here; what the records mean and when they change is in `control.rs`.

use crate::endpoints::Order;
use crate::gossip::{backend_tag, incarnation_of, Body, LatencySample, Message};
use crate::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

/// A second in the host's unit.
pub const SECOND: f64 = 1e6;

pub struct Attempt {
    pub endpoint: Endpoint,
    pub sent_at: Micros,
    pub in_flight: bool,
    pub cancelled: bool,
    /// Proved never to have run.
    pub never_executed: bool,
}

#[derive(Default)]
pub struct RequestState {
    pub request: Request,
    pub arrived_at: Micros,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    /// Waits for the word of its customer's homes.
    pub awaiting_grant: bool,
}

impl RequestState {
    /// Calls the attempts off, but for one to keep.
    pub fn cancel_attempts(&mut self, keep: Option<u16>, allowed: bool, actions: &mut Vec<Action>) {
        for (n, a) in (0u16..).zip(&mut self.attempts) {
            if allowed && a.in_flight && !a.cancelled && keep != Some(n) {
                a.cancelled = true;
                actions.push(Action::Cancel { id: self.request.id, attempt: n });
            }
        }
    }

    pub fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|a| a.in_flight).count()
    }

    /// The first attempt that ran or may have run.
    pub fn first_possibly_executed(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_executed)
    }

    /// How long an answer is worth something: the aim, or what the client waits if that is less.
    pub fn useful_duration(&self, aim: Micros) -> f64 {
        aim.min(self.request.deadline.saturating_sub(self.arrived_at)) as f64
    }
}

#[derive(Default)]
pub struct GatewayUsage {
    pub reported_total: u16,
    /// Units let through in its name before it told that it took them.
    pub granted_units: f64,
    pub rate: f64,
    pub reported_at: Micros,
    pub in_flight: u8,
}

#[derive(Default)]
pub struct Customer {
    pub plan: usize,
    /// The quota's store, as far as known here, and when it was last filled.
    pub tokens: f64,
    pub refilled_at: Micros,
    /// What the store held besides when it was met, if nobody had used it before.
    pub withheld_tokens: f64,
    /// This gateway's own share of the ceiling's store.
    pub hard_limit_tokens: f64,
    /// Units sent on by this gateway since its start.
    pub total_units: f64,
    /// The two that hold most of the ceiling, this gateway's part of it, what it asked them for.
    pub hard_limit_owners: [u16; 2],
    pub hard_limit_fraction: f64,
    pub gateway_set_start: u16,
    /// How many requests and peers more have agreed with its plan and set than not, of late.
    pub identity_confidence: u8,
    /// What is asked for: a request's units, and whether the ceiling lacks them, too.
    pub requested_units: f64,
    pub needs_hard_limit_grant: bool,
    /// Ceiling units handed over for the requests that are held, and for those alone.
    pub hard_limit_grant: f64,
    pub own_rate: f64,
    pub in_flight: u32,
    pub gateway_set_size: f64,
    pub last_seen_at: Micros,
    /// The gateways that count this customer's use; whether this is one of them.
    pub quota_owners: Vec<u16>,
    pub is_quota_owner: bool,
    /// At a home: what each gateway told, and the rate of others.
    pub usage_by_gateway: BTreeMap<u16, GatewayUsage>,
    pub remote_rate: f64,
    pub remote_in_flight: u32,
    /// Elsewhere: when the homes told of it and were asked, who has answered.
    pub granted_at: Micros,
    pub grant_requested_at: Micros,
    pub owners_answered: Vec<u16>,
    /// The home took what was asked for as used already.
    pub charged_by_owner: bool,
    pub awaiting_grant: Vec<RequestId>,
}

/// What a peer is still to be sent about a customer.
#[derive(Clone, Copy, Default)]
pub struct OutboxEntry {
    /// How many more messages carry it.
    pub retransmissions: u8,
    pub requests_grant: bool,
}

/// A sample on its way to the peers.
pub struct QueuedSample {
    /// How many more messages carry it.
    pub retransmissions: u8,
    pub sample: LatencySample,
}

#[derive(Default)]
pub struct Peer {
    pub incarnation: u32,
    pub last_sequence: u16,
    pub sent_messages: u16,
    /// When it was last heard.
    pub last_heard_at: Micros,
    /// When the next message may go.
    pub next_send_at: Micros,
    /// Where the last message ended.
    pub last_sent: CustomerId,
    /// Customers to tell it of: how many more times, and whether to ask.
    pub outbox: BTreeMap<CustomerId, OutboxEntry>,
}

/// A backend's record with one class: it may be sick for that one alone.
#[derive(Clone, Default)]
pub struct Health {
    pub failure_rate: f64,
    pub updated_at: Micros,
    pub last_heard_at: Micros,
    pub ejected_until: Micros,
    pub consecutive_ejections: u32,
}

#[derive(Default)]
pub struct Backend {
    pub endpoint: Endpoint,
    pub size: f64,
    pub ready: bool,
    pub in_flight: u32,
    /// Mean answer time over what the class usually takes; 1 is normal.
    pub relative_latency: f64,
    pub health: Vec<Health>,
    /// Requests waiting as last reported, and when.
    pub reported_queue_depth: f64,
    pub reported_at: Micros,
    /// Recent sends while cold.
    pub recent_slow_start_sends: VecDeque<Micros>,
}

/// How long answers of a class take: lately, and on calm servers.
#[derive(Default)]
pub struct LatencyBaseline {
    pub recent: f64,
    pub unloaded: f64,
    pub sample_count: f64,
    pub updated_at: Micros,
}

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
    pub(crate) ready_backends: Order,
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

pub fn decay(from: Micros, to: Micros, tau: f64) -> f64 {
    if from >= to {
        1.0
    } else {
        (-((to - from) as f64) / SECOND / tau).exp()
    }
}

/// A number from 0 to 1 that looks random (splitmix64).
pub fn hash(seed: u64) -> f64 {
    let mut z = seed.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
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

    /// An answer streams: the other attempts are called off, and this one is the client's.
    pub(crate) fn on_first_byte(&mut self, id: RequestId, attempt: u16, actions: &mut Vec<Action>) {
        if let Some(o) = self.requests.get_mut(&id) {
            o.cancel_attempts(Some(attempt), self.settings.limits.cancellation, actions);
            o.streaming = true;
        }
    }

    /// Where a backend stands in this gateway's own order; any number at or above 0 is ordered as its bits are.
    fn index_key(&self, id: BackendId) -> u64 {
        hash(id.0 ^ u64::from(self.settings.own_id.0) << 48).to_bits()
    }

    /// Indexes all that is ready, behind a whole list.
    pub(crate) fn rebuild_index(&mut self) {
        let ready = || self.backends.values().filter(|b| b.ready);
        self.ready_capacity = ready().map(|b| b.size).sum();
        self.backends_by_tag =
            ready().map(|b| (backend_tag(b.endpoint.backend.0), b.endpoint.backend)).collect();
        self.ready_backends =
            Order::of(ready().map(|b| (self.index_key(b.endpoint.backend), b.endpoint.backend)).collect());
    }

    /// Takes a changed entry of the list, and keeps what is made from the list up to date: all of that costs hardly more
    /// where the list is long.
    pub(crate) fn apply_change(&mut self, l: Endpoint) {
        let (id, place) = (l.backend, self.index_key(l.backend));
        let before = self.backends.get(&id).filter(|b| b.ready).map_or(0.0, |b| b.size);
        self.upsert_endpoint(l);
        let Some(b) = self.backends.get(&id) else { return };
        let (ready, size) = (b.ready, if b.ready { b.size } else { 0.0 });
        self.ready_capacity += size - before;
        if ready {
            self.ready_backends.insert(place, id);
            self.backends_by_tag.insert(backend_tag(id.0), id);
            return;
        }
        self.ready_backends.remove(place, id);
        if self.backends_by_tag.get(&backend_tag(id.0)) == Some(&id) {
            self.backends_by_tag.remove(&backend_tag(id.0));
        }
        if self.ready_backends.len() == 0 {
            self.ready_capacity = 0.0; // what rounding left of it
        }
        self.remove_if_drained(id);
    }

    /// Forgets a backend that has left the list once nothing is out there.
    pub(crate) fn remove_if_drained(&mut self, id: BackendId) {
        if self.backends.get(&id).is_some_and(|b| !b.ready && b.in_flight == 0) {
            self.backends.remove(&id);
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
}
