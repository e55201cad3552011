//! The events scheduled in a simulation, in order of time.

use super::setup::Operation;
use cottonpoint_peers::Packet;
use std::cmp::Ordering;
use std::sync::Arc;

/// What happens at an event.
#[derive(Clone)]
pub(super) enum EventKind {
    /// A packet arrives.
    Packet { from: usize, to: usize, packet: Arc<Packet> },
    /// The wake of that number becomes due at a member.
    Wake { member: usize, number: u64 },
    /// An operation is applied to the fleet.
    Operation(Operation),
}

/// An event and its time.
#[derive(Clone)]
pub(super) struct ScheduledEvent {
    pub(super) at: u64,
    /// Sequence number: of events at the same time the one scheduled first comes first.
    pub(super) order: u64,
    pub(super) kind: EventKind,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.order == other.order
    }
}
impl Eq for ScheduledEvent {}
impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
