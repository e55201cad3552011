//! Where the stand-ins and processes of a run listen: on an address of loopback that no other soak on this machine uses, and
//! on ports that are not given twice. What a process sends to a place that has been left then reaches nobody.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};

/// Ports below those that the system gives to connections of its own accord.
const FIRST_PORT: u16 = 10_000;
const PORTS: u16 = 20_000;
/// The second byte of the first host: 127.0 and the next are left to others.
const FIRST_NETWORK: u8 = 64;

/// Ports given so far, by all runs of this process.
static GIVEN: AtomicU16 = AtomicU16::new(0);

/// The address of loopback for a soak by its process id: ids have 22 bits, and no two processes that run have the same.
pub fn host_of(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    Ipv4Addr::new(127, FIRST_NETWORK | high, middle, low)
}

/// The address of this process's runs.
pub fn host() -> Ipv4Addr {
    host_of(std::process::id())
}

/// Listens on a port that no run of this process has used, as far as there are any.
pub fn listen() -> io::Result<TcpListener> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORTS {
        let port = FIRST_PORT + GIVEN.fetch_add(1, Ordering::Relaxed) % PORTS;
        match TcpListener::bind(SocketAddr::from((host(), port))) {
            Err(why) if why.kind() == io::ErrorKind::AddrInUse => last = why,
            listening => return listening,
        }
    }
    Err(last)
}

#[cfg(test)]
mod tests;
