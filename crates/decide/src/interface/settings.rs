//! The settings of a balancer: classes, tenants, and what the environment allows and requires.

use super::{ClassId, TenantId, ZoneId};
use std::time::Duration;

/// The settings of a balancer. [`Balancer::reconfigure`](crate::Balancer::reconfigure) replaces them.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Index of this balancer among those that send to the same endpoints, from 0.
    pub balancer_index: u32,
    /// Number of balancers that send to the same endpoints, this one included.
    pub balancer_count: u32,
    /// The zone that this balancer runs in.
    pub zone: ZoneId,
    /// Whether requests come directly from clients, whose retries have only what is left of the
    /// client timeout. Otherwise they come from processes that are themselves endpoints of
    /// other balancers.
    pub from_clients: bool,
    /// Classes of requests, indexed by [`ClassId`](super::ClassId).
    pub classes: Vec<Class>,
    /// Tenants, indexed by [`TenantId`](super::TenantId); may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's quota, as a fraction of its class's worth.
    pub over_quota_worth: f64,
    /// How the endpoint list is learned.
    pub discovery: Discovery,
    /// How endpoints report their load.
    pub reporting: Reporting,
    /// What the environment allows.
    pub limits: Limits,
    /// Slow start: the load that endpoints can bear while they are cold.
    pub slow_start: SlowStart,
    /// Price of one attempt that crosses zones, relative to the worth of a request without client
    /// retries; 0 for none.
    pub cross_zone_price: f64,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this time of arrival has its full worth.
    pub latency_target: Duration,
    /// The latency target grows by this multiple of the request's own expected work.
    pub latency_target_stretch: f64,
    /// How long a client waits in all, over its retries.
    pub client_timeout: Duration,
    /// Worth of an answer within the latency target.
    pub worth: f64,
    /// Fraction of the worth that an answer after the latency target still has.
    pub late_worth: f64,
    /// Whether a request may run again.
    pub effect: Effect,
}

/// What happens when a request runs twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Repeats are harmless.
    Safe,
    /// Endpoints within one `scope` discard repeats for `window` after the first send that may have
    /// run.
    Keyed {
        /// Which endpoints know each other's idempotency keys.
        scope: Scope,
        /// How long they keep a key.
        window: Duration,
    },
    /// The request must never run twice.
    Unsafe,
}

/// The endpoints that discard each other's repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second, over all balancers, that have their full worth.
    pub quota_per_s: f64,
}

/// How the endpoint list is learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Discovery sends changes without being asked.
    Pushed,
    /// Changes arrive only after [`Action::Subscribe`](super::Action::Subscribe). A balancer that
    /// has not subscribed for `ask_within` is assumed to know what was listed that long ago.
    OnRequest {
        /// The longest time allowed without a subscription.
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
    /// Attempts per request, the first included.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be outstanding at once.
    pub may_duplicate: bool,
    /// Whether [`Action::Cancel`](super::Action::Cancel) is permitted.
    pub may_cancel: bool,
    /// Whether [`Action::Probe`](super::Action::Probe) is permitted.
    pub may_probe: bool,
    /// The longest retry delay that a refused client heeds; `None` where clients are given no such
    /// hint.
    pub max_retry_after: Option<Duration>,
}

/// How an endpoint warms up after its start, and what load makes it fall over while it is cold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Least share of its full capacity that an endpoint has when it starts.
    pub initial_capacity: f64,
    /// Time after which an endpoint is warm.
    pub warm_after: Duration,
    /// A cold endpoint falls over when it is sent more than this multiple of its present capacity
    /// over `overload_window`.
    pub overload_multiple: f64,
    /// The time over which that load is counted.
    pub overload_window: Duration,
}

/// Relates the numbers of the classes and tenants of new settings to those of the settings before
/// them. A position in a list identifies a class or a tenant within its own settings only.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Renumbering {
    /// For each class of the new settings, its id before; `None` for a class that is new.
    pub classes: Vec<Option<ClassId>>,
    /// For each tenant of the new settings, its id before; `None` for a tenant that is new.
    pub tenants: Vec<Option<TenantId>>,
}
