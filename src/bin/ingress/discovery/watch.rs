//! Watches the endpoint list by consecutive long polls over a persistent connection.
//!
//! While discovery is unavailable, the last endpoint list stays in use and polls are retried with backoff. A
//! poll whose response is late stays pending beside the next one: discovery may be crowded and let polls wait
//! in a queue.

mod responses;

use super::connection::{DiscoveryConnection, Flush};
use super::earlier_polls::{EarlierPoll, EarlierPolls};
use super::list_version::ListVersion;
use super::poll::{PendingPoll, PollRequest, ResponseFormat};
use super::{LocationNames, PollError};
use crate::error_chain::ErrorChain;
use ingress::discovery_schedule::{FailedPoll, NextPoll, PollSchedule, PollTimings};
use ingress::{Duration, Instant};
use mio::{Registry, Token};
use std::net::SocketAddr;

/// Change in the health of polls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollHealth {
    /// Polls continue to succeed or to fail, or have recovered.
    Unchanged,
    /// A poll failed and the one before it did not.
    FirstFailure,
}

/// Time of the next poll after a failed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Retry {
    /// Retries after the delay of the schedule.
    AfterBackoff,
    /// Retries at once.
    Immediate,
}

/// Parameters of a [`Watch`].
#[derive(Clone, Copy)]
pub struct WatchOptions {
    pub timings: PollTimings,
    /// Maximum size of a response's body.
    pub max_body_bytes: usize,
    /// Seed of the jitter.
    pub seed: u64,
    /// Time at which the watch is created.
    pub now: Instant,
}

/// The request of the next poll and its timeout.
struct NextRequest {
    request: PollRequest,
    /// Maximum time to wait for the response.
    response_timeout: Duration,
}

/// Keeps a long poll for changes of the endpoint list pending, and retries polls that fail.
pub struct Watch {
    /// Address of discovery.
    address: SocketAddr,
    format: ResponseFormat,
    /// Token of the readiness events of all connections.
    token: Token,
    /// The open connection, which is reused for further polls if discovery keeps it open.
    connection: Option<DiscoveryConnection>,
    /// Version of the list in use.
    version: ListVersion,
    /// The latest poll; `None` once it has been answered or has failed.
    pending: Option<PendingPoll>,
    /// Polls before the latest one that may still be answered.
    earlier: EarlierPolls,
    /// Time at which the pending poll times out, once its request is written.
    response_due_at: Instant,
    schedule: PollSchedule,
    /// Time at which [`Watch::on_timer`] has to be called next.
    pub next_timer_at: Instant,
    /// Whether the last poll timed out. The next one then does not wait for changes, so that missed changes
    /// are sent at once and a second timeout is detected soon.
    last_poll_timed_out: bool,
}

