//! What clients do, and the replies to their requests.

use super::timer_queue::Timer;
use super::EventLoop;
use crate::clients::{AcceptOutcome, ClientError, ClientEvent, ReplyHandle, BUSY_REPLY};
use crate::command::Command;
use ingress::audit::RequestAudit;
use ingress::{Duration, Event, Instant, RequestId};

/// The reply to a request that may have been executed.
pub(super) const FAILED_REPLY: &[u8] = b"-ERR failed\r\n";

/// What a final answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Answer {
    /// The value that a backend gave.
    Served,
    /// It was not executed.
    Rejected,
    /// It may have been executed.
    Failed,
}

/// The longest that a client is taken to wait: the timers of requests long answered must not pile up for hours.
const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// What a reply may take on its way to the client, besides two ticks.
const REPLY_TRANSIT_TIME: Duration = Duration::from_millis(2);
/// The delay before connections are accepted again after there was no descriptor for them.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

impl EventLoop {
    /// Accepts a batch of the connections that wait.
    pub(super) fn accept(&mut self) -> AcceptOutcome {
        let (now, descriptors, backends) = (self.now, &self.descriptors, &mut self.backends);
        let outcome = self.clients.accept(self.poll.registry(), now, |clients| {
            descriptors.capacity_for_client(clients, backends, now)
        });
        match outcome {
            AcceptOutcome::Drained => {}
            AcceptOutcome::MorePending => self.accept_pending = true,
            // The poll reports each arrival once: those that wait now must not wait for the next one to come.
            AcceptOutcome::NoDescriptor => {
                if !std::mem::replace(&mut self.accept_retry_scheduled, true) {
                    self.timers.schedule(now + ACCEPT_RETRY_DELAY, Timer::RetryAccept);
                }
            }
        }
        self.process_client_events();
        outcome
    }

    /// Reports all disconnected clients to the policy before any event that follows from a disconnect: the place that
    /// one request leaves in a queue must not go to another of these clients.
    pub(super) fn report_disconnects(&mut self) {
        let disconnected = |event: &ClientEvent| match event {
            ClientEvent::Disconnected(id) => Some(*id),
            ClientEvent::Command { .. } => None,
        };
        let ids: Vec<RequestId> = self.clients.pending_events().filter_map(disconnected).collect();
        ids.into_iter().for_each(|id| self.report_disconnect(id));
    }

    /// Reports the disconnected client of a request to the policy, unless that has been done or the request is answered.
    fn report_disconnect(&mut self, id: RequestId) {
        if self.requests.mark_answered(id).is_none() {
            return;
        }
        tracing::debug!(target: "request", request = id.0, "client disconnected");
        self.counters.disconnected += 1;
        if let Some(request) = self.requests.get_mut(id) {
            request.audit.client_gone();
        }
        self.pending_events.push_back(Event::ClientDisconnected(id));
    }

    /// Handles what clients have sent and whose connections have ended, in the order in which it came.
    pub(super) fn process_client_events(&mut self) {
        self.report_disconnects();
        while let Some(event) = self.clients.next_event() {
            self.process_client_event(event);
            self.run_policy();
        }
    }

    /// Handles what a client has sent, or the end of its connection.
    pub(super) fn process_client_event(&mut self, event: ClientEvent) {
        match event {
            ClientEvent::Command { id, reply_to, arrived_at, command } => {
                self.open_request(id, reply_to, arrived_at, command);
            }
            ClientEvent::Disconnected(id) => {
                // It may have come while the events before it were handled.
                self.report_disconnect(id);
                self.cancel_unsent(id);
                self.requests.remove_if_finished(id, self.now);
            }
        }
    }

    /// Opens a request and passes it to the policy, or rejects it where a limit leaves no room. Its time counts from its
    /// arrival, which may be a while ago where the process was held up.
    fn open_request(&mut self, id: RequestId, reply_to: ReplyHandle, arrived_at: Instant, command: Command) {
        // Backends and clients could not tell two with one id apart, and the first one came in good faith.
        let id_hash = self.requests.hash_id(&command);
        if self.requests.is_known(id_hash) {
            return self.clients.reject(reply_to, ClientError::DuplicateRequestId);
        }
        // It has not been sent to any backend, so it is safe to answer that it was not executed.
        if self.shutdown.is_past_reply_deadline(self.now) || !self.requests.has_room_for(&command) {
            return self.clients.reply(reply_to, BUSY_REPLY);
        }
        let timeout = command.timeout.min(MAX_CLIENT_TIMEOUT);
        let arrived_at = arrived_at.min(self.now);
        self.timers.schedule(arrived_at + timeout, Timer::ClientDeadline(id));
        // The policy's deadline is a little before the client's: the reply takes time to arrive.
        let reply_time = (self.tick * 2 + REPLY_TRANSIT_TIME).min(timeout / 4);
        let mut request = command.request;
        request.id = id;
        request.deadline = arrived_at + timeout - reply_time;
        tracing::debug!(
            target: "request",
            request = id.0,
            client_request_id = %String::from_utf8_lossy(command.client_request_id()),
            customer = request.customer.0,
            class = request.class,
            timeout_ms = timeout.as_millis(),
            waited_us = self.now.duration_since(arrived_at).as_micros(),
            client = ?reply_to,
            "opened"
        );
        self.counters.requests += 1;
        let audit = RequestAudit::new(&self.auditor, request.class.into(), arrived_at + timeout);
        self.requests.insert(id, id_hash, command, reply_to, request.deadline, audit);
        self.pending_events.push_back(Event::Request(request));
    }

    /// Gives a request its final reply, if it has none yet.
    pub(super) fn reply(&mut self, id: RequestId, text: &[u8], answer: Answer) {
        if let Some(reply_to) = self.requests.mark_answered(id) {
            self.clients.reply(reply_to, text);
            self.record_answer(id, answer);
        }
        self.cancel_unsent(id);
        self.requests.remove_if_finished(id, self.now);
    }

    /// Records a request's final reply.
    fn record_answer(&mut self, id: RequestId, answer: Answer) {
        tracing::debug!(target: "request", request = id.0, ?answer, "answered");
        self.counters.answers += 1;
        self.counters.rejections += u64::from(answer == Answer::Rejected);
        self.counters.failures += u64::from(answer == Answer::Failed);
        let now = self.clock.now();
        let violated = self.requests.get_mut(id).and_then(|request| request.audit.answered(now));
        violated.into_iter().for_each(|kind| self.report_violation(kind, Some(id)));
    }

    /// Fails a request that has no final reply when its time is over. The policy should never let it come to this, but
    /// no client is left without a reply.
    pub(super) fn fail_unanswered(&mut self, id: RequestId) {
        if self.requests.is_unanswered(id) {
            self.reply(id, FAILED_REPLY, Answer::Failed);
            self.pending_events.push_back(Event::ClientDisconnected(id));
        }
    }
}
