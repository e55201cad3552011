//! The events of a run, drawn from its seed (`plan/draw.rs`) without I/O. The same seed gives the
//! same plan.

mod draw;
#[cfg(test)]
mod tests;

use super::classes::ClassList;
use super::pressure::PressureKind;
use super::records::Timestamp;
use std::fmt;
use std::time::Duration;

/// How discovery handles polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCondition {
    /// Each poll is served at once.
    Up,
    /// Each poll is served after this delay.
    Slow(Duration),
    /// Other clients keep its queue full: this percentage of polls is rejected at once, and the
    /// others are served late.
    Overloaded(u32),
    /// Discovery is down: each poll is answered with status 503 after this delay.
    Unavailable(Duration),
    /// Discovery is down: connections are reset.
    Resets,
    /// Discovery is down: polls are accepted and never answered.
    Silent,
    /// Discovery is down: nothing listens on its addresses.
    Refuses,
    /// Discovery is down, and with it the agent that pushes its lists: the agent accepts polls,
    /// learns of no changes, and answers when discovery is back.
    AgentCutOff,
}

impl DiscoveryCondition {
    /// Whether discovery is reachable.
    pub fn is_reachable(self) -> bool {
        matches!(
            self,
            DiscoveryCondition::Up | DiscoveryCondition::Slow(_) | DiscoveryCondition::Overloaded(_)
        )
    }
}

/// What happens to the watches that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// They stay open and are never answered.
    Silence,
    /// Their connections are reset.
    Reset,
    /// Their connections end in the middle of an answer.
    TruncatedAnswer,
}

/// What discovery answers to a poll that names a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStyle {
    /// The entries that changed since that version.
    Changes,
    /// The whole list, which leaves out what drains.
    WholeList,
    /// Something that is no list.
    NoList,
    /// The whole list or changes, cut in the middle by the end of the connection.
    Cut,
}

impl AnswerStyle {
    /// Whether the answer says what has changed.
    pub fn is_list(self) -> bool {
        matches!(self, AnswerStyle::Changes | AnswerStyle::WholeList)
    }
}

/// How an endpoint handles requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It serves them.
    Serves,
    /// It serves them five times slower.
    Slow,
    /// It accepts them and answers none.
    Hangs,
    /// It answers each with an error at once.
    Errors,
    /// It rejects each unprocessed.
    Full,
    /// It resets the connection after it has received and processed a request.
    ResetsAfterRequest,
    /// It closes the connection right after each answer; the close may reset a following request.
    ClosesAfterAnswer,
    /// Its answers have no content length; half of them are complete.
    NoContentLength,
    /// It answers, and sends a second answer a few milliseconds later.
    AnswersTwice,
    /// It stops reading from a connection after the first answer. The connection stays open.
    StopsReading,
}

/// One of the two processes of an upgrade.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The one that ran before.
    Older,
    /// The one that takes its place.
    Newer,
}

