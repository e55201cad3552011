//! The lease on the endpoint list: until when the current list may be used, given all that is known
//! about discovery. It is computed from how polls of discovery begin and end; this module has no
//! sockets, timers or clock of its own.
//!
//! A change that this process has not received counts as notified some time after discovery has it,
//! whether the notification arrived or not. The list may be used until the earliest such time plus
//! the grace period of a drain. After that no new attempt may be sent, since any endpoint on the
//! list may have been removed. The earliest time follows from what is known for certain:
//!
//! | what is known | earliest time at which an unknown change counts as notified |
//! | --- | --- |
//! | the list was complete at some time | 6 s after that time |
//! | discovery could not be reached at some time | 6 s after that time: the 6 s run from its return |
//! | a watch is open for longer than a poll may be queued, or continues right after an answer, and was requested while the lease was valid | 2 s after its hold time |
//! | an open watch broke | 6 s after that, but no later than 2 s after its hold time |
//! | a reload named another discovery | at most 4 s after the reload |
//! | an answer has begun to arrive and is not applied, whatever the reason | when it began |
//! | no watch is open, and no poll was made for some time | as the setting `ask_within` says; four times that after a failed poll |
//!
//! Where an agent pushes the list, all that the agent holds counts as notified at once, from the
//! first moment of a process:
//!
//! | what is known | earliest time at which an unknown change counts as notified |
//! | --- | --- |
//! | the process has started, and the agent has not answered | the start, whatever the agent does |
//! | the agent has answered | when it answered |
//! | a watch is open that was opened within 0.2 s of the answer, or within 0.1 s of the break of such a watch | 2 s after its hold time |
//! | such a watch broke | when it broke |
//! | a call after that failed, before the grace period since the last evidence was over | when the call began |
//! | a watch was opened later, or a watch fell silent | as before; only an answer counts from then on |
//! | a reload named another discovery | at most 4 s after the reload, if nothing had been missed until then; else as before |
//! | an answer has begun to arrive and is not applied, whatever the reason | when it began |
//!
//! A change that may have counted as notified stays so: once the lease has expired, only an answer
//! renews it. An answer that could not be applied counts as notified like any other; from then on
//! nothing extends the lease but the answer to a later poll.
//!
//! A poll that discovery rejects at once shows that discovery is up and has no capacity. From then
//! on only an answer or an open watch extends the lease. A poll that is rejected after a wait shows
//! that discovery is down or overloaded, but not which of the two. It is taken for an outage only
//! as long as nothing has shown that discovery is up, or after an established watch broke, since
//! all watches break when discovery goes down. `docs/design/discovery.md` describes the cases that
//! cannot be told apart.

use cottonpoint_decide::{Discovery, Time};
use std::time::Duration;

mod agent;
mod event;
mod poll;
#[cfg(test)]
mod tests;

pub use event::PollEvent;

use agent::AgentContact;
use poll::{LastPoll, Poll};

/// A change counts as notified this long after discovery has it, whether it arrived or not (the
/// protocol specification).
const NOTIFIED_AFTER: Duration = Duration::from_secs(6);
/// The same after the hold time of a watch that has timed out (the protocol specification).
const NOTIFIED_AFTER_HOLD: Duration = Duration::from_secs(2);
/// The same after a reload that names another discovery (the deployment's requirements).
const NOTIFIED_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// A process may be stalled for 0.15 s between reading its clock and writing (the deployment's
/// requirements), and a timer may fire 0.05 s late.
const STALL_MARGIN: Duration = Duration::from_millis(200);
/// A watch open for longer than this is not queued: discovery keeps a poll in its queue for at most
/// 2 s (`docs/design/discovery.md`).
const ESTABLISHED_AFTER: Duration = Duration::from_millis(2500);
/// A poll that starts this soon after the last answer continues the watch (the protocol
/// specification).
const WATCH_CONTINUES_WITHIN: Duration = Duration::from_millis(200);
/// After a failed poll, the setting `ask_within` counts this many times (the deployment's
/// requirements).
const ASK_WITHIN_FAILURE_FACTOR: u32 = 4;

