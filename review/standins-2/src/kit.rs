//! What the cases share: a record, stand-ins for discovery, endpoints and clients, and the sidecar
//! as a process of its own. Loopback addresses only, one thread for each connection.

use std::fmt::Display;
use std::fs;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Outcome = Result<bool, String>;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// All that happens, in seconds since the start of the run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::default() })
    }

    pub fn add(&self, line: impl Display) {
        let mut lines = self.lines.lock().unwrap();
        lines.push((self.start.elapsed(), line.to_string()));
    }

    /// Adds a line and prints it.
    pub fn say(&self, line: String) {
        let _ = writeln!(io::stdout(), "{line}");
        self.add(line);
    }

    /// A point in time in the record's seconds.
    pub fn at(&self, instant: Instant) -> f64 {
        instant.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn write(&self, file: &Path) -> io::Result<()> {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            text += &format!("{:9.4} {line}\n", at.as_secs_f64());
        }
        fs::write(file, text)
    }
}

pub fn loopback(port: u16) -> SocketAddr {
    (Ipv4Addr::LOCALHOST, port).into()
}

/// An address that nothing listens on now.
pub fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind(loopback(0)).map_err(|e| format!("no free port: {e}"))?;
    listener.local_addr().map_err(|e| e.to_string())
}

fn listen() -> Result<(TcpListener, SocketAddr), String> {
    let listener = TcpListener::bind(loopback(0)).map_err(|e| format!("no free port: {e}"))?;
    let address = listener.local_addr().map_err(|e| e.to_string())?;
    Ok((listener, address))
}

/// A message's head, and the bytes that were read behind it.
pub struct Message {
    pub first_byte: Instant,
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().skip(1).find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    }

    pub fn first_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line().split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message whose body, if it has one, has a length. `None` at the end of the stream.
pub fn read_message(stream: &mut TcpStream, kept: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut first_byte = if kept.is_empty() { None } else { Some(Instant::now()) };
    let mut buffer = [0; 16 << 10];
    let head_end = loop {
        if let Some(at) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        let n = stream.read(&mut buffer)?;
        if n == 0 {
            return if kept.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
        first_byte.get_or_insert_with(Instant::now);
        kept.extend_from_slice(&buffer[..n]);
    };
    let head = String::from_utf8_lossy(&kept[..head_end]).into_owned();
    kept.drain(..head_end);
    let mut message =
        Message { first_byte: first_byte.unwrap_or_else(Instant::now), head, body: Vec::new() };
    let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while kept.len() < length {
        let n = stream.read(&mut buffer)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        kept.extend_from_slice(&buffer[..n]);
    }
    message.body = kept.drain(..length).collect();
    Ok(Some(message))
}

/// An attempt as its endpoint saw it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub endpoint: &'static str,
    pub id: String,
    /// When its first byte arrived.
    pub first_byte: Instant,
    /// When it was answered.
    pub answered: Option<Instant>,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A sound endpoint: answers each request with 200 and a body made of its own name and the
/// request's id, after the time that `work` gives for the request.
pub struct Endpoint {
    pub name: &'static str,
    pub address: SocketAddr,
}

impl Endpoint {
    pub fn start(
        name: &'static str,
        record: &Arc<Record>,
        arrivals: &Arrivals,
        work: impl Fn(&Message) -> Duration + Send + Sync + 'static,
    ) -> Result<Endpoint, String> {
        let (listener, address) = listen()?;
        let (record, arrivals, work) = (record.clone(), arrivals.clone(), Arc::new(work));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrivals, work) = (record.clone(), arrivals.clone(), work.clone());
                thread::spawn(move || serve_endpoint(name, stream, &record, &arrivals, &*work));
            }
        });
        Ok(Endpoint { name, address })
    }

    /// A sound endpoint whose answers are long: it writes a piece at a time, with a pause after each.
    pub fn start_long(
        name: &'static str,
        record: &Arc<Record>,
        arrivals: &Arrivals,
        length: usize,
        piece: usize,
        pause: Duration,
    ) -> Result<Endpoint, String> {
        let (listener, address) = listen()?;
        let (record, arrivals) = (record.clone(), arrivals.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrivals) = (record.clone(), arrivals.clone());
                thread::spawn(move || {
                    let end = serve_long(name, stream, &record, &arrivals, length, piece, pause);
                    if let Err(error) = end {
                        record.add(format_args!("endpoint {name}: {error}"));
                    }
                });
            }
        });
        Ok(Endpoint { name, address })
    }
}

