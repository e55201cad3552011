//! The project's laboratory: an emulator of fleets in virtual time that drives the very decision module, and
//! what is needed to experiment with it. See `docs/lab.md`.

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
