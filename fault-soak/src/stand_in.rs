//! Stand-ins for clients, backends and discovery, each with threads of its own.

pub mod backend;
pub mod client;
pub mod discovery;
pub mod resp;
