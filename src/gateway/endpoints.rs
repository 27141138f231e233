//! Carries out what follows from the endpoint list, and has discovery polled.

use crate::{Action, Discovery, Endpoint, EndpointUpdate, Gateway};

impl Gateway {
    /// Applies an endpoint list or a change of it; queued requests may then find a backend.
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
        self.dispatch(actions);
    }

    /// Asks the host to poll discovery when that is due, where the list does not come by itself.
    pub(crate) fn poll_discovery(&mut self, actions: &mut Vec<Action>) {
        let max_interval = self.settings.rules.max_poll_interval;
        let is_polled = self.settings.discovery == Discovery::SharedService;
        if is_polled && self.periodic_poll.take_due(self.now, max_interval) {
            actions.push(Action::PollDiscovery);
        }
    }

    /// Has the next poll come sooner after one that failed.
    fn on_poll_failed(&mut self) {
        let max_interval = self.settings.rules.max_poll_interval;
        self.periodic_poll.on_failure(self.now, max_interval);
    }
}
