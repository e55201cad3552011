//! Targets: what is known of each endpoint, its weight and warmth, this balancer's hand, and the pick.

use super::*;
use std::collections::HashSet;

/// Balancers that keep one endpoint in hand: few enough for its connection table, enough to even out.
const CALLERS_PER_ENDPOINT: f64 = 6.0;
/// Fewest endpoints in a hand, so that some stay healthy.
const ENDPOINTS_MIN: usize = 8;
/// How long evidence of rates and reports is remembered (time constant).
pub(super) const MEMORY_S: f64 = 5.0;
/// Utilization (summed over reports) that an endpoint's own reports must add up to, to count half.
const PRIOR_UTIL: f64 = 1.0;
/// What a kind's sums keep at each report of one of its endpoints.
const KIND_KEEP: f64 = 0.99;
/// No weight falls below this share of the mean.
const WEIGHT_FLOOR: f64 = 0.1;
/// One call still out counts as this many times the mean of recent sends, when endpoints are compared.
const OUT_COST: f64 = 1.0;
/// An endpoint in another zone is taken when even the best at home has this many more calls of ours out.
const AWAY_CALLS: u32 = 2;
/// Share of the shortest aim in which an endpoint must be able to serve all that is out at it.
const ROOM_SHARE: f64 = 2.0 / 3.0;
/// Share of the budget of a cold endpoint that all balancers together plan to use.
const COLD_SHARE: f64 = 0.4;
/// Shortest and longest pause of an endpoint that fails, and how often a pause doubles.
pub(super) const PAUSE_SHORTEST: Duration = Duration::from_millis(100);
const PAUSE_LONGEST: Duration = Duration::from_secs(10);
const PAUSE_DOUBLINGS: u32 = 6;

/// A sum that fades over `MEMORY_S`.
#[derive(Clone, Copy, Default)]
pub(super) struct Faded {
    pub(super) value: f64,
    pub(super) at: Time,
}

impl Faded {
    pub(super) fn get(self, now: Time) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / MEMORY_S).exp()
    }

    pub(super) fn add(&mut self, now: Time, more: f64) {
        *self = Faded { value: self.get(now) + more, at: now };
    }
}

pub(super) struct Server {
    pub(super) info: Endpoint,
    /// Reported rates and utilizations, and the weight that follows from them; 0 without reports.
    pub(super) rates: Faded,
    pub(super) utils: Faded,
    pub(super) weight: f64,
    /// Attempts of ours that are out, and all recent ones.
    pub(super) out: u32,
    pub(super) recent: Faded,
    /// Most calls of ours that an attempt it served was sent beside; fades as it ages.
    pub(super) carried: Faded,
    /// Failures since it last answered, and how long it is paused for them.
    pub(super) strikes: u32,
    pub(super) paused_until: Time,
    /// What may be sent to it while it is cold, as of a time, and what lapses in one window: see `earn`.
    pub(super) cold_credit: (f64, Time, f64),
    /// Balancers that have it in hand.
    callers: f64,
}

impl Balancer {
    pub(super) fn probes(&self) -> bool {
        self.set.reporting == Reporting::ProbesOnly && self.set.limits.may_probe
    }

