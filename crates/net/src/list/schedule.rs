//! The schedule of polls of discovery: how long each poll may last and when the next one is made,
//! with congestion control. The schedule takes the outcome of a poll and returns the time of the
//! next one. It has no sockets, no clock and no random numbers of its own.
//!
//! Discovery is one queue for the whole fleet: it serves polls in order and rejects those that
//! waited too long. The reasons behind each rule, and the schedules that were not taken, are in
//! `docs/design/discovery.md`.
//!
//! *A poll that discovery has accepted is not abandoned early.* A poll that times out is served all
//! the same, for nobody; where the queue takes longer than the sidecars' timeout, no poll is served in
//! time for anybody. The answer timeout is therefore adaptive: it starts at
//! `INITIAL_ANSWER_TIMEOUT`, doubles after a poll that got no answer, rises to `MAX_ANSWER_TIMEOUT`
//! at once after a poll that discovery rejected (discovery is alive and busy, or about to be), and
//! returns to its initial value after a prompt answer.
//!
//! *A recovery costs one poll.* After a poll that ended with an explicit failure, the next one is a
//! watch: it brings what was missed at once, or confirms the list after `CONFIRMING_HOLD_TIME`, and
//! the watch continues from there. Only where nothing was received at all (silence, no connection)
//! does the next poll not wait, so that a machine that has vanished is detected soon.
//!
//! *A sidecar polls once in the time that the deadline leaves.* The first poll after a broken watch
//! is spread at random over the whole `RETRY_INTERVAL`, since the watches of a fleet break
//! together. Later ones follow at that interval with a tenth of it as jitter, so that they stay
//! spread. More polls do not bring the list sooner to a fleet that discovery can hardly serve: a
//! poll that waited too long costs discovery as much as one that is served. After a reload the
//! first poll is spread over `RELOAD_JITTER`.
//!
//! *A poll that is rejected at once is retried with truncated exponential backoff.* Where 503 comes
//! at once, discovery is alive and its queue is full, in part with polls of this fleet: each
//! rejection costs it something. A poll whose connection failed with a path error is retried in the
//! same way. The backoff starts at `INITIAL_BACKOFF` and doubles up to `MAX_BACKOFF`; an answer
//! takes back one doubling. The list itself is not used beyond its lease
//! (`cottonpoint_core::Lease`), so a late answer costs requests, but never breaks a rule.
//!
//! *An answer that could not be applied is asked for again at once.* What it said counts as
//! notified, so the list is used for no longer than the grace of a drain. The next poll does not
//! wait; where its answer cannot be applied either, later ones follow with the same backoff.
//!
//! # Guarantees
//!
//! A watch that falls silent times out `WATCH_GRACE` after its hold time, and the next poll is made
//! `SILENCE_JITTER` after that at the latest, 0.8 s before `UPDATE_DEADLINE_AFTER_HOLD` (2 s) ends.
//! After any poll that failed, an update is due `UPDATE_DEADLINE` (6 s) after discovery had it and
//! could be reached. The next poll starts within `RETRY_INTERVAL` of that moment, one that was lost
//! on the way included, and has `BUSY_ANSWER_TIME` for its answer:
//! `RETRY_INTERVAL + BUSY_ANSWER_TIME = UPDATE_DEADLINE`. A poll that is rejected after the return
//! costs one more interval.
//!
//! A discovery that serves `rate` polls a second, less what other clients take, and keeps a poll in
//! its queue for `queue`, is not overloaded by a fleet of `size` as long as
//! `size <= rate * (RETRY_INTERVAL + queue)`. No schedule gives each sidecar its list in time where
//! `size > rate * UPDATE_DEADLINE`.

use std::time::Duration;

