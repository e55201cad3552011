//! Waits for members' views of the fleet to satisfy conditions, instead of for fixed times, by
//! polling each member.

use super::fleet::Fleet;
use super::view::FleetView;
use std::fmt::Write as _;
use std::thread;
use std::time::{Duration, Instant};

/// The interval between two polls of all members, at most a tenth of the shortest protocol period
/// so that the measured times are accurate.
const POLL_INTERVAL: Duration = Duration::from_millis(15);

/// Polls members until each of them has satisfied `condition` once. Returns when each did, in the
/// order of `members`, as the time since `begun`. A member that has satisfied it is not polled
/// again, and one that does not answer does not satisfy it. After `limit`, fails with the views of
/// the members that have not satisfied it.
pub fn wait_until_all(
    fleet: &Fleet,
    members: &[usize],
    begun: Instant,
    limit: Duration,
    condition: impl Fn(usize, &FleetView) -> bool,
) -> Result<Vec<Duration>, String> {
    let mut times: Vec<Option<Duration>> = vec![None; members.len()];
    loop {
        let timed_out = begun.elapsed() > limit;
        let mut pending = String::new();
        for (&member, time) in members.iter().zip(&mut times) {
            if time.is_some() {
                continue;
            }
            match fleet.view(member) {
                Ok(view) if condition(member, &view) => *time = Some(begun.elapsed()),
                Ok(view) if timed_out => drop(writeln!(pending, "{}: {view}", fleet.name(member))),
                Err(error) if timed_out => drop(writeln!(pending, "{}: {error}", fleet.name(member))),
                _ => {}
            }
        }
        if let Some(times) = times.iter().copied().collect::<Option<Vec<_>>>() {
            return Ok(times);
        }
        if timed_out {
            return Err(format!("condition not satisfied within {limit:?} by:\n{pending}"));
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Polls members for `length` and checks that all of them satisfy `condition` at every poll. Fails
/// at once with the view that does not satisfy it, or with the reason why a member does not answer.
pub fn check_throughout(
    fleet: &Fleet,
    members: &[usize],
    length: Duration,
    condition: impl Fn(usize, &FleetView) -> bool,
) -> Result<(), String> {
    let begun = Instant::now();
    while begun.elapsed() < length {
        for &member in members {
            let failure = |what: &dyn std::fmt::Display| {
                format!("{} after {:?}: {what}", fleet.name(member), begun.elapsed())
            };
            match fleet.view(member) {
                Ok(view) if condition(member, &view) => {}
                Ok(view) => return Err(failure(&view)),
                Err(error) => return Err(failure(&error)),
            }
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}

/// The time within which the given fraction of `times` lies; the longest one for a fraction of 1.
pub fn quantile(times: &[Duration], fraction: f64) -> Duration {
    let mut times = times.to_vec();
    times.sort_unstable();
    let rank = (times.len() as f64 * fraction).ceil() as usize;
    times.get(rank.clamp(1, times.len().max(1)) - 1).copied().unwrap_or_default()
}
