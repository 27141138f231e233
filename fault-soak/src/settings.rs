//! The deployment that the soak runs, and the configuration of its ingresses.

use crate::plan::SoakPlan;
use std::net::SocketAddr;

/// How long the key of a keyed request is known, in microseconds.
pub const KEY_WINDOW: u64 = 1_500_000;
/// How long a draining backend may still get new requests, in microseconds.
pub const DRAIN_GRACE: u64 = 250_000;
/// The longest time that a client waits for an answer, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 2000;
/// How long past its time an answer is still waited for, in microseconds: a late answer is not taken for a
/// lost one.
pub const ANSWER_SLACK: u64 = 600_000;
/// The part of its capacity that a backend has at the start.
pub const SLOW_START_FLOOR: f64 = 0.1;
/// How long slow start takes, in microseconds.
pub const SLOW_START_DURATION: u64 = 6_000_000;
/// A backend in slow start is overloaded at this multiple of its present capacity ...
pub const OVERLOAD_FACTOR: f64 = 1.5;
/// ... over so long, in microseconds.
pub const OVERLOAD_WINDOW: u64 = 1_000_000;
/// The most attempts of a request.
pub const MAX_ATTEMPTS: usize = 3;

/// The name of the plan with a quota that no customer reaches.
pub const UNMETERED_PLAN: &str = "starter";
/// The name of the plan with a quota that customers exceed several times.
pub const METERED_PLAN: &str = "metered";
/// The rate of that quota, in units a second.
pub const METERED_RATE: f64 = 10.0;
/// The burst of that quota, in units.
pub const METERED_BURST: f64 = 20.0;
/// How many ingresses serve a customer of that plan.
pub const METERED_SET_SIZE: usize = 3;

/// The seeds of runs are so far apart that no two ingresses share one.
const SEED_STRIDE: u64 = 1000;

/// The addresses of an ingress and of what it talks to.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Where clients connect to each ingress.
    pub listen: Vec<SocketAddr>,
    /// Where each ingress gets messages of its peers.
    pub peers: Vec<SocketAddr>,
}

/// The configuration of one ingress.
pub fn config_json(
    plan: &SoakPlan,
    number: usize,
    addresses: &Addresses,
    discovery: SocketAddr,
    known_endpoints: &str,
) -> String {
    let listen = addresses.listen[number];
    let peer_listen = addresses.peers[number];
    let peers: Vec<String> = addresses.peers.iter().map(|address| format!("\"{address}\"")).collect();
    let peers = peers.join(",");
    let fleet_size = addresses.listen.len();
    let seed = plan.seed.wrapping_mul(SEED_STRIDE) + number as u64 + 1;
    let SoakPlan { hedging, cancellation, .. } = plan;
    format!(
        r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"{seed:016x}",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":512}},"known":{known_endpoints},
 "peer_listen":"{peer_listen}","peers":[{peers}],
 "settings":{{"n_instances":{fleet_size},"slot_no":{number},"zone":0,"tick_us":4000,"zones":["a"],"skus":["m"],
 "grades":[{{"name":"quote","effect":"repeatable","group":"all","window_us":0,"objective_us":800000,
  "give_up_us":2000000,"worth":1.0,"late_worth":0.0,"stream":false}},
  {{"name":"save","effect":"by_key","group":"all","window_us":{KEY_WINDOW},"objective_us":1000000,
  "give_up_us":2000000,"worth":1.0,"late_worth":0.0,"stream":false}},
  {{"name":"refer","effect":"once","group":"all","window_us":0,"objective_us":1000000,
  "give_up_us":2000000,"worth":1.0,"late_worth":0.0,"stream":false}}],
 "contracts":[{{"name":"{UNMETERED_PLAN}","quota_rate":1000000.0,"burst":1000000.0,"max_out":0,"never_over_rate":0.0,
  "ceiling_burst":0.0,"ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}},
  {{"name":"{METERED_PLAN}","quota_rate":{METERED_RATE:.1},"burst":{METERED_BURST:.1},"max_out":0,
  "never_over_rate":0.0,"ceiling_burst":0.0,"ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,
  "beyond_costs":1.0}}],
 "limits":{{"most_tries":{MAX_ATTEMPTS},"second_copies":{hedging},"cancelling":{cancellation},"may_probe":false,
  "peers":true,"retry_after":true,"max_retry_after_us":500000,"max_open":20000,"connect_timeout_us":250000,
  "keepalive_us":3000000}},
 "family_info":{{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false}},
 "rules":{{"answer_slack_us":16000,"drain_grace_us":{DRAIN_GRACE},"cold_from":{SLOW_START_FLOOR},"cold_us":{SLOW_START_DURATION},
  "overload_factor":{OVERLOAD_FACTOR},"fall_us":{OVERLOAD_WINDOW},"must_ask_in_us":10000000}},
 "membership_mode":"push","weights":"nominal","reporting":{{"how":"none","fields":[]}}}}}}"#
    )
}
