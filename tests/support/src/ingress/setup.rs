//! Configuration and start of ingress processes.

use super::{built_program, IngressProcess};
use crate::address::unused_address;
use crate::backend::Backend;
use crate::fault_shim;
use crate::wait::wait_until;
use fault_plan::FaultPlan;
use stand_ins::endpoint::{list_json, ListKind};
use stand_ins::resp::ping;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::Stdio;
use std::time::Duration;

/// Settings of a small deployment, in which tests replace texts.
const SETTINGS: &str = r#"{
 "n_instances":1,"slot_no":0,"zone":0,"tick_us":4000,"zones":["hall-a","hall-b"],"skus":["std-3c","small-2c"],
 "grades":[
  {"name":"quote","effect":"repeatable","group":"all","window_us":5000000,"objective_us":400000,
   "give_up_us":1000000,"worth":2.0,"late_worth":0.0,"stream":false},
  {"name":"save","effect":"by_key","group":"cell","window_us":3000000,"objective_us":1200000,
   "give_up_us":3000000,"worth":2.0,"late_worth":0.2,"stream":false},
  {"name":"refer","effect":"once","group":"all","window_us":5000000,"objective_us":2000000,
   "give_up_us":8000000,"worth":3.0,"late_worth":0.0,"stream":false}],
 "contracts":[
  {"name":"starter","quota_rate":1.5,"burst":7.0,"max_out":0,"never_over_rate":0.0,"ceiling_burst":0.0,
   "ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}],
 "limits":{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":true,"peers":PEERS,
  "retry_after":true,"max_retry_after_us":2000000,"max_open":20000,"connect_timeout_us":250000,
  "keepalive_us":15000000},
 "family_info":{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false},
 "rules":{"answer_slack_us":16000,"drain_grace_us":1000000,"cold_from":0.28,"cold_us":16000000,
  "overload_factor":4.0,"fall_us":1000000,"must_ask_in_us":10000000},
 "membership_mode":"push","weights":"nominal","reporting":{"how":"answers","fields":["load_share"]}}"#;

/// Address of discovery for tests without discovery: nothing listens on this port.
const UNUSED_DISCOVERY: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
/// Time after which a PING to a starting ingress is repeated.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// The parts of an ingress's configuration and environment that tests change.
pub struct IngressSetup {
    /// Entries of the initial endpoint list, as JSON.
    pub known_endpoints: Vec<String>,
    /// Address of discovery; `None` for an address on which nothing listens.
    pub discovery: Option<SocketAddr>,
    /// Maximum number of sockets.
    pub socket_limit: usize,
    /// Maximum memory, in MB.
    pub memory_limit_mb: usize,
    /// Limit on descriptors set by the operating system, if below the limit in the configuration.
    pub system_descriptor_limit: Option<usize>,
    /// Settings of the deployment, as JSON.
    settings: String,
    /// System call faults to inject.
    pub faults: Option<FaultPlan>,
    /// Additional keys of the configuration, as JSON.
    pub extra_keys: String,
}

impl IngressSetup {
    /// Returns the setup of an ingress with an initial list of these backends, and without discovery.
    pub fn with_backends(backends: &[&Backend]) -> IngressSetup {
        let known_endpoints = backends
            .iter()
            .enumerate()
            .map(|(index, backend)| backend.endpoint_json(&format!("s-{index}"), "up"))
            .collect();
        let settings = SETTINGS.replace("PEERS", "false");
        IngressSetup {
            known_endpoints,
            discovery: None,
            socket_limit: 1024,
            memory_limit_mb: 192,
            system_descriptor_limit: None,
            settings,
            faults: None,
            extra_keys: String::new(),
        }
    }

    /// Replaces a text in the settings.
    ///
    /// # Panics
    ///
    /// Panics if the settings do not contain the text.
    pub fn replace_setting(&mut self, from: &str, to: &str) {
        assert!(self.settings.contains(from), "no {from} in the settings {}", self.settings);
        self.settings = self.settings.replace(from, to);
    }

    /// Returns the configuration of an ingress that listens on `address`, as JSON.
    pub fn config_json(&self, address: SocketAddr) -> String {
        let discovery = self.discovery.unwrap_or(UNUSED_DISCOVERY);
        format!(
            r#"{{"name":"n0","listen":"{address}","discovery":"{discovery}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},{}
 "known":{},"settings":{}}}"#,
            self.memory_limit_mb,
            self.socket_limit,
            self.extra_keys,
            list_json(1, ListKind::Snapshot, &self.known_endpoints),
            self.settings
        )
    }

    /// Starts the program built with the tests, and waits until it is ready.
    pub fn start(&self) -> IngressProcess {
        let limit =
            self.system_descriptor_limit.map_or(String::new(), |limit| format!("ulimit -n {limit}; "));
        let faults = self.faults.as_ref().map_or(String::new(), fault_shim::export_commands);
        self.start_with(&(limit + &faults + &built_program()))
    }

    /// Starts an ingress with a shell command, and waits until it is ready.
    pub fn start_with(&self, program: &str) -> IngressProcess {
        self.start_logging_to(program, Stdio::piped())
    }

    /// Starts an ingress with a shell command that logs to `log`, and waits until it is ready.
    pub fn start_logging_to(&self, program: &str, log: Stdio) -> IngressProcess {
        let address = unused_address();
        let ingress = IngressProcess::spawn_logging_to(&self.config_json(address), address, program, log);
        wait_until("the ingress is ready", || ping(address, PING_TIMEOUT).unwrap_or(false));
        ingress
    }
}
