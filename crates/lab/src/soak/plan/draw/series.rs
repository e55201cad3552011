//! Draws series of configurations with other classes, and upgrades with orders on both consoles.
//! They have generators of their own, so that the other faults of a seed stay as they were before
//! these existed.

use super::{PlanBuilder, seconds};
use crate::soak::classes::ClassList;
use crate::soak::plan::{Behaviour, Event, Side};
use crate::soak::records::Timestamp;

/// Mixed into the seed for the draws of configurations with other classes.
const CLASSES_SALT: u64 = 0x636c_6173_7365;
/// Mixed into the seed for the draws of upgrades.
const UPGRADES_SALT: u64 = 0x7570_6772_6164;

/// Endpoints are slow and fail from this long before a series of configurations until this long
/// after it, in seconds: so there are open requests under each, and requests that fail under the
/// last.
const TROUBLE_BEFORE_S: f64 = 0.3;
const TROUBLE_AFTER_S: f64 = 4.0;
/// The new process of an upgrade serves within this time, in seconds. The orders follow.
const SERVES_WITHIN_S: f64 = 1.0;
/// An upgrade with its orders takes this long, in seconds.
const UPGRADE_TAKES_S: f64 = 6.0;
/// The first series and the first upgrade begin within this time, in seconds: most other faults
/// come later, and leave less traffic.
const FIRST_WITHIN_S: f64 = 2.5;
/// The longest time between two orders, in seconds. A process looks for the other's orders every
/// 0.2 s.
const BETWEEN_ORDERS_S: f64 = 0.3;

impl PlanBuilder {
    /// Half of the runs have series of configurations with other classes.
    pub(super) fn draw_class_series(&mut self) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ CLASSES_SALT);
        if random.bool() {
            return;
        }
        self.plan.first_classes = ClassList::FIRST_OF_SERIES;
        for number in 0..random.usize(1..=2) {
            let first = self.draw_start(&mut random, number, TROUBLE_AFTER_S + 2.0);
            let longest_interval = [0.02, 0.1, 0.3][random.usize(0..3)];
            let mut last = first;
            let slots: Vec<usize> =
                (0..random.usize(1..=3)).map(|_| random.usize(0..self.plan.members)).collect();
            for slot in slots {
                let mut at = first + seconds(&mut random, 0.0, 0.2);
                for _ in 0..random.usize(1..=12) {
                    self.add_event(at, Event::Classes(slot, ClassList::draw(&mut random)));
                    at += seconds(&mut random, 0.005, longest_interval);
                }
                last = last.max(at);
            }
            self.draw_trouble_around(&mut random, first, last);
        }
    }

    /// Draws the start of something that takes so many seconds: early for the first one of a run,
    /// at any time for others.
    fn draw_start(&self, random: &mut fastrand::Rng, number: usize, takes_s: f64) -> Timestamp {
        let latest = if number == 0 { FIRST_WITHIN_S } else { self.plan.length.as_secs_f64() - takes_s };
        seconds(random, 0.5, latest)
    }

    /// A part of the endpoints hangs and another part fails during a series of configurations.
    fn draw_trouble_around(&mut self, random: &mut fastrand::Rng, first: Timestamp, last: Timestamp) {
        let mut endpoints: Vec<usize> = (0..self.plan.endpoints).collect();
        random.shuffle(&mut endpoints);
        let part = endpoints.len().div_ceil(4);
        let behaviours = [Behaviour::Hangs, Behaviour::Errors].into_iter().flat_map(|b| [b].repeat(part));
        for (endpoint, behaviour) in endpoints.into_iter().zip(behaviours) {
            let begins = first.saturating_sub(seconds(random, 0.0, TROUBLE_BEFORE_S));
            self.add_event(begins, Event::Endpoint(endpoint, behaviour));
            let ends = last + seconds(random, 2.0, TROUBLE_AFTER_S);
            self.add_event(ends, Event::Endpoint(endpoint, Behaviour::Serves));
        }
    }

    /// Half of the runs have upgrades: for a time two processes run in one slot, and operators give
    /// orders on both consoles.
    pub(super) fn draw_upgrades(&mut self) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ UPGRADES_SALT);
        if random.bool() {
            return;
        }
        for number in 0..random.usize(1..=3) {
            let slot = random.usize(0..self.plan.members);
            let begins = self.draw_start(&mut random, number, UPGRADE_TAKES_S);
            self.add_event(begins, Event::Upgrade(slot));
            let mut at = begins + seconds(&mut random, SERVES_WITHIN_S, 2.0 * SERVES_WITHIN_S);
            // Few endpoints, so that some get several orders. The first one stays out.
            let mut endpoints: Vec<usize> = (0..self.plan.endpoints).collect();
            random.shuffle(&mut endpoints);
            endpoints.truncate(3);
            let sides = if random.bool() { [Side::Older, Side::Newer] } else { [Side::Newer, Side::Older] };
            for (side, endpoint) in sides.into_iter().zip(endpoints.clone()) {
                self.add_event(at, Event::Order { slot, side, endpoint, offline: true });
                at += seconds(&mut random, 0.0, BETWEEN_ORDERS_S / 2.0);
            }
            for _ in 0..random.usize(0..=6) {
                let Some(&endpoint) = endpoints.get(random.usize(1..=2)) else { continue };
                let (side, offline) = (sides[random.usize(0..2)], random.u32(0..3) > 0);
                self.add_event(at, Event::Order { slot, side, endpoint, offline });
                at += seconds(&mut random, 0.0, BETWEEN_ORDERS_S);
            }
            self.add_event(at + seconds(&mut random, 0.0, 1.5), Event::EndUpgrade(slot));
        }
    }
}
