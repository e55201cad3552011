//! Decides when a connection to an endpoint may carry another request, and whether what arrives on it
//! can be the answer to that request.
//!
//! HTTP/1.1 ties an answer to a request by order alone, and an endpoint may send an answer a second
//! time, some milliseconds late. Such a copy leaves before the endpoint has received the next request,
//! so it arrives within one round trip of that request's writing: sooner than the answer, which takes
//! a round trip and the endpoint's work. Does no I/O and reads no clock.

use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Shortest time between an answer and the next request on the same connection.
pub const QUIET_TIME: Duration = Duration::from_millis(10);
/// A connection that has carried nothing for this long carries no late copy, unless one came later
/// than that from the same endpoint.
const SETTLED_TIME: Duration = Duration::from_millis(100);
/// Where a copy was seen, copies may be later than it by this factor.
const LATENESS_FACTOR: u32 = 4;
/// Bytes that come later than this after an answer are no copy of it: servers announce that they close
/// an idle connection.
const MAX_COPY_LATENESS: Duration = Duration::from_secs(1);
/// How long a copy counts against the connections of its endpoint.
const COPY_MEMORY: Duration = Duration::from_secs(600);
/// How long an answer counts that may have been a copy: an endpoint that has become faster answers
/// too soon as well, until its answers on new and settled connections show it.
const SUSPICION_MEMORY: Duration = Duration::from_secs(5);
/// Until so many answers have come from an endpoint, little is known of its path.
const LEARNING_ANSWERS: u32 = 8;
/// How long an answer that may be a copy is held while little is known of the path, for the answer
/// itself to follow.
pub const UNCLEAR_HOLD_TIME: Duration = Duration::from_millis(100);
/// Differences between answer times below this say nothing of the path.
const RESOLUTION: Duration = Duration::from_millis(1);
/// The shortest answer time is that of the current and the previous window of this length.
const WINDOW: Duration = Duration::from_secs(30);

/// The times that lie before an answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTiming {
    /// From the previous answer on the connection to the writing of the request's last byte; `None`
    /// for the first request on a connection.
    pub quiet: Option<Duration>,
    /// From the writing of the request's last byte to the first byte that arrived.
    pub waited: Duration,
}

/// What the first bytes on a connection are, after a request has been written on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// The answer to the request.
    Answer,
    /// The answer, or a late copy of the previous one: then the answer follows.
    Unclear,
    /// A late copy of the previous answer, as far as is known.
    Copy,
}

/// What has been observed of the path to one start of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct PathHistory {
    /// The number of answers that were accepted.
    answers: u32,
    shortest: WindowedMinimum,
    last_copy: Option<LateCopy>,
}

#[derive(Clone, Copy, Debug)]
struct LateCopy {
    /// It counts until then.
    until: Instant,
    /// The time since the answer before it.
    lateness: Duration,
}

impl PathHistory {
    /// How long a connection must have been quiet before it is used again. A request that cannot be
    /// repeated gets one on which its answer cannot come too soon to be accepted.
    pub fn quiet_time(&self, now: Instant, repeatable: bool) -> Duration {
        match self.recent_copy(now) {
            Some(copy) => SETTLED_TIME.max(copy.lateness * LATENESS_FACTOR),
            None if repeatable || self.is_learning() => QUIET_TIME,
            None => QUIET_TIME + self.shortest_answer_time(),
        }
    }

    /// How long a connection must have been quiet to be preferred to those that have been idle for
    /// longer.
    pub fn settled_time(&self, now: Instant) -> Duration {
        self.quiet_time(now, true).max(SETTLED_TIME)
    }

    /// What has arrived after a request was written.
    pub fn classify(&self, timing: AnswerTiming) -> Arrival {
        match timing.quiet {
            Some(quiet) if quiet < SETTLED_TIME && self.is_too_soon(quiet, timing.waited) => {
                if self.is_learning() { Arrival::Unclear } else { Arrival::Copy }
            }
            _ => Arrival::Answer,
        }
    }

    /// Whether something came sooner than an answer can. The jitter of a path is taken to be less
    /// than its shortest answer time.
    fn is_too_soon(&self, quiet: Duration, waited: Duration) -> bool {
        let shortest = self.shortest_answer_time();
        waited < shortest / 2 || quiet + waited < QUIET_TIME + shortest
    }

    fn is_learning(&self) -> bool {
        self.answers < LEARNING_ANSWERS
    }

    /// Whether two answers in place of one leave open which of them belongs to the request.
    pub fn is_ambiguous(&self, timing: AnswerTiming) -> bool {
        timing.quiet.is_some_and(|quiet| quiet < SETTLED_TIME)
    }

    /// Records an answer that was accepted.
    pub fn record_answer(&mut self, now: Instant, timing: AnswerTiming) {
        // The first answer on a connection may include the time of a handshake.
        let time = if timing.quiet.is_some() { timing.waited } else { timing.waited / 2 };
        self.shortest.record(now, time);
        self.answers = self.answers.saturating_add(1);
    }

    /// Records bytes that no request had asked for, this long after the last answer.
    pub fn record_copy(&mut self, now: Instant, lateness: Duration) {
        if lateness <= MAX_COPY_LATENESS {
            self.record(now, LateCopy { until: now + COPY_MEMORY, lateness });
        }
    }

    /// Records bytes that may have been an answer or a copy of the last one, this long after it.
    pub fn record_suspicion(&mut self, now: Instant, lateness: Duration) {
        self.record(now, LateCopy { until: now + SUSPICION_MEMORY, lateness });
    }

    fn record(&mut self, now: Instant, copy: LateCopy) {
        let earlier = self.recent_copy(now).unwrap_or(copy);
        self.last_copy = Some(LateCopy {
            until: copy.until.max(earlier.until),
            lateness: copy.lateness.max(earlier.lateness),
        });
    }

    fn recent_copy(&self, now: Instant) -> Option<LateCopy> {
        self.last_copy.filter(|copy| now < copy.until)
    }

    /// The shortest time in which an answer came. It counts up to where a connection is settled.
    fn shortest_answer_time(&self) -> Duration {
        let shortest = self.shortest.get().unwrap_or_default();
        shortest.saturating_sub(RESOLUTION).min(SETTLED_TIME - QUIET_TIME)
    }
}

/// The minimum of the current and the previous window.
#[derive(Clone, Debug, Default)]
struct WindowedMinimum {
    started_at: Option<Instant>,
    current: Option<Duration>,
    previous: Option<Duration>,
}

impl WindowedMinimum {
    fn record(&mut self, now: Instant, value: Duration) {
        let started_at = *self.started_at.get_or_insert(now);
        if now.saturating_duration_since(started_at) >= WINDOW {
            self.previous = self.current.take();
            self.started_at = Some(now);
        }
        self.current = Some(self.current.map_or(value, |current| current.min(value)));
    }

    fn get(&self) -> Option<Duration> {
        self.current.into_iter().chain(self.previous).min()
    }
}
