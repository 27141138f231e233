//! Cold ramps over a whole fleet: half of the backends start anew at one moment, and what all ingresses together send to each
//! of them is counted in the rule's window.

use crate::experiment_file::Amounts;
use crate::report::Report;
use crate::simulation::*;
use ingress::*;
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;

/// The rule's window, and how a backend warms.
const SPAN: Micros = 3 * S;
const COLD_FROM: f64 = 0.23;
const COLD_TIME: Micros = 15 * S;
/// When half of the backends have started anew: the fleet has run for a while by then.
const START: Micros = T0 + 5 * S;

/// Ramps to play.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Backends.
    pub backends: u64,
    /// Requests that a warm backend bears in a second.
    pub capacity: f64,
    /// The rule's multiples.
    pub factors: Vec<f64>,
    /// What is asked for, in capacities of all backends when warm.
    pub loads: Vec<f64>,
    /// Whether answers take longer as a backend is asked for more than it bears.
    pub queues: bool,
    /// Ramps for each point.
    pub starts: u64,
}

/// A fleet, its backends, and what is asked of them.
#[derive(Clone, Debug)]
pub struct Ramp {
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Backends.
    pub backends: u64,
    /// Requests that a warm backend bears in a second.
    pub capacity: f64,
    /// The rule's multiple.
    pub factor: f64,
    /// What is asked for, in capacities of all backends when warm.
    pub load: f64,
    /// Answers take longer as a backend is asked for more than it bears; else 60 to 160 ms whatever is asked.
    pub queues: bool,
    /// Seed of all that is drawn.
    pub seed: u64,
}

/// What one ramp came to.
#[derive(Debug, Default)]
pub struct Outcomes {
    /// The fullest window at a cold backend, in what the rule lets pass there: the budget N, and 2 root N + 2 for chance.
    pub worst: f64,
    /// Sends to the cold ones, in what their budgets are over the whole ramp.
    pub used: f64,
    /// Requests served.
    pub answered: u64,
    /// Requests refused or failed.
    pub refused: u64,
}

/// What a backend that started at [`START`] may be sent until then, by the settings.
fn allowed(ramp: &Ramp, until: Micros) -> f64 {
    let age = until.saturating_sub(START).min(COLD_TIME) as f64 / S as f64;
    let cold = COLD_TIME as f64 / S as f64;
    ramp.factor * ramp.capacity * (COLD_FROM * age + (1.0 - COLD_FROM) * age * age / cold / 2.0)
}

enum Due {
    Arrival(usize),
    Answer(usize, RequestId, u16, usize, Micros),
    Timer(usize, u32),
    Told(usize),
}

