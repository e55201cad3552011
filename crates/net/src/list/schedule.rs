//! The schedule of polls of discovery: how long one may last and when the next one is made, with congestion control.
//! How a poll ended goes in, what comes next goes out, without sockets, clocks or draws of its own.
//!
//! Discovery is one queue for the whole fleet: it serves polls in turn and turns away those that waited too long. The
//! reasons behind each rule, and the schedules not taken, stand in `docs/design/discovery.md`.
//!
//! *A poll that discovery has taken is not thrown away.* A poll that is given up is served all the same, for nobody,
//! and where the queue is longer than the caller's patience none is served for anybody. So the time for an answer is
//! learned: it starts at `ANSWER_FIRST`, doubles after a poll that got no answer, is `ANSWER_MOST` at once after a poll
//! that discovery turned away (it is alive and busy, or about to be), and falls back after a prompt answer.
//!
//! *A recovery costs one poll.* After a poll that ended with an explicit failure the next one is a watch: it brings what
//! was missed at once, or confirms the list after `CONFIRMING_HOLD`, and the watch goes on from there. Only where
//! nothing was heard at all (silence, no connection) the next poll does not wait, so that a machine that has vanished
//! is found out soon.
//!
//! *A sidecar polls once in the time that the deadline leaves.* The first poll after a watch broke is drawn over the
//! whole `INTERVAL`, since the watches of a fleet break together, and later ones follow at that interval with a tenth
//! drawn, so that they stay spread. More polls do not bring the list sooner to a fleet that discovery can hardly serve:
//! a poll that waited too long costs discovery as much as one that is served. After a reload the first poll is drawn
//! over `RELOAD_SPREAD`.
//!
//! *A poll that is rejected at once is made again with truncated exponential backoff.* Where 503 comes at once,
//! discovery is alive and its queue is full, also with polls of this fleet: each that is turned away costs it something.
//! A connection that failed under a poll by an error of the way is made again likewise.
//! The pause begins at `BACKOFF_FIRST` and doubles up to `BACKOFF_MOST`; an answer takes one doubling back. The list
//! itself is not used beyond its lease (`cottonpoint_core::Lease`), so a late answer costs requests, never a rule.
//!
//! # What is owed
//!
//! A watch that falls silent is given up `WATCH_GRACE` after its wait, and the next poll made `SPREAD` after that at the
//! latest: `NEWS_DUE_AFTER_WAIT` (2 s) less 0.8 s. After any poll that failed, news is due `NEWS_DUE` (6 s) after
//! discovery had it and could be reached. The next poll begins within `INTERVAL` of that moment, one that was lost under
//! way included, and has `ANSWER_BUSY` for its answer: `INTERVAL + ANSWER_BUSY = NEWS_DUE`. One that is turned away after
//! the return costs one more interval.
//!
//! Discovery that serves `rate` polls a second, less what other callers take, and keeps a poll in its queue for
//! `queue`, is not overrun by a fleet of `size` as long as `size <= rate * (INTERVAL + queue)`; and no schedule gives
//! each its list in time where `size > rate * NEWS_DUE`.

use std::time::Duration;

