//! Levels and queues: what a call is worth sets its level, its tenant the hand of queues it may join, and the
//! head with the earliest virtual finish of the level whose turn it is gets the next seat.

use super::*;

/// Levels; each takes calls worth at least half as much as those of the level above. Level 0 is for calls
/// that cannot be refused any more: see `Balancer::again`.
pub(super) const LEVELS: usize = 9;
/// Queues of each width in a level: enough that few tenants share one.
pub(super) const QUEUES: usize = 16;
/// Queues dealt to a flow: small, so that a flooding tenant fills few of them.
const HAND: usize = 2;
/// Calls that may wait in one queue: the wait limit binds first unless something floods.
const QUEUE_LIMIT: usize = 32;
/// A call waits for at most this share of its aim, leaving the rest to be served in.
pub(super) const WAIT_SHARE: f64 = 0.25;

/// One queue: calls of one level and width.
#[derive(Default)]
pub(super) struct Queue {
    pub(super) waiting: VecDeque<RequestId>,
    pub(super) running: u32,
    pub(super) start: f64,
}

/// What waits and runs, by level and width-weighted in all, and the virtual time that follows.
#[derive(Default)]
pub(super) struct Seats {
    pub(super) waiting: [usize; LEVELS],
    pub(super) running: [f64; LEVELS],
    pub(super) used: f64,
    pub(super) reqs: f64,
    pub(super) queues_in_use: f64,
    pub(super) virtual_time: f64,
}

