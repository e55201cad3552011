//! Tests of the poll schedule, in virtual time.

mod congestion;
mod deadline;
mod simulation;

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An update missed by a silent poll counts as notified [`UPDATE_DEADLINE`] after the silence
/// began, or this long after the poll's hold time, if that is later (the deployment's
/// requirements).
const UPDATE_DEADLINE_AFTER_HOLD: Duration = ms(2000);

fn delay(next: NextPoll) -> Duration {
    match next {
        NextPoll::After(delay) => delay,
        NextPoll::FirstWithin(_) => panic!("the first poll has no fixed delay"),
    }
}

/// Simulates polls that all fall silent. Returns the start and the duration of `count` of them,
/// which ask for the whole list or are watches; each watch follows an answer.
fn silent_polls(pushed: bool, whole: bool, jitter: f64, count: usize) -> Vec<(Duration, Duration)> {
    let (mut schedule, _) = Schedule::new(pushed);
    if !whole {
        schedule.poll_ended(
            PollOutcome::Answered { early: false },
            Duration::ZERO,
            UPDATE_DEADLINE,
            jitter,
        );
    }
    let (mut now, mut polls) = (Duration::ZERO, Vec::new());
    while polls.len() < count {
        let took = schedule.answer_timeout(schedule.hold_time(whole), Duration::ZERO);
        polls.push((now, took));
        now += took
            + delay(schedule.poll_ended(
                PollOutcome::Silent { waits: !whole },
                took,
                UPDATE_DEADLINE,
                jitter,
            ));
        if !whole {
            assert_eq!(schedule.hold_time(whole), Duration::ZERO, "after a silence a poll does not wait");
            schedule.poll_ended(
                PollOutcome::Answered { early: false },
                Duration::ZERO,
                UPDATE_DEADLINE,
                jitter,
            );
        }
    }
    polls
}

/// Guards against a silent watch that is replaced after what it missed counts as notified, or with
/// too little time left for the answer, at whatever moment of its hold time the silence began and
/// however often that happens. With a timeout 1.2 s after the hold time and the balancer's first
/// backoff of up to 0.75 s, 0.05 s were left.
#[test]
fn silent_watch_is_replaced_before_missed_update_counts_as_notified() {
    for (pushed, jitter) in [(false, 0.0), (false, 1.0), (true, 0.0), (true, 1.0)] {
        let polls = silent_polls(pushed, false, jitter, 20);
        for pair in polls.windows(2) {
            let (started_at, next) = (pair[0].0, pair[1].0);
            for silence in (0..=10_000).step_by(50).map(ms) {
                let due = (started_at + silence + UPDATE_DEADLINE)
                    .max(started_at + HOLD_TIME + UPDATE_DEADLINE_AFTER_HOLD);
                assert!(next + ms(800) <= due, "silent {silence:?} after {pair:?}, jitter {jitter}");
            }
            assert!(next >= started_at + HOLD_TIME + ms(1000), "an answer may stand in a queue for 1 s");
        }
    }
}

/// Guards against three faults: a silent poll for the whole list that is followed by a delay of
/// more than the 6 s; polls without end at a discovery that never answers; and polls of a slow
/// discovery that time out after 1.1 s each time, shortly before the answer.
#[test]
fn silent_whole_list_poll_is_retried_with_longer_timeout() {
    let polls = silent_polls(false, true, 1.0, 5);
    assert_eq!(polls[..3], [(ms(0), ms(1100)), (ms(1200), ms(2200)), (ms(3500), ms(2900))]);
    // The three polls that start well before the update is due have 2.4 s for an answer, which
    // takes 1.5 s through a full queue.
    assert!(polls[..3].iter().all(|(started_at, _)| *started_at + ms(2400) <= UPDATE_DEADLINE));
    assert!(polls[1..].iter().all(|(_, time)| *time >= BUSY_ANSWER_TIME));
    for pair in polls[2..].windows(2) {
        assert!(pair[1].0 - pair[0].0 >= RETRY_INTERVAL.mul_f64(0.9), "at the interval from then on");
    }
}

