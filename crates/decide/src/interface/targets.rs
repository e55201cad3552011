//! Endpoints as discovery lists them, and the load that they report.

use super::{CellId, EndpointId, MachineTypeId, Time, ZoneId};

/// One endpoint as discovery lists it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint.
    pub id: EndpointId,
    /// The zone that it runs in.
    pub zone: ZoneId,
    /// The cell that it belongs to.
    pub cell: CellId,
    /// Its machine type.
    pub machine_type: MachineTypeId,
    /// Whether it takes requests.
    pub state: EndpointState,
    /// When its process last started; `None` if long ago.
    pub started: Option<Time>,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes the requests that it has; takes no new ones.
    Draining,
    /// Removed from the list.
    Removed,
}

/// How a list from discovery relates to the list already held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Delta,
    /// Everything; an endpoint that is absent is removed.
    Full,
}

/// The load that an endpoint reports of itself. Values may be stale, noisy or invalid; `None` if
/// not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Fraction of the CPU in use.
    pub utilization: Option<f64>,
    /// Requests completed per second.
    pub rate: Option<f64>,
}