/// How long a poll may wait before discovery answers it all the same: polls are priced over the whole fleet, and a
/// sidecar without news makes one in so long. At a shorter hold news missed in a silence would be had sooner.
const HOLD: Duration = Duration::from_secs(10);
/// The same where the list held is to be confirmed: the answer that does so comes well within the time in which news is due,
/// and the watch goes on from it at no cost. After a reload it shows whether the versions there are those of the list held.
const CONFIRMING_HOLD: Duration = Duration::from_secs(1);
/// A watch not answered so long after its wait is taken for silent. 1 s is the longest time for which discovery keeps
/// a poll in its queue (the site files), 0.1 s is for the way.
const WATCH_GRACE: Duration = Duration::from_millis(1100);
/// A connection that has not come up by then is tried again: the system repeats a lost call to connect after 1 s.
const CONNECT: Duration = Duration::from_millis(1100);
/// Time for the answer to a poll that does not wait, its connection included, while nothing is known of discovery.
const ANSWER_FIRST: Duration = Duration::from_millis(1100);
/// The longest such time: one that is lost still leaves as much for the next within [`NEWS_DUE`].
const ANSWER_MOST: Duration = Duration::from_millis((NEWS_DUE.as_millis() - 200) as u64 / 2);
/// An answer sooner than this says that discovery is not busy: half of what it may take at first.
const PROMPT: Duration = Duration::from_millis(ANSWER_FIRST.as_millis() as u64 / 2);
/// Once an answer has begun, it must be whole within this time.
pub(super) const WHOLE_ANSWER: Duration = Duration::from_millis(1100);
/// A poll after a silent one is made within this time, drawn: where all watches fall silent at once, the sidecars do
/// not all poll in one moment.
const SPREAD: Duration = Duration::from_millis(100);
/// What discovery has and could tell counts as told after this time, arrived or not (the protocol page).
const NEWS_DUE: Duration = Duration::from_secs(6);
/// What discovery has counts as told so long after SIGHUP (the operators' page).
const NEWS_DUE_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The first poll after a reload that names another discovery is made within this time, drawn: a fleet may be reloaded in
/// one moment. A quarter of the time in which its news is due; the rest is for the answer and for further tries.
const RELOAD_SPREAD: Duration = Duration::from_millis(NEWS_DUE_AFTER_RELOAD.as_millis() as u64 / 4);
/// Polls made anew at once after a silent one, in a row. From then on the next one follows at the interval.
const AT_ONCE: u32 = 2;
/// Time for an answer through a full queue: 1 s in the queue and up to 0.5 s until a list has reached its sidecar (the
/// site files).
const ANSWER_BUSY: Duration = Duration::from_millis(1500);
/// The interval from the beginning of one failed poll to that of the next.
const INTERVAL: Duration = Duration::from_millis((NEWS_DUE.as_millis() - ANSWER_BUSY.as_millis()) as u64);
/// The part of an interval which is drawn. What failed together is spread by its first pause.
const INTERVAL_DRAWN: f64 = 0.1;
/// A poll that was turned away sooner than this did not stand in the queue: a quarter of the longest time there (1 s,
/// the site files), more than the way takes.
pub(super) const REJECTED_WITHIN: Duration = Duration::from_millis(250);
/// The pause after a first poll that was rejected at once, from half of this to one and a half, drawn.
const BACKOFF_FIRST: Duration = Duration::from_millis(600);
/// The longest such pause, drawn likewise: three tries at least until news is due.
const BACKOFF_MOST: Duration = Duration::from_millis(NEWS_DUE.as_millis() as u64 / 3);
/// So many doublings reach it.
const BACKOFF_DOUBLINGS: u32 = 2;
/// The pause after a call that failed in this process, or on the way, drawn up to twice that: what ran out comes back soon.
const AGAIN_SOON: Duration = Duration::from_millis(50);
/// The first pause is not drawn over less than this, whatever is left of the lease.
const SPREAD_LEAST: Duration = Duration::from_millis(300);
/// The first poll of a process is made within this time, drawn over all of it: processes start together. A watch asked for
/// by then counts, 2.5 s later, before the lease on the list of the start is over (`cottonpoint_core::Lease`).
const START_WITHIN: Duration = Duration::from_millis(NEWS_DUE.as_millis() as u64 * 3 / 4);
/// A watch that is answered before its wait is over, without news, is against the protocol, and would be polled as fast
/// as it answers. The next poll is made this long after the first one's beginning, up to half as much again, drawn: the
/// watch goes on, since polls within 200 ms of the last answer belong to it (the protocol page).
const EARLY: Duration = Duration::from_millis(100);

