//! A model in virtual time of one discovery and all the sidecars that poll it, for any schedule of polls.
//!
//! Discovery serves polls in turn, each for the same time, and turns away with 503 those for which its queue is too long:
//! either at once, or when they have waited too long. It does not learn that a caller has gone, so a poll given up is
//! served for nobody. While it is down polls are refused, or turned away after a while. Other callers send polls at a steady
//! rate and never give up.

use super::*;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// When polls are made and given up, as the crowd asks it.
pub(super) trait Polls {
    fn hold(&self) -> Duration;
    /// From the sending to the answer's last byte.
    fn answer_timeout(&self) -> Duration;
    /// The pause after a poll.
    fn ended(&mut self, outcome: Outcome, took: Duration, random: &mut fastrand::Rng) -> Duration;
}

impl Polls for Schedule {
    fn hold(&self) -> Duration {
        Schedule::hold(self, false)
    }

    fn answer_timeout(&self) -> Duration {
        Schedule::answer_timeout(self, Polls::hold(self), WAY)
    }

    fn ended(&mut self, outcome: Outcome, took: Duration, random: &mut fastrand::Rng) -> Duration {
        match Schedule::ended(self, outcome, took, NEWS_DUE, random.f64()) {
            NextPoll::After(pause) => pause,
            NextPoll::FirstWithin(within) => within,
        }
    }
}

/// Time from a sidecar to discovery, and back.
const WAY: Duration = ms(50);
/// When the outage begins and ends.
const DOWN: Duration = ms(15_000);
const BACK: Duration = ms(23_000);
/// How long a model is played.
const END: Duration = ms(45_000);
/// A poll within this time of the last answer goes on a watch (the protocol page).
const GOES_ON: Duration = ms(200);

/// What becomes of a poll during the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Outage {
    /// Its connection is refused.
    Refused,
    /// 503, after so long.
    TurnedAway(Duration),
}

/// What discovery can do, and who else calls it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Discovery {
    /// Polls served a second.
    pub rate: u32,
    /// A poll is turned away after so long in the queue, or where the queue is as long when it comes.
    pub queue_limit: Duration,
    /// Whether that is seen when it comes.
    pub rejects_at_once: bool,
    /// The part of a service that turning away costs.
    pub turning_away_costs: f64,
    /// Polls of other callers, as a part of the rate.
    pub others: f64,
    /// What becomes of a poll during the outage.
    pub outage: Outage,
    /// Whether a poll within 200 ms of the last answer is a service of its own, or goes on a watch for nothing.
    pub continued_counts: bool,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Figures {
    /// Share of sidecars that have the list within `NEWS_DUE` of the return.
    pub in_time: f64,
    /// Of the time that discovery worked on polls while sidecars lacked the list (`NEWS_DUE` at the most), the part that
    /// went into answers that were received.
    pub goodput: f64,
    /// When the last sidecar had the list, after the return.
    pub last: Option<Duration>,
    /// The most polls of sidecars in a second, and in 100 ms, from the beginning of the outage on.
    pub most_in_a_second: usize,
    pub most_in_100_ms: usize,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A sidecar polls.
    Begin { caller: usize },
    /// A poll arrives at discovery.
    Arrive { caller: usize, poll: u64, continued: bool },
    /// Discovery has worked off what it had in hand.
    Free,
    /// A poll ended at the caller; stale ones are passed over.
    End { caller: usize, poll: u64, heard: Heard },
}

/// What a caller hears of a poll at its end.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Heard {
    Answer,
    TurnedAway,
    Refused,
    Nothing,
}

/// A play under way. Other callers stand for one caller beyond the sidecars.
struct Crowd<P> {
    terms: Discovery,
    sidecars: Vec<Sidecar<P>>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    count: u64,
    queue: VecDeque<(Duration, usize, u64)>,
    busy: bool,
    /// Work for polls rejected at once that is still to be done.
    rejected_work: Duration,
    random: fastrand::Rng,
    /// What discovery worked on: when, how long, and whether for an answer that was taken.
    work: Vec<(Duration, Duration, bool)>,
    begun: Vec<Duration>,
}