fn serve_long(
    name: &'static str,
    mut stream: TcpStream,
    record: &Record,
    arrivals: &Arrivals,
    length: usize,
    piece: usize,
    pause: Duration,
) -> io::Result<()> {
    let mut kept = Vec::new();
    while let Some(message) = read_message(&mut stream, &mut kept)? {
        let id = message.header("x-correlation-id").unwrap_or_default().to_owned();
        record.add(format_args!("endpoint {name} received {id}"));
        arrivals.lock().unwrap().push(Arrival {
            endpoint: name,
            id: id.clone(),
            first_byte: message.first_byte,
            answered: None,
        });
        stream.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())?;
        let (bytes, mut left) = (vec![b'x'; piece], length);
        while left > 0 {
            let n = left.min(piece);
            stream.write_all(&bytes[..n])?;
            left -= n;
            thread::sleep(pause);
        }
        record.add(format_args!("endpoint {name} has answered {id} to the last byte"));
    }
    Ok(())
}

fn serve_endpoint(
    name: &'static str,
    mut stream: TcpStream,
    record: &Record,
    arrivals: &Arrivals,
    work: &(dyn Fn(&Message) -> Duration + Send + Sync),
) {
    let _ = stream.set_nodelay(true);
    let mut kept = Vec::new();
    while let Ok(Some(message)) = read_message(&mut stream, &mut kept) {
        let id = message.header("x-correlation-id").unwrap_or_default().to_owned();
        let told = message.header("x-time-left-ms").unwrap_or("no");
        record.add(format_args!("endpoint {name} received {id}, told {told} ms, {}", message.first_line()));
        let arrival =
            Arrival { endpoint: name, id: id.clone(), first_byte: message.first_byte, answered: None };
        let index = {
            let mut arrivals = arrivals.lock().unwrap();
            arrivals.push(arrival);
            arrivals.len() - 1
        };
        thread::sleep(work(&message));
        let body = format!("{name} {id}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Backend-Load: throughput=20,recent_ms=10,utilization=0.30\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            record.add(format_args!("endpoint {name}: the connection of {id} is closed"));
            return;
        }
        arrivals.lock().unwrap()[index].answered = Some(Instant::now());
        record.add(format_args!("endpoint {name} answered {id}"));
    }
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub name: &'static str,
    pub address: SocketAddr,
    pub lifecycle: &'static str,
    pub zone: &'static str,
    /// The version in which it last changed.
    changed: u64,
}

impl Entry {
    pub fn active(endpoint: &Endpoint, zone: &'static str) -> Entry {
        Entry { name: endpoint.name, address: endpoint.address, lifecycle: "active", zone, changed: 1 }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"instanceId":"{}","hostPort":"{}","zone":"{}","machineType":"m1","cell":1,"lifecycle":"{}","weight":1.0,"startedAtMs":0}}"#,
            self.name, self.address, self.zone, self.lifecycle
        )
    }
}