    /// Takes a load report: an endpoint's rate and utilization are summed with decay, the sums' ratio is its
    /// weight, drawn to the mean of its kind while its own evidence is thin.
    pub(super) fn report(&mut self, endpoint: EndpointId, report: Option<LoadReport>, served: bool) {
        let Some(LoadReport { utilization: Some(util), rate: Some(rate) }) = report else { return };
        let Some(&i) = self.index.get(&endpoint) else { return };
        if !(util.is_finite() && rate.is_finite() && util > 0.0 && rate >= 0.0) {
            return;
        }
        let (util, now, warmth) = (util.min(1.0), self.now, self.warmth(&self.servers[i]));
        if served {
            self.idle += (1.0 - util - self.idle) * limit::OUTCOME_GAIN;
        }
        let s = &mut self.servers[i];
        s.rates.add(now, rate);
        s.utils.add(now, util);
        // What a cold endpoint does now says nothing of what its kind does once warm.
        if warmth >= 1.0 {
            let (rates, utils) = self.kinds.entry(s.info.kind).or_default();
            (*rates, *utils) = (*rates * KIND_KEEP + rate, *utils * KIND_KEEP + util);
        }
        let usual = self.usual(self.servers[i].info.kind).unwrap_or(self.mean_weight) * warmth;
        let s = &mut self.servers[i];
        s.weight = (s.rates.value + usual * PRIOR_UTIL) / (s.utils.value + PRIOR_UTIL);
        let known = self.hand.iter().map(|&h| self.servers[h].weight).filter(|&w| w > 0.0);
        let (sum, count) = known.fold((0.0, 0.0), |(s, n), w| (s + w, n + 1.0));
        if count > 0.0 {
            self.mean_weight = sum / count;
        }
    }

    /// The weight of an endpoint by its kind's reports, if there are any.
    fn usual(&self, kind: KindId) -> Option<f64> {
        self.kinds.get(&kind).map(|(rates, utils)| rates / utils)
    }

    /// What an endpoint carries at present: by its own reports, or, unreported or cold, by those of its kind.
    fn weight(&self, s: &Server, warmth: f64) -> f64 {
        match s.weight {
            own if warmth < 1.0 => own.max(self.usual(s.info.kind).unwrap_or(self.mean_weight) * warmth),
            own if own > 0.0 => own.max(self.mean_weight * WEIGHT_FLOOR),
            _ => self.mean_weight,
        }
    }

