//! RESP2 encoding and parsing for clients and backends of the ingress.

pub use stand_ins::resp::{encode_command, encode_served, read_value};
