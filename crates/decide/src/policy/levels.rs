//! Priority levels and fair queues, after the paper on API priority and fairness. A request's worth
//! sets its level, its tenant the hand of queues that it may join. Of the level whose turn it is,
//! the queue head with the earliest virtual finish gets the next seat.

use super::*;

/// Number of priority levels; each takes requests worth at least half as much as those of the level
/// above. Level 0 is for requests that can no longer be refused: see `Balancer::retry_or_answer`.
pub(super) const LEVELS: usize = 9;
/// Queues of each width in a level: enough that few tenants share one.
pub(super) const QUEUES_PER_WIDTH: usize = 16;
/// Queues dealt to a flow: few, so that a flooding tenant fills only a small part of them.
const HAND_SIZE: usize = 2;
/// Requests that may wait in one queue. Without a flood the limit on waiting time applies first.
const QUEUE_CAPACITY: usize = 32;
/// A request waits for at most this share of its latency target, leaving the rest for its service.
pub(super) const WAIT_SHARE: f64 = 0.25;

/// One queue: requests of one level and one width (the number of seats that each takes).
#[derive(Default)]
pub(super) struct Queue {
    /// Requests that wait, oldest first.
    pub(super) waiting: VecDeque<RequestId>,
    /// Requests of this queue that hold a seat.
    pub(super) running: u32,
    /// Virtual time, in seconds, at which the head would start.
    pub(super) virtual_start: f64,
}

/// What waits and runs, and the virtual time that follows from it.
#[derive(Default)]
pub(super) struct SchedulerState {
    /// Waiting requests of each level.
    pub(super) waiting_by_level: [usize; LEVELS],
    /// Seats taken by the running requests of each level.
    pub(super) seats_by_level: [f64; LEVELS],
    /// Seats taken in all.
    pub(super) seats_in_use: f64,
    /// Seats that all waiting and running requests take or would take.
    pub(super) demand: f64,
    /// Queues that hold a waiting or running request, weighted by width.
    pub(super) active_queues: f64,
    /// Virtual time in seconds (the paper's R).
    pub(super) virtual_time: f64,
}

/// Hashes 64 bits (the finalizer of splitmix64). XXH3 in its place deals other hands: in the
/// laboratory only the score of deploys falls (by 0.026), but the four quick days of the simulator
/// fall by 0.095.
pub(super) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Deals a hand of distinct queue indices from a hash by falling factorials (shuffle sharding).
pub(super) fn deal_hand(mut hash: u64) -> [usize; HAND_SIZE] {
    let mut hand = [0; HAND_SIZE];
    for i in 0..HAND_SIZE {
        let remaining = (QUEUES_PER_WIDTH - i) as u64;
        let mut card = (hash % remaining) as usize;
        hash /= remaining;
        // Takes the card-th index that is not dealt yet, by skipping the dealt ones in ascending
        // order.
        let mut dealt: [usize; HAND_SIZE] = hand;
        dealt[..i].sort_unstable();
        for &d in &dealt[..i] {
            if card >= d {
                card += 1;
            }
        }
        hand[i] = card;
    }
    hand
}

/// The level and the width of the requests that a queue holds.
fn level_and_width_of(queue: usize) -> (usize, f64) {
    (queue / (2 * QUEUES_PER_WIDTH), (1 + queue / QUEUES_PER_WIDTH % 2) as f64)
}

/// Seats that a request takes: one if repeats are harmless, two otherwise.
fn width_of(effect: Effect) -> usize {
    if effect == Effect::Safe { 1 } else { 2 }
}

impl Balancer {
    /// The priority level for a request's class and its tenant's quota: one lower for each halving
    /// of its worth.
    pub(super) fn priority_level(&mut self, request: &Request) -> usize {
        let class = &self.settings.classes[usize::from(request.class.0)];
        let mut worth = class.worth;
        if let Some(t) = request.tenant
            && self.charge_quota(usize::from(t.0))
        {
            worth *= self.settings.over_quota_worth;
        }
        let halvings = (self.max_class_worth / worth).log2();
        // A worth of zero, or one that is no valid number, leads to the lowest level.
        if halvings.is_finite() {
            (1.0 + halvings.max(0.0)).min(LEVELS as f64 - 1.0) as usize
        } else {
            LEVELS - 1
        }
    }

