//! The watch: one poll after another, over one connection as long as it lasts. While discovery is silent or broken the
//! endpoint list stays as it was, and polls are retried with growing delays.

use super::connection::{Connection, Flush};
use super::http::{Persistence, StreamState};
use super::poll::{parse_response, PollRequest, PollResponse};
use super::{EndpointList, LocationNames, PollError};
use crate::error_chain::ErrorChain;
use ingress::discovery_schedule::{Backoff, FailedPoll, NextPoll, PollSchedule};
use ingress::{Duration, Instant};
use mio::{Registry, Token};
use std::net::SocketAddr;

/// How much longer than its timeout a poll may stay unanswered. What it missed counts as delivered 2 s after the
/// timeout: by then the next poll has to be answered.
const RESPONSE_GRACE: Duration = Duration::from_millis(750);
/// The delay after an empty response that came at once: a watch counts as unbroken if polled within 200 ms.
const EMPTY_RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// A response that came faster than this did not wait for changes.
const IMMEDIATE_RESPONSE: Duration = Duration::from_millis(20);

/// How a watch polls.
pub struct WatchOptions {
    /// The times of its polls.
    pub backoff: Backoff,
    /// The most bytes of a response's body.
    pub max_body_bytes: usize,
    /// The seed of the jitter.
    pub seed: u64,
    /// The time of its start.
    pub now: Instant,
}

/// The watch.
pub struct Watch {
    /// Where discovery is.
    address: SocketAddr,
    /// The zones and machine types that lists refer to.
    location_names: LocationNames,
    /// The poll's token of the connection.
    token: Token,
    /// The connection, while there is one; it outlives a poll where discovery keeps it open.
    connection: Option<Connection>,
    /// The version of the list held; none asks for a snapshot.
    index: Option<u64>,
    /// When the pending poll was started; none while no poll is pending.
    poll_started_at: Option<Instant>,
    /// When the last poll counts as unanswered, once its request is written.
    response_due_at: Instant,
    /// When polls are made.
    schedule: PollSchedule,
    /// The most bytes of a response's body.
    max_body_bytes: usize,
    /// When [`Watch::on_timer`] has something to do.
    pub next_timer_at: Instant,
    /// The last poll stayed unanswered: the next one does not wait for changes, so that what was missed comes at once,
    /// and a second silence is detected soon.
    last_poll_timed_out: bool,
}

impl Watch {
    /// A watch for what is newer than version `index` of the list.
    pub fn new(
        address: SocketAddr,
        location_names: LocationNames,
        index: u64,
        token: Token,
        options: WatchOptions,
    ) -> Self {
        let mut schedule = PollSchedule::new(options.backoff, options.seed);
        let next_timer_at = schedule.first_poll_at(options.now);
        Watch {
            address,
            location_names,
            token,
            connection: None,
            index: Some(index),
            poll_started_at: None,
            response_due_at: Instant::ZERO,
            schedule,
            max_body_bytes: options.max_body_bytes,
            next_timer_at,
            last_poll_timed_out: false,
        }
    }

    /// Continues at another address: it is asked for a snapshot at once, whatever is pending at the old one and
    /// however long the delay after a failure was to be. A snapshot that is pending at this very address is waited for:
    /// configurations may come faster than discovery answers.
    pub fn set_address(&mut self, address: SocketAddr, now: Instant) {
        let awaits_snapshot = self.index.is_none() && self.poll_started_at.is_some();
        if awaits_snapshot && address == self.address {
            return;
        }
        self.index = None;
        self.disconnect();
        self.schedule.reset();
        self.address = address;
        self.next_timer_at = now;
    }

    /// Closes the connection, with all that is pending on it: nothing of it belongs to the next one.
    fn disconnect(&mut self) {
        self.connection = None;
        self.poll_started_at = None;
    }

    /// Gives the connection up and schedules the next poll. Returns whether this is the first failure in a row.
    fn fail(&mut self, now: Instant, error: &PollError) -> bool {
        let request_sent = self.connection.as_ref().is_none_or(Connection::is_request_sent);
        let pending = self.poll_started_at.map(|started_at| FailedPoll { started_at, request_sent });
        let NextPoll { at, is_first_failure } = self.schedule.on_failure(now, pending);
        self.disconnect();
        self.next_timer_at = at;
        if is_first_failure {
            let (retry_in_ms, error) = (at.duration_since(now).as_millis(), ErrorChain(error));
            tracing::info!(target: "discovery", retry_in_ms, %error, "poll failed");
        }
        is_first_failure
    }

    /// Starts the next poll, or detects that the pending one stays unanswered, if that is due. Returns whether polls
    /// have just begun to fail.
    pub fn on_timer(&mut self, now: Instant, registry: &Registry) -> bool {
        if now < self.next_timer_at {
            return false;
        }
        if self.poll_started_at.is_some() {
            return self.on_response_timeout(now, registry);
        }
        self.start_poll(now, registry)
    }

