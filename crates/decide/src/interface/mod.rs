//! The events, actions and settings of a [`Balancer`](crate::Balancer).
//!
//! Plain data without behaviour. Times are points on the embedder's monotonic clock, in nanoseconds
//! from an arbitrary origin; durations are [`std::time::Duration`].

mod events;
mod names;
mod requests;
mod settings;
mod targets;

pub use events::*;
pub use names::*;
pub use requests::*;
pub use settings::*;
pub use targets::*;
