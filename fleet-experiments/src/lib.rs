//! Experiments on a fleet of ingresses at sizes that no single machine holds: simulated ingresses (the
//! library under a simulated clock) against models of backends, network, discovery and clients; and, for
//! what only sockets show, real `ingress` processes on loopback.
//!
//! [`experiment_file`] reads which experiments to run, [`experiments`] has them, and [`report`] takes their
//! results, through which [`fit`] draws lines.

pub mod client;
pub mod experiment;
pub mod experiment_file;
pub mod experiments;
pub mod fit;
pub mod ingress_process;
pub mod procfs;
pub mod report;
pub mod simulation;
pub mod stand_in;
pub mod statistics;
pub mod units;
