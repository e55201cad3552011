//! The endpoint list: discovery, polled first at a drawn moment (an agent's list: at once), then watched for
//! as long as the watch holds. When each poll is made and given up stands in `schedule`.

mod answer;
mod evidence;
mod poll;
mod schedule;
mod superseded;

pub use answer::{Answer, Names};

use crate::servers::Servers;
use async_channel::Receiver;
use async_io::Timer;
use cottonpoint_core::{EndpointRecord, PollEvent, Sidecar};
use cottonpoint_decide::*;
use evidence::evidence;
use futures_lite::future;
use poll::{Connection, End, Failure, Poll, Request, Response};
use schedule::{NextPoll, Outcome, Schedule};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use superseded::Superseded;

/// The first poll of a process is made within this part of the settings' time for asking, if that is sooner.
const FIRST_OF_ASKING: f64 = 0.36;
/// Where discovery is, and how it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is an agent that lists are pushed to (the settings' `discovery`): what that holds counts as told at
    /// once, so it is polled without the balancer's word.
    pub pushed: bool,
}

/// The next place of discovery; never, once there is nobody to name one.
async fn next_place(moved: &Receiver<Place>) -> Place {
    match moved.recv().await {
        Ok(place) => place,
        Err(_) => future::pending().await,
    }
}

/// Follows discovery for a sidecar.
pub struct Watcher {
    /// Whom to tell.
    pub sidecar: Rc<Sidecar>,
    /// Whose connections to targets that want nothing new are closed.
    pub servers: Rc<Servers>,
    /// Where discovery is.
    pub discovery: Place,
    /// How the list names things.
    pub names: Names,
    /// The version last told; `None` before any.
    pub generation: Option<u64>,
    /// Where discovery is from now on, whenever that changes.
    pub moved: Receiver<Place>,
    /// Draws the moments of polls.
    pub random: fastrand::Rng,
}

/// What came first: the end of a poll, or a change of what is to be polled.
enum Step {
    Ended(End),
    /// A poll of the place before has ended.
    SupersededEnded(End),
    Moved(Place),
    /// Nobody is left to poll for.
    Over,
}

/// What discovery answered, and whether early (see `schedule`).
struct News {
    kind: ListKind,
    listed: Vec<EndpointRecord>,
    early: bool,
}

/// The failure last logged of an outage: one that lasts is logged once; the log bounds the rate of those that change.
#[derive(Default)]
struct LastLogged(Option<String>);

impl LastLogged {
    /// Whether this failure is another one than the last.
    fn changes_to(&mut self, failure: &str) -> bool {
        self.0.replace(failure.to_owned()).as_deref() != Some(failure)
    }

    /// Whether an outage ends here.
    fn ends(&mut self) -> bool {
        self.0.take().is_some()
    }
}

/// How far the polls of one discovery have come.
struct Polling {
    schedule: Schedule,
    /// When the next poll is made.
    due: Instant,
    /// The connection of the poll before, if it may be used again.
    kept: Option<Connection>,
    under_way: Option<Poll>,
}

impl Polling {
    fn new((schedule, next): (Schedule, NextPoll)) -> Polling {
        Polling { schedule, due: Instant::now() + next.pause(), kept: None, under_way: None }
    }
}

impl Watcher {
    /// Makes one poll after the other, each when its schedule says, until the balancer is gone that subscribes. Where
    /// discovery moves to is polled soon: the old place closes its connections, and what the new one has to tell counts
    /// as told soon.
    pub async fn run(mut self, subscribed: Receiver<()>) {
        let mut last_logged = LastLogged::default();
        let mut polling = Polling::new(self.first_poll());
        let mut superseded = Superseded::default();
        let moved = self.moved.clone();
        loop {
            let moves = async { Step::Moved(next_place(&moved).await) };
            let before = async { Step::SupersededEnded(superseded.next().await) };
            let poll = self.poll(&mut polling, &subscribed);
            match future::or(moves, future::or(before, poll)).await {
                Step::Ended(end) => {
                    if self.ended(end, &mut polling, &mut last_logged) {
                        superseded.drop_all();
                    }
                }
                Step::SupersededEnded(end) => self.take_superseded(end),
                Step::Moved(place) => {
                    polling.under_way.take().into_iter().for_each(|poll| superseded.keep(poll));
                    polling = Polling::new(self.move_to(place));
                }
                Step::Over => return,
            }
            while subscribed.try_recv().is_ok() {}
        }
    }