/// Guards against a poll that times out while it stands in a queue of unknown limit, so that it is
/// served for nobody, and against a sidecar that waits long for a silent discovery for the rest of
/// its life.
#[test]
fn rejection_raises_answer_timeout_until_prompt_answer() {
    let (mut schedule, _) = Schedule::new(false);
    assert_eq!(schedule.answer_timeout(ms(0), ms(100)), ms(1000));
    schedule.poll_ended(PollOutcome::TurnedAway, ms(10), UPDATE_DEADLINE, 0.5);
    assert_eq!(schedule.answer_timeout(ms(0), ms(0)), MAX_ANSWER_TIMEOUT);
    schedule.poll_ended(PollOutcome::Answered { early: false }, ms(1300), UPDATE_DEADLINE, 0.5);
    assert_eq!(schedule.answer_timeout(ms(0), ms(0)), MAX_ANSWER_TIMEOUT, "discovery is still busy");
    schedule.poll_ended(PollOutcome::Answered { early: false }, ms(20), UPDATE_DEADLINE, 0.5);
    assert_eq!(schedule.answer_timeout(ms(0), ms(0)), INITIAL_ANSWER_TIMEOUT);
}

/// Guards against a sidecar that waits for a whole interval, and then another, though discovery is
/// alive and only its queue was full, and against one whose own retries keep the queue full
/// (incident 1: 24 polls in 8 s, all rejected at once).
#[test]
fn poll_rejected_at_once_is_retried_with_exponential_backoff() {
    let (mut schedule, first) = Schedule::moved(false, 1.0);
    let mut next_delay =
        |took, jitter| delay(schedule.poll_ended(PollOutcome::TurnedAway, took, UPDATE_DEADLINE, jitter));
    let first_delays = [0.5, 0.5, 0.5, 0.5, 0.5].map(|jitter| next_delay(ms(10), jitter));
    assert_eq!(first_delays, [ms(600), ms(1200), ms(2000), ms(2000), ms(2000)]);
    let starts = first_delays.iter().scan(delay(first), |now, delay| {
        *now += ms(10) + *delay;
        Some(*now)
    });
    let in_time = 1 + starts.filter(|started_at| *started_at + BUSY_ANSWER_TIME <= UPDATE_DEADLINE).count();
    assert!(in_time >= 3, "polls that have time for an answer: {in_time}");
    // Both ends of the jitter: never a burst, and never a whole interval.
    assert_eq!([0.0, 1.0].map(|jitter| next_delay(ms(10), jitter)), [ms(1000), ms(3000)]);
    // A poll that waited in the queue is followed at the interval, and the backoff continues.
    assert_eq!([next_delay(ms(2000), 1.0), next_delay(ms(10), 0.5)], [ms(2500), ms(2000)]);
    schedule.poll_ended(PollOutcome::Answered { early: false }, ms(10), UPDATE_DEADLINE, 0.5);
    let after = delay(schedule.poll_ended(PollOutcome::TurnedAway, ms(10), UPDATE_DEADLINE, 0.5));
    assert_eq!(after, ms(1200), "an answer takes back one doubling, and no more");
}

/// Guards against a whole interval of delay after a local fault that passes in a moment.
#[test]
fn poll_that_could_not_start_is_retried_soon() {
    let (mut schedule, _) = Schedule::new(false);
    let delays = [0.0, 1.0]
        .map(|jitter| delay(schedule.poll_ended(PollOutcome::NotMade, ms(0), UPDATE_DEADLINE, jitter)));
    assert_eq!(delays, [ms(50), ms(100)]);
}

