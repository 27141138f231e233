//! Applies changes of the endpoint list, and polls discovery.

use crate::{Action, Discovery, Endpoint, EndpointUpdate, Gateway};

impl Gateway {
    /// Applies a snapshot or delta of the endpoint list, then sends queued requests that now have a backend.
    /// After a failed poll, schedules the next one instead.
    pub(crate) fn on_endpoints(
        &mut self,
        update: EndpointUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        match update {
            EndpointUpdate::PollFailed => return self.on_poll_failed(),
            EndpointUpdate::Delta => endpoints.into_iter().for_each(|one| self.backends.apply_change(one)),
            EndpointUpdate::Snapshot | EndpointUpdate::CachedSnapshot => self.backends.replace_all(endpoints),
        }
        self.send_queued_requests(actions);
    }

    /// Requests a poll of discovery when one is due, if changes of the endpoint list are not pushed.
    pub(crate) fn poll_discovery(&mut self, actions: &mut Vec<Action>) {
        let max_interval = self.settings.rules.max_poll_interval;
        let is_polled = self.settings.discovery == Discovery::SharedService;
        if is_polled && self.periodic_poll.take_due(self.now, max_interval) {
            actions.push(Action::PollDiscovery);
        }
    }

    /// Schedules the next poll earlier, after a failed one.
    fn on_poll_failed(&mut self) {
        let max_interval = self.settings.rules.max_poll_interval;
        self.periodic_poll.on_failure(self.now, max_interval);
    }
}