/// Pushed lists: what the agent holds counts as told at once, after an outage too. An endpoint that has left may get
/// something new for the grace of 0.5 s (the site files) and 0.05 s (the protocol page), so the first poll after an
/// outage, begun `AGENT_CONNECT + AGENT_BACKOFF_MOST` = 0.4 s after its end at the latest, has 0.15 s for its answer.
/// The pause is doubled from the first to the longest, and half of it is drawn.
const AGENT_BACKOFF_FIRST: Duration = Duration::from_millis(50);
const AGENT_BACKOFF_MOST: Duration = Duration::from_millis(200);
/// A connection to an agent that has not come up by then is tried again: a lost call to connect is repeated by the
/// system after 1 s, too late for an outage that has ended meanwhile.
const AGENT_CONNECT: Duration = Duration::from_millis(200);

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// With an answer that could be used; whether it came early: without news, and before its wait was over.
    Answered { early: bool },
    /// Discovery is alive and said that it cannot serve this one (status 503).
    TurnedAway,
    /// The connection ended.
    Failed,
    /// With an answer that could not be used.
    Unusable,
    /// Nobody listens there.
    Refused,
    /// The connection did not come up.
    Unconnected,
    /// The way to discovery failed, or the connection on this side, which may be for a moment: nothing was heard of
    /// discovery itself.
    PathFailed,
    /// This process could not begin it: it has no port, buffer or descriptor to spare.
    NotMade,
    /// The connection came up and nothing, or no more, was heard; whether it was a poll that waits.
    Silent { waits: bool },
}

impl Outcome {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Answered { .. } => "answered",
            Outcome::TurnedAway => "turned_away",
            Outcome::Failed => "connection_broke",
            Outcome::Unusable => "unusable_answer",
            Outcome::Refused => "refused",
            Outcome::Unconnected => "not_connected",
            Outcome::PathFailed => "path_failed",
            Outcome::NotMade => "not_made",
            Outcome::Silent { .. } => "silent",
        }
    }
}

/// When the next poll is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextPoll {
    /// After that time.
    After(Duration),
    /// The first of a process, drawn over this time.
    FirstWithin(Duration),
}

impl NextPoll {
    /// The pause until then; where it is still to be drawn, the longest.
    pub fn pause(self) -> Duration {
        match self {
            NextPoll::After(pause) | NextPoll::FirstWithin(pause) => pause,
        }
    }
}

/// The polls of one discovery.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    pushed: bool,
    /// Whether nothing was heard of the last poll.
    unheard: bool,
    /// Whether the list held is still to be confirmed: at the start, after a reload, and after a poll that failed.
    unconfirmed: bool,
    /// Polls that came to nothing since the last answer.
    failures: u32,
    /// Doublings of the next pause after a poll that is rejected at once.
    backoff_doublings: u32,
    /// Time for the answer to a poll that does not wait.
    answer: Duration,
}

impl Schedule {
    /// No poll yet. A pushed list is polled at once, since what the agent holds counts as told from the first moment;
    /// any other at a drawn moment, so that a fleet that starts together spreads its polls.
    pub fn new(pushed: bool) -> (Schedule, NextPoll) {
        let first =
            if pushed { NextPoll::After(Duration::ZERO) } else { NextPoll::FirstWithin(START_WITHIN) };
        let schedule = Schedule {
            pushed,
            unheard: false,
            unconfirmed: true,
            failures: 0,
            backoff_doublings: 0,
            answer: ANSWER_FIRST,
        };
        (schedule, first)
    }

    /// A reload names another discovery; `draw` lies in 0..1. What an agent holds counts as told at once.
    pub fn moved(pushed: bool, draw: f64) -> (Schedule, NextPoll) {
        let spread = if pushed { Duration::ZERO } else { RELOAD_SPREAD };
        (Schedule::new(pushed).0, NextPoll::After(spread.mul_f64(draw)))
    }

    /// A poll is due at once, whatever came before.
    pub fn at_once(pushed: bool) -> (Schedule, NextPoll) {
        (Schedule::new(pushed).0, NextPoll::After(Duration::ZERO))
    }

    /// How long the next poll waits for news: not at all for the whole list, nor after one of which nothing was heard.
    pub fn hold(&self, whole: bool) -> Duration {
        match self.unconfirmed {
            _ if whole || self.unheard => Duration::ZERO,
            true => CONFIRMING_HOLD,
            false => HOLD,
        }
    }

    /// How long a connection may take to come up.
    pub fn connect_timeout(&self) -> Duration {
        if self.pushed { AGENT_CONNECT } else { CONNECT }
    }

    /// How long the answer to a poll that waits so long may take, from its sending to its last byte, if it took so long
    /// to connect. The wait begins with the sending; a poll that does not wait has one bound for both.
    pub fn answer_timeout(&self, hold: Duration, connected_after: Duration) -> Duration {
        match hold {
            Duration::ZERO => self.answer.saturating_sub(connected_after),
            // It may stand in a full queue before its wait begins.
            CONFIRMING_HOLD => hold + ANSWER_MOST,
            _ => hold + WATCH_GRACE,
        }
    }

