//! The open requests, with their attempts and the memory that they take.

use crate::backends::ConnectionId;
use crate::clients::ReplyHandle;
use crate::command::Command;
use ingress::audit::{AuditRules, RequestAudit};
use ingress::permissions::{self, AttemptFacts, AttemptKind, AttemptRefusal};
use ingress::{BackendId, Duration, Idempotency, Instant, RequestId};
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;

/// How long after its end a request's id is still known: a client that draws a new one for each does not send it again.
const ENDED_ID_RETENTION: Duration = Duration::from_secs(1);

/// A request's being sent to a backend.
pub struct Attempt {
    /// The backend.
    pub backend: BackendId,
    /// When it was sent.
    pub started_at: Instant,
    /// When it is given up.
    pub expires_at: Instant,
    /// By when its first byte has to be written: the policy counts on that.
    pub begins_by: Instant,
    /// Its connection, while it is in flight.
    pub connection: Option<ConnectionId>,
}

/// A request that awaits its final reply, or has attempts in flight.
pub struct OpenRequest {
    /// The client's command.
    pub command: Command,
    /// Where the reply goes.
    pub reply_to: ReplyHandle,
    /// When the reply has to be known.
    pub deadline: Instant,
    /// All attempts so far; an attempt's number is its place here.
    pub attempts: Vec<Attempt>,
    /// It has its final reply, or its client has disconnected: no reply is owed any more.
    pub answered: bool,
    /// What was done for it.
    pub audit: RequestAudit,
    /// Its id, as its client gave it.
    id_hash: IdHash,
}

impl OpenRequest {
    /// Whether one more attempt may be sent, by what the sockets have seen.
    pub fn may_send(&self, rules: &AuditRules) -> Result<AttemptKind, AttemptRefusal> {
        let class = usize::from(self.command.request.class);
        permissions::may_start_attempt(&AttemptFacts {
            idempotency: rules.idempotency.get(class).copied().unwrap_or(Idempotency::NonIdempotent),
            hedging: rules.hedging,
            max_attempts: rules.max_attempts,
            attempts: self.attempts.len(),
            in_flight: self.attempts.iter().filter(|attempt| attempt.connection.is_some()).count(),
            may_have_executed: self.audit.may_have_executed(),
            answered: self.answered,
        })
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
    /// When the id may come again.
    forget_at: Instant,
    /// Its id, as its client gave it.
    id_hash: IdHash,
}

/// The open requests of all clients.
pub struct RequestTable {
    /// Those with no final reply, or with an attempt in flight.
    requests: HashMap<RequestId, OpenRequest>,
    /// The ids of the open requests, and of those that ended a short while ago.
    known_ids: HashSet<IdHash>,
    /// The latter, the oldest first.
    ended_ids: VecDeque<EndedId>,
    /// Its keys are drawn anew at each start.
    hasher: RandomState,
    /// What the open requests take in memory.
    memory: usize,
    /// The most bytes that the open requests may take.
    max_memory: usize,
    /// The most requests that may be open.
    max_requests: usize,
}

impl RequestTable {
    /// An empty table for so many requests, that together take so many bytes.
    pub fn new(max_requests: usize, max_memory: usize) -> Self {
        RequestTable {
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

    /// Whether a request with this id is open, or was a short while ago.
    pub fn is_known(&self, id_hash: IdHash) -> bool {
        self.known_ids.contains(&id_hash)
    }

    /// Whether one more request is allowed, by their number and their memory.
    pub fn has_room_for(&self, command: &Command) -> bool {
        self.requests.len() < self.max_requests && self.memory + command.memory_size() <= self.max_memory
    }

    /// Adds a request.
    pub fn insert(
        &mut self,
        id: RequestId,
        id_hash: IdHash,
        command: Command,
        reply_to: ReplyHandle,
        deadline: Instant,
        audit: RequestAudit,
    ) {
        self.memory += command.memory_size();
        self.known_ids.insert(id_hash);
        let attempts = Vec::new();
        let request = OpenRequest { command, reply_to, deadline, attempts, answered: false, audit, id_hash };
        self.requests.insert(id, request);
    }

    /// An open request.
    pub fn get(&self, id: RequestId) -> Option<&OpenRequest> {
        self.requests.get(&id)
    }

    /// An open request, to be changed.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest> {
        self.requests.get_mut(&id)
    }

    /// How many requests are open.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// The ids of the open requests, in no order.
    pub fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// Whether this request still owes its client a reply.
    pub fn is_unanswered(&self, id: RequestId) -> bool {
        self.requests.get(&id).is_some_and(|request| !request.answered)
    }

    /// The requests that still owe their clients a reply.
    pub fn unanswered_ids(&self) -> Vec<RequestId> {
        let unanswered = self.requests.iter().filter(|(_, request)| !request.answered);
        unanswered.map(|(id, _)| *id).collect()
    }

    /// Whether any request still owes its client a reply.
    pub fn any_unanswered(&self) -> bool {
        self.requests.values().any(|request| !request.answered)
    }

    /// Notes that a request owes no reply any more, and gives where its reply goes; none if it owed none before.
    pub fn mark_answered(&mut self, id: RequestId) -> Option<ReplyHandle> {
        let request = self.requests.get_mut(&id).filter(|request| !request.answered)?;
        request.answered = true;
        Some(request.reply_to)
    }

    /// Removes a request that owes no reply and has no attempt in flight.
    pub fn remove_if_finished(&mut self, id: RequestId, now: Instant) {
        let finished =
            self.requests.get(&id).is_some_and(|request| request.answered && !request.is_in_flight());
        if !finished {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.memory -= request.command.memory_size();
            let ended = EndedId { forget_at: now + ENDED_ID_RETENTION, id_hash: request.id_hash };
            self.ended_ids.push_back(ended);
        }
    }

    /// Forgets the ids of requests that ended long enough ago.
    pub fn forget_ended_ids(&mut self, now: Instant) {
        while let Some(ended) = self.ended_ids.front().filter(|ended| ended.forget_at <= now) {
            self.known_ids.remove(&ended.id_hash);
            self.ended_ids.pop_front();
        }
    }
}
