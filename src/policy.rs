//! Every decision that cottonpoint makes; its events, actions and settings are in `src/interface.rs`.
//!
//! A call is classified into a priority level by what it is worth, and into a flow by its tenant. It joins
//! the shortest queue of the hand its flow is dealt. While the width-weighted running calls stay below the
//! learned limit, the highest level under its assured share, else the highest that waits, releases the head
//! with the earliest virtual finish. The call then goes to one endpoint of this balancer's own hand of
//! endpoints, by weights learned from load reports. What comes back moves the limit, the weights and the
//! virtual start of the queue. Further attempts keep the seat and draw on a budget. Timers end what waits
//! too long.

use crate::interface::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::Duration;

// ---- Constants -------------------------------------------------------------------------------------------

/// Levels; each takes calls worth at least half as much as those of the level above. Level 0 is for calls
/// that cannot be refused any more: see `Balancer::again`.
const LEVELS: usize = 9;
/// Queues of each width in a level: enough that few tenants share one.
const QUEUES: usize = 16;
/// Queues dealt to a flow: small, so that a flooding tenant fills few of them.
const HAND: usize = 2;
/// Calls that may wait in one queue: the wait limit binds first unless something floods.
const QUEUE_LIMIT: usize = 32;
/// A call waits for at most this share of its aim, leaving the rest to be served in.
const WAIT_SHARE: f64 = 0.25;
/// The limit never falls below the widest call, or that call would wait for ever; nor below the point where
/// all balancers together keep this many calls at each endpoint, one running and one to follow (i5ac5eb).
const LIMIT_MIN: f64 = 2.0;
/// One cut of the limit, and the share of outcomes not accepted that calls for one.
const LIMIT_CUT: f64 = 0.85;
const LIMIT_TROUBLE: f64 = 0.125;
/// An endpoint that carries this many calls of ours, and refuses one beside less than this share of them,
/// refuses for reasons of its own.
const CARRIED_MIN: f64 = 4.0;
const CARRIED_SHARE: f64 = 0.6;
/// Weight of one outcome in the share of outcomes not accepted.
const OUTCOME_GAIN: f64 = 1.0 / 16.0;
/// Weight of one answer in a class's usual time.
const TIME_GAIN: f64 = 0.05;
/// Balancers that keep one endpoint in hand: few enough for its connection table, enough to even out.
const CALLERS_PER_ENDPOINT: f64 = 6.0;
/// Fewest endpoints in a hand, so that some stay healthy.
const ENDPOINTS_MIN: usize = 8;
/// How long evidence of rates and reports is remembered (time constant).
const MEMORY_S: f64 = 5.0;
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
/// Share of the budget of a cold endpoint that all balancers together plan to use.
const COLD_SHARE: f64 = 0.3;
/// Further attempts: what each arriving call adds to the budget, and the most it holds.
const RETRY_RATIO: f64 = 0.15;
const RETRY_MAX: f64 = 8.0;
/// Shortest and longest pause of an endpoint that fails, and how often a pause doubles.
const PAUSE_SHORTEST: Duration = Duration::from_millis(100);
const PAUSE_LONGEST: Duration = Duration::from_secs(10);
const PAUSE_DOUBLINGS: u32 = 6;
/// Each endpoint in hand is probed this often, where reports need probes.
const PROBE_EVERY: Duration = Duration::from_secs(3);
/// Pause before a call that finds no endpoint looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(40);
/// First pause before discovery is asked again after a failure.
const ASK_AGAIN: Duration = Duration::from_millis(500);

// ---- State -----------------------------------------------------------------------------------------------

/// One queue: calls of one level and width.
#[derive(Default)]
struct Queue {
    waiting: VecDeque<RequestId>,
    running: u32,
    start: f64,
}

struct Attempt {
    endpoint: EndpointId,
    sent: Time,
    /// Calls of ours that its endpoint had when it was sent, this one included.
    beside: u32,
    out: bool,
}

