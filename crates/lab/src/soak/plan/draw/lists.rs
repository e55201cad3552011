//! Draws how the list is published, and changes of the list beyond single drains: endpoints that
//! come back, whole tiers that go and come back, and the style of discovery's answers. They have
//! generators of their own, so that the other faults of a seed stay as they were before these
//! existed.

use super::{PlanBuilder, seconds};
use crate::soak::plan::{AnswerStyle, DiscoveryCondition, Event};
use crate::soak::records::Timestamp;
use std::time::Duration;

/// Mixed into the seed for the draws of the deployment.
const DEPLOYMENT_SALT: u64 = 0x6465_706c_6f79;
/// Mixed into the seed for the draws of list changes.
const LISTS_SALT: u64 = 0x006c_6973_7473;
/// The largest of the tiers that are drawn small.
const SMALL_TIER: usize = 4;

impl PlanBuilder {
    /// Draws the size of the tier and how its list is published: one tier of three is small, one
    /// list of three is pushed, and one process of five starts without a list.
    pub(super) fn draw_deployment(&mut self) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ DEPLOYMENT_SALT);
        if random.u32(0..3) == 0 {
            self.plan.endpoints = random.usize(1..=SMALL_TIER);
        }
        self.plan.pushed = random.u32(0..3) == 0;
        for without in &mut self.plan.without_known_list {
            *without = random.u32(0..5) == 0;
        }
    }

    /// Draws the changes of the list after all other events.
    pub(super) fn draw_lists(&mut self, quiet_until: Timestamp) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ LISTS_SALT);
        if self.plan.pushed {
            self.adapt_conditions_to_agents();
        }
        self.draw_returns(&mut random);
        self.draw_answer_styles(&mut random);
        if random.u32(0..3) > 0 {
            self.draw_whole_tier(&mut random, quiet_until);
        }
    }

    /// An agent serves one machine: it is never crowded. While discovery is down, it is cut off.
    fn adapt_conditions_to_agents(&mut self) {
        for scheduled in &mut self.plan.events {
            if let Event::Discovery(condition) = &mut scheduled.event {
                *condition = match condition.is_reachable() {
                    true => DiscoveryCondition::Up,
                    false => DiscoveryCondition::AgentCutOff,
                };
            }
        }
    }

    /// Most endpoints that drain or are removed come back after some seconds.
    fn draw_returns(&mut self, random: &mut fastrand::Rng) {
        let withdrawn = self.plan.events.iter().filter_map(|scheduled| match scheduled.event {
            Event::Drain(endpoint) | Event::Remove(endpoint) => Some((scheduled.at, endpoint)),
            _ => None,
        });
        for (at, endpoint) in withdrawn.collect::<Vec<_>>() {
            let after = seconds(random, 0.5, 8.0);
            if random.u32(0..4) > 0 {
                self.add_event(at + after, Event::Return(endpoint));
            }
        }
    }

    /// Draws periods in which discovery answers in one style: with changes or with whole lists and,
    /// for a short time, with answers that cannot be applied.
    fn draw_answer_styles(&mut self, random: &mut fastrand::Rng) {
        let mut at = Duration::ZERO;
        while at < self.plan.length {
            let usual = if random.bool() { AnswerStyle::Changes } else { AnswerStyle::WholeList };
            self.add_event(at, Event::Answers(usual));
            at += seconds(random, 2.0, 9.0);
            if random.u32(0..3) == 0 {
                let spoilt = if random.bool() { AnswerStyle::NoList } else { AnswerStyle::Cut };
                self.add_event(at, Event::Answers(spoilt));
                at += seconds(random, 0.3, 3.0);
            }
        }
    }

    /// Draws a whole tier that goes, listens again before it is listed, and is listed.
    fn draw_whole_tier(&mut self, random: &mut fastrand::Rng, quiet_until: Timestamp) {
        let (begin, end) = (quiet_until.as_secs_f64(), self.plan.length.as_secs_f64());
        let mut at = seconds(random, begin, (end - 9.0).max(begin));
        while at.as_secs_f64() < end - 3.0 {
            if random.bool() {
                self.add_event(at, Event::DrainTier);
                at += seconds(random, 0.3, 4.0);
            }
            // The processes end before or after the list says so.
            let (removed_after, stopped_after) = (seconds(random, 0.0, 0.6), seconds(random, 0.0, 1.0));
            self.add_event(at + removed_after, Event::RemoveTier);
            self.add_event(at + stopped_after, Event::StopTier);
            at += seconds(random, 1.1, 5.0);
            self.add_event(at, Event::ListenTier);
            at += seconds(random, 0.0, 2.5);
            self.add_event(at, Event::ListTier { cold: random.bool() });
            at += seconds(random, 3.0, 12.0);
        }
    }
}
