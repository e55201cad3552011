//! The true state of the endpoints as it was some time ago, for the policy that sees it with a
//! delay.

use super::endpoint::{EmulatedEndpoint, Nanos, ProcessState};
use super::{DrawnParameters, SidecarState};
use std::collections::VecDeque;

/// Interval between snapshots: well below the shortest delay of a load report in the shipped
/// scenarios (31 ms).
const SNAPSHOT_INTERVAL_NS: Nanos = 10_000_000;
/// Delay at a tier without load reports: the longest delay of the shipped scenarios is 150 ms, the
/// median is about this.
const DELAY_WITHOUT_REPORTS_NS: Nanos = 100_000_000;

/// The part of an endpoint's true state that determines how long a request would take there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// The endpoint is up, fails few requests at once and has room in its slots or queue.
    pub accepts_work: bool,
    /// Work per second that each core does now.
    pub core_rate: f64,
    /// Number of cores.
    pub cores: f64,
    /// Requests that run or wait for a core.
    pub runnable: usize,
    /// All slots are taken.
    pub slots_taken: bool,
    /// The endpoint is close to the slowdown of crowding.
    pub near_crowding: bool,
}

impl EndpointView {
    /// The state of an endpoint now.
    pub fn of(s: &EmulatedEndpoint, now: Nanos) -> EndpointView {
        let up = s.process_state == ProcessState::Up && s.error_share <= 0.2 && !s.gray;
        let wants = s.runnable();
        EndpointView {
            accepts_work: up && s.occupancy() < s.spec.slots + s.spec.queue_capacity,
            core_rate: s.capacity(now) / s.spec.cores,
            cores: s.spec.cores,
            runnable: wants,
            slots_taken: s.occupancy() >= s.spec.slots,
            near_crowding: s
                .spec
                .choke
                .is_some_and(|c| wants as f64 > 0.6 * c.queue_per_core * s.spec.cores),
        }
    }
}

/// Recent snapshots, oldest first.
pub(super) struct ViewHistory {
    snapshots: VecDeque<(Nanos, Vec<EndpointView>)>,
    /// The delay with which each tier's sidecars see the state of its endpoints.
    delays: Vec<Nanos>,
}

impl ViewHistory {
    /// A history for the run if any decider uses it.
    pub(super) fn for_deciders(
        sidecars: &[SidecarState],
        parameters: &DrawnParameters,
    ) -> Option<ViewHistory> {
        let delays = parameters.report.iter().map(|r| r.map_or(DELAY_WITHOUT_REPORTS_NS, |r| r.1));
        let wanted = sidecars.iter().any(|s| s.decider.uses_delayed_state());
        wanted.then(|| ViewHistory { snapshots: VecDeque::new(), delays: delays.collect() })
    }

    /// Takes a snapshot if the interval has passed, and drops those that no tier needs any more.
    pub(super) fn record(&mut self, now: Nanos, endpoints: &[EmulatedEndpoint]) {
        if self.snapshots.back().is_some_and(|(at, _)| now < at + SNAPSHOT_INTERVAL_NS) {
            return;
        }
        self.snapshots.push_back((now, endpoints.iter().map(|s| EndpointView::of(s, now)).collect()));
        let latest = self.delays.iter().copied().max().unwrap_or(0);
        while self.snapshots.get(1).is_some_and(|(at, _)| at + latest <= now) {
            self.snapshots.pop_front();
        }
    }

    /// What a sidecar of a tier sees now; empty until the first snapshot is old enough.
    pub(super) fn visible(&self, now: Nanos, tier: usize) -> &[EndpointView] {
        self.newest(now, tier).map_or(&[], |(_, views)| views)
    }

    /// The newest snapshot that is at least as old as the tier's delay, with the time at which it
    /// was taken.
    fn newest(&self, now: Nanos, tier: usize) -> Option<&(Nanos, Vec<EndpointView>)> {
        let delay = self.delays.get(tier).copied().unwrap_or(DELAY_WITHOUT_REPORTS_NS);
        self.snapshots.iter().rev().find(|(at, _)| at + delay <= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a view that is fresher than its tier's delay, and against dropping a snapshot
    /// that a slower tier still needs.
    #[test]
    fn each_tier_sees_the_state_as_old_as_its_delay() {
        let mut views = ViewHistory { snapshots: VecDeque::new(), delays: vec![0, 30_000_000, 90_000_000] };
        assert!(views.visible(0, 1).is_empty(), "nothing was taken yet");
        for step in 0..50 {
            let now = step * SNAPSHOT_INTERVAL_NS;
            views.record(now, &[]);
            let age = |tier: usize| views.newest(now, tier).map(|(at, _)| now - at);
            assert_eq!(age(0), Some(0));
            assert_eq!(age(1), (step >= 3).then_some(30_000_000));
            assert_eq!(age(2), (step >= 9).then_some(90_000_000));
        }
        assert!(views.snapshots.len() <= 10, "{} kept", views.snapshots.len());
    }
}
