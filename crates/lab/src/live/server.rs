//! A stand-in server: it does work for each request, turns away what is too much, reports its load, and can be
//! taken down and brought back under the same name.

use super::discovery::{Discovery, Line};
use super::{CountedIn, Executor};
use crate::draw::{Purpose, RandomStream};
use async_executor::Task;
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Framing};
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Requests in work at once; more are turned away.
const SLOTS: usize = 24;

/// A stand-in server.
pub struct StandIn {
    /// Its name in the list.
    pub name: String,
    executor: Executor,
    discovery: Rc<Discovery>,
    /// How many times faster than others it works.
    speed: f64,
    draw: RefCell<RandomStream>,
    /// Its process: the tasks that accept and serve; dropped, its sockets close.
    process: RefCell<Option<Process>>,
    line: RefCell<Option<Line>>,
    working: Cell<usize>,
    /// Requests served since the start.
    pub served: Cell<u64>,
    /// Requests turned away since the start.
    pub turned_away: Cell<u64>,
    busy: Cell<f64>,
    mark: Cell<(Instant, f64, u64)>,
    report: Cell<(f64, f64)>,
}

struct Process {
    _accept: Task<()>,
    connections: Rc<RefCell<Vec<Task<()>>>>,
}

impl StandIn {
    /// A server that is down.
    pub fn new(name: &str, speed: f64, executor: &Executor, discovery: &Rc<Discovery>) -> Rc<StandIn> {
        Rc::new(StandIn {
            name: name.to_owned(),
            executor: executor.clone(),
            discovery: discovery.clone(),
            speed,
            draw: RefCell::new(RandomStream::new(0, Purpose::Attempt, name.bytes().map(u64::from).sum())),
            process: RefCell::default(),
            line: RefCell::default(),
            working: Cell::default(),
            served: Cell::default(),
            turned_away: Cell::default(),
            busy: Cell::default(),
            mark: Cell::new((Instant::now(), 0.0, 0)),
            report: Cell::default(),
        })
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// Requests in work now.
    pub fn working(&self) -> usize {
        self.working.get()
    }

    /// Starts its process on a new port and lists it. `fresh` says that it has only now started.
    pub fn start(self: &Rc<Self>, fresh: bool) -> io::Result<()> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let connections: Rc<RefCell<Vec<Task<()>>>> = Rc::default();
        let (this, own) = (Rc::downgrade(self), connections.clone());
        let accept = self.executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(server) = this.upgrade() else { return };
                let executor = server.executor.clone();
                let task = executor.spawn(async move { server.connection(stream).await });
                let mut tasks = own.borrow_mut();
                tasks.retain(|t: &Task<()>| !t.is_finished());
                tasks.push(task);
            }
        });
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let started_at_ms = if fresh { since.as_millis() as u64 } else { 0 };
        *self.process.borrow_mut() = Some(Process { _accept: accept, connections });
        *self.line.borrow_mut() = Some(Line {
            instance_id: self.name.clone(),
            host_port: address,
            zone: "here".to_owned(),
            machine_type: "plain".to_owned(),
            cell: 0,
            lifecycle: "active",
            started_at_ms,
        });
        self.list("active");
        Ok(())
    }

    /// Says in the list what it, or the last process that it had, is doing.
    pub fn list(&self, lifecycle: &'static str) {
        if let Some(line) = &*self.line.borrow() {
            self.discovery.list(Line { lifecycle, ..line.clone() });
        }
    }

    /// Ends its process at once, with all its connections. The list is not told.
    pub fn kill(&self) {
        let process = self.process.borrow_mut().take();
        if let Some(process) = process {
            process.connections.borrow_mut().clear();
        }
    }

    async fn connection(&self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut buffer = Buffer::default();
        let mut reader = &stream;
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let Ok(framing) = http::framing(&head, &head.line[2], Framing::Length(0)) else { return };
            if http::read_body(&mut buffer, &mut reader, framing, http::BODY_LIMIT).await.is_err() {
                return;
            }
            let class = head.line[1].split('/').nth(1).unwrap_or_default();
            let (status, extra, body) = self.serve(class).await;
            let (rate, utilization) = self.load();
            let answer = format!(
                "HTTP/1.1 {status}\r\n{extra}X-Backend-Load: throughput={rate:.2},utilization={utilization:.3}\r\n\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if (&stream).write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn serve(&self, class: &str) -> (&'static str, &'static str, String) {
        if self.working.get() >= SLOTS {
            self.turned_away.set(self.turned_away.get() + 1);
            return ("503 Service Unavailable", "X-Unprocessed: 1\r\n", String::new());
        }
        let mean = if class == "order" { 0.040 } else { 0.015 };
        let work = self.draw.borrow_mut().exponential(mean) / self.speed;
        let working = CountedIn::new(&self.working);
        Timer::after(Duration::from_secs_f64(work)).await;
        drop(working);
        self.busy.set(self.busy.get() + work);
        self.served.set(self.served.get() + 1);
        ("200 OK", "", format!("{{\"by\":\"{}\"}}\n", self.name))
    }

    /// Completions a second and utilisation, taken anew every 200 ms. A server is fully used with eight requests
    /// in work.
    fn load(&self) -> (f64, f64) {
        let (at, busy, served) = self.mark.get();
        let passed = at.elapsed().as_secs_f64();
        if passed >= 0.2 {
            let rate = (self.served.get() - served) as f64 / passed;
            let utilization = ((self.busy.get() - busy) / passed / 8.0).clamp(0.001, 1.0);
            self.report.set((rate, utilization));
            self.mark.set((Instant::now(), self.busy.get(), self.served.get()));
        }
        self.report.get()
    }
}
