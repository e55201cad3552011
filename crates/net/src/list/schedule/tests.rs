//! The schedule of polls, in virtual time.

mod congestion;
mod crowd;
mod deadline;

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a silent poll misses counts as told [`NEWS_DUE`] after the silence began, and so long after its wait, if that is
/// later (the operators' page).
const NEWS_DUE_AFTER_WAIT: Duration = ms(2000);

fn pause(next: NextPoll) -> Duration {
    match next {
        NextPoll::After(pause) => pause,
        NextPoll::FirstWithin(_) => panic!("waits for the balancer"),
    }
}

/// Polls that all fall silent, in virtual time: when each was made, of `count` that ask for the whole list or that wait,
/// with an answer before each of these.
fn silent_polls(pushed: bool, whole: bool, draw: f64, count: usize) -> Vec<(Duration, Duration)> {
    let (mut schedule, _) = Schedule::new(pushed);
    if !whole {
        schedule.ended(Outcome::Answered { early: false }, Duration::ZERO, NEWS_DUE, draw);
    }
    let (mut now, mut made) = (Duration::ZERO, Vec::new());
    while made.len() < count {
        let took = schedule.answer_timeout(schedule.hold(whole), Duration::ZERO);
        made.push((now, took));
        now += took + pause(schedule.ended(Outcome::Silent { waits: !whole }, took, NEWS_DUE, draw));
        if !whole {
            assert_eq!(schedule.hold(whole), Duration::ZERO, "after a silence a poll does not wait");
            schedule.ended(Outcome::Answered { early: false }, Duration::ZERO, NEWS_DUE, draw);
        }
    }
    made
}

/// Guards against: a silent watch begun anew after what it missed counts as told, or with too little time left for
/// the answer (0.05 s with a give-up 1.2 s after the wait and the balancer's first pause of up to 0.75 s), at
/// whatever moment of its wait the silence began, however often that comes.
#[test]
fn a_silent_watch_is_begun_anew_well_before_what_it_missed_counts_as_told() {
    for (pushed, draw) in [(false, 0.0), (false, 1.0), (true, 0.0), (true, 1.0)] {
        let made = silent_polls(pushed, false, draw, 20);
        for pair in made.windows(2) {
            let (began, next) = (pair[0].0, pair[1].0);
            for silence in (0..=10_000).step_by(50).map(ms) {
                let due = (began + silence + NEWS_DUE).max(began + HOLD + NEWS_DUE_AFTER_WAIT);
                assert!(next + ms(800) <= due, "silent {silence:?} after {pair:?}, draw {draw}");
            }
            assert!(next >= began + HOLD + ms(1000), "an answer may stand in a queue for 1 s");
        }
    }
}

/// Guards against: a poll for the whole list that falls silent left to a pause of more than the 6 s; polls without end
/// on a discovery that is silent to all; and one that serves slowly given up over and over after 1.1 s, though it was
/// about to answer each time.
#[test]
fn a_silent_poll_for_the_whole_list_is_made_anew_with_more_time_for_the_answer() {
    let made = silent_polls(false, true, 1.0, 5);
    assert_eq!(made[..3], [(ms(0), ms(1100)), (ms(1200), ms(2200)), (ms(3500), ms(2900))]);
    // The three that begin well before the news is due have 2.4 s for an answer, which a full queue takes 1.5 s for.
    assert!(made[..3].iter().all(|(began, _)| *began + ms(2400) <= NEWS_DUE));
    assert!(made[1..].iter().all(|(_, time)| *time >= ANSWER_BUSY));
    for pair in made[2..].windows(2) {
        assert!(pair[1].0 - pair[0].0 >= INTERVAL.mul_f64(0.9), "at the interval from then on");
    }
}

/// Guards against: a poll that discovery has taken given up while it stands in a queue whose limit is unknown, so that it
/// is served for nobody; and a sidecar that waits long on a silent discovery for the rest of its life.
#[test]
fn a_discovery_that_turns_polls_away_has_more_time_until_it_answers_promptly() {
    let (mut schedule, _) = Schedule::new(false);
    assert_eq!(schedule.answer_timeout(ms(0), ms(100)), ms(1000));
    schedule.ended(Outcome::TurnedAway, ms(10), NEWS_DUE, 0.5);
    assert_eq!(schedule.answer_timeout(ms(0), ms(0)), ANSWER_MOST);
    schedule.ended(Outcome::Answered { early: false }, ms(1300), NEWS_DUE, 0.5);
    assert_eq!(schedule.answer_timeout(ms(0), ms(0)), ANSWER_MOST, "it is busy still");
    schedule.ended(Outcome::Answered { early: false }, ms(20), NEWS_DUE, 0.5);
    assert_eq!(schedule.answer_timeout(ms(0), ms(0)), ANSWER_FIRST);
}

