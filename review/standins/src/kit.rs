//! Stand-ins for what a sidecar talks to, by the protocol page: clients, endpoints, discovery, and
//! the platform that starts and signals the program. Blocking sockets, a thread for each
//! connection, loopback only.

use std::collections::HashMap;
use std::fmt::Display;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

pub type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// The log of a run: what was sent, answered and run, with the milliseconds since the start.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Arc<Record>> {
        Ok(Arc::new(Record { file: Mutex::new(File::create(path)?), start: Instant::now() }))
    }

    pub fn now(&self) -> u64 {
        self.at(Instant::now())
    }

    pub fn at(&self, time: Instant) -> u64 {
        time.saturating_duration_since(self.start).as_millis() as u64
    }

    pub fn line(&self, who: &str, text: impl Display) {
        let line = format!("{:>7} {who:<10} {text}\n", self.now());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// One HTTP message with the times of its first and last byte.
pub struct Message {
    pub start: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    pub first_byte: Instant,
    pub last_byte: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// The second word of the first line: a request's path, an answer's status.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a message framed by Content-Length; `None` where the stream ends before it begins.
pub fn read_message(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut first_byte = (!buffer.is_empty()).then(Instant::now);
    let mut fill = |buffer: &mut Vec<u8>, first: &mut Option<Instant>| -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let n = stream.read(&mut bytes)?;
        first.get_or_insert_with(Instant::now);
        buffer.extend_from_slice(&bytes[..n]);
        Ok(n)
    };
    let end = loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            break end;
        }
        if fill(buffer, &mut first_byte)? == 0 {
            return if buffer.is_empty() { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
        }
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let start = lines.next().unwrap_or("").to_owned();
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length: usize = headers.get("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    while buffer.len() < end + 4 + length {
        if fill(buffer, &mut first_byte)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    let body = buffer[end + 4..end + 4 + length].to_vec();
    buffer.drain(..end + 4 + length);
    let first_byte = first_byte.unwrap_or_else(Instant::now);
    Ok(Some(Message { start, headers, body, first_byte, last_byte: Instant::now() }))
}

// ---------------------------------------------------------------------------------------------
// Endpoints

/// What an endpoint does with a request that has arrived whole: it works, then answers.
pub struct Work {
    pub takes: Duration,
    pub status: &'static str,
}

/// One request that arrived whole at an endpoint, and so has run there.
#[derive(Clone)]
pub struct Run {
    pub endpoint: String,
    pub id: String,
    pub first_byte: u64,
    pub last_byte: u64,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Starts an endpoint that runs each request once its last byte has arrived. Its answer names the
/// request, so that a client can tell whose answer it has.
pub fn endpoint(
    name: &str,
    record: &Arc<Record>,
    runs: &Runs,
    work: impl Fn(&str, &Message) -> Work + Send + Sync + 'static,
) -> Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (name, record, runs, work) = (name.to_owned(), record.clone(), runs.clone(), Arc::new(work));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, runs, work) = (name.clone(), record.clone(), runs.clone(), work.clone());
            thread::spawn(move || {
                let _ = serve_endpoint(stream, &name, &record, &runs, &*work);
            });
        }
    });
    Ok(address)
}