struct Sidecar<P> {
    schedule: P,
    poll: u64,
    began: Duration,
    waits: bool,
    last_answer: Option<Duration>,
    had: Option<Duration>,
    /// Index into `work` of the service in its answer.
    served: Option<usize>,
}

/// Plays an outage for so many sidecars.
pub(super) fn play<P: Polls>(
    size: usize,
    terms: Discovery,
    seed: u64,
    schedule: impl Fn(&mut fastrand::Rng) -> P,
) -> Figures {
    let mut random = fastrand::Rng::with_seed(seed);
    let new = |_| Sidecar {
        schedule: schedule(&mut random),
        poll: 0,
        began: Duration::ZERO,
        waits: false,
        last_answer: None,
        had: None,
        served: None,
    };
    let sidecars: Vec<_> = (0..size).map(new).collect();
    let mut crowd = Crowd {
        terms,
        sidecars,
        events: BinaryHeap::new(),
        count: 0,
        queue: VecDeque::new(),
        busy: false,
        rejected_work: Duration::ZERO,
        random,
        work: Vec::new(),
        begun: Vec::new(),
    };
    crowd.start();
    while let Some(Reverse((now, _, event))) = crowd.events.pop()
        && now < END
    {
        crowd.step(now, event);
    }
    crowd.figures()
}

impl<P: Polls> Crowd<P> {
    /// Watches of all sidecars are open and break together; others call all the time from the return on.
    fn start(&mut self) {
        for caller in 0..self.sidecars.len() {
            let phase = HOLD.mul_f64(self.random.f64());
            self.sidecars[caller].began = DOWN - phase;
            self.sidecars[caller].waits = true;
            self.at(DOWN, Event::End { caller, poll: 0, heard: Heard::TurnedAway });
        }
        let others = f64::from(self.terms.rate) * self.terms.others;
        let count = (others * (END - BACK).as_secs_f64()) as u32;
        for n in 0..count {
            let at = BACK + Duration::from_secs_f64((f64::from(n) + self.random.f64()) / others);
            self.at(at, Event::Arrive { caller: self.sidecars.len(), poll: 0, continued: false });
        }
    }

