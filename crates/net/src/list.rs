//! The endpoint list: discovery, polled first at a drawn moment (an agent's list: at once), then watched for
//! as long as the watch holds. When each poll is made and given up stands in `schedule`.

mod answer;
mod evidence;
mod schedule;

pub use answer::{Answer, Names};

use crate::servers::Servers;
use crate::within;
use async_channel::Receiver;
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Fault;
use cottonpoint_core::{Listed, PollEvent, Sidecar};
use cottonpoint_decide::*;
use evidence::{connect_outcome, evidence};
use futures_lite::future;
use schedule::{NextPoll, Outcome, Schedule, WHOLE_ANSWER};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

const LIST_LIMIT: usize = 4 << 20;
/// The first poll of a process is made within this part of the settings' time for asking, if that is sooner.
const FIRST_OF_ASKING: f64 = 0.36;
/// Discovery is down, or a poll waited too long in its queue (the protocol page).
const UNAVAILABLE: u16 = 503;

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
    /// A poll has ended, after that time.
    Ended(Result<News, Failure>, Duration),
    Moved(Place),
    /// Nobody is left to poll for.
    Over,
}

/// What discovery answered, and whether early (see `schedule`).
struct News {
    kind: ListKind,
    listed: Vec<Listed>,
    early: bool,
}

/// Why a poll came to nothing.
struct Failure {
    outcome: Outcome,
    why: io::Error,
}

impl Failure {
    /// An answer that could not be read; `silent` stands for one that did not come to its end.
    fn of(fault: Fault, silent: Outcome) -> Failure {
        let outcome = match fault {
            Fault::Broken => Outcome::Failed,
            Fault::Stalled => silent,
            Fault::Malformed(_) | Fault::HeadTooLong | Fault::BodyTooLong => Outcome::Unusable,
        };
        Failure { outcome, why: io::Error::other(fault.to_string()) }
    }
}

impl From<io::Error> for Failure {
    fn from(why: io::Error) -> Failure {
        Failure { outcome: Outcome::Failed, why }
    }
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

struct Connection {
    stream: Async<TcpStream>,
    buffer: Buffer,
}

impl Watcher {
    /// Makes one poll after the other, each when its schedule says, until the balancer is gone that subscribes. Where
    /// discovery moves to is polled soon: the old place closes its connections, and what the new one has to tell counts
    /// as told soon.
    pub async fn run(mut self, subscribed: Receiver<()>) {
        let (mut last_logged, mut connection) = (LastLogged::default(), None);
        let (mut schedule, mut next) = Schedule::new(self.discovery.pushed);
        if let NextPoll::FirstWithin(within) = next {
            let within =
                self.sidecar.ask_within().map_or(within, |ask| within.min(ask.mul_f64(FIRST_OF_ASKING)));
            next = NextPoll::After(within.mul_f64(self.random.f64()));
        }
        let moved = self.moved.clone();
        loop {
            let poll = async {
                if !wait(next, &subscribed).await {
                    return Step::Over;
                }
                let begun = Instant::now();
                let hold = schedule.hold(self.generation.is_none());
                self.sidecar.polled(PollEvent::Begun { hold });
                Step::Ended(self.poll(&schedule, begun, hold, &mut connection).await, begun.elapsed())
            };
            match future::or(async { Step::Moved(next_place(&moved).await) }, poll).await {
                Step::Ended(Ok(news), took) => {
                    if last_logged.ends() {
                        tracing::info!("discovery answers again");
                    }
                    let early = news.early;
                    self.take(news, took);
                    next = self.next_poll(&mut schedule, Outcome::Answered { early }, took);
                }
                Step::Ended(Err(Failure { outcome, why }), took) => {
                    if last_logged.changes_to(&why.to_string()) {
                        tracing::warn!(failure = %why, "discovery failed, the old list holds");
                    }
                    self.sidecar.polled(evidence(outcome, took));
                    self.sidecar.list_failed();
                    next = self.next_poll(&mut schedule, outcome, took);
                    self.log_failure(&why, outcome, took, next);
                }
                Step::Moved(place) => {
                    connection = None;
                    (schedule, next) = self.move_to(place);
                }
                Step::Over => return,
            }
            while subscribed.try_recv().is_ok() {}
        }
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
        self.sidecar.answered(kind, &listed, begun);
        self.servers.keep_only(|target| self.sidecar.takes_work(target));
    }

