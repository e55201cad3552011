//! A simulation, in virtual time, of one discovery and all the sidecars that poll it, for any
//! schedule of polls.
//!
//! Discovery serves polls in order, each for the same time, and rejects with 503 those for which
//! its queue is too long: either at once, or when they have waited too long. It does not notice
//! that a client has closed, so a poll that timed out is served for nobody. During an outage polls
//! are refused, or rejected after a while. Other clients send polls at a steady rate and never time
//! out.

use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// The interface of a poll schedule to the simulation.
pub(super) trait PollSchedule {
    fn hold_time(&self) -> Duration;
    /// The time from the sending to the answer's last byte.
    fn answer_timeout(&self) -> Duration;
    /// Returns the delay after a poll.
    fn poll_ended(&mut self, outcome: PollOutcome, took: Duration, random: &mut fastrand::Rng) -> Duration;
}

impl PollSchedule for Schedule {
    fn hold_time(&self) -> Duration {
        Schedule::hold_time(self, false)
    }

    fn answer_timeout(&self) -> Duration {
        Schedule::answer_timeout(self, PollSchedule::hold_time(self), NETWORK_DELAY)
    }

    fn poll_ended(&mut self, outcome: PollOutcome, took: Duration, random: &mut fastrand::Rng) -> Duration {
        match Schedule::poll_ended(self, outcome, took, UPDATE_DEADLINE, random.f64()) {
            NextPoll::After(delay) => delay,
            NextPoll::FirstWithin(within) => within,
        }
    }
}

/// The network delay from a sidecar to discovery, and back.
const NETWORK_DELAY: Duration = ms(50);
/// The start and the end of the outage.
const OUTAGE_START: Duration = ms(15_000);
const OUTAGE_END: Duration = ms(23_000);
/// The end of the simulation.
const SIMULATION_END: Duration = ms(45_000);
/// A poll within this time of the last answer continues a watch (the protocol specification).
const WATCH_CONTINUES: Duration = ms(200);

/// What happens to a poll during the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Outage {
    /// Its connection is refused.
    Refused,
    /// It is rejected with 503 after this time.
    TurnedAway(Duration),
}

/// The capacity of discovery, its outage and its other clients.
#[derive(Clone, Copy, Debug)]
pub(super) struct DiscoveryModel {
    /// Polls served per second.
    pub rate: u32,
    /// A poll is rejected after this time in the queue, or on arrival where the queue takes as
    /// long.
    pub queue_limit: Duration,
    /// Whether a poll is rejected on arrival.
    pub rejects_on_arrival: bool,
    /// The work of a rejection, as a fraction of the work for a poll that is served.
    pub rejection_cost: f64,
    /// The polls of other clients, as a fraction of the rate.
    pub other_load: f64,
    /// What happens to a poll during the outage.
    pub outage: Outage,
    /// Whether a poll within 200 ms of the last answer costs a service of its own; otherwise it
    /// continues a watch for nothing.
    pub continued_counts: bool,
}

/// The results of a simulation.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct SimulationResults {
    /// The share of sidecars that have the list within `UPDATE_DEADLINE` of the end of the outage.
    pub in_time: f64,
    /// Of the time that discovery worked on polls while sidecars lacked the list (at most
    /// `UPDATE_DEADLINE`), the part that went into answers that were received.
    pub goodput: f64,
    /// When the last sidecar had the list, after the end of the outage.
    pub last: Option<Duration>,
    /// The most polls of sidecars in a second, and in 100 ms, from the start of the outage on.
    pub most_in_a_second: usize,
    pub most_in_100_ms: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A sidecar polls.
    Begin { client: usize },
    /// A poll arrives at discovery.
    Arrive { client: usize, poll: u64, continued: bool },
    /// Discovery has finished its current work.
    Idle,
    /// A poll ended at the client; stale events are ignored.
    Ended { client: usize, poll: u64, response: Response },
}

/// What a client receives at the end of a poll.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Response {
    Answer,
    TurnedAway,
    Refused,
    Nothing,
}