/// What is known about discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DiscoveryState {
    /// It may be down: a poll that is rejected after a wait is taken for an outage.
    MayBeDown,
    /// It was up when it last answered.
    Available,
    /// It was up, without capacity for a poll, after the list was last confirmed: a change may
    /// count as notified six seconds after that confirmation, whatever happens to discovery
    /// afterwards.
    Overloaded,
}

/// The lease on the current endpoint list.
#[derive(Clone, Debug)]
pub struct Lease {
    discovery: Discovery,
    /// How long new attempts may still go to an endpoint after it starts draining.
    grace: Duration,
    /// Earliest time at which an unknown change counts as notified, without the poll in progress.
    notified_at: Time,
    /// Upper bound of the above after a reload.
    notified_by_reload: Option<Time>,
    /// Upper bound after an answer that could not be applied: when it began to arrive.
    unapplied_since: Option<Time>,
    poll: Option<Poll>,
    /// When the last poll was answered, if it was a watch.
    watch_answered: Option<Time>,
    last_poll: LastPoll,
    state: DiscoveryState,
    /// What ties a pushed list to what its agent holds.
    agent: AgentContact,
    /// Time at which the current list was last known to be complete.
    confirmed: Option<Time>,
}

impl Lease {
    /// The lease of a starting process, whose initial list is no older than the process.
    pub fn new(now: Time, discovery: Discovery, grace: Duration) -> Lease {
        let mut lease = Lease {
            discovery,
            grace,
            notified_at: now,
            notified_by_reload: None,
            unapplied_since: None,
            poll: None,
            watch_answered: None,
            last_poll: LastPoll { at: now, failed: false },
            state: DiscoveryState::MayBeDown,
            agent: AgentContact::None,
            confirmed: None,
        };
        lease.notified_at = now + lease.notified_after();
        lease
    }

    /// Applies new settings. A list that becomes a pushed one, or is one no more, comes from another
    /// discovery.
    pub fn configure(&mut self, now: Time, discovery: Discovery, grace: Duration) {
        if self.is_pushed() != (discovery == Discovery::Pushed) {
            self.observe(now, PollEvent::DiscoveryChanged);
        }
        (self.discovery, self.grace) = (discovery, grace);
    }

    /// Whether an agent pushes the list.
    pub fn is_pushed(&self) -> bool {
        self.discovery == Discovery::Pushed
    }

    /// Time until which the list may be used, as known now. The time for which a process may be
    /// stalled is already subtracted.
    pub fn expires_at(&self, now: Time) -> Time {
        self.notified_at(now) + self.usable_grace()
    }

    /// Whether new attempts may be sent according to the current list.
    pub fn is_valid(&self, now: Time) -> bool {
        now < self.expires_at(now)
    }

    /// When [`Lease::is_valid`] may change next, provided that no poll ends before.
    pub fn next_change(&self, now: Time) -> Option<Time> {
        let expires = Some(self.expires_at(now)).filter(|expires| *expires > now);
        let established = self.established_at().filter(|at| *at > now);
        expires.into_iter().chain(established).min()
    }

    /// Whether an attempt sent at `now` according to the current list may have violated the rule.
    pub fn is_violated(&self, now: Time) -> bool {
        now > self.notified_at(now) + self.grace
    }

    /// Whether the list has ever been known to be complete.
    pub fn is_confirmed(&self) -> bool {
        self.confirmed.is_some()
    }

    /// Time since the list was last known to be complete; `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Hold time that the poll in progress asks for: zero for a new watch at an agent whose list has
    /// yet to be confirmed, since only an answer confirms it.
    pub fn hold_time(&self) -> Duration {
        self.poll.map_or(Duration::ZERO, |poll| poll.hold)
    }

