//! Draws a plan from its seed.

mod agents;
mod lists;
mod pressure;
mod series;

use super::{Behaviour, DiscoveryCondition, Event, Plan, ScheduledEvent, ShimFaults, WatchFault};
use crate::soak::classes::ClassList;
use crate::soak::records::Timestamp;
use std::time::Duration;

/// Mixed into the seed for the draws of [`Behaviour::StopsReading`], to separate them from the
/// other draws.
const STOPS_READING_SALT: u64 = 0x666f_7267_6574;

/// A plan being drawn.
struct PlanBuilder {
    random: fastrand::Rng,
    plan: Plan,
}

fn seconds(random: &mut fastrand::Rng, from: f64, to: f64) -> Duration {
    Duration::from_secs_f64(from + (to - from) * random.f64())
}

impl Plan {
    /// Draws the plan of a seed.
    pub fn draw(seed: u64, short: bool) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x736f_616b);
        let members = if short { random.usize(10..=14) } else { random.usize(10..=40) };
        let millis = Duration::from_millis;
        let client_timeouts = match random.u32(0..3) {
            0 => [millis(400), millis(700), millis(900)],
            1 => [millis(1500), millis(2500), millis(3000)],
            _ => [millis(1000), millis(1800), millis(4000)],
        };
        let plan = Plan {
            seed,
            short,
            length: Duration::from_secs(if short { 18 } else { 27 }),
            members,
            endpoints: random.usize(5..=12),
            padding: if random.u32(0..5) == 0 { random.usize(500..=3000) } else { random.usize(0..20) },
            rate: (240.0 / members as f64).clamp(6.0, 20.0),
            client_timeouts,
            first_classes: ClassList::FIRST,
            pushed: false,
            memory_mb: pressure::USUAL_MEMORY_MB,
            sockets: pressure::USUAL_SOCKETS,
            without_known_list: vec![false; members],
            shims: Vec::new(),
            events: Vec::new(),
        };
        let mut builder = PlanBuilder { random, plan };
        builder.draw_deployment();
        builder.draw_shims();
        let quiet_until = builder.draw_discovery();
        builder.draw_endpoints(quiet_until);
        builder.draw_reloads(quiet_until);
        builder.draw_stops(quiet_until);
        builder.draw_clients(quiet_until);
        builder.draw_lists(quiet_until);
        builder.draw_agent_outages(quiet_until);
        builder.draw_class_series();
        builder.draw_upgrades();
        builder.draw_pressure(quiet_until);
        let mut plan = builder.plan;
        let last = plan.length;
        plan.events.retain(|scheduled| scheduled.at < last);
        plan.events.sort_by_key(|scheduled| scheduled.at);
        plan
    }
}

impl PlanBuilder {
    fn add_event(&mut self, at: Timestamp, event: Event) {
        self.plan.events.push(ScheduledEvent { at, event });
    }

    /// Draws a time for a fault: after the quiet period, and early enough for its consequences to
    /// show before the end.
    fn draw_time(&mut self, quiet_until: Timestamp) -> Timestamp {
        let to = self.plan.length.as_secs_f64() - 2.0;
        seconds(&mut self.random, quiet_until.as_secs_f64(), to)
    }

    fn draw_member(&mut self) -> usize {
        self.random.usize(0..self.plan.members)
    }

    fn draw_endpoint(&mut self) -> usize {
        self.random.usize(0..self.plan.endpoints)
    }

    fn draw_shims(&mut self) {
        for _ in 0..self.plan.members {
            let shim = (self.random.u32(0..3) == 0).then(|| {
                let hour = 3_600_000;
                let scheduled = [-hour, -5000, -1000, 2000, 30_000, hour][self.random.usize(0..6)];
                let seed = self.random.u64(..);
                let mut own = fastrand::Rng::with_seed(seed);
                ShimFaults {
                    seed,
                    connect_per_mille: [0, 20, 200][own.usize(0..3)],
                    break_per_mille: [0, 2, 20][own.usize(0..3)],
                    clock_step: (scheduled, seconds(&mut self.random, 0.0, 12.0)),
                    accept_per_mille: [0, 50, 300][self.random.usize(0..3)],
                    transfer_per_mille: [0, 20, 200][self.random.usize(0..3)],
                    file_writes_fail: (
                        seconds(&mut self.random, 0.0, 8.0),
                        seconds(&mut self.random, 0.0, 6.0),
                    ),
                }
            });
            self.plan.shims.push(shim);
        }
    }

    /// Draws the conditions of discovery and list changes within and right after them, and faults of
    /// its watches. Returns the end of the quiet period, after which discovery's conditions change and
    /// the faults of endpoints, processes and clients begin.
    fn draw_discovery(&mut self) -> Timestamp {
        let quiet_until = if self.random.u32(0..4) == 0 && !self.plan.short {
            seconds(&mut self.random, 8.0, 11.0)
        } else {
            seconds(&mut self.random, 0.5, 4.0)
        };
        let mut now = quiet_until;
        while now < self.plan.length {
            let condition = self.draw_condition();
            self.add_event(now, Event::Discovery(condition));
            let duration = seconds(&mut self.random, 2.0, 12.0);
            let draining_endpoint = self.draw_endpoint();
            let offset = seconds(&mut self.random, 0.0, duration.as_secs_f64());
            self.add_event(now + offset, Event::Drain(draining_endpoint));
            now += duration;
            if self.random.bool() {
                let after = match self.random.bool() {
                    true => DiscoveryCondition::Up,
                    false => DiscoveryCondition::Overloaded(self.random.u32(70..98)),
                };
                self.add_event(now, Event::Discovery(after));
                now += seconds(&mut self.random, 3.0, 9.0);
            }
        }
        for _ in 0..self.random.usize(0..3) {
            let faults = [WatchFault::Silence, WatchFault::Reset, WatchFault::TruncatedAnswer];
            let fault = faults[self.random.usize(0..3)];
            let at = seconds(&mut self.random, 0.5, self.plan.length.as_secs_f64() * 0.6);
            self.add_event(at, Event::Watches(fault));
            let draining_endpoint = self.draw_endpoint();
            let after = seconds(&mut self.random, 0.0, 1.5);
            self.add_event(at + after, Event::Drain(draining_endpoint));
        }
        quiet_until
    }

