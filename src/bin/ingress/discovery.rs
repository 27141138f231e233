//! Client of the discovery service: parses endpoint lists and watches them by long polling over HTTP/1.1.

mod connection;
mod earlier_polls;
mod endpoint_list;
mod error;
mod http;
mod list_version;
mod location_names;
mod poll;
mod watch;

pub use endpoint_list::{EndpointEntry, EndpointList};
pub use error::{EndpointListError, HttpError, PollError};
pub use http::max_body_bytes;
pub use location_names::LocationNames;
pub use watch::{PollHealth, Watch, WatchOptions};

#[cfg(test)]
mod tests;