    fn at(&mut self, when: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((when, self.count, event)));
    }

    fn step(&mut self, now: Duration, event: Event) {
        match event {
            Event::Begin { caller } => self.begin(now, caller),
            Event::Arrive { caller, poll, continued } => self.arrive(now, caller, poll, continued),
            Event::Free => {
                self.busy = false;
                self.serve(now);
            }
            Event::End { caller, poll, heard } => self.end(now, caller, poll, heard),
        }
    }

    fn begin(&mut self, now: Duration, caller: usize) {
        let sidecar = &mut self.sidecars[caller];
        sidecar.poll += 1;
        sidecar.began = now;
        sidecar.waits = !sidecar.schedule.hold().is_zero();
        let poll = sidecar.poll;
        let given_up = now + sidecar.schedule.answer_timeout();
        let continued = sidecar.last_answer.is_some_and(|last| now <= last + GOES_ON);
        if !continued {
            self.begun.push(now);
        }
        self.at(now + WAY, Event::Arrive { caller, poll, continued });
        self.at(given_up, Event::End { caller, poll, heard: Heard::Nothing });
    }

    fn arrive(&mut self, now: Duration, caller: usize, poll: u64, continued: bool) {
        if now < BACK {
            let (after, heard) = match self.terms.outage {
                Outage::Refused => (Duration::ZERO, Heard::Refused),
                Outage::TurnedAway(after) => (after, Heard::TurnedAway),
            };
            self.at(now + after + WAY, Event::End { caller, poll, heard });
        } else if continued && !self.terms.continued_counts {
            // Goes on waiting, for nothing that is of account here.
        } else if self.terms.rejects_at_once && self.queue_time() > self.terms.queue_limit {
            self.rejected_work += self.service().mul_f64(self.terms.turning_away_costs);
            if caller < self.sidecars.len() {
                self.at(now + WAY, Event::End { caller, poll, heard: Heard::TurnedAway });
            }
        } else {
            self.queue.push_back((now, caller, poll));
            self.serve(now);
        }
    }

    fn service(&self) -> Duration {
        Duration::from_secs(1) / self.terms.rate
    }

    /// How long the polls in the queue take.
    fn queue_time(&self) -> Duration {
        self.service() * self.queue.len() as u32
    }

    /// Takes the next poll in turn. What was rejected at once meanwhile comes first.
    fn serve(&mut self, now: Duration) {
        while !self.busy
            && let Some((arrived, caller, poll)) = self.queue.pop_front()
        {
            let served = now - arrived <= self.terms.queue_limit || self.terms.rejects_at_once;
            let useful = if served { self.service() } else { Duration::ZERO };
            let wasted = self.service().mul_f64(if served { 0.0 } else { self.terms.turning_away_costs })
                + std::mem::take(&mut self.rejected_work);
            let takes = useful + wasted;
            self.work.push((now, wasted, false));
            self.work.push((now, useful, caller == self.sidecars.len()));
            self.busy = true;
            self.at(now + takes, Event::Free);
            if let Some(sidecar) = self.sidecars.get_mut(caller) {
                if served && sidecar.poll == poll {
                    sidecar.served = Some(self.work.len() - 1);
                }
                let heard = if served { Heard::Answer } else { Heard::TurnedAway };
                self.at(now + takes + WAY, Event::End { caller, poll, heard });
            }
        }
    }

    fn end(&mut self, now: Duration, caller: usize, poll: u64, heard: Heard) {
        let sidecar = &mut self.sidecars[caller];
        if sidecar.poll != poll {
            return;
        }
        let took = now - sidecar.began;
        let answered = heard == Heard::Answer;
        let outcome = match heard {
            Heard::Answer => Outcome::Answered { early: false },
            Heard::TurnedAway => Outcome::TurnedAway,
            Heard::Refused => Outcome::Failed,
            Heard::Nothing => Outcome::Silent { waits: sidecar.waits },
        };
        sidecar.poll += 1;
        let had = sidecar.had.is_some();
        if answered {
            sidecar.had.get_or_insert(now);
            sidecar.last_answer = Some(now);
            let served = sidecar.served.take();
            served.into_iter().for_each(|at| self.work[at].2 = true);
        }
        if answered && had && sidecar.waits {
            // Its watch is open for the rest of the play.
            return;
        }
        let pause = sidecar.schedule.ended(outcome, took, &mut self.random);
        self.at(now + pause, Event::Begin { caller });
    }

    fn figures(&self) -> Figures {
        let size = self.sidecars.len();
        let had: Vec<_> = self.sidecars.iter().filter_map(|s| s.had).collect();
        let in_time = had.iter().filter(|had| **had <= BACK + NEWS_DUE).count() as f64 / size as f64;
        let last = (had.len() == size).then(|| had.iter().max().copied().unwrap_or_default() - BACK);
        let until = last.map_or(NEWS_DUE, |last| last.min(NEWS_DUE));
        let within = || self.work.iter().filter(|w| w.0 < BACK + until);
        let all: f64 = within().map(|w| w.1.as_secs_f64()).sum();
        let useful: f64 = within().filter(|w| w.2).map(|w| w.1.as_secs_f64()).sum();
        Figures {
            in_time,
            goodput: useful / all.max(f64::MIN_POSITIVE),
            last,
            most_in_a_second: self.most_within(ms(1000)),
            most_in_100_ms: self.most_within(ms(100)),
        }
    }

    /// The most polls begun within such a span, watches that go on left out.
    fn most_within(&self, span: Duration) -> usize {
        let from = |n: usize| self.begun[n..].partition_point(|at| *at < self.begun[n] + span);
        (0..self.begun.len()).map(from).max().unwrap_or(0)
    }
}
