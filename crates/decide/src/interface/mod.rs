//! What a [`Balancer`](crate::Balancer) is told and what it asks for.
//!
//! Plain data, no behaviour. Times are points on the embedder's monotonic clock, in nanoseconds from any
//! origin; durations are [`std::time::Duration`].

mod calls;
mod events;
mod names;
mod settings;
mod targets;

pub use calls::*;
pub use events::*;
pub use names::*;
pub use settings::*;
pub use targets::*;
