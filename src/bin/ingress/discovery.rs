//! Discovery: the list of backends, and the watch that keeps it fresh over HTTP/1.1. While discovery is silent or
//! broken the list stays as it was, and the watch is begun anew with growing pauses.

mod endpoint_list;
mod http;
mod location_names;
mod poll;
mod watch;

#[cfg(test)]
pub use endpoint_list::EndpointEntry;
pub use endpoint_list::EndpointList;
pub use http::max_body_bytes;
pub use location_names::LocationNames;
pub use watch::{Watch, WatchOptions};

#[cfg(test)]
mod tests;
