//! Whole fleets of the membership plane in virtual time: the very machine of `cottonpoint_peers` for each member,
//! links with faults between them, processes that crash, stand still, leave and start again.
//!
//! One thread plays one fleet; equal setups and scripts give equal logs. What is not modelled: the time that a
//! process takes to handle a packet (it is microseconds beside periods of seconds), and queues of the network.

pub mod log;
pub mod off;
pub mod plays;
mod seen;
mod setup;
pub mod world;

pub use log::{Change, Log};
pub use off::Off;
pub use setup::{Do, Flow, SEAL, SOCKET_HOLDS, Setup};
pub use world::Fleet;
