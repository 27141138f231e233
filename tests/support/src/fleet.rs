//! Several gateways, with their messages delivered by the test.

use super::gateway::{attempt_ended, GatewayHarness};
use super::settings::{settings_of, IDEMPOTENT};
use ingress::{Action, Duration, Event, GatewayId, Outcome};

/// Gateways before six backends.
pub struct Fleet {
    /// The gateways by their numbers.
    pub gateways: Vec<GatewayHarness>,
    /// How many messages the gateways sent each other, lost ones included.
    pub messages_sent: u64,
}

impl Fleet {
    /// So many gateways, with the settings that all tests share.
    pub fn new(gateways: u16) -> Fleet {
        let harness = |own_id| GatewayHarness::new(settings_of(own_id, gateways), 6);
        Fleet { gateways: (0..gateways).map(harness).collect(), messages_sent: 0 }
    }

    /// Executes the actions of a gateway, and those that follow from them; attempts end at once. Returns how
    /// many attempts were sent. Every `lose_every`th message is lost, unless that is 0.
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
            let more = self.gateways[to].handle(event);
            queue.extend(more.into_iter().map(|action| (to, action)));
        }
        sent
    }

    /// A request at one gateway, of a customer of its own, and 20 ms at all of them. Returns how many
    /// attempts were sent.
    pub fn request(&mut self, at: usize, plan: u16, units: f64, set_size: f64, lose_every: u64) -> usize {
        let actions = self.gateways[at].request_from_set(IDEMPOTENT, plan, 5, units, set_size).actions;
        let sent = self.execute(at, actions, lose_every);
        sent + self.advance(Duration::from_millis(20), lose_every)
    }

    /// Lets time pass at one gateway after the other. Returns how many attempts were sent.
    pub fn advance(&mut self, span: Duration, lose_every: u64) -> usize {
        let mut sent = 0;
        for index in 0..self.gateways.len() {
            let actions = self.gateways[index].advance(span);
            sent += self.execute(index, actions, lose_every);
        }
        sent
    }
}
