//! A poll of discovery as the lease on the endpoint list sees it.

use super::NOTIFIED_AFTER_HOLD;
use cottonpoint_decide::Time;
use std::time::Duration;

/// A poll in progress.
#[derive(Clone, Copy, Debug)]
pub(super) struct Poll {
    pub begun: Time,
    pub hold: Duration,
    /// Whether it has been connected and sent.
    pub sent: bool,
    /// Whether it continues a watch that has been answered.
    pub continues: bool,
    /// When its answer began to arrive.
    pub answer_began: Option<Time>,
}

impl Poll {
    /// A poll that starts and has yet to be connected.
    pub fn starting(begun: Time, hold: Duration) -> Poll {
        Poll { begun, hold, sent: false, continues: false, answer_began: None }
    }

    /// From when on the poll is known to be a watch that discovery holds open, rather than one that
    /// may still be queued for `max_queue_time`; `None` for a poll that is not a watch. A watch that
    /// continues has been accepted and is not queued again.
    pub fn established_at(&self, max_queue_time: Duration) -> Option<Time> {
        if self.continues {
            return Some(self.begun);
        }
        (self.sent && !self.hold.is_zero()).then(|| self.begun + max_queue_time)
    }

    /// When a change that was missed during a silence counts as notified.
    pub fn notified_if_silent(&self) -> Time {
        self.begun + self.hold + NOTIFIED_AFTER_HOLD
    }
}

/// The last poll that reached discovery or failed to.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastPoll {
    pub at: Time,
    pub failed: bool,
}
