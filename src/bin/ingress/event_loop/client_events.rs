//! Handles connections, commands and disconnects of clients, and replies to requests.

use super::auditing::ViolationDetails;
use super::request_entries::{IdHash, RequestEntry};
use super::timer_queue::Timer;
use super::EventLoop;
use crate::clients::{AcceptOutcome, ClientError, ClientEvent, ReplyHandle, BUSY_REPLY};
use crate::command::Command;
use ingress::audit::RequestAudit;
use ingress::{Duration, Event, Instant, Request, RequestId};

/// The reply to a request that may have been executed.
pub(super) const FAILED_REPLY: &[u8] = b"-ERR failed\r\n";

/// The kind of a final answer, for the log and the counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// A value from a backend.
    Served,
    /// A rejection; retrying the request is safe.
    Rejected,
    /// A failure; the request may have been executed.
    Failed,
}

/// The reason for answering a request without opening it, so that the gateway does not receive it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OpenRefusal {
    /// A request with the same id is open or ended recently. The reply is an error.
    DuplicateId,
    /// The reply deadline of the shutdown has passed. The reply is `-BUSY`.
    ShuttingDown,
    /// The limit on open requests or on memory is reached. The reply is `-BUSY`.
    NoCapacity,
}

/// The reason for failing a request that the gateway has not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MissedAnswer {
    /// The client's timeout has passed.
    ClientDeadline,
    /// The reply deadline of the shutdown has passed.
    ShutdownDeadline,
}

