//! One sidecar's polls in virtual time, through whatever faults: its list is there before its news is due.

use super::*;
use proptest::prelude::*;

/// How a poll ends, after what time.
type End = (Duration, Outcome);

/// What goes wrong with a poll; the figures are shares of the longest that it may take.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Refused,
    Unconnected,
    Silent {
        connects: f64,
    },
    /// A reset or noise, after a while.
    Ends {
        after: f64,
    },
    /// 503, after a while.
    TurnedAway {
        after: f64,
    },
    /// An answer, without what is asked of it here.
    Answered {
        after: f64,
        early: bool,
    },
}

impl Fault {
    fn end(self, schedule: &Schedule, hold: Duration) -> End {
        let longest = schedule.answer_timeout(hold, Duration::ZERO);
        match self {
            Fault::Refused => (Duration::ZERO, Outcome::Failed),
            Fault::Unconnected => (schedule.connect_timeout(), Outcome::Unconnected),
            Fault::Silent { connects } => {
                let connects = schedule.connect_timeout().mul_f64(connects);
                let took = connects + schedule.answer_timeout(hold, connects);
                (took, Outcome::Silent { waits: !hold.is_zero() })
            }
            Fault::Ends { after } => (longest.mul_f64(after), Outcome::Failed),
            Fault::TurnedAway { after } => (longest.mul_f64(after), Outcome::TurnedAway),
            Fault::Answered { after, early } => {
                (longest.mul_f64(after), Outcome::Answered { early: early && !hold.is_zero() })
            }
        }
    }
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        Just(Fault::Refused),
        Just(Fault::Unconnected),
        (0.0..=1.0).prop_map(|connects| Fault::Silent { connects }),
        (0.0..=1.0).prop_map(|after| Fault::Ends { after }),
        (0.0..=1.0).prop_map(|after| Fault::TurnedAway { after }),
        (0.01..=1.0, any::<bool>()).prop_map(|(after, early)| Fault::Answered { after, early }),
    ]
}

/// A poll that is made when discovery is back.
#[derive(Clone, Copy, Debug)]
struct Return {
    /// Whether the first one made after the return is turned away, after a part of the longest queue.
    turned_away: Option<f64>,
    /// The time of the answer, as a part of [`ANSWER_BUSY`].
    answered: f64,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against: a change that counts as told (6 s after discovery has it and can be reached) before the sidecar
    /// has it, after whatever polls, though its answer comes through a full queue. One that is turned away after the
    /// return costs one interval more, and no more; that a discovery which can serve the fleet turns none away is shown
    /// in `congestion`. A watch that fell silent has the page's own clock: its next poll is made 0.8 s before that ends.
    /// The 6 s begin when a watch that was open at the return ends. A reload with another place begins anew.
    #[test]
    fn what_discovery_has_is_had_within_six_seconds(
        pushed: bool,
        whole: bool,
        faults in prop::collection::vec(fault(), 1..12),
        reloads in prop::collection::vec((0..40_000u64).prop_map(ms), 0..6),
        first_draw in 0.0..=1.0,
        back in (0..40_000u64).prop_map(ms),
        turned_away in prop::option::of(0.0..=1.0),
        answered in 0.0..=0.9,
        draws in prop::collection::vec(0.0..1.0, 7),
    ) {
        let (mut draws, mut faults) = (draws.into_iter().cycle(), faults.into_iter().cycle());
        let mut draw = || draws.next().unwrap_or_default();
        let mut returned = Return { turned_away, answered };
        let mut reloads: Vec<_> = reloads.into_iter().filter(|at| *at < back).collect();
        reloads.sort();
        let mut reloads = reloads.into_iter().peekable();
        let (mut schedule, first) = Schedule::new(pushed);
        let mut now = match first {
            NextPoll::After(pause) => pause,
            NextPoll::FirstWithin(within) => within.mul_f64(first_draw),
        };
        let (mut whole, mut due) = (whole, back + NEWS_DUE);
        for step in 0.. {
            prop_assert!(step < 100_000, "no end");
            let hold = schedule.hold(whole);
            if now < back {
                let (took, outcome) = faults.next().expect("a cycle").end(&schedule, hold);
                if let Some(at) = reloads.next_if(|at| *at <= now + took) {
                    let next;
                    (schedule, next) = Schedule::moved(pushed, draw());
                    (whole, now) = (true, now.max(at) + pause(next));
                    continue;
                }
                let ends = now + took;
                if ends > back && !hold.is_zero() {
                    match outcome {
                        // An open watch is told at once.
                        Outcome::Answered { .. } => break,
                        Outcome::Silent { .. } => {
                            let page = (back + NEWS_DUE).max(now + hold + NEWS_DUE_AFTER_WAIT);
                            prop_assert!(now + hold + WATCH_GRACE + SPREAD + ms(800) <= page);
                            due = ends + NEWS_DUE;
                        }
                        // It breaks later, and only then there is something to mend.
                        _ if took > ANSWER_MOST => due = ends + NEWS_DUE,
                        // It was turned away, or failed, at once.
                        _ => {}
                    }
                }
                whole &= !matches!(outcome, Outcome::Answered { .. });
                now = ends + pause(schedule.ended(outcome, took, NEWS_DUE, draw()));
                continue;
            }
            if let Some(after) = returned.turned_away.take() {
                let took = ms(1000).mul_f64(after);
                due += INTERVAL;
                now += took + pause(schedule.ended(Outcome::TurnedAway, took, NEWS_DUE, draw()));
                continue;
            }
            let had = now + ANSWER_BUSY.mul_f64(returned.answered);
            prop_assert!(had + ms(100) <= due, "had at {had:?}, due at {due:?}, there at {back:?}");
            break;
        }
    }
}