/// Guards against a local fault, or a transient path error, that counts as a failure of discovery:
/// the next real failure is then delayed by a whole interval, and what is known of discovery is
/// lost.
#[test]
fn local_and_path_faults_do_not_count_as_discovery_failures() {
    for outcome in [PollOutcome::NotMade, PollOutcome::PathFailed] {
        let (mut schedule, _) = Schedule::new(false);
        schedule.poll_ended(PollOutcome::Answered { early: false }, ms(0), UPDATE_DEADLINE, 0.5);
        let delays =
            [0.0, 1.0].map(|jitter| delay(schedule.poll_ended(outcome, ms(300), UPDATE_DEADLINE, jitter)));
        assert!(delays.iter().all(|delay| *delay <= MAX_BACKOFF), "{outcome:?}: {delays:?}");
        let first = delay(schedule.poll_ended(PollOutcome::Failed, ms(0), UPDATE_DEADLINE, 0.0));
        assert_eq!(first, ms(0), "the next failure counts as the first, and its delay is spread");
    }
    let (mut schedule, _) = Schedule::new(false);
    schedule.poll_ended(PollOutcome::Unconnected, ms(1100), UPDATE_DEADLINE, 0.5);
    schedule.poll_ended(PollOutcome::NotMade, ms(0), UPDATE_DEADLINE, 0.5);
    assert_eq!(schedule.hold_time(false), ms(0), "there is still no sign of life from discovery");
}

/// Guards against a first poll after a broken watch that comes after the lease has expired, so that
/// clients are refused.
#[test]
fn first_poll_after_broken_watch_is_made_within_lease() {
    let first = |left, jitter| {
        let (mut schedule, _) = Schedule::new(false);
        delay(schedule.poll_ended(PollOutcome::Failed, ms(9000), left, jitter))
    };
    assert_eq!(first(UPDATE_DEADLINE, 1.0), RETRY_INTERVAL);
    assert_eq!(first(ms(2300), 1.0), ms(800));
    // With nothing left of the lease, a fleet still spreads its polls.
    assert_eq!([first(ms(1500), 1.0), first(ms(0), 0.5)], [RETRY_INTERVAL, RETRY_INTERVAL / 2]);
}

/// Guards against a poll after a silent watch that times out after 1.1 s though discovery is about
/// to answer it. Where the watches of a fleet fall silent together, all poll within seconds, and a
/// poll that times out is served for nobody.
#[test]
fn poll_after_silent_watch_has_time_for_full_queue() {
    let (mut schedule, _) = Schedule::new(false);
    schedule.poll_ended(PollOutcome::Silent { waits: true }, HOLD_TIME + WATCH_GRACE, UPDATE_DEADLINE, 0.5);
    assert!(schedule.answer_timeout(schedule.hold_time(false), ms(100)) >= BUSY_ANSWER_TIME);
}

/// Guards against two polls for one recovery, a short one and then a watch, and against a watch
/// where a machine may have vanished, which would hide that for 11 s.
#[test]
fn recovery_costs_one_poll_unless_discovery_was_silent() {
    let after = |outcome| {
        let (mut schedule, _) = Schedule::new(false);
        schedule.poll_ended(outcome, ms(5), UPDATE_DEADLINE, 0.5);
        schedule.hold_time(false)
    };
    assert_eq!([PollOutcome::TurnedAway, PollOutcome::Failed].map(after), [CONFIRMING_HOLD_TIME; 2]);
    let (mut schedule, _) = Schedule::new(false);
    assert_eq!(schedule.hold_time(false), CONFIRMING_HOLD_TIME, "the initial list has to be confirmed");
    schedule.poll_ended(PollOutcome::Answered { early: false }, CONFIRMING_HOLD_TIME, UPDATE_DEADLINE, 0.5);
    assert_eq!(schedule.hold_time(false), HOLD_TIME, "the watch continues");
    let no_sign_of_life = [
        PollOutcome::Unconnected,
        PollOutcome::Silent { waits: true },
        PollOutcome::Silent { waits: false },
    ];
    assert_eq!(no_sign_of_life.map(after), [ms(0); 3]);
}

/// Guards against a first update from an agent after an outage that comes later than the grace,
/// whether the agent refused connections or never accepted them, however long the outage was, and
/// against polls without a delay meanwhile.
#[test]
fn agent_is_polled_soon_after_any_outage() {
    let outcomes = [(ms(0), PollOutcome::Failed), (AGENT_CONNECT_TIMEOUT, PollOutcome::Unconnected)];
    for (jitter, (took, outcome)) in [0.0, 1.0].into_iter().flat_map(|jitter| outcomes.map(|o| (jitter, o)))
    {
        for outage in (0..=20_000).step_by(10).map(ms) {
            let (mut schedule, first) = Schedule::new(true);
            assert_eq!(first, NextPoll::After(Duration::ZERO));
            let (mut now, mut polls) = (Duration::ZERO, 0);
            while now < outage {
                now += took.min(schedule.connect_timeout())
                    + delay(schedule.poll_ended(outcome, took, UPDATE_DEADLINE, jitter));
                polls += 1;
            }
            assert!(now + ms(150) <= outage + ms(550), "{outage:?}, jitter {jitter}: {now:?}");
            assert!(polls <= 3 + outage.as_millis() / 100, "{polls} polls in {outage:?}");
        }
    }
}

