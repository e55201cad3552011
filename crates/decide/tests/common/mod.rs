//! Settings and a driver shared by the tests: the driver passes single events to a balancer and
//! returns its actions.
#![allow(dead_code, missing_docs)]

pub mod simulation;

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
    Class {
        latency_target: ms(1000),
        latency_target_stretch: 0.0,
        client_timeout: ms(3000),
        worth,
        late_worth: 0.0,
        effect,
    }
}

/// Four classes: safe, keyed over all endpoints, unsafe, and a safe one worth an eighth.
pub fn settings() -> Settings {
    Settings {
        balancer_index: 0,
        balancer_count: 1,
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
        slow_start: SlowStart {
            initial_capacity: 0.25,
            warm_after: ms(10_000),
            overload_multiple: 3.0,
            overload_window: ms(2000),
        },
        cross_zone_price: 0.0,
    }
}

pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: ZoneId(0),
        cell: CellId(0),
        machine_type: MachineTypeId(0),
        state: EndpointState::Ready,
        started: None,
    }
}

pub struct Driver {
    pub balancer: Balancer,
    pub now: Time,
    next_id: u64,
}

impl Driver {
    pub fn new(settings: Settings) -> Self {
        let now = Time(1_000_000_000);
        Driver { balancer: Balancer::new(settings, 7, now), now, next_id: 1 }
    }

    /// A driver whose balancer has these endpoints.
    pub fn with(settings: Settings, entries: &[Endpoint]) -> Self {
        let mut driver = Driver::new(settings);
        driver.update_list(ListKind::Full, entries);
        driver
    }

    pub fn handle(&mut self, event: Event<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions
    }

    pub fn update_list(&mut self, kind: ListKind, entries: &[Endpoint]) -> Vec<Action> {
        self.handle(Event::Endpoints { kind, entries })
    }

    pub fn advance(&mut self, by: Duration) {
        self.now = self.now + by;
    }

    /// Advances time and wakes the balancer, as its timers would.
    pub fn advance_and_wake(&mut self, by: Duration) -> Vec<Action> {
        self.advance(by);
        self.handle(Event::Timer { token: TimerToken(0) })
    }

    /// A request of a class whose client stops waiting after 3 s.
    pub fn arrive(&mut self, class: ClassId) -> (RequestId, Vec<Action>) {
        self.arrive_with(class, None, ms(3000))
    }

    pub fn arrive_with(
        &mut self,
        class: ClassId,
        tenant: Option<TenantId>,
        left: Duration,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let request = Request { id, class, tenant, deadline: self.now + left, cost: None };
        (id, self.handle(Event::Arrived(request)))
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
        self.handle(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report })
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
        self.handle(Event::Finished { id, attempt, endpoint, outcome, closed, elapsed, report })
    }
}

/// The first attempt that the actions send, if any.
pub fn first_send(actions: &[Action]) -> Option<(RequestId, EndpointId)> {
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

/// Settings with this many balancers. With as many balancers as endpoints, the limit can fall to 2.
pub fn settings_with_balancers(count: u32) -> Settings {
    Settings { balancer_count: count, ..settings() }
}

/// Lowers the limit to its minimum: every other request times out, and the endpoints that time out
/// answer other requests. Returns with nothing running.
pub fn overload(driver: &mut Driver) {
    for round in 0..60 {
        let requests: Vec<_> = (0..6).map(|_| driver.arrive(UNSAFE)).collect();
        driver.advance(ms(900));
        for (n, (id, actions)) in requests.into_iter().enumerate() {
            if let Some((_, endpoint)) = first_send(&actions) {
                let served = n % 2 == 0 && round < 59;
                driver.finish(id, 0, endpoint, if served { Outcome::Ok } else { Outcome::TimedOut });
            }
        }
        driver.advance_and_wake(ms(3000));
    }
}
