//! The lease on the endpoint list: until when the list held may be used, for all that is known of discovery. How polls
//! of discovery begin and end goes in, a time comes out; no sockets, timers or clocks of its own.
//!
//! A change that this process has not heard of counts as told some time after discovery had it, arrived or not. Until the
//! earliest such time, and the grace of a drain after it, the list held may be used; after that nothing new may be sent,
//! since any endpoint on the list may have left. That earliest time follows from what is known for certain:
//!
//! | what is known | an unknown change counts as told at the earliest |
//! | --- | --- |
//! | the list was complete at some time | 6 s after that time (at once, where an agent pushes it) |
//! | discovery could not be reached at some time | 6 s after that time: the clock runs from its return |
//! | a watch is open for longer than a poll may stand in a queue, or goes on at once after an answer, asked for while the lease held | 2 s after its wait |
//! | an open watch broke | 6 s after that, and no later than 2 s after its wait |
//! | a reload named another discovery | 4 s after the reload at most |
//! | no watch is open, and nothing was asked for some time | as the settings' `ask_within` says, four times it after a failure |
//!
//! What may have counted as told stays told: once the lease has run out, only an answer renews it.
//!
//! A poll that discovery turns away at once shows that it is there, and that it has no room: nothing extends the lease from
//! then on but an answer or an open watch. One that is turned away after a wait says that discovery is down or overrun,
//! and not which. It is taken for an outage only as long as nothing has shown that discovery is there, or after an
//! established watch broke, as all do when discovery goes down. `docs/design/discovery.md` says what this cannot tell
//! apart.

use cottonpoint_decide::{Discovery, Time};
use std::time::Duration;

#[cfg(test)]
mod tests;

/// What discovery has counts as told after this time, arrived or not (the protocol page).
const NEWS_DUE: Duration = Duration::from_secs(6);
/// The same after the wait of a watch that has fallen silent (the protocol page).
const NEWS_DUE_AFTER_WAIT: Duration = Duration::from_secs(2);
/// The same after a reload that names another discovery (the operators' page).
const NEWS_DUE_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// A process may be held up for 0.15 s between reading its clock and writing (the operators' page), and a timer may fire
/// 0.05 s late.
const HELD_UP: Duration = Duration::from_millis(200);
/// A watch that is open for longer stands in no queue: discovery keeps a poll there for 2 s at most
/// (`docs/design/discovery.md`).
const ESTABLISHED_AFTER: Duration = Duration::from_millis(2500);
/// A watch goes on where the next poll comes so soon after the last answer (the protocol page).
const WATCH_CONTINUES: Duration = Duration::from_millis(200);
/// A call that failed counts this many times the settings' time for asking (the operators' page).
const ASK_WITHIN_AFTER_FAILURE: u32 = 4;

/// How polls of discovery begin and end, as evidence about the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollEvent {
    /// A poll is begun, which may have to connect first; it waits so long for news.
    Begun {
        /// How long it waits.
        hold: Duration,
    },
    /// Its connection is there, and it is sent.
    Connected,
    /// It was answered: the list held is complete as of that time.
    Answered {
        /// The latest time at which discovery may have written the answer, if its way took as long as it may.
        as_of: Time,
    },
    /// Discovery said at once that it has no room: it is there.
    Rejected,
    /// Discovery said, or ended the connection, after a wait: it is down, or the poll waited too long.
    TurnedAway,
    /// No connection came up: discovery could not be reached when the poll began.
    Unreachable,
    /// It came to nothing, which says nothing of discovery: a fault of this process or of the way, the connection ended at
    /// once, or the answer could not be used. One that was not connected is no call on discovery.
    Broken,
    /// Nothing was heard in time.
    Silent,
    /// A reload names another discovery; the poll under way is dropped.
    Moved,
}

/// A poll under way.
#[derive(Clone, Copy, Debug)]
struct Poll {
    begun: Time,
    hold: Duration,
    /// Whether it is connected and sent.
    sent: bool,
    /// Whether it goes on with a watch that has been answered.
    continues: bool,
}

impl Poll {
    /// From when on it is known to be a watch that discovery holds open, rather than one that may stand in its queue;
    /// `None` for a poll that does not wait. A watch that goes on has been taken, and queues no more.
    fn established_at(&self, queues_for: Duration) -> Option<Time> {
        if self.continues {
            return Some(self.begun);
        }
        (self.sent && !self.hold.is_zero()).then(|| self.begun + queues_for)
    }

