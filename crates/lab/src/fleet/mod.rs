//! Simulation of whole fleets that run the membership protocol, in virtual time. Each member is the
//! state machine of `cottonpoint_peers` itself; links between members have faults, and processes
//! crash, are paused, leave and restart.
//!
//! One thread runs one fleet; equal setups and operations give equal logs. Not modelled are the
//! time that a process takes to handle a packet, which is microseconds against periods of seconds,
//! and queues in the network.

pub mod disabled;
pub mod experiments;
mod host;
mod inspect;
pub mod log;
mod queue;
mod setup;
pub mod simulation;

pub use disabled::Disabled;
pub use log::{Log, ViewChange};
pub use setup::{Operation, PacketCounts, SEAL_BYTES, SOCKET_QUEUE_PACKETS, Setup};
pub use simulation::Fleet;
