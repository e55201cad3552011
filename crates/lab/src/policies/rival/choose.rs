//! The ways to choose a server.

use super::*;

/// A way to choose a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Any, evenly.
    Random,
    /// One after another.
    RoundRobin,
    /// The one with the fewest calls of ours out (Envoy's and nginx' "least request").
    LeastOut,
    /// The better of two drawn ones by calls out (Mitzenmacher, "The Power of Two Choices in Randomized Load
    /// Balancing", 2001).
    PowerOfTwo,
    /// The better of two drawn ones by a peak-sensitive moving average of answer times, times calls out and one
    /// (Finagle's and linkerd's "peak EWMA", decay 10 s).
    PeakEwma,
    /// By weight: reported rate over reported utilisation (gRPC proposal A58, "weighted_round_robin", with
    /// the error penalty of 1 and expiry after 3 minutes), dealt by an earliest-deadline-first schedule.
    WeightedByReport,
    /// Prequal's hot-cold lexicographic rule (Wydrowski et al., "Load is not what you should balance",
    /// NSDI 2024) without probes: calls of ours out stand for requests in flight; those above the quantile 0.84
    /// are hot; of the cold the one with the least answer time, of hot ones the one with the fewest out.
    HotCold,
    /// The one with the least expected time of all: answer time times calls out and one.
    LeastTime,
    /// Sees the true state: the server where the call would be done first, and a refusal at once where that is
    /// too late. What it reaches is the top.
    TrueState,
    /// Sees the true state as late as load reports are, and takes the best of a few drawn servers: with old news the
    /// best of all draws everybody to the same one (Mitzenmacher, "How Useful Is Old Information?", 2000).
    LateState,
}

/// Servers that are drawn where the state is seen late: Mitzenmacher finds two or three best for news as old as a
/// few service times.
const LATE_DRAWS: usize = 3;

pub(super) const DECAY_S: f64 = 10.0;
const HOT: f64 = 0.84;
const WEIGHT_EXPIRES: Duration = Duration::from_secs(180);

impl Rival {
    /// The peak-sensitive average, brought up to now: it falls towards nothing while no answer comes.
    pub(super) fn cost(t: &Target, now: Time) -> f64 {
        t.cost.0 * libm::exp(-now.since(t.cost.1).as_secs_f64() / DECAY_S)
    }

    pub(super) fn pick(&mut self, now: Time, call: &Request, truth: &Truth<'_>) -> Option<usize> {
        let ready: Vec<usize> = (0..self.targets.len()).filter(|&i| self.targets[i].ready).collect();
        if ready.is_empty() {
            return None;
        }
        let count = ready.len();
        let (first, second) = (ready[self.draw.below(count)], ready[self.draw.below(count)]);
        let least = |score: &dyn Fn(usize) -> f64| {
            ready.iter().copied().min_by(|&a, &b| score(a).total_cmp(&score(b)).then(a.cmp(&b)))
        };
        let t = &self.targets;
        let unknown = t.iter().map(|t| t.usual).fold(0.0, f64::max) / 2.0;
        let time = |i: usize| if t[i].usual > 0.0 { t[i].usual } else { unknown };
        match self.choice {
            Choice::Random => Some(first),
            Choice::RoundRobin => {
                self.next += 1;
                Some(ready[self.next % count])
            }
            Choice::LeastOut => {
                // Ties go round, or the first server would have all calls of a quiet time.
                self.next += 1;
                let from = self.next % count;
                (0..count).map(|i| ready[(from + i) % count]).min_by_key(|&i| t[i].out)
            }
            Choice::PowerOfTwo => Some(if t[second].out < t[first].out { second } else { first }),
            Choice::PeakEwma => {
                let load = |i: usize| {
                    let cost = Rival::cost(&t[i], now);
                    // One that was never heard of counts as slow once it has a call out.
                    let cost = if cost > 0.0 {
                        cost
                    } else if t[i].out > 0 {
                        1e3
                    } else {
                        0.0
                    };
                    cost * f64::from(t[i].out + 1)
                };
                Some(if load(second) < load(first) { second } else { first })
            }
            Choice::LeastTime => least(&|i| time(i) * f64::from(t[i].out + 1)),
            Choice::HotCold => {
                let mut outs: Vec<u32> = ready.iter().map(|&i| t[i].out).collect();
                outs.sort_unstable();
                let hot = outs[((count as f64 * HOT) as usize).min(count - 1)];
                let cold = ready.iter().copied().filter(|&i| t[i].out < hot.max(1));
                cold.min_by(|&a, &b| time(a).total_cmp(&time(b)).then(a.cmp(&b)))
                    .or_else(|| ready.iter().copied().min_by_key(|&i| t[i].out))
            }
            Choice::WeightedByReport => {
                let fresh = |i: usize| t[i].weight > 0.0 && now.since(t[i].reported) < WEIGHT_EXPIRES;
                let known: Vec<f64> = ready.iter().filter(|&&i| fresh(i)).map(|&i| t[i].weight).collect();
                let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
                let weight = |i: usize| if fresh(i) { t[i].weight } else { mean.max(1e-9) };
                let picked = least(&|i| t[i].deadline)?;
                let step = 1.0 / (weight(picked) / mean.max(1e-9)).max(1e-3);
                self.schedule = self.schedule.max(self.targets[picked].deadline);
                self.targets[picked].deadline = self.schedule + step;
                Some(picked)
            }
            Choice::TrueState => {
                let class = usize::from(call.class.0);
                let done = |i: usize| self.true_time(&self.targets[i], class, truth);
                least(&done)
            }
            Choice::LateState => {
                let class = usize::from(call.class.0);
                let done = |i: usize| self.true_time(&self.targets[i], class, truth);
                let able: Vec<usize> = ready.iter().copied().filter(|&i| done(i).is_finite()).collect();
                let draws = LATE_DRAWS.min(able.len());
                let drawn: Vec<usize> = (0..draws).map(|_| able[self.draw.below(able.len())]).collect();
                let done = |i: usize| self.true_time(&self.targets[i], class, truth);
                drawn.into_iter().min_by(|&a, &b| done(a).total_cmp(&done(b)).then(a.cmp(&b)))
            }
        }
    }

    /// How long a call would take at a server, by its true state, as it is or as it was. What this sidecar has out
    /// counts where it has not arrived yet.
    pub(super) fn true_time(&self, t: &Target, class: usize, truth: &Truth<'_>) -> f64 {
        let place = t.id.0 as usize;
        let view = match self.choice {
            Choice::LateState => truth.late.get(place).copied(),
            _ => truth.servers.get(place).map(|s| EndpointView::of(s, truth.now)),
        };
        let Some(s) = view.filter(|s| s.accepts_work) else { return f64::INFINITY };
        let ahead = s.runnable.max(t.out as usize / 2) as f64;
        let wait = if s.slots_taken { 2.0 } else { 1.0 };
        // Crowding must not begin: a server close to it counts as slower still.
        let crowd = if s.near_crowding { 3.0 } else { 1.0 };
        self.work[class] / s.core_rate.max(1e-9) * (1.0 + ahead / s.cores) * wait * crowd
    }
}
