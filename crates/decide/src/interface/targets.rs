//! What discovery and the endpoints themselves say of endpoints.

use super::{CellId, EndpointId, KindId, Time, ZoneId};

/// One endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Its identity.
    pub id: EndpointId,
    /// Where it is.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine type.
    pub kind: KindId,
    /// Whether it takes calls.
    pub state: EndpointState,
    /// When its process last started; `None`: long ago.
    pub started: Option<Time>,
}

/// Whether an endpoint takes calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes calls.
    Ready,
    /// Finishes what it has; nothing new may go to it.
    Draining,
    /// Removed.
    Gone,
}

/// How a list from discovery relates to the list already held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Delta,
    /// Everything; what is absent is gone.
    Full,
}

/// An endpoint's account of its own load. Values may be stale, noisy or odd; `None` where not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of CPU occupied.
    pub utilization: Option<f64>,
    /// Calls completed a second.
    pub rate: Option<f64>,
}
