//! What several test targets of the ingress share. For the ingress as a process: clients, backends and
//! discovery on loopback sockets, where each test has an address of its own. For the decisions alone:
//! gateways and fleets driven by events.
//!
//! The protocols of the stand-ins are those of the `stand-ins` library. What fails here fails the test:
//! functions panic rather than return errors.

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
