//! Tests of the ingress program through its sockets, with simulated backends, discovery, peers and clients.

use test_support as support;

mod backend_connections;
mod client_connections;
mod discovery;
mod forwarding;
mod logging;
mod peers;
mod protocol_errors;
mod reload;
mod requests;
mod resource_limits;
mod retry;
mod shutdown;
mod startup;