/// How long discovery may hold a poll open before it answers without an update. Polls have a price
/// over the whole fleet, and a sidecar without updates makes one in this time. With a shorter hold
/// time, an update missed in a silence would arrive sooner.
const HOLD_TIME: Duration = Duration::from_secs(10);
/// The hold time where the list held has yet to be confirmed: the confirming answer comes well
/// before updates are due, and the watch continues from it at no cost. After a reload it shows
/// whether the list versions there are those of the list held.
const CONFIRMING_HOLD_TIME: Duration = Duration::from_secs(1);
/// A watch that is not answered this long after its hold time counts as silent. 1 s is the longest
/// time for which discovery keeps a poll in its queue (the site files), 0.1 s is for the network.
const WATCH_GRACE: Duration = Duration::from_millis(1100);
/// A connection that is not established within this time is retried: the system retransmits a lost
/// SYN after 1 s.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1100);
/// The time for the answer to a poll that does not wait, its connection included, while nothing is
/// known of discovery.
const INITIAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(1100);
/// The longest such time: a poll that is lost leaves as much time for the next one within
/// [`UPDATE_DEADLINE`].
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis((UPDATE_DEADLINE.as_millis() - 200) as u64 / 2);
/// An answer sooner than this shows that discovery is not busy: half of the initial timeout.
const PROMPT_ANSWER_TIME: Duration = Duration::from_millis(INITIAL_ANSWER_TIMEOUT.as_millis() as u64 / 2);
/// Once an answer has begun, it must be complete within this time.
pub(super) const ANSWER_COMPLETION_TIMEOUT: Duration = Duration::from_millis(1100);
/// The poll after a silent one, or after an answer that could not be applied, is made at a random
/// moment within this time: where that happens to all watches at once, the sidecars do not all poll
/// in one moment.
const SILENCE_JITTER: Duration = Duration::from_millis(100);
/// An update that discovery has and could send counts as notified after this time, arrived or not
/// (the protocol specification).
const UPDATE_DEADLINE: Duration = Duration::from_secs(6);
/// What discovery has counts as notified this long after SIGHUP (the deployment's requirements).
const UPDATE_DEADLINE_AFTER_RELOAD: Duration = Duration::from_secs(4);
/// The first poll after a reload that names another discovery is made at a random moment within
/// this time, since a fleet may be reloaded in one moment. A quarter of the time in which its
/// updates are due; the rest is for the answer and for further polls.
const RELOAD_JITTER: Duration = Duration::from_millis(UPDATE_DEADLINE_AFTER_RELOAD.as_millis() as u64 / 4);
/// The number of polls in a row that are retried at once after a silent one. From then on the next
/// one follows at the interval.
const MAX_IMMEDIATE_RETRIES: u32 = 2;
/// The time for an answer through a full queue: 1 s in the queue and up to 0.5 s until a list has
/// reached its sidecar (the site files).
const BUSY_ANSWER_TIME: Duration = Duration::from_millis(1500);
/// The interval from the start of one failed poll to the start of the next.
const RETRY_INTERVAL: Duration =
    Duration::from_millis((UPDATE_DEADLINE.as_millis() - BUSY_ANSWER_TIME.as_millis()) as u64);
/// The random part of the interval. Polls that failed together are already spread by the first
/// delay.
const RETRY_INTERVAL_JITTER: f64 = 0.1;
/// A poll that was rejected sooner than this did not wait in the queue: a quarter of the longest
/// time there (1 s, the site files), more than the network takes.
pub(super) const REJECTION_TIME: Duration = Duration::from_millis(250);
/// The backoff after the first poll that was rejected at once, with jitter from half of this to one
/// and a half.
const INITIAL_BACKOFF: Duration = Duration::from_millis(600);
/// The longest backoff, with the same jitter: at least three polls fit in before updates are due.
const MAX_BACKOFF: Duration = Duration::from_millis(UPDATE_DEADLINE.as_millis() as u64 / 3);
/// The number of doublings from the initial to the longest backoff.
const MAX_BACKOFF_DOUBLINGS: u32 = 2;
/// The delay after a poll that failed in this process or on the path, with jitter up to twice that:
/// a resource that ran out is soon available again.
const LOCAL_FAULT_BACKOFF: Duration = Duration::from_millis(50);
/// The first delay after a broken watch is spread over no less than this, whatever is left of the
/// lease.
const MIN_RETRY_SPREAD: Duration = Duration::from_millis(300);
/// The first poll of a process is made at a random moment within this time, since processes start
/// together. A watch sent by then counts, 2.5 s later, before the lease on the initial list expires
/// (`cottonpoint_core::Lease`).
const START_JITTER: Duration = Duration::from_millis(UPDATE_DEADLINE.as_millis() as u64 * 3 / 4);
/// A watch that is answered without an update before its hold time is over violates the protocol,
/// and would be polled as fast as it answers. The next poll is made this long after the start of
/// the first one, plus up to half of it as jitter. The watch goes on, since polls within 200 ms of
/// the last answer belong to it (the protocol specification).
const EARLY_ANSWER_INTERVAL: Duration = Duration::from_millis(100);

