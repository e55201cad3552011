//! One server: cores shared by the requests in work, slots, a waiting room, warming up, crowding.
//!
//! Requests in work share the cores evenly (processor sharing). With `n` of them running, each gets
//! `min(1, cores / n)` of a core; with as many slots as cores that is first come, first served. The state keeps
//! one *service clock* that runs at the rate of each running request: a request with work `w` is done when the
//! clock has gone on by `w` since it began. So a change of rate costs nothing per request.

use super::JobKey;
pub use super::build::{Build, Crowding};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Nanoseconds since the start of the day.
pub type Nanos = u64;

/// What a server's process is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Life {
    /// It takes work.
    Up,
    /// It finishes what it has and turns new work away.
    Draining,
    /// It has ended; connections are refused.
    Down,
    /// The machine is there no more and says nothing.
    Vanished,
}

/// What happens with a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entry {
    /// It is in work.
    Working,
    /// It waits for a slot.
    Waiting,
    /// It is turned away unseen.
    Full,
}

/// A load report: completions a second and utilisation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// When it was made.
    pub at: Nanos,
    /// Completions a second.
    pub rate: f64,
    /// Utilisation of the cores.
    pub utilization: f64,
}

/// A server.
#[derive(Debug)]
pub struct Server {
    /// What it is made of.
    pub build: Build,
    /// What its process is doing.
    pub life: Life,
    /// When its process last started; `None` for long ago.
    pub started: Option<Nanos>,
    /// Counts its processes: what belongs to an earlier one is void.
    pub process: u32,
    /// Times slower for troubles of its own and shared ones.
    pub slowed: f64,
    /// Share of requests that fail at once.
    pub failing: f64,
    /// It takes work and finishes none, and reports well.
    pub gray: bool,
    /// Open connections.
    pub open: usize,
    /// Since when it is slowed by crowding.
    pub choked: Option<Nanos>,
    crowded_since: Option<Nanos>,
    idle_since: Option<Nanos>,
    /// Requests that run, waiting for none but the cores.
    running: usize,
    /// Requests that hold a slot, calling the next tier included.
    held: usize,
    waiting: VecDeque<JobKey>,
    clock: f64,
    clock_at: Nanos,
    /// The service rate of each running request since the last change of plan.
    pace: f64,
    finishes: BinaryHeap<Reverse<(u64, JobKey)>>,
    /// Counts the changes of plan: an event of an earlier plan is void.
    pub plan: u32,
    /// Core seconds in use since the start.
    pub busy: f64,
    /// Requests completed since the start.
    pub completed: u64,
    /// Work done since the start, in seconds of a core of speed 1.
    pub worked: f64,
    readings: [Reading; 2],
    read: (Nanos, f64, u64),
}

impl Server {
    /// An idle server.
    pub fn new(build: Build, started: Option<Nanos>, now: Nanos) -> Server {
        Server {
            build,
            life: Life::Up,
            started,
            process: 0,
            slowed: 1.0,
            failing: 0.0,
            gray: false,
            open: 0,
            choked: None,
            crowded_since: None,
            idle_since: Some(now),
            running: 0,
            held: 0,
            waiting: VecDeque::new(),
            clock: 0.0,
            clock_at: now,
            pace: 0.0,
            finishes: BinaryHeap::new(),
            plan: 0,
            busy: 0.0,
            completed: 0,
            worked: 0.0,
            readings: [Reading::default(); 2],
            read: (now, 0.0, 0),
        }
    }

