//! Experiments on a fleet of ingresses at sizes that no single machine holds: hollow ingresses (the decision module under a
//! driven clock) against models of backends, network, discovery and clients; and, for what only sockets show, real
//! `ingress` processes on loopback.

pub mod experiment_file;
pub mod experiments;
pub mod fit;
pub mod ingress_process;
pub mod report;
pub mod simulation;
pub mod stand_in;
