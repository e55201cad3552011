//! The cottonpoint program: command line, configuration, and the wiring of the crates below it.
//!
//! The crates below are re-exported here: the decision module and its interface
//! (`cottonpoint-decide`), the platform's settings, the core (`sidecar`) and the socket layer
//! (`net`).

pub mod active;
pub mod cli;
pub mod config;
pub mod console;
pub mod fleet;
pub mod log;
pub mod metrics;
pub mod operator;
pub mod orders;
pub mod pid_file;
pub mod serve;
pub mod shared_ids;
pub mod state;
pub mod taken_out;
mod takeover;

pub use cottonpoint_core as sidecar;
pub use cottonpoint_decide::*;
pub use cottonpoint_net as net;
pub use cottonpoint_settings as settings;
