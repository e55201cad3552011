//! The laboratory: an emulator of fleets in virtual time that drives the same decision module as
//! the product, and the tools for experiments with it. See `docs/lab.md`.

pub mod draw;
pub mod experiment;
pub mod fleet;
pub mod gate;
pub mod live;
pub mod policies;
pub mod prove;
pub mod report;
pub mod rig;
pub mod scale;
pub mod scenario;
pub mod score;
pub mod soak;
pub mod store;
pub mod world;
