//! Tiers of servers: kinds of machine, load reports, connections, crowding.

use super::classes::whole;
use super::figures::{Length, Lengths, Span, ms};
use serde::Deserialize;

/// A tier of servers.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// Its name.
    pub name: String,
    /// How many servers; a range draws a whole number.
    pub servers: Span,
    /// Sidecars before the first tier. Later tiers have one beside each server of the tier above.
    #[serde(default)]
    pub sidecars: Option<Span>,
    /// Share of a request's work that each call of this tier does.
    #[serde(default = "whole_share")]
    pub work: f64,
    /// Calls that each request of this tier makes to the next, on average, one after another.
    #[serde(default)]
    pub calls: Span,
    /// A call to the next tier is told the time that its caller has left, else it has its class's patience.
    #[serde(default = "yes")]
    pub passes_deadline: bool,
    /// Kinds of machine.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Load reports.
    #[serde(default)]
    pub report: Option<Report>,
    /// Connections.
    #[serde(default)]
    pub connections: Connections,
    /// What crowding does.
    #[serde(default)]
    pub choke: Option<Choke>,
}

fn whole_share() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// A kind of machine.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its share of the tier, against those of the other kinds.
    #[serde(default = "whole")]
    pub share: Span,
    /// Cores.
    #[serde(default = "one")]
    pub cores: u32,
    /// Work done by a core in a unit of time.
    #[serde(default = "whole")]
    pub speed: Span,
    /// How much machines of the kind differ in speed (coefficient of variation).
    #[serde(default)]
    pub speed_cv: Span,
    /// Requests in work at once, for each core.
    #[serde(default = "slots")]
    pub slots: Span,
    /// Requests that wait for a slot, for each core; more are turned away.
    #[serde(default = "queue")]
    pub queue: Span,
    /// Efficiency lost with each request held for a core ...
    #[serde(default)]
    pub thrash: Span,
    /// ... beyond this many.
    #[serde(default = "many")]
    pub thrash_at: Span,
    /// Share of its capacity that a fresh server has.
    #[serde(default = "whole")]
    pub cold_from: Span,
    /// How long it takes to warm up.
    #[serde(default)]
    pub cold_for: Lengths,
    /// Share of requests that it answers with an error.
    #[serde(default)]
    pub error_rate: Span,
    /// A withdrawn request stops also when it is running.
    #[serde(default)]
    pub stops_running: bool,
}

fn one() -> u32 {
    1
}

fn slots() -> Span {
    Span::just(16.0)
}

fn queue() -> Span {
    Span::just(16.0)
}

fn many() -> Span {
    Span::just(1e9)
}

/// Load reports, which come with answers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// How often they are made anew.
    pub period: Lengths,
    /// How old a report is at least before it is handed out.
    pub delay: Lengths,
    /// How noisy its values are (coefficient of variation).
    #[serde(default)]
    pub noise: Span,
}

/// Connections to the servers of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Work that a new connection costs the server.
    pub handshake_work: Length,
    /// Round trips before the first request can go out on a new one.
    pub handshake_trips: f64,
    /// An idle one is closed after this time.
    pub idle: Length,
    /// One that does not come up in this time is given up.
    pub timeout: Length,
    /// Connections that a server holds for each core.
    pub cap: f64,
    /// Share of its capacity that a full table takes.
    pub full_tax: f64,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections {
            handshake_work: Length(3_000_000),
            handshake_trips: 2.0,
            idle: ms(30_000),
            timeout: ms(50),
            cap: 750.0,
            full_tax: 0.25,
        }
    }
}

/// What crowding does: a server that has many requests waiting for its cores for long turns slower, and stays
/// so until it has been mostly idle for a while.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choke {
    /// Requests waiting for each core.
    pub waiting: Span,
    /// For how long.
    pub over: Lengths,
    /// How many times slower it turns.
    pub slower: Span,
    /// It recovers after being mostly idle for so long ...
    pub rest: Lengths,
    /// ... which is below this utilisation, ...
    pub below: Span,
    /// ... or after this time.
    pub most: Lengths,
}
