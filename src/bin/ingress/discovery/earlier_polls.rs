//! Polls that stay pending although another one was started after them.

use super::connection::DiscoveryConnection;
use super::poll::{PendingPoll, PollRequest, PollResponse, ResponseFormat};
use super::PollError;
use crate::error_chain::ErrorChain;
use ingress::poll_retention::{earlier_poll_place, EarlierPollPlace};
use ingress::Instant;

/// A poll that awaits its response, with its connection.
pub struct EarlierPoll {
    pub poll: PendingPoll,
    pub connection: DiscoveryConnection,
}

/// The response to an [`EarlierPoll`].
pub struct LateResponse {
    pub earlier: EarlierPoll,
    pub response: PollResponse,
}

/// Polls that were started before the latest one and await their responses, in the order of their starts.
#[derive(Default)]
pub struct EarlierPolls {
    pub(super) polls: Vec<EarlierPoll>,
}

impl EarlierPolls {
    /// Keeps a poll pending, unless too many others have to be kept.
    pub fn add(&mut self, now: Instant, earlier: EarlierPoll) {
        let expected_at: Vec<Instant> = self.polls.iter().map(|one| one.poll.expected_at()).collect();
        let given_up = match earlier_poll_place(now, &expected_at) {
            EarlierPollPlace::Free => None,
            EarlierPollPlace::Replaces(position) => Some(self.polls.remove(position)),
            EarlierPollPlace::Occupied => return log_given_up(now, &earlier),
        };
        if let Some(given_up) = given_up {
            log_given_up(now, &given_up);
        }
        self.polls.push(earlier);
    }

    /// Returns the list or changes that each poll awaits.
    pub fn requests(&self) -> impl Iterator<Item = PollRequest> + '_ {
        self.polls.iter().map(|one| one.poll.request)
    }

    /// Gives up all polls.
    pub fn clear(&mut self) {
        self.polls.clear();
    }

    /// Writes requests of connections that were established late, and returns the responses that have
    /// arrived.
    ///
    /// A response gives up the polls that were started before its own: they are not needed to receive later
    /// changes, and would only repeat what it has.
    pub fn receive(&mut self, format: &ResponseFormat) -> Vec<LateResponse> {
        let (mut unanswered, mut responses) = (Vec::new(), Vec::new());
        for mut earlier in std::mem::take(&mut self.polls) {
            match earlier.receive(format) {
                Ok(None) => unanswered.push(earlier),
                Ok(Some(response)) => {
                    unanswered.clear();
                    responses.push(LateResponse { earlier, response });
                }
                Err(error) => {
                    tracing::debug!(target: "discovery", error = %ErrorChain(&error), "earlier poll failed");
                }
            }
        }
        self.polls = unanswered;
        responses
    }
}

impl EarlierPoll {
    /// Writes the rest of the request and reads the response. Returns `None` if that is incomplete.
    fn receive(&mut self, format: &ResponseFormat) -> Result<Option<PollResponse>, PollError> {
        self.connection.flush().map_err(PollError::Send)?;
        self.connection.receive_response(format)
    }
}

fn log_given_up(now: Instant, earlier: &EarlierPoll) {
    let waited_ms = now.duration_since(earlier.poll.started_at).as_millis();
    tracing::debug!(target: "discovery", waited_ms, "poll given up");
}
