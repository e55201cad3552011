//! Random events that the interface permits, in random order, with every rule checked after each of
//! them.

use super::*;
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A request, and the rules under which it arrived.
pub struct OpenRequest {
    request: Request,
    class: Class,
    limits: Limits,
    pub attempts: Vec<(Endpoint, Time, Option<Outcome>, Time)>,
    pub answered: bool,
}

/// A balancer under random events that the interface permits.
pub struct Simulation {
    rng: fastrand::Rng,
    settings: Settings,
    balancer: Balancer,
    now: Time,
    pub requests: BTreeMap<RequestId, OpenRequest>,
    listed: BTreeMap<EndpointId, Endpoint>,
    ever_listed: BTreeMap<EndpointId, Endpoint>,
    pub timers: Vec<(Time, TimerToken)>,
    probes: Vec<EndpointId>,
    next_id: u64,
    /// A digest of all events and the actions that followed them.
    pub digest: u64,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut s = settings();
        let scopes = [Scope::All, Scope::Zone, Scope::Cell];
        s.classes[1].effect = Effect::Keyed { scope: scopes[rng.usize(..3)], window: ms(rng.u64(1..3000)) };
        s.classes[0].late_worth = f64::from(rng.u8(..2)) * 0.5;
        s.classes[2].worth = [8.0, 0.0, f64::NAN, f64::INFINITY][rng.usize(..4)];
        s.classes[3].latency_target = ms(rng.u64(0..2000));
        s.balancer_count = rng.u32(0..40);
        s.balancer_index = rng.u32(0..40);
        s.from_clients = rng.bool();
        s.over_quota_worth = [0.1, 0.0, f64::NAN][rng.usize(..3)];
        s.tenants = (0..rng.usize(..4)).map(|i| Tenant { quota_per_s: i as f64 }).collect();
        s.limits.max_attempts = rng.u32(0..5);
        s.limits.may_duplicate = rng.bool();
        s.limits.may_cancel = rng.bool();
        s.limits.may_probe = rng.bool();
        s.limits.max_retry_after = rng.bool().then_some(ms(500));
        s.reporting = [Reporting::WithAnswers, Reporting::ProbesOnly, Reporting::Never][rng.usize(..3)];
        s.cross_zone_price = f64::from(rng.u8(..2));
        if rng.bool() {
            s.discovery = Discovery::OnRequest { ask_within: ms(rng.u64(1..10_000)) };
        }
        s.slow_start.warm_after = ms(rng.u64(0..10_000));
        let now = Time(if rng.bool() { 0 } else { u64::MAX / 4 });
        Simulation {
            balancer: Balancer::new(s.clone(), rng.u64(..), now),
            rng,
            settings: s,
            now,
            requests: BTreeMap::new(),
            listed: BTreeMap::new(),
            ever_listed: BTreeMap::new(),
            timers: Vec::new(),
            probes: Vec::new(),
            next_id: 1,
            digest: 0,
        }
    }

    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        let line = format!("{:?} {event:?} {actions:?}", self.now);
        self.digest = xxh3_64_with_seed(line.as_bytes(), self.digest);
        self.check_actions(actions);
    }

    fn check_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.check_action(action);
        }
    }

    fn check_action(&mut self, action: Action) {
        let now = self.now;
        match action {
            Action::Send { id, endpoint, attempt_deadline } => {
                let e = *self.listed.get(&endpoint).expect("sends only to listed endpoints");
                assert_eq!(
                    e.state,
                    EndpointState::Ready,
                    "no new attempts to draining or removed endpoints"
                );
                let open = self.requests.get_mut(&id).expect("a known request");
                let max = open.limits.max_attempts.max(1) as usize;
                assert!(!open.answered, "nothing is sent after the final answer");
                assert!(attempt_deadline <= open.request.deadline && open.request.deadline >= now);
                assert!(open.attempts.len() < max, "attempts are limited");
                assert!(open.limits.may_duplicate || open.attempts.iter().all(|a| a.2.is_some()));
                let may_have_run =
                    |a: &&(Endpoint, Time, Option<Outcome>, Time)| a.2.is_none_or(|o| !o.never_ran());
                if let Some(first) = open.attempts.iter().filter(may_have_run).min_by_key(|a| a.1) {
                    match open.class.effect {
                        Effect::Safe => {}
                        Effect::Unsafe => panic!("an unsafe request may run twice"),
                        Effect::Keyed { scope, window } => {
                            assert!(now.since(first.1) <= window, "its repeats are no longer discarded");
                            assert!(scope == Scope::All || e.zone == first.0.zone);
                            assert!(scope != Scope::Cell || e.cell == first.0.cell);
                        }
                    }
                }
                open.attempts.push((e, now, None, attempt_deadline.max(now)));
            }
            Action::Refuse { id, .. } => {
                let open = self.requests.get_mut(&id).expect("a known request");
                assert!(!open.answered, "one final answer");
                open.answered = true;
                let effect = open.class.effect;
                let may_have_run = open.attempts.iter().any(|a| a.2.is_none_or(|o| !o.never_ran()));
                let harmless = match effect {
                    Effect::Safe => true,
                    Effect::Keyed { scope, .. } => scope == Scope::All,
                    Effect::Unsafe => false,
                };
                assert!(harmless || !may_have_run, "a refusal promises that a client retry is safe");
            }
            Action::Fail { id } => {
                let open = self.requests.get_mut(&id).expect("a known request");
                assert!(!open.answered, "one final answer");
                open.answered = true;
            }
            Action::Cancel { id, attempt } => {
                assert!(self.requests[&id].limits.may_cancel);
                assert!(self.requests[&id].attempts.len() > usize::from(attempt), "cancels what was sent");
            }
            Action::Probe { endpoint } => {
                assert!(self.settings.limits.may_probe);
                assert!(self.ever_listed.contains_key(&endpoint));
                self.probes.push(endpoint);
            }
            Action::SetTimer { after, token } => self.timers.push((now + after, token)),
            Action::Subscribe => assert!(matches!(self.settings.discovery, Discovery::OnRequest { .. })),
        }
    }

    fn report(&mut self) -> Option<LoadReport> {
        let values = [0.0, 0.5, 1.0, 3.0, -1.0, f64::NAN, f64::INFINITY, 1e300, 1e-300];
        let value = |rng: &mut fastrand::Rng| rng.bool().then(|| values[rng.usize(..values.len())]);
        let report = LoadReport { utilization: value(&mut self.rng), rate: value(&mut self.rng) };
        self.rng.bool().then_some(report)
    }

    fn arrive(&mut self) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let class = ClassId(self.rng.u16(..self.settings.classes.len() as u16));
        let tenant = self.rng.bool().then(|| TenantId(self.rng.u16(..5)));
        let deadline = self.now + ms(self.rng.u64(0..4000));
        let cost = self.rng.bool().then(|| ms(self.rng.u64(0..100)));
        let request = Request { id, class, tenant, deadline, cost };
        let (class, limits) = (self.settings.classes[usize::from(class.0)].clone(), self.settings.limits);
        let open = OpenRequest { request, class, limits, attempts: Vec::new(), answered: false };
        self.requests.insert(id, open);
        self.handle(Event::Arrived(request));
    }

    fn finish(&mut self, id: RequestId, attempt: usize, outcome: Outcome) {
        let open = self.requests.get_mut(&id).expect("known");
        let (endpoint, sent, result, _) = &mut open.attempts[attempt];
        *result = Some(outcome);
        let (endpoint, elapsed) = (endpoint.id, self.now.since(*sent));
        open.answered |= outcome == Outcome::Ok;
        let closed = open.answered;
        let report = self.report();
        let attempt = attempt as u8;
        let done = Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report };
        self.handle(done);
        if self.rng.u8(..20) == 0 {
            self.handle(done); // a late, repeated event
        }
    }

    fn outstanding(&self) -> Vec<(RequestId, usize, Time)> {
        let mut all = Vec::new();
        for (&id, open) in &self.requests {
            for (n, a) in open.attempts.iter().enumerate().filter(|(_, a)| a.2.is_none()) {
                all.push((id, n, a.3));
            }
        }
        all
    }

    fn change_list(&mut self) {
        let full = self.rng.u8(..4) == 0;
        if full {
            self.listed.clear();
        }
        let mut entries = Vec::new();
        for _ in 0..self.rng.usize(..8) {
            let n = self.rng.u64(1..25);
            let states = [
                EndpointState::Ready,
                EndpointState::Ready,
                EndpointState::Draining,
                EndpointState::Removed,
            ];
            let started = match self.rng.u8(..4) {
                0 => Some(self.now),
                1 => Some(self.now + Duration::from_secs(9)),
                _ => None,
            };
            let zone = ZoneId((n % 3) as u16);
            let e = Endpoint {
                zone,
                cell: CellId((n % 9) as u16),
                machine_type: MachineTypeId((n % 2) as u16),
                state: states[self.rng.usize(..4)],
                started,
                ..endpoint(n)
            };
            entries.push(e);
            self.listed.insert(e.id, e);
            self.ever_listed.insert(e.id, e);
        }
        let kind = if full { ListKind::Full } else { ListKind::Delta };
        self.handle(Event::Endpoints { kind, entries: &entries });
    }

    /// Advances time; timers and attempts that end meanwhile come in order, timers sometimes late
    /// and in a burst.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        let late_burst = self.rng.u8(..10) == 0;
        loop {
            let timer = self.timers.iter().map(|t| t.0).min().filter(|&t| t <= end);
            let attempt = self.outstanding().into_iter().filter(|a| a.2 <= end).min_by_key(|a| a.2);
            match (timer, attempt) {
                (timer, Some((id, n, until))) if timer.is_none_or(|t| until <= t) => {
                    self.now = self.now.max(until);
                    self.finish(id, n, Outcome::TimedOut);
                }
                (Some(t), _) => {
                    // A late burst delays timers by less than the rule for final answers tolerates.
                    self.now = self.now.max(if late_burst { t + ms(5) } else { t });
                    let fired: Vec<_> = self.timers.iter().copied().filter(|t| t.0 <= self.now).collect();
                    self.timers.retain(|t| t.0 > self.now);
                    for (_, token) in fired {
                        self.handle(Event::Timer { token });
                    }
                }
                _ => break,
            }
            self.assert_answered_in_time();
        }
        self.now = self.now.max(end);
        self.assert_answered_in_time();
    }

    fn assert_answered_in_time(&self) {
        for (id, open) in &self.requests {
            assert!(
                open.answered || self.now <= open.request.deadline + ms(8),
                "{id} got no answer in its time"
            );
        }
    }

    pub fn step(&mut self) {
        match self.rng.u8(..20) {
            0..=7 => self.arrive(),
            8..=12 => {
                let outstanding = self.outstanding();
                if !outstanding.is_empty() {
                    let (id, n, _) = outstanding[self.rng.usize(..outstanding.len())];
                    // Successes twice as often as each other outcome.
                    let outcomes = [&[Outcome::Ok][..], &Outcome::ALL].concat();
                    let outcome = outcomes[self.rng.usize(..outcomes.len())];
                    self.finish(id, n, outcome);
                }
            }
            13 => self.change_list(),
            14 => {
                let id = RequestId(self.rng.u64(..self.next_id + 3));
                if let Some(open) = self.requests.get_mut(&id) {
                    open.answered = true;
                }
                self.handle(Event::ClientGone { id });
            }
            15 => {
                let token = TimerToken(self.rng.u64(..));
                self.handle(Event::Timer { token });
            }
            16 if !self.probes.is_empty() => {
                let endpoint = self.probes.swap_remove(self.rng.usize(..self.probes.len()));
                let report = self.report();
                let outcome = [Outcome::Ok, Outcome::ConnectFailed, Outcome::TimedOut][self.rng.usize(..3)];
                self.handle(Event::ProbeFinished { endpoint, outcome, report });
            }
            17 => self.handle(Event::DiscoveryFailed),
            18 => {
                // An event about a request and an endpoint that never existed.
                let (id, endpoint) = (RequestId(u64::MAX), EndpointId(u64::MAX));
                let (outcome, closed, elapsed) = (Outcome::Error, false, Duration::MAX);
                let attempt = self.rng.u8(..);
                let report = self.report();
                self.handle(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report });
            }
            _ => {
                let by = ms(self.rng.u64(0..400));
                self.advance(by);
            }
        }
    }

    /// Replaces the settings: classes and tenants come in another order and number, and a class may
    /// have another effect.
    pub fn reconfigure(&mut self) {
        let mut classes: Vec<_> = self.settings.classes.iter().cloned().enumerate().collect();
        self.rng.shuffle(&mut classes);
        classes.truncate(self.rng.usize(1..=classes.len()));
        let kept = classes.len();
        let mut renumbering = Renumbering::default();
        renumbering.classes.extend(classes.iter().map(|(id, _)| Some(ClassId(*id as u16))));
        let effects = [
            Effect::Safe,
            Effect::Unsafe,
            Effect::Keyed { scope: Scope::Zone, window: ms(self.rng.u64(1..3000)) },
            Effect::Keyed { scope: Scope::All, window: ms(self.rng.u64(1..3000)) },
        ];
        let mut classes: Vec<_> = classes.into_iter().map(|(_, class)| class).collect();
        classes.extend((kept..self.rng.usize(kept..6)).map(|_| class(4.0, Effect::Safe)));
        renumbering.classes.resize(classes.len(), None);
        for class in &mut classes {
            if self.rng.bool() {
                class.effect = effects[self.rng.usize(..effects.len())];
            }
        }
        self.settings.classes = classes;
        let tenants = self.settings.tenants.len() as u16;
        let had =
            |rng: &mut fastrand::Rng| Some(TenantId(rng.u16(..tenants.max(1)))).filter(|_| tenants > 0);
        self.settings.tenants =
            (0..self.rng.usize(..4)).map(|i| Tenant { quota_per_s: i as f64 }).collect();
        renumbering.tenants = self.settings.tenants.iter().map(|_| had(&mut self.rng)).collect();
        self.settings.limits.max_attempts = self.rng.u32(0..5);
        self.settings.limits.may_cancel = self.rng.bool();
        self.settings.limits.may_probe = self.rng.bool();
        self.settings.cross_zone_price = f64::from(self.rng.u8(..2));
        self.settings.balancer_count = self.rng.u32(0..40);
        self.settings.discovery = match self.rng.u8(..3) {
            0 => Discovery::Pushed,
            _ => Discovery::OnRequest { ask_within: ms(self.rng.u64(1..10_000)) },
        };
        let mut actions = Vec::new();
        self.balancer.reconfigure(self.now, self.settings.clone(), &renumbering, &mut actions);
        self.check_actions(actions);
    }
}
