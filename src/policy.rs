//! Every decision of a gateway and every tuned constant, a file for each concern. No I/O, no clock: what is random comes
//! from the seed alone.

mod admission;
mod gateway;
mod load_balancing;
mod load_shedding;
mod outlier_detection;
mod quota;
mod retry;
