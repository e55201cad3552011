//! Endpoints: what is known of each, its weight and warmth, this balancer's subset of them, and the
//! choice of one for an attempt.

use super::*;
use std::collections::HashSet;

/// Balancers whose subsets contain one endpoint: few enough for its connection table, enough to
/// even out the load.
const BALANCERS_PER_ENDPOINT: f64 = 6.0;
/// Least size of a subset, so that some endpoints in it stay healthy.
const SUBSET_SIZE_MIN: usize = 8;
/// Time constant of averages of rates and reports, in seconds. A tenant's quota bucket holds what
/// is earned in this time.
pub(super) const AVERAGING_TIME_S: f64 = 5.0;
/// Sum of reported utilizations at which an endpoint's own reports count for one half of its
/// weight.
const PRIOR_UTILIZATION: f64 = 1.0;
/// Factor by which a machine type's sums decay at each report of one of its endpoints.
const MACHINE_TYPE_DECAY: f64 = 0.99;
/// No weight falls below this share of the mean weight.
const WEIGHT_MIN_SHARE: f64 = 0.1;
/// When endpoints are compared, one outstanding request counts as this many times the mean number
/// of recent sends.
const OUTSTANDING_COST: f64 = 1.0;
/// A remote endpoint is chosen only when even the best local one has this many more outstanding
/// requests of this balancer.
const REMOTE_ZONE_MARGIN: u32 = 2;
/// Share of the shortest latency target within which an endpoint must be able to serve everything
/// outstanding at it.
const TARGET_SHARE: f64 = 2.0 / 3.0;
/// Share of what a cold endpoint can bear that all balancers together plan to send to it.
const COLD_BUDGET_SHARE: f64 = 0.4;
/// Shortest and longest ejection of a failing endpoint, and how often its duration doubles at most.
pub(super) const EJECTION_MIN: Duration = Duration::from_millis(100);
const EJECTION_MAX: Duration = Duration::from_secs(10);
const EJECTION_DOUBLINGS_MAX: u32 = 6;

/// A sum that decays exponentially with the time constant `AVERAGING_TIME_S`.
#[derive(Clone, Copy, Default)]
pub(super) struct DecayingSum {
    /// The sum as of `updated_at`.
    pub(super) value: f64,
    pub(super) updated_at: Time,
}

impl DecayingSum {
    pub(super) fn get(self, now: Time) -> f64 {
        self.value * (-now.since(self.updated_at).as_secs_f64() / AVERAGING_TIME_S).exp()
    }

    pub(super) fn add(&mut self, now: Time, more: f64) {
        *self = DecayingSum { value: self.get(now) + more, updated_at: now };
    }
}

/// What is known of one endpoint, and the load that this balancer puts on it.
pub(super) struct TrackedEndpoint {
    /// The entry of the endpoint list.
    pub(super) info: Endpoint,
    /// Sum of the reported rates (requests per second).
    pub(super) rate_sum: DecayingSum,
    /// Sum of the reported utilizations.
    pub(super) utilization_sum: DecayingSum,
    /// The weight that follows from both sums, in requests per second at full utilization; 0
    /// without reports.
    pub(super) reported_weight: f64,
    /// Outstanding attempts of this balancer.
    pub(super) outstanding: u32,
    /// Recent attempts to it.
    pub(super) recent_sends: DecayingSum,
    /// Most requests of this balancer that were outstanding there when an attempt was sent that it
    /// then served; decays with age.
    pub(super) served_concurrency: DecayingSum,
    /// Failures since it last answered.
    pub(super) consecutive_failures: u32,
    /// It gets no attempts before this time, because of failures.
    pub(super) ejected_until: Time,
    /// While it is cold: the requests of mean work that may be sent to it, the time for which that
    /// was computed, and the most credit that is kept (that of one window): see
    /// `refill_cold_credit`.
    pub(super) cold_credit: (f64, Time, f64),
    /// Number of balancers whose subsets contain it.
    balancers: f64,
}

impl Balancer {
    /// Whether load reports have to be asked for by probes.
    pub(super) fn uses_probes(&self) -> bool {
        self.settings.reporting == Reporting::ProbesOnly && self.settings.limits.may_probe
    }