/// Guards against polls of a whole fleet in one moment: at a start, after watches that broke
/// together (early or late in their hold time), and after a reload. Also guards against a delayed
/// poll at an upgrade, where it is due at once.
#[test]
fn fleet_wide_events_spread_polls_over_available_time() {
    let (_, first) = Schedule::new(false);
    assert_eq!(first, NextPoll::FirstWithin(ms(4500)));
    for outcome in [PollOutcome::TurnedAway, PollOutcome::Failed, PollOutcome::Unconnected] {
        for (took, jitter, waits) in [(250, 0.0, 0), (1000, 1.0, 3500), (9000, 0.5, 2250)] {
            let (mut schedule, _) = Schedule::new(false);
            assert_eq!(
                schedule.poll_ended(outcome, ms(took), UPDATE_DEADLINE, jitter),
                NextPoll::After(ms(waits))
            );
            // The next poll follows at the interval, less the duration of this one; a poll that
            // lasted as long as a watch counts as a watch that just broke.
            for (took, jitter, waits) in
                [(250, 0.0, 3800), (2000, 1.0, 2500), (2900, 0.0, 1150), (9000, 1.0, 4500)]
            {
                assert_eq!(
                    schedule.poll_ended(outcome, ms(took), UPDATE_DEADLINE, jitter),
                    NextPoll::After(ms(waits))
                );
            }
        }
    }
    for refused in [PollOutcome::Failed, PollOutcome::Unconnected] {
        let (mut schedule, _) = Schedule::new(false);
        let delays = [0.0, 0.0, 1.0]
            .map(|jitter| delay(schedule.poll_ended(refused, ms(0), UPDATE_DEADLINE, jitter)));
        assert_eq!(delays, [ms(0), ms(4050), ms(4500)]);
    }
    let moved = |jitter| Schedule::moved(false, jitter).1;
    assert_eq!([0.0, 1.0].map(moved), [NextPoll::After(ms(0)), NextPoll::After(ms(1000))]);
    assert_eq!(Schedule::moved(true, 1.0).1, NextPoll::After(ms(0)), "an agent's update is due at once");
    assert_eq!(Schedule::immediate(false).1, NextPoll::After(ms(0)));
}

/// Guards against a poll that connects late, is answered late and takes twice its timeout, and
/// against a hold time that is cut short by that timeout.
#[test]
fn poll_without_hold_time_has_one_timeout_for_connect_and_answer() {
    let (schedule, _) = Schedule::new(false);
    for connected_after in [ms(0), ms(1), ms(700), INITIAL_ANSWER_TIMEOUT] {
        assert_eq!(
            connected_after + schedule.answer_timeout(ms(0), connected_after),
            INITIAL_ANSWER_TIMEOUT
        );
        assert_eq!(schedule.answer_timeout(HOLD_TIME, connected_after), HOLD_TIME + WATCH_GRACE);
    }
}

/// Guards against a discovery that answers each watch at once, without an update, and is polled as
/// fast as it answers. Also guards against a delay that ends the watch, or one after an answer that
/// came in due time.
#[test]
fn watch_answered_early_continues_after_short_delay() {
    for (took, jitter, delay) in [(0, 0.0, 100), (0, 1.0, 150), (30, 0.0, 70), (500, 1.0, 0)] {
        let (mut schedule, _) = Schedule::new(true);
        let next =
            schedule.poll_ended(PollOutcome::Answered { early: true }, ms(took), UPDATE_DEADLINE, jitter);
        assert_eq!(next, NextPoll::After(ms(delay)));
    }
}
