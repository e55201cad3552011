//! The concurrency limit on width-weighted running requests, learned from outcomes.

use super::*;

/// The limit never falls below the widest request, which would otherwise wait for ever, nor below
/// the point where all balancers together keep this many requests at each endpoint, one running and
/// one to follow.
const LIMIT_MIN: f64 = 2.0;
/// The limit does not fall below this share of what the endpoints can serve at once by their
/// reports either: a few endpoints that refuse would leave the others idle.
const LIMIT_MIN_CAPACITY_SHARE: f64 = 0.5;
/// Factor of one decrease of the limit, and the share of outcomes not accepted above which the
/// limit is decreased.
const LIMIT_DECREASE: f64 = 0.85;
const OVERLOAD_SHARE_MAX: f64 = 0.125;
/// A success near the limit adds this much where all endpoints that serve report that they are idle.
const LIMIT_IDLE_INCREASE: f64 = 0.25;
/// Weight of one outcome in the moving share of outcomes not accepted.
pub(super) const OUTCOME_GAIN: f64 = 1.0 / 16.0;

impl Balancer {
    /// The number of width-weighted requests that may run at once; infinite while nothing has been
    /// learned.
    pub fn limit(&self) -> f64 {
        self.concurrency_limit
    }

    /// Updates the limit from one outcome: only `Rejected` and time-outs count as not accepted.
    pub(super) fn update_limit(&mut self, outcome: Outcome, sent_at: Time) {
        let (not_accepted, seats_in_use) =
            (matches!(outcome, Outcome::Rejected | Outcome::TimedOut), self.scheduler.seats_in_use);
        self.overload_share += (f64::from(u8::from(not_accepted)) - self.overload_share) * OUTCOME_GAIN;
        if not_accepted {
            // One decrease for all requests that were running together, and none for a single
            // time-out.
            if sent_at >= self.last_limit_decrease && self.overload_share > OVERLOAD_SHARE_MAX {
                self.concurrency_limit =
                    (self.concurrency_limit.min(seats_in_use) * LIMIT_DECREASE).max(self.min_limit());
                self.last_limit_decrease = self.now;
            }
        } else if seats_in_use + 2.0 >= self.concurrency_limit {
            self.concurrency_limit +=
                (1.0 / self.concurrency_limit).max(0.05).max(self.idle_share * LIMIT_IDLE_INCREASE);
        }
    }

    fn min_limit(&self) -> f64 {
        let minimum =
            LIMIT_MIN * (self.ready.len() as f64 / f64::from(self.settings.balancer_count.max(1))).max(1.0);
        minimum.max(self.subset_capacity() * LIMIT_MIN_CAPACITY_SHARE)
    }
}
