//! What the stand-ins for clients, backends and discovery share, in front of which tests, the fault soak and
//! the fleet experiments run real ingresses.
//!
//! A stand-in itself, with what it counts, records or breaks, belongs to its user. This library has the
//! protocols ([`resp`], [`request`], [`http`], [`endpoint`]), the loop that serves connections ([`server`]),
//! and the environment in which an ingress is started ([`process`]).

pub mod endpoint;
pub mod http;
pub mod process;
pub mod request;
pub mod resp;
pub mod server;