/// Guards against: a sidecar that stays away for an interval, and then another, though discovery is alive and only its
/// queue was full; and one whose own tries keep the queue full (incident 1: 24 polls in 8 s, all turned away at once).
#[test]
fn a_poll_rejected_at_once_is_made_again_with_exponential_backoff() {
    let (mut schedule, first) = Schedule::moved(false, 1.0);
    let mut ended = |took, draw| pause(schedule.ended(Outcome::TurnedAway, took, NEWS_DUE, draw));
    let first_pauses = [0.5, 0.5, 0.5, 0.5, 0.5].map(|draw| ended(ms(10), draw));
    assert_eq!(first_pauses, [ms(600), ms(1200), ms(2000), ms(2000), ms(2000)]);
    let begins = first_pauses.iter().scan(pause(first), |now, pause| {
        *now += ms(10) + *pause;
        Some(*now)
    });
    let in_time = 1 + begins.filter(|begins| *begins + ANSWER_BUSY <= NEWS_DUE).count();
    assert!(in_time >= 3, "tries that have time for an answer: {in_time}");
    // Both ends of what is drawn: never a burst, and never an interval.
    assert_eq!([0.0, 1.0].map(|draw| ended(ms(10), draw)), [ms(1000), ms(3000)]);
    // One that stood in the queue is made at the interval, and the backoff goes on.
    assert_eq!([ended(ms(2000), 1.0), ended(ms(10), 0.5)], [ms(2500), ms(2000)]);
    schedule.ended(Outcome::Answered { early: false }, ms(10), NEWS_DUE, 0.5);
    let after = pause(schedule.ended(Outcome::TurnedAway, ms(10), NEWS_DUE, 0.5));
    assert_eq!(after, ms(1200), "an answer takes one doubling back, and no more");
}

/// Guards against: an interval waited for after a fault of this process's own, which passes in a moment.
#[test]
fn a_poll_that_could_not_be_made_is_made_soon() {
    let (mut schedule, _) = Schedule::new(false);
    let pauses = [0.0, 1.0].map(|draw| pause(schedule.ended(Outcome::NotMade, ms(0), NEWS_DUE, draw)));
    assert_eq!(pauses, [ms(50), ms(100)]);
}

/// Guards against: a fault of this process, or of the way for a moment, counted as a failure of discovery's, so that the
/// next real one is put off for a whole interval and what is known of discovery is lost.
#[test]
fn what_fails_here_or_on_the_way_is_no_failure_of_discoverys() {
    for outcome in [Outcome::NotMade, Outcome::PathFailed] {
        let (mut schedule, _) = Schedule::new(false);
        schedule.ended(Outcome::Answered { early: false }, ms(0), NEWS_DUE, 0.5);
        let pauses = [0.0, 1.0].map(|draw| pause(schedule.ended(outcome, ms(300), NEWS_DUE, draw)));
        assert!(pauses.iter().all(|pause| *pause <= BACKOFF_MOST), "{outcome:?}: {pauses:?}");
        let first = pause(schedule.ended(Outcome::Failed, ms(0), NEWS_DUE, 0.0));
        assert_eq!(first, ms(0), "the next failure is the first, and its pause is drawn");
    }
    let (mut schedule, _) = Schedule::new(false);
    schedule.ended(Outcome::Unconnected, ms(1100), NEWS_DUE, 0.5);
    schedule.ended(Outcome::NotMade, ms(0), NEWS_DUE, 0.5);
    assert_eq!(schedule.hold(false), ms(0), "nothing is heard of discovery still");
}

/// Guards against: a first poll after a broken watch drawn beyond the lease that is left, so that clients are refused.
#[test]
fn the_first_poll_after_a_watch_broke_is_made_while_the_lease_lasts() {
    let first = |left, draw| {
        let (mut schedule, _) = Schedule::new(false);
        pause(schedule.ended(Outcome::Failed, ms(9000), left, draw))
    };
    assert_eq!(first(NEWS_DUE, 1.0), INTERVAL);
    assert_eq!(first(ms(2300), 1.0), ms(800));
    // With nothing left, a fleet still spreads its polls.
    assert_eq!([first(ms(1500), 1.0), first(ms(0), 0.5)], [INTERVAL, INTERVAL / 2]);
}

/// Guards against: a poll after a silent watch given up after 1.1 s, though discovery is about to answer it: where the
/// watches of a fleet fall silent together, all poll within seconds, and what is given up is served for nobody.
#[test]
fn a_poll_after_a_silent_watch_has_time_for_an_answer_through_a_full_queue() {
    let (mut schedule, _) = Schedule::new(false);
    schedule.ended(Outcome::Silent { waits: true }, HOLD + WATCH_GRACE, NEWS_DUE, 0.5);
    assert!(schedule.answer_timeout(schedule.hold(false), ms(100)) >= ANSWER_BUSY);
}