struct Request {
    call: Call,
    queue: usize,
    worth_until: Time,
    /// When it took its seat, and the virtual service time charged for it; `None` while it waits.
    seat: Option<(Time, f64)>,
    attempts: Vec<Attempt>,
    /// The first attempt that may have run: when it was sent, and where.
    may_have_run: Option<(Time, ZoneId, CellId)>,
    streaming: bool,
}

/// A sum that fades over `MEMORY_S`.
#[derive(Clone, Copy, Default)]
struct Faded {
    value: f64,
    at: Time,
}

impl Faded {
    fn get(self, now: Time) -> f64 {
        self.value * (-now.since(self.at).as_secs_f64() / MEMORY_S).exp()
    }

    fn add(&mut self, now: Time, more: f64) {
        *self = Faded { value: self.get(now) + more, at: now };
    }
}

struct Server {
    info: Endpoint,
    /// Reported rates and utilizations, and the weight that follows from them; 0 without reports.
    rates: Faded,
    utils: Faded,
    weight: f64,
    /// Attempts of ours that are out, and all recent ones.
    out: u32,
    recent: Faded,
    /// Most calls of ours that an attempt it served was sent beside; fades as it ages.
    carried: Faded,
    /// Failures since it last answered, and how long it is paused for them.
    strikes: u32,
    paused_until: Time,
    /// What may be sent to it while it is cold, as of a time; `Balancer::cold_credit` brings it up to now.
    cold_credit: (f64, Time),
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Expire(RequestId),
    Again(RequestId),
    Probe,
    Ask,
    AskUnlessAnswered,
}

/// What waits and runs, by level and width-weighted in all, and the virtual time that follows.
#[derive(Default)]
struct Seats {
    waiting: [usize; LEVELS],
    running: [f64; LEVELS],
    used: f64,
    reqs: f64,
    queues_in_use: f64,
    virtual_time: f64,
}

/// The decisions of one balancer. See the crate's documentation for how to embed it.
pub struct Balancer {
    set: Settings,
    rng: fastrand::Rng,
    now: Time,
    top_worth: f64,
    quotas: Vec<(f64, Time)>,
    requests: HashMap<RequestId, Request>,
    queues: Vec<Queue>,
    seats: Seats,
    guess: f64,
    limit: f64,
    last_cut: Time,
    trouble: f64,
    class_time: Vec<f64>,
    /// For each class, the usual length of a client's first try and the votes for it.
    patience: Vec<(Duration, u32)>,
    servers: Vec<Server>,
    index: HashMap<EndpointId, usize>,
    order: Vec<usize>,
    hand: Vec<usize>,
    away: Vec<usize>,
    kinds: HashMap<KindId, (f64, f64)>,
    mean_weight: f64,
    sends: Faded,
    budget: f64,
    probe_next: usize,
    ask_failures: u32,
    awaiting: bool,
    timers: BinaryHeap<Reverse<(Time, Due)>>,
    wake: Option<Time>,
}

/// A 64-bit mix (the finaliser of splitmix64).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}

