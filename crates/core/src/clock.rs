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
        let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        Clock { origin: Instant::now(), unix }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        Time(0) + (self.unix + self.origin.elapsed())
    }

    /// The instant, for the library's timers, at which this clock shows `time`.
    pub fn instant(&self, time: Time) -> Instant {
        self.origin + time.since(Time(0) + self.unix)
    }

    /// Places a Unix time in milliseconds; 0 stands for long ago. The same figure always gives the same
    /// time: the balancer takes any other for a restart of the target.
    pub fn from_unix_ms(ms: u64) -> Option<Time> {
        (ms > 0).then(|| Time(ms.saturating_mul(1_000_000)))
    }
}
