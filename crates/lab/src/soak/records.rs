//! What the two ends of a soak saw. Times count from its beginning.

use crate::live::discovery::Answers;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// A time since the beginning of the run.
pub type Moment = Duration;

/// What a class of requests allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated.
    Safe,
    /// It may be repeated under its key.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A whole answer with that status; whether a 200 had the body that an endpoint made for it.
    Answered {
        /// The status.
        status: u16,
        /// Whether the body was that of an endpoint, for this request.
        genuine: bool,
    },
    /// The connection ended with no whole answer.
    Broken,
    /// No connection came up, or the request could not be written whole.
    NotTaken,
    /// The client closed its connection.
    Left,
    /// Nothing came until long after its time.
    Unanswered,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, unlike all others.
    pub id: String,
    /// Whom it was sent to, by index.
    pub member: usize,
    /// What its class allows.
    pub effect: Effect,
    /// When its last byte was written.
    pub sent: Moment,
    /// How long the client waits.
    pub patience: Duration,
    /// How it ended, and when.
    pub end: RequestEnd,
    /// When it ended.
    pub ended: Moment,
    /// Whether its connection had carried an answer before.
    pub on_kept_connection: bool,
    /// What was wrong with its answer, where it ended broken.
    pub fault: Option<String>,
}

/// One attempt, as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The endpoint, by index.
    pub endpoint: usize,
    /// When its first byte was read.
    pub began: Moment,
    /// When its last byte was read; `None` where it never came.
    pub whole: Option<Moment>,
    /// When it was over: answered, or its connection closed.
    pub over: Option<Moment>,
    /// The time that it was told.
    pub time_left: Option<Duration>,
    /// Whether it was turned away unseen.
    pub turned_away: bool,
}

/// One process of the program.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its name: the place in the fleet, and which process at that place.
    pub name: String,
    /// When it served.
    pub started: Moment,
    /// When it was told to stop.
    pub terminated: Option<Moment>,
    /// When it was killed, planned or not.
    pub killed: Option<Moment>,
    /// Whether it ended by itself, and well, before it was killed.
    pub ended_well: Option<bool>,
    /// Violations that its own guard counted, by rule; `None` where it could not be asked.
    pub violations: Option<BTreeMap<String, u64>>,
    /// Lines of its log that tell of a panic.
    pub panics: Vec<String>,
    /// Times that its list expired.
    pub expiries: u64,
    /// Until when writes to its files failed.
    pub files_failed_until: Moment,
}

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Takes work.
    Active,
    /// Wants nothing new.
    Leaving,
    /// Removed.
    Left,
}

/// One change of the list.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version that it made.
    pub version: u64,
    /// When discovery had it.
    pub at: Moment,
    /// The endpoint, by index.
    pub endpoint: usize,
    /// What it is from then on.
    pub to: Standing,
    /// Whether its process had just started, cold.
    pub cold: bool,
}

/// A time in which discovery could be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reachable {
    /// From then on.
    pub from: Moment,
    /// Until then; `None` for the end of the run.
    pub until: Option<Moment>,
}

/// A watch that fell silent.
#[derive(Clone, Copy, Debug)]
pub struct SilentWatch {
    /// Whose it was, by index.
    pub member: usize,
    /// When it was asked for.
    pub begun: Moment,
    /// How long it was to wait.
    pub hold: Duration,
    /// When it fell silent.
    pub silent: Moment,
}

/// A client that sent half a request, or what is none, and stayed.
#[derive(Clone, Copy, Debug)]
pub struct BadClient {
    /// To whom, by index.
    pub member: usize,
    /// When it had sent that.
    pub sent: Moment,
    /// When it was answered or closed.
    pub ended: Option<Moment>,
}

/// An endpoint taken out by hand at a process.
#[derive(Clone, Copy, Debug)]
pub struct Ban {
    /// At which process, by index.
    pub member: usize,
    /// The endpoint, by index.
    pub endpoint: usize,
    /// When the process said yes.
    pub confirmed: Moment,
}

/// Polls of discovery by what became of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    /// Answered, with their bytes.
    pub answered: Answers,
    /// Turned away at once.
    pub turned_away: u64,
    /// Failed in an outage.
    pub failed: u64,
}

/// All of it.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests, in the order of their ends.
    pub requests: Vec<Request>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// Processes.
    pub members: Vec<Member>,
    /// Names of the endpoints.
    pub endpoints: Vec<String>,
    /// Changes of the list.
    pub changes: Vec<Change>,
    /// For each process, the versions that discovery wrote to it, and when.
    pub written: Vec<Vec<(u64, Moment)>>,
    /// When discovery could be reached.
    pub reachable: Vec<Reachable>,
    /// Watches that fell silent.
    pub silent_watches: Vec<SilentWatch>,
    /// Bad clients.
    pub bad_clients: Vec<BadClient>,
    /// Endpoints taken out by hand.
    pub bans: Vec<Ban>,
    /// Polls.
    pub polls: Polls,
    /// By how much the stand-ins' own timers were late at most.
    pub lateness: Duration,
    /// When the idle crowd was there: new connections may be shut unread then.
    pub crowded_clients: Vec<(usize, Moment, Moment)>,
}

impl Records {
    /// The process that a request's id names.
    pub fn member_of(&self, id: &str) -> Option<usize> {
        id.split_once('-').and_then(|(member, _)| member.strip_prefix('m')?.parse().ok())
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sent, ended) = (self.sent.as_secs_f64(), self.ended.as_secs_f64());
        let kept = if self.on_kept_connection { "kept" } else { "new" };
        write!(
            f,
            "{sent:.3} {} {:?} on a {kept} connection, waits {:?}: {:?} at {ended:.3}",
            self.id, self.effect, self.patience, self.end
        )?;
        self.fault.as_ref().map_or(Ok(()), |fault| write!(f, " ({fault})"))
    }
}
