//! Stand-ins for clients, backends and discovery, each with its own threads. They inject the faults of the
//! plan and record their observations. The `stand-ins` library implements the protocols.

pub mod backend;
pub mod client;
pub mod customer;
pub mod discovery;
