//! The times that the plane keeps and owes, as formulas. T is the period, n the members that answer, this one
//! included.
//!
//! | what | formula |
//! | --- | --- |
//! | suspicion, least | alpha · max(1, log10 n) · T, with alpha = 5 |
//! | suspicion, most | beta · the least, with beta = 6 |
//! | suspicion after c of k confirmations | most - (most - least) · log(c + 1) / log(k + 1), k = min(3, n - 2) |
//! | sends of one update | lambda · ⌈log2(n + 1)⌉, with lambda = 3 |
//! | dissemination | as many periods as sends |
//! | first suspicion of a crash | 6 T at p99: each period no one probes it with 1/e, ln 100 = 4.6, and the probe |
//! | a crash known to all | 3 T + suspicion, most + dissemination at p99 |
//! | one refutation round | twice the dissemination: the suspicion to the suspect, its answer to all |

use std::time::Duration;

/// Of the least suspicion time (Lifeguard, Dadgar, Phillips and Currey 2017, 5: alpha = 5).
pub const ALPHA: u32 = 5;
/// Of the most suspicion time (Lifeguard, 5: beta = 6).
pub const BETA: u32 = 6;
/// Confirmations after which a suspicion is at its least (Lifeguard, 5: K = 3).
pub const CONFIRMATIONS: usize = 3;
/// Of the sends of one update (SWIM, Das, Gupta and Motivala 2002, 4.1: with lambda · log n sends all but
/// n^(2 - 2 lambda) members hear of it; 3 leaves room for loss).
pub const LAMBDA: u32 = 3;
/// Members asked to ping in one's stead (SWIM, 5: k = 3).
pub const HELPERS: usize = 3;
/// Parts of a period, of which the direct ping has one, the helper's ping the second, and its answer the third:
/// so a helper's "no answer" is back before the period ends.
pub const PARTS: u32 = 3;
/// The most that local health stretches a member's own waits by (Lifeguard, 5: S = 8).
pub const UNWELL_LIMIT: u32 = 8;

/// One, in the fixed point of this module.
const ONE: u64 = 1024;

/// max(1, log10 n) in 1024ths. The logarithm to base 2 is drawn straight between powers of two, which is at most
/// 0.09 below the true one (0.03 to base 10): without floating point every machine keeps the same times.
fn magnitude(n: usize) -> u64 {
    let n = (n as u64).max(1);
    let whole = n.ilog2();
    let log2 = u64::from(whole) * ONE + ((n << 10 >> whole) - ONE);
    // log10(2) = 0.30103, which is 1233 / 4096 (0.30103).
    (log2 * 1233 / 4096).max(ONE)
}

fn of(period: Duration, parts: u64) -> Duration {
    let nanos = period.as_nanos().saturating_mul(u128::from(parts)) / u128::from(ONE);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

/// The suspicion time once confirmed by as many as count.
pub fn suspicion_least(n: usize, period: Duration) -> Duration {
    of(period, u64::from(ALPHA) * magnitude(n))
}

/// The suspicion time of one that nobody confirms.
pub fn suspicion_most(n: usize, period: Duration) -> Duration {
    suspicion_least(n, period).saturating_mul(BETA)
}

/// Confirmations that count among `n`: all but the suspect and the first to suspect it can give one.
pub fn confirmations(n: usize) -> usize {
    n.saturating_sub(2).min(CONFIRMATIONS)
}

/// The suspicion time after `got` confirmations of `wanted`.
pub fn suspicion(n: usize, period: Duration, got: usize, wanted: usize) -> Duration {
    // log(c + 1) / log(k + 1) in 1024ths.
    let gone = match (wanted, got) {
        (0, _) => ONE,
        (_, 0) => 0,
        (2, 1) => 646,
        (3, 1) => 512,
        (3, 2) => 811,
        _ => ONE,
    };
    let (least, most) = (suspicion_least(n, period), suspicion_most(n, period));
    most - of(most - least, gone)
}

/// Packets that one update rides on at most, from each member.
pub fn sends(n: usize) -> u32 {
    LAMBDA * (n.max(1) as u64 + 1).next_power_of_two().ilog2()
}

/// The time in which news reaches all that can be reached, but for one member in n^4.
pub fn dissemination(n: usize, period: Duration) -> Duration {
    period.saturating_mul(sends(n))
}

/// The time after a crash in which, at p99, the first member suspects it.
pub fn first_suspicion(period: Duration) -> Duration {
    period.saturating_mul(6)
}

/// The time after a crash in which, at p99, all know of it.
pub fn known_to_all(n: usize, period: Duration) -> Duration {
    period
        .saturating_mul(3)
        .saturating_add(suspicion_most(n, period))
        .saturating_add(dissemination(n, period))
}

/// The longest that a live member which reaches a majority is held dead.
pub fn refutation_round(n: usize, period: Duration) -> Duration {
    dissemination(n, period).saturating_mul(2)
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Duration = Duration::from_secs(1);

    /// Guards against: a fixed-point logarithm that strays from the true one, or a time that falls as a fleet grows.
    #[test]
    fn magnitude_follows_the_logarithm() {
        for n in 1..5000 {
            let (true_log, ours) = ((n as f64).log10().max(1.0), magnitude(n) as f64 / 1024.0);
            assert!((true_log - ours).abs() < 0.03, "{n}: {true_log} {ours}");
            assert!(magnitude(n) <= magnitude(n + 1));
        }
    }

    /// Guards against: suspicion times that do not run from six times the least down to the least.
    #[test]
    fn suspicion_shrinks_to_the_least() {
        assert_eq!(suspicion_least(10, T), Duration::from_secs(5));
        for n in [2, 3, 4, 5, 50, 500] {
            let wanted = confirmations(n);
            let times: Vec<_> = (0..=wanted).map(|got| suspicion(n, T, got, wanted)).collect();
            assert!(times.is_sorted_by(|a, b| a > b), "{n}: {times:?}");
            assert_eq!(*times.last().unwrap(), suspicion_least(n, T));
            assert_eq!(times[0], if wanted == 0 { suspicion_least(n, T) } else { suspicion_most(n, T) });
            for (got, time) in times.iter().enumerate().filter(|_| wanted > 0) {
                let gone = ((got + 1) as f64).ln() / ((wanted + 1) as f64).ln();
                let (most, least) =
                    (suspicion_most(n, T).as_secs_f64(), suspicion_least(n, T).as_secs_f64());
                assert!((time.as_secs_f64() - (most - (most - least) * gone)).abs() < 0.002 * most);
            }
        }
    }

    /// Guards against: sends that differ from lambda times the logarithm rounded up.
    #[test]
    fn sends_grow_with_the_logarithm() {
        assert_eq!([1, 2, 3, 4, 7, 8, 500].map(sends), [3, 6, 6, 9, 9, 12, 27]);
    }
}
