//! Runs the timers, which include the steps of the graceful shutdown.

use super::client_events::MissedAnswer;
use super::clock::unix_time;
use super::shutdown::ACCEPTING_CHECK_INTERVAL;
use super::timer_queue::Timer;
use super::EventLoop;
use crate::clients::{AcceptOutcome, Accepting};
use ingress::{Duration, Event};

/// Interval at which expired connections and ids are removed.
pub(super) const SWEEP_INTERVAL: Duration = Duration::from_millis(500);
/// Number of timers that an open request may have on average before outdated timers are removed.
const MAX_TIMERS_PER_REQUEST: usize = 8;
/// Number of timers up to which outdated ones are not removed.
const MIN_REMOVAL_COUNT: usize = 1024;
/// Maximum number of batches that are accepted before the listener is closed: more than its queue holds.
const MAX_FINAL_ACCEPTS: usize = 64;

impl EventLoop {
    /// Runs the timers that are due. Timers that these schedule run in a later iteration.
    pub(super) fn run_due_timers(&mut self) {
        for timer in self.timers.take_due(self.now) {
            self.run_timer(timer);
            self.run_gateway();
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        match timer {
            Timer::Gateway(token) => self.pending_events.push_back(Event::Timer(token)),
            Timer::AttemptTimeout(attempt) => self.time_out_attempt(attempt),
            Timer::ClientDeadline(id) => self.fail_unanswered(id, MissedAnswer::ClientDeadline),
            Timer::ConnectTimeout(connection, attempt) => {
                self.backend_connections.on_connect_timeout(connection, attempt);
            }
            Timer::Sweep => self.sweep(),
            Timer::RetryAccept => {
                self.accept_retry_scheduled = false;
                self.accept();
            }
            Timer::RetryReload => self.reload(),
            Timer::CheckAccepting => self.check_accepting(),
            Timer::ReplyDeadline => {
                for id in self.requests.ids() {
                    self.fail_unanswered(id, MissedAnswer::ShutdownDeadline);
                }
            }
        }
    }

    /// Removes the timers of answered requests and ended attempts if they are most of all timers.
    ///
    /// A client's timeout may be a minute, and most requests are answered within milliseconds. Without this, a
    /// client that sends at full speed would leave millions of timers. At least half of the timers are removed
    /// each time, so the cost for each timer is constant.
    pub(super) fn remove_outdated_timers(&mut self) {
        let max_current = self.requests.len() * MAX_TIMERS_PER_REQUEST + MIN_REMOVAL_COUNT;
        if self.timers.len() < max_current * 2 {
            return;
        }
        let (requests, backend_connections) = (&self.requests, &self.backend_connections);
        self.timers.retain(|timer| match timer {
            Timer::ClientDeadline(id) => requests.is_open(id),
            Timer::AttemptTimeout(attempt) => requests.has_in_flight(attempt),
            Timer::ConnectTimeout(connection, _) => backend_connections.has_incomplete_command(connection),
            Timer::Gateway(_)
            | Timer::Sweep
            | Timer::RetryAccept
            | Timer::RetryReload
            | Timer::CheckAccepting
            | Timer::ReplyDeadline => true,
        });
    }

    /// Removes expired connections and ids, and schedules the next sweep.
    fn sweep(&mut self) {
        self.backend_connections.sweep(self.now);
        self.clients.close_expired(self.now);
        self.requests.expire_ended_ids(self.now);
        self.start_times.observe_clock(self.clock.now(), unix_time());
        self.timers.schedule(self.now + SWEEP_INTERVAL, Timer::Sweep);
    }

    /// Accepts waiting connections, and schedules the next check while clients are still connecting; closes
    /// the listener otherwise.
    fn check_accepting(&mut self) {
        let mut accepted = self.accept();
        if self.shutdown.should_keep_accepting(self.now, accepted, self.clients.last_accepted_at) {
            self.clients.close_when_idle(self.now, Accepting::Continue);
            self.timers.schedule(self.now + ACCEPTING_CHECK_INTERVAL, Timer::CheckAccepting);
        } else {
            // Closing the listener resets the connections in its queue, and their requests would be lost, so
            // they are accepted first.
            for _ in 0..MAX_FINAL_ACCEPTS {
                if accepted == AcceptOutcome::QueueEmpty {
                    break;
                }
                accepted = self.accept();
            }
            self.clients.close_when_idle(self.now, Accepting::Stop);
            self.shutdown.start_draining(self.now);
            let (open_requests, clients) = (self.requests.open_ids().len(), self.clients.len());
            tracing::info!(target: "shutdown", open_requests, clients, "listener closed");
        }
        self.process_client_events();
    }

    /// Returns whether the process can exit: all requests are answered, and no client is left that the
    /// process waits for. Before it returns `true`, it handles the commands that were not read yet, and waits
    /// until the last replies can have arrived.
    pub(super) fn drain_and_check_finished(&mut self) -> bool {
        self.clients.close_lingered(self.now);
        if !self.is_drained() {
            return false;
        }
        // The kernel may have received further commands, which an exit without this read would lose.
        self.read_all_clients();
        self.clients.flush(self.now);
        self.process_client_events();
        if !self.is_drained() {
            return false;
        }
        // A client that sends after the exit resets its connection, which drops replies in transit.
        self.clients.shut_down_before_exit(self.now);
        !self.clients.has_reply_in_transit(self.now)
    }

    /// Logs the end of the graceful shutdown. `drained` is `false` if the process exits because the time for
    /// the shutdown is over.
    pub(super) fn log_finished(&self, drained: bool) {
        let (open_requests, clients) = (self.requests.open_ids().len(), self.clients.len());
        tracing::info!(target: "shutdown", drained, open_requests, clients, "graceful shutdown finished");
    }

    /// Returns whether the listener is closed, all requests read so far are answered, and no client is left
    /// that the process waits for.
    fn is_drained(&self) -> bool {
        self.shutdown.is_draining()
            && !self.requests.any_open()
            && !self.clients.has_pending_work()
            && self.shutdown.can_exit(self.now, &self.clients)
    }
}
