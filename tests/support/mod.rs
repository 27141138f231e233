//! What several test targets use. For the ingress as a process: clients, backends and discovery on loopback sockets,
//! where each test has an address of its own. For the decisions alone: gateways and fleets driven by events.
#![allow(missing_docs, dead_code)]

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
