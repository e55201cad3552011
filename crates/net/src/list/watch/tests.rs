//! The clock of the calls on discovery, in virtual time.

mod calls;

use super::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// What a silent call misses counts as told TOLD after the silence began, and so long after its wait, if that is later
/// (the operators' page).
const TOLD_AFTER_WAIT: Duration = ms(2000);

/// Calls that all fall silent, in virtual time: when each was made, of `count` that ask for the whole list or that wait,
/// with an answer before each of these.
fn silent_calls(pushed: bool, whole: bool, draw: f64, count: usize) -> Vec<Duration> {
    let (mut watch, _) = Watch::new(pushed);
    let (mut now, mut made) = (Duration::ZERO, vec![Duration::ZERO]);
    while made.len() < count {
        let took = watch.answers_within(watch.hold(whole), Duration::ZERO);
        now += took;
        match watch.ended(Ended::Silent { waits: !whole }, took, draw) {
            Next::After(pause) => now += pause,
            Next::WhenAsked { .. } => break,
        }
        made.push(now);
        if !whole {
            assert_eq!(watch.hold(whole), Duration::ZERO, "after a failure a call does not wait");
            watch.ended(Ended::Told { early: false }, Duration::ZERO, draw);
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
                let Next::After(pause) = watch.ended(Ended::Failed, connect, draw) else { panic!("never") };
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
    assert_eq!(first, Next::WhenAsked { within: AGAIN });
    for (took, draw, within) in [(0, 0.0, 1600), (0, 1.0, 2400), (1100, 0.5, 900), (9000, 1.0, 1300)] {
        assert_eq!(watch.ended(Ended::Failed, ms(took), draw), Next::WhenAsked { within: ms(within) });
    }
    assert_eq!(watch.ended(Ended::Told { early: false }, ms(0), 0.5), Next::After(Duration::ZERO));
    assert_eq!(Watch::moved(false).1, Next::After(Duration::ZERO));
}

/// Guards against: a call that connects late and answers late, and lasts twice its bound; and a wait cut short by it.
#[test]
fn a_call_that_does_not_wait_has_one_bound_for_connection_and_answer() {
    let (watch, _) = Watch::new(false);
    for connected_after in [ms(0), ms(1), ms(700), PATIENCE] {
        assert_eq!(connected_after + watch.answers_within(ms(0), connected_after), PATIENCE);
        assert_eq!(watch.answers_within(HOLD, connected_after), HOLD + PATIENCE);
    }
}

/// Guards against: a discovery that answers each watch at once, without news, called as fast as it answers; and a pause
/// by which the watch ends, or one after an answer that took its time.
#[test]
fn a_watch_answered_early_goes_on_after_a_short_pause() {
    for (took, draw, pause) in [(0, 0.0, 100), (0, 1.0, 150), (30, 0.0, 70), (500, 1.0, 0)] {
        let (mut watch, _) = Watch::new(true);
        assert_eq!(watch.ended(Ended::Told { early: true }, ms(took), draw), Next::After(ms(pause)));
    }
}
