//! The clock of the calls on discovery: how long one may last, and when the next one is made. How a call ended goes
//! in, what comes next goes out, without sockets, clocks or draws of its own.
//!
//! A call that says nothing, or stops saying, is silent. What a silent call misses counts as told, arrived or not (the
//! operators' page), at
//!
//! ```text
//! told = max(start of the silence + 6 s, end of the wait + 2 s)      a call that waits (HOLD)
//! told = start of the silence + 6 s                                  a call for the whole list
//! ```
//!
//! and the list held is taken for true until then. With the figures below the next call is made at the latest at
//!
//! ```text
//! anew = end of the wait + PATIENCE + SPREAD = told - 0.8 s          a call that waits, each time
//! anew = n * (PATIENCE + SPREAD) <= told - 2.4 s                     a call for the whole list, n = 1 to AT_ONCE
//! ```
//!
//! so that its connection and answer have 0.8 s at the worst. A silence in the middle of an answer ends sooner, PATIENCE
//! after the answer's first byte.
//!
//! After any call that failed, was refused or given up, a change counts as told 6 s (TOLD) after discovery had it and
//! could be reached. So the call after such a one never waits: it lasts PATIENCE at the most, its connection included.
//! And the calls on an asked list begin at most AGAIN after one another, the first AGAIN after the start, whatever the
//! balancer says, how ever long its own pause is and how ever often SIGHUP brings a new one. One call that is lost under
//! way when discovery returns and one that fails after its return (an overrun discovery ends calls that stood in its
//! queue) still leave
//!
//! ```text
//! answered = 2 * AGAIN + PATIENCE = TOLD - 0.1 s
//! ```
//!
//! The balancer's word, where it comes sooner, is heeded: it spreads the first calls after a failure.

use std::time::Duration;

/// How long a call may wait before discovery answers it all the same: calls are priced over the whole fleet, and a
/// sidecar without news makes one in so long. At a shorter hold news missed in a silence would be had sooner.
const HOLD: Duration = Duration::from_secs(10);
/// An answer that is later than this beyond its wait is given up, and so is a connection that has not come up.
/// Discovery itself ends a call that has stood in its queue for 1 s (the site files); 0.1 s is for the way.
pub(super) const PATIENCE: Duration = Duration::from_millis(1100);
/// A call after a silent one is made within this time, drawn: where all watches fall silent at once, the sidecars do
/// not all call in one moment.
const SPREAD: Duration = Duration::from_millis(100);
/// Calls for the whole list made anew at once after a silent one, in a row: as many as lie well within the 6 s. From
/// then on, and after any other failure, the balancer (or the pause of a pushed list) says when.
const AT_ONCE: u32 = 3;
/// What discovery has and could tell counts as told after this time, arrived or not (the protocol page).
const TOLD: Duration = Duration::from_secs(6);
/// Longest time from the beginning of one call on an asked list to that of the next, unless the first waits for news:
/// 2.4 s. 0.1 s is for timers and the way.
const AGAIN: Duration = Duration::from_millis((TOLD.as_millis() - PATIENCE.as_millis() - 100) as u64 / 2);
/// The part of that time which is drawn, so that what failed together is not called together.
const AGAIN_DRAWN: f64 = 1.0 / 3.0;
/// A watch that is answered before its wait is over, without news, is against the protocol, and would be called as fast
/// as it answers. The next call is made this long after the first one's beginning, up to half as much again, drawn: the
/// watch goes on, since calls within 200 ms of the last answer belong to it (the protocol page).
const EARLY: Duration = Duration::from_millis(100);

