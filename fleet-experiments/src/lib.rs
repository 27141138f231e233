//! Experiments on fleets of ingresses that are larger than one machine can run. Most of them drive the
//! `ingress` library under a simulated clock, against models of backends, network, discovery and clients.
//! Those whose results depend on sockets or processes run real `ingress` processes on loopback.
//!
//! [`experiment_file`] reads the experiments to run, [`experiments`] implements them, [`report`] writes
//! their results, and [`fit`] fits straight lines to the results.

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
