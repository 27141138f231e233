//! Stand-ins for clients, backends and discovery, each with threads of its own. They inject the faults of the
//! plan and record what they observe; the protocols are those of the `stand-ins` library.

pub mod backend;
pub mod client;
pub mod customer;
pub mod discovery;