/// Pushed lists: what the agent holds counts as notified at once, after an outage too. An endpoint
/// that has been removed may get new requests for the grace of 0.5 s (the site files) and 0.05 s
/// (the protocol specification). The first poll after an outage starts `AGENT_CONNECT_TIMEOUT +
/// MAX_AGENT_BACKOFF` = 0.4 s after its end at the latest, and so has 0.15 s for its answer. The
/// backoff doubles from the initial to the longest, and half of it is jitter.
const INITIAL_AGENT_BACKOFF: Duration = Duration::from_millis(50);
const MAX_AGENT_BACKOFF: Duration = Duration::from_millis(200);
/// A connection to an agent that is not established within this time is retried: the system
/// retransmits a lost SYN after 1 s, too late for an outage that has ended meanwhile.
const AGENT_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How a poll ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PollOutcome {
    /// With an answer that could be used. It is early if it came without an update before the hold
    /// time was over.
    Answered { early: bool },
    /// Discovery is alive and said that it cannot serve the poll (status 503).
    TurnedAway,
    /// The connection ended.
    Failed,
    /// With an answer that could not be applied, or that ended early.
    Unusable,
    /// With a status other than 200 and 503, which says nothing about the list.
    ErrorStatus,
    /// The connection was refused: nothing listens there.
    Refused,
    /// The connection was not established in time.
    Unconnected,
    /// The path to discovery failed, or the connection on this side, possibly for a moment only:
    /// nothing was heard of discovery itself.
    PathFailed,
    /// This process could not start the poll: it has no port, buffer or descriptor to spare.
    NotMade,
    /// The connection was established, and then nothing, or nothing more, was received; `waits`
    /// says whether the poll was a watch.
    Silent { waits: bool },
}

impl PollOutcome {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            PollOutcome::Answered { .. } => "answered",
            PollOutcome::TurnedAway => "turned_away",
            PollOutcome::Failed => "connection_broke",
            PollOutcome::Unusable => "unusable_answer",
            PollOutcome::ErrorStatus => "error_status",
            PollOutcome::Refused => "refused",
            PollOutcome::Unconnected => "not_connected",
            PollOutcome::PathFailed => "path_failed",
            PollOutcome::NotMade => "not_made",
            PollOutcome::Silent { .. } => "silent",
        }
    }
}

/// When the next poll is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NextPoll {
    /// After this delay.
    After(Duration),
    /// The first poll of a process, at a random moment within this time.
    FirstWithin(Duration),
}

impl NextPoll {
    /// The delay until then; where it has yet to be drawn, the longest.
    pub fn delay(self) -> Duration {
        match self {
            NextPoll::After(delay) | NextPoll::FirstWithin(delay) => delay,
        }
    }
}