fn serve_endpoint(
    mut stream: TcpStream,
    name: &str,
    record: &Record,
    runs: &Runs,
    work: &dyn Fn(&str, &Message) -> Work,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_message(&mut stream, &mut buffer)? {
        let id = request.header("x-correlation-id").to_owned();
        if id.is_empty() {
            stream.write_all(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let (first_byte, last_byte) = (record.at(request.first_byte), record.at(request.last_byte));
        runs.lock().unwrap().push(Run { endpoint: name.to_owned(), id: id.clone(), first_byte, last_byte });
        let Work { takes, status } = work(name, &request);
        record.line(name, format_args!("runs {id} {} (first byte at {first_byte})", request.start));
        thread::sleep(takes);
        let body = format!("{name} made this for {id}\n");
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Backend-Load: throughput=20.0,utilization=0.30\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        record.line(name, format_args!("answers {id} {status}"));
        stream.write_all(answer.as_bytes())?;
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------
// Discovery

struct Entry {
    name: String,
    address: SocketAddr,
    lifecycle: &'static str,
    changed: u64,
}

struct List {
    generation: u64,
    entries: Vec<Entry>,
    /// Discovery is down: its agent accepts connections and is silent on them.
    down: bool,
}

pub struct Discovery {
    pub address: SocketAddr,
    list: Mutex<List>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Discovery {
    /// Starts discovery with the endpoints as active since long ago.
    pub fn start(record: &Arc<Record>, endpoints: &[(String, SocketAddr)]) -> Result<Arc<Discovery>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let entries = endpoints
            .iter()
            .map(|(name, address)| Entry {
                name: name.clone(),
                address: *address,
                lifecycle: "active",
                changed: 1,
            })
            .collect();
        let discovery = Arc::new(Discovery {
            address: listener.local_addr()?,
            list: Mutex::new(List { generation: 1, entries, down: false }),
            changed: Condvar::new(),
            record: record.clone(),
        });
        let this = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || drop(this.serve(stream)));
            }
        });
        Ok(discovery)
    }

    /// Publishes an endpoint's new state, and so writes it to all open watches.
    pub fn publish(&self, name: &str, lifecycle: &'static str) {
        let mut list = self.list.lock().unwrap();
        list.generation += 1;
        let generation = list.generation;
        for entry in list.entries.iter_mut().filter(|e| e.name == name) {
            (entry.lifecycle, entry.changed) = (lifecycle, generation);
        }
        drop(list);
        self.record.line("discovery", format_args!("{name} is now {lifecycle} (version {generation})"));
        self.changed.notify_all();
    }

    /// Discovery goes down, so its agent is silent; or it is back.
    pub fn set_down(&self, down: bool) {
        self.list.lock().unwrap().down = down;
        self.record.line("discovery", if down { "is down: the agent is silent" } else { "is back" });
        self.changed.notify_all();
    }

    /// The list in discovery's form: the whole of it, or the changes since a version.
    pub fn list(&self, since: Option<u64>) -> String {
        self.list.lock().unwrap().json(since)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let peer = stream.peer_addr()?.port();
        let mut buffer = Vec::new();
        while let Some(call) = read_message(&mut stream, &mut buffer)? {
            let path = call.word().to_owned();
            let query = path.split_once('?').map_or("", |(_, query)| query);
            let figure = |name: &str| {
                query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
            };
            self.record.line("discovery", format_args!("call {path} from port {peer}"));
            let (from, hold) = (figure("from"), ms(figure("hold_ms").unwrap_or(0).min(60_000)));
            let mut list = self.list.lock().unwrap();
            let until = Instant::now() + hold;
            while list.down || from == Some(list.generation) && Instant::now() < until {
                let left = until.saturating_duration_since(Instant::now()).max(ms(10));
                list = self.changed.wait_timeout(list, left).unwrap().0;
            }
            let body = list.json(from);
            drop(list);
            self.record.line("discovery", format_args!("answers port {peer}: {body}"));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(format!("{head}{body}").as_bytes())?;
        }
        Ok(())
    }
}

impl List {
    fn json(&self, since: Option<u64>) -> String {
        let entries: Vec<String> = self
            .entries
            .iter()
            .filter(|e| since.is_none_or(|since| e.changed > since))
            .map(|e| {
                format!(
                    "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"a\",\"machineType\":\"m1\",\"cell\":1,\
                     \"lifecycle\":\"{}\",\"weight\":1.0,\"startedAtMs\":0}}",
                    e.name, e.address, e.lifecycle
                )
            })
            .collect();
        let (generation, reset) = (self.generation, since.is_none());
        format!("{{\"generation\":{generation},\"reset\":{reset},\"instances\":[{}]}}", entries.join(","))
    }
}

// ---------------------------------------------------------------------------------------------
// The platform: settings, processes, signals

/// A class of the settings; times in milliseconds.
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub aim: u64,
    pub give_up: u64,
    pub worth: f64,
    pub late_worth: f64,
    pub window: u64,
}

/// The settings of one sidecar in front of one tier, in the form of the deployment page.
pub fn settings(classes: &[Class], max_attempts: u32, discovery: &str) -> String {
    let lanes: Vec<String> = classes
        .iter()
        .map(|c| {
            format!(
                "{{\"name\":\"{}\",\"semantics\":\"{}\",\"group\":\"all\",\"window_ns\":{}000000,\"aim_ns\":{}000000,\
                 \"give_up_ns\":{}000000,\"worth\":{:.1},\"late_worth\":{:.2},\"streaming\":false}}",
                c.name, c.semantics, c.window, c.aim, c.give_up, c.worth, c.late_worth
            )
        })
        .collect();
    format!(
        "{{\"me\":0,\"siblings\":1,\"my_zone\":0,\"tier\":0,\"azs\":[\"a\"],\"shapes\":[\"m1\"],\"layers\":[\"front\"],\
         \"discovery\":\"{discovery}\",\
         \"telemetry\":{{\"how\":\"piggyback\",\"fields\":[\"throughput\",\"utilization\"]}},\
         \"lanes\":[{}],\"orgs\":[{{\"name\":\"office\",\"quota_per_s\":1000.0,\"share\":1.0}}],\"over_share_worth\":0.3,\
         \"limits\":{{\"max_attempts\":{max_attempts},\"may_duplicate\":false,\"cancelling\":true,\"probes\":false,\
         \"retry_after\":false,\"max_retry_after_ns\":2000000000,\"connect_timeout_ns\":120000000,\
         \"conn_idle_ns\":20000000000}},\
         \"obligations\":{{\"answer_slack_ns\":8000000,\"ask_within_ns\":10000000000,\"cold_from\":0.3,\
         \"warm_after_ns\":8000000000,\"fall_multiple\":2.8,\"tip_after_ns\":1800000000,\
         \"stop_sending_within_ns\":500000000}},\
         \"penalties\":{{\"cross_zone\":0.0}}}}",
        lanes.join(",")
    )
}

