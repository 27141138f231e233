//! A soak under faults: real ingresses on loopback between stand-ins for clients, backends and discovery, with troubles
//! that overlap in time, drawn from a seed before the run. An oracle judges what the stand-ins saw.

pub mod counters;
pub mod ingress;
pub mod oracle;
pub mod plan;
pub mod record;
pub mod report;
pub mod run;
pub mod settings;
pub mod stand_in;
