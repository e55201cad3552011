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
//! | the list was complete at some time | 6 s after that time (at once, if an agent pushes the list) |
//! | discovery could not be reached at some time | 6 s after that time: the 6 s run from its return |
//! | a watch is open for longer than a poll may be queued, or continues right after an answer, and was requested while the lease was valid | 2 s after its hold time |
//! | an open watch broke | 6 s after that, but no later than 2 s after its hold time |
//! | a reload named another discovery | at most 4 s after the reload |
//! | an answer has begun to arrive and is not applied, whatever the reason | when it began |
//! | no watch is open, and no poll was made for some time | as the setting `ask_within` says; four times that after a failed poll |
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

mod event;
#[cfg(test)]
mod tests;

pub use event::PollEvent;

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

/// A poll in progress.
#[derive(Clone, Copy, Debug)]
struct Poll {
    begun: Time,
    hold: Duration,
    /// Whether it has been connected and sent.
    sent: bool,
    /// Whether it continues a watch that has been answered.
    continues: bool,
    /// When its answer began to arrive.
    answer_began: Option<Time>,
}

impl Poll {
    /// From when on the poll is known to be a watch that discovery holds open, rather than one that
    /// may still be queued; `None` for a poll that is not a watch. A watch that continues has been
    /// accepted and is not queued again.
    fn established_at(&self, max_queue_time: Duration) -> Option<Time> {
        if self.continues {
            return Some(self.begun);
        }
        (self.sent && !self.hold.is_zero()).then(|| self.begun + max_queue_time)
    }

    /// When a change that was missed during a silence counts as notified.
    fn notified_if_silent(&self) -> Time {
        self.begun + self.hold + NOTIFIED_AFTER_HOLD
    }
}

/// The last poll that reached discovery or failed to.
#[derive(Clone, Copy, Debug)]
struct LastPoll {
    at: Time,
    failed: bool,
}

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
            confirmed: None,
        };
        lease.notified_at = now + lease.notified_after();
        lease
    }

    /// Applies new settings.
    pub fn configure(&mut self, discovery: Discovery, grace: Duration) {
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

    /// Time since the list was last known to be complete; `None` if it never was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Records how a poll began or ended.
    pub fn observe(&mut self, now: Time, event: PollEvent) {
        match event {
            PollEvent::Started { hold } => return self.on_started(now, hold),
            PollEvent::Connected => return self.on_connected(now),
            PollEvent::AnswerBegan => return self.on_answer_began(now),
            PollEvent::SupersededUnusable { since } => return self.on_unapplied(since),
            PollEvent::Inconclusive if self.poll.is_some_and(|poll| !poll.sent) => return self.poll = None,
            PollEvent::Answered { as_of } => self.on_answered(as_of),
            PollEvent::RejectedAtOnce => self.on_rejected(now),
            PollEvent::RejectedAfterWait => self.on_rejected_after_wait(now),
            PollEvent::Unreachable => self.on_unreachable(now),
            PollEvent::Inconclusive => drop(self.ended_while_established(now)),
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

    /// From when on the poll in progress is taken for an established watch. An agent has no queue.
    /// Once the lease has expired, only an answer renews it: what counts as notified stays so, and
    /// a silent discovery answers no watch.
    fn established_at(&self) -> Option<Time> {
        let max_queue_time = if self.is_pushed() { Duration::ZERO } else { ESTABLISHED_AFTER };
        let expiry = self.notified_at + self.usable_grace();
        self.poll.and_then(|poll| poll.established_at(max_queue_time)).filter(|at| *at < expiry)
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
        self.poll = Some(Poll { begun: now, hold, sent: false, continues: false, answer_began: None });
    }

    /// From now on the poll has reached discovery, and the hold time of a watch begins.
    fn on_connected(&mut self, now: Time) {
        let continues_in_time =
            self.watch_answered.is_some_and(|answered| now <= answered + WATCH_CONTINUES_WITHIN);
        if let Some(poll) = &mut self.poll {
            let continues = continues_in_time && !poll.hold.is_zero();
            *poll = Poll { begun: now, sent: true, continues, ..*poll };
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
        self.on_unapplied(self.answer_began().unwrap_or(now));
    }

    /// What began to arrive at `since` counts as notified and is not part of the list.
    fn on_unapplied(&mut self, since: Time) {
        self.unapplied_since = Some(self.unapplied_since.map_or(since, |earlier| earlier.min(since)));
    }

    fn on_answered(&mut self, as_of: Time) {
        self.state = DiscoveryState::Available;
        self.unapplied_since = self.unapplied_since.filter(|since| as_of < *since);
        self.confirmed = Some(as_of);
        self.notified_by_reload = None;
        self.extend(as_of + self.notified_after());
    }

    /// If the poll that has just ended was an established watch, no change was missed before its
    /// end, unless it was silent.
    fn ended_while_established(&mut self, now: Time) -> bool {
        let Some(watch) = self.established_watch(now) else { return false };
        self.extend((now + self.notified_after()).min(watch.notified_if_silent()));
        self.state = DiscoveryState::MayBeDown;
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
    /// by it. An agent that cannot be reached learns of no changes, whatever it sent before.
    fn record_outage(&mut self, now: Time) {
        let begun = self.poll.map_or(now, |poll| poll.begun);
        if begun > self.notified_at && !self.is_pushed() {
            return;
        }
        self.notified_by_reload = None;
        self.extend(begun + self.notified_after());
    }

    fn on_timed_out(&mut self, now: Time) {
        match self.poll {
            Some(watch) if self.established_watch(now).is_some() => self.extend(watch.notified_if_silent()),
            // An agent that is cut off from discovery sends nothing and learns of no changes.
            _ if self.is_pushed() => self.on_rejected_after_wait(now),
            _ => {}
        }
    }

    fn on_discovery_changed(&mut self, now: Time) {
        if let Some(watch) = self.established_watch(now) {
            self.extend((now + self.notified_after()).min(watch.notified_if_silent()));
        }
        self.answer_began().into_iter().for_each(|since| self.on_unapplied(since));
        let notified_at = now + NOTIFIED_AFTER_RELOAD;
        self.notified_by_reload =
            Some(self.notified_by_reload.map_or(notified_at, |earlier| earlier.min(notified_at)));
    }
}
