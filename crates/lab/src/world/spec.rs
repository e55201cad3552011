//! What a server is made of; a seed draws it once.

use super::endpoint::Nanos;
use crate::scenario::Choke;

/// What a server is made of; drawn once.
#[derive(Clone, Debug)]
pub struct EndpointSpec {
    /// Its tier.
    pub tier: usize,
    /// Its kind, counted over all tiers' kinds in the tier's own order.
    pub kind: usize,
    /// Cores.
    pub cores: f64,
    /// Work done by a core in a second.
    pub speed: f64,
    /// Requests in work at once.
    pub slots: usize,
    /// Requests that wait for a slot.
    pub queue_capacity: usize,
    /// Efficiency lost with each request held for a core ...
    pub thrash: f64,
    /// ... beyond this many.
    pub thrash_at: f64,
    /// Share of capacity when fresh.
    pub cold_from: f64,
    /// Time to warm up, in seconds.
    pub cold_for: f64,
    /// Share of errors.
    pub error_rate: f64,
    /// A withdrawn request stops also when running.
    pub stops_running: bool,
    /// Connections held at most.
    pub connections: usize,
    /// Share of capacity that a full table takes.
    pub full_tax: f64,
    /// What crowding does.
    pub choke: Option<CrowdingSpec>,
}

/// The crowding slowdown, drawn once.
#[derive(Clone, Copy, Debug)]
pub struct CrowdingSpec {
    /// Requests waiting for each core.
    pub queue_per_core: f64,
    /// For so long.
    pub begins_after: Nanos,
    /// Times slower.
    pub slowdown: f64,
    /// Mostly idle for so long ends it, ...
    pub idle_time: Nanos,
    /// ... below this utilisation, ...
    pub idle_utilization: f64,
    /// ... or this time does.
    pub max_duration: Nanos,
}

impl CrowdingSpec {
    /// Draws the figures of a server.
    pub fn draw(c: &Choke, draw: &mut crate::draw::Draw) -> CrowdingSpec {
        // One share for all of them: mild or severe in every respect, so that ranges turned round in pairs
        // (a low bar with a short time) stay together.
        let share = draw.share();
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
