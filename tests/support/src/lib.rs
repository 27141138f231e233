//! Support for the integration tests of the ingress.
//!
//! Tests of the ingress process use clients, backends and discovery on loopback sockets, with a separate
//! address for each ingress. Tests of the decisions use gateways and fleets driven by events.
//!
//! The `stand-ins` library implements the protocols. Functions panic instead of returning errors, because a
//! failure of the support fails the test.

pub mod address;
pub mod backend;
pub mod client;
pub mod discovery;
pub mod fault_shim;
pub mod fleet;
pub mod gateway;
pub mod ingress;
pub mod resp;
pub mod settings;
pub mod wait;