/// The state of the polls of one discovery.
#[derive(Clone, Debug)]
pub(super) struct Schedule {
    pushed: bool,
    /// Whether the next poll asks for an answer at once: the last one got no sign of life from
    /// discovery, or an answer that could not be applied.
    without_hold: bool,
    /// Whether the list held has yet to be confirmed: at the start, after a reload, and after a
    /// failed poll.
    unconfirmed: bool,
    /// The number of failed polls since the last answer.
    failures: u32,
    /// The number of doublings in the next backoff after a poll that is rejected at once.
    backoff_doublings: u32,
    /// The time for the answer to a poll that does not wait.
    answer_timeout: Duration,
}

impl Schedule {
    /// The state before the first poll. A pushed list is polled at once, since what the agent holds
    /// counts as notified from the first moment; any other at a random moment, so that a fleet that
    /// starts together spreads its polls.
    pub fn new(pushed: bool) -> (Schedule, NextPoll) {
        let first =
            if pushed { NextPoll::After(Duration::ZERO) } else { NextPoll::FirstWithin(START_JITTER) };
        let schedule = Schedule {
            pushed,
            without_hold: false,
            unconfirmed: true,
            failures: 0,
            backoff_doublings: 0,
            answer_timeout: INITIAL_ANSWER_TIMEOUT,
        };
        (schedule, first)
    }

    /// The state after a reload that names another discovery; `jitter` is in 0..1. What an agent
    /// holds counts as notified at once.
    pub fn moved(pushed: bool, jitter: f64) -> (Schedule, NextPoll) {
        let spread = if pushed { Duration::ZERO } else { RELOAD_JITTER };
        (Schedule::new(pushed).0, NextPoll::After(spread.mul_f64(jitter)))
    }

    /// The state where a poll is due at once, whatever came before.
    pub fn immediate(pushed: bool) -> (Schedule, NextPoll) {
        (Schedule::new(pushed).0, NextPoll::After(Duration::ZERO))
    }

    /// The hold time of the next poll: none for the whole list, nor after a poll that got no sign
    /// of life or an answer that could not be applied.
    pub fn hold_time(&self, whole: bool) -> Duration {
        match self.unconfirmed {
            _ if whole || self.without_hold => Duration::ZERO,
            true => CONFIRMING_HOLD_TIME,
            false => HOLD_TIME,
        }
    }

    /// How long a connect may take.
    pub fn connect_timeout(&self) -> Duration {
        if self.pushed { AGENT_CONNECT_TIMEOUT } else { CONNECT_TIMEOUT }
    }

    /// The timeout for the answer to a poll with that hold time, from its sending to the last byte,
    /// if it took `connected_after` to connect. The hold time begins with the sending; a poll that
    /// does not wait has one timeout for both.
    pub fn answer_timeout(&self, hold_time: Duration, connected_after: Duration) -> Duration {
        match hold_time {
            Duration::ZERO => self.answer_timeout.saturating_sub(connected_after),
            // The poll may stand in a full queue before its hold time begins.
            CONFIRMING_HOLD_TIME => hold_time + MAX_ANSWER_TIMEOUT,
            _ => hold_time + WATCH_GRACE,
        }
    }

