//! A fleet of gateways whose messages are delivered by the test.

use super::gateway::{attempt_ended, GatewayHarness};
use super::settings::{settings_of, IDEMPOTENT};
use ingress::{Action, Duration, Event, GatewayId, Outcome};

/// A fleet of gateways with six backends.
pub struct Fleet {
    /// Gateways, indexed by id.
    pub gateways: Vec<GatewayHarness>,
    /// Number of messages between gateways, including lost ones.
    pub messages_sent: u64,
}

impl Fleet {
    /// Creates a fleet of this number of gateways with the default settings of tests.
    pub fn new(gateways: u16) -> Fleet {
        let harness = |own_id| GatewayHarness::new(settings_of(own_id, gateways), 6);
        Fleet { gateways: (0..gateways).map(harness).collect(), messages_sent: 0 }
    }

    /// Executes the actions of a gateway and all resulting actions, and returns the number of attempts sent.
    /// Attempts are served immediately. Every `lose_every`th message is lost, unless that is 0.
    pub fn execute(&mut self, from: usize, actions: Vec<Action>, lose_every: u64) -> usize {
        let mut sent = 0;
        let mut queue: Vec<(usize, Action)> = actions.into_iter().map(|action| (from, action)).collect();
        while let Some((at, action)) = queue.pop() {
            let (to, event) = match action {
                Action::Send { id, backend, .. } => {
                    sent += 1;
                    (at, attempt_ended(Duration::from_millis(100), id, 0, backend, Outcome::Ok))
                }
                Action::SendToPeer { to: Some(to), bytes } => {
                    self.messages_sent += 1;
                    if lose_every > 0 && self.messages_sent % lose_every == 0 {
                        continue;
                    }
                    (usize::from(to.0), Event::PeerMessage { from: GatewayId(at as u16), bytes })
                }
                _ => continue,
            };
            let resulting_actions = self.gateways[to].handle(event);
            queue.extend(resulting_actions.into_iter().map(|action| (to, action)));
        }
        sent
    }

    /// Submits a request of customer 5 to one gateway, then advances all gateways by 20 ms. Returns the
    /// number of attempts sent.
    pub fn request(&mut self, at: usize, plan: u16, units: f64, set_size: f64, lose_every: u64) -> usize {
        let actions = self.gateways[at].request_from_set(IDEMPOTENT, plan, 5, units, set_size).actions;
        let sent = self.execute(at, actions, lose_every);
        sent + self.advance(Duration::from_millis(20), lose_every)
    }

    /// Advances the clock of each gateway in turn. Returns the number of attempts sent.
    pub fn advance(&mut self, span: Duration, lose_every: u64) -> usize {
        let mut sent = 0;
        for index in 0..self.gateways.len() {
            let actions = self.gateways[index].advance(span);
            sent += self.execute(index, actions, lose_every);
        }
        sent
    }
}