fn list_json<'a>(generation: u64, reset: bool, entries: impl Iterator<Item = &'a Entry>) -> String {
    let entries: Vec<String> = entries.map(Entry::json).collect();
    format!(r#"{{"generation":{generation},"reset":{reset},"instances":[{}]}}"#, entries.join(","))
}

struct List {
    generation: u64,
    entries: Vec<Entry>,
    /// While discovery has too many callers: how long a call that comes now waits in the queue
    /// before it fails.
    crowded: Option<Duration>,
}

/// Discovery. A watch that is open, and one that continues within 200 ms of its last answer, is told
/// each change at once, crowded or not; any other call waits its turn.
pub struct Discovery {
    pub address: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Arc<Record>,
}

impl Discovery {
    pub fn start(record: &Arc<Record>, entries: Vec<Entry>) -> Result<Discovery, String> {
        let (listener, address) = listen()?;
        let list = Arc::new((Mutex::new(List { generation: 1, entries, crowded: None }), Condvar::new()));
        let discovery = Discovery { address, list: list.clone(), record: record.clone() };
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, list) = (record.clone(), list.clone());
                thread::spawn(move || serve_discovery(stream, &record, &list));
            }
        });
        Ok(discovery)
    }

    /// The whole list as it is now, in the form of a configuration's `known`.
    pub fn whole_list(&self) -> String {
        let list = self.list.0.lock().unwrap();
        list_json(list.generation, true, list.entries.iter().filter(|e| e.lifecycle != "left"))
    }

    /// Changes the state of an endpoint.
    pub fn set_lifecycle(&self, name: &str, lifecycle: &'static str) -> Instant {
        let mut list = self.list.0.lock().unwrap();
        list.generation += 1;
        let generation = list.generation;
        for entry in list.entries.iter_mut().filter(|entry| entry.name == name) {
            (entry.lifecycle, entry.changed) = (lifecycle, generation);
        }
        self.list.1.notify_all();
        self.record.add(format_args!("discovery has version {generation}: {name} is {lifecycle}"));
        Instant::now()
    }

    pub fn set_crowded(&self, queue: Option<Duration>) {
        self.list.0.lock().unwrap().crowded = queue;
        match queue {
            Some(wait) => self.record.add(format_args!(
                "discovery has too many callers: a call waits {:.1} s in the queue and fails",
                wait.as_secs_f64()
            )),
            None => self.record.add("discovery has no queue any more"),
        }
    }
}

fn serve_discovery(mut stream: TcpStream, record: &Record, list: &(Mutex<List>, Condvar)) {
    let _ = stream.set_nodelay(true);
    let (mut kept, mut watch_answered) = (Vec::new(), None::<Instant>);
    while let Ok(Some(message)) = read_message(&mut stream, &mut kept) {
        let target = message.first_line().split(' ').nth(1).unwrap_or_default().to_owned();
        record.add(format_args!("discovery received {target}"));
        let value = |name: &str| {
            let query = target.split_once('?')?.1;
            query
                .split('&')
                .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        let from = value("from");
        let hold = ms(value("hold_ms").unwrap_or(0).min(60_000));
        let continues = watch_answered.take().is_some_and(|at| at.elapsed() <= ms(200)) && !hold.is_zero();
        let queue = if continues { None } else { list.0.lock().unwrap().crowded };
        if let Some(wait) = queue {
            thread::sleep(wait);
            record.add(format_args!("discovery answers 503 to {target}: it waited too long"));
            let answer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let body = {
            let held = list.0.lock().unwrap();
            let unchanged = |held: &mut List| from.is_some_and(|from| held.generation <= from);
            let (held, _) = list.1.wait_timeout_while(held, hold, unchanged).unwrap();
            match from {
                Some(from) => {
                    list_json(held.generation, false, held.entries.iter().filter(|e| e.changed > from))
                }
                None => {
                    list_json(held.generation, true, held.entries.iter().filter(|e| e.lifecycle != "left"))
                }
            }
        };
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
        watch_answered = Some(Instant::now()).filter(|_| !hold.is_zero());
        record.add(format_args!("discovery answered {target}: {body}"));
    }
}

/// Settings of a class.
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub aim_ms: u64,
    pub give_up_ms: u64,
    pub window_ms: u64,
    pub worth: f64,
    pub late_worth: f64,
}

/// Settings of a small deployment.
pub struct Site {
    pub classes: Vec<Class>,
    /// The zones; the sidecar is in the first one.
    pub zones: &'static [&'static str],
    pub cross_zone_price: f64,
    pub tenant: &'static str,
    /// `piggyback` or `silent`, and the fields of the load reports.
    pub reports: &'static str,
    pub fields: &'static str,
    /// Which endpoints drop repeats of a key.
    pub group: &'static str,
    pub may_duplicate: bool,
    pub grace_ms: u64,
    pub tip_after_ms: u64,
    pub max_attempts: u32,
    pub connect_timeout_ms: u64,
    pub conn_idle_ms: u64,
    pub cold_from: f64,
    pub warm_after_ms: u64,
    pub fall_multiple: f64,
    /// Descriptors of the sidecar.
    pub sockets: u32,
}

