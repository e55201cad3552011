//! What the two ends of a soak observed. Times count from the start of the run.

use crate::live::discovery::Answers;
use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

/// Time since the start of the run.
pub type Timestamp = Duration;

/// What the class of a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may be repeated.
    Safe,
    /// It may be repeated with its idempotency key.
    Keyed,
    /// It must not run twice.
    Unsafe,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A complete answer.
    Answered {
        /// Its status code.
        status: u16,
        /// Whether the body is the one that an endpoint makes for this request.
        genuine: bool,
    },
    /// The connection ended without a complete answer.
    Broken,
    /// The request could not be written completely.
    NotSent,
    /// The client closed its connection.
    Disconnected,
    /// Nothing arrived until long after the client timeout.
    Unanswered,
}

/// One request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its unique id.
    pub id: String,
    /// Index of the process that it was sent to.
    pub member: usize,
    /// What its class allows.
    pub effect: Effect,
    /// When its last byte was written.
    pub sent: Timestamp,
    /// How long the client waits in all.
    pub client_timeout: Duration,
    /// How it ended.
    pub end: RequestEnd,
    /// When it ended.
    pub ended: Timestamp,
    /// Whether its connection had carried an answer before.
    pub on_reused_connection: bool,
    /// What was wrong with its answer, if it ended as [`RequestEnd::Broken`].
    pub answer_error: Option<String>,
}

/// One attempt, as an endpoint saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request's id.
    pub id: String,
    /// The endpoint's index.
    pub endpoint: usize,
    /// When its first byte was read.
    pub started: Timestamp,
    /// When its last byte was read; `None` if it never arrived.
    pub received: Option<Timestamp>,
    /// When it ended: it was answered, or its connection closed.
    pub ended: Option<Timestamp>,
    /// The time left that its header states.
    pub time_left: Option<Duration>,
    /// Whether the endpoint rejected it unprocessed.
    pub rejected: bool,
    /// When the process closed the connection while the endpoint still wrote a long answer.
    pub cut: Option<Timestamp>,
}

/// A request with a long body or for a long answer, as its client saw it.
#[derive(Clone, Debug)]
pub struct LongExchange {
    /// The request's id.
    pub id: String,
    /// Index of the process that it was sent to.
    pub member: usize,
    /// When its first byte was written.
    pub began: Timestamp,
    /// When it ended.
    pub ended: Timestamp,
    /// Whether its last byte could be written.
    pub written: bool,
    /// The status of the answer; `None` if there was none.
    pub status: Option<u16>,
    /// Whether the answer is whole.
    pub whole: bool,
}

/// What the clients recorded that put pressure on a process.
#[derive(Clone, Debug, Default)]
pub struct PressureRecords {
    /// The exchanges of long messages.
    pub exchanges: Vec<LongExchange>,
    /// The ids of unsafe requests that returned.
    pub returned_ids: Vec<String>,
    /// The ids that were sent to both processes of an upgrade at about the same time.
    pub shared_ids: Vec<String>,
}

/// One process of the program.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its name: the slot in the fleet, and the number of the process in that slot.
    pub name: String,
    /// When it started.
    pub started: Timestamp,
    /// When it received SIGTERM.
    pub terminated: Option<Timestamp>,
    /// When it was killed, or found to have exited at the time for that.
    pub killed: Option<Timestamp>,
    /// Whether it exited by itself, before it was killed, with a success status; `None` if it did
    /// not exit.
    pub exited_cleanly: Option<bool>,
    /// Violations that its own guard counted, by rule; `None` if it could not be queried.
    pub guard_violations: Option<BTreeMap<String, u64>>,
    /// Lines of its log that report a panic.
    pub panics: Vec<String>,
    /// The most memory that it has held, in kB, as far as it was asked.
    pub peak_kb: u64,
    /// The memory that it may hold, in kB.
    pub memory_limit_kb: u64,
    /// Whether faults are injected into its system calls.
    pub has_shim: bool,
    /// Number of times that its list expired.
    pub list_expiries: u64,
    /// Until when writes to its files fail.
    pub file_writes_fail_until: Timestamp,
}

/// The state of an endpoint in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// It takes requests.
    Active,
    /// It takes no new requests.
    Draining,
    /// It is removed from the list.
    Removed,
}

