//! The requests in work, with their attempts and the memory that they take.

use crate::backends::ConnectionId;
use crate::clients::ReplyHandle;
use crate::command::Command;
use ingress::audit::RequestAudit;
use ingress::permissions::{self, AttemptContext, AttemptKind, AttemptRefusal};
use ingress::{BackendId, Duration, Idempotency, Instant, Outcome, RequestId, Settings};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;

/// How long the id of a request is remembered after its end, to reject a second request with the same id.
const ENDED_ID_RETENTION: Duration = Duration::from_secs(1);

/// The settings that limit the attempts of a request.
pub struct AttemptLimits {
    /// Whether requests of a class may be executed again, by class.
    idempotency: Vec<Idempotency>,
    /// Whether two attempts may be in flight together.
    hedging: bool,
    /// The most attempts of a request.
    max_attempts: usize,
}

impl AttemptLimits {
    /// The limits that the settings name.
    pub fn new(settings: &Settings) -> AttemptLimits {
        AttemptLimits {
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            hedging: settings.limits.hedging,
            max_attempts: settings.limits.max_attempts as usize,
        }
    }
}

/// An attempt of a request.
pub struct AttemptEntry {
    /// The backend that it is sent to.
    pub backend: BackendId,
    /// When it was sent.
    pub started_at: Instant,
    /// When it times out.
    pub expires_at: Instant,
    /// The latest time for writing its first byte, which the gateway relies on.
    pub begins_by: Instant,
    /// Its connection, while it is in flight.
    pub connection: Option<ConnectionId>,
    /// Its first byte was written.
    pub has_begun: bool,
    /// It has begun, and no outcome proves that it was not executed.
    pub may_have_executed: bool,
}

impl AttemptEntry {
    /// An attempt that has no connection yet.
    pub fn new(backend: BackendId, started_at: Instant, expires_at: Instant, begins_by: Instant) -> Self {
        AttemptEntry {
            backend,
            started_at,
            expires_at,
            begins_by,
            connection: None,
            has_begun: false,
            may_have_executed: false,
        }
    }
}

/// A request that has no final reply yet, or has attempts in flight.
pub struct RequestEntry {
    /// The client's command.
    pub command: Command,
    /// Where the reply goes.
    pub reply_to: ReplyHandle,
    /// When the final reply has to be known.
    pub deadline: Instant,
    /// All attempts so far; an attempt's number is its place here.
    pub attempts: Vec<AttemptEntry>,
    /// No reply is owed any more: it has its final reply, or its client has disconnected.
    pub closed: bool,
    /// The record that the audit checks.
    pub audit: RequestAudit,
    /// The hash of the id that its client gave it.
    pub id_hash: IdHash,
}

impl RequestEntry {
    /// Whether one more attempt may be sent, judged by the attempts that were written.
    pub fn may_send(&self, limits: &AttemptLimits) -> Result<AttemptKind, AttemptRefusal> {
        let class = usize::from(self.command.request.class);
        permissions::may_start_attempt(&AttemptContext {
            idempotency: limits.idempotency.get(class).copied().unwrap_or(Idempotency::NonIdempotent),
            hedging: limits.hedging,
            max_attempts: limits.max_attempts,
            attempts: self.attempts.len(),
            in_flight: self.attempts.iter().filter(|attempt| attempt.connection.is_some()).count(),
            may_have_executed: self.attempts.iter().any(|attempt| attempt.may_have_executed),
            closed: self.closed,
        })
    }

    /// Records that the first byte of an attempt was written.
    pub fn record_begun(&mut self, number: u16) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number)) {
            attempt.has_begun = true;
            attempt.may_have_executed = true;
        }
    }

    /// Records how an attempt has ended. One whose first byte was not written was not executed in any case.
    pub fn record_end(&mut self, number: u16, outcome: Outcome) {
        let attempt = self.attempts.get_mut(usize::from(number));
        if let Some(attempt) = attempt.filter(|attempt| attempt.has_begun) {
            attempt.may_have_executed = !outcome.never_executed();
        }
    }

    /// Whether any attempt is in flight.
    fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.connection.is_some())
    }
}

