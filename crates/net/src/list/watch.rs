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
    /// With an answer that could be used.
    Told,
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
    /// When the balancer asks.
    WhenAsked,
}

/// The calls on one place of discovery.
#[derive(Debug)]
pub(super) struct Watch {
    pushed: bool,
    /// Silent calls for the whole list, and pushed calls that failed, since the last answer.
    silent: u32,
    failed: u32,
}

impl Watch {
    /// No call yet. A pushed list is asked for at once, since what the agent holds counts as told from the first
    /// moment; any other when the balancer asks, so that a fleet that starts together spreads its calls.
    pub fn new(pushed: bool) -> (Watch, Next) {
        let first = if pushed { Next::After(Duration::ZERO) } else { Next::WhenAsked };
        (Watch { pushed, silent: 0, failed: 0 }, first)
    }

    /// Discovery is elsewhere: a call is due at once, since what it holds there counts as told soon.
    pub fn moved(pushed: bool) -> (Watch, Next) {
        (Watch::new(pushed).0, Next::After(Duration::ZERO))
    }

    /// How long the next call waits for news: not at all for the whole list.
    pub fn hold(&self, whole: bool) -> Duration {
        if whole { Duration::ZERO } else { HOLD }
    }

    /// How long a connection may take to come up.
    pub fn connects_within(&self) -> Duration {
        if self.pushed { AGENT_CONNECTS } else { PATIENCE }
    }

    /// How long a call that waits so long may take, from its sending to the last byte of its answer.
    pub fn answers_within(&self, hold: Duration) -> Duration {
        hold + PATIENCE
    }

    /// What comes after a call that ended so; `draw` lies in 0..1.
    pub fn ended(&mut self, ended: Ended, draw: f64) -> Next {
        match ended {
            Ended::Told => {
                (self.silent, self.failed) = (0, 0);
                Next::After(Duration::ZERO)
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
            _ => Next::WhenAsked,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    /// What a silent call misses counts as told so long after the silence began, ...
    const TOLD: Duration = ms(6000);
    /// ... and so long after its wait, if that is later (the operators' page).
    const TOLD_AFTER_WAIT: Duration = ms(2000);

    /// Calls that all fall silent, in virtual time: when each was made, of `count` that ask for the whole list or not.
    fn silent_calls(pushed: bool, whole: bool, draw: f64, count: usize) -> Vec<Duration> {
        let (mut watch, _) = Watch::new(pushed);
        let (mut now, mut made) = (Duration::ZERO, vec![Duration::ZERO]);
        while made.len() < count {
            now += watch.answers_within(watch.hold(whole));
            match watch.ended(Ended::Silent { waits: !whole }, draw) {
                Next::After(pause) => now += pause,
                Next::WhenAsked => break,
            }
            made.push(now);
        }
        made
    }

    /// Guards against: a silent watch begun anew after what it missed counts as told, or with too little time left for
    /// the answer (0.05 s with a give-up 1.2 s after the wait and the balancer's first pause of up to 0.75 s), at
    /// whatever moment of its wait the silence began, however often that comes.
    #[test]
    fn a_silent_watch_is_begun_anew_well_before_what_it_missed_counts_as_told() {
        for (pushed, draw) in [(false, 0.0), (false, 1.0), (true, 0.0), (true, 1.0)] {
            let made = silent_calls(pushed, false, draw, 20);
            assert_eq!(made.len(), 20, "each time at once");
            for pair in made.windows(2) {
                for silence in (0..=10_000).step_by(50).map(ms) {
                    let told = (pair[0] + silence + TOLD).max(pair[0] + HOLD + TOLD_AFTER_WAIT);
                    assert!(pair[1] + ms(800) <= told, "silent {silence:?} after {pair:?}, draw {draw}");
                }
                assert!(pair[1] >= pair[0] + HOLD + ms(1000), "an answer may stand in a queue for 1 s");
            }
        }
    }

    /// Guards against: a call for the whole list that falls silent left to the balancer's pause, which an outage before
    /// it may have made longer than 6 s; and calls without end on a discovery that is silent to all.
    #[test]
    fn a_silent_call_for_the_whole_list_is_made_anew_a_few_times_then_left_to_the_balancer() {
        let made = silent_calls(false, true, 1.0, 20);
        assert_eq!(made, [ms(0), ms(1200), ms(2400), ms(3600)]);
        assert!(made.iter().all(|at| *at + ms(2400) <= TOLD));
    }

    /// Guards against: the first word of an agent after an outage later than the grace, whether it refused connections
    /// or never let them come up, however long it was; and calls without a pause meanwhile.
    #[test]
    fn an_agent_is_asked_soon_after_any_outage() {
        for (draw, connect) in [(0.0, ms(0)), (1.0, ms(0)), (0.0, AGENT_CONNECTS), (1.0, AGENT_CONNECTS)] {
            for outage in (0..=20_000).step_by(10).map(ms) {
                let (mut watch, first) = Watch::new(true);
                assert_eq!(first, Next::After(Duration::ZERO));
                let (mut now, mut calls) = (Duration::ZERO, 0);
                while now < outage {
                    let Next::After(pause) = watch.ended(Ended::Failed, draw) else { panic!("never") };
                    now += connect.min(watch.connects_within()) + pause;
                    calls += 1;
                }
                assert!(now + ms(150) <= outage + ms(550), "{outage:?}, draw {draw}: {now:?}");
                assert!(calls <= 3 + outage.as_millis() / 100, "{calls} calls in {outage:?}");
            }
        }
    }

    /// Guards against: a list that has to be asked for called for without the balancer's word, at a start or after a
    /// failure, by all sidecars together; and a move that waits for it.
    #[test]
    fn an_asked_list_is_left_to_the_balancer_but_for_silence_and_moves() {
        let (mut watch, first) = Watch::new(false);
        assert_eq!((first, watch.ended(Ended::Failed, 0.5)), (Next::WhenAsked, Next::WhenAsked));
        assert_eq!(watch.ended(Ended::Told, 0.5), Next::After(Duration::ZERO));
        assert_eq!(Watch::moved(false).1, Next::After(Duration::ZERO));
    }
}