    /// Records a load report: an endpoint's rates and utilizations are summed with decay, and the
    /// ratio of the sums is its weight, pulled towards the mean of its machine type while its own
    /// reports are few.
    pub(super) fn record_report(&mut self, endpoint: EndpointId, report: Option<LoadReport>, served: bool) {
        let Some(LoadReport { utilization: Some(utilization), rate: Some(rate) }) = report else { return };
        let Some(&i) = self.index_by_id.get(&endpoint) else { return };
        if !(utilization.is_finite() && rate.is_finite() && utilization > 0.0 && rate >= 0.0) {
            return;
        }
        let (utilization, now, warmth) = (utilization.min(1.0), self.now, self.warmth(&self.endpoints[i]));
        if served {
            self.idle_share += (1.0 - utilization - self.idle_share) * limit::OUTCOME_GAIN;
        }
        let e = &mut self.endpoints[i];
        e.rate_sum.add(now, rate);
        e.utilization_sum.add(now, utilization);
        // What a cold endpoint carries now tells nothing about what its machine type carries once
        // warm.
        if warmth >= 1.0 {
            let (rates, utilizations) = self.machine_type_sums.entry(e.info.machine_type).or_default();
            (*rates, *utilizations) =
                (*rates * MACHINE_TYPE_DECAY + rate, *utilizations * MACHINE_TYPE_DECAY + utilization);
        }
        let prior_weight =
            self.machine_type_weight(self.endpoints[i].info.machine_type).unwrap_or(self.mean_weight)
                * warmth;
        let e = &mut self.endpoints[i];
        e.reported_weight = (e.rate_sum.value + prior_weight * PRIOR_UTILIZATION)
            / (e.utilization_sum.value + PRIOR_UTILIZATION);
        let known =
            self.local_subset.iter().map(|&h| self.endpoints[h].reported_weight).filter(|&w| w > 0.0);
        let (sum, count) = known.fold((0.0, 0.0), |(total, n), w| (total + w, n + 1.0));
        if count > 0.0 {
            self.mean_weight = sum / count;
        }
    }

    /// The weight of an endpoint by the reports of its machine type, if there are any.
    fn machine_type_weight(&self, machine_type: MachineTypeId) -> Option<f64> {
        self.machine_type_sums.get(&machine_type).map(|(rates, utilizations)| rates / utilizations)
    }

    /// What an endpoint carries at present: by its own reports or, if it has none or is cold, by
    /// those of its machine type.
    fn effective_weight(&self, e: &TrackedEndpoint, warmth: f64) -> f64 {
        match e.reported_weight {
            own if warmth < 1.0 => {
                own.max(self.machine_type_weight(e.info.machine_type).unwrap_or(self.mean_weight) * warmth)
            }
            own if own > 0.0 => own.max(self.mean_weight * WEIGHT_MIN_SHARE),
            _ => self.mean_weight,
        }
    }

    /// An endpoint's present capacity as a share of its full one, assuming the slowest warming
    /// allowed.
    pub(super) fn warmth(&self, e: &TrackedEndpoint) -> f64 {
        let slow_start = &self.settings.slow_start;
        let age = e.info.started.map_or(f64::INFINITY, |at| self.now.since(at).as_secs_f64());
        let share = (age / slow_start.warm_after.as_secs_f64()).min(1.0);
        1.0 - (1.0 - slow_start.initial_capacity.clamp(0.0, 1.0)) * (1.0 - share)
    }

    /// Ejects an endpoint after a failure that speaks against it, for as long as the failure took
    /// to show, doubled with each failure in a row: an endpoint that hangs costs a whole latency
    /// target each time it is tried. While half of the subset is ejected, the cause is common to
    /// all endpoints and no reason to eject any of them.
    pub(super) fn eject(&mut self, endpoint: EndpointId, failure_time: Duration) {
        let Some(&i) = self.index_by_id.get(&endpoint) else { return };
        let ejected =
            self.local_subset.iter().filter(|&&h| self.endpoints[h].ejected_until > self.now).count();
        let e = &mut self.endpoints[i];
        if e.ejected_until > self.now || 2 * ejected >= self.local_subset.len() {
            return;
        }
        let ejection =
            failure_time.max(EJECTION_MIN) * (1 << e.consecutive_failures.min(EJECTION_DOUBLINGS_MAX));
        e.consecutive_failures += 1;
        e.ejected_until = self.now + ejection.min(EJECTION_MAX).mul_f64(0.75 + 0.5 * self.rng.f64());
        self.select_subsets();
    }

