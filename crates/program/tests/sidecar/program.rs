//! The built program as a process of its own, where a story is about the process: its descriptors, its memory.

use crate::peers::{message, send};
use rustix::process::{Pid, Signal, WaitOptions, kill_process, waitpid};
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Held while a child process is started, and while connections end whose end has to be seen at once. Between fork and
/// exec a child holds a copy of every descriptor, so that what is closed meanwhile ends only with its exec.
static DESCRIPTORS_COPIED: Mutex<()> = Mutex::new(());

fn no_descriptors_copied() -> MutexGuard<'static, ()> {
    DESCRIPTORS_COPIED.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a child process; it has executed its program when this returns.
fn start_child(command: &mut Command) -> Child {
    let _copied = no_descriptors_copied();
    command.spawn().expect("the program starts")
}

/// Makes a named pipe.
pub fn make_pipe(path: &Path) {
    let made = start_child(Command::new("mkfifo").arg(path)).wait().expect("mkfifo runs");
    assert!(made.success());
}

/// A configuration under which attempts, and connections that do not come up, last until shortly before the time left
/// of a request of `LOOK`'s kind is over.
pub fn patient(config: &str) -> String {
    config
        .replace("aim_ns\":1000", "aim_ns\":2900")
        .replace("timeout_ns\":500000000", "timeout_ns\":2900000000")
}

/// A process of the program. Dropped, it is killed.
pub struct Program {
    child: Child,
    pub address: SocketAddr,
    pub console: SocketAddr,
}

impl Program {
    /// Starts one that may open so many descriptors, and waits until it says where it listens.
    pub fn start(config: &str, descriptors: u32) -> Program {
        let dir = tempfile::tempdir().expect("a directory");
        let file = dir.path().join("config.json");
        std::fs::write(&file, config.replacen('{', r#"{"console":"127.0.0.1:0","#, 1)).expect("a file");
        let mut child = start_child(
            Command::new("sh")
                .args(["-c", &format!("ulimit -n {descriptors} && exec \"$0\" serve --config \"$1\"")])
                .arg(env!("CARGO_BIN_EXE_cottonpoint"))
                .arg(&file)
                .env_remove("TMPDIR")
                .stderr(Stdio::piped()),
        );
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines().map_while(Result::ok);
        let mut listens = log.by_ref().filter_map(|line| {
            line.split_once("listen=").map(|(_, at)| at.parse::<SocketAddr>().expect("an address"))
        });
        let said = "it says where it listens";
        let (console, address) = (listens.next().expect(said), listens.next().expect(said));
        std::thread::spawn(move || log.for_each(drop));
        Program { child, address, console }
    }

    /// Holds it still while something happens: what comes meanwhile comes to it in one turn, closes as well.
    pub fn meanwhile<T>(&self, happens: impl FnOnce() -> T) -> T {
        let _closes_at_once = no_descriptors_copied();
        let pid = Pid::from_child(&self.child);
        kill_process(pid, Signal::STOP).expect("a process");
        waitpid(Some(pid), WaitOptions::UNTRACED).expect("it stands still");
        let happened = happens();
        kill_process(pid, Signal::CONT).expect("a process");
        happened
    }

    /// A client that has sent a request.
    pub fn client(&self, request: &str) -> TcpStream {
        let mut client = TcpStream::connect(self.address).expect("it listens");
        send(&mut client, request);
        client
    }

    /// Once it has answered this, it has taken what came before.
    pub fn has_taken(&self) {
        let ready = "GET /health/ready HTTP/1.1\nHost: n0\n\n";
        assert!(message(&mut self.client(ready)).starts_with("HTTP/1.1 "));
    }

    /// Descriptors that it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).expect("it runs").count()
    }

    /// The most memory that it ever held, in kB.
    pub fn peak_kb(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("it runs");
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:")?.split_whitespace().next());
        peak.expect("a figure").parse().expect("a number")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