/// A 64-bit mix (the finaliser of splitmix64). XXH3 in its place deals other hands: the laboratory sees no
/// harm but on deploys (-0.026), and the four quick days of the simulator fall by 0.095.
pub(super) fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Deals a hand of distinct queue indices from a hash by falling factorials.
pub(super) fn deal(mut hash: u64) -> [usize; HAND] {
    let mut hand = [0; HAND];
    for i in 0..HAND {
        let left = (QUEUES - i) as u64;
        let mut card = (hash % left) as usize;
        hash /= left;
        // The card'th index not dealt yet: step over dealt ones in ascending order.
        let mut dealt: [usize; HAND] = hand;
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

/// The level and width that a queue is for.
fn place_of(queue: usize) -> (usize, f64) {
    (queue / (2 * QUEUES), (1 + queue / QUEUES % 2) as f64)
}

fn width_of(effect: Effect) -> usize {
    if effect == Effect::Safe { 1 } else { 2 }
}

impl Balancer {
    /// The level for a call's class and its tenant's standing: one lower for each halving of its worth.
    pub(super) fn level(&mut self, call: &Call) -> usize {
        let class = &self.set.classes[usize::from(call.class.0)];
        let mut worth = class.worth;
        if let Some(t) = call.tenant
            && self.over_quota(usize::from(t.0))
        {
            worth *= self.set.over_quota_worth;
        }
        let halvings = (self.top_worth / worth).log2();
        // Worthless (or ill-stated) calls take the lowest level.
        if halvings.is_finite() {
            (1.0 + halvings.max(0.0)).min(LEVELS as f64 - 1.0) as usize
        } else {
            LEVELS - 1
        }
    }

    /// Whether a tenant has used up this balancer's slice of its quota (a bucket of a few seconds' worth).
    pub(super) fn over_quota(&mut self, tenant: usize) -> bool {
        let Some(t) = self.set.tenants.get(tenant) else { return false };
        let slice = t.quota_per_s / f64::from(self.set.siblings.max(1));
        let (left, at) = &mut self.quotas[tenant];
        *left = (*left + slice * self.now.since(*at).as_secs_f64()).min((slice * MEMORY_S).max(4.0));
        *at = self.now;
        if *left >= 1.0 {
            *left -= 1.0;
        }
        *left < 1.0
    }

    /// Moves the clock; virtual time runs at min(calls, limit) over the queues in use.
    pub(super) fn advance(&mut self, now: Time) {
        let dt = now.since(self.now).as_secs_f64();
        self.now = self.now.max(now);
        if self.seats.queues_in_use > 0.0 {
            self.seats.virtual_time += dt * self.seats.reqs.min(self.limit) / self.seats.queues_in_use;
        }
    }

    pub(super) fn arrived(&mut self, call: Call, actions: &mut Vec<Action>) {
        let Some(class) = self.set.classes.get(usize::from(call.class.0)).cloned() else {
            return actions.push(Action::Refuse { id: call.id, retry_after: None });
        };
        if self.requests.contains_key(&call.id) {
            return;
        }
        self.budget = (self.budget + RETRY_RATIO).min(RETRY_MAX);
        let stretch = call.cost.map_or(0.0, |c| c.as_secs_f64() * class.aim_stretch.max(0.0));
        let aim = class.aim + Duration::try_from_secs_f64(stretch).unwrap_or_default();
        let left = call.due.since(self.now);
        let began = if self.set.from_clients && !self.first_try(&call, left, class.give_up) {
            call.due - class.give_up
        } else {
            self.now
        };
        let worth_until = if class.late_worth > 0.0 { call.due } else { (began + aim).min(call.due) };
        let service = Duration::from_secs_f64(self.class_time[usize::from(call.class.0)]);
        let expire = (self.now + class.aim.mul_f64(WAIT_SHARE)).min(worth_until - service);
        let level = self.level(&call);
        let width = width_of(class.effect);
        let flow = call.tenant.map_or(u64::MAX, |t| u64::from(t.0));
        let hash = mix(mix(flow) ^ (level * 2 + width) as u64);
        let base = (level * 2 + width - 1) * QUEUES;
        let hand = deal(hash).map(|i| base + i);
        let queue = hand.into_iter().min_by_key(|&q| self.queues[q].waiting.len()).unwrap_or(base);
        if self.queues[queue].waiting.len() >= QUEUE_LIMIT || worth_until <= self.now {
            return actions.push(Action::Refuse { id: call.id, retry_after: self.stay_away(worth_until) });
        }
        let q = &mut self.queues[queue];
        if q.waiting.is_empty() && q.running == 0 {
            q.start = self.seats.virtual_time;
            self.seats.queues_in_use += width as f64;
        }
        self.seats.reqs += width as f64;
        q.waiting.push_back(call.id);
        self.seats.waiting[level] += 1;
        self.requests.insert(
            call.id,
            Request {
                call,
                queue,
                worth_until,
                seat: None,
                attempts: Vec::new(),
                may_have_run: None,
                streaming: false,
            },
        );
        self.release(actions);
        if self.requests.get(&call.id).is_some_and(|r| r.seat.is_none()) {
            self.at(expire, Due::Expire(call.id));
        }
    }

    /// Whether a client's try has the usual length, found by majority vote over the class's tries. A later
    /// try has what is left of the client's whole patience instead, which tells when its first try began: an
    /// answer later than the aim from there is worthless.
    fn first_try(&mut self, call: &Call, left: Duration, give_up: Duration) -> bool {
        let (usual, votes) = &mut self.patience[usize::from(call.class.0)];
        if *votes == 0 {
            *usual = left;
        }
        let first = left.abs_diff(*usual) < give_up / 100;
        *votes = if first { (*votes + 1).min(100) } else { *votes - 1 };
        first
    }

    /// Assured concurrency of a level, by the paper's formula; shares halve from level to level, as worth.
    pub(super) fn assured(&self, level: usize) -> f64 {
        let shares = |l: usize| 128.0 / f64::from(1u32 << l);
        let sum: f64 = (1..LEVELS).map(shares).sum();
        (self.limit * shares(level) / (100.0 + sum)).ceil()
    }

    /// Starts waiting calls while the limit allows.
    pub(super) fn release(&mut self, actions: &mut Vec<Action>) {
        loop {
            let waiting = |l: &usize| self.seats.waiting[*l] > 0;
            let Some(highest) = (1..LEVELS).find(waiting) else { return };
            let assured =
                (highest..LEVELS).filter(waiting).find(|&l| self.seats.running[l] < self.assured(l));
            let level = assured.unwrap_or(highest);
            let base = level * 2 * QUEUES;
            let finish = |q: usize| self.queues[q].start + self.guess;
            let queue = (base..base + 2 * QUEUES)
                .filter(|&q| !self.queues[q].waiting.is_empty())
                .min_by(|&a, &b| finish(a).total_cmp(&finish(b)));
            let Some(queue) = queue else { return };
            let (_, width) = place_of(queue);
            if self.seats.used + width > self.limit.floor() {
                return; // An unfit head waits; nothing overtakes it.
            }
            let id = self.queues[queue].waiting[0];
            if !self.send(id, actions) {
                return; // No endpoint for now: it stays held and is refused in time.
            }
            let guess = self.guess;
            let q = &mut self.queues[queue];
            q.waiting.pop_front();
            q.start += guess;
            q.running += 1;
            self.seats.waiting[level] -= 1;
            self.seats.running[level] += width;
            self.seats.used += width;
            if let Some(r) = self.requests.get_mut(&id) {
                r.seat = Some((self.now, guess));
            }
        }
    }

    /// Forgets a call that is over, gives back its seat and settles the virtual time it was charged.
    pub(super) fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.remove(&id) else { return };
        let (level, width) = place_of(r.queue);
        let q = &mut self.queues[r.queue];
        if let Some((since, guess)) = r.seat {
            q.start -= guess - self.now.since(since).as_secs_f64();
            q.running -= 1;
            self.seats.running[level] -= width;
            self.seats.used -= width;
        } else {
            q.waiting.retain(|&other| other != id);
            self.seats.waiting[level] -= 1;
        }
        self.seats.reqs -= width;
        if q.waiting.is_empty() && q.running == 0 {
            self.seats.queues_in_use -= width;
        }
        if self.set.limits.may_cancel {
            for (i, _) in r.attempts.iter().enumerate().filter(|(_, a)| a.out) {
                actions.push(Action::Cancel { id, attempt: i as u8 });
            }
        }
    }
}