    /// The first time in a row, the next poll is started at once: changes that were missed meanwhile soon count as
    /// delivered. Ingresses hardly do so in unison, since poll timeouts are drawn.
    fn on_response_timeout(&mut self, now: Instant, registry: &Registry) -> bool {
        let is_first_timeout = !std::mem::replace(&mut self.last_poll_timed_out, true);
        let just_failed = self.fail(now, &PollError::TimedOut);
        if is_first_timeout {
            self.next_timer_at = now;
            self.start_poll(now, registry);
        }
        just_failed
    }

    /// Makes the next poll. Returns whether polls have just begun to fail.
    fn start_poll(&mut self, now: Instant, registry: &Registry) -> bool {
        if self.connection.is_none() {
            match Connection::open(self.address, registry, self.token) {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => return self.fail(now, &PollError::Connect(error)),
            }
        }
        let response_timeout = self.schedule.backoff.response_timeout;
        let (request, response_due_in) = match self.index {
            Some(since) if !self.last_poll_timed_out => {
                let timeout = self.schedule.next_poll_timeout();
                (PollRequest::Changes { since, timeout }, timeout + RESPONSE_GRACE)
            }
            Some(since) => (PollRequest::Changes { since, timeout: Duration::ZERO }, response_timeout),
            None => (PollRequest::Snapshot, response_timeout),
        };
        if let Some(connection) = &mut self.connection {
            connection.set_request(request.encode(self.address));
        }
        self.poll_started_at = Some(now);
        self.response_due_at = now + response_due_in;
        // Until the request is written this is not a watch: a connection that does not come up must not be waited for as
        // long as a change, since the system retries it ever more seldom.
        self.next_timer_at = self.response_due_at.min(now + response_timeout);
        self.flush(now)
    }

    /// Writes as much of the request as possible. Returns whether polls have just begun to fail.
    fn flush(&mut self, now: Instant) -> bool {
        match self.connection.as_mut().map(Connection::flush) {
            Some(Ok(Flush::Completed)) => self.next_timer_at = self.response_due_at,
            Some(Ok(Flush::NotCompleted)) | None => {}
            Some(Err(error)) => return self.fail(now, &PollError::Send(error)),
        }
        false
    }

    /// Does what the connection is ready for, and passes a list that came to `on_endpoints`. Returns whether polls have
    /// just begun to fail.
    pub fn on_ready(
        &mut self,
        now: Instant,
        registry: &Registry,
        on_endpoints: &mut impl FnMut(EndpointList),
    ) -> bool {
        if self.flush(now) {
            return true;
        }
        let Some(connection) = &mut self.connection else { return false };
        // A response without a length can only be judged once the end of the stream is known.
        let stream_state = match connection.receive(self.max_body_bytes) {
            Ok(stream_state) => stream_state,
            Err(error) => return self.fail(now, &error),
        };
        let received = connection.received();
        let Some(started_at) = self.poll_started_at else {
            // Nothing is expected between two polls but the end of the connection. Bytes that come all the same must
            // not be taken for the response to the next poll.
            if stream_state == StreamState::Ended || !received.is_empty() {
                self.disconnect();
                self.next_timer_at = now;
            }
            return false;
        };
        match parse_response(received, stream_state, &self.location_names, self.max_body_bytes) {
            Err(error) => self.fail(now, &error),
            Ok(None) if stream_state == StreamState::Ended => self.fail(now, &PollError::ConnectionEnded),
            Ok(None) => false,
            Ok(Some(response)) => {
                self.complete_poll(now, started_at, stream_state, &response);
                on_endpoints(response.endpoints);
                self.on_timer(now, registry)
            }
        }
    }

    /// Records a response, and when the next poll is due.
    fn complete_poll(
        &mut self,
        now: Instant,
        started_at: Instant,
        stream_state: StreamState,
        response: &PollResponse,
    ) {
        if self.schedule.on_success() {
            tracing::info!(target: "discovery", index = response.endpoints.index, "poll succeeded again");
        }
        self.index = Some(response.endpoints.index);
        self.poll_started_at = None;
        self.last_poll_timed_out = false;
        // A response may come before the request is written: what is left of that would precede the next one.
        let request_sent = self.connection.as_ref().is_some_and(Connection::is_request_sent);
        let is_over = stream_state == StreamState::Ended || response.persistence == Persistence::Close;
        if is_over || !request_sent {
            self.connection = None;
        } else if let Some(connection) = &mut self.connection {
            connection.clear_received();
        }
        // A discovery that answers at once with nothing must not be polled without pause.
        let was_immediate = now < started_at + IMMEDIATE_RESPONSE;
        let is_empty = response.endpoints.entries.is_empty();
        self.next_timer_at = if is_empty && was_immediate { now + EMPTY_RESPONSE_DELAY } else { now };
    }
}

#[cfg(test)]
mod tests;
