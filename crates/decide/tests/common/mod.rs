//! Settings and a driver shared by the tests: it feeds events by hand and hands back actions.
#![allow(dead_code, missing_docs)]

use cottonpoint_decide::*;
use std::time::Duration;

pub const SAFE: ClassId = ClassId(0);
pub const KEYED: ClassId = ClassId(1);
pub const UNSAFE: ClassId = ClassId(2);
pub const CHEAP: ClassId = ClassId(3);

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn class(worth: f64, effect: Effect) -> Class {
    Class { aim: ms(1000), aim_stretch: 0.0, give_up: ms(3000), worth, late_worth: 0.0, effect }
}

/// Four classes: safe, keyed over all, unsafe, and a safe one worth an eighth.
pub fn settings() -> Settings {
    Settings {
        me: 0,
        siblings: 1,
        zone: ZoneId(0),
        from_clients: true,
        classes: vec![
            class(8.0, Effect::Safe),
            class(8.0, Effect::Keyed { scope: Scope::All, window: ms(2000) }),
            class(8.0, Effect::Unsafe),
            class(1.0, Effect::Safe),
        ],
        tenants: Vec::new(),
        over_quota_worth: 0.1,
        discovery: Discovery::Pushed,
        reporting: Reporting::WithAnswers,
        limits: Limits {
            max_attempts: 3,
            may_duplicate: true,
            may_cancel: true,
            may_probe: true,
            max_retry_after: Some(ms(2000)),
        },
        obligations: Obligations {
            cold_from: 0.25,
            warm_after: ms(10_000),
            fall_multiple: 3.0,
            fall_after: ms(2000),
        },
        cross_zone_price: 0.0,
    }
}

pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        state: EndpointState::Ready,
        started: None,
    }
}

pub struct Driver {
    pub balancer: Balancer,
    pub now: Time,
    next: u64,
}

impl Driver {
    pub fn new(settings: Settings) -> Self {
        let now = Time(1_000_000_000);
        Driver { balancer: Balancer::new(settings, 7, now), now, next: 1 }
    }

    /// A driver whose balancer knows these endpoints.
    pub fn with(settings: Settings, entries: &[Endpoint]) -> Self {
        let mut driver = Driver::new(settings);
        driver.list(ListKind::Full, entries);
        driver
    }

    pub fn event(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn list(&mut self, kind: ListKind, entries: &[Endpoint]) -> Vec<Action> {
        self.event(Event::Endpoints { kind, entries })
    }

    pub fn pass(&mut self, by: Duration) {
        self.now = self.now + by;
    }

    /// Lets time pass and wakes the balancer, as its timers would.
    pub fn wake(&mut self, by: Duration) -> Vec<Action> {
        self.pass(by);
        self.event(Event::Timer { token: TimerToken(0) })
    }

    /// A call of a class that its client gives up after 3 s.
    pub fn call(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.call_of(class, None, ms(3000))
    }

    pub fn call_of(
        &mut self,
        class: ClassId,
        tenant: Option<TenantId>,
        left: Duration,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next);
        self.next += 1;
        let call = Call { id, class, tenant, due: self.now + left, cost: None };
        (id, self.event(Event::Arrived(call)))
    }

    pub fn finish(
        &mut self,
        id: RequestId,
        attempt: u8,
        endpoint: EndpointId,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.finish_with(id, attempt, endpoint, outcome, None)
    }

    pub fn finish_with(
        &mut self,
        id: RequestId,
        attempt: u8,
        endpoint: EndpointId,
        outcome: Outcome,
        report: Option<LoadReport>,
    ) -> Vec<Action> {
        let (closed, elapsed) = (outcome == Outcome::Ok, ms(50));
        self.event(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report })
    }

    pub fn finish_after(
        &mut self,
        id: RequestId,
        attempt: u8,
        endpoint: EndpointId,
        outcome: Outcome,
        elapsed: Duration,
    ) -> Vec<Action> {
        let (closed, report) = (outcome == Outcome::Ok, None);
        self.event(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report })
    }
}

/// Where the actions send a call, if they do.
pub fn sent(actions: &[Action]) -> Option<(RequestId, EndpointId)> {
    sends(actions).first().copied()
}

pub fn sends(actions: &[Action]) -> Vec<(RequestId, EndpointId)> {
    let send = |a: &Action| match *a {
        Action::Send { id, endpoint, .. } => Some((id, endpoint)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn refused(actions: &[Action]) -> Vec<RequestId> {
    let refusal = |a: &Action| match *a {
        Action::Refuse { id, .. } => Some(id),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

pub fn failed(actions: &[Action]) -> Vec<RequestId> {
    let failure = |a: &Action| match *a {
        Action::Fail { id } => Some(id),
        _ => None,
    };
    actions.iter().filter_map(failure).collect()
}

/// Settings under which the limit can fall to 2: as many siblings as endpoints.
pub fn crowded(endpoints: u32) -> Settings {
    Settings { siblings: endpoints, ..settings() }
}

/// Brings the limit down to its least: every other call times out, and the endpoints that time out answer
/// others. Returns with nothing running.
pub fn overload(driver: &mut Driver) {
    for round in 0..60 {
        let calls: Vec<_> = (0..6).map(|_| driver.call(UNSAFE)).collect();
        driver.pass(ms(900));
        for (n, (id, actions)) in calls.into_iter().enumerate() {
            if let Some((_, endpoint)) = sent(&actions) {
                let ok = n % 2 == 0 && round < 59;
                driver.finish(id, 0, endpoint, if ok { Outcome::Ok } else { Outcome::TimedOut });
            }
        }
        driver.wake(ms(3000));
    }
}