/// Maximum client timeout that is applied; longer ones are reduced to it. Otherwise the timers of answered
/// requests would accumulate for hours.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// Time reserved for a reply to reach the client, in addition to two ticks.
const REPLY_TRANSIT_TIME: Duration = Duration::from_millis(2);
/// Maximum part of a client's timeout that is reserved for the reply, as a divisor.
const REPLY_TIME_DIVISOR: u64 = 4;
/// Delay before accepting is retried after a failure.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl EventLoop {
    /// Accepts a batch of waiting connections.
    pub(super) fn accept(&mut self) -> AcceptOutcome {
        let (now, descriptors, backend_connections) =
            (self.now, &self.descriptors, &mut self.backend_connections);
        let outcome = self.clients.accept(self.poll.registry(), now, |clients| {
            descriptors.capacity_for_client(clients, backend_connections, now)
        });
        match outcome {
            AcceptOutcome::QueueEmpty => {}
            AcceptOutcome::MorePending => self.accept_pending = true,
            // Readiness is edge-triggered: without a timer, the waiting connections would be accepted only
            // when another one arrives.
            AcceptOutcome::RetryLater => {
                if !std::mem::replace(&mut self.accept_retry_scheduled, true) {
                    self.timers.schedule(now + ACCEPT_RETRY_DELAY, Timer::RetryAccept);
                }
            }
        }
        self.process_client_events();
        outcome
    }

    /// Continues to read from the clients whose sockets were not read to the end, and handles the commands of
    /// each before those of the next one.
    pub(super) fn resume_client_reads(&mut self) {
        for key in self.clients.take_read_queue() {
            self.clients.resume_read(key, self.now);
            self.process_client_events();
        }
        self.process_client_events();
    }

    /// Reads from all clients, whether or not their sockets are reported as ready, and handles the commands of
    /// each before those of the next one.
    pub(super) fn read_all_clients(&mut self) {
        for key in self.clients.keys() {
            self.clients.read(key, self.now);
            self.process_client_events();
        }
        self.process_client_events();
    }

    /// Reports all disconnected clients to the gateway before any other event: the gateway must not fill the
    /// place of one closed request with the queued request of another disconnected client.
    pub(super) fn report_disconnects(&mut self) {
        let disconnected = |event: &ClientEvent| match event {
            ClientEvent::Disconnected(id) => Some(*id),
            ClientEvent::Command { .. } => None,
        };
        let ids: Vec<RequestId> = self.clients.pending_events().filter_map(disconnected).collect();
        for id in ids {
            self.report_disconnect(id);
        }
    }

    /// Closes a request whose client has disconnected, and reports that to the gateway. Does nothing if the
    /// request is already closed.
    fn report_disconnect(&mut self, id: RequestId) {
        if self.requests.close(id).is_none() {
            return;
        }
        tracing::debug!(target: "request", request = id.0, "client disconnected before the answer");
        self.counters.requests_disconnected += 1;
        if let Some(request) = self.requests.get_mut(id) {
            request.audit.client_disconnected();
        }
        self.pending_events.push_back(Event::RequestClosed(id));
    }

    /// Reports the pending disconnects of clients to the gateway, then handles the pending commands and
    /// disconnects in order.
    pub(super) fn process_client_events(&mut self) {
        self.report_disconnects();
        while let Some(event) = self.clients.next_event() {
            self.process_client_event(event);
            self.run_gateway();
        }
    }

    /// Handles a command or a disconnect of a client.
    pub(super) fn process_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Command { id, reply_to, arrived_at, command } => {
                self.open_request(id, reply_to, arrived_at, command);
            }
            ClientEvent::Disconnected(id) => {
                // The client may have disconnected after the last call of `report_disconnects`, while earlier
                // events were handled.
                self.report_disconnect(id);
                self.cancel_incomplete(id);
                self.requests.remove_if_finished(id, self.now);
            }
        }
    }

    /// Opens a request and passes it to the gateway, or refuses it where a limit is reached. The timeout
    /// counts from the request's arrival, which is earlier than now if the process was delayed.
    fn open_request(&mut self, id: RequestId, reply_to: ReplyHandle, arrived_at: Instant, command: Command) {
        let id_hash = self.requests.hash_id(&command);
        if let Err(refusal) = self.may_open(&command, id_hash) {
            return self.refuse_to_open(reply_to, &command, refusal);
        }
        let timeout = command.timeout.min(MAX_CLIENT_TIMEOUT);
        let arrived_at = arrived_at.min(self.now);
        let client_deadline = arrived_at + timeout;
        self.timers.schedule(client_deadline, Timer::ClientDeadline(id));
        // The gateway's deadline is earlier than the client's, since the reply takes time to reach the
        // client.
        let reply_time = (self.tick * 2 + REPLY_TRANSIT_TIME).min(timeout / REPLY_TIME_DIVISOR);
        let deadline = client_deadline - reply_time;
        let request = Request { id, deadline, ..command.request };
        tracing::debug!(
            target: "request",
            request = id.0,
            client_request_id = %String::from_utf8_lossy(command.client_request_id()),
            customer = request.customer.0,
            class = request.class,
            timeout_ms = timeout.as_millis(),
            waited_ms = self.now.duration_since(arrived_at).as_millis_f64(),
            client = reply_to.connection_serial(),
            "request opened"
        );
        self.counters.requests_opened += 1;
        let audit = RequestAudit::new(&self.auditor, request.class.into(), client_deadline);
        let attempts = Vec::new();
        let entry = RequestEntry { command, reply_to, deadline, attempts, closed: false, audit, id_hash };
        self.requests.insert(id, entry);
        self.pending_events.push_back(Event::Request(request));
    }

    /// Checks whether a request may be opened.
    fn may_open(&mut self, command: &Command, id_hash: IdHash) -> Result<(), OpenRefusal> {
        // Backends and clients could not distinguish two requests with the same id.
        if self.requests.is_known(id_hash) {
            Err(OpenRefusal::DuplicateId)
        } else if self.shutdown.is_past_reply_deadline(self.now) {
            Err(OpenRefusal::ShuttingDown)
        } else if !self.requests.has_capacity() || !self.has_memory_for(command) {
            Err(OpenRefusal::NoCapacity)
        } else {
            Ok(())
        }
    }

    /// Returns whether the memory limit allows one more request, for whose reply memory is already reserved.
    ///
    /// A backend connection needs a copy of the command.
    fn has_memory_for(&mut self, command: &Command) -> bool {
        self.update_memory_used();
        self.clients.has_memory_for(command.memory_size() * 2)
    }

    /// Updates the memory of requests and connections to backends that counts against the limit of clients.
    ///
    /// It is updated in each iteration: without memory long commands are discarded and open no request, so an
    /// update with each request alone would never report memory that was freed.
    pub(super) fn update_memory_used(&mut self) {
        let used = self.requests.memory() + self.backend_connections.memory_used();
        self.clients.set_memory_used_by_requests(used);
    }

    /// Answers a request that is not opened. No backend has received it, so `-BUSY`, which states that the
    /// request was not executed, is correct.
    fn refuse_to_open(&mut self, reply_to: ReplyHandle, command: &Command, refusal: OpenRefusal) {
        tracing::debug!(
            target: "request",
            client_request_id = %String::from_utf8_lossy(command.client_request_id()),
            client = reply_to.connection_serial(),
            ?refusal,
            "request not opened"
        );
        match refusal {
            OpenRefusal::DuplicateId => {
                self.clients.refuse_invalid(reply_to, ClientError::DuplicateRequestId);
            }
            OpenRefusal::ShuttingDown | OpenRefusal::NoCapacity => self.clients.reply(reply_to, BUSY_REPLY),
        }
    }

    /// Sends the final reply of a request, unless the request is closed.
    pub(super) fn reply(&mut self, id: RequestId, text: impl Into<Vec<u8>>, answer: Answer) {
        if let Some(reply_to) = self.requests.close(id) {
            self.clients.reply(reply_to, text);
            self.record_answer(id, answer);
        }
        self.cancel_incomplete(id);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Logs, counts and audits a request's final reply.
    fn record_answer(&mut self, id: RequestId, answer: Answer) {
        tracing::debug!(target: "request", request = id.0, ?answer, "request answered");
        self.counters.requests_answered += 1;
        self.counters.requests_rejected += u64::from(answer == Answer::Rejected);
        self.counters.requests_failed += u64::from(answer == Answer::Failed);
        let now = self.clock.now();
        let violated = self.requests.get_mut(id).and_then(|request| request.audit.answered(now));
        if let Some(kind) = violated {
            self.report_violation(kind, Some(id), ViolationDetails::default());
        }
    }

    /// Fails a request that has no final reply at its client's deadline or at the reply deadline of the
    /// shutdown. The gateway's own deadline is before the client's; if the gateway misses it, the client
    /// still receives a reply.
    pub(super) fn fail_unanswered(&mut self, id: RequestId, reason: MissedAnswer) {
        if self.requests.is_open(id) {
            tracing::debug!(
                target: "request", request = id.0, ?reason, "request failed: no answer before the deadline"
            );
            self.reply(id, FAILED_REPLY, Answer::Failed);
            self.pending_events.push_back(Event::RequestClosed(id));
        }
    }
}
