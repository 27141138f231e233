//! Decisions of one gateway or of a few, driven by events and a simulated clock; one module per concern.

use test_support as support;

mod admission;
mod concurrency_quota;
mod gossip;
mod hard_limit;
mod load_balancing;
mod load_shedding;
mod outlier_detection;
mod rate_quota;
mod retry;
