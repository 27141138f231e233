//! Stand-ins on loopback for what real ingresses talk to; the protocols are those of the `stand-ins` library.

pub mod backend;
pub mod discovery;