    /// When what it missed in a silence counts as told.
    fn due_if_silent(&self) -> Time {
        self.begun + self.hold + NEWS_DUE_AFTER_WAIT
    }
}

/// The last call on discovery.
#[derive(Clone, Copy, Debug)]
struct LastCall {
    at: Time,
    failed: bool,
}

/// What is known of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscoveryState {
    /// It may be down: a poll that is turned away after a wait is taken for an outage.
    MayBeDown,
    /// It was there when it last answered.
    There,
    /// It was there after the list was last confirmed, with no room for a poll: a change may count as told six seconds
    /// after the list was confirmed, whatever discovery does from then on.
    NoRoom,
}

/// The lease on the list held.
#[derive(Clone, Debug)]
pub struct Lease {
    discovery: Discovery,
    /// How long something new may still go to an endpoint once it has left.
    grace: Duration,
    /// When an unknown change counts as told at the earliest, the poll under way apart.
    due: Time,
    /// No later than this, since a reload.
    reload_due: Option<Time>,
    poll: Option<Poll>,
    /// When the last poll was answered, if it was a watch.
    watch_answered: Option<Time>,
    last_call: LastCall,
    state: DiscoveryState,
    /// As of when the list held was last known to be complete.
    confirmed: Option<Time>,
}

impl Lease {
    /// The lease of a process that starts: the list that it is started with is no older than that.
    pub fn new(now: Time, discovery: Discovery, grace: Duration) -> Lease {
        let mut lease = Lease {
            discovery,
            grace,
            due: now,
            reload_due: None,
            poll: None,
            watch_answered: None,
            last_call: LastCall { at: now, failed: false },
            state: DiscoveryState::MayBeDown,
            confirmed: None,
        };
        lease.due = now + lease.news_due();
        lease
    }

    /// Other settings hold from now on.
    pub fn set_terms(&mut self, discovery: Discovery, grace: Duration) {
        (self.discovery, self.grace) = (discovery, grace);
    }

    /// Whether an agent pushes the list.
    pub fn is_pushed(&self) -> bool {
        self.discovery == Discovery::Pushed
    }

    /// Until when the list may be used, as it stands now. The time that a process may be held up is taken off.
    pub fn expires_at(&self, now: Time) -> Time {
        self.due(now) + self.usable_grace()
    }