/// ktm-gallery.
pub fn ktm_gallery() -> Site {
    let class = |name, semantics, aim_ms, give_up_ms, worth| Class {
        name,
        semantics,
        aim_ms,
        give_up_ms,
        window_ms: 10_000,
        worth,
        late_worth: 0.0,
    };
    Site {
        classes: vec![
            class("view-album", "read_like", 750, 2000, 5.0),
            class("full-photo", "read_like", 2000, 5000, 1.0),
            class("album-zip", "read_like", 2500, 6000, 1.0),
            class("print-order", "idempotency_key", 2500, 6000, 8.0),
        ],
        zones: &["singhadurbar-dc"],
        cross_zone_price: 0.0,
        tenant: "kathmandu-office",
        fields: "throughput,recent_ms,utilization",
        reports: "piggyback",
        group: "all",
        may_duplicate: false,
        grace_ms: 500,
        tip_after_ms: 1500,
        max_attempts: 6,
        connect_timeout_ms: 50,
        conn_idle_ms: 30_000,
        cold_from: 0.15,
        warm_after_ms: 24_000,
        fall_multiple: 2.5,
        sockets: 1024,
    }
}

/// rounds-main.
pub fn rounds_main() -> Site {
    let class = |name, semantics, aim_ms, give_up_ms, worth| Class {
        name,
        semantics,
        aim_ms,
        give_up_ms,
        window_ms: 2500,
        worth,
        late_worth: 0.3,
    };
    Site {
        classes: vec![
            class("farm-lookup", "read_like", 800, 2000, 2.0),
            class("round-sheet", "read_like", 1200, 3000, 2.0),
            class("tank-drop", "non_idempotent", 750, 2000, 3.0),
            class("farmer-pay", "idempotency_key", 600, 1500, 10.0),
        ],
        zones: &["mandeville", "linstead", "santa-cruz"],
        cross_zone_price: 0.015,
        tenant: "manchester",
        fields: "throughput,utilization",
        reports: "piggyback",
        group: "all",
        may_duplicate: false,
        grace_ms: 500,
        tip_after_ms: 1500,
        max_attempts: 4,
        connect_timeout_ms: 150,
        conn_idle_ms: 10_000,
        cold_from: 0.32,
        warm_after_ms: 7500,
        fall_multiple: 3.0,
        sockets: 1024,
    }
}

/// roster-jawa.
pub fn roster_jawa() -> Site {
    let class = |name, semantics, aim_ms, give_up_ms, worth| Class {
        name,
        semantics,
        aim_ms,
        give_up_ms,
        window_ms: 10_000,
        worth,
        late_worth: 0.2,
    };
    Site {
        classes: vec![
            class("view-roster", "read_like", 1500, 4000, 3.0),
            class("plan-cover", "read_like", 2500, 6000, 1.0),
            class("confirm-swap", "idempotency_key", 2500, 6000, 8.0),
        ],
        zones: &["bandung", "semarang", "surabaya"],
        cross_zone_price: 0.015,
        tenant: "ward",
        reports: "silent",
        fields: "",
        group: "cell",
        may_duplicate: true,
        grace_ms: 1000,
        tip_after_ms: 1000,
        max_attempts: 6,
        connect_timeout_ms: 100,
        conn_idle_ms: 5000,
        cold_from: 0.15,
        warm_after_ms: 20_000,
        fall_multiple: 2.5,
        sockets: 1024,
    }
}

