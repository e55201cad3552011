//! The true state of the servers as it was a while ago, for the policy that sees it late.

use super::server::{Life, Nanos, Server};
use super::{Drawn, Side};
use std::collections::VecDeque;

/// How often the state is taken, in nanoseconds: well below the shortest delay of a load report in the shipped
/// scenarios (31 ms).
const EVERY: Nanos = 10_000_000;
/// How late the state is seen at a tier without load reports: the longest delay of the shipped scenarios is 150 ms,
/// the middle one about this.
const UNREPORTED: Nanos = 100_000_000;

/// What of a server's true state says how long a call would take there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct View {
    /// It is up, fails few requests at once and has room.
    pub takes: bool,
    /// Work a second that each core does now.
    pub core: f64,
    /// Cores.
    pub cores: f64,
    /// Requests that want a core.
    pub wants_core: usize,
    /// All its slots are taken.
    pub slots_taken: bool,
    /// It is close to being slowed by crowding.
    pub near_crowding: bool,
}

impl View {
    /// The state of a server now.
    pub fn of(s: &Server, now: Nanos) -> View {
        let up = s.life == Life::Up && s.failing <= 0.2 && !s.gray;
        let wants = s.wants_core();
        View {
            takes: up && s.holds() < s.build.slots + s.build.room,
            core: s.capacity(now) / s.build.cores,
            cores: s.build.cores,
            wants_core: wants,
            slots_taken: s.holds() >= s.build.slots,
            near_crowding: s.build.choke.is_some_and(|c| wants as f64 > 0.6 * c.waiting * s.build.cores),
        }
    }
}

/// The states of the last moments, oldest first.
pub(super) struct Views {
    taken: VecDeque<(Nanos, Vec<View>)>,
    /// How late each tier's sidecars see the state of its servers.
    delays: Vec<Nanos>,
}

impl Views {
    /// Views for a day on which some decider wants them.
    pub(super) fn wanted(sidecars: &[Side], drawn: &Drawn) -> Option<Views> {
        let delays = drawn.report.iter().map(|r| r.map_or(UNREPORTED, |r| r.1));
        let wanted = sidecars.iter().any(|s| s.decider.sees_late());
        wanted.then(|| Views { taken: VecDeque::new(), delays: delays.collect() })
    }

    /// Takes the state now, if it is time, and forgets what nobody sees any more.
    pub(super) fn take(&mut self, now: Nanos, servers: &[Server]) {
        if self.taken.back().is_some_and(|(at, _)| now < at + EVERY) {
            return;
        }
        self.taken.push_back((now, servers.iter().map(|s| View::of(s, now)).collect()));
        let latest = self.delays.iter().copied().max().unwrap_or(0);
        while self.taken.get(1).is_some_and(|(at, _)| at + latest <= now) {
            self.taken.pop_front();
        }
    }

    /// What a sidecar of a tier sees now; nothing in the first moments of a day.
    pub(super) fn seen(&self, now: Nanos, tier: usize) -> &[View] {
        self.newest(now, tier).map_or(&[], |(_, views)| views)
    }

    /// The newest state that is as old as a tier sees it, with the time at which it was taken.
    fn newest(&self, now: Nanos, tier: usize) -> Option<&(Nanos, Vec<View>)> {
        let delay = self.delays.get(tier).copied().unwrap_or(UNREPORTED);
        self.taken.iter().rev().find(|(at, _)| at + delay <= now)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: a view that is fresher than its tier's delay, or one forgotten that a slower tier still sees.
    #[test]
    fn each_tier_sees_the_state_as_old_as_its_delay() {
        let mut views = Views { taken: VecDeque::new(), delays: vec![0, 30_000_000, 90_000_000] };
        assert!(views.seen(0, 1).is_empty(), "nothing was taken yet");
        for step in 0..50 {
            let now = step * EVERY;
            views.take(now, &[]);
            let age = |tier: usize| views.newest(now, tier).map(|(at, _)| now - at);
            assert_eq!(age(0), Some(0));
            assert_eq!(age(1), (step >= 3).then_some(30_000_000));
            assert_eq!(age(2), (step >= 9).then_some(90_000_000));
        }
        assert!(views.taken.len() <= 10, "{} kept", views.taken.len());
    }
}