/// The hash of the id that a client has given its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

/// The id of a request that has ended.
struct EndedId {
    /// When the id may be used again.
    expires_at: Instant,
    /// The hash of the id that its client gave it.
    id_hash: IdHash,
}

/// The requests of all clients that are in work.
pub struct RequestEntries {
    /// By their ids.
    requests: HashMap<RequestId, RequestEntry>,
    /// The ids of these requests, and of those that ended a short while ago.
    known_ids: HashSet<IdHash>,
    /// The ids of requests that have ended, the oldest first.
    ended_ids: VecDeque<EndedId>,
    /// Hashes ids; its keys are random, so that clients cannot provoke collisions.
    hasher: RandomState,
    /// The bytes that the requests take.
    memory: usize,
    /// The most bytes that the requests may take.
    max_memory: usize,
    /// The most requests in work.
    max_requests: usize,
}

impl RequestEntries {
    /// An empty table with limits on the requests and on their bytes.
    pub fn new(max_requests: usize, max_memory: usize) -> Self {
        RequestEntries {
            requests: HashMap::new(),
            known_ids: HashSet::new(),
            ended_ids: VecDeque::new(),
            hasher: RandomState::new(),
            memory: 0,
            max_memory,
            max_requests,
        }
    }

    /// The hash of the id that a command gives its request.
    pub fn hash_id(&self, command: &Command) -> IdHash {
        IdHash(self.hasher.hash_one(command.client_request_id()))
    }

    /// Whether a request with this id is in work, or was a short while ago.
    pub fn is_known(&self, id_hash: IdHash) -> bool {
        self.known_ids.contains(&id_hash)
    }

    /// Whether the limits allow one more request.
    pub fn has_capacity_for(&self, command: &Command) -> bool {
        self.requests.len() < self.max_requests && self.memory + command.memory_size() <= self.max_memory
    }

    /// Adds a request.
    pub fn insert(&mut self, id: RequestId, request: RequestEntry) {
        self.memory += request.command.memory_size();
        self.known_ids.insert(request.id_hash);
        self.requests.insert(id, request);
    }

    /// A request.
    pub fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.requests.get(&id)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.requests.get_mut(&id)
    }

    /// The number of requests in work.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The ids of the requests in work, in no order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Whether a request's client is still owed a reply.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.closed)
    }

    /// The requests whose clients are still owed a reply.
    pub fn open_ids(&self) -> Vec<RequestId> {
        let open = self.requests.iter().filter(|(_, request)| !request.closed);
        open.map(|(id, _)| *id).collect()
    }

    /// Whether any client is still owed a reply.
    pub fn any_open(&self) -> bool {
        self.requests.values().any(|request| !request.closed)
    }

    /// Closes a request and returns where its reply goes; none if it was closed before.
    pub fn close(&mut self, id: RequestId) -> Option<ReplyHandle> {
        let request = self.requests.get_mut(&id).filter(|request| !request.closed)?;
        request.closed = true;
        Some(request.reply_to)
    }

    /// Removes a request that is closed and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId, now: Instant) {
        let finished =
            self.requests.get(&id).is_some_and(|request| request.closed && !request.is_in_flight());
        if !finished {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.memory -= request.command.memory_size();
            let ended = EndedId { expires_at: now + ENDED_ID_RETENTION, id_hash: request.id_hash };
            self.ended_ids.push_back(ended);
        }
    }

    /// Removes the ids of requests whose time of retention is over.
    pub fn expire_ended_ids(&mut self, now: Instant) {
        while let Some(ended) = self.ended_ids.front().filter(|ended| ended.expires_at <= now) {
            self.known_ids.remove(&ended.id_hash);
            self.ended_ids.pop_front();
        }
    }
}
