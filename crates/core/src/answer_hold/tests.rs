//! Tests of how long an answer is held back.

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const START: Time = Time(1_000_000_000);
const DEADLINE: Duration = ms(2000);

fn hold(declared: Option<u64>, repeatable: bool) -> AnswerHold {
    AnswerHold::new(declared, repeatable, START + DEADLINE, START)
}

/// The decision, and its time, on an answer that brings so many bytes every 100 ms.
fn outcome(mut hold: AnswerHold, bytes: usize) -> (HoldDecision, Duration) {
    for step in 1..=30 {
        let now = START + ms(100 * step);
        if bytes > 0 {
            hold.receive(bytes, now);
        }
        let decision = hold.decide(now);
        if !matches!(decision, HoldDecision::HoldUntil(_)) {
            return (decision, ms(100 * step));
        }
    }
    panic!("held beyond the deadline");
}

/// Guards against cutting an answer that the endpoint still gives: one that may be long passes on
/// after half a second, one of a known short length is awaited up to the deadline.
#[test]
fn answer_in_progress_is_not_given_up() {
    for repeatable in [true, false] {
        assert_eq!(outcome(hold(None, repeatable), 2000), (HoldDecision::PassOn, ms(500)));
        assert_eq!(outcome(hold(Some(60_000), repeatable), 2000), (HoldDecision::TimedOut, DEADLINE));
        assert_eq!(outcome(hold(Some(237_000), repeatable), 0), (HoldDecision::PassOn, ms(100)));
        assert_eq!(outcome(hold(None, repeatable), 30_000), (HoldDecision::PassOn, ms(300)));
    }
}

/// Guards against passing on an answer that never ends, or waiting for one that has stalled, where
/// another attempt may be made.
#[test]
fn stalled_or_trickling_answer_is_given_up_where_it_may_be_repeated() {
    assert_eq!(outcome(hold(None, true), 0), (HoldDecision::GiveUp, ms(500)));
    assert_eq!(outcome(hold(Some(60_000), true), 0), (HoldDecision::GiveUp, ms(500)));
    assert_eq!(outcome(hold(None, true), 20), (HoldDecision::GiveUp, ms(500)));
}

/// Guards against failing a request that must not be repeated while its answer still comes, however
/// slowly.
#[test]
fn answer_that_cannot_be_repeated_is_awaited() {
    assert_eq!(outcome(hold(None, false), 20), (HoldDecision::PassOn, ms(500)));
    assert_eq!(outcome(hold(None, false), 0), (HoldDecision::TimedOut, DEADLINE));
    assert_eq!(outcome(hold(Some(60_000), false), 0), (HoldDecision::TimedOut, DEADLINE));
}

/// Guards against a timer that never fires, or fires in the past: the next decision is due later than
/// now, and at the deadline at the latest.
#[test]
fn next_decision_is_in_the_future() {
    for (declared, repeatable) in [(None, true), (None, false), (Some(9), true), (Some(9), false)] {
        let mut now = START;
        let hold = hold(declared, repeatable);
        while let HoldDecision::HoldUntil(next) = hold.decide(now) {
            assert!(next > now && next <= START + DEADLINE, "{declared:?} {repeatable} {now:?}");
            now = next;
        }
        assert!(now <= START + DEADLINE);
    }
}
