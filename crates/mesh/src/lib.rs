//! The runtime of a fleet of sidecars: a pool of workers with shared tables, around protocol state
//! machines without I/O. See `docs/design/peers.md`.
//!
//! The entry point is [`Mesh::start`], which takes a bound UDP socket and starts the workers. The
//! sidecar's event loop holds a [`Handle`] to read whole snapshots and send commands; it never
//! takes a lock and never blocks. Dropping the mesh stops all workers.
//!
//! ```text
//! socket -> seal (no lock) -> state machine (members lock) -> snapshot (arc-swap) -> the sidecar's event loop
//!                                     ^-------- commands (bounded) -----------------------'
//! ```

mod counts;
pub mod lock;
mod members;
mod pool;
pub mod seal;
pub mod tables;

pub use counts::Stats;
pub use pool::{Command, Handle, Mesh, Settings, Snapshot, WORKERS_LIMIT, member_id};

#[cfg(test)]
mod tests;
