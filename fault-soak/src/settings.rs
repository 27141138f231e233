//! The deployment under test and the configuration of its ingresses.

use crate::plan::SoakPlan;
use std::net::SocketAddr;

/// Time for which an idempotency key is valid, in microseconds.
pub const KEY_WINDOW: u64 = 1_500_000;
/// Time for which a draining backend may still receive new requests, in microseconds.
pub const DRAIN_GRACE: u64 = 250_000;
/// Maximum timeout of a request, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 2000;
/// Time for which clients wait for an answer beyond the timeout of the request, in microseconds, so that a
/// late answer does not count as lost.
pub const ANSWER_SLACK: u64 = 600_000;
/// Fraction of its capacity that a backend has at its start.
pub const SLOW_START_FLOOR: f64 = 0.1;
/// Duration of slow start, in microseconds.
pub const SLOW_START_DURATION: u64 = 6_000_000;
/// Multiple of its current capacity at which a backend in slow start is overloaded.
pub const OVERLOAD_FACTOR: f64 = 1.5;
/// Window over which the load of a backend is compared with its capacity, in microseconds.
pub const OVERLOAD_WINDOW: u64 = 1_000_000;
/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: usize = 3;

/// Name of the customer plan with a quota that no customer reaches.
pub const UNMETERED_PLAN: &str = "starter";
/// Name of the customer plan with a quota that customers exceed several times over.
pub const METERED_PLAN: &str = "metered";
/// Rate of the metered plan's quota, in units per second.
pub const METERED_RATE: f64 = 10.0;
/// Burst of the metered plan's quota, in units.
pub const METERED_BURST: f64 = 20.0;
/// Number of ingresses that serve a customer of the metered plan.
pub const METERED_SET_SIZE: usize = 3;

/// Difference between the ingress seeds of consecutive runs. It exceeds the number of ingresses, so that no
/// two ingresses share a seed.
const SEED_STRIDE: u64 = 1000;

/// The addresses of all ingresses, indexed by number.
#[derive(Clone, Debug)]
pub struct Addresses {
    /// Addresses for clients.
    pub listen: Vec<SocketAddr>,
    /// Addresses for messages from peers.
    pub peers: Vec<SocketAddr>,
}

/// Returns the configuration of one ingress as JSON.
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
