//! Receives the responses to the polls of a [`Watch`] and applies them.

use super::{PollHealth, Watch};
use crate::discovery::earlier_polls::{EarlierPoll, LateResponse};
use crate::discovery::http::StreamState;
use crate::discovery::list_version::{Applicability, ResponseVersion};
use crate::discovery::poll::{PendingPoll, PollRequest, PollResponse};
use crate::discovery::EndpointList;
use ingress::{Duration, Instant};
use mio::Registry;

/// Delay before the next poll after an immediate empty response. A watch counts as uninterrupted if the next
/// poll follows within 200 ms.
const EMPTY_RESPONSE_DELAY: Duration = Duration::from_millis(50);
/// A response that arrives faster than this did not wait for changes.
const IMMEDIATE_RESPONSE_THRESHOLD: Duration = Duration::from_millis(20);

impl Watch {
    /// Writes to and reads from the connection, and passes a received list to `on_endpoints`.
    pub fn on_ready(
        &mut self,
        now: Instant,
        registry: &Registry,
        on_endpoints: &mut impl FnMut(EndpointList),
    ) -> PollHealth {
        for late in self.earlier.receive(&self.format) {
            self.complete_earlier_poll(now, late, on_endpoints);
        }
        if self.flush(now) == PollHealth::FirstFailure {
            return PollHealth::FirstFailure;
        }
        let Some(connection) = &mut self.connection else { return PollHealth::Unchanged };
        let Some(poll) = self.pending else {
            return match connection.receive(self.format.max_body_bytes) {
                Ok(stream_state) => self.on_input_between_polls(now, stream_state),
                Err(error) => self.fail(now, &error),
            };
        };
        match connection.receive_response(&self.format) {
            Err(error) => self.fail(now, &error),
            Ok(None) => PollHealth::Unchanged,
            Ok(Some(response)) => {
                self.complete_poll(now, poll, response, on_endpoints);
                self.on_timer(now, registry)
            }
        }
    }

    /// Closes the connection if it has ended between two polls, or if bytes arrived on it, which would be
    /// parsed as the response to the next poll.
    fn on_input_between_polls(&mut self, now: Instant, stream_state: StreamState) -> PollHealth {
        let has_input = self.connection.as_ref().is_some_and(|connection| !connection.received().is_empty());
        if stream_state == StreamState::Ended || has_input {
            self.disconnect();
            self.next_timer_at = now;
        }
        PollHealth::Unchanged
    }

    /// Applies the response to the latest poll and schedules the next one.
    fn complete_poll(
        &mut self,
        now: Instant,
        poll: PendingPoll,
        response: PollResponse,
        on_endpoints: &mut impl FnMut(EndpointList),
    ) {
        self.pending = None;
        self.earlier.clear();
        self.last_poll_timed_out = false;
        let connection = self.connection.take();
        self.connection = connection.and_then(|one| one.into_reusable(response.persistence));
        let is_empty = response.endpoints.entries.is_empty();
        self.apply_response(now, poll, response, on_endpoints);
        // Avoids a tight loop if discovery responds at once without changes.
        let is_to_wait = is_empty && !self.version.needs_snapshot;
        let was_immediate = now < poll.started_at + IMMEDIATE_RESPONSE_THRESHOLD;
        self.next_timer_at = if is_to_wait && was_immediate { now + EMPTY_RESPONSE_DELAY } else { now };
    }

    /// Applies the response to a poll that was followed by another one. If that has failed since, the next
    /// poll starts at once; if it is pending, it has a better place in the queue of discovery than a new one,
    /// unless a snapshot is needed.
    fn complete_earlier_poll(
        &mut self,
        now: Instant,
        late: LateResponse,
        on_endpoints: &mut impl FnMut(EndpointList),
    ) {
        let LateResponse { earlier: EarlierPoll { poll, connection }, response } = late;
        if self.pending.is_none() {
            self.connection = connection.into_reusable(response.persistence);
            self.last_poll_timed_out = false;
            self.next_timer_at = now;
        }
        self.apply_response(now, poll, response, on_endpoints);
        let is_requested = self.pending.is_some_and(|poll| poll.request == PollRequest::Snapshot);
        if self.version.needs_snapshot && !is_requested {
            self.keep_pending_poll(now);
            self.next_timer_at = now;
        }
    }

    /// Records a response, and passes its list to `on_endpoints` if it applies to the one in use.
    fn apply_response(
        &mut self,
        now: Instant,
        poll: PendingPoll,
        response: PollResponse,
        on_endpoints: &mut impl FnMut(EndpointList),
    ) {
        let index = response.endpoints.index;
        let is_snapshot = response.endpoints.is_snapshot || poll.request == PollRequest::Snapshot;
        let received = ResponseVersion { index, is_snapshot, index_at_start: poll.index };
        let applicability = self.version.record_response(received);
        let waited_ms = now.duration_since(poll.started_at).as_millis();
        tracing::debug!(target: "discovery", index, waited_ms, ?applicability, "poll answered");
        if self.schedule.on_success(now, poll.expected_at()) {
            tracing::info!(target: "discovery", index, "poll succeeded again");
        }
        if applicability == Applicability::Applies {
            on_endpoints(response.endpoints);
        }
    }
}