/// The state of a simulation. The index after the last sidecar stands for all other clients.
struct Simulation<P> {
    model: DiscoveryModel,
    sidecars: Vec<Sidecar<P>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    queue: VecDeque<(Duration, usize, u64)>,
    busy: bool,
    /// Outstanding work for polls that were rejected at once.
    rejection_work: Duration,
    random: fastrand::Rng,
    /// What discovery worked on: when, how long, and whether for an answer that was received.
    work: Vec<(Duration, Duration, bool)>,
    started_polls: Vec<Duration>,
}

struct Sidecar<P> {
    schedule: P,
    poll: u64,
    started_at: Duration,
    waits: bool,
    last_answer: Option<Duration>,
    received_at: Option<Duration>,
    /// The index in `work` of the service for its answer.
    served: Option<usize>,
}

/// Simulates an outage for `size` sidecars.
pub(super) fn simulate<P: PollSchedule>(
    size: usize,
    model: DiscoveryModel,
    seed: u64,
    schedule: impl Fn(&mut fastrand::Rng) -> P,
) -> SimulationResults {
    let mut random = fastrand::Rng::with_seed(seed);
    let new = |_| Sidecar {
        schedule: schedule(&mut random),
        poll: 0,
        started_at: Duration::ZERO,
        waits: false,
        last_answer: None,
        received_at: None,
        served: None,
    };
    let sidecars: Vec<_> = (0..size).map(new).collect();
    let mut simulation = Simulation {
        model,
        sidecars,
        events: BinaryHeap::new(),
        count: 0,
        queue: VecDeque::new(),
        busy: false,
        rejection_work: Duration::ZERO,
        random,
        work: Vec::new(),
        started_polls: Vec::new(),
    };
    simulation.start();
    while let Some(Reverse((now, _, event))) = simulation.events.pop()
        && now < SIMULATION_END
    {
        simulation.step(now, event);
    }
    simulation.results()
}