    /// The first poll of a process.
    fn first_poll(&mut self) -> (Schedule, NextPoll) {
        let (schedule, next) = Schedule::new(self.discovery.pushed);
        let NextPoll::FirstWithin(within) = next else { return (schedule, next) };
        let asked = self.sidecar.ask_within().map(|ask| ask.mul_f64(FIRST_OF_ASKING));
        let within = asked.map_or(within, |asked| within.min(asked));
        (schedule, NextPoll::After(within.mul_f64(self.random.f64())))
    }

    /// Makes the next poll when it is due, or goes on with the one under way. It may be dropped and called again.
    async fn poll(&mut self, polling: &mut Polling, subscribed: &Receiver<()>) -> Step {
        if polling.under_way.is_none() {
            if polling.due > Instant::now() {
                Timer::at(polling.due).await;
            }
            if subscribed.is_closed() {
                return Step::Over;
            }
        }
        let poll =
            polling.under_way.get_or_insert_with(|| self.begin(&polling.schedule, polling.kept.take()));
        let end = poll.await;
        polling.under_way = None;
        Step::Ended(end)
    }

    /// Begins a poll, on the connection that was kept, if any.
    fn begin(&mut self, schedule: &Schedule, kept: Option<Connection>) -> Poll {
        let hold = schedule.hold(self.generation.is_none());
        self.sidecar.record_poll(PollEvent::Started { hold });
        let request = Request {
            address: self.discovery.address,
            generation: self.generation,
            hold,
            schedule: schedule.clone(),
            sidecar: self.sidecar.clone(),
            random: self.random.fork(),
        };
        Poll::begin(request, kept)
    }

    /// Takes what came of a poll, and sets when the next one is made. Whether it was answered.
    fn ended(&mut self, end: End, polling: &mut Polling, last_logged: &mut LastLogged) -> bool {
        let End { result, took, hold, asked_from } = end;
        let news = result.and_then(|Response { body, connection }| {
            let news = self.read(&body, asked_from, took < hold)?;
            polling.kept = connection;
            Ok(news)
        });
        let answered = news.is_ok();
        let next = match news {
            Ok(news) => {
                if last_logged.ends() {
                    tracing::info!("discovery answers again");
                }
                let early = news.early;
                self.take(news, took);
                self.next_poll(&mut polling.schedule, Outcome::Answered { early }, took)
            }
            Err(failure) => self.failed(&failure, took, &mut polling.schedule, last_logged),
        };
        polling.due = Instant::now() + next.pause();
        answered
    }

    /// Takes note of a poll that came to nothing, and says when the next one is made.
    fn failed(
        &mut self,
        Failure { outcome, why }: &Failure,
        took: Duration,
        schedule: &mut Schedule,
        last_logged: &mut LastLogged,
    ) -> NextPoll {
        self.sidecar.record_poll(evidence(*outcome, took));
        self.sidecar.counts().poll_failed(outcome.name());
        let is_new = last_logged.changes_to(&why.to_string());
        if *outcome == Outcome::NotMade {
            if is_new {
                tracing::warn!(failure = %why, "this process could not ask discovery");
            }
        } else {
            if is_new {
                tracing::warn!(failure = %why, "discovery failed, the old list holds");
            }
            self.sidecar.list_failed();
        }
        let next = self.next_poll(schedule, *outcome, took);
        self.log_failure(why, *outcome, took, next);
        next
    }

    /// When the next poll is made, after one that took so long and ended so.
    fn next_poll(&mut self, schedule: &mut Schedule, outcome: Outcome, took: Duration) -> NextPoll {
        let (_, lease_left) = self.sidecar.list_age();
        schedule.ended(outcome, took, lease_left, self.random.f64())
    }

    fn log_failure(&self, why: &io::Error, outcome: Outcome, took: Duration, next: NextPoll) {
        let (age, lease_left) = self.sidecar.list_age();
        tracing::debug!(
            failure = %why,
            ?outcome,
            took_ms = took.as_millis() as u64,
            list_age_ms = age.map(|age| age.as_millis() as u64),
            lease_left_ms = lease_left.as_millis() as u64,
            ?next,
            "discovery failed"
        );
    }

