use super::*;

const HOUR: Duration = Duration::from_secs(3600);
const AGE: Duration = Duration::from_secs(2);

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a time of today")
}

/// The age of an endpoint that started 2 s ago, by a wall clock that has gone a step further than real time, where the
/// endpoint's own start was stamped by a clock that has gone another step.
fn age(wall_clock: impl Fn(Duration) -> Duration, stamp: impl Fn(Duration) -> Duration) -> Duration {
    let clock = Clock::start();
    let real = clock.now().since(Time(0));
    let started = clock.place_start_by(ms(stamp(real - AGE)), wall_clock(real)).expect("a time");
    clock.now().since(started)
}

fn is_two_seconds(age: Duration) -> bool {
    age.abs_diff(AGE) < Duration::from_millis(500)
}

/// Guards against: a slow start that never ends or never begins after a step of the wall clock.
#[test]
fn an_endpoints_age_outlives_steps_of_the_wall_clock() {
    let (same, ahead, behind) = (|t: Duration| t, |t: Duration| t + HOUR, |t: Duration| t - HOUR);
    assert!(is_two_seconds(age(same, same)));
    // All machines' clocks are stepped: the stamp and this machine's wall clock agree.
    assert!(is_two_seconds(age(ahead, ahead)) && is_two_seconds(age(behind, behind)));
    // This machine's alone.
    assert!(is_two_seconds(age(ahead, same)) && is_two_seconds(age(behind, same)));
    // The endpoint's alone: it looks an hour in the future, and counts as started now.
    assert!(age(same, ahead) < Duration::from_millis(500));
}

/// Guards against: an endpoint of which nothing is known taken for one that has just started.
#[test]
fn zero_stands_for_long_ago() {
    assert_eq!(Clock::start().place_start(0), None);
}
