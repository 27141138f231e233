//! Loopback addresses for ingresses under test.

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Number of values used for an octet, which excludes values with a special meaning.
const OCTET_VALUES: u32 = 250;

/// Returns an unused port on a loopback address that no other test uses. The process id determines two
/// octets, and a counter the last.
///
/// # Panics
///
/// Panics if no port can be bound on the address.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let process = std::process::id();
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let second = 1 + process % OCTET_VALUES;
    let third = process / OCTET_VALUES % OCTET_VALUES;
    let fourth = 1 + number % OCTET_VALUES;
    let address = Ipv4Addr::new(127, second as u8, third as u8, fourth as u8);
    TcpListener::bind((address, 0)).unwrap().local_addr().unwrap()
}
