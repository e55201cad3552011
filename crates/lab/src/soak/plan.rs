//! What happens in a run, drawn from its seed: no I/O. The same seed gives the same plan.

use super::records::Moment;
use std::fmt;
use std::time::Duration;

/// What discovery does with polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCondition {
    /// It serves each at once.
    Up,
    /// It serves each after so long.
    Slow(Duration),
    /// Other callers keep its queue full: so many of a hundred polls are turned away at once, the others are served late.
    Crowded(u32),
    /// It is down: each poll is answered with status 503 after that time.
    Unavailable(Duration),
    /// It is down: connections are reset.
    Resets,
    /// It is down: polls are taken and never answered.
    Silent,
    /// It is down: nobody listens.
    Refuses,
}

impl DiscoveryCondition {
    /// Whether discovery could be reached.
    pub fn is_reachable(self) -> bool {
        matches!(
            self,
            DiscoveryCondition::Up | DiscoveryCondition::Slow(_) | DiscoveryCondition::Crowded(_)
        )
    }
}

/// What becomes of the watches that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// They stay open and are never answered.
    FallSilent,
    /// Their connections are reset.
    AreReset,
    /// Their connections end in mid-answer.
    EndInMidAnswer,
}

/// What an endpoint does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It serves them.
    Serves,
    /// It serves them five times slower.
    Slow,
    /// It takes them and answers none.
    Hangs,
    /// It fails each at once.
    Errors,
    /// It turns each away unseen.
    Full,
    /// It resets the connection once the request is whole.
    ResetsAfter,
    /// It closes connections right after each answer, or resets them under the next request.
    ClosesIdle,
    /// Its answers have no length; half of them come whole.
    NoLength,
    /// It answers, and once more some milliseconds later.
    AnswersTwice,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Discovery changes.
    Discovery(DiscoveryCondition),
    /// The open watches break.
    Watches(WatchFault),
    /// An endpoint begins to behave so.
    Endpoint(usize, Behaviour),
    /// An endpoint begins to drain.
    Drain(usize),
    /// An endpoint is removed from the list; it still answers.
    Remove(usize),
    /// An endpoint's process dies; the list is not told.
    Crash(usize),
    /// An endpoint's process starts anew, cold.
    Restart(usize),
    /// A process gets a new configuration that names discovery's other address.
    Reload(usize),
    /// A process is told to stop, killed at the earliest moment, and started anew.
    Terminate(usize),
    /// A process is killed and started anew.
    Kill(usize),
    /// A process is held up for 0.15 s.
    HoldUp(usize),
    /// Idle clients fill the descriptors of a process.
    IdleCrowd(usize),
    /// All clients that wait at a process leave.
    ClientsLeave(usize),
    /// Clients that stop in the middle of a request come to a process, and stay.
    BadClients(usize),
    /// An endpoint is taken out by hand at a process.
    Ban(usize, usize),
}

/// One line of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Moment,
    /// What.
    pub event: Event,
}

/// What the shim does to the system calls and clocks of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shim {
    /// Its own seed.
    pub seed: u64,
    /// The wall clock's step, in milliseconds, and when it comes after the process's start.
    pub clock_step: (i64, Duration),
    /// Of a thousand calls to accept, so many fail.
    pub accept_fails: u32,
    /// Of a thousand reads and writes on sockets, so many are interrupted or cut short.
    pub transfers_fail: u32,
    /// When writes to files begin to fail after the process's start, and for how long.
    pub files_fail: (Duration, Duration),
}

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Whether it is a short one.
    pub short: bool,
    /// How long it lasts.
    pub length: Duration,
    /// Processes.
    pub members: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Further endpoints on the list that only lengthen it: nobody listens there, and they drain.
    pub padding: usize,
    /// Requests a second at each process.
    pub rate: f64,
    /// The longest deadlines of the three classes: safe, keyed, unsafe.
    pub patience: [Duration; 3],
    /// For each process, what the shim does to it, if anything.
    pub shims: Vec<Option<Shim>>,
    /// What happens, in order.
    pub steps: Vec<Step>,
}

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
                Shim {
                    seed: self.random.u64(..),
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

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} processes, {} endpoints (and {} that only lengthen the list), {:.1} requests a second each, \
             deadlines {:?}, {:?}, {} processes with a shim",
            self.seed,
            self.members,
            self.endpoints,
            self.padding,
            self.rate,
            self.patience,
            self.length,
            self.shims.iter().flatten().count()
        )?;
        self.steps
            .iter()
            .try_for_each(|step| writeln!(f, "  {:>7.3} {:?}", step.at.as_secs_f64(), step.event))
    }
}
