//! The requests that are open or have attempts in flight, with their attempts and memory.

use crate::backends::{AttemptId, ConnectionId};
use crate::clients::ReplyHandle;
use crate::command::Command;
use ingress::audit::RequestAudit;
use ingress::permissions::{self, AttemptContext, AttemptKind, AttemptRefusal};
use ingress::{BackendId, Duration, Idempotency, Instant, Outcome, RequestId, Settings};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;

/// Memory of a request besides its command, in bytes: its records here and in the gateway, its attempts and
/// timers.
const REQUEST_OVERHEAD_BYTES: usize = 1024;
/// Memory of the id of an ended request, in bytes.
const ENDED_ID_BYTES: usize = 64;
/// Time after the longest deadline for which the id of an ended request is kept, to reject a second request
/// with the same id.
const ENDED_ID_RETENTION_MARGIN: Duration = Duration::from_secs(1);

/// The settings that limit the attempts of a request.
pub struct AttemptLimits {
    /// Whether requests may be executed more than once, by class index.
    idempotency: Vec<Idempotency>,
    /// Whether two attempts of a request may be in flight at once.
    hedging: bool,
    /// Maximum number of attempts per request.
    max_attempts: usize,
}

impl AttemptLimits {
    pub fn new(settings: &Settings) -> AttemptLimits {
        AttemptLimits {
            idempotency: settings.classes.iter().map(|class| class.idempotency).collect(),
            hedging: settings.limits.hedging,
            max_attempts: settings.limits.max_attempts as usize,
        }
    }
}

/// An attempt of a request, whether in flight or ended.
pub struct AttemptEntry {
    pub backend: BackendId,
    /// The time at which the attempt was assigned to its connection; initially the time of its creation.
    pub started_at: Instant,
    /// The time at which the attempt times out.
    pub expires_at: Instant,
    /// The latest time for writing the first byte, which the gateway relies on.
    pub begins_by: Instant,
    /// The attempt's connection, while the attempt is in flight.
    pub connection: Option<ConnectionId>,
    /// Whether the first byte was written.
    pub has_begun: bool,
    /// Whether the first byte was written and no outcome proves that the attempt was not executed.
    pub may_have_executed: bool,
}

impl AttemptEntry {
    /// Creates an attempt without a connection.
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
    pub command: Command,
    /// The handle of the reply that is owed to the client.
    pub reply_to: ReplyHandle,
    /// The latest time for the final reply: earlier than the client's deadline, since the reply takes time to
    /// reach the client.
    pub deadline: Instant,
    /// All attempts so far; an attempt's number is its index.
    pub attempts: Vec<AttemptEntry>,
    /// Whether no reply is owed: the final reply was sent, or the client has disconnected.
    pub closed: bool,
    pub audit: RequestAudit,
    /// The hash of the request id from the client.
    pub id_hash: IdHash,
}

impl RequestEntry {
    /// Checks whether a further attempt may be sent. Only attempts whose first byte was written may have been
    /// executed.
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

    /// Records the end of an attempt. An attempt whose first byte was not written was not executed,
    /// regardless of the outcome.
    pub fn record_end(&mut self, number: u16, outcome: Outcome) {
        let attempt = self.attempts.get_mut(usize::from(number));
        if let Some(attempt) = attempt.filter(|attempt| attempt.has_begun) {
            attempt.may_have_executed = !outcome.never_executed();
        }
    }

    fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.connection.is_some())
    }
}

/// The hash of the request id from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct IdHash(u64);

/// The id of an ended request.
struct EndedId {
    /// The time from which the id may be used again.
    expires_at: Instant,
    /// The hash of the request id from the client.
    id_hash: IdHash,
}

/// The requests of all clients that are open or have attempts in flight.
pub struct RequestEntries {
    requests: HashMap<RequestId, RequestEntry>,
    /// The ids of `requests` and `ended_ids`.
    known_ids: HashSet<IdHash>,
    /// The ids of recently ended requests that backends may have executed, oldest first.
    ended_ids: VecDeque<EndedId>,
    /// Time for which the id of an ended request is kept.
    ended_id_retention: Duration,
    /// Hashes ids with random keys, so that clients cannot provoke collisions.
    hasher: RandomState,
    /// Memory of all commands, in bytes.
    command_memory: usize,
    /// Maximum number of `requests`.
    max_requests: usize,
}

