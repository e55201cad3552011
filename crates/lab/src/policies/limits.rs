//! Concurrency limits, after their published descriptions.

use std::time::Duration;

/// A kind of limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitKind {
    /// No limit.
    None,
    /// Additive increase, multiplicative decrease (Chiu and Jain, 1989), as Netflix's
    /// concurrency-limits applies it to requests: one more after a success at the limit, a tenth
    /// less after a drop.
    Aimd,
    /// Gradient: the ratio of the long-term to the current response time moves the limit (Netflix's
    /// concurrency-limits, "Gradient2"; Envoy's adaptive concurrency filter measures the former
    /// anew instead).
    Gradient,
}

/// A limit and its state.
#[derive(Clone, Debug)]
pub struct Limit {
    kind: LimitKind,
    value: f64,
    long_average: f64,
    short_average: f64,
}

const INITIAL_LIMIT: f64 = 20.0;
const MIN_LIMIT: f64 = 2.0;
const MAX_LIMIT: f64 = 1000.0;
/// Gradient2's defaults: tolerance 1.5, smoothing 0.2, a long window of 600 samples.
const TOLERANCE: f64 = 1.5;
const SMOOTHING: f64 = 0.2;
const LONG_WEIGHT: f64 = 2.0 / 601.0;
/// The short average has a window of 10 samples.
const SHORT_WEIGHT: f64 = 2.0 / 11.0;

impl Limit {
    /// A limit in its initial state.
    pub fn new(kind: LimitKind) -> Limit {
        Limit { kind, value: INITIAL_LIMIT, long_average: 0.0, short_average: 0.0 }
    }

    /// Requests that may run now.
    pub fn value(&self) -> f64 {
        if self.kind == LimitKind::None { f64::INFINITY } else { self.value }
    }

    /// Records a finished attempt: how long it took, whether it was dropped (rejected or timed
    /// out), and how many requests were running.
    pub fn record(&mut self, took: Duration, dropped: bool, running: usize) {
        match self.kind {
            LimitKind::None => {}
            LimitKind::Aimd if dropped => self.value = (self.value * 0.9).max(MIN_LIMIT),
            LimitKind::Aimd => {
                if running as f64 * 2.0 >= self.value {
                    self.value = (self.value + 1.0 / self.value).min(MAX_LIMIT);
                }
            }
            LimitKind::Gradient => {
                let took = took.as_secs_f64().max(1e-6);
                if self.long_average == 0.0 {
                    (self.long_average, self.short_average) = (took, took);
                }
                self.short_average += (took - self.short_average) * SHORT_WEIGHT;
                self.long_average += (took - self.long_average) * LONG_WEIGHT;
                // A long average far above the short one is lowered faster, as after an overload.
                if self.long_average / self.short_average > 2.0 {
                    self.long_average *= 0.95;
                }
                if (running as f64) < self.value / 2.0 && !dropped {
                    return;
                }
                let gradient = (TOLERANCE * self.long_average / self.short_average).clamp(0.5, 1.0);
                let headroom = libm::sqrt(self.value).max(4.0);
                let next = if dropped { self.value * 0.9 } else { self.value * gradient + headroom };
                self.value =
                    (self.value * (1.0 - SMOOTHING) + next * SMOOTHING).clamp(MIN_LIMIT, MAX_LIMIT);
            }
        }
    }
}
