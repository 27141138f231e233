//! A soak test with fault injection.
//!
//! Real ingresses run on loopback between stand-ins for clients, backends and discovery. A plan of faults
//! that overlap in time is drawn from a seed before the run. After the run, an oracle checks what the
//! stand-ins observed.

pub mod context;
pub mod counters;
pub mod ingress;
pub mod oracle;
pub mod plan;
pub mod record;
pub mod report;
pub mod rotation;
pub mod run;
pub mod scenario;
pub mod settings;
pub mod stand_in;
pub mod testbed;
