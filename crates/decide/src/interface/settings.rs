//! What a balancer is told at its start: classes, tenants, and what the environment allows and asks.

use super::ZoneId;
use std::time::Duration;

/// Everything a balancer is told at its start. Nothing here changes during its life.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// This balancer's index among its siblings, from 0.
    pub me: u32,
    /// How many balancers send to the same endpoints, this one included.
    pub siblings: u32,
    /// The zone this balancer runs in.
    pub zone: ZoneId,
    /// Calls come straight from clients, whose next tries shorten within their patience; otherwise from
    /// servers that are balancers' endpoints themselves.
    pub from_clients: bool,
    /// Classes of call, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a call beyond its tenant's quota, as a fraction of its class's worth.
    pub over_quota_worth: f64,
    /// How the list of endpoints is learned.
    pub discovery: Discovery,
    /// How endpoints report their load.
    pub reporting: Reporting,
    /// What the environment allows.
    pub limits: Limits,
    /// Figures of the obligations towards endpoints.
    pub obligations: Obligations,
    /// Price of one attempt that crosses zones, relative to the worth of a first try; 0 for none.
    pub cross_zone_price: f64,
}

/// A class of calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of arrival earns the full worth.
    pub aim: Duration,
    /// The aim grows by this multiple of the call's own expected work.
    pub aim_stretch: f64,
    /// The client's whole patience, over all its tries.
    pub give_up: Duration,
    /// Worth of an answer in time.
    pub worth: f64,
    /// Fraction of the worth that an answer after the aim still earns.
    pub late_worth: f64,
    /// Whether a call may run again.
    pub effect: Effect,
}

/// What running a call twice would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Endpoints within one `scope` discard repeats for `window` after the first send that may have run.
    Keyed {
        /// Which endpoints know of each other's keys.
        scope: Scope,
        /// How long they remember.
        window: Duration,
    },
    /// Must never run twice.
    Unsafe,
}

/// The endpoints that discard each other's repeats of a keyed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All endpoints.
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Calls a second, over all balancers, that count in full.
    pub quota_per_s: f64,
}

/// How the list of endpoints is learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Changes arrive by themselves.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`](super::Action::Subscribe); a balancer that has not
    /// asked for `ask_within` is taken to know what was listed that long ago.
    OnRequest {
        /// The longest silence allowed without a subscription.
        ask_within: Duration,
    },
}

/// How load reports arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// With answers and probe results.
    WithAnswers,
    /// With probe results only.
    ProbesOnly,
    /// Never.
    Never,
}

/// What the environment allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Attempts for one call, the first included.
    pub max_attempts: u32,
    /// Two attempts of one call may be out at once.
    pub may_duplicate: bool,
    /// [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub may_cancel: bool,
    /// [`Action::Probe`](super::Action::Probe) is permitted.
    pub may_probe: bool,
    /// The longest stay-away that a refused client heeds; `None` where clients are given no such hint.
    pub max_retry_after: Option<Duration>,
}

/// Figures of what a balancer owes to endpoints that start or stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Obligations {
    /// Share of its capacity that a fresh endpoint has at least.
    pub cold_from: f64,
    /// After this time an endpoint is warm.
    pub warm_after: Duration,
    /// A cold endpoint sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... over this time falls over.
    pub fall_after: Duration,
}
