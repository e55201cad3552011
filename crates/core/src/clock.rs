//! The one clock of a sidecar: it never goes back, and places the platform's Unix times.

use cottonpoint_decide::Time;
use std::time::{Duration, Instant, SystemTime};

/// A monotonic clock that began at the Unix time of its making.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    unix: Duration,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        Clock { origin: Instant::now(), unix: wall_clock() }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time(0) + (self.unix + self.origin.elapsed())
    }

    /// The instant, for the library's timers, at which this clock shows `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time(0) + self.unix)
    }

    /// Places the Unix time at which an endpoint last started, heard of now for the first time; 0 stands for long ago.
    ///
    /// Wall clocks may be stepped, here or for all machines. Two readings tell the age: the wall clock's, and that of the
    /// wall clock at the start of this process with the time since. Without a step they agree. Otherwise the smaller age
    /// counts that is none below zero: an endpoint taken for older than it is would get too much.
    pub fn place_start(&self, unix_ms: u64) -> Option<Time> {
        self.place_start_by(unix_ms, wall_clock())
    }

    fn place_start_by(&self, unix_ms: u64, wall_clock: Duration) -> Option<Time> {
        if unix_ms == 0 {
            return None;
        }
        let (now, started) = (self.now(), Duration::from_millis(unix_ms));
        let by_wall_clock = wall_clock.checked_sub(started);
        let by_own_clock = now.since(Time(0)).checked_sub(started);
        let ages = by_wall_clock.into_iter().chain(by_own_clock);
        Some(now - ages.min().unwrap_or_default())
    }
}

/// The Unix time by this machine's wall clock, which may be stepped at any time.
fn wall_clock() -> Duration {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default()
}

#[cfg(test)]
mod tests;
