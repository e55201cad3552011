//! One emulated endpoint: cores shared by the requests in service, slots, a queue, slow start,
//! crowding.
//! Requests in service share the cores evenly (processor sharing). With `n` of them running, each
//! gets `min(1, cores / n)` of a core; with as many slots as cores that is first come, first
//! served. The state keeps one *service clock* that advances at the service rate of each running
//! request: a request with work `w` is done when the clock has advanced by `w` since it began. A
//! change of rate therefore costs nothing per request.

use super::JobKey;
pub use super::spec::{CrowdingSpec, EndpointSpec};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// Nanoseconds since the start of the run.
pub type Nanos = u64;

/// The state of an endpoint's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process accepts work.
    Up,
    /// The process finishes what it has and rejects new work.
    Draining,
    /// The process has ended; connections are refused.
    Down,
    /// The machine is gone; connections stay silent.
    Vanished,
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot.
    InService,
    /// The request waits for a slot.
    Queued,
    /// The request is rejected without being processed.
    Full,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// When it was made.
    pub at: Nanos,
    /// Completions per second.
    pub rate: f64,
    /// Utilization of the cores.
    pub utilization: f64,
}

/// An emulated endpoint.
#[derive(Debug)]
pub struct EmulatedEndpoint {
    /// Its properties.
    pub spec: EndpointSpec,
    /// The state of its process.
    pub process_state: ProcessState,
    /// When its process last started; `None` for long ago.
    pub started: Option<Nanos>,
    /// Number of the current process: events and connections of earlier ones are ignored.
    pub process: u32,
    /// Factor by which it is slower because of troubles, its own and shared ones.
    pub slowdown: f64,
    /// Share of requests that fail at once.
    pub error_share: f64,
    /// It accepts work, finishes none, and reports low load.
    pub gray: bool,
    /// Open connections.
    pub open_connections: usize,
    /// Since when it is slowed by crowding.
    pub slowed_since: Option<Nanos>,
    crowded_since: Option<Nanos>,
    idle_since: Option<Nanos>,
    /// Requests that run on the cores.
    running: usize,
    /// Requests that hold a slot, including those that wait for a call to the next tier.
    occupied_slots: usize,
    waiting: VecDeque<JobKey>,
    service_clock: f64,
    service_clock_at: Nanos,
    /// The service rate of each running request since the last rescheduling.
    service_rate: f64,
    completions: BinaryHeap<Reverse<(u64, JobKey)>>,
    /// Counts the reschedulings of the next completion: an event of an earlier schedule is ignored.
    pub schedule_version: u32,
    /// Core seconds in use since the start of the run.
    pub busy_core_seconds: f64,
    /// Requests completed since the start of the run.
    pub completed: u64,
    /// Work done since the start of the run, in seconds of a core of speed 1.
    pub worked: f64,
    readings: [Reading; 2],
    last_reading: (Nanos, f64, u64),
}

impl EmulatedEndpoint {
    /// An idle endpoint.
    pub fn new(spec: EndpointSpec, started: Option<Nanos>, now: Nanos) -> EmulatedEndpoint {
        EmulatedEndpoint {
            spec,
            process_state: ProcessState::Up,
            started,
            process: 0,
            slowdown: 1.0,
            error_share: 0.0,
            gray: false,
            open_connections: 0,
            slowed_since: None,
            crowded_since: None,
            idle_since: Some(now),
            running: 0,
            occupied_slots: 0,
            waiting: VecDeque::new(),
            service_clock: 0.0,
            service_clock_at: now,
            service_rate: 0.0,
            completions: BinaryHeap::new(),
            schedule_version: 0,
            busy_core_seconds: 0.0,
            completed: 0,
            worked: 0.0,
            readings: [Reading::default(); 2],
            last_reading: (now, 0.0, 0),
        }
    }