/// A free loopback address.
pub fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

/// The folders of a run and the command that the deploy file gives for one sidecar.
pub struct Place {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub temporary: PathBuf,
    pub run: String,
}

impl Place {
    /// `root` is the repository's root, `folder` that of the case.
    pub fn new(root: &Path, folder: &Path) -> Result<Place> {
        let deploy = fs::read_to_string(root.join("deploy/balancer.toml"))?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let run = run.ok_or("the deploy file has no line run")?.to_owned();
        let temporary = std::env::temp_dir().join(format!("review-case-{}", std::process::id()));
        fs::create_dir_all(temporary.join("state"))?;
        Ok(Place { root: root.to_owned(), folder: folder.to_owned(), temporary, run })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.temporary);
    }
}

/// One process of the program, started by the deploy file's command. It is killed when dropped.
pub struct Sidecar {
    name: &'static str,
    child: Child,
    pub console: SocketAddr,
    log: PathBuf,
    record: Arc<Record>,
}

impl Sidecar {
    /// Starts the program on the configuration file `config.json` of the place.
    pub fn start(
        name: &'static str,
        place: &Place,
        listen: SocketAddr,
        discovery: SocketAddr,
        record: &Arc<Record>,
    ) -> Result<Sidecar> {
        Sidecar::start_on(name, "config.json", place, listen, discovery, record)
    }

    /// The same on another configuration file of the place.
    pub fn start_on(
        name: &'static str,
        file: &str,
        place: &Place,
        listen: SocketAddr,
        discovery: SocketAddr,
        record: &Arc<Record>,
    ) -> Result<Sidecar> {
        // Private to a sidecar, and shared by its processes.
        let state = place.temporary.join("state").join(file);
        fs::create_dir_all(&state)?;
        let console = free_address()?;
        let log = place.temporary.join(format!("{name}.log"));
        let mut command = Command::new("/bin/sh");
        // SAFETY: prctl takes integers and is safe to call between fork and exec.
        unsafe {
            // Should the driver itself be killed, its processes end with it.
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL, 0, 0, 0);
                Ok(())
            });
        }
        let child = command
            .args(["-c", &place.run])
            .current_dir(&place.root)
            .env("NODE_NAME", "n1")
            .env("NODE_LISTEN", listen.to_string())
            .env("NODE_DISCOVERY", discovery.to_string())
            .env("NODE_CONSOLE", console.to_string())
            .env("NODE_CONFIG", place.temporary.join(file))
            .env("TMPDIR", state)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(File::create(&log)?)
            .spawn()?;
        record.line("platform", format_args!("starts process {name} ({}), pid {}", place.run, child.id()));
        Ok(Sidecar { name, child, console, log, record: record.clone() })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str, number: i32) {
        self.record.line("platform", format_args!("{name} to {}", self.name));
        // SAFETY: kill takes two integers; the process is a child that has not been waited for.
        unsafe { kill(self.child.id() as i32, number) };
    }

    /// One call on the second address.
    pub fn call(&self, line: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&self.console, ms(1000))?;
        stream.set_read_timeout(Some(ms(2000)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        let answer = answer.trim_end().to_owned();
        self.record.line("operator", format_args!("{line} to {}: {answer}", self.name));
        Ok(answer)
    }

    /// Waits until the process says yes on its second address.
    pub fn wait_for_yes(&self) -> Result<()> {
        let until = Instant::now() + ms(6000);
        while Instant::now() < until {
            if self.call("HEALTH").is_ok_and(|answer| answer.starts_with("+OK")) {
                return Ok(());
            }
            thread::sleep(ms(20));
        }
        Err(format!("{} says no yes", self.name).into())
    }

    /// Whether the process still runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Sidecar {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        for line in log.lines().take(400) {
            self.record.line("log", format_args!("{}: {line}", self.name));
        }
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, signal: u64, _: u64, _: u64, _: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Waits until `GET /health/ready` answers 200.
pub fn wait_until_ready(listen: SocketAddr) -> Result<()> {
    let until = Instant::now() + ms(20_000);
    while Instant::now() < until {
        let answer = TcpStream::connect_timeout(&listen, ms(500)).and_then(|mut stream| {
            stream.set_read_timeout(Some(ms(1000)))?;
            stream.write_all(b"GET /health/ready HTTP/1.1\r\nHost: front\r\n\r\n")?;
            read_message(&mut stream, &mut Vec::new())
        });
        if answer.is_ok_and(|answer| answer.is_some_and(|a| a.word() == "200")) {
            return Ok(());
        }
        thread::sleep(ms(50));
    }
    Err("the sidecar is not ready".into())
}

