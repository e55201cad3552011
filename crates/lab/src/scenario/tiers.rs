//! Tiers of endpoints: machine kinds, load reports, connections, crowding.

use super::classes::whole;
use super::figures::{DurationNs, DurationRange, ValueRange, ms};
use serde::Deserialize;

/// A tier of endpoints.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tier {
    /// The name of the tier.
    pub name: String,
    /// Number of endpoints; a range draws a whole number.
    pub servers: ValueRange,
    /// Number of sidecars in front of the first tier. Later tiers have one beside each endpoint of
    /// the tier above.
    #[serde(default)]
    pub sidecars: Option<ValueRange>,
    /// Share of a request's work that each call of this tier does.
    #[serde(default = "whole_share")]
    pub work: f64,
    /// Mean number of calls that each request of this tier makes to the next, one after another.
    #[serde(default)]
    pub calls: ValueRange,
    /// A call to the next tier has the deadline of its request; otherwise it has its class's client
    /// timeout.
    #[serde(default = "yes")]
    pub passes_deadline: bool,
    /// Machine kinds.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Load reports, if the tier's endpoints send them.
    #[serde(default)]
    pub report: Option<Report>,
    /// Connections.
    #[serde(default)]
    pub connections: Connections,
    /// The slowdown of crowded endpoints, if there is one.
    #[serde(default)]
    pub choke: Option<Crowding>,
}

fn whole_share() -> f64 {
    1.0
}

fn yes() -> bool {
    true
}

/// A machine kind.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Kind {
    /// The name of the kind.
    pub name: String,
    /// Its share of the tier, as a weight relative to the other kinds.
    #[serde(default = "whole")]
    pub share: ValueRange,
    /// Number of cores.
    #[serde(default = "one")]
    pub cores: u32,
    /// Work that a core does per unit of time.
    #[serde(default = "whole")]
    pub speed: ValueRange,
    /// Coefficient of variation of the speed of the kind's machines.
    #[serde(default)]
    pub speed_cv: ValueRange,
    /// Requests in service at once, per core.
    #[serde(default = "slots")]
    pub slots: ValueRange,
    /// Requests that may queue for a slot, per core; more are rejected.
    #[serde(default = "queue")]
    pub queue: ValueRange,
    /// Efficiency lost for each request held per core ...
    #[serde(default)]
    pub thrash: ValueRange,
    /// ... beyond this many.
    #[serde(default = "many")]
    pub thrash_at: ValueRange,
    /// Share of its capacity that a newly started endpoint has.
    #[serde(default = "whole")]
    pub cold_from: ValueRange,
    /// Time to warm up.
    #[serde(default)]
    pub cold_for: DurationRange,
    /// Share of requests answered with an error.
    #[serde(default)]
    pub error_rate: ValueRange,
    /// A cancelled request is stopped even when it is already running.
    #[serde(default)]
    pub stops_running: bool,
}

fn one() -> u32 {
    1
}

fn slots() -> ValueRange {
    ValueRange::single(16.0)
}

fn queue() -> ValueRange {
    ValueRange::single(16.0)
}

fn many() -> ValueRange {
    ValueRange::single(1e9)
}

/// Load reports, which are sent with answers.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// Interval between reports.
    pub period: DurationRange,
    /// Least age of a report when it is handed out.
    pub delay: DurationRange,
    /// Coefficient of variation of the noise in its values.
    #[serde(default)]
    pub noise: ValueRange,
}

/// Connections to the endpoints of a tier.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Connections {
    /// Work that a new connection costs the endpoint.
    pub handshake_work: DurationNs,
    /// Round trips before the first request can be sent on a new connection.
    pub handshake_trips: f64,
    /// An idle connection is closed after this time.
    pub idle: DurationNs,
    /// An attempt to connect fails after this time.
    pub timeout: DurationNs,
    /// The most connections that an endpoint holds, per core.
    pub cap: f64,
    /// Share of the capacity lost when the connection table is full.
    pub full_tax: f64,
}

impl Default for Connections {
    fn default() -> Connections {
        Connections {
            handshake_work: DurationNs(3_000_000),
            handshake_trips: 2.0,
            idle: ms(30_000),
            timeout: ms(50),
            cap: 750.0,
            full_tax: 0.25,
        }
    }
}

/// The effect of crowding: an endpoint with many requests waiting for its cores for long becomes
/// slower, and stays so until it has been mostly idle for a while.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crowding {
    /// Crowding begins when more than this many requests wait for each core ...
    pub waiting: ValueRange,
    /// ... for this long.
    pub over: DurationRange,
    /// Factor by which the endpoint becomes slower.
    pub slower: ValueRange,
    /// The endpoint recovers after it has been mostly idle for this long ...
    pub rest: DurationRange,
    /// ... that is, below this utilization, ...
    pub below: ValueRange,
    /// ... or after this time in any case.
    pub most: DurationRange,
}