impl Site {
    fn json(&self) -> String {
        let ns = |ms: u64| ms * 1_000_000;
        let zones: Vec<String> = self.zones.iter().map(|zone| format!("\"{zone}\"")).collect();
        let lanes: Vec<String> = self
            .classes
            .iter()
            .map(|c| {
                format!(
                    r#"{{"name":"{}","semantics":"{}","group":"{}","window_ns":{},"aim_ns":{},"give_up_ns":{},"worth":{:.1},"late_worth":{:.1},"streaming":false}}"#,
                    c.name, c.semantics, self.group, ns(c.window_ms), ns(c.aim_ms), ns(c.give_up_ms), c.worth, c.late_worth
                )
            })
            .collect();
        let fields = self.fields.split(',').filter(|field| !field.is_empty());
        let fields: Vec<String> = fields.map(|f| format!("\"{f}\"")).collect();
        format!(
            r#"{{"me":0,"siblings":1,"my_zone":0,"tier":0,"azs":[{}],"shapes":["m1"],"layers":["front"],
"discovery":"on_request","telemetry":{{"how":"{}","fields":[{}]}},
"lanes":[{}],"orgs":[{{"name":"{}","quota_per_s":400.0,"share":1.0}}],"over_share_worth":0.2,
"limits":{{"max_attempts":{},"may_duplicate":{},"cancelling":true,"probes":false,"peer_messages":false,
"retry_after":false,"max_retry_after_ns":2000000000,"connect_timeout_ns":{},"conn_idle_ns":{},"streams_per_conn":1}},
"obligations":{{"answer_slack_ns":8000000,"ask_within_ns":10000000000,"cold_from":{},"fall_multiple":{},
"stop_sending_within_ns":{},"tip_after_ns":{},"warm_after_ns":{}}},
"penalties":{{"cross_zone":{}}},"weight_kind":"nominal","worth_by":"request"}}"#,
            zones.join(","),
            self.reports,
            fields.join(","),
            lanes.join(","),
            self.tenant,
            self.max_attempts,
            self.may_duplicate,
            ns(self.connect_timeout_ms),
            ns(self.conn_idle_ms),
            self.cold_from,
            self.fall_multiple,
            ns(self.grace_ms),
            ns(self.tip_after_ms),
            ns(self.warm_after_ms),
            self.cross_zone_price
        )
    }
}

/// A folder for the run, removed at its end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Result<Folder, String> {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(path.join("state")).map_err(|e| format!("no temporary folder: {e}"))?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// One process of the sidecar. It is killed when this is dropped.
pub struct Sidecar {
    child: Child,
    name: String,
    console: SocketAddr,
    record: Arc<Record>,
}

/// The configuration of a sidecar.
pub struct Start<'a> {
    pub folder: &'a Folder,
    pub site: &'a Site,
    pub listen: SocketAddr,
    pub console: SocketAddr,
    pub discovery: SocketAddr,
    pub known: &'a str,
}