/// Plays one ramp. Arrivals are Poisson and spread unevenly: the busiest ingress gets ten times what the idlest gets.
pub fn play(ramp: &Ramp) -> Outcomes {
    let mut random = fastrand::Rng::with_seed(ramp.seed);
    let started = |n: usize, now: Micros| if n % 2 == 0 && now >= START { START } else { 0 };
    let entry = |n: usize, now: Micros| listed(n as u64, Availability::Ready, started(n, now));
    let backends = ramp.backends as usize;
    let index: HashMap<BackendId, usize> = (0..backends).map(|n| (entry(n, T0).backend, n)).collect();
    let weights: Vec<f64> = (0..ramp.ingresses).map(|_| 0.3 + 2.7 * random.f64().powi(2)).collect();
    let each = ramp.load * ramp.capacity * ramp.backends as f64 / weights.iter().sum::<f64>();
    let (mut schedule, mut actions, mut fleet) = (Schedule::default(), Vec::new(), Vec::new());
    for (g, weight) in weights.iter().enumerate() {
        let mut s = settings(ramp.ingresses, g as u16);
        (s.rules.slow_start_floor, s.rules.slow_start_duration) = (COLD_FROM, COLD_TIME);
        (s.rules.overload_factor, s.rules.overload_window) = (ramp.factor, SPAN);
        let mut gateway = Gateway::new(s, ramp.seed * 1000 + g as u64, T0);
        let list = (0..backends).map(|n| entry(n, T0)).collect();
        gateway.handle(T0, Event::Endpoints(EndpointUpdate::CachedSnapshot, list), &mut actions);
        actions.clear();
        fleet.push(gateway);
        schedule.put(T0 + random.u64(1..20_000), Due::Timer(g, 0));
        schedule.put(T0 + gap(&mut random, each * weight), Due::Arrival(g));
        schedule.put(START, Due::Told(g));
    }
    let (mut out, mut next) = (Outcomes::default(), 0);
    let mut attempts: HashMap<RequestId, u16> = HashMap::new();
    let mut sends: Vec<Vec<Micros>> = vec![Vec::new(); backends];
    let mut free_at = vec![0.0; backends];
    while let Some((now, due)) = schedule.take() {
        if now > START + COLD_TIME {
            break;
        }
        let (g, event) = match due {
            Due::Timer(g, token) => (g, Event::Timer(token)),
            Due::Told(g) => {
                let list = (0..backends).step_by(2).map(|n| entry(n, now)).collect();
                (g, Event::Endpoints(EndpointUpdate::Delta, list))
            }
            Due::Answer(g, id, attempt, n, sent) => {
                out.answered += 1;
                attempts.remove(&id);
                (g, served(id, attempt, entry(n, now).backend, now - sent))
            }
            Due::Arrival(g) => {
                schedule.put(now + gap(&mut random, each * weights[g]), Due::Arrival(g));
                next += 1;
                let request = Request {
                    id: RequestId(next),
                    deadline: now + 3 * S,
                    customer: CustomerId(random.u64(0..1_000_000)),
                    units: 1.0,
                    gateway_set_size: 1.0,
                    gateway_set_start: g as f64,
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
                    let (n, attempt) = (index[&backend], attempts.entry(id).or_default());
                    let mut at = now + random.u64(60_000..160_000);
                    if ramp.queues {
                        let age = (now - started(n, now)) as f64 / COLD_TIME as f64;
                        let warm = (COLD_FROM + (1.0 - COLD_FROM) * age).min(1.0);
                        free_at[n] = f64::max(free_at[n], now as f64) + S as f64 / ramp.capacity / warm;
                        at += free_at[n] as Micros - now;
                    }
                    schedule.put(at, Due::Answer(g, id, *attempt, n, now));
                    *attempt += 1;
                    if started(n, now) > 0 {
                        sends[n].push(now);
                    }
                }
                Action::Reject { .. } | Action::Fail(_) => out.refused += 1,
                _ => {}
            }
        }
    }
    for times in sends.iter().step_by(2) {
        out.used += times.len() as f64 / allowed(ramp, START + COLD_TIME) / backends.div_ceil(2) as f64;
        for (i, from) in times.iter().enumerate() {
            let till = from + SPAN;
            if till > START + COLD_TIME {
                break;
            }
            let sent = times[i..].partition_point(|t| *t < till) as f64;
            let budget = allowed(ramp, till) - allowed(ramp, *from);
            out.worst = out.worst.max(sent / (budget + 2.0 * budget.sqrt() + 2.0));
        }
    }
    out
}

impl Experiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        let tenfold = |list: &[f64]| list.iter().map(|n| n * 10.0).collect();
        vec![
            ("cold.ingresses", vec![f64::from(self.ingresses)]),
            ("cold.backends", vec![self.backends as f64]),
            ("cold.capacity", vec![self.capacity]),
            ("cold.factors, in tenths", tenfold(&self.factors)),
            ("cold.loads, in tenths", tenfold(&self.loads)),
            ("cold.starts", vec![self.starts as f64]),
        ]
    }

    /// Runs it: a point for each multiple and load, the worst of its starts.
    pub fn run(&self, seed: u64, report: &mut Report) -> anyhow::Result<()> {
        for &factor in &self.factors {
            for &load in &self.loads {
                let ramp = |n| Ramp {
                    ingresses: self.ingresses,
                    backends: self.backends,
                    capacity: self.capacity,
                    factor,
                    load,
                    queues: self.queues,
                    seed: seed + n,
                };
                let outs: Vec<Outcomes> = (0..self.starts).map(|n| play(&ramp(n))).collect();
                let worst = outs.iter().map(|o| o.worst).fold(0.0, f64::max);
                let mean =
                    |of: &dyn Fn(&Outcomes) -> f64| outs.iter().map(of).sum::<f64>() / outs.len() as f64;
                report.point(
                    "cold",
                    json!({
                        "ingresses": self.ingresses, "backends": self.backends, "capacity": self.capacity,
                        "queues": self.queues, "factor": factor, "load": load, "starts": self.starts,
                        "worst": worst, "passed": outs.iter().filter(|o| o.worst > 1.0).count(),
                        "used": mean(&|o| o.used), "refused": mean(&|o| o.refused as f64),
                        "answered": mean(&|o| o.answered as f64),
                    }),
                )?;
            }
        }
        Ok(())
    }
}
