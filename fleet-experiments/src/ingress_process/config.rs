//! Configuration of a real ingress process.

use crate::simulation::ZONES;
use crate::stand_in::discovery::{list_json, ListKind};
use std::net::SocketAddr;

/// Added to the number of an ingress to get its seed, so that no seed is 0.
const SEED_OFFSET: u64 = 7;

/// Source of an ingress's endpoint updates.
#[derive(Clone, Copy, Debug)]
pub enum DiscoveryMode {
    /// An agent on the same machine, which receives each change at once.
    Push,
    /// A discovery service that all ingresses poll.
    Poll,
}

impl DiscoveryMode {
    /// Returns the value of `membership_mode` in the settings.
    pub fn name(self) -> &'static str {
        match self {
            DiscoveryMode::Push => "push",
            DiscoveryMode::Poll => "ask",
        }
    }
}

/// Endpoint list in the configuration of an ingress, used until discovery answers.
#[derive(Clone, Debug)]
pub struct InitialList {
    /// Version that the ingress states in its first poll.
    pub version: u64,
    /// Entries encoded by [`endpoint_json`](crate::stand_in::discovery::endpoint_json).
    pub endpoints: Vec<String>,
}

/// Configuration of one ingress of a fleet.
#[derive(Clone, Debug)]
pub struct IngressConfig {
    /// Number of the ingress in the fleet, from 0.
    pub number: u64,
    /// Number of ingresses that the settings state for the fleet.
    pub fleet_size: u64,
    /// Address of the discovery service.
    pub discovery: SocketAddr,
    /// Source of endpoint updates.
    pub mode: DiscoveryMode,
    /// Endpoint list used until discovery answers.
    pub initial_list: InitialList,
    /// Memory limit, in MB.
    pub memory_mb: u64,
}

impl IngressConfig {
    /// Returns the text of the configuration file.
    pub fn to_json(&self, listen: SocketAddr) -> String {
        let IngressConfig { number, fleet_size, discovery, memory_mb, .. } = self;
        let initial_list =
            list_json(self.initial_list.version, ListKind::Snapshot, &self.initial_list.endpoints);
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("\"z{zone}\"")).collect();
        let seed = number + SEED_OFFSET;
        let zones = zones.join(",");
        let mode = self.mode.name();
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":1024}},"known":{initial_list},
 "settings":{{"n_instances":{fleet_size},"slot_no":{number},"zone":0,"tick_us":4000,"zones":[{zones}],"skus":["m"],
 "grades":[{{"name":"quote","effect":"repeatable","group":"all","window_us":0,"objective_us":1000000,
  "give_up_us":3000000,"worth":1.0,"late_worth":0.0,"stream":false}}],
 "contracts":[{{"name":"starter","quota_rate":1000000.0,"burst":1000000.0,"max_out":0,"never_over_rate":0.0,
  "ceiling_burst":0.0,"ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}}],
 "limits":{{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":false,"peers":false,"retry_after":true,
  "max_retry_after_us":2000000,"max_open":20000,"connect_timeout_us":250000,"keepalive_us":15000000}},
 "family_info":{{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false}},
 "rules":{{"answer_slack_us":16000,"drain_grace_us":250000,"cold_from":0.28,"cold_us":16000000,
  "overload_factor":4.0,"fall_us":1000000,"must_ask_in_us":10000000}},
 "membership_mode":"{mode}","weights":"nominal","reporting":{{"how":"none","fields":[]}}}}}}"#
        )
    }
}
