//! The ways in which reference policies choose an endpoint.

use super::*;

/// A way to choose an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Uniformly at random.
    Random,
    /// Round robin.
    RoundRobin,
    /// The one with the fewest outstanding attempts of this sidecar (Envoy's and nginx' "least
    /// request").
    LeastOutstanding,
    /// The better of two random ones by outstanding attempts (Mitzenmacher, "The Power of Two
    /// Choices in Randomized Load Balancing", 2001).
    PowerOfTwo,
    /// The better of two random ones by a peak-sensitive moving average of response times,
    /// multiplied by outstanding attempts plus one (Finagle's and linkerd's "peak EWMA", decay 10
    /// s).
    PeakEwma,
    /// By weight: reported rate over reported utilization (gRPC proposal A58,
    /// "weighted_round_robin", with the error penalty of 1 and expiry after 3 minutes), with an
    /// earliest-deadline-first schedule.
    WeightedByReport,
    /// Prequal's hot-cold lexicographic rule (Wydrowski et al., "Load is not what you should
    /// balance", NSDI 2024) without probes: this sidecar's outstanding attempts stand for requests
    /// in flight; endpoints above the quantile 0.84 are hot; of the cold ones it takes the one with
    /// the lowest response time, of hot ones the one with the fewest outstanding attempts.
    HotCold,
    /// The lowest expected time of all: response time multiplied by outstanding attempts plus one.
    LeastTime,
    /// Sees the true state: takes the endpoint where the request would be done first, and refuses
    /// at once where that is too late. Its result is the upper bound that the policies are compared
    /// with.
    TrueState,
    /// Sees the true state with the delay of load reports, and takes the best of a few random
    /// endpoints: with old information the best of all attracts every sidecar at once
    /// (Mitzenmacher, "How Useful Is Old Information?", 2000).
    DelayedState,
}

/// Endpoints sampled where the state is delayed: Mitzenmacher finds two or three best for
/// information as old as a few service times.
const DELAYED_STATE_SAMPLES: usize = 3;

pub(super) const DECAY_S: f64 = 10.0;
const HOT_QUANTILE: f64 = 0.84;
const WEIGHT_EXPIRES: Duration = Duration::from_secs(180);

impl ReferencePolicy {
    /// The peak-sensitive average at a time: it decays towards zero while no answer comes.
    pub(super) fn decayed_peak(t: &EndpointStats, now: Time) -> f64 {
        t.peak_average.0 * libm::exp(-now.since(t.peak_average.1).as_secs_f64() / DECAY_S)
    }

