//! Common parts of the stand-ins for clients, backends and discovery with which tests, the fault soak and the
//! fleet experiments run real ingresses.
//!
//! This library implements the protocols ([`resp`], [`request`], [`http`], [`endpoint`]), a server loop
//! ([`server`]) and the environment of an ingress process ([`process`]). Its users implement the stand-ins
//! themselves, with their measurements and faults.

pub mod endpoint;
pub mod http;
pub mod process;
pub mod request;
pub mod resp;
pub mod server;
