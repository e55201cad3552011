//! The list: discovery, asked when the balancer asks (an agent's list: at once), then watched for as long as the
//! watch holds. When each call is made and given up stands in `watch`, which bounds the balancer's word too.

mod watch;

use crate::servers::Servers;
use crate::within;
use async_channel::Receiver;
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Fault;
use cottonpoint_core::{Clock, Lifecycle, Listed, Sidecar, target_id};
use cottonpoint_decide::*;
use futures_lite::{AsyncWriteExt, future};
use serde::Deserialize;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use watch::{Ended, Next, PATIENCE, Watch};

const LIST_LIMIT: usize = 4 << 20;

/// Discovery's answer, as it stands in a configuration's `known` too.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Answer {
    /// The list's version.
    pub generation: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub reset: bool,
    instances: Vec<Line>,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
struct Line {
    instance_id: String,
    host_port: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    machine_type: String,
    #[serde(default)]
    cell: u16,
    lifecycle: String,
    #[serde(default)]
    started_at_ms: u64,
}

/// The names that the list uses for zones and machine kinds, in the order of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Zones.
    pub zones: Vec<String>,
    /// Machine kinds.
    pub kinds: Vec<String>,
}

fn position(names: &[String], name: &str) -> u16 {
    let at = names.iter().position(|n| n == name);
    at.and_then(|i| u16::try_from(i).ok()).unwrap_or(u16::MAX)
}

impl Answer {
    /// The answer in the core's terms; an unknown lifecycle makes it a bad one.
    pub fn listed(&self, names: &Names) -> Result<(ListKind, Vec<Listed>), String> {
        let kind = if self.reset { ListKind::Full } else { ListKind::Delta };
        let lines = self.instances.iter().map(|line| {
            let lifecycle = match line.lifecycle.as_str() {
                "active" => Lifecycle::Active,
                "leaving" => Lifecycle::Leaving,
                "left" => Lifecycle::Left,
                other => return Err(format!("unknown lifecycle {other}")),
            };
            Ok(Listed {
                id: target_id(&line.instance_id),
                address: line.host_port,
                zone: ZoneId(position(&names.zones, &line.zone)),
                cell: CellId(line.cell),
                kind: KindId(position(&names.kinds, &line.machine_type)),
                lifecycle,
                started: Clock::from_unix_ms(line.started_at_ms),
            })
        });
        Ok((kind, lines.collect::<Result<_, _>>()?))
    }
}

/// Where discovery is, and how it tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is an agent that lists are pushed to (the settings' `discovery`): what that holds counts as told at
    /// once, so it is asked without the balancer's word.
    pub pushed: bool,
}

/// The next place of discovery; never, once there is nobody to name one.
async fn next(moved: &Receiver<Place>) -> Place {
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
    /// Draws the moments of calls.
    pub random: fastrand::Rng,
}

/// What a call came to.
enum Asked {
    /// It has ended, after that time.
    Ended(Result<Told, Failure>, Duration),
    Moved(Place),
    /// Nobody is left to ask for.
    Over,
}

/// What discovery told, and whether early (see `watch`).
struct Told {
    kind: ListKind,
    listed: Vec<Listed>,
    early: bool,
}

/// Why a call came to nothing.
struct Failure {
    ended: Ended,
    why: io::Error,
}

impl From<io::Error> for Failure {
    fn from(why: io::Error) -> Failure {
        Failure { ended: Ended::Failed, why }
    }
}

/// The reason last said of an outage: one that lasts is said once; the log bounds the rate of those that change.
#[derive(Default)]
struct Said(Option<String>);

