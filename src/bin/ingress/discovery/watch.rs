//! The watch on the endpoint list: one long poll after another, over one connection as long as it lasts.
//!
//! While discovery does not respond, the endpoint list stays as it was and polls are retried with backoff.

use super::connection::{DiscoveryConnection, Flush};
use super::http::{Persistence, StreamState};
use super::poll::{parse_response, PollRequest, PollResponse};
use super::{EndpointList, LocationNames, PollError};
use crate::error_chain::ErrorChain;
use ingress::discovery_schedule::{FailedPoll, NextPoll, PollSchedule, PollTimings};
use ingress::{Duration, Instant};
use mio::{Registry, Token};
use std::net::SocketAddr;

/// How long after a poll's timeout its response is waited for. Changes in a lost response count as known 2 s
/// after the timeout, so the next poll has to be answered by then.
const RESPONSE_GRACE: Duration = Duration::from_millis(750);
/// The delay after an immediate empty response. A watch counts as unbroken if the next poll follows within
/// 200 ms.
const EMPTY_RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// A response faster than this did not wait for changes.
const IMMEDIATE_RESPONSE_THRESHOLD: Duration = Duration::from_millis(20);

/// Whether polls have begun to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollHealth {
    /// They go on as before, whether they succeed or fail.
    Unchanged,
    /// The first failure in a row has occurred.
    FirstFailure,
}

/// When the next poll starts after a failed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// After the delay of the schedule.
    AfterBackoff,
    /// At once.
    Immediate,
}

/// How a watch polls.
#[derive(Clone, Copy)]
pub struct WatchOptions {
    /// The timeouts and delays of its polls.
    pub timings: PollTimings,
    /// The most bytes of a response's body.
    pub max_body_bytes: usize,
    /// The seed of the jitter.
    pub seed: u64,
    /// The time of its start.
    pub now: Instant,
}

/// A request to be sent to discovery.
struct NextRequest {
    /// The request.
    request: PollRequest,
    /// How long its response is waited for.
    response_timeout: Duration,
}

/// The watch on the endpoint list.
pub struct Watch {
    /// The address of discovery.
    address: SocketAddr,
    /// The zones and machine types that lists refer to.
    location_names: LocationNames,
    /// The poll's token of the connection.
    token: Token,
    /// The connection, if one is open; it serves several polls if discovery keeps it open.
    connection: Option<DiscoveryConnection>,
    /// The version of the latest list; none makes the next poll request a snapshot.
    index: Option<u64>,
    /// When the pending poll was started; none if no poll is pending.
    poll_started_at: Option<Instant>,
    /// When the pending poll times out, once its request is written.
    response_due_at: Instant,
    /// The times of the polls.
    schedule: PollSchedule,
    /// The most bytes of a response's body.
    max_body_bytes: usize,
    /// When [`Watch::on_timer`] is to be called next.
    pub next_timer_at: Instant,
    /// The last poll timed out. The next one does not wait for changes: it is answered at once with those
    /// that were missed, and a second timeout is detected soon.
    last_poll_timed_out: bool,
}