    /// Its capacity at a time as a share of its full one, for its warmth alone.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / 1e9;
        if age >= self.build.cold_for {
            return 1.0;
        }
        self.build.cold_from + (1.0 - self.build.cold_from) * age / self.build.cold_for
    }

    /// Work a second that it can do now, all cores together, in seconds of a core of speed 1.
    pub fn capacity(&self, now: Nanos) -> f64 {
        let b = &self.build;
        let crowd = (self.held as f64 / b.cores - b.thrash_at).max(0.0);
        let table = self.open as f64 / b.connections.max(1) as f64;
        let choke = match (self.choked, &b.choke) {
            (Some(_), Some(c)) => c.slower,
            _ => 1.0,
        };
        let gray = if self.gray { 1e-6 } else { 1.0 };
        b.cores * b.speed * self.warmth(now) * gray * (1.0 - b.full_tax * table.min(1.0))
            / ((1.0 + b.thrash * crowd) * self.slowed * choke)
    }

    /// What it could do if nothing but its warmth held it back: the measure of the rule on cold servers.
    pub fn present_capacity(&self, now: Nanos) -> f64 {
        self.build.cores * self.build.speed * self.warmth(now)
    }

    /// Requests in work or waiting.
    pub fn holds(&self) -> usize {
        self.held + self.waiting.len()
    }

    /// Requests that want a core.
    pub fn wants_core(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// The service rate of each running request.
    fn rate(&self, now: Nanos) -> f64 {
        self.capacity(now) / self.build.cores * (self.build.cores / self.running.max(1) as f64).min(1.0)
    }

    /// Brings the service clock up to a time, at the rate of the last change of plan: what changes the rate in
    /// between (warmth, connections) takes hold with the next one.
    pub fn advance(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.clock_at) as f64 / 1e9;
        if self.running > 0 && passed > 0.0 {
            self.clock += self.pace * passed;
            self.worked += self.pace * passed * self.running as f64;
            self.busy += passed * self.build.cores.min(self.running as f64);
        }
        self.clock_at = now;
    }

    /// When the next running request is done, if nothing changes; `alive` tells whether a key still runs.
    pub fn next_finish(&mut self, alive: impl Fn(JobKey) -> bool) -> Option<Nanos> {
        self.pace = self.rate(self.clock_at);
        while let Some(&Reverse((at, job))) = self.finishes.peek() {
            if alive(job) {
                let left = (f64::from_bits(at) - self.clock).max(0.0);
                let wait = left / self.pace * 1e9;
                // Rounded up, so that it is done by then; a thousandth of a nanosecond is rounding error.
                return Some(self.clock_at.saturating_add((wait - 1e-3).ceil().clamp(0.0, 1e18) as u64));
            }
            self.finishes.pop();
        }
        None
    }

    /// The running request that is done by now, taken from the cores but not from its slot.
    pub fn take_finished(&mut self, now: Nanos, alive: impl Fn(JobKey) -> bool) -> Option<JobKey> {
        self.advance(now);
        while let Some(&Reverse((at, job))) = self.finishes.peek() {
            if !alive(job) {
                self.finishes.pop();
                continue;
            }
            // A clock of seconds in double precision is exact to well below a nanosecond of work.
            if f64::from_bits(at) > self.clock + 1e-9 * self.pace {
                return None;
            }
            self.finishes.pop();
            self.running -= 1;
            // Times are whole nanoseconds: what the cores did for it beyond its end was done for nobody.
            self.worked -= self.clock - f64::from_bits(at);
            self.pace = self.rate(now);
            return Some(job);
        }
        None
    }

    /// Lets a request run that holds a slot, with this much work ahead of it (seconds of a core of speed 1).
    /// Returns the reading of the service clock at which it is done.
    pub fn run(&mut self, now: Nanos, job: JobKey, work: f64) -> f64 {
        self.advance(now);
        self.running += 1;
        let done = self.clock + work.max(0.0);
        self.finishes.push(Reverse((done.to_bits(), job)));
        self.pace = self.rate(now);
        done
    }

    /// Work that a running request still has ahead of it, given the reading at which it is done.
    pub fn left(&self, done: f64) -> f64 {
        (done - self.clock).max(0.0)
    }

    /// Takes a running request off the cores before it is done; its key must be dead from now on.
    pub fn halt(&mut self, now: Nanos) {
        self.advance(now);
        self.running = self.running.saturating_sub(1);
        self.pace = self.rate(now);
    }

    /// Lets a request in: into a slot, into the waiting room, or not at all.
    pub fn enter(&mut self, job: JobKey) -> Entry {
        if self.held < self.build.slots {
            self.held += 1;
            Entry::Working
        } else if self.waiting.len() < self.build.room {
            self.waiting.push_back(job);
            Entry::Waiting
        } else {
            Entry::Full
        }
    }

    /// Gives a slot back; the request that has waited for longest takes it.
    pub fn leave(&mut self) -> Option<JobKey> {
        match self.waiting.pop_front() {
            Some(next) => Some(next),
            None => {
                self.held = self.held.saturating_sub(1);
                None
            }
        }
    }

    /// Takes a request out of the waiting room.
    pub fn forget_waiting(&mut self, job: JobKey) {
        self.waiting.retain(|&other| other != job);
    }

    /// The process ends: whatever it held is void.
    pub fn stop(&mut self, now: Nanos, life: Life) {
        self.advance(now);
        self.life = life;
        self.process += 1;
        self.plan += 1;
        (self.running, self.held, self.open) = (0, 0, 0);
        self.waiting.clear();
        self.finishes.clear();
        (self.choked, self.crowded_since, self.idle_since) = (None, None, Some(now));
        self.readings = [Reading::default(); 2];
        self.read = (now, self.busy, self.completed);
    }

    /// A new process starts, cold.
    pub fn start(&mut self, now: Nanos) {
        (self.life, self.started, self.clock_at) = (Life::Up, Some(now), now);
    }

    /// Looks whether crowding begins or ends; to be called at each change and once in a while. Returns whether
    /// the rate has changed.
    pub fn look_at_crowd(&mut self, now: Nanos) -> bool {
        let Some(c) = self.build.choke else { return false };
        let waiting = self.wants_core().saturating_sub(self.build.cores as usize) as f64;
        if let Some(since) = self.choked {
            // "Mostly idle": no core is wanted for more than the stated share. The waiting line stands in for
            // the utilisation of the moment, over the time that it has been so.
            let idle = (self.running as f64 / self.build.cores) < c.below.max(1e-9);
            self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
            let rested = self.idle_since.is_some_and(|at| now.saturating_sub(at) >= c.rest);
            if rested || now.saturating_sub(since) >= c.most {
                self.advance(now);
                (self.choked, self.crowded_since, self.idle_since) = (None, None, None);
                return true;
            }
            return false;
        }
        if waiting <= c.waiting * self.build.cores {
            self.crowded_since = None;
            return false;
        }
        let since = *self.crowded_since.get_or_insert(now);
        if now.saturating_sub(since) >= c.over {
            self.advance(now);
            (self.choked, self.idle_since) = (Some(now), None);
            return true;
        }
        false
    }

    /// When crowding should be looked at again.
    pub fn look_again(&self) -> Option<Nanos> {
        let c = self.build.choke?;
        match (self.choked, self.crowded_since, self.idle_since) {
            (Some(since), _, Some(idle)) => Some((idle + c.rest).min(since + c.most)),
            (Some(since), ..) => Some(since + c.most),
            (None, Some(since), _) => Some(since + c.over),
            _ => None,
        }
    }

    /// The report that goes out with an answer: made anew once in a period, handed out after a delay.
    pub fn report(
        &mut self,
        now: Nanos,
        period: Nanos,
        delay: Nanos,
        noise: impl FnMut() -> f64,
    ) -> Reading {
        self.advance(now);
        let (at, busy, completed) = self.read;
        let mut noise = noise;
        if now >= at + period.max(1_000_000) {
            let passed = (now - at) as f64 / 1e9;
            let utilization = ((self.busy - busy) / (passed * self.build.cores) * noise()).clamp(0.0, 1.0);
            let rate = (self.completed - completed) as f64 / passed * noise();
            self.readings = [Reading { at: now, rate, utilization }, self.readings[0]];
            self.read = (now, self.busy, self.completed);
        }
        let [new, old] = self.readings;
        if self.gray {
            // It reports what it would like to be.
            return Reading { at: now, rate: 1.0 / 0.05, utilization: 0.1 };
        }
        if now >= new.at + delay { new } else { old }
    }
}
