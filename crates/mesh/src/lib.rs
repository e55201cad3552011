//! The shell of a fleet of sidecars: a pool of workers over shared tables, around planes that know no sockets. See
//! `docs/design/peers.md`.
//!
//! [`Mesh::start`] is the way in: it takes a bound UDP socket and starts the workers. The sidecar's loop holds a
//! [`Handle`]: it reads whole snapshots and hands words over, and never takes a lock nor waits. Dropping the mesh ends
//! all workers.
//!
//! ```text
//! socket -> seal (no lock) -> plane (members' lock) -> snapshot (arc-swap) -> the sidecar's loop
//!                                  ^------ commands (bounded) -------------------'
//! ```

mod counts;
pub mod lock;
mod members;
mod pool;
pub mod seal;
pub mod tables;

pub use counts::Figures;
pub use pool::{Command, Handle, Mesh, Settings, Snapshot, WORKERS_LIMIT, id_of};

#[cfg(test)]
mod tests;
