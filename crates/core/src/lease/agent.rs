//! What ties a list that an agent pushes to what the agent holds.
//!
//! All that an agent holds counts as notified at once, whether or not a watch is open. So a list is
//! complete only once the agent has answered this process, and for as long as the agent can have
//! learned nothing in a moment that this process did not watch. A connection that is accepted, or a
//! call that fails, says what the agent does now and nothing of what it learned before.

use super::Lease;
use crate::list::MAX_ANSWER_TRANSIT;
use cottonpoint_decide::{Discovery, Time};
use std::time::Duration;

/// A poll that starts this soon after an answer continues the watch (the protocol specification).
const CONTINUES_AFTER_ANSWER: Duration = Duration::from_millis(200);
/// The same after a watch that broke: an agent that is up again within this time has been down for
/// too short a time to learn of a change, unless its connections alone were reset.
const CONTINUES_AFTER_BREAK: Duration = Duration::from_millis(100);

/// The last evidence that the list held all that the agent held.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum AgentContact {
    /// There is none: the agent has not answered, or may have learned of a change unseen.
    #[default]
    None,
    /// It answered at this time.
    Answered(Time),
    /// A watch that had missed nothing broke at this time.
    WatchBroke(Time),
    /// It could not be reached, or failed a call, since a moment at which nothing had been missed.
    Down,
}

impl AgentContact {
    /// Whether the list held all that the agent held when it was last heard of.
    pub fn is_complete(self) -> bool {
        !matches!(self, AgentContact::None)
    }

    /// Whether a watch that is opened at `now` has missed nothing before.
    pub fn continues(self, now: Time) -> bool {
        match self {
            AgentContact::Answered(at) => now <= at + CONTINUES_AFTER_ANSWER,
            AgentContact::WatchBroke(at) => now <= at + CONTINUES_AFTER_BREAK,
            AgentContact::None | AgentContact::Down => false,
        }
    }
}

/// An agent serves its one machine sooner than this: a call that takes longer finds it silent.
const PROMPT_ANSWER_TIME: Duration = Duration::from_millis(200);

impl Lease {
    /// Whether the agent that pushes the list has failed the last call or leaves one unanswered.
    pub fn is_agent_failing(&self, now: Time) -> bool {
        let is_silent = self.poll.is_some_and(|poll| poll.sent && now > poll.begun + PROMPT_ANSWER_TIME);
        self.is_pushed() && self.unapplied_since.is_none() && (self.last_poll.failed || is_silent)
    }

    /// An agent that fails has learned of no change since it was last seen to hold no more than the
    /// list, if the call began before the grace period since then was over.
    pub(super) fn on_agent_failed(&mut self, now: Time) {
        if self.ended_while_established(now) {
            return;
        }
        let begun = self.poll.map_or(now, |poll| poll.begun);
        if !self.agent.is_complete() || begun > self.notified_at + self.grace {
            self.agent = AgentContact::None;
            return;
        }
        self.agent = AgentContact::Down;
        self.extend(begun);
    }

    /// When an answer was written at the latest. An agent answers a watch when its hold time is over,
    /// whenever this process comes to read that.
    pub(super) fn written_at(&self, as_of: Time) -> Time {
        let watch = self.poll.filter(|poll| !poll.hold.is_zero());
        let hold_over = watch.map(|watch| watch.begun + watch.hold + MAX_ANSWER_TRANSIT);
        match self.discovery {
            Discovery::Pushed => hold_over.map_or(as_of, |hold_over| as_of.min(hold_over)),
            Discovery::OnRequest { .. } => as_of,
        }
    }
}
