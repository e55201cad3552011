//! Draws a plan from its seed.

use super::{Behaviour, DiscoveryCondition, Event, Plan, Shim, Step, WatchFault};
use crate::soak::records::Moment;
use std::time::Duration;

/// Tells the draws of [`Behaviour::ForgetsIdle`] from a seed's others.
const FORGETFUL: u64 = 0x666f_7267_6574;

/// Draws a plan piece by piece.
struct Drawing {
    random: fastrand::Rng,
    plan: Plan,
}

fn seconds(random: &mut fastrand::Rng, from: f64, to: f64) -> Duration {
    Duration::from_secs_f64(from + (to - from) * random.f64())
}

impl Plan {
    /// The plan of a seed.
    pub fn draw(seed: u64, short: bool) -> Plan {
        let mut random = fastrand::Rng::with_seed(seed ^ 0x736f_616b);
        let members = if short { random.usize(10..=14) } else { random.usize(10..=40) };
        let millis = Duration::from_millis;
        let patience = match random.u32(0..3) {
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
            patience,
            shims: Vec::new(),
            steps: Vec::new(),
        };
        let mut drawing = Drawing { random, plan };
        drawing.shims();
        let quiet = drawing.discovery();
        drawing.endpoints(quiet);
        drawing.reloads(quiet);
        drawing.stops(quiet);
        drawing.clients(quiet);
        let mut plan = drawing.plan;
        let last = plan.length;
        plan.steps.retain(|step| step.at < last);
        plan.steps.sort_by_key(|step| step.at);
        plan
    }
}

impl Drawing {
    fn at(&mut self, at: Moment, event: Event) {
        self.plan.steps.push(Step { at, event });
    }

    /// A moment of trouble: after the quiet time, and with time left for what follows from it.
    fn moment(&mut self, quiet: Moment) -> Moment {
        let to = self.plan.length.as_secs_f64() - 2.0;
        seconds(&mut self.random, quiet.as_secs_f64(), to)
    }

    fn member(&mut self) -> usize {
        self.random.usize(0..self.plan.members)
    }

    fn endpoint(&mut self) -> usize {
        self.random.usize(0..self.plan.endpoints)
    }

    fn shims(&mut self) {
        for _ in 0..self.plan.members {
            let shim = (self.random.u32(0..3) == 0).then(|| {
                let hour = 3_600_000;
                let step = [-hour, -5000, -1000, 2000, 30_000, hour][self.random.usize(0..6)];
                let seed = self.random.u64(..);
                let mut own = fastrand::Rng::with_seed(seed);
                Shim {
                    seed,
                    connects_fail: [0, 20, 200][own.usize(0..3)],
                    connections_break: [0, 2, 20][own.usize(0..3)],
                    clock_step: (step, seconds(&mut self.random, 0.0, 12.0)),
                    accept_fails: [0, 50, 300][self.random.usize(0..3)],
                    transfers_fail: [0, 20, 200][self.random.usize(0..3)],
                    files_fail: (seconds(&mut self.random, 0.0, 8.0), seconds(&mut self.random, 0.0, 6.0)),
                }
            });
            self.plan.shims.push(shim);
        }
    }

    /// Episodes of discovery, and changes right before, within and after them; the quiet time before all of it.
    fn discovery(&mut self) -> Moment {
        let quiet = if self.random.u32(0..4) == 0 && !self.plan.short {
            seconds(&mut self.random, 8.0, 11.0)
        } else {
            seconds(&mut self.random, 0.5, 4.0)
        };
        let mut now = quiet;
        while now < self.plan.length {
            let condition = self.condition();
            self.at(now, Event::Discovery(condition));
            let lasts = seconds(&mut self.random, 2.0, 12.0);
            let drain = self.endpoint();
            let offset = seconds(&mut self.random, 0.0, lasts.as_secs_f64());
            self.at(now + offset, Event::Drain(drain));
            now += lasts;
            if self.random.bool() {
                let after = match self.random.bool() {
                    true => DiscoveryCondition::Up,
                    false => DiscoveryCondition::Crowded(self.random.u32(70..98)),
                };
                self.at(now, Event::Discovery(after));
                now += seconds(&mut self.random, 3.0, 9.0);
            }
        }
        for _ in 0..self.random.usize(0..3) {
            let faults = [WatchFault::FallSilent, WatchFault::AreReset, WatchFault::EndInMidAnswer];
            let fault = faults[self.random.usize(0..3)];
            let at = seconds(&mut self.random, 0.5, self.plan.length.as_secs_f64() * 0.6);
            self.at(at, Event::Watches(fault));
            let drain = self.endpoint();
            let after = seconds(&mut self.random, 0.0, 1.5);
            self.at(at + after, Event::Drain(drain));
        }
        quiet
    }