    fn draw_condition(&mut self) -> DiscoveryCondition {
        match self.random.u32(0..8) {
            0 => DiscoveryCondition::Slow(seconds(&mut self.random, 0.3, 1.8)),
            1..=3 => DiscoveryCondition::Overloaded(self.random.u32(70..101)),
            4 => DiscoveryCondition::Unavailable(seconds(&mut self.random, 0.0, 2.0)),
            5 => DiscoveryCondition::Resets,
            6 => DiscoveryCondition::Silent,
            _ => DiscoveryCondition::Refuses,
        }
    }

    fn draw_endpoints(&mut self, quiet_until: Timestamp) {
        for _ in 0..self.random.usize(2..6) {
            let (endpoint, at) = (self.draw_endpoint(), self.draw_time(quiet_until));
            let behaviours = [
                Behaviour::Slow,
                Behaviour::Hangs,
                Behaviour::Errors,
                Behaviour::Full,
                Behaviour::ResetsAfterRequest,
                Behaviour::ClosesAfterAnswer,
                Behaviour::NoContentLength,
                Behaviour::AnswersTwice,
            ];
            let behaviour = behaviours[self.random.usize(0..behaviours.len())];
            self.add_event(at, Event::Endpoint(endpoint, behaviour));
            let duration = seconds(&mut self.random, 1.0, 8.0);
            self.add_event(at + duration, Event::Endpoint(endpoint, Behaviour::Serves));
        }
        self.draw_endpoint_that_stops_reading(quiet_until);
        for _ in 0..self.random.usize(0..3) {
            let (endpoint, at) = (self.draw_endpoint(), self.draw_time(quiet_until));
            self.add_event(at, Event::Crash(endpoint));
            let down = seconds(&mut self.random, 0.5, 4.0);
            self.add_event(at + down, Event::Restart(endpoint));
        }
        for _ in 0..self.random.usize(0..2) {
            let (endpoint, at) = (self.draw_endpoint(), self.draw_time(quiet_until));
            self.add_event(at, Event::Remove(endpoint));
        }
    }

    /// Half of the runs have an endpoint that stops reading from its idle connections. It is drawn
    /// by its own generator, so that the other faults of a seed stay as they were before this one
    /// existed.
    fn draw_endpoint_that_stops_reading(&mut self, quiet_until: Timestamp) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ STOPS_READING_SALT);
        if random.bool() {
            return;
        }
        let endpoint = random.usize(0..self.plan.endpoints);
        let at = seconds(&mut random, quiet_until.as_secs_f64(), self.plan.length.as_secs_f64() - 2.0);
        self.add_event(at, Event::Endpoint(endpoint, Behaviour::StopsReading));
        let duration = seconds(&mut random, 1.0, 8.0);
        self.add_event(at + duration, Event::Endpoint(endpoint, Behaviour::Serves));
    }

    fn draw_reloads(&mut self, quiet_until: Timestamp) {
        if self.random.u32(0..3) == 0 {
            return;
        }
        let first_reload = self.draw_time(quiet_until);
        for member in 0..self.plan.members {
            if self.random.u32(0..3) == 0 {
                continue;
            }
            let mut at = first_reload + seconds(&mut self.random, 0.0, 2.0);
            for _ in 0..self.random.usize(1..5) {
                self.add_event(at, Event::Reload(member));
                at += seconds(&mut self.random, 0.05, 1.2);
            }
        }
    }

    /// Draws series of terminations and kills, and pauses of processes.
    fn draw_stops(&mut self, quiet_until: Timestamp) {
        let mut at = self.draw_time(quiet_until);
        for _ in 0..self.random.usize(1..=self.plan.members / 3) {
            let member = self.draw_member();
            let stop =
                if self.random.u32(0..4) == 0 { Event::Kill(member) } else { Event::Terminate(member) };
            self.add_event(at, stop);
            at += seconds(&mut self.random, 0.0, 1.5);
        }
        for _ in 0..self.random.usize(0..10) {
            let (member, at) = (self.draw_member(), self.draw_time(quiet_until));
            self.add_event(at, Event::Pause(member));
        }
    }

    fn draw_clients(&mut self, quiet_until: Timestamp) {
        for _ in 0..self.random.usize(1..6) {
            let (member, at) = (self.draw_member(), self.draw_time(quiet_until));
            let event = match self.random.u32(0..4) {
                0 => Event::IdleConnections(member),
                1 => Event::ClientsDisconnect(member),
                2 => Event::BadClients(member),
                _ => Event::TakeOffline(member, self.draw_endpoint()),
            };
            self.add_event(at, event);
        }
        let (member, at) = (self.draw_member(), self.draw_time(quiet_until));
        self.add_event(at, Event::BadClients(member));
    }
}