/// Deals a hand of distinct queue indices from a hash by falling factorials.
fn deal(mut hash: u64) -> [usize; HAND] {
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
    /// A balancer without endpoints or calls. All its randomness comes from `seed`.
    pub fn new(settings: Settings, seed: u64, now: Time) -> Self {
        let classes = settings.classes.len();
        let positive = |w: f64| if w.is_finite() && w > 0.0 { w } else { 0.0 };
        let top = settings.classes.iter().map(|c| positive(c.worth)).fold(0.0, f64::max);
        let guess = settings.classes.iter().map(|c| c.aim.as_secs_f64()).fold(0.001, f64::max);
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            now,
            top_worth: if top > 0.0 { top } else { 1.0 },
            quotas: vec![(f64::INFINITY, now); settings.tenants.len()],
            requests: HashMap::new(),
            queues: (0..LEVELS * 2 * QUEUES).map(|_| Queue::default()).collect(),
            seats: Seats::default(),
            guess,
            limit: f64::INFINITY,
            last_cut: now,
            trouble: 0.0,
            class_time: vec![0.0; classes],
            patience: vec![(Duration::ZERO, 0); classes],
            servers: Vec::new(),
            index: HashMap::new(),
            order: Vec::new(),
            hand: Vec::new(),
            away: Vec::new(),
            kinds: HashMap::new(),
            mean_weight: 1.0,
            sends: Faded::default(),
            budget: RETRY_MAX / 2.0,
            probe_next: 0,
            ask_failures: 0,
            awaiting: false,
            timers: BinaryHeap::new(),
            wake: None,
            set: settings,
        };
        if let Discovery::OnRequest { ask_within } = balancer.set.discovery {
            let wait = ask_within.mul_f64(0.3 * balancer.rng.f64());
            balancer.at(now + wait, Due::Ask);
        }
        if balancer.probes() {
            balancer.at(now, Due::Probe);
        }
        balancer
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Time, event: Event<'_>, actions: &mut Vec<Action>) {
        self.advance(now);
        match event {
            Event::Endpoints { kind, entries } => self.endpoints(kind, entries),
            Event::DiscoveryFailed => self.discovery_failed(),
            Event::Arrived(call) => self.arrived(call, actions),
            Event::StreamStarted { id } => {
                if let Some(r) = self.requests.get_mut(&id) {
                    r.streaming = true;
                }
            }
            Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report } => {
                self.report(endpoint, report);
                self.finished(id, attempt, endpoint, outcome, closed, elapsed, actions);
            }
            Event::ProbeFinished { endpoint, outcome, report } => {
                self.report(endpoint, report);
                if outcome == Outcome::ConnectFailed || outcome == Outcome::Reset {
                    self.fault(endpoint, PAUSE_SHORTEST);
                }
            }
            Event::Departed { id } => self.end(id, actions),
            Event::Timer { token } => {
                // By token, not by time: a timer that fires a little early must be set again.
                if self.wake.is_some_and(|w| w.0 == token.0) {
                    self.wake = None;
                }
            }
        }
        self.expire(actions);
        self.release(actions);
        self.arm(actions);
    }

    // ---- Classify ----------------------------------------------------------------------------------------

    /// The level for a call's class and its tenant's standing: one lower for each halving of its worth.
    fn level(&mut self, call: &Call) -> usize {
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
    fn over_quota(&mut self, tenant: usize) -> bool {
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

    // ---- Queues and virtual time -------------------------------------------------------------------------

    /// Moves the clock; virtual time runs at min(calls, limit) over the queues in use.
    fn advance(&mut self, now: Time) {
        let dt = now.since(self.now).as_secs_f64();
        self.now = self.now.max(now);
        if self.seats.queues_in_use > 0.0 {
            self.seats.virtual_time += dt * self.seats.reqs.min(self.limit) / self.seats.queues_in_use;
        }
    }

    fn arrived(&mut self, call: Call, actions: &mut Vec<Action>) {
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
        let queue = deal(hash).map(|i| base + i).into_iter().min_by_key(|&q| self.queues[q].waiting.len());
        let queue = queue.unwrap_or(base);
        if self.queues[queue].waiting.len() >= QUEUE_LIMIT || worth_until <= self.now {
            let retry_after = self.stay_away(worth_until);
            return actions.push(Action::Refuse { id: call.id, retry_after });
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
    /// answer later than the aim from there is worthless (i753040, where a fifth of the answers were).
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
    fn assured(&self, level: usize) -> f64 {
        let shares = |l: usize| 128.0 / f64::from(1u32 << l);
        let sum: f64 = (1..LEVELS).map(shares).sum();
        (self.limit * shares(level) / (100.0 + sum)).ceil()
    }

    /// Starts waiting calls while the limit allows.
    fn release(&mut self, actions: &mut Vec<Action>) {
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
    fn end(&mut self, id: RequestId, actions: &mut Vec<Action>) {
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

    // ---- Limit -------------------------------------------------------------------------------------------

    /// Learns the limit from one outcome: only `Full` and time-outs count as not accepted.
    fn learn(&mut self, outcome: Outcome, sent: Time) {
        let refused = matches!(outcome, Outcome::Full | Outcome::TimedOut);
        self.trouble += (f64::from(u8::from(refused)) - self.trouble) * OUTCOME_GAIN;
        let used = self.seats.used;
        if refused {
            // One cut for all calls that were out together, and none for a stray time-out.
            if sent >= self.last_cut && self.trouble > LIMIT_TROUBLE {
                self.limit = (self.limit.min(used) * LIMIT_CUT).max(self.least_limit());
                self.last_cut = self.now;
            }
        } else if used + 2.0 >= self.limit {
            self.limit += (1.0 / self.limit).max(0.05);
        }
    }

    fn least_limit(&self) -> f64 {
        LIMIT_MIN * (self.order.len() as f64 / f64::from(self.set.siblings.max(1))).max(1.0)
    }

    // ---- Endpoints and weights ---------------------------------------------------------------------------

    fn probes(&self) -> bool {
        self.set.reporting == Reporting::ProbesOnly && self.set.limits.may_probe
    }

    /// Takes a load report: an endpoint's rate and utilization are summed with decay, the sums' ratio is its
    /// weight, drawn to the mean of its kind while its own evidence is thin.
    fn report(&mut self, endpoint: EndpointId, report: Option<LoadReport>) {
        let Some(LoadReport { utilization: Some(util), rate: Some(rate) }) = report else { return };
        let Some(&i) = self.index.get(&endpoint) else { return };
        if !(util.is_finite() && rate.is_finite() && util > 0.0 && rate >= 0.0) {
            return;
        }
        let (util, now) = (util.min(1.0), self.now);
        let s = &mut self.servers[i];
        s.rates.add(now, rate);
        s.utils.add(now, util);
        let (rates, utils) = self.kinds.entry(s.info.kind).or_default();
        (*rates, *utils) = (*rates * KIND_KEEP + rate, *utils * KIND_KEEP + util);
        s.weight = (s.rates.value + *rates / *utils * PRIOR_UTIL) / (s.utils.value + PRIOR_UTIL);
        let hand = &self.hand;
        let known = hand.iter().map(|&h| self.servers[h].weight).filter(|&w| w > 0.0);
        let (sum, count) = known.fold((0.0, 0.0), |(s, n), w| (s + w, n + 1.0));
        if count > 0.0 {
            self.mean_weight = sum / count;
        }
    }

    fn weight(&self, s: &Server) -> f64 {
        if s.weight > 0.0 { s.weight.max(self.mean_weight * WEIGHT_FLOOR) } else { self.mean_weight }
    }

    /// An endpoint's capacity now, as a share of its full one, taking the slowest warming allowed.
    fn warmth(&self, s: &Server) -> f64 {
        let Some(started) = s.info.started else { return 1.0 };
        let (age, warm) =
            (self.now.since(started).as_secs_f64(), self.set.obligations.warm_after.as_secs_f64());
        if age >= warm {
            return 1.0;
        }
        let from = self.set.obligations.cold_from.clamp(0.0, 1.0);
        from + (1.0 - from) * age / warm
    }

    /// Pauses an endpoint after a failure that speaks against it, for as long as the failure took to show,
    /// doubled with each in a row: an endpoint that hangs costs a whole aim each time it is tried (i753040).
    /// While half the hand is paused the trouble is everybody's, and no reason to pause anybody.
    fn fault(&mut self, endpoint: EndpointId, took: Duration) {
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
        self.hand.clear();
        self.away.clear();
        let want = CALLERS_PER_ENDPOINT * self.order.len() as f64 / f64::from(self.set.siblings.max(1));
        let want = (want.ceil() as usize).max(ENDPOINTS_MIN);
        let place = (f64::from(self.set.me) * 0.618_033_988_749_894_9).fract();
        for at_home in [true, false] {
            let zone = self.order.iter().copied().filter(|&i| self.home(&self.servers[i]) == at_home);
            let zone: Vec<usize> = zone.collect();
            let (first, mut left) = ((place * zone.len() as f64) as usize, want);
            for i in zone.iter().cycle().skip(first).take(zone.len()).copied() {
                if left == 0 {
                    break;
                }
                // Endpoints that are paused stay in hand but are made up for.
                left -= usize::from(self.servers[i].paused_until <= self.now);
                if at_home { self.hand.push(i) } else { self.away.push(i) }
            }
        }
    }

    fn home(&self, s: &Server) -> bool {
        self.set.cross_zone_price <= 0.0 || s.info.zone == self.set.zone
    }

    /// The endpoint for a call's next attempt. A keyed call that may have run stays in its group; others take
    /// this balancer's hand at home, and another zone only when those at home are busy.
    fn pick(&self, r: &Request) -> Option<usize> {
        let class = &self.set.classes[usize::from(r.call.class.0)];
        let bound = match (class.effect, r.may_have_run) {
            (Effect::Keyed { scope, .. }, Some((_, zone, cell))) => match scope {
                Scope::All => None,
                Scope::Zone => Some((zone, None)),
                Scope::Cell => Some((zone, Some(cell))),
            },
            _ => None,
        };
        let usable = |s: &Server| match bound {
            Some((zone, cell)) => s.info.zone == zone && cell.is_none_or(|c| c == s.info.cell),
            None => true,
        };
        if bound.is_some() {
            return self.least(&self.order, r, usable);
        }
        let home = self.least(&self.hand, r, usable);
        let out = |i: usize| self.servers[i].out;
        if home.is_some_and(|i| out(i) < AWAY_CALLS) {
            return home;
        }
        match (home, self.least(&self.away, r, usable)) {
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
            if warmth < 1.0 && (again || self.cold_credit(s, warmth) < 1.0) {
                continue;
            }
            let tried = r.attempts.iter().filter(|a| a.endpoint == s.info.id).count() as f64;
            let work = s.recent.get(self.now) / mean + OUT_COST * (f64::from(s.out) + tried);
            let score = work / (self.weight(s) * warmth);
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

    /// What this balancer may send a cold endpoint now. It accrues at its own mean rate to an endpoint in
    /// hand, which warm ones bear, times the present capacity and a share of the multiple that is too much:
    /// when all balancers keep to this, their sum stays below that multiple.
    fn cold_credit(&self, s: &Server, warmth: f64) -> f64 {
        let rate = self.mean_sends() / MEMORY_S * warmth * self.set.obligations.fall_multiple * COLD_SHARE;
        s.cold_credit.0 + self.now.since(s.cold_credit.1).as_secs_f64() * rate
    }

    // ---- Attempts and effects ----------------------------------------------------------------------------

    /// Sends a call's next attempt, if an endpoint is to be had.
    fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(mut r) = self.requests.remove(&id) else { return false };
        let picked = self.pick(&r);
        if let Some(i) = picked {
            let now = self.now;
            let warmth = self.warmth(&self.servers[i]);
            let credit = self.cold_credit(&self.servers[i], warmth) - 1.0;
            let s = &mut self.servers[i];
            if warmth < 1.0 {
                s.cold_credit = (credit.min(1.0), now);
            }
            s.out += 1;
            s.recent.add(now, 1.0);
            let endpoint = s.info.id;
            self.sends.add(now, 1.0);
            let until = r.worth_until;
            let beside = s.out;
            r.attempts.push(Attempt { endpoint, sent: now, beside, out: true });
            actions.push(Action::Send { id, endpoint, until });
        }
        self.requests.insert(id, r);
        picked.is_some()
    }

    #[allow(clippy::too_many_arguments)]
    fn finished(
        &mut self,
        id: RequestId,
        attempt: u8,
        endpoint: EndpointId,
        outcome: Outcome,
        closed: bool,
        elapsed: Duration,
        actions: &mut Vec<Action>,
    ) {
        let mut place = None;
        let mut failing = false;
        if let Some(&i) = self.index.get(&endpoint) {
            let s = &mut self.servers[i];
            s.out = s.out.saturating_sub(1);
            place = Some((s.info.zone, s.info.cell));
            failing = s.strikes > 0;
            match outcome {
                Outcome::Ok => s.strikes = 0,
                Outcome::Full | Outcome::ConnectFailed | Outcome::Reset | Outcome::TimedOut => {
                    self.fault(endpoint, elapsed);
                }
                _ => {}
            }
        }
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(attempt)).filter(|a| a.out) else { return };
        a.out = false;
        let (sent, beside) = (a.sent, f64::from(a.beside));
        let mut own_reasons = false;
        if let Some(&i) = self.index.get(&endpoint) {
            let carried = &mut self.servers[i].carried;
            let most = carried.get(self.now);
            if outcome == Outcome::Ok && beside > most {
                *carried = Faded { value: beside, at: self.now };
            }
            own_reasons = outcome == Outcome::Full && most >= CARRIED_MIN && beside < most * CARRIED_SHARE;
        }
        let class = usize::from(r.call.class.0);
        if !outcome.never_ran() && r.may_have_run.is_none_or(|(first, ..)| sent < first) {
            let (zone, cell) = place.unwrap_or((ZoneId(u16::MAX), CellId(u16::MAX)));
            r.may_have_run = Some((sent, zone, cell));
        }
        if outcome == Outcome::Ok {
            let (usual, taken) = (&mut self.class_time[class], elapsed.as_secs_f64());
            *usual += if *usual > 0.0 { (taken - *usual) * TIME_GAIN } else { taken };
        }
        // One endpoint's failures in a row say no more about the limit than the first did (i753040: a few
        // that hang would shrink it for all), nor do refusals beside far fewer calls than it carries (two of
        // four that refused a quarter of their calls, whatever they held, shrank it to its least).
        let telling = !failing && !own_reasons && !matches!(outcome, Outcome::Cancelled | Outcome::Moot);
        if outcome == Outcome::Ok || telling {
            // An attempt that outlives its whole aim is a time-out in all but name.
            let late = outcome == Outcome::Ok && elapsed > self.set.classes[class].aim;
            self.learn(if late { Outcome::TimedOut } else { outcome }, sent);
        }
        if closed {
            return self.end(id, actions);
        }
        self.again(id, actions);
    }

    /// Decides what becomes of a call none of whose attempts has answered. It keeps its seat: a call that
    /// may have run and cannot be refused is at level 0 from here on, in that it neither waits nor yields.
    fn again(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        if r.streaming || r.attempts.iter().any(|a| a.out) {
            return;
        }
        let effect = self.set.classes[usize::from(r.call.class.0)].effect;
        let (may_repeat, may_refuse) = match (effect, r.may_have_run) {
            (_, None) | (Effect::Safe, _) => (true, true),
            (Effect::Keyed { scope, window }, Some((first, ..))) => {
                (self.now < first + window, scope == Scope::All)
            }
            (Effect::Unsafe, Some(_)) => (false, false),
        };
        let tries_left = r.attempts.len() < self.set.limits.max_attempts as usize;
        let in_time = self.now < r.worth_until;
        if may_repeat && tries_left && in_time && self.budget >= 1.0 {
            let until = r.worth_until;
            if self.send(id, actions) {
                self.budget -= 1.0;
            } else {
                let look = (self.now + LOOK_AGAIN).min(until);
                self.at(look, Due::Again(id));
            }
            return;
        }
        if may_refuse {
            return self.refuse(id, actions);
        }
        actions.push(Action::Fail { id });
        self.end(id, actions);
    }

    fn refuse(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        actions.push(Action::Refuse { id, retry_after: self.stay_away(r.worth_until) });
        self.end(id, actions);
    }

    /// When a refused client should come back. In time, after a share of what is left, so that another try
    /// can still wait and be served; once an answer would be worthless it only costs: stay away.
    fn stay_away(&self, worth_until: Time) -> Option<Duration> {
        let longest = self.set.limits.max_retry_after?;
        let left = worth_until.since(self.now);
        Some(if left.is_zero() { longest } else { left.mul_f64(WAIT_SHARE).min(longest) })
    }

    // ---- Discovery ---------------------------------------------------------------------------------------

    fn endpoints(&mut self, kind: ListKind, entries: &[Endpoint]) {
        (self.awaiting, self.ask_failures) = (false, 0);
        // No burst to make up for calls it was not there for.
        let recent = Faded { value: self.mean_sends(), at: self.now };
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
            let fresh = Server {
                info: *e,
                rates: Faded::default(),
                utils: Faded::default(),
                weight: 0.0,
                out: known.map_or(0, |i| self.servers[i].out),
                recent,
                carried: Faded::default(),
                strikes: 0,
                paused_until: Time(0),
                cold_credit: (self.rng.f64(), self.now),
            };
            match known {
                Some(i) => self.servers[i] = fresh,
                None => {
                    self.index.insert(e.id, self.servers.len());
                    self.servers.push(fresh);
                }
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

    fn discovery_failed(&mut self) {
        let Discovery::OnRequest { ask_within } = self.set.discovery else { return };
        self.awaiting = false;
        let pause = (ASK_AGAIN * (1 << self.ask_failures.min(4))).min(ask_within / 2);
        self.ask_failures += 1;
        let pause = pause.mul_f64(0.5 + self.rng.f64());
        self.at(self.now + pause, Due::Ask);
    }

    // ---- Timers ------------------------------------------------------------------------------------------

    fn at(&mut self, when: Time, what: Due) {
        self.timers.push(Reverse((when, what)));
    }

    fn expire(&mut self, actions: &mut Vec<Action>) {
        while let Some(&Reverse((when, what))) = self.timers.peek() {
            if when > self.now {
                return;
            }
            self.timers.pop();
            match what {
                Due::Expire(id) => {
                    if self.requests.get(&id).is_some_and(|r| r.seat.is_none()) {
                        self.refuse(id, actions);
                    }
                }
                Due::Again(id) => self.again(id, actions),
                Due::Probe => {
                    let count = self.hand.len().max(1);
                    self.probe_next = (self.probe_next + 1) % count;
                    if let Some(&i) = self.hand.get(self.probe_next) {
                        actions.push(Action::Probe { endpoint: self.servers[i].info.id });
                    }
                    let pause = (PROBE_EVERY / count as u32).mul_f64(0.5 + self.rng.f64());
                    self.at(self.now + pause.max(Duration::from_millis(1)), Due::Probe);
                }
                Due::Ask => {
                    if let Discovery::OnRequest { ask_within } = self.set.discovery {
                        actions.push(Action::Subscribe);
                        self.awaiting = true;
                        self.at(self.now + ask_within, Due::AskUnlessAnswered);
                    }
                }
                Due::AskUnlessAnswered => {
                    if self.awaiting {
                        self.at(self.now, Due::Ask);
                    }
                }
            }
        }
    }

    /// Keeps one timer set for the earliest thing due.
    fn arm(&mut self, actions: &mut Vec<Action>) {
        if let Some(&Reverse((when, _))) = self.timers.peek()
            && self.wake.is_none_or(|w| when < w)
        {
            self.wake = Some(when);
            actions.push(Action::SetTimer { after: when.since(self.now), token: TimerToken(when.0) });
        }
    }
}

#[cfg(test)]
#[path = "policy_tests.rs"]
mod tests;
