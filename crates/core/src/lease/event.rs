//! How polls of discovery begin and end, as the lease on the endpoint list needs it.

use cottonpoint_decide::Time;
use std::time::Duration;

/// How polls of discovery begin and end, as evidence about the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollEvent {
    /// A poll starts. It may have to connect first; discovery then holds it for up to `hold`.
    Started {
        /// Time for which discovery may hold the poll open until there is a change; zero for a poll
        /// that is not a watch.
        hold: Duration,
    },
    /// The connection is established and the poll has been sent.
    Connected,
    /// The answer to the poll has begun to arrive: what it says counts as notified.
    AnswerBegan,
    /// The poll was answered, and the answer is applied: the current list is complete as of this
    /// time.
    Answered {
        /// Time at which discovery wrote the answer at the latest, assuming the longest transit
        /// time.
        as_of: Time,
    },
    /// Discovery rejected the poll at once: it is up, but has no capacity.
    RejectedAtOnce,
    /// Discovery rejected the poll or closed the connection after a wait: it is down, or the poll
    /// was queued for too long.
    RejectedAfterWait,
    /// No connection was established: discovery could not be reached when the poll began.
    Unreachable,
    /// Discovery closed the connection at once, without a word.
    BrokenAtOnce,
    /// The poll failed in a way that says nothing about discovery: a fault of this process or of
    /// the network path. If it was not connected, it does not count as a poll.
    Inconclusive,
    /// The answer to the poll could not be applied, or ended early.
    Unusable,
    /// The same for a poll that a reload has superseded; the poll in progress continues.
    SupersededUnusable {
        /// Time at which the answer began to arrive.
        since: Time,
    },
    /// Nothing was received in time.
    TimedOut,
    /// A reload names another discovery; the poll in progress is dropped.
    DiscoveryChanged,
}

impl PollEvent {
    /// Whether it shows that an agent does not serve calls. Unlike a discovery that serves a whole
    /// fleet, an agent has no queue that could be full.
    pub(super) fn is_failure_of_agent(self) -> bool {
        matches!(
            self,
            PollEvent::RejectedAtOnce
                | PollEvent::RejectedAfterWait
                | PollEvent::Unreachable
                | PollEvent::BrokenAtOnce
        )
    }
}
