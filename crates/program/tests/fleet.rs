//! The fleet, as processes of the program on loopback.
#![allow(missing_docs)]

#[path = "sidecar/peers.rs"]
#[allow(dead_code)]
mod peers;

use peers::{call, config, message, send};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than any wait in these stories: only a failure takes it.
const PATIENCE: Duration = Duration::from_secs(20);

/// A process of the program. Dropped, it is killed.
struct Process {
    child: Child,
    console: SocketAddr,
    metrics: SocketAddr,
    /// Where it hears the fleet, if it is in one.
    fleet: Option<SocketAddr>,
}

impl Process {
    /// Starts one and waits until it says where it listens; `fleet` is the table of its operator's file.
    fn start(dir: &Path, name: &str, fleet: &str) -> Process {
        let discovery = "127.0.0.1:9".parse().expect("an address where nobody listens");
        let named = format!(r#""name":"{name}","console":"127.0.0.1:0""#);
        let text = config(discovery, "null", 256).replace(r#""name":"n0""#, &named);
        let file = |kind: &str| dir.join(format!("{name}.{kind}"));
        std::fs::write(file("json"), text).expect("a file");
        let operator = format!("[log]\nform = \"json\"\n[metrics]\nlisten = \"127.0.0.1:0\"\n{fleet}");
        std::fs::write(file("toml"), operator).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_cottonpoint"))
            .args(["serve", "--config"])
            .arg(file("json"))
            .arg("--operator")
            .arg(file("toml"))
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped")).lines();
        let (mut console, mut metrics, mut heard) = (None, None, None);
        for line in log.by_ref() {
            let line = line.expect("text");
            let said: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
            let at = said["listen"].as_str().and_then(|at| at.parse().ok());
            match said["message"].as_str() {
                Some("serves the console") => console = at,
                Some("serves metrics") => metrics = at,
                Some("the fleet listens") => heard = at,
                Some("serves") => break,
                _ => {}
            }
        }
        std::thread::spawn(move || log.for_each(drop));
        let said = "said before it serves";
        Process { child, console: console.expect(said), metrics: metrics.expect(said), fleet: heard }
    }

    /// One of the fleet `test`, by a file of a key in `dir`.
    fn member(dir: &Path, name: &str, key: &str, seeds: &[&Process]) -> Process {
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{:?}", seed.fleet.expect("a member").to_string())).collect();
        let table = format!(
            "[fleet]\nlisten = \"127.0.0.1:0\"\ncluster = \"test\"\nkeys = [{:?}]\nperiod_ms = 200\nseeds = [{}]\n",
            dir.join(key),
            seeds.join(",")
        );
        Process::start(dir, name, &table)
    }

    fn peers(&self) -> Value {
        let answer = call(self.console, "PEERS");
        let lines: Vec<&str> = answer.lines().collect();
        assert_eq!((lines.len(), lines[lines.len() - 1]), (2, "."), "{answer}");
        serde_json::from_str(lines[0]).expect("JSON")
    }

    /// Asks until the members that it holds stand like that, by name, and its part is the one.
    fn sees(&self, part: &str, members: &[(&str, &str)]) {
        self.until(|seen| {
            let stand =
                |m: &Value| Some((m["name"].as_str()?.to_owned(), m["standing"].as_str()?.to_owned()));
            let mut held: Vec<_> =
                seen["members"].as_array().expect("a list").iter().filter_map(stand).collect();
            held.sort();
            let same = |((a, b), (c, d)): (&(String, String), &(&str, &str))| a == c && b == d;
            seen["part"] == part && held.len() == members.len() && held.iter().zip(members).all(same)
        });
    }

    fn until(&self, holds: impl Fn(&Value) -> bool) {
        let start = Instant::now();
        loop {
            let seen = self.peers();
            if holds(&seen) {
                return;
            }
            assert!(start.elapsed() < PATIENCE, "still {seen}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// Names of its threads, and the number of its UDP sockets.
    fn holds(&self) -> (Vec<String>, usize) {
        let proc = format!("/proc/{}", self.child.id());
        let tasks = std::fs::read_dir(format!("{proc}/task")).expect("it runs");
        let names = tasks.map(|task| {
            let name = std::fs::read_to_string(task.expect("a thread").path().join("comm"));
            name.expect("a name").trim().to_owned()
        });
        let udp: Vec<String> = ["udp", "udp6"]
            .iter()
            .flat_map(|kind| std::fs::read_to_string(format!("{proc}/net/{kind}")))
            .flat_map(|table| table.lines().skip(1).map(str::to_owned).collect::<Vec<_>>())
            .filter_map(|line| line.split_whitespace().nth(9).map(|inode| format!("socket:[{inode}]")))
            .collect();
        let open = std::fs::read_dir(format!("{proc}/fd")).expect("it runs");
        let open = open.filter_map(|fd| std::fs::read_link(fd.ok()?.path()).ok());
        (names.collect(), open.filter(|to| udp.iter().any(|socket| to == Path::new(socket))).count())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn keys() -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("a directory");
    for (file, key) in [("right", "sixteen bytes and more\n"), ("wrong", "another one of sixteen\n")] {
        std::fs::write(dir.path().join(file), key).expect("a file");
    }
    dir
}

/// Guards against: members that do not meet, a stranger let in or refused in silence, and goodbyes unheard: by the
/// console, by its undoing and by the word to stop.
#[test]
fn three_meet_a_stranger_stays_alone_and_goodbyes_are_heard() {
    let dir = keys();
    let a = Process::member(dir.path(), "a", "right", &[]);
    let b = Process::member(dir.path(), "b", "right", &[&a]);
    let mut c = Process::member(dir.path(), "c", "right", &[&a]);
    let stranger = Process::member(dir.path(), "stranger", "wrong", &[&a]);
    for member in [&a, &b, &c] {
        member.sees("whole", &[("a", "reachable"), ("b", "reachable"), ("c", "reachable")]);
    }
    a.until(|seen| seen["counts"]["refused"]["key"].as_u64() > Some(0));
    stranger.sees("alone", &[("stranger", "reachable")]);
    let mut client = TcpStream::connect(a.metrics).expect("it listens");
    send(&mut client, "GET /metrics HTTP/1.1\nHost: a\n\n");
    let page = message(&mut client);
    assert!(page.contains("cottonpoint_fleet_members{standing=\"reachable\"} 3"), "{page}");

    assert_eq!(call(b.console, "LEAVE"), "+OK\n");
    for member in [&a, &c] {
        member.sees("whole", &[("a", "reachable"), ("b", "left"), ("c", "reachable")]);
    }
    assert_eq!(call(b.console, "JOIN"), "+OK\n");
    a.sees("whole", &[("a", "reachable"), ("b", "reachable"), ("c", "reachable")]);

    c.signal(Signal::TERM);
    for member in [&a, &b] {
        member.sees("whole", &[("a", "reachable"), ("b", "reachable"), ("c", "left")]);
    }
    assert!(c.child.wait().expect("it ends").success());
    for member in [&a, &b] {
        let counts = &member.peers()["counts"];
        assert_eq!(
            (&counts["worker_panics"], &counts["too_long_to_send"]),
            (&0.into(), &0.into()),
            "{counts}"
        );
    }
}

/// Guards against: a thread, a socket or a word of the fleet where the operator's file does not ask for one.
#[test]
fn off_means_no_thread_and_no_socket() {
    let dir = keys();
    let off = Process::start(dir.path(), "off", "[fleet]\ncluster = \"test\"\n");
    assert_eq!(off.fleet, None);
    assert_eq!(call(off.console, "PEERS"), "-ERR the fleet is off\n");
    assert_eq!(call(off.console, "LEAVE"), "+OK\n");
    // The same look at one that is on finds them.
    let on = Process::member(dir.path(), "on", "right", &[]);
    assert_eq!(call(on.console, "HEALTH"), "+OK\n");
    assert_eq!((off.holds().1, on.holds().1), (0, 1), "UDP sockets");
    // A thread takes its name when it first runs.
    let start = Instant::now();
    loop {
        let (mut without, mut with) = (off.holds().0, on.holds().0);
        without.extend(["mesh-0".to_owned(), "mesh-1".to_owned()]);
        without.sort();
        with.sort();
        if with == without {
            return;
        }
        assert!(start.elapsed() < PATIENCE, "{with:?} are not {without:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against: a new version beside the old that does not start, because the old one still holds the fleet's
/// address; and one that never joins.
#[test]
fn a_held_address_is_waited_for_and_the_clients_served() {
    let dir = keys();
    let older = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = older.local_addr().expect("bound");
    let table = format!(
        "[fleet]\nlisten = \"{address}\"\ncluster = \"test\"\nkeys = [{:?}]\n",
        dir.path().join("right")
    );
    let newer = Process::start(dir.path(), "newer", &table);
    assert_eq!(call(newer.console, "HEALTH"), "+OK\n");
    assert_eq!(call(newer.console, "PEERS"), "-ERR the fleet's address is held by another process\n");
    drop(older);
    let start = Instant::now();
    while call(newer.console, "PEERS").starts_with("-ERR") {
        assert!(start.elapsed() < PATIENCE, "it does not join");
        std::thread::sleep(Duration::from_millis(5));
    }
    newer.until(|seen| seen["members"][0]["address"] == address.to_string());
}