impl Sidecar {
    /// Starts it by `run` of the deploy file, from the root of the repository.
    pub fn start(name: &str, start: &Start, record: &Arc<Record>) -> Result<Sidecar, String> {
        let root = PathBuf::from(std::env::var("REPOSITORY").map_err(|_| "REPOSITORY is not set")?);
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml")).map_err(|e| e.to_string())?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("the deploy file has no run")?;
        let folder = &start.folder.0;
        let config = format!(
            r#"{{"name":"n1","listen":"{}","discovery":"{}","console":"{}","seed":"{:016x}",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},"known":{},"settings":{}}}"#,
            start.listen,
            start.discovery,
            start.console,
            u64::from(std::process::id()) * 0x9E37_79B9_7F4A_7C15 % 0xFFFF_FFFF_FFFF,
            start.site.sockets,
            start.known,
            start.site.json()
        );
        let config_file = folder.join(format!("{name}.json"));
        fs::write(&config_file, config).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let log_too = log.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new("/bin/sh")
            .args(["-c", run])
            .current_dir(&root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", start.listen.to_string())
            .env("NODE_DISCOVERY", start.discovery.to_string())
            .env("NODE_CONSOLE", start.console.to_string())
            .env("NODE_CONFIG", &config_file)
            .env("TMPDIR", folder.join("state"))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(log_too)
            .spawn()
            .map_err(|e| format!("the sidecar does not start: {e}"))?;
        record.add(format_args!("{name}: started"));
        let (name, record) = (name.to_owned(), record.clone());
        Ok(Sidecar { child, name, console: start.console, record })
    }

    /// Waits until this process takes clients, by its own console. Returns when it said yes.
    pub fn wait_until_ready(&mut self) -> Result<Instant, String> {
        let deadline = Instant::now() + ms(6000);
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Err(format!("{} ended: {status}", self.name));
            }
            if console(self.console, "HEALTH").is_ok_and(|answer| answer.starts_with("+OK")) {
                self.record.add(format_args!("{}: says yes to HEALTH", self.name));
                return Ok(Instant::now());
            }
            thread::sleep(ms(10));
        }
        Err(format!("{} is not ready", self.name))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: &str) -> Result<(), String> {
        self.record.add(format_args!("{}: SIG{signal}", self.name));
        let status = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{signal} {}", self.child.id())])
            .status()
            .map_err(|e| e.to_string())?;
        if status.success() { Ok(()) } else { Err(format!("kill -{signal}: {status}")) }
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    pub fn kill(&mut self) {
        self.record.add(format_args!("{}: SIGKILL", self.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One call of the console: the whole answer.
pub fn console(address: SocketAddr, call: &str) -> io::Result<String> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(ms(1500)))?;
    stream.write_all(format!("{call}\n").as_bytes())?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer)?;
    Ok(answer)
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// An id that no request has had before.
pub fn new_id() -> String {
    format!("{:016x}", NEXT_ID.fetch_add(1, Ordering::SeqCst))
}

/// A request without a body of a class that is safe to repeat.
pub fn safe_request(class: &str, tenant: &str, id: &str, time_left: u64) -> String {
    format!(
        "GET /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Account: {tenant}\r\nX-Time-Left-Ms: {time_left}\r\n\r\n"
    )
}

/// A request of a class with idempotency keys.
pub fn keyed_request(class: &str, tenant: &str, id: &str, time_left: u64) -> String {
    format!(
        "POST /{class}/{id} HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\nX-Account: {tenant}\r\nX-Time-Left-Ms: {time_left}\r\nIdempotency-Key: key-{id}\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// Sends a request and reads its answer on a connection.
pub fn exchange(stream: &mut TcpStream, request: &[u8], timeout: Duration) -> io::Result<Message> {
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    read_message(stream, &mut Vec::new())?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Clients that each send one safe request after another, with a pause, on a kept connection.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Clients {
    pub fn start(
        count: usize,
        pause: Duration,
        target: SocketAddr,
        site: &Site,
        record: &Arc<Record>,
    ) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let (class, tenant, time_left) = (site.classes[0].name, site.tenant, site.classes[0].give_up_ms);
        let threads = (0..count).map(|_| {
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                let mut connection = None;
                while !stop.load(Ordering::SeqCst) {
                    thread::sleep(pause);
                    let Some(mut stream) = connection.take().or_else(|| TcpStream::connect(target).ok())
                    else {
                        continue;
                    };
                    let id = new_id();
                    let request = safe_request(class, tenant, &id, time_left);
                    record.add(format_args!("client sends {id}"));
                    match exchange(&mut stream, request.as_bytes(), ms(time_left + 550)) {
                        Ok(answer) => {
                            record.add(format_args!("client has {} for {id}", answer.status()));
                            let closes = answer.header("connection") == Some("close");
                            connection = Some(stream).filter(|_| !closes);
                        }
                        Err(error) => record.add(format_args!("client has no answer for {id}: {error}")),
                    }
                }
            })
        });
        let threads = threads.collect();
        Clients { stop, threads }
    }

    pub fn end(self) {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}

/// Reports the attempts at an endpoint that began after the limit; whether there are any.
pub fn report_late(
    record: &Record,
    arrivals: &Arrivals,
    name: &str,
    changed: Instant,
    limit: Instant,
) -> bool {
    let arrivals = arrivals.lock().unwrap();
    let at_endpoint: Vec<&Arrival> = arrivals.iter().filter(|arrival| arrival.endpoint == name).collect();
    let late: Vec<&&Arrival> = at_endpoint.iter().filter(|arrival| arrival.first_byte > limit).collect();
    for arrival in &late {
        record.add(format_args!(
            "late: {name} was sent {} at {:.4}",
            arrival.id,
            record.at(arrival.first_byte)
        ));
    }
    let line = format!(
        "{name}: {} attempts in all, {} after the change, {} after the limit",
        at_endpoint.len(),
        at_endpoint.iter().filter(|arrival| arrival.first_byte > changed).count(),
        late.len()
    );
    record.say(line);
    !late.is_empty()
}
