//! The properties of an emulated endpoint, drawn once from the seed.

use super::endpoint::Nanos;
use crate::scenario::Crowding;

/// The properties of an emulated endpoint.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// The tier, by index.
    pub tier: usize,
    /// The machine kind, by its index within the tier.
    pub kind: usize,
    /// Number of cores.
    pub cores: f64,
    /// Work that a core does per second.
    pub speed: f64,
    /// Requests in service at once.
    pub slots: usize,
    /// Requests that may queue for a slot.
    pub queue_capacity: usize,
    /// Efficiency lost for each request held per core ...
    pub thrash: f64,
    /// ... beyond this many.
    pub thrash_at: f64,
    /// Share of the capacity that a newly started process has.
    pub cold_from: f64,
    /// Time to warm up, in seconds.
    pub cold_for: f64,
    /// Share of requests answered with an error.
    pub error_rate: f64,
    /// A cancelled request is stopped even when it is already running.
    pub stops_running: bool,
    /// The most connections that the endpoint holds.
    pub connections: usize,
    /// Share of the capacity lost when the connection table is full.
    pub full_tax: f64,
    /// The slowdown under crowding, if the tier has one.
    pub choke: Option<CrowdingSpec>,
}

/// The slowdown of a crowded endpoint.
#[derive(Clone, Copy, Debug)]
pub struct CrowdingSpec {
    /// Crowding: more than this many requests wait for each core ...
    pub queue_per_core: f64,
    /// ... for this long.
    pub begins_after: Nanos,
    /// Factor by which the endpoint becomes slower.
    pub slowdown: f64,
    /// The slowdown ends after the endpoint has been mostly idle for this long, ...
    pub idle_time: Nanos,
    /// ... that is, below this utilization, ...
    pub idle_utilization: f64,
    /// ... or after this time in any case.
    pub max_duration: Nanos,
}

impl CrowdingSpec {
    /// Draws the values of one endpoint.
    pub fn draw(c: &Crowding, draw: &mut crate::draw::RandomStream) -> CrowdingSpec {
        // One draw for all values, so that an endpoint is mild or severe in every respect, and
        // values that belong together (a low threshold with a short time) stay together.
        let share = draw.uniform();
        CrowdingSpec {
            queue_per_core: c.waiting.at(share),
            begins_after: c.over.at(share),
            slowdown: c.slower.at(share),
            idle_time: c.rest.at(share),
            idle_utilization: c.below.at(share),
            max_duration: c.most.at(share),
        }
    }
}