    /// Records how a poll began or ended.
    pub fn observe(&mut self, now: Time, event: PollEvent) {
        match event {
            PollEvent::Started { hold } => return self.on_started(now, hold),
            PollEvent::Connected => return self.on_connected(now),
            PollEvent::AnswerBegan => return self.on_answer_began(now),
            PollEvent::SupersededUnusable { since } => return self.on_unapplied(since),
            PollEvent::Inconclusive if self.poll.is_some_and(|poll| !poll.sent) => return self.poll = None,
            PollEvent::Answered { as_of } => self.on_answered(self.written_at(as_of)),
            _ if self.is_pushed() && event.is_failure_of_agent() => self.on_agent_failed(now),
            PollEvent::RejectedAtOnce => self.on_rejected(now),
            PollEvent::RejectedAfterWait => self.on_rejected_after_wait(now),
            PollEvent::Unreachable => self.on_unreachable(now),
            PollEvent::BrokenAtOnce | PollEvent::Inconclusive => drop(self.ended_while_established(now)),
            PollEvent::Unusable => self.on_unusable(now),
            PollEvent::TimedOut => self.on_timed_out(now),
            PollEvent::DiscoveryChanged => self.on_discovery_changed(now),
        }
        let failed = !matches!(event, PollEvent::Answered { .. });
        self.last_poll = LastPoll { at: now, failed };
        let watched = self.poll.take().is_some_and(|poll| !poll.hold.is_zero());
        self.watch_answered = Some(now).filter(|_| watched && !failed);
    }

    fn notified_after(&self) -> Duration {
        match self.discovery {
            Discovery::Pushed => Duration::ZERO,
            Discovery::OnRequest { .. } => NOTIFIED_AFTER,
        }
    }

    /// Earliest time at which an unknown change counts as notified.
    fn notified_at(&self, now: Time) -> Time {
        let notified_at = match self.established_watch(now) {
            Some(watch) => self.notified_at.max(watch.notified_if_silent()),
            // A poll in progress counts as polling now.
            None if self.poll.is_some_and(|poll| poll.sent) => self.notified_at,
            None => self.notified_at.min(self.notified_without_polling()),
        };
        let bounds = [self.notified_by_reload, self.unapplied_since, self.answer_began()];
        bounds.into_iter().flatten().fold(notified_at, Time::min)
    }

    /// When the answer to the poll in progress began to arrive.
    fn answer_began(&self) -> Option<Time> {
        self.poll.and_then(|poll| poll.answer_began)
    }

    /// The poll in progress, if discovery is taken to hold it open as a watch.
    fn established_watch(&self, now: Time) -> Option<Poll> {
        self.poll.filter(|_| self.established_at().is_some_and(|at| at <= now))
    }

    /// From when on the poll in progress is taken for an established watch. Once the lease has
    /// expired, only an answer renews it: what counts as notified stays so, and a silent discovery
    /// answers no watch.
    fn established_at(&self) -> Option<Time> {
        let expiry = self.notified_at + self.usable_grace();
        self.poll.and_then(|poll| poll.established_at(ESTABLISHED_AFTER)).filter(|at| *at < expiry)
    }

    /// The grace period without the time for which a process may be stalled.
    fn usable_grace(&self) -> Duration {
        self.grace.saturating_sub(STALL_MARGIN)
    }

    /// When a change counts as notified to a process that has no watch and does not poll.
    fn notified_without_polling(&self) -> Time {
        match self.discovery {
            Discovery::Pushed => Time(u64::MAX),
            Discovery::OnRequest { ask_within } => {
                let times = if self.last_poll.failed { ASK_WITHIN_FAILURE_FACTOR } else { 1 };
                self.last_poll.at + ask_within * times
            }
        }
    }

    fn extend(&mut self, notified_at: Time) {
        self.notified_at = self.notified_at.max(notified_at);
    }

    fn on_started(&mut self, now: Time, hold: Duration) {
        self.keep_expired(now);
        self.poll = Some(Poll::starting(now, hold));
    }

    /// From now on the poll has reached discovery, and the hold time of a watch begins.
    fn on_connected(&mut self, now: Time) {
        let continues_in_time = match self.is_pushed() {
            true => self.agent.continues(now) && self.is_valid(now),
            false => self.watch_answered.is_some_and(|answered| now <= answered + WATCH_CONTINUES_WITHIN),
        };
        let confirms_list = self.is_pushed() && !continues_in_time;
        if let Some(poll) = &mut self.poll {
            let hold = if confirms_list { Duration::ZERO } else { poll.hold };
            let continues = continues_in_time && !hold.is_zero();
            *poll = Poll { begun: now, hold, sent: true, continues, ..*poll };
            self.last_poll.at = now;
        }
    }