/// Guards against: two polls for one recovery, a short one and then a watch; and a watch placed where a machine may have
/// vanished, by which nothing would be noticed for 11 s.
#[test]
fn a_recovery_costs_one_poll_unless_nothing_was_heard() {
    let after = |outcome| {
        let (mut schedule, _) = Schedule::new(false);
        schedule.ended(outcome, ms(5), NEWS_DUE, 0.5);
        schedule.hold(false)
    };
    assert_eq!([Outcome::TurnedAway, Outcome::Failed].map(after), [CONFIRMING_HOLD; 2]);
    let (mut schedule, _) = Schedule::new(false);
    assert_eq!(schedule.hold(false), CONFIRMING_HOLD, "the list of the start is to be confirmed");
    schedule.ended(Outcome::Answered { early: false }, CONFIRMING_HOLD, NEWS_DUE, 0.5);
    assert_eq!(schedule.hold(false), HOLD, "the watch goes on");
    let unheard = [Outcome::Unconnected, Outcome::Silent { waits: true }, Outcome::Silent { waits: false }];
    assert_eq!(unheard.map(after), [ms(0); 3]);
}

/// Guards against: the first word of an agent after an outage later than the grace, whether it refused connections
/// or never let them come up, however long it was; and polls without a pause meanwhile.
#[test]
fn an_agent_is_polled_soon_after_any_outage() {
    let outcomes = [(ms(0), Outcome::Failed), (AGENT_CONNECT, Outcome::Unconnected)];
    for (draw, (took, outcome)) in [0.0, 1.0].into_iter().flat_map(|draw| outcomes.map(|o| (draw, o))) {
        for outage in (0..=20_000).step_by(10).map(ms) {
            let (mut schedule, first) = Schedule::new(true);
            assert_eq!(first, NextPoll::After(Duration::ZERO));
            let (mut now, mut polls) = (Duration::ZERO, 0);
            while now < outage {
                now += took.min(schedule.connect_timeout())
                    + pause(schedule.ended(outcome, took, NEWS_DUE, draw));
                polls += 1;
            }
            assert!(now + ms(150) <= outage + ms(550), "{outage:?}, draw {draw}: {now:?}");
            assert!(polls <= 3 + outage.as_millis() / 100, "{polls} polls in {outage:?}");
        }
    }
}

/// Guards against: polls of a fleet in one moment: at a start, after watches that broke together (whether soon or late in
/// their wait), and after a reload; and an upgrade's poll, which is due at once, put off.
#[test]
fn what_happens_to_all_at_once_is_polled_over_the_time_that_the_deadline_leaves() {
    let (_, first) = Schedule::new(false);
    assert_eq!(first, NextPoll::FirstWithin(ms(4500)));
    for outcome in [Outcome::TurnedAway, Outcome::Failed, Outcome::Unconnected] {
        for (took, draw, waits) in [(250, 0.0, 0), (1000, 1.0, 3500), (9000, 0.5, 2250)] {
            let (mut schedule, _) = Schedule::new(false);
            assert_eq!(schedule.ended(outcome, ms(took), NEWS_DUE, draw), NextPoll::After(ms(waits)));
            // The next one follows at the interval, less what it lasted; one that lasted as a watch does broke anew.
            for (took, draw, waits) in
                [(250, 0.0, 3800), (2000, 1.0, 2500), (2900, 0.0, 1150), (9000, 1.0, 4500)]
            {
                assert_eq!(schedule.ended(outcome, ms(took), NEWS_DUE, draw), NextPoll::After(ms(waits)));
            }
        }
    }
    for refused in [Outcome::Failed, Outcome::Unconnected] {
        let (mut schedule, _) = Schedule::new(false);
        let pauses = [0.0, 0.0, 1.0].map(|draw| pause(schedule.ended(refused, ms(0), NEWS_DUE, draw)));
        assert_eq!(pauses, [ms(0), ms(4050), ms(4500)]);
    }
    let moved = |draw| Schedule::moved(false, draw).1;
    assert_eq!([0.0, 1.0].map(moved), [NextPoll::After(ms(0)), NextPoll::After(ms(1000))]);
    assert_eq!(Schedule::moved(true, 1.0).1, NextPoll::After(ms(0)), "an agent's news is due at once");
    assert_eq!(Schedule::at_once(false).1, NextPoll::After(ms(0)));
}

/// Guards against: a poll that connects late and is answered late, and lasts twice its bound; and a wait cut short by it.
#[test]
fn a_poll_that_does_not_wait_has_one_bound_for_connection_and_answer() {
    let (schedule, _) = Schedule::new(false);
    for connected_after in [ms(0), ms(1), ms(700), ANSWER_FIRST] {
        assert_eq!(connected_after + schedule.answer_timeout(ms(0), connected_after), ANSWER_FIRST);
        assert_eq!(schedule.answer_timeout(HOLD, connected_after), HOLD + WATCH_GRACE);
    }
}

/// Guards against: a discovery that answers each watch at once, without news, polled as fast as it answers; and a pause
/// by which the watch ends, or one after an answer that took its time.
#[test]
fn a_watch_answered_early_goes_on_after_a_short_pause() {
    for (took, draw, pause) in [(0, 0.0, 100), (0, 1.0, 150), (30, 0.0, 70), (500, 1.0, 0)] {
        let (mut schedule, _) = Schedule::new(true);
        let next = schedule.ended(Outcome::Answered { early: true }, ms(took), NEWS_DUE, draw);
        assert_eq!(next, NextPoll::After(ms(pause)));
    }
}