    fn condition(&mut self) -> DiscoveryCondition {
        match self.random.u32(0..8) {
            0 => DiscoveryCondition::Slow(seconds(&mut self.random, 0.3, 1.8)),
            1..=3 => DiscoveryCondition::Crowded(self.random.u32(70..101)),
            4 => DiscoveryCondition::Unavailable(seconds(&mut self.random, 0.0, 2.0)),
            5 => DiscoveryCondition::Resets,
            6 => DiscoveryCondition::Silent,
            _ => DiscoveryCondition::Refuses,
        }
    }

    fn endpoints(&mut self, quiet: Moment) {
        for _ in 0..self.random.usize(2..6) {
            let (endpoint, at) = (self.endpoint(), self.moment(quiet));
            let behaviours = [
                Behaviour::Slow,
                Behaviour::Hangs,
                Behaviour::Errors,
                Behaviour::Full,
                Behaviour::ResetsAfter,
                Behaviour::ClosesIdle,
                Behaviour::NoLength,
                Behaviour::AnswersTwice,
            ];
            let behaviour = behaviours[self.random.usize(0..behaviours.len())];
            self.at(at, Event::Endpoint(endpoint, behaviour));
            let lasts = seconds(&mut self.random, 1.0, 8.0);
            self.at(at + lasts, Event::Endpoint(endpoint, Behaviour::Serves));
        }
        self.forgetful_endpoint(quiet);
        for _ in 0..self.random.usize(0..3) {
            let (endpoint, at) = (self.endpoint(), self.moment(quiet));
            self.at(at, Event::Crash(endpoint));
            let down = seconds(&mut self.random, 0.5, 4.0);
            self.at(at + down, Event::Restart(endpoint));
        }
        for _ in 0..self.random.usize(0..2) {
            let (endpoint, at) = (self.endpoint(), self.moment(quiet));
            self.at(at, Event::Remove(endpoint));
        }
    }

    /// In half of the runs. Drawn by itself, so that a seed's other faults are what they were.
    fn forgetful_endpoint(&mut self, quiet: Moment) {
        let mut random = fastrand::Rng::with_seed(self.plan.seed ^ FORGETFUL);
        if random.bool() {
            return;
        }
        let endpoint = random.usize(0..self.plan.endpoints);
        let at = seconds(&mut random, quiet.as_secs_f64(), self.plan.length.as_secs_f64() - 2.0);
        self.at(at, Event::Endpoint(endpoint, Behaviour::ForgetsIdle));
        let lasts = seconds(&mut random, 1.0, 8.0);
        self.at(at + lasts, Event::Endpoint(endpoint, Behaviour::Serves));
    }

    fn reloads(&mut self, quiet: Moment) {
        if self.random.u32(0..3) == 0 {
            return;
        }
        let begins = self.moment(quiet);
        for member in 0..self.plan.members {
            if self.random.u32(0..3) == 0 {
                continue;
            }
            let mut at = begins + seconds(&mut self.random, 0.0, 2.0);
            for _ in 0..self.random.usize(1..5) {
                self.at(at, Event::Reload(member));
                at += seconds(&mut self.random, 0.05, 1.2);
            }
        }
    }

    /// Stops in series, kills, and processes held up.
    fn stops(&mut self, quiet: Moment) {
        let mut at = self.moment(quiet);
        for _ in 0..self.random.usize(1..=self.plan.members / 3) {
            let member = self.member();
            let stop =
                if self.random.u32(0..4) == 0 { Event::Kill(member) } else { Event::Terminate(member) };
            self.at(at, stop);
            at += seconds(&mut self.random, 0.0, 1.5);
        }
        for _ in 0..self.random.usize(0..10) {
            let (member, at) = (self.member(), self.moment(quiet));
            self.at(at, Event::HoldUp(member));
        }
    }

    fn clients(&mut self, quiet: Moment) {
        for _ in 0..self.random.usize(1..6) {
            let (member, at) = (self.member(), self.moment(quiet));
            let event = match self.random.u32(0..4) {
                0 => Event::IdleCrowd(member),
                1 => Event::ClientsLeave(member),
                2 => Event::BadClients(member),
                _ => Event::Ban(member, self.endpoint()),
            };
            self.at(at, event);
        }
        let (member, at) = (self.member(), self.moment(quiet));
        self.at(at, Event::BadClients(member));
    }
}