    /// The share of its full capacity that it has at a time, considering only slow start.
    pub fn warmth(&self, now: Nanos) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = now.saturating_sub(started) as f64 / 1e9;
        if age >= self.spec.cold_for {
            return 1.0;
        }
        self.spec.cold_from + (1.0 - self.spec.cold_from) * age / self.spec.cold_for
    }

    /// Work per second that it can do now, all cores together, in seconds of a core of speed 1.
    pub fn capacity(&self, now: Nanos) -> f64 {
        let b = &self.spec;
        let crowd = (self.occupied_slots as f64 / b.cores - b.thrash_at).max(0.0);
        let table = self.open_connections as f64 / b.connections.max(1) as f64;
        let choke = match (self.slowed_since, &b.choke) {
            (Some(_), Some(c)) => c.slowdown,
            _ => 1.0,
        };
        let gray = if self.gray { 1e-6 } else { 1.0 };
        b.cores * b.speed * self.warmth(now) * gray * (1.0 - b.full_tax * table.min(1.0))
            / ((1.0 + b.thrash * crowd) * self.slowdown * choke)
    }

    /// Work per second that it could do now if only slow start reduced its capacity. The rule on
    /// cold endpoints is measured against it.
    pub fn undisturbed_capacity(&self, now: Nanos) -> f64 {
        self.spec.cores * self.spec.speed * self.warmth(now)
    }

    /// Requests in service or queued.
    pub fn occupancy(&self) -> usize {
        self.occupied_slots + self.waiting.len()
    }

    /// Requests that run or wait for a core.
    pub fn runnable(&self) -> usize {
        self.running + self.waiting.len()
    }

    /// The service rate of each running request.
    fn rate(&self, now: Nanos) -> f64 {
        self.capacity(now) / self.spec.cores * (self.spec.cores / self.running.max(1) as f64).min(1.0)
    }

    /// Advances the service clock to a time, at the rate of the last rescheduling. What changes the
    /// rate in between (warm-up, connections) takes effect with the next rescheduling.
    pub fn advance(&mut self, now: Nanos) {
        let passed = now.saturating_sub(self.service_clock_at) as f64 / 1e9;
        if self.running > 0 && passed > 0.0 {
            self.service_clock += self.service_rate * passed;
            self.worked += self.service_rate * passed * self.running as f64;
            self.busy_core_seconds += passed * self.spec.cores.min(self.running as f64);
        }
        self.service_clock_at = now;
    }

    /// When the next running request is done if nothing changes. `is_running` tells whether a job
    /// still runs.
    pub fn next_completion(&mut self, is_running: impl Fn(JobKey) -> bool) -> Option<Nanos> {
        self.service_rate = self.rate(self.service_clock_at);
        while let Some(&Reverse((at, job))) = self.completions.peek() {
            if is_running(job) {
                let left = (f64::from_bits(at) - self.service_clock).max(0.0);
                let wait = left / self.service_rate * 1e9;
                // Rounded up, so that the request is done by then; less than a thousandth of a
                // nanosecond is rounding error.
                return Some(
                    self.service_clock_at.saturating_add((wait - 1e-3).ceil().clamp(0.0, 1e18) as u64),
                );
            }
            self.completions.pop();
        }
        None
    }

    /// A running request that is done by now, removed from the cores but not from its slot.
    pub fn take_finished(&mut self, now: Nanos, is_running: impl Fn(JobKey) -> bool) -> Option<JobKey> {
        self.advance(now);
        while let Some(&Reverse((at, job))) = self.completions.peek() {
            if !is_running(job) {
                self.completions.pop();
                continue;
            }
            // A clock of seconds in double precision is exact to well below a nanosecond of work.
            if f64::from_bits(at) > self.service_clock + 1e-9 * self.service_rate {
                return None;
            }
            self.completions.pop();
            self.running -= 1;
            // Times are whole nanoseconds: what the cores did for the request beyond its end is not
            // counted as work.
            self.worked -= self.service_clock - f64::from_bits(at);
            self.service_rate = self.rate(now);
            return Some(job);
        }
        None
    }

    /// Starts a request that holds a slot, with this much work (seconds of a core of speed 1).
    /// Returns the reading of the service clock at which it is done.
    pub fn run(&mut self, now: Nanos, job: JobKey, work: f64) -> f64 {
        self.advance(now);
        self.running += 1;
        let done = self.service_clock + work.max(0.0);
        self.completions.push(Reverse((done.to_bits(), job)));
        self.service_rate = self.rate(now);
        done
    }

    /// The remaining work of a running request, given the reading at which it is done.
    pub fn remaining_work(&self, done: f64) -> f64 {
        (done - self.service_clock).max(0.0)
    }

    /// Removes a running request from the cores before it is done. `is_running` must be false for
    /// its key from now on.
    pub fn remove_running(&mut self, now: Nanos) {
        self.advance(now);
        self.running = self.running.saturating_sub(1);
        self.service_rate = self.rate(now);
    }

    /// Admits a request to a slot or the queue, or rejects it.
    pub fn admit(&mut self, job: JobKey) -> Admission {
        if self.occupied_slots < self.spec.slots {
            self.occupied_slots += 1;
            Admission::InService
        } else if self.waiting.len() < self.spec.queue_capacity {
            self.waiting.push_back(job);
            Admission::Queued
        } else {
            Admission::Full
        }
    }

    /// Releases a slot; the request that has queued longest takes it.
    pub fn release_slot(&mut self) -> Option<JobKey> {
        match self.waiting.pop_front() {
            Some(next) => Some(next),
            None => {
                self.occupied_slots = self.occupied_slots.saturating_sub(1);
                None
            }
        }
    }

    /// Removes a request from the queue.
    pub fn remove_queued(&mut self, job: JobKey) {
        self.waiting.retain(|&other| other != job);
    }

    /// Ends the process and discards all that it held.
    pub fn stop_process(&mut self, now: Nanos, process_state: ProcessState) {
        self.advance(now);
        self.process_state = process_state;
        self.process += 1;
        self.schedule_version += 1;
        (self.running, self.occupied_slots, self.open_connections) = (0, 0, 0);
        self.waiting.clear();
        self.completions.clear();
        (self.slowed_since, self.crowded_since, self.idle_since) = (None, None, Some(now));
        self.readings = [Reading::default(); 2];
        self.last_reading = (now, self.busy_core_seconds, self.completed);
    }

    /// Starts a new process, cold.
    pub fn start_process(&mut self, now: Nanos) {
        (self.process_state, self.started, self.service_clock_at) = (ProcessState::Up, Some(now), now);
    }

    /// Checks whether crowding begins or ends; must be called at each change and at
    /// [`Self::next_crowding_check`]. Returns whether the rate has changed.
    pub fn check_crowding(&mut self, now: Nanos) -> bool {
        let Some(c) = self.spec.choke else { return false };
        let waiting = self.runnable().saturating_sub(self.spec.cores as usize) as f64;
        if let Some(since) = self.slowed_since {
            // "Mostly idle" means that no more than the stated share of the cores is in use. The
            // number of running requests stands in for the current utilization, over the time that
            // it has been low.
            let idle = (self.running as f64 / self.spec.cores) < c.idle_utilization.max(1e-9);
            self.idle_since = if idle { self.idle_since.or(Some(now)) } else { None };
            let rested = self.idle_since.is_some_and(|at| now.saturating_sub(at) >= c.idle_time);
            if rested || now.saturating_sub(since) >= c.max_duration {
                self.advance(now);
                (self.slowed_since, self.crowded_since, self.idle_since) = (None, None, None);
                return true;
            }
            return false;
        }
        if waiting <= c.queue_per_core * self.spec.cores {
            self.crowded_since = None;
            return false;
        }
        let since = *self.crowded_since.get_or_insert(now);
        if now.saturating_sub(since) >= c.begins_after {
            self.advance(now);
            (self.slowed_since, self.idle_since) = (Some(now), None);
            return true;
        }
        false
    }

    /// When crowding must be checked again.
    pub fn next_crowding_check(&self) -> Option<Nanos> {
        let c = self.spec.choke?;
        match (self.slowed_since, self.crowded_since, self.idle_since) {
            (Some(since), _, Some(idle)) => Some((idle + c.idle_time).min(since + c.max_duration)),
            (Some(since), ..) => Some(since + c.max_duration),
            (None, Some(since), _) => Some(since + c.begins_after),
            _ => None,
        }
    }

    /// The load report sent with an answer: made anew once per period and handed out after a delay.
    pub fn report(
        &mut self,
        now: Nanos,
        period: Nanos,
        delay: Nanos,
        noise: impl FnMut() -> f64,
    ) -> Reading {
        self.advance(now);
        let (at, busy_core_seconds, completed) = self.last_reading;
        let mut noise = noise;
        if now >= at + period.max(1_000_000) {
            let passed = (now - at) as f64 / 1e9;
            let utilization = ((self.busy_core_seconds - busy_core_seconds) / (passed * self.spec.cores)
                * noise())
            .clamp(0.0, 1.0);
            let rate = (self.completed - completed) as f64 / passed * noise();
            self.readings = [Reading { at: now, rate, utilization }, self.readings[0]];
            self.last_reading = (now, self.busy_core_seconds, self.completed);
        }
        let [new, old] = self.readings;
        if self.gray {
            // A gray endpoint reports low load whatever its state.
            return Reading { at: now, rate: 1.0 / 0.05, utilization: 0.1 };
        }
        if now >= new.at + delay { new } else { old }
    }
}