impl Said {
    fn fails(&mut self, reason: &str) -> bool {
        self.0.replace(reason.to_owned()).as_deref() != Some(reason)
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
    /// Makes one call after the other, each when its clock or the balancer says. That the balancer asks while a watch
    /// is on changes nothing. Where discovery moves to is asked at once: the old place closes its connections, and
    /// what the new one has to tell counts as told soon.
    pub async fn run(mut self, asked: Receiver<()>) {
        let (mut said, mut connection) = (Said::default(), None);
        let (mut watch, mut then) = Watch::new(self.discovery.pushed);
        if let Next::WhenAsked { within } = &mut then {
            // Of a fleet that starts together, those whose balancers ask later than that are spread too.
            *within = within.mul_f64(1.0 - self.random.f64() / 3.0);
        }
        let moved = self.moved.clone();
        loop {
            let call = async {
                match then {
                    Next::After(Duration::ZERO) => {}
                    Next::After(pause) => drop(Timer::after(pause).await),
                    Next::WhenAsked { within } => {
                        let at_latest = async {
                            Timer::after(within).await;
                            Ok(())
                        };
                        if future::or(asked.recv(), at_latest).await.is_err() {
                            return Asked::Over;
                        }
                    }
                }
                let begun = Instant::now();
                Asked::Ended(self.ask(&watch, begun, &mut connection).await, begun.elapsed())
            };
            match future::or(async { Asked::Moved(next(&moved).await) }, call).await {
                Asked::Ended(Ok(Told { kind, listed, early }), took) => {
                    if said.ends() {
                        tracing::info!("discovery answers again");
                    }
                    let (generation, lines) = (self.generation, listed.len());
                    tracing::debug!(generation, lines, ?kind, "discovery told");
                    self.sidecar.listed(kind, &listed);
                    self.servers.keep_only(|target| self.sidecar.takes_work(target));
                    then = watch.ended(Ended::Told { early }, took, self.random.f64());
                }
                Asked::Ended(Err(Failure { ended, why }), took) => {
                    if said.fails(&why.to_string()) {
                        tracing::warn!(failure = %why, "discovery failed, the old list holds");
                    }
                    tracing::debug!(failure = %why, ?ended, "discovery failed");
                    while asked.try_recv().is_ok() {}
                    self.sidecar.list_failed();
                    then = watch.ended(ended, took, self.random.f64());
                }
                Asked::Moved(place) => {
                    connection = None;
                    self.move_to(place);
                    (watch, then) = Watch::moved(place.pushed);
                }
                Asked::Over => return,
            }
        }
    }

    /// Discovery is elsewhere from now on. Its versions there may be others: the whole list is asked for.
    fn move_to(&mut self, place: Place) {
        self.discovery = place;
        self.generation = None;
    }

    /// One call: for the whole list at first, then for what is newer.
    async fn ask(
        &mut self,
        watch: &Watch,
        begun: Instant,
        connection: &mut Option<Connection>,
    ) -> Result<Told, Failure> {
        let hold = watch.hold(self.generation.is_none());
        let query = self.generation.map(|g| format!("?from={g}&hold_ms={}", hold.as_millis()));
        let (query, address) = (query.unwrap_or_default(), self.discovery.address);
        let mut c = match connection.take() {
            Some(c) => c,
            None => {
                let stream = within(watch.connects_within(), Async::<TcpStream>::connect(address)).await?;
                stream.get_ref().set_nodelay(true)?;
                Connection { stream, buffer: Buffer::default() }
            }
        };
        tracing::debug!(generation = self.generation, "asks discovery");
        let call = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
        let exchange = async {
            c.stream.write_all(call.as_bytes()).await?;
            let answer = crate::read_answer(&mut c.buffer, &mut c.stream, LIST_LIMIT, PATIENCE).await;
            answer.map_err(|fault| match fault {
                Fault::Stalled => io::ErrorKind::TimedOut.into(),
                fault => io::Error::other(fault.to_string()),
            })
        };
        let silent = |why: io::Error| match why.kind() {
            io::ErrorKind::TimedOut => Failure { ended: Ended::Silent { waits: !hold.is_zero() }, why },
            _ => why.into(),
        };
        let answer = within(watch.answers_within(hold, begun.elapsed()), exchange).await.map_err(silent)?;
        let (_, status, body, keep) = answer;
        if status != 200 {
            return Err(io::Error::other(format!("status {status}")).into());
        }
        let answer: Answer = serde_json::from_slice(&body).map_err(io::Error::from)?;
        let listed = answer.listed(&self.names).map_err(io::Error::other)?;
        if !answer.reset && self.generation.is_some_and(|held| answer.generation < held) {
            // What else has passed is not known: the whole list is asked for next.
            self.generation = None;
            return Err(io::Error::other("a change to an older list than the one held").into());
        }
        if answer.reset && listed.1.is_empty() && self.sidecar.has_targets() {
            return Err(io::Error::other("an empty list in place of one with targets").into());
        }
        let (kind, listed) = listed;
        let news = self.generation != Some(answer.generation) && (answer.reset || !listed.is_empty());
        let early = !news && begun.elapsed() < hold;
        self.generation = Some(answer.generation);
        if keep && c.buffer.is_empty() {
            *connection = Some(c);
        }
        Ok(Told { kind, listed, early })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against: later reasons of an outage that nobody reads of, and a line for each failure of it.
    #[test]
    fn each_reason_of_an_outage_is_said_once() {
        let mut said = Said::default();
        let lines = ["refused", "refused", "silent", "silent", "refused"].map(|reason| said.fails(reason));
        assert_eq!(lines, [true, false, true, false, true]);
        assert!(said.ends() && !said.ends());
        assert!(said.fails("refused"), "another outage");
    }
}
