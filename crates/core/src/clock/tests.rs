use super::*;

const HOUR: Duration = Duration::from_secs(3600);
const AGE: Duration = Duration::from_secs(2);

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).expect("a time of today")
}

/// The computed age of an endpoint that started 2 s ago. `wall_clock` shifts the wall clock of this
/// machine, `stamp` the clock that stamped the endpoint's start.
fn age(wall_clock: impl Fn(Duration) -> Duration, stamp: impl Fn(Duration) -> Duration) -> Duration {
    let clock = Clock::start();
    let real = clock.now().since(Time(0));
    let started = clock.local_start_time_at(ms(stamp(real - AGE)), wall_clock(real)).expect("a time");
    clock.now().since(started)
}

fn is_two_seconds(age: Duration) -> bool {
    age.abs_diff(AGE) < Duration::from_millis(500)
}

/// Guards against: a slow start that never ends or never begins after a step of the wall clock.
#[test]
fn endpoint_age_is_unaffected_by_wall_clock_steps() {
    let (same, ahead, behind) = (|t: Duration| t, |t: Duration| t + HOUR, |t: Duration| t - HOUR);
    assert!(is_two_seconds(age(same, same)));
    // The clocks of all machines are stepped: the timestamp and this machine's wall clock agree.
    assert!(is_two_seconds(age(ahead, ahead)) && is_two_seconds(age(behind, behind)));
    // Only this machine's clock is stepped.
    assert!(is_two_seconds(age(ahead, same)) && is_two_seconds(age(behind, same)));
    // Only the endpoint's clock is stepped: its start lies an hour in the future and counts as now.
    assert!(age(same, ahead) < Duration::from_millis(500));
}

/// Guards against: an endpoint without a known start time being taken for one that has just
/// started.
#[test]
fn zero_start_time_means_long_ago() {
    assert_eq!(Clock::start().local_start_time(0), None);
}