    /// What comes after a poll that took so long and ended so, where the list may still be used for that time; `draw` lies
    /// in 0..1.
    pub fn ended(&mut self, outcome: Outcome, took: Duration, lease_left: Duration, draw: f64) -> NextPoll {
        if outcome == Outcome::NotMade {
            // No poll was made: what is known of discovery, and of the polls before, stays as it is.
            return NextPoll::After(again_soon(draw));
        }
        self.unheard = matches!(outcome, Outcome::Silent { .. } | Outcome::Unconnected);
        self.learn_answer_time(outcome, took);
        let pause = match outcome {
            Outcome::Answered { early } => {
                (self.failures, self.unconfirmed) = (0, false);
                self.backoff_doublings = self.backoff_doublings.saturating_sub(1);
                return NextPoll::After(early_pause(early, draw).saturating_sub(took));
            }
            Outcome::Silent { waits: true } => SPREAD.mul_f64(draw),
            Outcome::Silent { waits: false } if self.failures < AT_ONCE => SPREAD.mul_f64(draw),
            _ if self.pushed => agent_pause(self.failures, draw),
            Outcome::TurnedAway if took < REJECTED_WITHIN => self.backoff_pause(draw),
            Outcome::PathFailed if took <= ANSWER_MOST => self.backoff_pause(draw),
            _ => interval_pause(self.failures, took, spread(lease_left), draw),
        };
        // A way that failed for a moment is no failure of discovery's: the next one is still the first.
        if outcome != Outcome::PathFailed {
            self.failures = self.failures.saturating_add(1);
        }
        self.unconfirmed = true;
        NextPoll::After(pause)
    }

    fn backoff_pause(&mut self, draw: f64) -> Duration {
        let pause = (BACKOFF_FIRST * (1 << self.backoff_doublings)).min(BACKOFF_MOST);
        self.backoff_doublings = (self.backoff_doublings + 1).min(BACKOFF_DOUBLINGS);
        pause.mul_f64(0.5 + draw)
    }

    fn learn_answer_time(&mut self, outcome: Outcome, took: Duration) {
        self.answer = match outcome {
            Outcome::TurnedAway => ANSWER_MOST,
            Outcome::Silent { .. } => (self.answer * 2).min(ANSWER_MOST),
            Outcome::Answered { .. } if took < PROMPT => ANSWER_FIRST,
            _ => self.answer,
        };
    }
}

/// The pause after a call that failed here, or on the way, for a moment.
pub(super) fn again_soon(draw: f64) -> Duration {
    AGAIN_SOON.mul_f64(1.0 + draw)
}

fn early_pause(early: bool, draw: f64) -> Duration {
    if early { EARLY.mul_f64(1.0 + draw / 2.0) } else { Duration::ZERO }
}

fn agent_pause(failures: u32, draw: f64) -> Duration {
    let pause = AGENT_BACKOFF_FIRST * (1 << failures.min(4));
    pause.min(AGENT_BACKOFF_MOST).mul_f64(0.5 + draw / 2.0)
}

/// Over which time the first poll after a watch broke is drawn: all that the deadline leaves, and no more than the lease on
/// the list leaves beside an answer through a full queue, unless that is too little for a fleet.
fn spread(lease_left: Duration) -> Duration {
    let left = lease_left.saturating_sub(ANSWER_BUSY);
    if left < SPREAD_LEAST { INTERVAL } else { INTERVAL.min(left) }
}

/// The pause after a poll that failed after so long, and after so many failures.
fn interval_pause(failures: u32, took: Duration, spread: Duration, draw: f64) -> Duration {
    if took > ANSWER_MOST {
        // It was an open watch, and broke just now with all others of the fleet.
        return spread.mul_f64(draw);
    }
    if failures == 0 {
        return spread.min(INTERVAL - took).mul_f64(draw);
    }
    INTERVAL.mul_f64(1.0 - INTERVAL_DRAWN * (1.0 - draw)) - took
}

#[cfg(test)]
mod tests;
