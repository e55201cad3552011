//! Logging to standard error with tracing, with a rate limit for each callsite.

use crate::operator::{LogConfig, LogFormat};
use std::collections::HashMap;
use std::io::Write;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{Layer, Registry, fmt};

const MINUTE: Duration = Duration::from_secs(60);

/// The rate limit of one callsite: a number of lines per window. A window lasts at least a minute
/// and ends with the first line after that.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    window_start: Instant,
    written: u32,
    suppressed: u64,
}

impl RateLimit {
    /// A window that starts now, without any lines.
    pub fn new(now: Instant) -> RateLimit {
        RateLimit { window_start: now, written: 0, suppressed: 0 }
    }

    /// Returns `None` if the callsite has reached its limit. Otherwise the line may be written, and
    /// the result is the number of lines suppressed in the window that this line has ended, if it
    /// has.
    pub fn try_acquire(&mut self, now: Instant, limit: u32) -> Option<u64> {
        let mut suppressed = 0;
        if now.saturating_duration_since(self.window_start) >= MINUTE {
            suppressed = self.suppressed;
            *self = RateLimit::new(now);
        }
        if self.written >= limit {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(suppressed)
    }
}

/// Suppresses the warnings and errors of a callsite that exceeds its limit. Callsites are places in
/// the program's text, so their number is bounded.
struct RateLimitFilter {
    limit: u32,
    callsites: Mutex<HashMap<Identifier, RateLimit>>,
}

impl<S: Subscriber> Filter<S> for RateLimitFilter {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        if *metadata.level() > Level::WARN {
            return true;
        }
        let now = Instant::now();
        let Ok(mut callsites) = self.callsites.lock() else { return true };
        let rate_limit = callsites.entry(metadata.callsite()).or_insert_with(|| RateLimit::new(now));
        match rate_limit.try_acquire(now, self.limit) {
            None => false,
            Some(0) => true,
            Some(suppressed) => {
                // Not written by tracing: the map is locked, and this line must not be rate-limited
                // itself.
                write_line(&format!("cottonpoint: {suppressed} lines like the next were suppressed"));
                true
            }
        }
    }
}

/// Writes a line to standard error. Where nobody reads it any more the line is lost; `eprintln!` would
/// panic.
pub fn write_line(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// Installs the subscriber that writes log lines to standard error, as configured. Later calls
/// change nothing.
pub fn start(log: &LogConfig) {
    let level = |text: &str| text.parse().unwrap_or(LevelFilter::INFO);
    let modules = log.modules.iter().map(|(module, l)| (module.clone(), level(l)));
    let targets = Targets::new().with_default(level(&log.level)).with_targets(modules);
    let filter = RateLimitFilter { limit: log.warnings_per_minute, callsites: Mutex::default() };
    let lines = fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    // A second start, as in tests, fails here: the first subscriber stays.
    let _ = match log.form {
        LogFormat::Text => tracing::subscriber::set_global_default(
            Registry::default().with(lines.with_filter(filter)).with(targets),
        ),
        LogFormat::Json => tracing::subscriber::set_global_default(
            Registry::default().with(lines.json().flatten_event(true).with_filter(filter)).with(targets),
        ),
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a log flooded by one fault, and against lines suppressed without a notice.
    #[test]
    fn callsite_is_rate_limited_and_suppressed_lines_are_counted() {
        let start = Instant::now();
        let mut rate_limit = RateLimit::new(start);
        let at = |s: u64| start + Duration::from_secs(s);
        assert_eq!(
            (0..5).map(|s| rate_limit.try_acquire(at(s), 2)).collect::<Vec<_>>(),
            [Some(0), Some(0), None, None, None]
        );
        assert_eq!(rate_limit.try_acquire(at(60), 2), Some(3));
        assert_eq!(rate_limit.try_acquire(at(61), 2), Some(0));
        assert_eq!(rate_limit.try_acquire(at(119), 2), None);
        assert_eq!(rate_limit.try_acquire(at(200), 2), Some(1));
    }
}
