//! Logs: lines on standard error, by tracing, with a bound on what one place may say.

use crate::operator::{Form, Log};
use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};
use tracing::callsite::Identifier;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{Layer, Registry, fmt};

const MINUTE: Duration = Duration::from_secs(60);

/// What one place may still say: so many lines in a minute, counted anew from the first.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    since: Instant,
    said: u32,
    left_out: u64,
}

impl Allowance {
    /// Nothing said yet.
    pub fn new(now: Instant) -> Allowance {
        Allowance { since: now, said: 0, left_out: 0 }
    }

    /// Whether a line may be written now. With the first one of a new minute come those left out before it.
    pub fn take(&mut self, now: Instant, most: u32) -> Option<u64> {
        let mut left_out = 0;
        if now.saturating_duration_since(self.since) >= MINUTE {
            left_out = self.left_out;
            *self = Allowance::new(now);
        }
        if self.said >= most {
            self.left_out += 1;
            return None;
        }
        self.said += 1;
        Some(left_out)
    }
}

/// Leaves out what one place says too often. Places are those of the program's text: a bounded number.
struct Bounded {
    most: u32,
    places: Mutex<HashMap<Identifier, Allowance>>,
}

impl<S: Subscriber> Filter<S> for Bounded {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let metadata = event.metadata();
        if *metadata.level() > Level::WARN {
            return true;
        }
        let now = Instant::now();
        let Ok(mut places) = self.places.lock() else { return true };
        let allowance = places.entry(metadata.callsite()).or_insert_with(|| Allowance::new(now));
        match allowance.take(now, self.most) {
            None => false,
            Some(0) => true,
            Some(left_out) => {
                // Not by tracing: the place is locked, and this line must not be bounded itself.
                eprintln!("cottonpoint: {left_out} lines like the next were left out");
                true
            }
        }
    }
}

/// Sends log lines to standard error from now on, as the operator wants them. Later calls change nothing.
pub fn start(log: &Log) {
    let level = |text: &str| text.parse().unwrap_or(LevelFilter::INFO);
    let modules = log.modules.iter().map(|(module, l)| (module.clone(), level(l)));
    let targets = Targets::new().with_default(level(&log.level)).with_targets(modules);
    let bounded = Bounded { most: log.warnings_per_minute, places: Mutex::default() };
    let lines = fmt::layer().with_writer(std::io::stderr).with_ansi(false);
    // Twice started is once too often, as in tests: the first one stays.
    let _ = match log.form {
        Form::Text => tracing::subscriber::set_global_default(
            Registry::default().with(lines.with_filter(bounded)).with(targets),
        ),
        Form::Json => tracing::subscriber::set_global_default(
            Registry::default().with(lines.json().flatten_event(true).with_filter(bounded)).with(targets),
        ),
    };
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: a log flooded by one fault, and lines left out without a word.
    #[test]
    fn a_place_says_so_much_in_a_minute_and_owns_up_to_the_rest() {
        let start = Instant::now();
        let mut place = Allowance::new(start);
        let at = |s: u64| start + Duration::from_secs(s);
        assert_eq!(
            (0..5).map(|s| place.take(at(s), 2)).collect::<Vec<_>>(),
            [Some(0), Some(0), None, None, None]
        );
        assert_eq!(place.take(at(60), 2), Some(3));
        assert_eq!(place.take(at(61), 2), Some(0));
        assert_eq!(place.take(at(119), 2), None);
        assert_eq!(place.take(at(200), 2), Some(1));
    }
}
