//! The fleet, as processes of the program on loopback.
#![allow(missing_docs)]

#[path = "sidecar/harness.rs"]
#[allow(dead_code)]
mod harness;

use harness::{config_json, console_command, read_message, send};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than any wait in these tests: it elapses only in a failure.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A process of the program. Dropped, it is killed.
struct Process {
    child: Child,
    console: SocketAddr,
    metrics: SocketAddr,
    /// The address that receives the fleet's datagrams, if it is in a fleet.
    fleet: Option<SocketAddr>,
}

impl Process {
    /// Starts a process and waits until it has logged its addresses; `fleet` is the table of its
    /// operator's file.
    fn start(dir: &Path, name: &str, fleet: &str) -> Process {
        let discovery = "127.0.0.1:9".parse().expect("an address where nobody listens");
        let named = format!(r#""name":"{name}","console":"127.0.0.1:0""#);
        let text = config_json(discovery, "null", 256).replace(r#""name":"n0""#, &named);
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
        let (mut console, mut metrics, mut fleet_address) = (None, None, None);
        for line in log.by_ref() {
            let line = line.expect("text");
            let entry: Value = serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line}"));
            let address = entry["listen"].as_str().and_then(|address| address.parse().ok());
            match entry["message"].as_str() {
                Some("serves the console") => console = address,
                Some("serves metrics") => metrics = address,
                Some("the fleet listens") => fleet_address = address,
                Some("serves") => break,
                _ => {}
            }
        }
        std::thread::spawn(move || log.for_each(drop));
        let expectation = "logged before it serves";
        Process {
            child,
            console: console.expect(expectation),
            metrics: metrics.expect(expectation),
            fleet: fleet_address,
        }
    }

    /// Starts a member of the fleet `test`, with the key file `key` in `dir`.
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
        let answer = console_command(self.console, "PEERS");
        let lines: Vec<&str> = answer.lines().collect();
        assert_eq!((lines.len(), lines[lines.len() - 1]), (2, "."), "{answer}");
        serde_json::from_str(lines[0]).expect("JSON")
    }

    /// Waits until its members have these standings, by name, and its part is `part`.
    fn wait_for_members(&self, part: &str, members: &[(&str, &str)]) {
        self.wait_until(|view| {
            let name_and_standing =
                |m: &Value| Some((m["name"].as_str()?.to_owned(), m["standing"].as_str()?.to_owned()));
            let mut held: Vec<_> =
                view["members"].as_array().expect("a list").iter().filter_map(name_and_standing).collect();
            held.sort();
            let same = |((a, b), (c, d)): (&(String, String), &(&str, &str))| a == c && b == d;
            view["part"] == part && held.len() == members.len() && held.iter().zip(members).all(same)
        });
    }

    fn wait_until(&self, holds: impl Fn(&Value) -> bool) {
        let start = Instant::now();
        loop {
            let view = self.peers();
            if holds(&view) {
                return;
            }
            assert!(start.elapsed() < TEST_TIMEOUT, "still {view}");
            std::thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("it runs");
    }

    /// The names of its threads, and the number of its UDP sockets.
    fn threads_and_sockets(&self) -> (Vec<String>, usize) {
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

/// Guards against members that do not meet, a member with a wrong key that is accepted or refused
/// without a count, and departures that do not spread: by the console, by its undoing, and by the
/// stop event.
#[test]
fn members_meet_wrong_key_is_refused_and_departures_spread() {
    let dir = keys();
    let a = Process::member(dir.path(), "a", "right", &[]);
    let b = Process::member(dir.path(), "b", "right", &[&a]);
    let mut c = Process::member(dir.path(), "c", "right", &[&a]);
    let other_key_member = Process::member(dir.path(), "stranger", "wrong", &[&a]);
    for member in [&a, &b, &c] {
        member.wait_for_members("whole", &[("a", "reachable"), ("b", "reachable"), ("c", "reachable")]);
    }
    a.wait_until(|view| view["counts"]["refused"]["key"].as_u64() > Some(0));
    other_key_member.wait_for_members("alone", &[("stranger", "reachable")]);
    let mut client = TcpStream::connect(a.metrics).expect("it listens");
    send(&mut client, "GET /metrics HTTP/1.1\nHost: a\n\n");
    let page = read_message(&mut client);
    assert!(page.contains("cottonpoint_fleet_members{standing=\"reachable\"} 3"), "{page}");

    assert_eq!(console_command(b.console, "LEAVE"), "+OK\n");
    for member in [&a, &c] {
        member.wait_for_members("whole", &[("a", "reachable"), ("b", "left"), ("c", "reachable")]);
    }
    assert_eq!(console_command(b.console, "JOIN"), "+OK\n");
    a.wait_for_members("whole", &[("a", "reachable"), ("b", "reachable"), ("c", "reachable")]);

    c.signal(Signal::TERM);
    for member in [&a, &b] {
        member.wait_for_members("whole", &[("a", "reachable"), ("b", "reachable"), ("c", "left")]);
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

/// Guards against threads, sockets or log lines of the fleet if the operator's file does not turn
/// it on.
#[test]
fn disabled_fleet_has_no_thread_and_no_socket() {
    let dir = keys();
    let off = Process::start(dir.path(), "off", "[fleet]\ncluster = \"test\"\n");
    assert_eq!(off.fleet, None);
    assert_eq!(console_command(off.console, "PEERS"), "-ERR the fleet is off\n");
    assert_eq!(console_command(off.console, "LEAVE"), "+OK\n");
    // The same check finds them in a process whose fleet is on.
    let on = Process::member(dir.path(), "on", "right", &[]);
    assert_eq!(console_command(on.console, "HEALTH"), "+OK\n");
    assert_eq!((off.threads_and_sockets().1, on.threads_and_sockets().1), (0, 1), "UDP sockets");
    // A thread sets its name when it first runs.
    let start = Instant::now();
    loop {
        let (mut without, mut with) = (off.threads_and_sockets().0, on.threads_and_sockets().0);
        without.extend(["mesh-0".to_owned(), "mesh-1".to_owned()]);
        without.sort();
        with.sort();
        if with == without {
            return;
        }
        assert!(start.elapsed() < TEST_TIMEOUT, "{with:?} are not {without:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards against a new version that does not start beside the old one because that one still holds
/// the fleet's address, and against one that never joins.
#[test]
fn clients_are_served_while_fleet_address_is_in_use() {
    let dir = keys();
    let older = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = older.local_addr().expect("bound");
    let table = format!(
        "[fleet]\nlisten = \"{address}\"\ncluster = \"test\"\nkeys = [{:?}]\n",
        dir.path().join("right")
    );
    let newer = Process::start(dir.path(), "newer", &table);
    assert_eq!(console_command(newer.console, "HEALTH"), "+OK\n");
    assert_eq!(
        console_command(newer.console, "PEERS"),
        "-ERR the fleet's address is held by another process\n"
    );
    drop(older);
    let start = Instant::now();
    while console_command(newer.console, "PEERS").starts_with("-ERR") {
        assert!(start.elapsed() < TEST_TIMEOUT, "it does not join");
        std::thread::sleep(Duration::from_millis(5));
    }
    newer.wait_until(|view| view["members"][0]["address"] == address.to_string());
}
