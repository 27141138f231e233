//! Stand-ins on loopback for the backends and the discovery service of real ingresses. The `stand-ins`
//! library implements their protocols.

pub mod backend;
pub mod discovery;
