//! Experiments on a fleet of ingresses at sizes that no single machine holds: hollow ingresses (the decision module under a
//! driven clock) against models of backends, network, discovery and clients; and, for what only sockets show, real
//! `ingress` processes on loopback.

pub mod cold;
pub mod discovery;
pub mod fit;
pub mod list;
pub mod model;
pub mod processes;
pub mod quota;
pub mod real;
pub mod report;
pub mod request;
pub mod spec;
pub mod standin;