/// One change of the list.
#[derive(Clone, Debug)]
pub struct Change {
    /// The version that it created.
    pub version: u64,
    /// When discovery had it.
    pub at: Timestamp,
    /// The endpoint's index.
    pub endpoint: usize,
    /// The endpoint's state from then on.
    pub lifecycle: Lifecycle,
    /// Whether the endpoint's process had just started and is cold.
    pub cold: bool,
}

/// A period in which discovery was reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReachablePeriod {
    /// Its start.
    pub from: Timestamp,
    /// Its end; `None` for the end of the run.
    pub until: Option<Timestamp>,
}

/// A watch that became silent.
#[derive(Clone, Copy, Debug)]
pub struct SilentWatch {
    /// Index of the process that opened it.
    pub member: usize,
    /// When it was opened.
    pub opened: Timestamp,
    /// Its hold time.
    pub hold: Duration,
    /// When it became silent.
    pub silent_since: Timestamp,
}

/// A client that sent an incomplete or invalid request and stayed connected.
#[derive(Clone, Copy, Debug)]
pub struct BadClient {
    /// Index of the process that it sent that to.
    pub member: usize,
    /// When it had sent that.
    pub sent: Timestamp,
    /// When it was answered or its connection closed.
    pub ended: Option<Timestamp>,
}

/// A console command at a process that takes an endpoint offline or puts it back online.
#[derive(Clone, Copy, Debug)]
pub struct EndpointOrder {
    /// Index of the process.
    pub member: usize,
    /// The endpoint's index.
    pub endpoint: usize,
    /// Whether the endpoint is taken offline.
    pub offline: bool,
    /// When the command was sent.
    pub sent: Timestamp,
    /// When the process confirmed it; `None` if it did not.
    pub confirmed: Option<Timestamp>,
}

/// Counts of discovery polls by outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Polls {
    /// Answered polls, with the bytes of the answers.
    pub answered: Answers,
    /// Polls that were rejected at once.
    pub rejected: u64,
    /// Polls that failed in an outage.
    pub failed: u64,
}

/// Everything that was recorded in a run.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Requests; those of one client group are in the order of their ends.
    pub requests: Vec<Request>,
    /// Attempts.
    pub attempts: Vec<Attempt>,
    /// Processes.
    pub members: Vec<Member>,
    /// Names of the endpoints.
    pub endpoints: Vec<String>,
    /// Changes of the list.
    pub changes: Vec<Change>,
    /// For each process, the versions that discovery sent to it, and when.
    pub sent_versions: Vec<Vec<(u64, Timestamp)>>,
    /// The periods in which discovery was reachable.
    pub reachable_periods: Vec<ReachablePeriod>,
    /// Whether an agent pushes the list: what it holds counts as notified at once.
    pub pushed: bool,
    /// Watches that became silent.
    pub silent_watches: Vec<SilentWatch>,
    /// Bad clients.
    pub bad_clients: Vec<BadClient>,
    /// What the clients recorded that put pressure on a process.
    pub pressure: PressureRecords,
    /// Console commands on endpoints.
    pub orders: Vec<EndpointOrder>,
    /// Counts of polls.
    pub polls: Polls,
    /// Maximum lateness of the stand-ins' own timers.
    pub timer_lateness: Duration,
    /// The process (by index), start and end of each period with idle connections, in which new
    /// connections may be closed unread.
    pub idle_connection_periods: Vec<(usize, Timestamp, Timestamp)>,
}

impl Records {
    /// Index of the process that a request's id names.
    pub fn member_of(&self, id: &str) -> Option<usize> {
        id.split_once('-').and_then(|(member, _)| member.strip_prefix('m')?.parse().ok())
    }
}

impl fmt::Display for Request {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (sent, ended) = (self.sent.as_secs_f64(), self.ended.as_secs_f64());
        let connection = if self.on_reused_connection { "reused" } else { "new" };
        write!(
            f,
            "{sent:.3} {} {:?} on a {connection} connection, client timeout {:?}: {:?} at {ended:.3}",
            self.id, self.effect, self.client_timeout, self.end
        )?;
        self.answer_error.as_ref().map_or(Ok(()), |error| write!(f, " ({error})"))
    }
}
