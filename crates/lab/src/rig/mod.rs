//! The fault rig: runs many processes of the built program on loopback and injects faults into them
//! and into the network between them. See `docs/rig.md`.
//!
//! - `links` models faults of datagram links, without sockets.
//! - `relay` applies that model to real UDP sockets, and `stream` relays TCP with faults of its own.
//! - `process` starts, signals and reads the log of one process.
//! - `options` describes a fleet, and `files` writes the files that its members read.
//! - `fleet` combines all of these.
//! - `watch` waits until members' views of the fleet satisfy a condition.

pub mod files;
pub mod fleet;
pub mod links;
pub mod options;
pub mod process;
pub mod relay;
pub mod stream;
#[cfg(test)]
mod tests;
pub mod view;
pub mod watch;