    /// Hands on what discovery answered to a poll that took so long.
    fn take(&self, News { kind, listed, .. }: News, took: Duration) {
        let (generation, lines) = (self.generation, listed.len());
        if lines > 0 {
            tracing::info!(generation, lines, ?kind, took_ms = took.as_millis() as u64, "discovery told");
        }
        let begun = self.sidecar.clock().now() - took;
        self.sidecar.apply_answer(kind, &listed, begun);
        self.servers.keep_only(|target| self.sidecar.takes_work(target));
    }

    /// Discovery is there from now on. It is one service (the protocol page), so its versions go on, and a watch brings what
    /// was missed at a fraction of the cost of the whole list; should they be others, the short first one shows it. The
    /// place held is named again where its list is wanted at once.
    fn move_to(&mut self, place: Place) -> (Schedule, NextPoll) {
        self.sidecar.record_poll(PollEvent::DiscoveryChanged);
        if std::mem::replace(&mut self.discovery, place) == place {
            Schedule::at_once(place.pushed)
        } else {
            Schedule::moved(place.pushed, self.random.f64())
        }
    }

    /// Reads the answer to a poll from that version, which came before the poll's wait was over, or not.
    fn read(
        &mut self,
        body: &[u8],
        asked_from: Option<u64>,
        before_wait_was_over: bool,
    ) -> Result<News, Failure> {
        let unusable = |why| Failure { outcome: Outcome::Unusable, why };
        let (answer, (kind, listed)) = self.parsed(body).map_err(unusable)?;
        if self.generation != asked_from && self.generation.is_some_and(|held| answer.generation < held) {
            // A superseded poll has brought a newer list meanwhile.
            return Ok(News { kind: ListKind::Delta, listed: Vec::new(), early: before_wait_was_over });
        }
        if !answer.reset && self.generation.is_some_and(|held| answer.generation < held) {
            // What else has passed is not known: the whole list is polled for next.
            self.generation = None;
            return Err(unusable(io::Error::other("a change to an older list than the one held")));
        }
        let fresh = self.generation != Some(answer.generation);
        let is_news = fresh && (answer.reset || !listed.is_empty());
        self.generation = Some(answer.generation);
        Ok(News { kind, listed, early: !is_news && before_wait_was_over })
    }

    /// Takes what discovery answered to a poll that a reload has superseded, if it is newer than what is held. The lease goes
    /// by the new place alone.
    fn take_superseded(&mut self, end: End) {
        let Ok(Response { body, .. }) = end.result else { return };
        let Ok((answer, (kind, listed))) = self.parsed(&body) else { return };
        if self.generation.is_none_or(|held| answer.generation <= held) {
            return;
        }
        let (generation, lines) = (answer.generation, listed.len());
        tracing::info!(generation, lines, ?kind, "discovery told, at the place before");
        self.generation = Some(generation);
        self.sidecar.apply_list(kind, &listed);
        self.servers.keep_only(|target| self.sidecar.takes_work(target));
    }

    /// An answer in the core's terms; one by which the list held would be lost is refused.
    fn parsed(&self, body: &[u8]) -> io::Result<(Answer, (ListKind, Vec<EndpointRecord>))> {
        let answer: Answer = serde_json::from_slice(body)?;
        let listed = answer.listed(&self.names).map_err(io::Error::other)?;
        if answer.reset && listed.1.is_empty() && self.sidecar.has_endpoints() {
            return Err(io::Error::other("an empty list in place of one with targets"));
        }
        Ok((answer, listed))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: later reasons of an outage that nobody reads of, and a line for each failure of it.
    #[test]
    fn each_reason_of_an_outage_is_logged_once() {
        let mut last = LastLogged::default();
        let lines = ["refused", "refused", "silent", "silent", "refused"].map(|why| last.changes_to(why));
        assert_eq!(lines, [true, false, true, false, true]);
        assert!(last.ends() && !last.ends());
        assert!(last.changes_to("refused"), "another outage");
    }
}
