//! Quota messages: how many an ingress sends and gets, and how many bytes, by the size of the fleet and the rate of
//! requests.

use crate::experiment_file::{whole as amounts_of, Amounts};
use crate::report::Report;
use crate::simulation::*;
use ingress::*;
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;

/// Sizes of the fleet, rates, and for how long.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Ingresses in the fleet.
    pub ingresses: Vec<u64>,
    /// Requests that each gets in a second.
    pub rates: Vec<u64>,
    /// Ingresses that a customer's requests come through.
    pub spread: u16,
    /// Customers for each ingress.
    pub customers: u64,
    /// Seconds on the driven clock; the first is not counted.
    pub seconds: u64,
}

/// What one fleet sent, over all its ingresses.
#[derive(Debug, Default)]
pub struct Traffic {
    /// Requests that came, and those that were sent on.
    pub requests: u64,
    /// Requests sent on.
    pub sent: u64,
    /// Messages.
    pub messages: u64,
    /// Their bytes, without UDP's and IP's heads.
    pub bytes: u64,
    /// Messages that came faster than a receiver takes them.
    pub dropped: u64,
}

enum Due {
    Arrival(usize),
    Timer(usize, u32),
    Answer(usize, RequestId, BackendId, Micros),
    Message(usize, GatewayId, Vec<u8>),
}

/// Plays a fleet for `seconds`, the first of which is not counted.
pub fn play(ingresses: u16, rate: f64, spread: u16, customers: u64, seconds: u64, seed: u64) -> Traffic {
    let mut random = fastrand::Rng::with_seed(seed);
    let (mut traffic, mut schedule, mut actions) = (Traffic::default(), Schedule::default(), Vec::new());
    let of = |me| {
        let mut s = settings(ingresses, me);
        s.limits.peer_messages = true;
        // A quota that a customer uses a third of.
        let each = rate / customers as f64 * 3.0;
        (s.plans[0].rate, s.plans[0].burst) =
            (each * f64::from(spread), (each * f64::from(spread) * 3.0).max(4.0));
        s
    };
    let mut fleet: Vec<Gateway> =
        (0..ingresses).map(|g| Gateway::new(of(g), seed + u64::from(g), T0)).collect();
    for (g, gateway) in fleet.iter_mut().enumerate() {
        gateway.handle(T0, Event::Endpoints(EndpointUpdate::CachedSnapshot, whole(32)), &mut actions);
        actions.clear();
        schedule.put(T0 + random.u64(1..20_000), Due::Timer(g, 0));
        schedule.put(T0 + gap(&mut random, rate), Due::Arrival(g));
    }
    let (mut next, mut taken): (u64, HashMap<(usize, u64), u64>) = (0, HashMap::new());
    let most = settings(ingresses, 0).limits.peer_messages_per_second as u64;
    while let Some((now, due)) = schedule.take() {
        if now > T0 + seconds * S {
            break;
        }
        let counted = u64::from(now > T0 + S);
        let (g, event) = match due {
            Due::Timer(g, token) => (g, Event::Timer(token)),
            Due::Answer(g, id, backend, sent) => (g, served(id, 0, backend, now - sent)),
            Due::Message(g, from, bytes) => {
                // In tenths of a second, as a receiver may get a little ahead.
                let slot = taken.entry((g, now / (S / 10))).or_default();
                *slot += 1;
                if *slot > most.div_ceil(10) {
                    traffic.dropped += counted;
                    continue;
                }
                (g, Event::PeerMessage { from, bytes })
            }
            Due::Arrival(g) => {
                schedule.put(now + gap(&mut random, rate), Due::Arrival(g));
                (next, traffic.requests) = (next + 1, traffic.requests + counted);
                // A customer whose set holds this ingress.
                let first = (g as u64 + u64::from(ingresses) - random.u64(0..u64::from(spread)))
                    % u64::from(ingresses);
                let customer = CustomerId(first * customers + random.u64(0..customers));
                let request = Request {
                    id: RequestId(next),
                    deadline: now + 3 * S,
                    customer,
                    units: 1.0,
                    gateway_set_size: f64::from(spread),
                    gateway_set_start: first as f64,
                    ..Request::default()
                };
                (g, Event::Request(request))
            }
        };
        fleet[g].handle(now, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::SetTimer { delay, token } => schedule.put(now + delay, Due::Timer(g, token)),
                Action::Send { id, backend, .. } => {
                    traffic.sent += counted;
                    schedule.put(now + random.u64(60_000..160_000), Due::Answer(g, id, backend, now));
                }
                Action::SendToPeer { to: Some(to), bytes } => {
                    traffic.messages += counted;
                    traffic.bytes += counted * bytes.len() as u64;
                    let at = now + random.u64(500..3_000);
                    schedule.put(at, Due::Message(usize::from(to.0), GatewayId(g as u16), bytes));
                }
                _ => {}
            }
        }
    }
    traffic
}

impl Experiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("quota.ingresses", amounts_of(&self.ingresses)),
            ("quota.rates", amounts_of(&self.rates)),
            ("quota.spread", vec![f64::from(self.spread)]),
            ("quota.customers", vec![self.customers as f64]),
            ("quota.seconds", vec![self.seconds as f64]),
        ]
    }

    /// Runs it: a point for each size and rate, all for one ingress and second.
    pub fn run(&self, seed: u64, report: &mut Report) -> anyhow::Result<()> {
        for &ingresses in &self.ingresses {
            for &rate in &self.rates {
                let count = u16::try_from(ingresses)?;
                let spread = self.spread.min(count);
                let t = play(count, rate as f64, spread, self.customers, self.seconds, seed);
                let each = |n: u64| n as f64 / ingresses as f64 / (self.seconds - 1).max(1) as f64;
                report.point(
                    "quota",
                    json!({
                        "ingresses": ingresses, "rate": rate, "spread": spread, "customers": self.customers,
                        "requests": each(t.requests), "sent": each(t.sent), "messages": each(t.messages),
                        "bytes": each(t.bytes), "dropped": each(t.dropped),
                    }),
                )?;
            }
        }
        Ok(())
    }
}