    fn on_answer_began(&mut self, now: Time) {
        if let Some(poll) = &mut self.poll {
            poll.answer_began.get_or_insert(now);
        }
    }

    /// No change was missed before the answer began to arrive, if the poll was an established watch.
    fn on_unusable(&mut self, now: Time) {
        self.ended_while_established(now);
        self.state = DiscoveryState::Available;
        self.agent = AgentContact::None;
        self.on_unapplied(self.answer_began().unwrap_or(now));
    }

    /// What began to arrive at `since` counts as notified and is not part of the list.
    fn on_unapplied(&mut self, since: Time) {
        self.unapplied_since = Some(self.unapplied_since.map_or(since, |earlier| earlier.min(since)));
    }

    fn on_answered(&mut self, as_of: Time) {
        self.state = DiscoveryState::Available;
        self.agent = AgentContact::Answered(as_of);
        self.unapplied_since = self.unapplied_since.filter(|since| as_of < *since);
        self.confirmed = Some(as_of);
        self.notified_by_reload = None;
        match self.discovery {
            // What the agent learns from here on counts at once, whatever was allowed before.
            Discovery::Pushed => self.notified_at = as_of,
            Discovery::OnRequest { .. } => self.extend(as_of + NOTIFIED_AFTER),
        }
    }

    /// If the poll that has just ended was an established watch, no change was missed before its
    /// end, unless it was silent.
    fn ended_while_established(&mut self, now: Time) -> bool {
        let Some(watch) = self.established_watch(now) else { return false };
        self.extend((now + self.notified_after()).min(watch.notified_if_silent()));
        self.state = DiscoveryState::MayBeDown;
        self.agent = AgentContact::WatchBroke(now);
        true
    }

    fn on_rejected(&mut self, now: Time) {
        if !self.ended_while_established(now) {
            self.state = DiscoveryState::Overloaded;
        }
    }

    fn on_rejected_after_wait(&mut self, now: Time) {
        let could_be_outage = self.state == DiscoveryState::MayBeDown;
        self.ended_while_established(now);
        if could_be_outage {
            self.record_outage(now);
        }
    }

    fn on_unreachable(&mut self, now: Time) {
        if self.ended_while_established(now) || self.state == DiscoveryState::Overloaded {
            return;
        }
        self.state = DiscoveryState::MayBeDown;
        self.record_outage(now);
    }

    /// An expired lease is not renewed by a poll, nor by an outage that begins later: what may have
    /// counted as notified by then stays so.
    fn keep_expired(&mut self, now: Time) {
        let notified_at = self.notified_at(now);
        if notified_at < now && !self.is_pushed() {
            self.notified_at = notified_at;
        }
    }

    /// Discovery could not be reached when the poll began, so later changes have not been notified
    /// by it.
    fn record_outage(&mut self, now: Time) {
        let begun = self.poll.map_or(now, |poll| poll.begun);
        if begun > self.notified_at {
            return;
        }
        self.notified_by_reload = None;
        self.extend(begun + self.notified_after());
    }

    /// A silent watch may have missed any change that its agent learned of.
    fn on_timed_out(&mut self, now: Time) {
        self.agent = AgentContact::None;
        if let Some(watch) = self.established_watch(now) {
            self.extend(watch.notified_if_silent());
        }
    }

    /// What the new discovery holds counts as notified some time after the change, to a process that
    /// had missed nothing of the old one.
    fn on_discovery_changed(&mut self, now: Time) {
        let notified_at = now + NOTIFIED_AFTER_RELOAD;
        let is_complete = self.is_pushed() && self.agent.is_complete() && self.is_valid(now);
        if let Some(watch) = self.established_watch(now) {
            let known_until = if is_complete { notified_at } else { now + self.notified_after() };
            self.extend(known_until.min(watch.notified_if_silent()));
        } else if is_complete {
            self.extend(notified_at);
        }
        self.agent = AgentContact::None;
        self.answer_began().into_iter().for_each(|since| self.on_unapplied(since));
        self.notified_by_reload =
            Some(self.notified_by_reload.map_or(notified_at, |earlier| earlier.min(notified_at)));
    }
}
