//! Timing bounds of the membership protocol, as formulas. T is the protocol period, n the number of
//! members that answer, this one included.
//!
//! | what | formula |
//! | --- | --- |
//! | minimum suspicion timeout | alpha · max(1, log10 n) · T, with alpha = 5 |
//! | maximum suspicion timeout | beta · the minimum, with beta = 6 |
//! | suspicion timeout after c of k confirmations | max - (max - min) · log(c + 1) / log(k + 1), k = min(3, n - 2) |
//! | retransmission limit of one update | lambda · ⌈log2(n + 1)⌉, with lambda = 3 |
//! | dissemination | as many periods as the retransmission limit |
//! | first suspicion of a crash | 6 T at p99: in each period nobody probes the member with probability 1/e, and ln 100 = 4.6; plus the probe |
//! | a crash known to all | 3 T + maximum suspicion timeout + dissemination at p99 |
//! | one refutation round | twice the dissemination: the suspicion to the suspect, its refutation to all |

use std::time::Duration;

/// Multiplier of the minimum suspicion timeout (Lifeguard, Dadgar, Phillips and Currey 2017, 5:
/// alpha = 5).
pub const ALPHA: u32 = 5;
/// Ratio of the maximum to the minimum suspicion timeout (Lifeguard, 5: beta = 6).
pub const BETA: u32 = 6;
/// Independent confirmations after which a suspicion timeout is at its minimum
/// (Lifeguard, 5: K = 3).
pub const CONFIRMATIONS: usize = 3;
/// Multiplier of the retransmission limit of one update (SWIM, Das, Gupta and Motivala 2002, 4.1:
/// with lambda · log n transmissions all but n^(2 - 2 lambda) members receive it; 3 leaves room for
/// loss).
pub const LAMBDA: u32 = 3;
/// Members asked for an indirect probe (SWIM, 5: k = 3).
pub const HELPERS: usize = 3;
/// Phases of a period: the first for the direct ping, the second for a helper's ping, the third for
/// the helper's answer, so that a helper's nack is back before the period ends.
pub const PROBE_PHASES: u32 = 3;
/// Upper limit of the local health score (Lifeguard, 5: S = 8). A member multiplies its own timeouts
/// by the score plus one.
pub const LOCAL_HEALTH_LIMIT: u32 = 8;

/// 1.0 in the fixed-point format of this module.
const ONE: u64 = 1024;

/// max(1, log10 n) in 1024ths. The base-2 logarithm is interpolated linearly between powers of two,
/// which is at most 0.09 below the exact value (0.03 in base 10). Without floating point, all
/// machines compute the same timeouts.
fn log10_at_least_one(n: usize) -> u64 {
    let n = (n as u64).max(1);
    let whole = n.ilog2();
    let log2 = u64::from(whole) * ONE + ((n << 10 >> whole) - ONE);
    // log10(2) = 0.30103, which is 1233 / 4096 (0.30103).
    (log2 * 1233 / 4096).max(ONE)
}

fn scale(period: Duration, parts: u64) -> Duration {
    let nanos = period.as_nanos().saturating_mul(u128::from(parts)) / u128::from(ONE);
    Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
}

/// The minimum suspicion timeout, which applies once enough members have confirmed the suspicion.
pub fn suspicion_min(n: usize, period: Duration) -> Duration {
    scale(period, u64::from(ALPHA) * log10_at_least_one(n))
}

/// The maximum suspicion timeout, which applies to a suspicion without confirmations.
pub fn suspicion_max(n: usize, period: Duration) -> Duration {
    suspicion_min(n, period).saturating_mul(BETA)
}

/// Confirmations that shorten a suspicion timeout in a cluster of `n`: any member other than the
/// suspect and the first to suspect it can give one.
pub fn confirmations(n: usize) -> usize {
    n.saturating_sub(2).min(CONFIRMATIONS)
}

/// The suspicion timeout after `confirmed` confirmations of `expected`.
pub fn suspicion(n: usize, period: Duration, confirmed: usize, expected: usize) -> Duration {
    // log(c + 1) / log(k + 1) in 1024ths.
    let progress = match (expected, confirmed) {
        (0, _) => ONE,
        (_, 0) => 0,
        (2, 1) => 646,
        (3, 1) => 512,
        (3, 2) => 811,
        _ => ONE,
    };
    let (min, max) = (suspicion_min(n, period), suspicion_max(n, period));
    max - scale(max - min, progress)
}

/// The retransmission limit: how many packets of each member carry the same update.
pub fn retransmit_limit(n: usize) -> u32 {
    LAMBDA * (n.max(1) as u64 + 1).next_power_of_two().ilog2()
}

/// The time within which an update reaches every reachable member, except for one member in n^4.
pub fn dissemination(n: usize, period: Duration) -> Duration {
    period.saturating_mul(retransmit_limit(n))
}

/// The time within which, at p99, some member suspects a crashed one.
pub fn first_suspicion(period: Duration) -> Duration {
    period.saturating_mul(6)
}

/// The time within which, at p99, all members know of a crash.
pub fn known_to_all(n: usize, period: Duration) -> Duration {
    period
        .saturating_mul(3)
        .saturating_add(suspicion_max(n, period))
        .saturating_add(dissemination(n, period))
}

/// The longest time for which a live member that reaches a majority is considered dead.
pub fn refutation_round(n: usize, period: Duration) -> Duration {
    dissemination(n, period).saturating_mul(2)
}

#[cfg(test)]
mod tests {
    use super::*;

    const T: Duration = Duration::from_secs(1);

    /// Guards against a fixed-point logarithm that deviates from the exact one, and timeouts that
    /// shrink as the cluster grows.
    #[test]
    fn fixed_point_logarithm_matches_the_exact_one() {
        for n in 1..5000 {
            let (true_log, ours) = ((n as f64).log10().max(1.0), log10_at_least_one(n) as f64 / 1024.0);
            assert!((true_log - ours).abs() < 0.03, "{n}: {true_log} {ours}");
            assert!(log10_at_least_one(n) <= log10_at_least_one(n + 1));
        }
    }

    /// Guards against suspicion timeouts that don't decrease from six times the minimum to the
    /// minimum.
    #[test]
    fn suspicion_timeout_shrinks_to_the_minimum_with_confirmations() {
        assert_eq!(suspicion_min(10, T), Duration::from_secs(5));
        for n in [2, 3, 4, 5, 50, 500] {
            let expected = confirmations(n);
            let times: Vec<_> =
                (0..=expected).map(|confirmed| suspicion(n, T, confirmed, expected)).collect();
            assert!(times.is_sorted_by(|a, b| a > b), "{n}: {times:?}");
            assert_eq!(*times.last().unwrap(), suspicion_min(n, T));
            assert_eq!(times[0], if expected == 0 { suspicion_min(n, T) } else { suspicion_max(n, T) });
            for (confirmed, time) in times.iter().enumerate().filter(|_| expected > 0) {
                let progress = ((confirmed + 1) as f64).ln() / ((expected + 1) as f64).ln();
                let (max, min) = (suspicion_max(n, T).as_secs_f64(), suspicion_min(n, T).as_secs_f64());
                assert!((time.as_secs_f64() - (max - (max - min) * progress)).abs() < 0.002 * max);
            }
        }
    }

    /// Guards against a retransmission limit other than lambda times the logarithm rounded up.
    #[test]
    fn retransmit_limit_grows_with_the_logarithm() {
        assert_eq!([1, 2, 3, 4, 7, 8, 500].map(retransmit_limit), [3, 6, 6, 9, 9, 12, 27]);
    }
}