impl Watch {
    /// A watch for changes after version `index` of the list.
    pub fn new(
        address: SocketAddr,
        location_names: LocationNames,
        index: u64,
        token: Token,
        options: WatchOptions,
    ) -> Self {
        let mut schedule = PollSchedule::new(options.timings, options.seed);
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

    /// Moves the watch to another address and polls it for a snapshot at once, without regard to a pending
    /// poll or backoff.
    ///
    /// A snapshot that is pending at the same address is waited for. Otherwise configurations that are
    /// reloaded faster than discovery responds would cancel each poll, and no list would ever arrive.
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

    /// Closes the connection and drops the pending poll.
    fn disconnect(&mut self) {
        self.connection = None;
        self.poll_started_at = None;
    }

    /// Closes the connection after a failure and schedules the next poll with backoff.
    fn fail(&mut self, now: Instant, error: &PollError) -> PollHealth {
        self.fail_and_retry(now, error, Retry::AfterBackoff)
    }

    /// Closes the connection after a failure and schedules the next poll.
    fn fail_and_retry(&mut self, now: Instant, error: &PollError, retry: Retry) -> PollHealth {
        let request_sent = self.connection.as_ref().is_none_or(DiscoveryConnection::is_request_sent);
        let pending = self.poll_started_at.map(|started_at| FailedPoll { started_at, request_sent });
        let NextPoll { at, is_first_failure } = self.schedule.on_failure(now, pending);
        self.disconnect();
        self.next_timer_at = match retry {
            Retry::AfterBackoff => at,
            Retry::Immediate => now,
        };
        if !is_first_failure {
            return PollHealth::Unchanged;
        }
        let retry_in_ms = self.next_timer_at.duration_since(now).as_millis();
        tracing::info!(target: "discovery", retry_in_ms, error = %ErrorChain(error), "poll failed");
        PollHealth::FirstFailure
    }

    /// Starts the next poll, or times the pending one out, if that is due.
    pub fn on_timer(&mut self, now: Instant, registry: &Registry) -> PollHealth {
        if now < self.next_timer_at {
            return PollHealth::Unchanged;
        }
        if self.poll_started_at.is_some() {
            return self.on_response_timeout(now, registry);
        }
        self.start_poll(now, registry)
    }

    /// Times the pending poll out. After the first timeout in a row the next poll starts at once, without
    /// backoff, since changes may have been missed. Poll timeouts are random, so ingresses do not all do this
    /// at the same time.
    fn on_response_timeout(&mut self, now: Instant, registry: &Registry) -> PollHealth {
        if std::mem::replace(&mut self.last_poll_timed_out, true) {
            return self.fail(now, &PollError::TimedOut);
        }
        let health = self.fail_and_retry(now, &PollError::TimedOut, Retry::Immediate);
        self.start_poll(now, registry);
        health
    }

    /// Starts the next poll.
    fn start_poll(&mut self, now: Instant, registry: &Registry) -> PollHealth {
        if self.connection.is_none() {
            match DiscoveryConnection::open(self.address, registry, self.token) {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => return self.fail(now, &PollError::Connect(error)),
            }
        }
        let NextRequest { request, response_timeout } = self.next_request();
        if let Some(connection) = &mut self.connection {
            connection.set_request(request.encode(self.address));
        }
        self.poll_started_at = Some(now);
        self.response_due_at = now + response_timeout;
        // The long timeout of a watch counts once the request is written. A connection that is not
        // established by the short one is closed, since the system would retry it ever more seldom.
        let request_due_at = now + self.schedule.timings.response_timeout;
        self.next_timer_at = self.response_due_at.min(request_due_at);
        self.flush(now)
    }

    /// The request of the next poll, and how long its response is waited for.
    fn next_request(&mut self) -> NextRequest {
        let response_timeout = self.schedule.timings.response_timeout;
        let Some(since) = self.index else {
            return NextRequest { request: PollRequest::Snapshot, response_timeout };
        };
        if self.last_poll_timed_out {
            let request = PollRequest::Changes { since, timeout: Duration::ZERO };
            return NextRequest { request, response_timeout };
        }
        let timeout = self.schedule.next_poll_timeout();
        let request = PollRequest::Changes { since, timeout };
        NextRequest { request, response_timeout: timeout + RESPONSE_GRACE }
    }

    /// Writes as much of the request as possible.
    fn flush(&mut self, now: Instant) -> PollHealth {
        match self.connection.as_mut().map(DiscoveryConnection::flush) {
            Some(Ok(Flush::Completed)) => self.next_timer_at = self.response_due_at,
            Some(Ok(Flush::NotCompleted)) | None => {}
            Some(Err(error)) => return self.fail(now, &PollError::Send(error)),
        }
        PollHealth::Unchanged
    }

    /// Writes to and reads from the connection, and passes a received list to `on_endpoints`.
    pub fn on_ready(
        &mut self,
        now: Instant,
        registry: &Registry,
        on_endpoints: &mut impl FnMut(EndpointList),
    ) -> PollHealth {
        if self.flush(now) == PollHealth::FirstFailure {
            return PollHealth::FirstFailure;
        }
        let Some(connection) = &mut self.connection else { return PollHealth::Unchanged };
        // The state of the stream is needed too: a response without a length ends with the stream.
        let stream_state = match connection.receive(self.max_body_bytes) {
            Ok(stream_state) => stream_state,
            Err(error) => return self.fail(now, &error),
        };
        let received = connection.received();
        let Some(started_at) = self.poll_started_at else {
            self.on_input_between_polls(now, stream_state);
            return PollHealth::Unchanged;
        };
        match parse_response(received, stream_state, &self.location_names, self.max_body_bytes) {
            Err(error) => self.fail(now, &error),
            Ok(None) if stream_state == StreamState::Ended => self.fail(now, &PollError::ConnectionEnded),
            Ok(None) => PollHealth::Unchanged,
            Ok(Some(response)) => {
                self.complete_poll(now, started_at, stream_state, &response);
                on_endpoints(response.endpoints);
                self.on_timer(now, registry)
            }
        }
    }

    /// Closes a connection that has ended between two polls, or on which bytes arrived then: those would be
    /// parsed as the response to the next poll.
    fn on_input_between_polls(&mut self, now: Instant, stream_state: StreamState) {
        let has_input = self.connection.as_ref().is_some_and(|connection| !connection.received().is_empty());
        if stream_state == StreamState::Ended || has_input {
            self.disconnect();
            self.next_timer_at = now;
        }
    }

    /// Records a response and schedules the next poll.
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
        // A response may arrive before the request is written. The connection is closed then, since the rest
        // of that request would be read by discovery as the beginning of the next one.
        let request_sent = self.connection.as_ref().is_some_and(DiscoveryConnection::is_request_sent);
        let has_ended = stream_state == StreamState::Ended || response.persistence == Persistence::Close;
        if has_ended || !request_sent {
            self.connection = None;
        } else if let Some(connection) = &mut self.connection {
            connection.clear_received();
        }
        // Discovery that responds at once without changes must not be polled in a tight loop.
        let was_immediate = now < started_at + IMMEDIATE_RESPONSE_THRESHOLD;
        let is_empty = response.endpoints.entries.is_empty();
        self.next_timer_at = if is_empty && was_immediate { now + EMPTY_RESPONSE_DELAY } else { now };
    }
}

#[cfg(test)]
mod tests;