    /// Discovery is there from now on. It is one service (the protocol page), so its versions go on, and a watch brings what
    /// was missed at a fraction of the cost of the whole list; should they be others, the short first one shows it. The
    /// place held is named again where its list is wanted at once.
    fn move_to(&mut self, place: Place) -> (Schedule, NextPoll) {
        self.sidecar.polled(PollEvent::Moved);
        if std::mem::replace(&mut self.discovery, place) == place {
            Schedule::at_once(place.pushed)
        } else {
            Schedule::moved(place.pushed, self.random.f64())
        }
    }

    /// One poll: for the whole list at first, then for what is newer.
    async fn poll(
        &mut self,
        schedule: &Schedule,
        begun: Instant,
        hold: Duration,
        connection: &mut Option<Connection>,
    ) -> Result<News, Failure> {
        let mut c = match connection.take() {
            Some(c) => c,
            None => connect(self.discovery.address, schedule.connect_timeout()).await?,
        };
        let timeout = schedule.answer_timeout(hold, begun.elapsed());
        let (_, status, body, keep) = self.exchange(&mut c, hold, timeout).await?;
        if status != 200 {
            let outcome = if status == UNAVAILABLE { Outcome::TurnedAway } else { Outcome::Unusable };
            return Err(Failure { outcome, why: io::Error::other(format!("status {status}")) });
        }
        let checked = self.checked(&body);
        let (answer, listed) = checked.map_err(|why| Failure { outcome: Outcome::Unusable, why })?;
        let fresh = self.generation != Some(answer.generation);
        let news = fresh && (answer.reset || !listed.1.is_empty());
        let early = !news && begun.elapsed() < hold;
        self.generation = Some(answer.generation);
        if keep && c.buffer.is_empty() {
            *connection = Some(c);
        }
        Ok(News { kind: listed.0, listed: listed.1, early })
    }

    /// Sends a poll that waits so long for news, and reads the answer.
    async fn exchange(
        &self,
        c: &mut Connection,
        hold: Duration,
        timeout: Duration,
    ) -> Result<crate::Answer, Failure> {
        let address = self.discovery.address;
        let query = self.generation.map(|g| format!("?from={g}&hold_ms={}", hold.as_millis()));
        let query = query.unwrap_or_default();
        tracing::debug!(generation = self.generation, "asks discovery");
        let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let exchange = async {
            crate::write_all(&c.stream, request.as_bytes()).await?;
            Ok(crate::read_answer(&mut c.buffer, &mut c.stream, LIST_LIMIT, WHOLE_ANSWER).await)
        };
        let silent = Outcome::Silent { waits: !hold.is_zero() };
        match within(timeout, exchange).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(fault)) => Err(Failure::of(fault, silent)),
            Err(why) if why.kind() == io::ErrorKind::TimedOut => Err(Failure { outcome: silent, why }),
            Err(why) => Err(why.into()),
        }
    }

    /// Reads an answer, and refuses one by which the list held would be lost.
    fn checked(&mut self, body: &[u8]) -> io::Result<(Answer, (ListKind, Vec<Listed>))> {
        let answer: Answer = serde_json::from_slice(body)?;
        let listed = answer.listed(&self.names).map_err(io::Error::other)?;
        if !answer.reset && self.generation.is_some_and(|held| answer.generation < held) {
            // What else has passed is not known: the whole list is polled for next.
            self.generation = None;
            return Err(io::Error::other("a change to an older list than the one held"));
        }
        if answer.reset && listed.1.is_empty() && self.sidecar.has_targets() {
            return Err(io::Error::other("an empty list in place of one with targets"));
        }
        Ok((answer, listed))
    }
}

/// Waits until the next poll is due; false where nobody is left to poll for.
async fn wait(next: NextPoll, subscribed: &Receiver<()>) -> bool {
    let (NextPoll::After(pause) | NextPoll::FirstWithin(pause)) = next;
    if !pause.is_zero() {
        Timer::after(pause).await;
    }
    !subscribed.is_closed()
}

async fn connect(address: SocketAddr, timeout: Duration) -> Result<Connection, Failure> {
    let stream = within(timeout, Async::<TcpStream>::connect(address)).await;
    let stream = stream.map_err(|why| Failure { outcome: connect_outcome(&why), why })?;
    stream.get_ref().set_nodelay(true)?;
    Ok(Connection { stream, buffer: Buffer::default() })
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