    /// Whether something new may be sent on the list held.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at(now)
    }

    /// When [`Lease::is_valid`] has to be asked again, if no poll ends before.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let expires = Some(self.expires_at(now)).filter(|expires| *expires > now);
        let established = self.established_at().filter(|at| *at > now);
        expires.into_iter().chain(established).min()
    }

    /// Whether something sent at that time on the list held may have broken the rule.
    pub fn is_violated(&self, now: Time) -> bool {
        now > self.due(now) + self.grace
    }

    /// How long ago the list was last known to be complete; `None` where it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Takes how a poll began or ended.
    pub fn observe(&mut self, now: Time, event: PollEvent) {
        match event {
            PollEvent::Begun { hold } => return self.begin(now, hold),
            PollEvent::Connected => return self.connected(now),
            PollEvent::Broken if self.poll.is_some_and(|poll| !poll.sent) => return self.poll = None,
            PollEvent::Answered { as_of } => self.answered(as_of),
            PollEvent::Rejected => self.rejected(now),
            PollEvent::TurnedAway => self.turned_away(now),
            PollEvent::Unreachable => self.unreachable(now),
            PollEvent::Broken => drop(self.ended_while_established(now)),
            PollEvent::Silent => self.silent(now),
            PollEvent::Moved => self.moved(now),
        }
        let failed = !matches!(event, PollEvent::Answered { .. });
        self.last_call = LastCall { at: now, failed };
        let watched = self.poll.take().is_some_and(|poll| !poll.hold.is_zero());
        self.watch_answered = Some(now).filter(|_| watched && !failed);
    }

    fn news_due(&self) -> Duration {
        match self.discovery {
            Discovery::Pushed => Duration::ZERO,
            Discovery::OnRequest { .. } => NEWS_DUE,
        }
    }

    /// When an unknown change counts as told at the earliest.
    fn due(&self, now: Time) -> Time {
        let due = match self.established_watch(now) {
            Some(watch) => self.due.max(watch.due_if_silent()),
            // A poll under way asks.
            None if self.poll.is_some_and(|poll| poll.sent) => self.due,
            None => self.due.min(self.due_without_asking()),
        };
        self.reload_due.map_or(due, |reload| due.min(reload))
    }

    /// The watch that discovery is taken to hold open.
    fn established_watch(&self, now: Time) -> Option<Poll> {
        self.poll.filter(|_| self.established_at().is_some_and(|at| at <= now))
    }

    /// From when on the poll under way is taken for such a watch. An agent has no queue. Once the lease has run out only an
    /// answer renews it: what counts as told stays told, and a silent discovery answers no watch.
    fn established_at(&self) -> Option<Time> {
        let queues_for = if self.is_pushed() { Duration::ZERO } else { ESTABLISHED_AFTER };
        let runs_out = self.due + self.usable_grace();
        self.poll.and_then(|poll| poll.established_at(queues_for)).filter(|at| *at < runs_out)
    }

    /// The grace without the time that a process may be held up.
    fn usable_grace(&self) -> Duration {
        self.grace.saturating_sub(HELD_UP)
    }

    /// When a change counts as told to a process that has no watch and does not ask.
    fn due_without_asking(&self) -> Time {
        match self.discovery {
            Discovery::Pushed => Time(u64::MAX),
            Discovery::OnRequest { ask_within } => {
                let times = if self.last_call.failed { ASK_WITHIN_AFTER_FAILURE } else { 1 };
                self.last_call.at + ask_within * times
            }
        }
    }

    fn extend(&mut self, due: Time) {
        self.due = self.due.max(due);
    }

    fn begin(&mut self, now: Time, hold: Duration) {
        self.keep_run_out(now);
        self.poll = Some(Poll { begun: now, hold, sent: false, continues: false });
    }

    /// Discovery is called from now on; the wait of a watch begins.
    fn connected(&mut self, now: Time) {
        let in_time = self.watch_answered.is_some_and(|answered| now <= answered + WATCH_CONTINUES);
        if let Some(poll) = &mut self.poll {
            let continues = in_time && !poll.hold.is_zero();
            *poll = Poll { begun: now, sent: true, continues, ..*poll };
            self.last_call.at = now;
        }
    }

    fn answered(&mut self, as_of: Time) {
        self.state = DiscoveryState::There;
        self.confirmed = Some(as_of);
        self.reload_due = None;
        self.extend(as_of + self.news_due());
    }

    /// Where the poll that has just ended was an established watch, nothing was missed before, but for a silence.
    fn ended_while_established(&mut self, now: Time) -> bool {
        let Some(watch) = self.established_watch(now) else { return false };
        self.extend((now + self.news_due()).min(watch.due_if_silent()));
        self.state = DiscoveryState::MayBeDown;
        true
    }

    fn rejected(&mut self, now: Time) {
        if !self.ended_while_established(now) {
            self.state = DiscoveryState::NoRoom;
        }
    }

    fn turned_away(&mut self, now: Time) {
        let may_have_been_down = self.state == DiscoveryState::MayBeDown;
        self.ended_while_established(now);
        if may_have_been_down {
            self.was_down(now);
        }
    }

    fn unreachable(&mut self, now: Time) {
        if self.ended_while_established(now) || self.state == DiscoveryState::NoRoom {
            return;
        }
        self.state = DiscoveryState::MayBeDown;
        self.was_down(now);
    }

    /// A lease that has run out is not renewed by asking, nor by an outage that begins later: what may have counted as
    /// told by then stays told.
    fn keep_run_out(&mut self, now: Time) {
        let due = self.due(now);
        if due < now && !self.is_pushed() {
            self.due = due;
        }
    }

    /// Discovery could not be reached when the poll began: what has changed since has not been told by it. An agent that
    /// cannot be reached learns nothing, whatever it told before.
    fn was_down(&mut self, now: Time) {
        let begun = self.poll.map_or(now, |poll| poll.begun);
        if begun > self.due && !self.is_pushed() {
            return;
        }
        self.reload_due = None;
        self.extend(begun + self.news_due());
    }

    fn silent(&mut self, now: Time) {
        match self.poll {
            Some(watch) if self.established_watch(now).is_some() => self.extend(watch.due_if_silent()),
            // An agent that is cut off from discovery says nothing, and learns nothing.
            _ if self.is_pushed() => self.turned_away(now),
            _ => {}
        }
    }

    fn moved(&mut self, now: Time) {
        if let Some(watch) = self.established_watch(now) {
            self.extend((now + self.news_due()).min(watch.due_if_silent()));
        }
        let due = now + NEWS_DUE_AFTER_RELOAD;
        self.reload_due = Some(self.reload_due.map_or(due, |earlier| earlier.min(due)));
    }
}