    /// Charges a tenant's quota for one request; true if this balancer's share of the quota (a
    /// token bucket of a few seconds' worth) is used up.
    pub(super) fn charge_quota(&mut self, tenant: usize) -> bool {
        let Some(t) = self.settings.tenants.get(tenant) else { return false };
        let rate = t.quota_per_s / f64::from(self.settings.balancer_count.max(1));
        let (tokens, refilled_at) = &mut self.quota_buckets[tenant];
        *tokens = (*tokens + rate * self.now.since(*refilled_at).as_secs_f64())
            .min((rate * AVERAGING_TIME_S).max(4.0));
        *refilled_at = self.now;
        if *tokens >= 1.0 {
            *tokens -= 1.0;
        }
        *tokens < 1.0
    }

    /// Advances the clock; virtual time runs at min(requests, limit) over the number of active
    /// queues.
    pub(super) fn advance_clock(&mut self, now: Time) {
        let dt = now.since(self.now).as_secs_f64();
        self.now = self.now.max(now);
        if self.scheduler.active_queues > 0.0 {
            self.scheduler.virtual_time +=
                dt * self.scheduler.demand.min(self.concurrency_limit) / self.scheduler.active_queues;
        }
    }

    /// Queues an arriving request, and starts it if the limit allows; refuses it if its queue is
    /// full or its answer would be worthless.
    pub(super) fn on_arrival(&mut self, request: Request, actions: &mut Vec<Action>) {
        let Some(class) = self.settings.classes.get(usize::from(request.class.0)).cloned() else {
            return actions.push(Action::Refuse { id: request.id, retry_after: None });
        };
        if self.requests.contains_key(&request.id) {
            return;
        }
        self.retry_budget = (self.retry_budget + RETRY_BUDGET_PER_REQUEST).min(RETRY_BUDGET_MAX);
        let stretch = request.cost.map_or(0.0, |c| c.as_secs_f64() * class.latency_target_stretch.max(0.0));
        let latency_target =
            class.latency_target + Duration::try_from_secs_f64(stretch).unwrap_or_default();
        let remaining = request.deadline.since(self.now);
        let client_started = if self.settings.from_clients
            && !self.is_first_request(&request, remaining, class.client_timeout)
        {
            request.deadline - class.client_timeout
        } else {
            self.now
        };
        let worth_until = if class.late_worth > 0.0 {
            request.deadline
        } else {
            (client_started + latency_target).min(request.deadline)
        };
        let usual_service =
            Duration::from_secs_f64(self.class_service_time_s[usize::from(request.class.0)]);
        let queue_deadline =
            (self.now + class.latency_target.mul_f64(WAIT_SHARE)).min(worth_until - usual_service);
        let limits = self.settings.limits;
        let level = self.priority_level(&request);
        let width = width_of(class.effect);
        let flow = request.tenant.map_or(u64::MAX, |t| u64::from(t.0));
        let hash = mix(mix(flow) ^ (level * 2 + width) as u64);
        let first_queue = (level * 2 + width - 1) * QUEUES_PER_WIDTH;
        let hand = deal_hand(hash).map(|i| first_queue + i);
        let queue = hand.into_iter().min_by_key(|&q| self.queues[q].waiting.len()).unwrap_or(first_queue);
        if self.queues[queue].waiting.len() >= QUEUE_CAPACITY || worth_until <= self.now {
            return actions.push(Action::Refuse {
                id: request.id,
                retry_after: self.retry_after(worth_until, &limits),
            });
        }
        let q = &mut self.queues[queue];
        if q.waiting.is_empty() && q.running == 0 {
            q.virtual_start = self.scheduler.virtual_time;
            self.scheduler.active_queues += width as f64;
        }
        self.scheduler.demand += width as f64;
        q.waiting.push_back(request.id);
        self.scheduler.waiting_by_level[level] += 1;
        self.requests.insert(
            request.id,
            TrackedRequest {
                rules: RequestRules { class, limits },
                class: Some(request.class),
                queue,
                worth_until,
                seat: None,
                attempts: Vec::new(),
                may_have_run: None,
                streaming: false,
            },
        );
        self.dispatch_waiting(actions);
        if self.requests.get(&request.id).is_some_and(|r| r.seat.is_none()) {
            self.schedule(queue_deadline, TimerKind::QueueTimeout(request.id));
        }
    }

