//! What happens in a run, drawn from its seed (`plan/draw.rs`): no I/O. The same seed gives the same plan.

mod draw;

use super::records::Moment;
use std::fmt;
use std::time::Duration;

/// What discovery does with polls.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryCondition {
    /// It serves each at once.
    Up,
    /// It serves each after so long.
    Slow(Duration),
    /// Other callers keep its queue full: so many of a hundred polls are turned away at once, the others are served late.
    Crowded(u32),
    /// It is down: each poll is answered with status 503 after that time.
    Unavailable(Duration),
    /// It is down: connections are reset.
    Resets,
    /// It is down: polls are taken and never answered.
    Silent,
    /// It is down: nobody listens.
    Refuses,
}

impl DiscoveryCondition {
    /// Whether discovery could be reached.
    pub fn is_reachable(self) -> bool {
        matches!(
            self,
            DiscoveryCondition::Up | DiscoveryCondition::Slow(_) | DiscoveryCondition::Crowded(_)
        )
    }
}

/// What becomes of the watches that are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchFault {
    /// They stay open and are never answered.
    FallSilent,
    /// Their connections are reset.
    AreReset,
    /// Their connections end in mid-answer.
    EndInMidAnswer,
}

/// What an endpoint does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It serves them.
    Serves,
    /// It serves them five times slower.
    Slow,
    /// It takes them and answers none.
    Hangs,
    /// It fails each at once.
    Errors,
    /// It turns each away unseen.
    Full,
    /// It resets the connection once the request is whole.
    ResetsAfter,
    /// It closes connections right after each answer, or resets them under the next request.
    ClosesIdle,
    /// Its answers have no length; half of them come whole.
    NoLength,
    /// It answers, and once more some milliseconds later.
    AnswersTwice,
    /// It forgets connections once it has answered on them: they stay open, and what comes on them is never read.
    ForgetsIdle,
}

/// One thing that happens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Event {
    /// Discovery changes.
    Discovery(DiscoveryCondition),
    /// The open watches break.
    Watches(WatchFault),
    /// An endpoint begins to behave so.
    Endpoint(usize, Behaviour),
    /// An endpoint begins to drain.
    Drain(usize),
    /// An endpoint is removed from the list; it still answers.
    Remove(usize),
    /// An endpoint's process dies; the list is not told.
    Crash(usize),
    /// An endpoint's process starts anew, cold.
    Restart(usize),
    /// A process gets a new configuration that names discovery's other address.
    Reload(usize),
    /// A process is told to stop, killed at the earliest moment, and started anew.
    Terminate(usize),
    /// A process is killed and started anew.
    Kill(usize),
    /// A process is held up for 0.15 s.
    HoldUp(usize),
    /// Idle clients fill the descriptors of a process.
    IdleCrowd(usize),
    /// All clients that wait at a process leave.
    ClientsLeave(usize),
    /// Clients that stop in the middle of a request come to a process, and stay.
    BadClients(usize),
    /// An endpoint is taken out by hand at a process.
    Ban(usize, usize),
}

/// One line of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Step {
    /// When.
    pub at: Moment,
    /// What.
    pub event: Event,
}

/// What the shim does to the system calls and clocks of a process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shim {
    /// Its own seed.
    pub seed: u64,
    /// The wall clock's step, in milliseconds, and when it comes after the process's start.
    pub clock_step: (i64, Duration),
    /// Of a thousand calls to accept, so many fail.
    pub accept_fails: u32,
    /// Of a thousand reads and writes on sockets, so many are interrupted or cut short.
    pub transfers_fail: u32,
    /// Of a thousand calls to connect and socket, so many fail.
    pub connects_fail: u32,
    /// Of a thousand reads on connections that the process made, so many find them broken.
    pub connections_break: u32,
    /// When writes to files begin to fail after the process's start, and for how long.
    pub files_fail: (Duration, Duration),
}

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Whether it is a short one.
    pub short: bool,
    /// How long it lasts.
    pub length: Duration,
    /// Processes.
    pub members: usize,
    /// Endpoints.
    pub endpoints: usize,
    /// Further endpoints on the list that only lengthen it: nobody listens there, and they drain.
    pub padding: usize,
    /// Requests a second at each process.
    pub rate: f64,
    /// The longest deadlines of the three classes: safe, keyed, unsafe.
    pub patience: [Duration; 3],
    /// For each process, what the shim does to it, if anything.
    pub shims: Vec<Option<Shim>>,
    /// What happens, in order.
    pub steps: Vec<Step>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "seed {}: {} processes, {} endpoints (and {} that only lengthen the list), {:.1} requests a second each, \
             deadlines {:?}, {:?}, {} processes with a shim",
            self.seed,
            self.members,
            self.endpoints,
            self.padding,
            self.rate,
            self.patience,
            self.length,
            self.shims.iter().flatten().count()
        )?;
        self.steps
            .iter()
            .try_for_each(|step| writeln!(f, "  {:>7.3} {:?}", step.at.as_secs_f64(), step.event))
    }
}
