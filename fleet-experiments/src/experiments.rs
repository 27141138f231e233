//! One module for each experiment: first those on the library under a simulated clock, then those on real
//! processes.

pub mod discovery_outage;
pub mod endpoint_list;
pub mod quota_messages;
pub mod request_cost;
pub mod slow_start;

pub mod crowded_discovery;
pub mod ingress_endpoint_list;
pub mod ingress_latency;
pub mod ingress_restart;