// ---------------------------------------------------------------------------------------------
// Clients

/// A request as a client sends it.
pub struct Request {
    pub id: String,
    pub class: &'static str,
    /// `None` for a class that is safe to repeat, which uses GET; else the idempotency key, empty
    /// for a class that is unsafe to repeat.
    pub post: Option<String>,
    pub time_left: u64,
}

/// Sends one request on a connection of its own and waits for its answer. Returns the status and
/// the body; an error where none came.
pub fn send(listen: SocketAddr, request: &Request, record: &Record) -> io::Result<(String, String)> {
    let answer = exchange(listen, request, record);
    match &answer {
        Ok((status, body)) => {
            record.line("client", format_args!("{} answered {status}: {}", request.id, body.trim_end()));
        }
        Err(error) => record.line("client", format_args!("{} has no answer: {error}", request.id)),
    }
    answer
}

fn exchange(listen: SocketAddr, request: &Request, record: &Record) -> io::Result<(String, String)> {
    let mut stream = TcpStream::connect_timeout(&listen, ms(1000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(ms(request.time_left + 1000)))?;
    let Request { id, class, post, time_left } = request;
    let method = if post.is_some() { "POST" } else { "GET" };
    let key = post.as_deref().filter(|key| !key.is_empty());
    let key = key.map_or(String::new(), |key| format!("Idempotency-Key: {key}\r\n"));
    let length = if post.is_some() { "Content-Length: 4\r\n" } else { "" };
    let body = if post.is_some() { "body" } else { "" };
    let text = format!(
        "{method} /{class}/x HTTP/1.1\r\nHost: service.internal\r\nX-Correlation-Id: {id}\r\nX-Service-Class: {class}\r\n\
         X-Account: office\r\nX-Time-Left-Ms: {time_left}\r\n{key}{length}\r\n{body}"
    );
    record.line("client", format_args!("{id} sends {method} /{class}/x"));
    stream.write_all(text.as_bytes())?;
    match read_message(&mut stream, &mut Vec::new())? {
        Some(answer) => Ok((answer.word().to_owned(), String::from_utf8_lossy(&answer.body).into_owned())),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Clients that send a request every 10 ms, each on a connection of its own, until told to stop.
pub struct Traffic {
    /// What the ids of its requests begin with.
    pub ids: String,
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Traffic {
    pub fn start(listen: SocketAddr, class: &'static str, time_left: u64, record: &Arc<Record>) -> Traffic {
        let (stop, record) = (Arc::new(AtomicBool::new(false)), record.clone());
        let stopped = stop.clone();
        let ids = format!("a{}x", listen.port() as u64 * 1_000_000 + record.now());
        let of_thread = ids.clone();
        let thread = thread::spawn(move || {
            let mut clients = Vec::new();
            for i in 0.. {
                if stopped.load(Ordering::SeqCst) {
                    break;
                }
                let record = record.clone();
                let id = format!("{of_thread}{i}");
                clients.push(thread::spawn(move || {
                    let request = Request { id, class, post: None, time_left };
                    let _ = send(listen, &request, &record);
                }));
                thread::sleep(ms(10));
            }
            clients.into_iter().for_each(|client| drop(client.join()));
        });
        Traffic { ids, stop, thread }
    }

    pub fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        let _ = self.thread.join();
    }
}

/// Starts the endpoints `e1` to `e4`, whose work takes 40 ms.
pub fn endpoints(record: &Arc<Record>, runs: &Runs) -> Result<Vec<(String, SocketAddr)>> {
    let start = |i| {
        let name = format!("e{i}");
        let address = endpoint(&name, record, runs, |_, _| Work { takes: ms(40), status: "200 OK" })?;
        Ok((name, address))
    };
    (1..=4).map(start).collect()
}

/// A sidecar's configuration, with the list as discovery has it now as the one known last.
pub fn config(listen: SocketAddr, discovery: &Discovery, settings: &str) -> String {
    format!(
        "{{\"name\":\"n1\",\"listen\":\"{listen}\",\"discovery\":\"{}\",\"limits\":{{\"cores\":1.0,\"memory_mb\":192,\
         \"sockets\":1024}},\"known\":{},\"settings\":{settings}}}",
        discovery.address,
        discovery.list(None)
    )
}
