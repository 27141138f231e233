//! Loopback addresses for programs under test.

use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// An unused port at a loopback address that no other test has.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let (pid, number) = (std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
    let ip = std::net::Ipv4Addr::new(
        127,
        1 + (pid % 250) as u8,
        (pid / 250 % 250) as u8,
        (number % 250) as u8 + 1,
    );
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}
