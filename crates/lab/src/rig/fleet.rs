//! A fleet of the built program: each member is a process with its own files and is reached through
//! an address of the relay.

use super::files::{FleetFiles, MemberIdentity};
pub use super::options::FleetOptions;
use super::process::{Process, signal_all};
use super::relay::{MEMBERS_LIMIT, Relay};
use super::view::FleetView;
use crate::live::discovery::Discovery;
use async_executor::LocalExecutor;
use rustix::process::Signal;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpStream};
use std::process::ExitStatus;
use std::rc::Rc;
use std::thread::{self, JoinHandle};
use std::time::Duration;
use tempfile::TempDir;

/// How long a process may take to log that it serves. A machine under full load needs seconds to
/// start 64 processes at once.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a process may take to exit after a signal. It has no clients left, and announcing its
/// departure to the fleet takes a few protocol periods.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// How long the console of a running process may take to answer a command.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest console answer that is read, in bytes. `PEERS` takes about 16 KB with 64 members.
const ANSWER_LIMIT: u64 = 1 << 20;

struct Member {
    identity: MemberIdentity,
    process: Option<Process>,
    console: Option<SocketAddr>,
}

/// A running fleet. All its processes are killed on drop.
pub struct Fleet {
    /// The relay that carries all datagrams between members.
    pub relay: Relay,
    options: FleetOptions,
    members: Vec<Member>,
    files: FleetFiles,
    // Fields are dropped in order, so these outlive the processes.
    _discovery: DiscoveryThread,
    _directory: TempDir,
}

impl Fleet {
    /// Writes the files and starts the relay and a discovery stand-in with an empty endpoint list,
    /// but no member. Member 0 is the seed of all members.
    pub fn new(options: FleetOptions) -> io::Result<Fleet> {
        if options.members == 0 || options.members > MEMBERS_LIMIT {
            return Err(io::Error::other(format!(
                "the fleet must have 1 to {MEMBERS_LIMIT} members, not {}",
                options.members
            )));
        }
        let directory = tempfile::tempdir()?;
        let (discovery, address) = DiscoveryThread::start()?;
        let relay = Relay::start(options.members, options.seed)?;
        let files = FleetFiles::new(directory.path(), address, relay.address(0), &options)?;
        let members = (0..options.members).map(|index| {
            let identity = files.write_member(index, relay.address(index))?;
            Ok(Member { identity, process: None, console: None })
        });
        let members = members.collect::<io::Result<_>>()?;
        Ok(Fleet { relay, options, members, files, _discovery: discovery, _directory: directory })
    }

    /// The number of members, running or not.
    pub fn size(&self) -> usize {
        self.members.len()
    }

    /// The name of a member.
    pub fn name(&self, member: usize) -> &str {
        &self.members[member].identity.name
    }

    /// The interval between two probes of a member.
    pub fn period(&self) -> Duration {
        self.options.period
    }

    /// The process of a member, if it is running.
    pub fn process(&self, member: usize) -> Option<&Process> {
        self.members[member].process.as_ref()
    }

    /// Gives a member a key of its own, which takes effect at its next start.
    pub fn use_key(&self, member: usize, key: &str) -> io::Result<()> {
        self.files.use_key(&self.members[member].identity, key)
    }

    /// Starts members, all at once, and waits until all of them serve. Members that are already
    /// running are left alone.
    pub fn start(&mut self, members: &[usize]) -> io::Result<()> {
        let members: Vec<_> =
            members.iter().copied().filter(|&m| self.members[m].process.is_none()).collect();
        self.spawn(&members)?;
        self.learn_process_addresses(&members)?;
        self.wait_until_serving(&members)
    }

    /// Starts the processes of members.
    fn spawn(&mut self, members: &[usize]) -> io::Result<()> {
        for &member in members {
            let Member { identity, process, .. } = &mut self.members[member];
            *process = Some(Process::start(
                &self.options.program,
                &identity.arguments(),
                &identity.state_directory,
            )?);
        }
        Ok(())
    }

    /// Waits until members listen and passes their addresses to the relay.
    fn learn_process_addresses(&self, members: &[usize]) -> io::Result<()> {
        for &member in members {
            let Member { process: Some(process), .. } = &self.members[member] else { continue };
            let line = process.wait_for("the fleet listens", START_TIMEOUT)?;
            self.relay.set_process_address(member, listen_address::<SocketAddrV4>(&line)?);
        }
        Ok(())
    }

