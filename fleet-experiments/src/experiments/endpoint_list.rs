//! The endpoint list in the module: what a whole list, the change of one backend, and a zone that is lost and comes back
//! cost at each size.

use crate::experiment_file::{whole as amounts_of, Amounts};
use crate::report::Report;
use crate::simulation::*;
use hdrhistogram::Histogram;
use ingress::*;
use serde::Deserialize;
use serde_json::json;
use std::time::Instant;

/// Sizes of the list to measure at.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Backends in the list.
    pub backends: Vec<u64>,
    /// Ingresses in the fleet.
    pub ingresses: u16,
    /// Changes of one backend at each size.
    pub changes: u64,
}

impl Experiment {
    /// What is to be checked.
    pub fn amounts(&self) -> Amounts {
        vec![
            ("list.backends", amounts_of(&self.backends)),
            ("list.ingresses", vec![f64::from(self.ingresses)]),
            ("list.changes", vec![self.changes as f64]),
        ]
    }

    /// Runs it: a point for each size, times in microseconds, memory in bytes.
    pub fn run(&self, seed: u64, report: &mut Report) -> anyhow::Result<()> {
        let mut kept = Vec::new();
        for &backends in &self.backends {
            let mut actions = Vec::new();
            let before = resident();
            let mut gateway = Gateway::new(settings(self.ingresses, 0), seed, T0);
            let mut now = T0;
            let mut take = |gateway: &mut Gateway, kind, list| {
                now += 4_000;
                let began = Instant::now();
                gateway.handle(now, Event::Endpoints(kind, list), &mut actions);
                actions.clear();
                began.elapsed().as_secs_f64() * 1e6
            };
            let first = take(&mut gateway, EndpointUpdate::Snapshot, whole(backends));
            let memory = resident().saturating_sub(before);
            let again = take(&mut gateway, EndpointUpdate::Snapshot, whole(backends));
            let mut change = Histogram::<u64>::new(3)?;
            for n in 0..self.changes {
                let state = if n % 2 == 0 { Availability::Draining } else { Availability::Ready };
                let entry = listed(n / 2 * 7919 % backends, state, 0);
                change.record((take(&mut gateway, EndpointUpdate::Delta, vec![entry]) * 1e3) as u64)?;
            }
            let zone = |state, started| -> Vec<Endpoint> {
                (0..backends).step_by(ZONES as usize).map(|n| listed(n, state, started)).collect()
            };
            let lost = take(&mut gateway, EndpointUpdate::Delta, zone(Availability::Gone, 0));
            let back = take(&mut gateway, EndpointUpdate::Delta, zone(Availability::Ready, T0));
            kept.push(gateway); // what one frees must not pass for what the next one does not take
            report.point(
                "list",
                json!({
                    "backends": backends, "whole_us": first, "whole_again_us": again,
                    "change_us": change.value_at_quantile(0.5) as f64 / 1e3,
                    "change_p99_us": change.value_at_quantile(0.99) as f64 / 1e3,
                    "changes": self.changes, "zone": backends.div_ceil(ZONES),
                    "zone_lost_us": lost, "zone_back_us": back, "memory": memory,
                }),
            )?;
        }
        Ok(())
    }
}