impl<P: PollSchedule> Simulation<P> {
    /// The watches of all sidecars are open and break together; other clients poll from the end of
    /// the outage on.
    fn start(&mut self) {
        for client in 0..self.sidecars.len() {
            let phase = HOLD_TIME.mul_f64(self.random.f64());
            self.sidecars[client].started_at = OUTAGE_START - phase;
            self.sidecars[client].waits = true;
            self.at(OUTAGE_START, Event::Ended { client, poll: 0, response: Response::TurnedAway });
        }
        let other_load = f64::from(self.model.rate) * self.model.other_load;
        let count = (other_load * (SIMULATION_END - OUTAGE_END).as_secs_f64()) as u32;
        for n in 0..count {
            let at = OUTAGE_END + Duration::from_secs_f64((f64::from(n) + self.random.f64()) / other_load);
            self.at(at, Event::Arrive { client: self.sidecars.len(), poll: 0, continued: false });
        }
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((when, self.count, event)));
    }

    fn step(&mut self, now: Duration, event: Event) {
        match event {
            Event::Begin { client } => self.begin(now, client),
            Event::Arrive { client, poll, continued } => self.arrive(now, client, poll, continued),
            Event::Idle => {
                self.busy = false;
                self.serve(now);
            }
            Event::Ended { client, poll, response } => self.end(now, client, poll, response),
        }
    }

    fn begin(&mut self, now: Duration, client: usize) {
        let sidecar = &mut self.sidecars[client];
        sidecar.poll += 1;
        sidecar.started_at = now;
        sidecar.waits = !sidecar.schedule.hold_time().is_zero();
        let poll = sidecar.poll;
        let timeout_at = now + sidecar.schedule.answer_timeout();
        let continued = sidecar.last_answer.is_some_and(|last| now <= last + WATCH_CONTINUES);
        if !continued {
            self.started_polls.push(now);
        }
        self.at(now + NETWORK_DELAY, Event::Arrive { client, poll, continued });
        self.at(timeout_at, Event::Ended { client, poll, response: Response::Nothing });
    }

    fn arrive(&mut self, now: Duration, client: usize, poll: u64, continued: bool) {
        if now < OUTAGE_END {
            let (after, response) = match self.model.outage {
                Outage::Refused => (Duration::ZERO, Response::Refused),
                Outage::TurnedAway(after) => (after, Response::TurnedAway),
            };
            self.at(now + after + NETWORK_DELAY, Event::Ended { client, poll, response });
        } else if continued && !self.model.continued_counts {
            // The poll continues a watch and costs nothing that the simulation counts.
        } else if self.model.rejects_on_arrival && self.queue_time() > self.model.queue_limit {
            self.rejection_work += self.service().mul_f64(self.model.rejection_cost);
            if client < self.sidecars.len() {
                self.at(now + NETWORK_DELAY, Event::Ended { client, poll, response: Response::TurnedAway });
            }
        } else {
            self.queue.push_back((now, client, poll));
            self.serve(now);
        }
    }

    fn service(&self) -> Duration {
        Duration::from_secs(1) / self.model.rate
    }

    /// The time that the polls in the queue take.
    fn queue_time(&self) -> Duration {
        self.service() * self.queue.len() as u32
    }

    /// Serves the next poll in the queue, after the work for polls that were rejected at once.
    fn serve(&mut self, now: Duration) {
        while !self.busy
            && let Some((arrived, client, poll)) = self.queue.pop_front()
        {
            let served = now - arrived <= self.model.queue_limit || self.model.rejects_on_arrival;
            let useful = if served { self.service() } else { Duration::ZERO };
            let wasted = self.service().mul_f64(if served { 0.0 } else { self.model.rejection_cost })
                + std::mem::take(&mut self.rejection_work);
            let service_time = useful + wasted;
            self.work.push((now, wasted, false));
            self.work.push((now, useful, client == self.sidecars.len()));
            self.busy = true;
            self.at(now + service_time, Event::Idle);
            if let Some(sidecar) = self.sidecars.get_mut(client) {
                if served && sidecar.poll == poll {
                    sidecar.served = Some(self.work.len() - 1);
                }
                let response = if served { Response::Answer } else { Response::TurnedAway };
                self.at(now + service_time + NETWORK_DELAY, Event::Ended { client, poll, response });
            }
        }
    }

    fn end(&mut self, now: Duration, client: usize, poll: u64, response: Response) {
        let sidecar = &mut self.sidecars[client];
        if sidecar.poll != poll {
            return;
        }
        let took = now - sidecar.started_at;
        let answered = response == Response::Answer;
        let outcome = match response {
            Response::Answer => PollOutcome::Answered { early: false },
            Response::TurnedAway => PollOutcome::TurnedAway,
            Response::Refused => PollOutcome::Failed,
            Response::Nothing => PollOutcome::Silent { waits: sidecar.waits },
        };
        sidecar.poll += 1;
        let had_list = sidecar.received_at.is_some();
        if answered {
            sidecar.received_at.get_or_insert(now);
            sidecar.last_answer = Some(now);
            let served = sidecar.served.take();
            served.into_iter().for_each(|at| self.work[at].2 = true);
        }
        if answered && had_list && sidecar.waits {
            // Its watch stays open for the rest of the simulation.
            return;
        }
        let delay = sidecar.schedule.poll_ended(outcome, took, &mut self.random);
        self.at(now + delay, Event::Begin { client });
    }

    fn results(&self) -> SimulationResults {
        let size = self.sidecars.len();
        let received: Vec<_> = self.sidecars.iter().filter_map(|s| s.received_at).collect();
        let in_time =
            received.iter().filter(|at| **at <= OUTAGE_END + UPDATE_DEADLINE).count() as f64 / size as f64;
        let last = (received.len() == size)
            .then(|| received.iter().max().copied().unwrap_or_default() - OUTAGE_END);
        let until = last.map_or(UPDATE_DEADLINE, |last| last.min(UPDATE_DEADLINE));
        let within = || self.work.iter().filter(|w| w.0 < OUTAGE_END + until);
        let all: f64 = within().map(|w| w.1.as_secs_f64()).sum();
        let useful: f64 = within().filter(|w| w.2).map(|w| w.1.as_secs_f64()).sum();
        SimulationResults {
            in_time,
            goodput: useful / all.max(f64::MIN_POSITIVE),
            last,
            most_in_a_second: self.most_within(ms(1000)),
            most_in_100_ms: self.most_within(ms(100)),
        }
    }

    /// The most polls that start within such a span, without those that continue a watch.
    fn most_within(&self, span: Duration) -> usize {
        let from =
            |n: usize| self.started_polls[n..].partition_point(|at| *at < self.started_polls[n] + span);
        (0..self.started_polls.len()).map(from).max().unwrap_or(0)
    }
}