    pub(super) fn pick(&mut self, now: Time, request: &Request, truth: &Truth<'_>) -> Option<usize> {
        let ready: Vec<usize> = (0..self.endpoints.len()).filter(|&i| self.endpoints[i].ready).collect();
        if ready.is_empty() {
            return None;
        }
        let count = ready.len();
        let (first, second) = (ready[self.draw.index_below(count)], ready[self.draw.index_below(count)]);
        let least = |score: &dyn Fn(usize) -> f64| {
            ready.iter().copied().min_by(|&a, &b| score(a).total_cmp(&score(b)).then(a.cmp(&b)))
        };
        let t = &self.endpoints;
        let unknown_time = t.iter().map(|t| t.average).fold(0.0, f64::max) / 2.0;
        let time = |i: usize| if t[i].average > 0.0 { t[i].average } else { unknown_time };
        match self.choice {
            Choice::Random => Some(first),
            Choice::RoundRobin => {
                self.next_index += 1;
                Some(ready[self.next_index % count])
            }
            Choice::LeastOutstanding => {
                // Ties are broken in rotation; otherwise the first endpoint would get all requests
                // at low load.
                self.next_index += 1;
                let from = self.next_index % count;
                (0..count).map(|i| ready[(from + i) % count]).min_by_key(|&i| t[i].outstanding)
            }
            Choice::PowerOfTwo => {
                Some(if t[second].outstanding < t[first].outstanding { second } else { first })
            }
            Choice::PeakEwma => {
                let load = |i: usize| {
                    let cost = ReferencePolicy::decayed_peak(&t[i], now);
                    // An endpoint without any answer counts as slow while it has an attempt
                    // outstanding.
                    let cost = if cost > 0.0 {
                        cost
                    } else if t[i].outstanding > 0 {
                        1e3
                    } else {
                        0.0
                    };
                    cost * f64::from(t[i].outstanding + 1)
                };
                Some(if load(second) < load(first) { second } else { first })
            }
            Choice::LeastTime => least(&|i| time(i) * f64::from(t[i].outstanding + 1)),
            Choice::HotCold => {
                let mut outs: Vec<u32> = ready.iter().map(|&i| t[i].outstanding).collect();
                outs.sort_unstable();
                let hot = outs[((count as f64 * HOT_QUANTILE) as usize).min(count - 1)];
                let cold = ready.iter().copied().filter(|&i| t[i].outstanding < hot.max(1));
                cold.min_by(|&a, &b| time(a).total_cmp(&time(b)).then(a.cmp(&b)))
                    .or_else(|| ready.iter().copied().min_by_key(|&i| t[i].outstanding))
            }
            Choice::WeightedByReport => {
                let fresh = |i: usize| t[i].weight > 0.0 && now.since(t[i].weight_at) < WEIGHT_EXPIRES;
                let known: Vec<f64> = ready.iter().filter(|&&i| fresh(i)).map(|&i| t[i].weight).collect();
                let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
                let weight = |i: usize| if fresh(i) { t[i].weight } else { mean.max(1e-9) };
                let picked = least(&|i| t[i].next_turn)?;
                let interval = 1.0 / (weight(picked) / mean.max(1e-9)).max(1e-3);
                self.virtual_time = self.virtual_time.max(self.endpoints[picked].next_turn);
                self.endpoints[picked].next_turn = self.virtual_time + interval;
                Some(picked)
            }
            Choice::TrueState => {
                let class = usize::from(request.class.0);
                let done = |i: usize| self.expected_time(&self.endpoints[i], class, truth);
                least(&done)
            }
            Choice::DelayedState => {
                let class = usize::from(request.class.0);
                let done = |i: usize| self.expected_time(&self.endpoints[i], class, truth);
                let able: Vec<usize> = ready.iter().copied().filter(|&i| done(i).is_finite()).collect();
                let draws = DELAYED_STATE_SAMPLES.min(able.len());
                let drawn: Vec<usize> =
                    (0..draws).map(|_| able[self.draw.index_below(able.len())]).collect();
                let done = |i: usize| self.expected_time(&self.endpoints[i], class, truth);
                drawn.into_iter().min_by(|&a, &b| done(a).total_cmp(&done(b)).then(a.cmp(&b)))
            }
        }
    }

    /// The expected time of a request at an endpoint, by its true state, current or delayed. Half
    /// of this sidecar's outstanding attempts count as load if that is more than the state shows,
    /// since some have not arrived yet.
    pub(super) fn expected_time(&self, t: &EndpointStats, class: usize, truth: &Truth<'_>) -> f64 {
        let index = t.id.0 as usize;
        let view = match self.choice {
            Choice::DelayedState => truth.delayed.get(index).copied(),
            _ => truth.endpoints.get(index).map(|s| EndpointView::of(s, truth.now)),
        };
        let Some(s) = view.filter(|s| s.accepts_work) else { return f64::INFINITY };
        let ahead = s.runnable.max(t.outstanding as usize / 2) as f64;
        let wait = if s.slots_taken { 2.0 } else { 1.0 };
        // An endpoint close to crowding counts as slower still, because crowding must not begin.
        let crowd = if s.near_crowding { 3.0 } else { 1.0 };
        self.mean_work[class] / s.core_rate.max(1e-9) * (1.0 + ahead / s.cores) * wait * crowd
    }
}