impl RequestEntries {
    /// Creates an empty table with a limit on the number of requests. `longest_deadline` is the maximum
    /// deadline over all request classes.
    pub fn new(max_requests: usize, longest_deadline: Duration) -> Self {
        RequestEntries {
            requests: HashMap::new(),
            known_ids: HashSet::new(),
            ended_ids: VecDeque::new(),
            ended_id_retention: longest_deadline + ENDED_ID_RETENTION_MARGIN,
            hasher: RandomState::new(),
            command_memory: 0,
            max_requests,
        }
    }

    pub fn hash_id(&self, command: &Command) -> IdHash {
        IdHash(self.hasher.hash_one(command.client_request_id()))
    }

    /// Returns whether a request with this id is in the table or ended recently.
    pub fn is_known(&self, id_hash: IdHash) -> bool {
        self.known_ids.contains(&id_hash)
    }

    /// Returns whether the limit on their number allows one more request.
    pub fn has_capacity(&self) -> bool {
        self.requests.len() < self.max_requests
    }

    /// Returns the memory of all requests, and of the ids of ended ones, in bytes.
    pub fn memory(&self) -> usize {
        self.command_memory
            + self.requests.len() * REQUEST_OVERHEAD_BYTES
            + self.ended_ids.len() * ENDED_ID_BYTES
    }

    pub fn insert(&mut self, id: RequestId, request: RequestEntry) {
        self.command_memory += request.command.memory_size();
        self.known_ids.insert(request.id_hash);
        self.requests.insert(id, request);
    }

    pub fn get(&self, id: RequestId) -> Option<&RequestEntry> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut RequestEntry> {
        self.requests.get_mut(&id)
    }

    /// Returns the number of requests, closed ones with attempts in flight included.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns whether a connection carries an attempt.
    pub fn has_in_flight(&self, attempt: AttemptId) -> bool {
        let request = self.requests.get(&attempt.request);
        let attempt = request.and_then(|request| request.attempts.get(usize::from(attempt.number)));
        attempt.is_some_and(|attempt| attempt.connection.is_some())
    }

    /// Returns the ids of all requests, in arbitrary order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Returns whether a request is owed a reply.
    pub fn is_open(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.closed)
    }

    /// Returns the ids of the requests that are owed a reply.
    pub fn open_ids(&self) -> Vec<RequestId> {
        let open = self.requests.iter().filter(|(_, request)| !request.closed);
        open.map(|(id, _)| *id).collect()
    }

    /// Returns whether any request is owed a reply.
    pub fn any_open(&self) -> bool {
        self.requests.values().any(|request| !request.closed)
    }

    /// Closes a request and returns the handle of its reply, or `None` if the request is already closed or
    /// removed.
    pub fn close(&mut self, id: RequestId) -> Option<ReplyHandle> {
        let request = self.requests.get_mut(&id).filter(|request| !request.closed)?;
        request.closed = true;
        Some(request.reply_to)
    }

    /// Removes a request if it is closed and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId, now: Instant) {
        let finished =
            self.requests.get(&id).is_some_and(|request| request.closed && !request.is_in_flight());
        if !finished {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.command_memory -= request.command.memory_size();
            self.retain_id(&request, now);
        }
    }

    /// Keeps the id of an ended request for as long as its client may wait for the answer, if a backend may
    /// have executed the request.
    ///
    /// A client that has disconnected may send its request again, and a backend could execute it a second
    /// time. A request that was not executed may be sent again at once.
    fn retain_id(&mut self, request: &RequestEntry, now: Instant) {
        if request.attempts.iter().any(|attempt| attempt.may_have_executed) {
            let expires_at = now + self.ended_id_retention;
            self.ended_ids.push_back(EndedId { expires_at, id_hash: request.id_hash });
        } else {
            self.known_ids.remove(&request.id_hash);
        }
    }

    /// Removes the ids of ended requests whose retention time has passed.
    pub fn expire_ended_ids(&mut self, now: Instant) {
        while let Some(ended) = self.ended_ids.front().filter(|ended| ended.expires_at <= now) {
            self.known_ids.remove(&ended.id_hash);
            self.ended_ids.pop_front();
        }
    }
}
