//! Limits that several parts of a client connection share.

use crate::resp;
use ingress::Duration;

/// Maximum size of a single read, in bytes.
pub const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum size of an incomplete command for which no memory is reserved, in bytes. It suffices for most
/// commands, and for all connections together it is a small part of the memory.
pub const MAX_UNRESERVED_INPUT_BYTES: usize = 2 * 1024;
/// Memory that is reserved for a longer incomplete command, and for the input that is read behind it, in bytes.
pub const INPUT_RESERVATION_BYTES: usize = resp::MAX_COMMAND_BYTES + READ_BUFFER_BYTES;
/// Maximum size of a reply, in bytes: that of a value, which is a bulk string.
pub const MAX_REPLY_BYTES: usize = resp::MAX_BULK_STRING_BYTES;
/// Time for a client to read its last replies; each further input restarts it.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
