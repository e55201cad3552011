//! The sidecar's only clock. It is monotonic and converts the Unix timestamps of the deployment.

use cottonpoint_decide::Time;
use std::time::{Duration, Instant, SystemTime};

/// A monotonic clock whose origin is the Unix time at which it was created.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// Creates a clock that starts now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now(), unix: wall_clock() }
    }

    /// The current time.
    pub fn now(&self) -> Time {
        Time(0) + (self.unix + self.origin.elapsed())
    }

    /// The [`Instant`], for use with timers, at which this clock shows `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time(0) + self.unix)
    }

    /// Converts the Unix timestamp of an endpoint's last start, seen now for the first time, to
    /// this clock; 0 means long ago.
    ///
    /// The wall clock of this machine or of all machines may be stepped. The age is therefore
    /// derived twice: from the wall clock, and from the wall clock at the start of this process
    /// plus the time elapsed since. Without a step both agree. Otherwise the smaller non-negative
    /// age counts, because an endpoint that is taken for older than it is would get too much
    /// traffic.
    pub fn local_start_time(&self, unix_ms: u64) -> Option<Time> {
        self.local_start_time_at(unix_ms, wall_clock())
    }

    fn local_start_time_at(&self, unix_ms: u64, wall_clock: Duration) -> Option<Time> {
        if unix_ms == 0 {
            return None;
        }
        let (now, started) = (self.now(), Duration::from_millis(unix_ms));
        let by_wall_clock = wall_clock.checked_sub(started);
        let by_monotonic_clock = now.since(Time(0)).checked_sub(started);
        let ages = by_wall_clock.into_iter().chain(by_monotonic_clock);
        Some(now - ages.min().unwrap_or_default())
    }
}

/// Unix time of this machine's wall clock, which may be stepped at any time.
fn wall_clock() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

#[cfg(test)]
mod tests;
