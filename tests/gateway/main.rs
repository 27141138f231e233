//! The decisions of one gateway, or of a few, by events and actions on a clock of the test; a module for each concern.

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
