//! What is done when timers are due, the steps of the graceful shutdown among them.

use super::clock::unix_time;
use super::shutdown::ACCEPTING_CHECK_INTERVAL;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::clients::{AcceptOutcome, Accepting};
use ingress::{Duration, Event};

/// How often idle connections and what else may have expired is looked through.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Batches of connections that are still accepted when the listener is closed: more than its queue holds.
const MAX_FINAL_ACCEPTS: usize = 64;

impl EventLoop {
    /// Runs the timers that are due; those that they set run in a later iteration.
    pub(super) fn run_due_timers(&mut self) {
        for timer in self.timers.take_due(self.now) {
            self.run_timer(timer);
            self.run_policy();
        }
    }

    /// Does what one timer was set for.
    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Policy(token) => self.pending_events.push_back(Event::Timer(token)),
            Timer::AttemptTimeout(id, number) => self.time_out_attempt(id, number),
            Timer::ClientDeadline(id) => self.fail_unanswered(id),
            Timer::ConnectTimeout(connection, assignment) => {
                self.backends.on_connect_timeout(connection, assignment);
            }
            Timer::HealthCheckTimeout { connection, backend, started_at } => {
                self.time_out_health_check(connection, backend, started_at);
            }
            Timer::Sweep => self.sweep(),
            Timer::RetryAccept => {
                self.accept_retry_scheduled = false;
                self.accept();
            }
            Timer::RetryReload => self.reload(),
            Timer::StopAccepting => self.stop_accepting(),
            Timer::ReplyDeadline => {
                self.requests.ids().into_iter().for_each(|id| self.fail_unanswered(id));
            }
        }
    }

    /// Clears away what has expired, and schedules the next sweep.
    fn sweep(&mut self) {
        self.backends.sweep(self.now);
        self.clients.close_expired(self.now);
        self.requests.forget_ended_ids(self.now);
        self.start_times.observe_clock(self.clock.now(), unix_time());
        self.timers.schedule(self.now + SWEEP_INTERVAL, Timer::Sweep);
    }

    /// Closes the listener unless clients still connect.
    fn stop_accepting(&mut self) {
        let mut accepted = self.accept();
        if self.shutdown.keeps_accepting(self.now, accepted, self.clients.last_accepted_at) {
            self.clients.drain(self.now, Accepting::Continue);
            self.timers.schedule(self.now + ACCEPTING_CHECK_INTERVAL, Timer::StopAccepting);
        } else {
            // Connections that wait in the listener's queue would be reset with it, and their requests lost.
            for _ in 0..MAX_FINAL_ACCEPTS {
                if accepted == AcceptOutcome::Drained {
                    break;
                }
                accepted = self.accept();
            }
            self.clients.drain(self.now, Accepting::Stop);
            self.shutdown.start_draining(self.now);
        }
        self.process_client_events();
    }

    /// Whether all that has been received is answered, and no client is left that may send more.
    pub(super) fn can_exit(&mut self) -> bool {
        if !self.is_drained() {
            return false;
        }
        // What clients have sent by now counts as received, though it has not been read: it is answered before the end.
        self.clients.read_all(self.now);
        self.process_client_events();
        self.clients.flush(self.now);
        self.process_client_events();
        self.is_drained()
    }

    /// Whether all is answered, by what has been read so far.
    fn is_drained(&self) -> bool {
        self.shutdown.is_draining()
            && !self.requests.any_unanswered()
            && !self.clients.has_pending_work()
            && self.shutdown.is_drained(self.now, &self.clients)
    }
}