    /// Chooses this balancer's subset: a run of the ready endpoints in hash order that begins at
    /// this balancer's position in a low-discrepancy sequence, so that all endpoints are in about
    /// the same number of subsets.
    pub(super) fn select_subsets(&mut self) {
        (self.local_subset, self.remote_subset) = (Vec::new(), Vec::new());
        let balancer_count = f64::from(self.settings.balancer_count.max(1));
        let wanted = (BALANCERS_PER_ENDPOINT * self.ready.len() as f64 / balancer_count).ceil() as usize;
        let position = (f64::from(self.settings.balancer_index) * 0.618_033_988_749_894_9).fract();
        let crossing_has_price = self.settings.cross_zone_price > 0.0;
        let zones: HashSet<_> = self.ready.iter().map(|&i| self.endpoints[i].info.zone).collect();
        for is_local in [true, false] {
            let belongs = |i: &usize| {
                (!crossing_has_price || self.endpoints[*i].info.zone == self.settings.zone) == is_local
            };
            let candidates: Vec<usize> = self.ready.iter().copied().filter(belongs).collect();
            let (first, mut missing) =
                ((position * candidates.len() as f64) as usize, wanted.max(SUBSET_SIZE_MIN));
            for i in candidates.iter().cycle().skip(first).take(candidates.len()).copied() {
                if missing == 0 {
                    break;
                }
                // Ejected endpoints stay in the subset but further ones make up for them.
                missing -= usize::from(self.endpoints[i].ejected_until <= self.now);
                if is_local { self.local_subset.push(i) } else { self.remote_subset.push(i) }
            }
            // Assumes that the balancers are spread evenly over the listed zones.
            let pool = if is_local { &self.local_subset } else { &self.remote_subset };
            let shared_among = if is_local && crossing_has_price {
                candidates.len() * zones.len()
            } else {
                self.ready.len()
            };
            let balancers = (balancer_count * pool.len() as f64 / shared_among as f64).max(1.0);
            pool.iter().for_each(|&i| self.endpoints[i].balancers = balancers);
        }
    }

    /// Chooses the endpoint for a request's next attempt. A keyed request that may have run stays
    /// in its zone or cell; others go to the local subset, and to another zone only when the local
    /// endpoints are busy.
    pub(super) fn pick_endpoint(&self, r: &TrackedRequest) -> Option<usize> {
        let required_group = match (r.rules.class.effect, r.may_have_run) {
            (Effect::Keyed { scope: Scope::Zone, .. }, Some((_, zone, _))) => Some((zone, None)),
            (Effect::Keyed { scope: Scope::Cell, .. }, Some((_, zone, cell))) => Some((zone, Some(cell))),
            _ => None,
        };
        if let Some((zone, cell)) = required_group {
            let in_zone = |e: &TrackedEndpoint| zone != ZoneId::UNKNOWN && e.info.zone == zone;
            let usable = |e: &TrackedEndpoint| in_zone(e) && cell.is_none_or(|c| c == e.info.cell);
            return self.least_loaded(&self.ready, r, usable);
        }
        let local = self.least_loaded(&self.local_subset, r, |_| true);
        let outstanding = |i: usize| self.endpoints[i].outstanding;
        // Cold endpoints of other zones are left to the balancers there.
        match (
            local,
            self.least_loaded(&self.remote_subset, r, |e| {
                self.local_subset.is_empty() || self.warmth(e) >= 1.0
            }),
        ) {
            (Some(best_local), Some(best_remote))
                if outstanding(best_local) < outstanding(best_remote) + REMOTE_ZONE_MARGIN =>
            {
                Some(best_local)
            }
            (local, remote) => remote.or(local),
        }
    }

    /// The usable endpoint of a pool with the least work of this balancer relative to its weight:
    /// outstanding requests and, among endpoints without any, the recent sends relative to the
    /// mean.
    fn least_loaded(
        &self,
        pool: &[usize],
        r: &TrackedRequest,
        usable: impl Fn(&TrackedEndpoint) -> bool,
    ) -> Option<usize> {
        let is_further_attempt = !r.attempts.is_empty();
        let mean = self.mean_recent_sends().max(1e-9);
        let mut best: Option<(f64, usize)> = None;
        for &i in pool {
            let e = &self.endpoints[i];
            if !usable(e) || e.ejected_until > self.now || e.consecutive_failures > 0 && e.outstanding > 0 {
                continue;
            }
            let warmth = self.warmth(e);
            // A further attempt never goes to a cold endpoint; a first one only within this
            // balancer's share of what the endpoint can bear.
            let not_allowed = warmth < 1.0 && (is_further_attempt || e.cold_credit.0 < 1.0);
            if not_allowed
                || e.outstanding > 0 && f64::from(e.outstanding) >= self.max_outstanding(e, warmth)
            {
                continue;
            }
            let earlier_attempts = r.attempts.iter().filter(|a| a.endpoint == e.info.id).count() as f64;
            let work = e.recent_sends.get(self.now) / mean
                + OUTSTANDING_COST * (f64::from(e.outstanding) + earlier_attempts);
            // An endpoint that may be sent less than one request per window is preferred when it
            // may.
            let credit_scale = if warmth < 1.0 { e.cold_credit.2.min(1.0) } else { 1.0 };
            let score = work * credit_scale / self.effective_weight(e, warmth);
            if best.is_none_or(|(b, _)| score < b) {
                best = Some((score, i));
            }
        }
        best.map(|(_, i)| i)
    }

    /// Mean number of recent sends to an endpoint of the local subset.
    fn mean_recent_sends(&self) -> f64 {
        self.recent_sends.get(self.now) / self.local_subset.len().max(1) as f64
    }

