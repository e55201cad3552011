//! What a server is made of; a seed draws it once.

use super::server::Nanos;
use crate::scenario::Choke;

/// What a server is made of; drawn once.
#[derive(Clone, Debug)]
pub struct Build {
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
    pub room: usize,
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
    pub choke: Option<Crowding>,
}

/// The crowding slowdown, drawn once.
#[derive(Clone, Copy, Debug)]
pub struct Crowding {
    /// Requests waiting for each core.
    pub waiting: f64,
    /// For so long.
    pub over: Nanos,
    /// Times slower.
    pub slower: f64,
    /// Mostly idle for so long ends it, ...
    pub rest: Nanos,
    /// ... below this utilisation, ...
    pub below: f64,
    /// ... or this time does.
    pub most: Nanos,
}

impl Crowding {
    /// Draws the figures of a server.
    pub fn draw(c: &Choke, draw: &mut crate::draw::Draw) -> Crowding {
        // One share for all of them: mild or severe in every respect, so that ranges turned round in pairs
        // (a low bar with a short time) stay together.
        let share = draw.share();
        Crowding {
            waiting: c.waiting.at(share),
            over: c.over.at(share),
            slower: c.slower.at(share),
            rest: c.rest.at(share),
            below: c.below.at(share),
            most: c.most.at(share),
        }
    }
}