    /// Whether a client's request has the class's usual time allowance, and so is no client retry;
    /// the usual one is found by majority vote over the class's requests. A client retry has what
    /// is left of the client timeout instead, which tells when the client began: an answer that
    /// comes later than the latency target counted from there is worthless.
    fn is_first_request(
        &mut self,
        request: &Request,
        remaining: Duration,
        client_timeout: Duration,
    ) -> bool {
        let (usual_timeout, votes) = &mut self.usual_timeouts[usize::from(request.class.0)];
        if *votes == 0 {
            *usual_timeout = remaining;
        }
        let is_first = remaining.abs_diff(*usual_timeout) < client_timeout / 100;
        *votes = if is_first { (*votes + 1).min(100) } else { *votes - 1 };
        is_first
    }

    /// Assured concurrency of a level, by the formula of the paper on API priority and fairness;
    /// shares halve from level to level, as worth does.
    pub(super) fn assured_concurrency(&self, level: usize) -> f64 {
        let shares = |l: usize| 128.0 / f64::from(1u32 << l);
        let sum: f64 = (1..LEVELS).map(shares).sum();
        (self.concurrency_limit * shares(level) / (100.0 + sum)).ceil()
    }

    /// Starts waiting requests while the concurrency limit allows it.
    pub(super) fn dispatch_waiting(&mut self, actions: &mut Vec<Action>) {
        loop {
            let waiting = |l: &usize| self.scheduler.waiting_by_level[*l] > 0;
            let Some(highest) = (1..LEVELS).find(waiting) else { return };
            let below_assured = (highest..LEVELS)
                .filter(waiting)
                .find(|&l| self.scheduler.seats_by_level[l] < self.assured_concurrency(l));
            let level = below_assured.unwrap_or(highest);
            let first_queue = level * 2 * QUEUES_PER_WIDTH;
            let virtual_finish = |q: usize| self.queues[q].virtual_start + self.service_guess_s;
            let queue = (first_queue..first_queue + 2 * QUEUES_PER_WIDTH)
                .filter(|&q| !self.queues[q].waiting.is_empty())
                .min_by(|&a, &b| virtual_finish(a).total_cmp(&virtual_finish(b)));
            let Some(queue) = queue else { return };
            let (_, width) = level_and_width_of(queue);
            if self.scheduler.seats_in_use + width > self.concurrency_limit.floor() {
                return; // A head that does not fit waits; no other request overtakes it.
            }
            let id = self.queues[queue].waiting[0];
            if !self.send_attempt(id, actions) {
                return; // No usable endpoint: the request keeps waiting and is refused in time.
            }
            let service_guess_s = self.service_guess_s;
            let q = &mut self.queues[queue];
            q.waiting.pop_front();
            q.virtual_start += service_guess_s;
            q.running += 1;
            self.scheduler.waiting_by_level[level] -= 1;
            self.scheduler.seats_by_level[level] += width;
            self.scheduler.seats_in_use += width;
            if let Some(r) = self.requests.get_mut(&id) {
                r.seat = Some((self.now, service_guess_s));
            }
        }
    }

    /// Removes a request that is closed, frees its seat and corrects the virtual time charged for
    /// it.
    pub(super) fn close_request(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        let (level, width) = level_and_width_of(r.queue);
        let q = &mut self.queues[r.queue];
        if let Some((since, service_guess_s)) = r.seat {
            q.virtual_start -= service_guess_s - self.now.since(since).as_secs_f64();
            q.running -= 1;
            self.scheduler.seats_by_level[level] -= width;
            self.scheduler.seats_in_use -= width;
        } else {
            q.waiting.retain(|&other| other != id);
            self.scheduler.waiting_by_level[level] -= 1;
        }
        self.scheduler.demand -= width;
        if q.waiting.is_empty() && q.running == 0 {
            self.scheduler.active_queues -= width;
        }
        if r.rules.limits.may_cancel {
            for (i, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.in_flight) {
                actions.push(Action::Cancel { id, attempt: i as u8 });
            }
        }
    }
}
