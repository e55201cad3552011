//! The events, actions and settings of a [`Balancer`](crate::Balancer).
//!
//! Plain data without behaviour. Times are points on the embedder's monotonic clock, in nanoseconds
//! from an arbitrary origin; durations are [`std::time::Duration`].

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