    /// Requests of this balancer that an endpoint serves at once: this balancer's share of the
    /// endpoint's work in a share of the shortest latency target.
    fn capacity_share(&self, e: &TrackedEndpoint, warmth: f64) -> Option<f64> {
        self.machine_type_weight(e.info.machine_type)
            .map(|_| self.effective_weight(e, warmth) * self.shortest_target_s * TARGET_SHARE / e.balancers)
    }

    /// Requests of this balancer that may be outstanding at an endpoint, at least one: time-outs
    /// would reveal an overload too late.
    fn max_outstanding(&self, e: &TrackedEndpoint, warmth: f64) -> f64 {
        self.capacity_share(e, warmth).map_or(f64::INFINITY, |share| share.round().max(1.0))
    }

    /// Requests of this balancer that all endpoints of the local subset serve at once, as far as
    /// they report.
    pub(super) fn subset_capacity(&self) -> f64 {
        self.local_subset
            .iter()
            .map(|&i| &self.endpoints[i])
            .filter_map(|e| self.capacity_share(e, self.warmth(e)))
            .sum()
    }

    /// Brings the credit of cold endpoints up to date: this balancer's share of a part of what all
    /// may send to one, in requests of mean work. Credit not used within `overload_window` expires,
    /// so that nobody saves it up for a moment when all send. Without reports of the machine type,
    /// the share is this balancer's mean rate to one endpoint of its subset.
    pub(super) fn refill_cold_credit(&mut self) {
        for i in 0..self.endpoints.len() {
            let (e, slow_start) = (&self.endpoints[i], &self.settings.slow_start);
            let warmth = self.warmth(e);
            if warmth < 1.0 {
                let (window, planned_multiple) = (
                    slow_start.overload_window.as_secs_f64(),
                    slow_start.overload_multiple * COLD_BUDGET_SHARE,
                );
                let rate = match self.machine_type_weight(e.info.machine_type) {
                    Some(_) => self.effective_weight(e, warmth) / e.balancers * planned_multiple,
                    // One request per window of all balancers together is allowed even where no
                    // endpoint of this type has been used yet.
                    None => (self.mean_recent_sends() / AVERAGING_TIME_S * warmth * planned_multiple)
                        .max(1.0 / (e.balancers * window)),
                };
                let credit = e.cold_credit.0 + self.now.since(e.cold_credit.1).as_secs_f64() * rate;
                let expired = (credit - rate * window).max(0.0).floor();
                self.endpoints[i].cold_credit = (credit - expired, self.now, rate * window);
            }
        }
    }

    /// Takes a list or a change of the list from discovery.
    pub(super) fn on_endpoint_list(&mut self, kind: ListKind, entries: &[Endpoint]) {
        (self.subscription_pending, self.discovery_failures) = (false, 0);
        if kind == ListKind::Full {
            for e in &mut self.endpoints {
                e.info.state = EndpointState::Removed;
            }
        }
        for entry in entries {
            let known = self.index_by_id.get(&entry.id).copied();
            if let Some(i) = known.filter(|&i| self.endpoints[i].info.started == entry.started) {
                self.endpoints[i].info = *entry;
                continue;
            }
            // The endpoint is new or was restarted: nothing learned before holds, only attempts
            // still outstanding. A random part of the credit for the first request while cold
            // spreads the balancers' first requests to it.
            let mut added = TrackedEndpoint {
                info: *entry,
                rate_sum: DecayingSum::default(),
                utilization_sum: DecayingSum::default(),
                reported_weight: 0.0,
                outstanding: known.map_or(0, |i| self.endpoints[i].outstanding),
                recent_sends: DecayingSum { value: self.mean_recent_sends(), updated_at: self.now },
                served_concurrency: DecayingSum::default(),
                consecutive_failures: 0,
                ejected_until: Time(0),
                cold_credit: (self.rng.f64(), self.now, 0.0),
                balancers: 1.0,
            };
            // No burst to make up for requests sent before it was there.
            added.recent_sends.value *= self.warmth(&added);
            self.index_by_id.insert(entry.id, known.unwrap_or(self.endpoints.len()));
            match known {
                Some(i) => self.endpoints[i] = added,
                None => self.endpoints.push(added),
            }
        }
        // Drops endpoints that are gone and owe no outcome.
        self.endpoints.retain(|e| e.info.state != EndpointState::Removed || e.outstanding > 0);
        self.index_by_id = self.endpoints.iter().enumerate().map(|(i, e)| (e.info.id, i)).collect();
        let is_ready = |&i: &usize| self.endpoints[i].info.state == EndpointState::Ready;
        self.ready = (0..self.endpoints.len()).filter(is_ready).collect();
        self.ready.sort_by_key(|&i| mix(self.endpoints[i].info.id.0));
        self.select_subsets();
    }
}