impl Watch {
    /// Creates a watch for changes after version `index` of the list.
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
            format: ResponseFormat { location_names, max_body_bytes: options.max_body_bytes },
            token,
            connection: None,
            version: ListVersion { index, needs_snapshot: false },
            pending: None,
            earlier: EarlierPolls::default(),
            response_due_at: Instant::ZERO,
            schedule,
            next_timer_at,
            last_poll_timed_out: false,
        }
    }

    /// Sets the address of discovery and requests a snapshot from it at once. Cancels polls at another
    /// address and resets the backoff.
    ///
    /// Polls at the same address stay pending, and one that requests a snapshot is not repeated. Otherwise
    /// reloads of the configuration at shorter intervals than discovery's response time would cancel each
    /// poll, and no list would arrive.
    pub fn set_address(&mut self, address: SocketAddr, now: Instant) {
        if address != self.address {
            self.disconnect();
            self.earlier.clear();
        } else if self.version.needs_snapshot && self.awaits_snapshot() {
            return;
        }
        self.keep_pending_poll(now);
        self.version.needs_snapshot = true;
        self.schedule.reset();
        self.address = address;
        self.next_timer_at = now;
    }

    /// Returns whether a request for a snapshot is pending.
    fn awaits_snapshot(&self) -> bool {
        let is_requested = |request| request == PollRequest::Snapshot;
        self.pending.is_some_and(|poll| is_requested(poll.request))
            || self.earlier.requests().any(is_requested)
    }

    /// Keeps the latest poll pending beside the next one.
    fn keep_pending_poll(&mut self, now: Instant) {
        if let (Some(poll), Some(connection)) = (self.pending.take(), self.connection.take()) {
            self.earlier.add(now, EarlierPoll { poll, connection });
        }
    }

    /// Closes the connection and cancels the latest poll.
    fn disconnect(&mut self) {
        self.connection = None;
        self.pending = None;
    }

    /// Closes the connection after a failure and schedules the next poll with backoff.
    fn fail(&mut self, now: Instant, error: &PollError) -> PollHealth {
        let health = self.schedule_retry(now, error, Retry::AfterBackoff);
        self.disconnect();
        health
    }

    /// Records the failure of the latest poll, or of opening a connection for one, and schedules the next
    /// poll.
    fn schedule_retry(&mut self, now: Instant, error: &PollError, retry: Retry) -> PollHealth {
        let request_sent = self.connection.as_ref().is_none_or(DiscoveryConnection::is_request_sent);
        let failed = self.pending.map(|poll| FailedPoll { started_at: poll.started_at, request_sent });
        let NextPoll { at, is_first_failure } = self.schedule.on_failure(now, failed);
        self.next_timer_at = match retry {
            Retry::AfterBackoff => at,
            Retry::Immediate => now,
        };
        let retry_in_ms = self.next_timer_at.duration_since(now).as_millis();
        if let Some(FailedPoll { started_at, request_sent }) = failed {
            let waited_ms = now.duration_since(started_at).as_millis();
            tracing::debug!(
                target: "discovery", waited_ms, request_sent, retry_in_ms, error = %ErrorChain(error),
                "poll ended"
            );
        }
        if !is_first_failure {
            return PollHealth::Unchanged;
        }
        tracing::info!(target: "discovery", retry_in_ms, error = %ErrorChain(error), "poll failed");
        PollHealth::FirstFailure
    }

    /// Starts the next poll or times out the pending one, if the timer has expired.
    pub fn on_timer(&mut self, now: Instant, registry: &Registry) -> PollHealth {
        if now < self.next_timer_at {
            return PollHealth::Unchanged;
        }
        if self.pending.is_some() {
            return self.on_response_timeout(now, registry);
        }
        self.start_poll(now, registry)
    }

    /// Times out the latest poll. After the first timeout in a row the next poll starts without backoff,
    /// since changes may have been missed. Poll timeouts are random, so the ingresses do not all poll at the
    /// same time.
    ///
    /// The poll stays pending: in a crowded discovery its successor waits from the end of the queue. If an
    /// earlier poll was answered meanwhile, no change was missed, and the next one is a long poll.
    fn on_response_timeout(&mut self, now: Instant, registry: &Registry) -> PollHealth {
        let is_queued = self.pending.is_some_and(|poll| {
            poll.request.timeout().is_zero() && self.schedule.has_response_since(poll.started_at)
        });
        let follows_timeout = std::mem::replace(&mut self.last_poll_timed_out, !is_queued);
        let retry = if follows_timeout && !is_queued { Retry::AfterBackoff } else { Retry::Immediate };
        let health = self.schedule_retry(now, &PollError::TimedOut, retry);
        self.keep_pending_poll(now);
        if retry == Retry::Immediate {
            self.start_poll(now, registry);
        }
        health
    }

    /// Starts the next poll, on a new connection if none is open.
    fn start_poll(&mut self, now: Instant, registry: &Registry) -> PollHealth {
        if self.connection.is_none() {
            match DiscoveryConnection::open(self.address, registry, self.token) {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => return self.fail(now, &PollError::Connect(error)),
            }
        }
        let NextRequest { request, response_timeout } = self.next_request();
        let response_timeout_ms = response_timeout.as_millis();
        let (since, timeout_ms) = (request.since(), request.timeout().as_millis());
        tracing::debug!(target: "discovery", since, timeout_ms, response_timeout_ms, "poll started");
        if let Some(connection) = &mut self.connection {
            connection.set_request(request.encode(self.address));
        }
        self.pending = Some(PendingPoll { request, started_at: now, index: self.version.index });
        self.response_due_at = now + response_timeout;
        // The long response timeout applies once the request is written. Until then the short timeout closes
        // a connection that is not established, because the system retries a connect at growing intervals.
        let request_due_at = now + self.schedule.timings.response_timeout;
        self.next_timer_at = self.response_due_at.min(request_due_at);
        self.flush(now)
    }

    /// Returns the request of the next poll and its timeout.
    fn next_request(&mut self) -> NextRequest {
        let response_timeout = self.schedule.timings.response_timeout;
        if self.version.needs_snapshot {
            return NextRequest { request: PollRequest::Snapshot, response_timeout };
        }
        let since = self.version.index;
        if self.last_poll_timed_out {
            let request = PollRequest::Changes { since, timeout: Duration::ZERO };
            return NextRequest { request, response_timeout };
        }
        let timeout = self.schedule.next_poll_timeout();
        let request = PollRequest::Changes { since, timeout };
        NextRequest { request, response_timeout: self.schedule.long_poll_response_timeout(timeout) }
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
}

#[cfg(test)]
mod tests;
