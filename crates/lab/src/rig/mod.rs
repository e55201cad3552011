//! The fault rig: what stands between members of a fleet, and what is done to them.

pub mod links;
pub mod relay;
#[cfg(test)]
mod tests;
