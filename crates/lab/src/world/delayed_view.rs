//! The true state of the servers as it was a while ago, for the policy that sees it late.

use super::endpoint::{EmulatedEndpoint, Life, Nanos};
use super::{DrawnParameters, SidecarState};
use std::collections::VecDeque;

/// How often the state is taken, in nanoseconds: well below the shortest delay of a load report in the shipped
/// scenarios (31 ms).
const SNAPSHOT_INTERVAL_NS: Nanos = 10_000_000;
/// How late the state is seen at a tier without load reports: the longest delay of the shipped scenarios is 150 ms,
/// the middle one about this.
const DELAY_WITHOUT_REPORTS_NS: Nanos = 100_000_000;

/// What of a server's true state says how long a call would take there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView {
    /// It is up, fails few requests at once and has room.
    pub accepts_work: bool,
    /// Work a second that each core does now.
    pub core_rate: f64,
    /// Cores.
    pub cores: f64,
    /// Requests that want a core.
    pub runnable: usize,
    /// All its slots are taken.
    pub slots_taken: bool,
    /// It is close to being slowed by crowding.
    pub near_crowding: bool,
}

impl EndpointView {
    /// The state of a server now.
    pub fn of(s: &EmulatedEndpoint, now: Nanos) -> EndpointView {
        let up = s.life == Life::Up && s.error_share <= 0.2 && !s.gray;
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

/// The states of the last moments, oldest first.
pub(super) struct ViewHistory {
    snapshots: VecDeque<(Nanos, Vec<EndpointView>)>,
    /// How late each tier's sidecars see the state of its servers.
    delays: Vec<Nanos>,
}

impl ViewHistory {
    /// Views for a day on which some decider wants them.
    pub(super) fn for_deciders(
        sidecars: &[SidecarState],
        parameters: &DrawnParameters,
    ) -> Option<ViewHistory> {
        let delays = parameters.report.iter().map(|r| r.map_or(DELAY_WITHOUT_REPORTS_NS, |r| r.1));
        let wanted = sidecars.iter().any(|s| s.decider.sees_late());
        wanted.then(|| ViewHistory { snapshots: VecDeque::new(), delays: delays.collect() })
    }

    /// Takes the state now, if it is time, and forgets what nobody sees any more.
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

    /// What a sidecar of a tier sees now; nothing in the first moments of a day.
    pub(super) fn visible(&self, now: Nanos, tier: usize) -> &[EndpointView] {
        self.newest(now, tier).map_or(&[], |(_, views)| views)
    }

    /// The newest state that is as old as a tier sees it, with the time at which it was taken.
    fn newest(&self, now: Nanos, tier: usize) -> Option<&(Nanos, Vec<EndpointView>)> {
        let delay = self.delays.get(tier).copied().unwrap_or(DELAY_WITHOUT_REPORTS_NS);
        self.snapshots.iter().rev().find(|(at, _)| at + delay <= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: a view that is fresher than its tier's delay, or one forgotten that a slower tier still sees.
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
