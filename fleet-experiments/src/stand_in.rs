//! Stand-in servers for what real ingresses talk to, on loopback.

pub mod backend;
pub mod discovery;
