//! The limit on width-weighted running calls, learned from outcomes.

use super::*;

/// The limit never falls below the widest call, or that call would wait for ever; nor below the point where
/// all balancers together keep this many calls at each endpoint, one running and one to follow.
const LIMIT_MIN: f64 = 2.0;
/// Nor below this share of what they serve at once by their reports: few that refuse would idle the rest.
const LIMIT_OF_ROOM: f64 = 0.5;
/// One cut of the limit, and the share of outcomes not accepted that calls for one.
const LIMIT_CUT: f64 = 0.85;
const LIMIT_TROUBLE: f64 = 0.125;
/// A success near the limit adds this where all that serve report to idle.
const LIMIT_CLIMB: f64 = 0.25;
/// Weight of one outcome in the share of outcomes not accepted.
pub(super) const OUTCOME_GAIN: f64 = 1.0 / 16.0;

impl Balancer {
    /// The width-weighted calls that may run at once; infinite while nothing has been learned.
    pub fn limit(&self) -> f64 {
        self.limit
    }

    /// Learns the limit from one outcome: only `Full` and time-outs count as not accepted.
    pub(super) fn learn(&mut self, outcome: Outcome, sent: Time) {
        let (refused, used) = (matches!(outcome, Outcome::Full | Outcome::TimedOut), self.seats.used);
        self.trouble += (f64::from(u8::from(refused)) - self.trouble) * OUTCOME_GAIN;
        if refused {
            // One cut for all calls that were out together, and none for a stray time-out.
            if sent >= self.last_cut && self.trouble > LIMIT_TROUBLE {
                self.limit = (self.limit.min(used) * LIMIT_CUT).max(self.least_limit());
                self.last_cut = self.now;
            }
        } else if used + 2.0 >= self.limit {
            self.limit += (1.0 / self.limit).max(0.05).max(self.idle * LIMIT_CLIMB);
        }
    }

    fn least_limit(&self) -> f64 {
        let least = LIMIT_MIN * (self.order.len() as f64 / f64::from(self.set.siblings.max(1))).max(1.0);
        least.max(self.room_in_hand() * LIMIT_OF_ROOM)
    }
}