/// Pushed lists: what the agent holds counts as told at once, after an outage too. An endpoint that has left may get
/// something new for the grace of 0.5 s (the site files) and 0.05 s (the protocol page), so the first call after an
/// outage, begun `AGENT_CONNECTS + AGENT_AGAIN_MOST` = 0.4 s after its end at the latest, has 0.15 s for its answer.
/// The pause is doubled from the first to the longest, and half of it is drawn.
const AGENT_AGAIN: Duration = Duration::from_millis(50);
const AGENT_AGAIN_MOST: Duration = Duration::from_millis(200);
/// A connection to an agent that has not come up by then is tried again: a lost call to connect is repeated by the
/// system after 1 s, too late for an outage that has ended meanwhile.
const AGENT_CONNECTS: Duration = Duration::from_millis(200);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ended {
    /// With an answer that could be used; whether it came early: without news, and before its wait was over.
    Told { early: bool },
    /// With silence; whether it was one that waits.
    Silent { waits: bool },
    /// With a connection refused, reset or not come up, or with an answer that could not be used.
    Failed,
}

/// When the next call is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Next {
    /// After that time.
    After(Duration),
    /// When the balancer asks, and after this time at the latest.
    WhenAsked { within: Duration },
}

/// The calls on one place of discovery.
#[derive(Debug)]
pub(super) struct Watch {
    pushed: bool,
    /// Whether the last call came to nothing.
    anew: bool,
    /// Silent calls for the whole list, and pushed calls that failed, since the last answer.
    silent: u32,
    failed: u32,
}

impl Watch {
    /// No call yet. A pushed list is asked for at once, since what the agent holds counts as told from the first
    /// moment; any other when the balancer asks, so that a fleet that starts together spreads its calls.
    pub fn new(pushed: bool) -> (Watch, Next) {
        let first = if pushed { Next::After(Duration::ZERO) } else { Next::WhenAsked { within: AGAIN } };
        (Watch { pushed, anew: false, silent: 0, failed: 0 }, first)
    }

    /// Discovery is elsewhere: a call is due at once, since what it holds there counts as told soon.
    pub fn moved(pushed: bool) -> (Watch, Next) {
        (Watch::new(pushed).0, Next::After(Duration::ZERO))
    }

    /// How long the next call waits for news: not at all for the whole list, nor after a call that came to nothing.
    pub fn hold(&self, whole: bool) -> Duration {
        if whole || self.anew { Duration::ZERO } else { HOLD }
    }

    /// How long a connection may take to come up.
    pub fn connects_within(&self) -> Duration {
        if self.pushed { AGENT_CONNECTS } else { PATIENCE }
    }

    /// How long the answer to a call that waits so long may take, from its sending to its last byte, if it took so long
    /// to connect. The wait begins with the sending; a call that does not wait has one bound for both.
    pub fn answers_within(&self, hold: Duration, connected_after: Duration) -> Duration {
        if hold.is_zero() { PATIENCE.saturating_sub(connected_after) } else { hold + PATIENCE }
    }

    /// What comes after a call that took so long and ended so; `draw` lies in 0..1.
    pub fn ended(&mut self, ended: Ended, took: Duration, draw: f64) -> Next {
        self.anew = !matches!(ended, Ended::Told { .. });
        match ended {
            Ended::Told { early } => {
                (self.silent, self.failed) = (0, 0);
                let pause = if early { EARLY.mul_f64(1.0 + draw / 2.0) } else { Duration::ZERO };
                Next::After(pause.saturating_sub(took))
            }
            Ended::Silent { waits: true } => Next::After(SPREAD.mul_f64(draw)),
            Ended::Silent { waits: false } if self.silent < AT_ONCE => {
                self.silent += 1;
                Next::After(SPREAD.mul_f64(draw))
            }
            _ if self.pushed => {
                let pause = (AGENT_AGAIN * (1 << self.failed.min(4))).min(AGENT_AGAIN_MOST);
                self.failed += 1;
                Next::After(pause.mul_f64(0.5 + draw / 2.0))
            }
            _ => {
                // A watch that broke late is a fresh failure: what it lasted beyond a call does not count.
                let again = AGAIN.mul_f64(1.0 - AGAIN_DRAWN * (1.0 - draw));
                Next::WhenAsked { within: again - took.min(PATIENCE) }
            }
        }
    }
}

#[cfg(test)]
mod tests;
