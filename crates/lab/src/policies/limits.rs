//! Limits on running calls, by their published descriptions.

use std::time::Duration;

/// A kind of limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Limiting {
    /// None.
    None,
    /// Additive increase, multiplicative decrease (Chiu and Jain, 1989), as Netflix's concurrency-limits applies
    /// it to calls: one more after a success at the limit, a tenth less after a drop.
    Aimd,
    /// Gradient: the ratio of the long-term to the present time of answers moves the limit (Netflix's
    /// concurrency-limits, "Gradient2"; Envoy's adaptive concurrency filter measures the former anew instead).
    Gradient,
}

/// A limit with what it has learned.
#[derive(Clone, Debug)]
pub struct Limit {
    kind: Limiting,
    value: f64,
    long: f64,
    short: f64,
}

const START: f64 = 20.0;
const LEAST: f64 = 2.0;
const MOST: f64 = 1000.0;
/// Gradient2's defaults: tolerance 1.5, smoothing 0.2, a long window of 600 samples.
const TOLERANCE: f64 = 1.5;
const SMOOTHING: f64 = 0.2;
const LONG: f64 = 2.0 / 601.0;
/// The samples that the short average looks back on.
const SHORT: f64 = 2.0 / 11.0;

impl Limit {
    /// A limit that knows nothing.
    pub fn new(kind: Limiting) -> Limit {
        Limit { kind, value: START, long: 0.0, short: 0.0 }
    }

    /// Calls that may run now.
    pub fn value(&self) -> f64 {
        if self.kind == Limiting::None { f64::INFINITY } else { self.value }
    }

    /// Learns from a call that ended: how long it took, whether it was dropped (turned away or timed out), and
    /// how many ran beside it.
    pub fn learn(&mut self, took: Duration, dropped: bool, running: usize) {
        match self.kind {
            Limiting::None => {}
            Limiting::Aimd if dropped => self.value = (self.value * 0.9).max(LEAST),
            Limiting::Aimd => {
                if running as f64 * 2.0 >= self.value {
                    self.value = (self.value + 1.0 / self.value).min(MOST);
                }
            }
            Limiting::Gradient => {
                let took = took.as_secs_f64().max(1e-6);
                if self.long == 0.0 {
                    (self.long, self.short) = (took, took);
                }
                self.short += (took - self.short) * SHORT;
                self.long += (took - self.long) * LONG;
                // A long average far above the present one comes down faster, as after an overload.
                if self.long / self.short > 2.0 {
                    self.long *= 0.95;
                }
                if (running as f64) < self.value / 2.0 && !dropped {
                    return;
                }
                let gradient = (TOLERANCE * self.long / self.short).clamp(0.5, 1.0);
                let room = libm::sqrt(self.value).max(4.0);
                let next = if dropped { self.value * 0.9 } else { self.value * gradient + room };
                self.value = (self.value * (1.0 - SMOOTHING) + next * SMOOTHING).clamp(LEAST, MOST);
            }
        }
    }
}
