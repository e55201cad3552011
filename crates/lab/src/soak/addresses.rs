//! Loopback addresses and ports for the stand-ins and processes of a run. Each soak process uses a
//! loopback address that no other soak on this machine uses and hands out each port once, so
//! traffic sent to a stand-in that has stopped reaches nobody.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// The allocated ports lie below the range from which the system chooses ephemeral ports.
const FIRST_PORT: u16 = 10_000;
const PORT_COUNT: u16 = 20_000;
/// The lowest second byte of a host address; lower networks, such as 127.0 and 127.1, are left to
/// other programs.
const FIRST_NETWORK: u8 = 64;

/// Number of ports allocated so far, over all runs of this process.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// The loopback address for the soak with the given process id. Process ids have 22 bits, so
/// concurrent processes never share an address.
pub fn host_of(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    Ipv4Addr::new(127, FIRST_NETWORK | high, middle, low)
}

/// The loopback address of this process's runs.
pub fn host() -> Ipv4Addr {
    host_of(std::process::id())
}

/// Listens on a port that no run of this process has used. Ports repeat only after all of them have
/// been allocated.
pub fn listen() -> io::Result<TcpListener> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_COUNT {
        let port = FIRST_PORT + ALLOCATED.fetch_add(1, Ordering::Relaxed) % PORT_COUNT;
        match TcpListener::bind(SocketAddr::from((host(), port))) {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => last_error = error,
            result => return result,
        }
    }
    Err(last_error)
}

#[cfg(test)]
mod tests;
