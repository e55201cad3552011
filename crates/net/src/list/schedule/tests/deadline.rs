//! One sidecar's polls in virtual time, through random faults: it has its list before its update is
//! due.

use super::*;
use proptest::prelude::*;

/// The duration and the outcome of a poll.
type PollResult = (Duration, PollOutcome);

/// What happens to a poll; the numbers are fractions of its longest duration.
#[derive(Clone, Copy, Debug)]
enum PollFault {
    Refused,
    Unconnected,
    Silent {
        connects: f64,
    },
    /// A reset or an unusable answer, after a while.
    Ends {
        after: f64,
    },
    /// 503, after a while.
    TurnedAway {
        after: f64,
    },
    /// An answer that lacks the update which the test waits for.
    Answered {
        after: f64,
        early: bool,
    },
}

impl PollFault {
    fn result(self, schedule: &Schedule, hold_time: Duration) -> PollResult {
        let longest = schedule.answer_timeout(hold_time, Duration::ZERO);
        match self {
            PollFault::Refused => (Duration::ZERO, PollOutcome::Failed),
            PollFault::Unconnected => (schedule.connect_timeout(), PollOutcome::Unconnected),
            PollFault::Silent { connects } => {
                let connects = schedule.connect_timeout().mul_f64(connects);
                let took = connects + schedule.answer_timeout(hold_time, connects);
                (took, PollOutcome::Silent { waits: !hold_time.is_zero() })
            }
            PollFault::Ends { after } => (longest.mul_f64(after), PollOutcome::Failed),
            PollFault::TurnedAway { after } => (longest.mul_f64(after), PollOutcome::TurnedAway),
            PollFault::Answered { after, early } => {
                (longest.mul_f64(after), PollOutcome::Answered { early: early && !hold_time.is_zero() })
            }
        }
    }
}

fn fault() -> impl Strategy<Value = PollFault> {
    prop_oneof![
        Just(PollFault::Refused),
        Just(PollFault::Unconnected),
        (0.0..=1.0).prop_map(|connects| PollFault::Silent { connects }),
        (0.0..=1.0).prop_map(|after| PollFault::Ends { after }),
        (0.0..=1.0).prop_map(|after| PollFault::TurnedAway { after }),
        (0.01..=1.0, any::<bool>()).prop_map(|(after, early)| PollFault::Answered { after, early }),
    ]
}

/// The polls that are made once discovery has recovered.
#[derive(Clone, Copy, Debug)]
struct Recovery {
    /// Whether the first one is rejected, after a fraction of the longest time in the queue.
    turned_away: Option<f64>,
    /// The time of the answer, as a fraction of [`BUSY_ANSWER_TIME`].
    answered: f64,
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4000, failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a change that counts as notified (6 s after discovery has it and can be
    /// reached) before the sidecar has it, after any sequence of polls, though its answer comes
    /// through a full queue. A poll that is rejected after the recovery costs one interval more,
    /// and no more; that a discovery which can serve the fleet rejects none is shown in
    /// `congestion`. A watch that fell silent has its own deadline in the protocol specification:
    /// its next poll is made 0.8 s before that. The 6 s start when a watch that was open at the
    /// recovery ends. A reload with another discovery address starts anew.
    #[test]
    fn update_is_received_within_six_seconds_of_recovery(
        pushed: bool,
        whole: bool,
        faults in prop::collection::vec(fault(), 1..12),
        reloads in prop::collection::vec((0..40_000u64).prop_map(ms), 0..6),
        first_jitter in 0.0..=1.0,
        outage_end in (0..40_000u64).prop_map(ms),
        turned_away in prop::option::of(0.0..=1.0),
        answered in 0.0..=0.9,
        jitter_values in prop::collection::vec(0.0..1.0, 7),
    ) {
        let (mut jitter_values, mut faults) =
            (jitter_values.into_iter().cycle(), faults.into_iter().cycle());
        let mut jitter = || jitter_values.next().unwrap_or_default();
        let mut recovery = Recovery { turned_away, answered };
        let mut reloads: Vec<_> = reloads.into_iter().filter(|at| *at < outage_end).collect();
        reloads.sort();
        let mut reloads = reloads.into_iter().peekable();
        let (mut schedule, first) = Schedule::new(pushed);
        let mut now = match first {
            NextPoll::After(delay) => delay,
            NextPoll::FirstWithin(within) => within.mul_f64(first_jitter),
        };
        let (mut whole, mut deadline) = (whole, outage_end + UPDATE_DEADLINE);
        for step in 0.. {
            prop_assert!(step < 100_000, "the polls do not end");
            let hold_time = schedule.hold_time(whole);
            if now < outage_end {
                let (took, outcome) = faults.next().expect("a cycle").result(&schedule, hold_time);
                if let Some(at) = reloads.next_if(|at| *at <= now + took) {
                    let next;
                    (schedule, next) = Schedule::moved(pushed, jitter());
                    (whole, now) = (true, now.max(at) + delay(next));
                    continue;
                }
                let ends = now + took;
                if ends > outage_end && !hold_time.is_zero() {
                    match outcome {
                        // An open watch receives the update at once.
                        PollOutcome::Answered { .. } => break,
                        PollOutcome::Silent { .. } => {
                            let spec_deadline = (outage_end + UPDATE_DEADLINE)
                                .max(now + hold_time + UPDATE_DEADLINE_AFTER_HOLD);
                            prop_assert!(
                                now + hold_time + WATCH_GRACE + SILENCE_JITTER + ms(800) <= spec_deadline
                            );
                            deadline = ends + UPDATE_DEADLINE;
                        }
                        // The watch breaks later, and only then is there something to recover.
                        _ if took > MAX_ANSWER_TIMEOUT => deadline = ends + UPDATE_DEADLINE,
                        // The poll was rejected, or failed, at once.
                        _ => {}
                    }
                }
                whole &= !matches!(outcome, PollOutcome::Answered { .. });
                now = ends + delay(schedule.poll_ended(outcome, took, UPDATE_DEADLINE, jitter()));
                continue;
            }
            if let Some(after) = recovery.turned_away.take() {
                let took = ms(1000).mul_f64(after);
                deadline += RETRY_INTERVAL;
                now += took
                    + delay(schedule.poll_ended(PollOutcome::TurnedAway, took, UPDATE_DEADLINE, jitter()));
                continue;
            }
            let received_at = now + BUSY_ANSWER_TIME.mul_f64(recovery.answered);
            prop_assert!(
                received_at + ms(100) <= deadline,
                "received at {received_at:?}, due at {deadline:?}, recovery at {outage_end:?}"
            );
            break;
        }
    }
}