    /// An endpoint's capacity now, as a share of its full one, taking the slowest warming allowed.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let duties = &self.set.obligations;
        let age = s.info.started.map_or(f64::INFINITY, |at| self.now.since(at).as_secs_f64());
        let share = (age / duties.warm_after.as_secs_f64()).min(1.0);
        1.0 - (1.0 - duties.cold_from.clamp(0.0, 1.0)) * (1.0 - share)
    }

    /// Pauses an endpoint after a failure that speaks against it, for as long as the failure took to show,
    /// doubled with each in a row: an endpoint that hangs costs a whole aim each time it is tried.
    /// While half the hand is paused the trouble is everybody's, and no reason to pause anybody.
    pub(super) fn fault(&mut self, endpoint: EndpointId, took: Duration) {
        let Some(&i) = self.index.get(&endpoint) else { return };
        let paused = self.hand.iter().filter(|&&h| self.servers[h].paused_until > self.now).count();
        let s = &mut self.servers[i];
        if s.paused_until > self.now || 2 * paused >= self.hand.len() {
            return;
        }
        let pause = took.max(PAUSE_SHORTEST) * (1 << s.strikes.min(PAUSE_DOUBLINGS));
        s.strikes += 1;
        s.paused_until = self.now + pause.min(PAUSE_LONGEST).mul_f64(0.75 + 0.5 * self.rng.f64());
        self.deal_endpoints();
    }

    /// Chooses this balancer's own hand of endpoints: a run of the ready ones in hash order, beginning at
    /// this balancer's place in a low-discrepancy sequence, so that all endpoints are in about as many hands.
    fn deal_endpoints(&mut self) {
        (self.hand, self.away) = (Vec::new(), Vec::new());
        let siblings = f64::from(self.set.siblings.max(1));
        let want = (CALLERS_PER_ENDPOINT * self.order.len() as f64 / siblings).ceil() as usize;
        let place = (f64::from(self.set.me) * 0.618_033_988_749_894_9).fract();
        let priced = self.set.cross_zone_price > 0.0;
        let zones: HashSet<_> = self.order.iter().map(|&i| self.servers[i].info.zone).collect();
        for at_home in [true, false] {
            let in_zone = |i: &usize| (!priced || self.servers[*i].info.zone == self.set.zone) == at_home;
            let zone: Vec<usize> = self.order.iter().copied().filter(in_zone).collect();
            let (first, mut left) = ((place * zone.len() as f64) as usize, want.max(ENDPOINTS_MIN));
            for i in zone.iter().cycle().skip(first).take(zone.len()).copied() {
                if left == 0 {
                    break;
                }
                // Endpoints that are paused stay in hand but are made up for.
                left -= usize::from(self.servers[i].paused_until <= self.now);
                if at_home { self.hand.push(i) } else { self.away.push(i) }
            }
            // Siblings are taken to be spread evenly over the zones that are listed.
            let pool = if at_home { &self.hand } else { &self.away };
            let among = if at_home && priced { zone.len() * zones.len() } else { self.order.len() };
            let callers = (siblings * pool.len() as f64 / among as f64).max(1.0);
            pool.iter().for_each(|&i| self.servers[i].callers = callers);
        }
    }

    /// The endpoint for a call's next attempt. A keyed call that may have run stays in its group; others take
    /// this balancer's hand at home, and another zone only when those at home are busy.
    pub(super) fn pick(&self, r: &Request) -> Option<usize> {
        let bound = match (self.set.classes[usize::from(r.call.class.0)].effect, r.may_have_run) {
            (Effect::Keyed { scope: Scope::Zone, .. }, Some((_, zone, _))) => Some((zone, None)),
            (Effect::Keyed { scope: Scope::Cell, .. }, Some((_, zone, cell))) => Some((zone, Some(cell))),
            _ => None,
        };
        if let Some((zone, cell)) = bound {
            let usable = |s: &Server| s.info.zone == zone && cell.is_none_or(|c| c == s.info.cell);
            return self.least(&self.order, r, usable);
        }
        let home = self.least(&self.hand, r, |_| true);
        let out = |i: usize| self.servers[i].out;
        // Cold ones elsewhere are left to those at home there.
        match (home, self.least(&self.away, r, |s| self.hand.is_empty() || self.warmth(s) >= 1.0)) {
            (Some(h), Some(a)) if out(h) < out(a) + AWAY_CALLS => Some(h),
            (home, away) => away.or(home),
        }
    }

    /// The usable endpoint of a pool with the least own work against its weight: calls out,
    /// and among those with none the recent sends, relative to the mean.
    fn least(&self, pool: &[usize], r: &Request, usable: impl Fn(&Server) -> bool) -> Option<usize> {
        let again = !r.attempts.is_empty();
        let mean = self.mean_sends().max(1e-9);
        let mut best: Option<(f64, usize)> = None;
        for &i in pool {
            let s = &self.servers[i];
            if !usable(s) || s.paused_until > self.now || s.strikes > 0 && s.out > 0 {
                continue;
            }
            let warmth = self.warmth(s);
            // A further attempt is no way to meet a cold endpoint; a first one only within this balancer's
            // slice of what the endpoint can stand.
            let unmet = warmth < 1.0 && (again || s.cold_credit.0 < 1.0);
            if unmet || s.out > 0 && f64::from(s.out) >= self.room(s, warmth) {
                continue;
            }
            let tried = r.attempts.iter().filter(|a| a.endpoint == s.info.id).count() as f64;
            let work = s.recent.get(self.now) / mean + OUT_COST * (f64::from(s.out) + tried);
            // What may be met only now and then is met then.
            let rare = if warmth < 1.0 { s.cold_credit.2.min(1.0) } else { 1.0 };
            let score = work * rare / self.weight(s, warmth);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Recent sends to an endpoint in hand, on average.
    fn mean_sends(&self) -> f64 {
        self.sends.get(self.now) / self.hand.len().max(1) as f64
    }

    /// Calls of ours that an endpoint serves at once: our slice of its work in a share of the shortest aim.
    fn slice(&self, s: &Server, warmth: f64) -> Option<f64> {
        self.usual(s.info.kind).map(|_| self.weight(s, warmth) * self.shortest_aim * ROOM_SHARE / s.callers)
    }

    /// Calls of ours that may be out at an endpoint, one at least: time-outs tell of a crowd too late.
    fn room(&self, s: &Server, warmth: f64) -> f64 {
        self.slice(s, warmth).map_or(f64::INFINITY, |slice| slice.round().max(1.0))
    }

    /// Calls of ours that all endpoints in hand serve at once, as far as they report.
    pub(super) fn room_in_hand(&self) -> f64 {
        self.hand.iter().map(|&i| &self.servers[i]).filter_map(|s| self.slice(s, self.warmth(s))).sum()
    }

    /// Brings the credit of cold endpoints up to now: our slice of a share of what all may send one, in
    /// calls of mean work. What is not used within the rule's own time lapses, so that nobody saves up for a
    /// moment when all send. Without reports of its kind our slice is our mean rate to one in hand.
    pub(super) fn earn(&mut self) {
        for i in 0..self.servers.len() {
            let (s, duties) = (&self.servers[i], &self.set.obligations);
            let warmth = self.warmth(s);
            if warmth < 1.0 {
                let (window, planned) =
                    (duties.fall_after.as_secs_f64(), duties.fall_multiple * COLD_SHARE);
                let rate = match self.usual(s.info.kind) {
                    Some(_) => self.weight(s, warmth) / s.callers * planned,
                    // One within the window of all together stands even where nobody has met its kind.
                    None => {
                        (self.mean_sends() / MEMORY_S * warmth * planned).max(1.0 / (s.callers * window))
                    }
                };
                let credit = s.cold_credit.0 + self.now.since(s.cold_credit.1).as_secs_f64() * rate;
                let lapsed = (credit - rate * window).max(0.0).floor();
                self.servers[i].cold_credit = (credit - lapsed, self.now, rate * window);
            }
        }
    }

    pub(super) fn endpoints(&mut self, kind: ListKind, entries: &[Endpoint]) {
        (self.awaiting, self.ask_failures) = (false, 0);
        if kind == ListKind::Full {
            for s in &mut self.servers {
                s.info.state = EndpointState::Gone;
            }
        }
        for e in entries {
            let known = self.index.get(&e.id).copied();
            if let Some(i) = known.filter(|&i| self.servers[i].info.started == e.started) {
                self.servers[i].info = *e;
                continue;
            }
            // New, or started anew: nothing learned before holds, only attempts still out. A random part of
            // the first cold call's credit spreads the balancers' first calls to it.
            let mut fresh = Server {
                info: *e,
                rates: Faded::default(),
                utils: Faded::default(),
                weight: 0.0,
                out: known.map_or(0, |i| self.servers[i].out),
                recent: Faded { value: self.mean_sends(), at: self.now },
                carried: Faded::default(),
                strikes: 0,
                paused_until: Time(0),
                cold_credit: (self.rng.f64(), self.now, 0.0),
                callers: 1.0,
            };
            // No burst to make up for calls it was not there for.
            fresh.recent.value *= self.warmth(&fresh);
            self.index.insert(e.id, known.unwrap_or(self.servers.len()));
            match known {
                Some(i) => self.servers[i] = fresh,
                None => self.servers.push(fresh),
            }
        }
        // Forget what is gone and owes no outcome.
        self.servers.retain(|s| s.info.state != EndpointState::Gone || s.out > 0);
        self.index = self.servers.iter().enumerate().map(|(i, s)| (s.info.id, i)).collect();
        let ready = |&i: &usize| self.servers[i].info.state == EndpointState::Ready;
        self.order = (0..self.servers.len()).filter(ready).collect();
        self.order.sort_by_key(|&i| mix(self.servers[i].info.id.0));
        self.deal_endpoints();
    }
}
