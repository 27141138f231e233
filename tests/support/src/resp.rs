//! RESP2 as clients and backends of the ingress write and read it.

pub use stand_ins::resp::{encode_command, read_value};
