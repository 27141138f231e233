//! Handles input from discovery and peers, and signals from the operator.

use super::clock::unix_time;
use super::shutdown::MIN_ACCEPTING_TIME;
use super::source::ReadySocket;
use super::timer_queue::Timer;
use super::{EventLoop, EventLoopError};
use crate::discovery::{EndpointList, PollHealth};
use crate::peers::Backlog;
use crate::reload::ReloadOutcome;
use crate::start_retry::StartRetry;
use ingress::{Availability, Discovery, Endpoint, EndpointUpdate, Event};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

/// Installs the signal handlers: SIGTERM and SIGINT begin the graceful shutdown, SIGHUP reloads the
/// configuration, SIGUSR1 logs the counters.
pub fn register_signals(retry: StartRetry) -> Result<Signals, EventLoopError> {
    retry.run(|| Signals::new([SIGTERM, SIGINT, SIGHUP, SIGUSR1])).map_err(EventLoopError::Signals)
}

impl EventLoop {
    /// Applies the endpoint lists that discovery has sent, if its socket is `ready`, and runs the timer of
    /// the watch if it is due.
    pub(super) fn process_discovery(&mut self, ready: Option<&ReadySocket>) {
        let (now, registry, mut lists) = (self.now, self.poll.registry(), Vec::new());
        let mut health = [PollHealth::Unchanged; 2];
        if ready.is_some() {
            health[0] = self.watch.on_ready(now, registry, &mut |list| lists.push(list));
        }
        health[1] = self.watch.on_timer(now, registry);
        for list in lists {
            let update = if list.is_snapshot { EndpointUpdate::Snapshot } else { EndpointUpdate::Delta };
            self.apply_endpoints(&list, update);
        }
        if health.contains(&PollHealth::FirstFailure) && self.discovery == Discovery::SharedService {
            self.pending_events.push_back(Event::Endpoints(EndpointUpdate::PollFailed, Vec::new()));
        }
        self.run_gateway();
    }

    /// Applies an endpoint list to the backend connections, and passes it to the gateway.
    pub(super) fn apply_endpoints(&mut self, list: &EndpointList, update: EndpointUpdate) {
        let removed = self.backend_connections.update_endpoints(list);
        let endpoints = self.endpoints_in_host_time(list);
        log_endpoints(list, update, removed.len());
        for backend in removed {
            self.auditor.availability_changed(backend, Availability::Gone, self.now);
            self.start_times.remove(backend);
        }
        // A list that was cached before a restart does not show which backends are running now.
        if update != EndpointUpdate::CachedSnapshot {
            self.start_times.record_endpoint_update(self.now);
        }
        if update != EndpointUpdate::Delta || !endpoints.is_empty() {
            self.pending_events.push_back(Event::Endpoints(update, endpoints));
        }
    }

    /// Returns the endpoints of a list, with their start times by the event loop's clock.
    fn endpoints_in_host_time(&mut self, list: &EndpointList) -> Vec<Endpoint> {
        let (now, times) = (self.now, &mut self.start_times);
        times.observe_clock(self.clock.now(), unix_time());
        let mut endpoints = Vec::with_capacity(list.entries.len());
        for entry in &list.entries {
            self.auditor.endpoint_listed(&entry.endpoint, now);
            let started_at = times.host_time(entry.endpoint.backend, entry.started_at, now);
            endpoints.push(Endpoint { started_at, ..entry.endpoint });
        }
        endpoints
    }

    /// Receives a batch of peers' messages and passes them to the gateway.
    pub(super) fn receive_peer_messages(&mut self) {
        let events = &mut self.pending_events;
        if let Some(peers) = &mut self.peers {
            let backlog = peers.receive(|from, bytes| events.push_back(Event::PeerMessage { from, bytes }));
            self.peer_messages_pending |= backlog == Backlog::MayHaveMore;
        }
        self.run_gateway();
    }

    pub(super) fn handle_signals(&mut self) {
        // Several signals of the same kind since the last call count as one.
        let received: Vec<i32> = self.signals.pending().collect();
        if received.contains(&SIGHUP) {
            self.reload.request();
            self.reload();
        }
        if received.contains(&SIGUSR1) {
            self.log_counters();
        }
        if received.iter().any(|signal| matches!(*signal, SIGTERM | SIGINT)) {
            self.begin_shutdown();
        }
    }

    /// Reloads the configuration if that is due, and passes the discovery address in it to the watch.
    pub(super) fn reload(&mut self) {
        match self.reload.attempt(self.now) {
            ReloadOutcome::Applied(discovery) => self.watch.set_address(discovery, self.now),
            ReloadOutcome::RetryAt(retry_at) => self.timers.schedule(retry_at, Timer::RetryReload),
            ReloadOutcome::NotDue => {}
        }
    }

    /// Begins the graceful shutdown, unless it has already begun.
    fn begin_shutdown(&mut self) {
        let Some(reply_deadline) = self.shutdown.begin(self.now) else { return };
        let reply_time_ms = reply_deadline.duration_since(self.now).as_millis();
        tracing::info!(target: "shutdown", reply_time_ms, "graceful shutdown started");
        self.timers.schedule(self.now + MIN_ACCEPTING_TIME, Timer::CheckAccepting);
        self.timers.schedule(reply_deadline, Timer::ReplyDeadline);
    }
}

/// Logs an applied endpoint list, and each entry if it is a delta.
fn log_endpoints(list: &EndpointList, update: EndpointUpdate, removed: usize) {
    let (index, entries) = (list.index, list.entries.len());
    tracing::debug!(target: "discovery", index, ?update, entries, removed, "endpoint list applied");
    if update == EndpointUpdate::Delta {
        for Endpoint { backend, availability, .. } in list.entries.iter().map(|entry| entry.endpoint) {
            tracing::debug!(
                target: "discovery", index, backend = backend.0, ?availability, "endpoint changed"
            );
        }
    }
}