/// One event of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Discovery changes how it handles polls.
    Discovery(DiscoveryCondition),
    /// The open watches break.
    Watches(WatchFault),
    /// Discovery changes the style of its answers.
    Answers(AnswerStyle),
    /// An endpoint changes how it handles requests.
    Endpoint(usize, Behaviour),
    /// An endpoint starts to drain.
    Drain(usize),
    /// An endpoint is removed from the list but still answers.
    Remove(usize),
    /// An endpoint that drains or is removed is listed as active again.
    Return(usize),
    /// All endpoints start to drain, in one version of the list.
    DrainTier,
    /// All endpoints are removed, in one version of the list.
    RemoveTier,
    /// The processes of all endpoints end; the list does not change.
    StopTier,
    /// The endpoints that have stopped listen again at their addresses; the list does not change.
    ListenTier,
    /// All endpoints are listed as active, in one version of the list; cold, or as started long
    /// ago.
    ListTier {
        /// Whether they are cold.
        cold: bool,
    },
    /// An endpoint's process crashes; the list does not change.
    Crash(usize),
    /// An endpoint's process starts anew, cold.
    Restart(usize),
    /// A process gets a new configuration that names discovery's other address.
    Reload(usize),
    /// A process gets a new configuration that names these classes, after some requests whose work is
    /// long.
    Classes(usize, ClassList),
    /// A second process is started in a slot, with the same state directory.
    Upgrade(usize),
    /// An operator takes an endpoint offline or puts it back online, on the console of one of the
    /// processes of an upgrade.
    Order {
        /// The slot of the upgrade.
        slot: usize,
        /// The process.
        side: Side,
        /// The endpoint.
        endpoint: usize,
        /// Whether it is taken offline.
        offline: bool,
    },
    /// The older process of an upgrade receives SIGTERM, and is killed at the earliest permitted
    /// time.
    EndUpgrade(usize),
    /// A process receives SIGTERM, is killed at the earliest permitted time, and is started anew.
    Terminate(usize),
    /// A process is killed and started anew.
    Kill(usize),
    /// A process is killed, and started anew after this time, with the list that there was when it was
    /// killed.
    KillFor(usize, Duration),
    /// A process is paused for 0.15 s.
    Pause(usize),
    /// Idle connections use up the descriptors of a process.
    IdleConnections(usize),
    /// All clients that wait at a process disconnect.
    ClientsDisconnect(usize),
    /// Clients that stop in the middle of a request connect to a process and stay connected.
    BadClients(usize),
    /// Clients put pressure on a process: they read or write slowly, stop, flood, or return.
    Pressure(usize, PressureKind),
    /// A process is told by a console command to take an endpoint offline.
    TakeOffline(usize, usize),
}

/// An event and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledEvent {
    /// Time since all processes serve.
    pub at: Timestamp,
    /// The event.
    pub event: Event,
}

/// The faults that the shim injects into the system calls and clocks of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShimFaults {
    /// The seed of the shim's own draws.
    pub seed: u64,
    /// The step of the wall clock, in milliseconds, and its time since the process's start.
    pub clock_step: (i64, Duration),
    /// Failing calls to accept, per thousand.
    pub accept_per_mille: u32,
    /// Reads and writes on sockets that are interrupted or cut short, per thousand.
    pub transfer_per_mille: u32,
    /// Failing calls to connect and socket, per thousand.
    pub connect_per_mille: u32,
    /// Reads that find a connection opened by the process broken, per thousand.
    pub break_per_mille: u32,
    /// When writes to files begin to fail, since the process's start, and for how long.
    pub file_writes_fail: (Duration, Duration),
}

/// The plan of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The seed that it was drawn from.
    pub seed: u64,
    /// Whether the run is a short one.
    pub short: bool,
    /// Duration of the run, from the time when all processes serve until the clients stop.
    pub length: Duration,
    /// Number of processes.
    pub members: usize,
    /// Number of endpoints.
    pub endpoints: usize,
    /// Number of further endpoints that only lengthen the list: nothing listens at their address,
    /// and they are draining.
    pub padding: usize,
    /// Requests per second at each process.
    pub rate: f64,
    /// The longest client timeouts of the three classes: safe, keyed, unsafe.
    pub client_timeouts: [Duration; 3],
    /// The classes of the first configuration of each process.
    pub first_classes: ClassList,
    /// Whether an agent pushes the list, rather than the processes asking for it.
    pub pushed: bool,
    /// The memory of a sidecar in MB, and the descriptors of a process, as the settings name them.
    pub memory_mb: u64,
    /// The descriptors of a process.
    pub sockets: u32,
    /// For each slot of the fleet, whether its processes are started without a list.
    pub without_known_list: Vec<bool>,
    /// For each process, the faults that the shim injects, if any.
    pub shims: Vec<Option<ShimFaults>>,
    /// The events, ordered by time.
    pub events: Vec<ScheduledEvent>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} processes, {} endpoints (and {} that only lengthen the list), {:.1} requests a second each, \
             client timeouts {:?}, {:?}, {} processes with a shim, {} started without a list, the list is {}",
            self.seed,
            self.members,
            self.endpoints,
            self.padding,
            self.rate,
            self.client_timeouts,
            self.length,
            self.shims.iter().flatten().count(),
            self.without_known_list.iter().filter(|without| **without).count(),
            if self.pushed { "pushed" } else { "asked for" }
        )?;
        self.events.iter().try_for_each(|scheduled| {
            writeln!(f, "  {:>7.3} {:?}", scheduled.at.as_secs_f64(), scheduled.event)
        })
    }
}
