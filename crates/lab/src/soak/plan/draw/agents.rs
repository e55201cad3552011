//! Draws outages of the agents that push the list: endpoints leave right before one, and processes
//! that were killed before that start within it. They have a generator of their own, so that the other
//! faults of a seed stay as they were before these existed.

use super::{PlanBuilder, seconds};
use crate::soak::plan::{DiscoveryCondition, Event};
use crate::soak::records::Timestamp;

/// Mixed into the seed for the draws of these outages.
const AGENTS_SALT: u64 = 0x61_6765_6e74;
/// The longest time between two of them.
const LONGEST_PAUSE_S: f64 = 4.0;
/// The most processes that start, and the most endpoints that leave, in one of them.
const MOST_STARTS: usize = 4;
const MOST_DRAINS: usize = 2;

impl PlanBuilder {
    /// Draws outages of agents until the end of the run.
    pub(super) fn draw_agent_outages(&mut self, quiet_until: Timestamp) {
        if !self.plan.pushed {
            return;
        }
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ AGENTS_SALT);
        let mut at = quiet_until + seconds(&mut random, 2.0, 5.0);
        while at < self.plan.length {
            at = self.draw_agent_outage(&mut random, at) + seconds(&mut random, 1.0, LONGEST_PAUSE_S);
        }
    }

    /// Draws an outage that begins at `at`. Returns its end.
    fn draw_agent_outage(&mut self, random: &mut fastrand::Rng, at: Timestamp) -> Timestamp {
        let end = at + seconds(random, 3.5, 6.0);
        self.add_event(at, Event::Discovery(DiscoveryCondition::AgentCutOff));
        self.add_event(end, Event::Discovery(DiscoveryCondition::Up));
        for _ in 0..random.usize(1..=MOST_DRAINS) {
            let endpoint = random.usize(0..self.plan.endpoints);
            let before = seconds(random, 0.1, 0.6);
            self.add_event(at.saturating_sub(before), Event::Drain(endpoint));
            self.add_event(end + seconds(random, 0.5, 3.0), Event::Return(endpoint));
        }
        for _ in 0..random.usize(1..=MOST_STARTS) {
            let slot = random.usize(0..self.plan.members);
            let killed_at = at.saturating_sub(seconds(random, 0.7, 1.4));
            let started_at = at + seconds(random, 0.1, 1.5);
            self.add_event(killed_at, Event::KillFor(slot, started_at.saturating_sub(killed_at)));
        }
        end
    }
}