    /// Waits until members serve and stores the addresses of their consoles.
    fn wait_until_serving(&mut self, members: &[usize]) -> io::Result<()> {
        for &member in members {
            let Member { process: Some(process), console, .. } = &mut self.members[member] else {
                continue;
            };
            *console = Some(listen_address(&process.wait_for("serves the console", START_TIMEOUT)?)?);
            process.wait_for("serves", START_TIMEOUT)?;
        }
        Ok(())
    }

    /// Starts all members and waits until they serve.
    pub fn start_all(&mut self) -> io::Result<()> {
        self.start(&(0..self.size()).collect::<Vec<_>>())
    }

    /// Sends a signal to members in one loop and returns how long the loop took.
    pub fn signal(&self, members: &[usize], signal: Signal) -> io::Result<Duration> {
        signal_all(members.iter().filter_map(|&member| self.process(member)), signal)
    }

    /// Kills members at once (SIGKILL) and waits until they have exited. Returns the time between
    /// the first and the last signal.
    pub fn kill(&mut self, members: &[usize]) -> io::Result<Duration> {
        let spread = self.signal(members, Signal::KILL)?;
        self.wait_until_ended(members)?;
        Ok(spread)
    }

    /// Asks members to stop (SIGTERM), waits until they have exited and returns their exit
    /// statuses.
    pub fn stop(&mut self, members: &[usize]) -> io::Result<Vec<ExitStatus>> {
        self.signal(members, Signal::TERM)?;
        self.wait_until_ended(members)
    }

    fn wait_until_ended(&mut self, members: &[usize]) -> io::Result<Vec<ExitStatus>> {
        let mut ended = Vec::new();
        for &member in members {
            let Some(process) = &mut self.members[member].process else { continue };
            ended.push(process.wait(STOP_TIMEOUT)?);
            self.relay.clear_process_address(member);
            self.members[member].process = None;
            self.members[member].console = None;
        }
        Ok(ended)
    }

    /// Sends a command to a member's console and returns the whole answer.
    pub fn console_answer(&self, member: usize, command: &str) -> io::Result<String> {
        let Some(console) = self.members[member].console else {
            return Err(io::Error::other(format!("{} is not running", self.name(member))));
        };
        let mut stream = TcpStream::connect_timeout(&console, CONSOLE_TIMEOUT)?;
        stream.set_read_timeout(Some(CONSOLE_TIMEOUT))?;
        stream.write_all(format!("{command}\n").as_bytes())?;
        stream.shutdown(Shutdown::Write)?;
        let mut answer = String::new();
        stream.take(ANSWER_LIMIT).read_to_string(&mut answer)?;
        Ok(answer)
    }

    /// The fleet as a member sees it (console command `PEERS`).
    pub fn view(&self, member: usize) -> io::Result<FleetView> {
        let answer = self.console_answer(member, "PEERS")?;
        FleetView::read(&answer)
            .map_err(|error| io::Error::other(format!("unusable PEERS answer: {error} in: {answer}")))
    }
}

/// Reads the listen address from a log line.
fn listen_address<A: std::str::FromStr>(line: &serde_json::Value) -> io::Result<A> {
    let listen = line["listen"].as_str().and_then(|listen| listen.parse().ok());
    listen.ok_or_else(|| io::Error::other(format!("no listen address in log line: {line}")))
}

/// A discovery stand-in on a thread of its own. The thread is stopped on drop.
struct DiscoveryThread {
    stop: Option<async_channel::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl DiscoveryThread {
    fn start() -> io::Result<(DiscoveryThread, SocketAddr)> {
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let (address_sender, address_receiver) = async_channel::bounded(1);
        let thread = thread::Builder::new().name("discovery".to_owned()).spawn(move || {
            let executor = Rc::new(LocalExecutor::new());
            // Must live as long as the executor runs: its tasks refer to it.
            let discovery = Discovery::start(&executor);
            let _ = address_sender.try_send(discovery.map(|discovery| discovery.address));
            let _ = async_io::block_on(executor.run(stopped.recv()));
        })?;
        let discovery = DiscoveryThread { stop: Some(stop), thread: Some(thread) };
        let address = address_receiver.recv_blocking().map_err(io::Error::other)??;
        Ok((discovery, address))
    }
}

impl Drop for DiscoveryThread {
    fn drop(&mut self) {
        self.stop.take();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}