    /// Returns when the next poll is made after one that took `took` and ended with `outcome`.
    /// `lease_left` is the time for which the list may still be used; `jitter` is in 0..1.
    pub fn poll_ended(
        &mut self,
        outcome: PollOutcome,
        took: Duration,
        lease_left: Duration,
        jitter: f64,
    ) -> NextPoll {
        if outcome == PollOutcome::NotMade {
            // No poll was made: what is known of discovery, and of earlier polls, does not change.
            return NextPoll::After(local_fault_backoff(jitter));
        }
        self.without_hold = matches!(
            outcome,
            PollOutcome::Silent { .. } | PollOutcome::Unconnected | PollOutcome::Unusable
        );
        self.adapt_answer_timeout(outcome, took);
        let delay = match outcome {
            PollOutcome::Answered { early } => {
                (self.failures, self.unconfirmed) = (0, false);
                self.backoff_doublings = self.backoff_doublings.saturating_sub(1);
                return NextPoll::After(early_answer_delay(early, jitter).saturating_sub(took));
            }
            PollOutcome::Silent { waits: true } => SILENCE_JITTER.mul_f64(jitter),
            PollOutcome::Silent { waits: false } if self.failures < MAX_IMMEDIATE_RETRIES => {
                SILENCE_JITTER.mul_f64(jitter)
            }
            // A call that the agent kept for a while costs it little to repeat soon.
            _ if self.pushed && took >= REJECTION_TIME => agent_backoff(0, jitter),
            _ if self.pushed => agent_backoff(self.failures, jitter),
            PollOutcome::Unusable if self.failures == 0 => SILENCE_JITTER.mul_f64(jitter),
            PollOutcome::Unusable => self.next_backoff(jitter),
            PollOutcome::TurnedAway if took < REJECTION_TIME => self.next_backoff(jitter),
            PollOutcome::PathFailed if took <= MAX_ANSWER_TIMEOUT => self.next_backoff(jitter),
            _ => retry_delay(self.failures, took, retry_spread(lease_left), jitter),
        };
        // A transient path error is not a failure of discovery: the next failure still counts as
        // the first.
        if outcome != PollOutcome::PathFailed {
            self.failures = self.failures.saturating_add(1);
        }
        self.unconfirmed = true;
        NextPoll::After(delay)
    }

    fn next_backoff(&mut self, jitter: f64) -> Duration {
        let delay = (INITIAL_BACKOFF * (1 << self.backoff_doublings)).min(MAX_BACKOFF);
        self.backoff_doublings = (self.backoff_doublings + 1).min(MAX_BACKOFF_DOUBLINGS);
        delay.mul_f64(0.5 + jitter)
    }

    fn adapt_answer_timeout(&mut self, outcome: PollOutcome, took: Duration) {
        self.answer_timeout = match outcome {
            PollOutcome::TurnedAway => MAX_ANSWER_TIMEOUT,
            PollOutcome::Silent { .. } => (self.answer_timeout * 2).min(MAX_ANSWER_TIMEOUT),
            PollOutcome::Answered { .. } if took < PROMPT_ANSWER_TIME => INITIAL_ANSWER_TIMEOUT,
            _ => self.answer_timeout,
        };
    }
}

/// The delay after a poll that failed in this process, or on the path, for a moment.
pub(super) fn local_fault_backoff(jitter: f64) -> Duration {
    LOCAL_FAULT_BACKOFF.mul_f64(1.0 + jitter)
}

fn early_answer_delay(early: bool, jitter: f64) -> Duration {
    if early { EARLY_ANSWER_INTERVAL.mul_f64(1.0 + jitter / 2.0) } else { Duration::ZERO }
}

fn agent_backoff(failures: u32, jitter: f64) -> Duration {
    let delay = INITIAL_AGENT_BACKOFF * (1 << failures.min(4));
    delay.min(MAX_AGENT_BACKOFF).mul_f64(0.5 + jitter / 2.0)
}

/// The time over which the first poll after a broken watch is spread: all that the deadline leaves,
/// and no more than the lease leaves beside an answer through a full queue, unless that is too
/// little for a fleet.
fn retry_spread(lease_left: Duration) -> Duration {
    let remaining = lease_left.saturating_sub(BUSY_ANSWER_TIME);
    if remaining < MIN_RETRY_SPREAD { RETRY_INTERVAL } else { RETRY_INTERVAL.min(remaining) }
}

/// The delay after a poll that failed after `took`, and after `failures` failures before it.
fn retry_delay(failures: u32, took: Duration, spread: Duration, jitter: f64) -> Duration {
    if took > MAX_ANSWER_TIMEOUT {
        // An open watch broke just now, together with all others of the fleet.
        return spread.mul_f64(jitter);
    }
    if failures == 0 {
        return spread.min(RETRY_INTERVAL - took).mul_f64(jitter);
    }
    RETRY_INTERVAL.mul_f64(1.0 - RETRY_INTERVAL_JITTER * (1.0 - jitter)) - took
}

#[cfg(test)]
mod tests;
