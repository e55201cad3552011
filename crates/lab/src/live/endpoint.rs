//! An endpoint stand-in: it works on each request for a random time, rejects requests above its
//! concurrency limit, reports its load, and can be stopped and restarted under the same name.

use super::discovery::{Discovery, Line};
use super::{CountGuard, Executor};
use crate::draw::{Purpose, RandomStream};
use async_executor::Task;
use async_io::{Async, Timer};
use cottonpoint_codec::body::read_body;
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Framing};
use futures_lite::AsyncWriteExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};

/// Requests that it works on at the same time; further ones are rejected.
const CONCURRENCY_LIMIT: usize = 24;

/// An endpoint stand-in.
pub struct EndpointStandIn {
    /// Its name in the endpoint list.
    pub name: String,
    executor: Executor,
    discovery: Rc<Discovery>,
    /// Its speed relative to the other endpoints: 0.5 takes twice as long.
    speed: f64,
    draw: RefCell<RandomStream>,
    /// The tasks that accept and serve connections. Dropping them closes their sockets, as the end
    /// of a process does.
    process: RefCell<Option<Process>>,
    list_entry: RefCell<Option<Line>>,
    active_requests: Cell<usize>,
    /// Requests served since it was created.
    pub served: Cell<u64>,
    /// Requests rejected since it was created.
    pub rejected: Cell<u64>,
    busy_seconds: Cell<f64>,
    last_sample: Cell<(Instant, f64, u64)>,
    reported_load: Cell<(f64, f64)>,
}

struct Process {
    _accept: Task<()>,
    connections: Rc<RefCell<Vec<Task<()>>>>,
}

impl EndpointStandIn {
    /// Creates an endpoint that is not running.
    pub fn new(
        name: &str,
        speed: f64,
        executor: &Executor,
        discovery: &Rc<Discovery>,
    ) -> Rc<EndpointStandIn> {
        Rc::new(EndpointStandIn {
            name: name.to_owned(),
            executor: executor.clone(),
            discovery: discovery.clone(),
            speed,
            draw: RefCell::new(RandomStream::new(0, Purpose::Attempt, name.bytes().map(u64::from).sum())),
            process: RefCell::default(),
            list_entry: RefCell::default(),
            active_requests: Cell::default(),
            served: Cell::default(),
            rejected: Cell::default(),
            busy_seconds: Cell::default(),
            last_sample: Cell::new((Instant::now(), 0.0, 0)),
            reported_load: Cell::default(),
        })
    }

    /// Whether it is running.
    pub fn is_running(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// Requests that it is working on.
    pub fn active_requests(&self) -> usize {
        self.active_requests.get()
    }

    /// Starts listening on a new port and adds the endpoint to the list. With `fresh` the list has
    /// the present as its start time; otherwise it counts as started long ago.
    pub fn start(self: &Rc<Self>, fresh: bool) -> io::Result<()> {
        let address = self.listen(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let started_at_ms = if fresh { since_epoch.as_millis() as u64 } else { 0 };
        *self.list_entry.borrow_mut() = Some(Line {
            instance_id: self.name.clone(),
            host_port: address,
            zone: "here".to_owned(),
            machine_type: "plain".to_owned(),
            cell: 0,
            lifecycle: "active",
            started_at_ms,
        });
        self.set_lifecycle("active");
        Ok(())
    }

    /// Starts listening again at the address of its entry in the list, after it has been stopped.
    /// The list is left as it is.
    pub fn listen_again(self: &Rc<Self>) -> io::Result<()> {
        let address = self.list_entry.borrow().as_ref().map(|entry| entry.host_port);
        let address = address.ok_or_else(|| io::Error::other("it was never started"))?;
        self.listen(address).map(drop)
    }

    /// Accepts and serves connections at an address. Returns the address, with its port.
    fn listen(self: &Rc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let listener = Async::new(listener)?;
        let connections: Rc<RefCell<Vec<Task<()>>>> = Rc::default();
        let (this, connection_tasks) = (Rc::downgrade(self), connections.clone());
        let accept = self.executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let Some(endpoint) = this.upgrade() else { return };
                let executor = endpoint.executor.clone();
                let task = executor.spawn(async move { endpoint.serve_connection(stream).await });
                let mut tasks = connection_tasks.borrow_mut();
                tasks.retain(|t: &Task<()>| !t.is_finished());
                tasks.push(task);
            }
        });
        *self.process.borrow_mut() = Some(Process { _accept: accept, connections });
        Ok(address)
    }

    /// Its entry in the list with another lifecycle; `None` if it was never started.
    pub fn entry_with(&self, lifecycle: &'static str) -> Option<Line> {
        self.list_entry.borrow().as_ref().map(|entry| Line { lifecycle, ..entry.clone() })
    }

    /// Changes the lifecycle of its entry in the list, also after it has been stopped.
    pub fn set_lifecycle(&self, lifecycle: &'static str) {
        if let Some(entry) = self.entry_with(lifecycle) {
            self.discovery.publish(entry);
        }
    }

    /// Stops it at once with all its connections. The list is left as it is.
    pub fn kill(&self) {
        let process = self.process.borrow_mut().take();
        if let Some(process) = process {
            process.connections.borrow_mut().clear();
        }
    }

    async fn serve_connection(&self, stream: Async<TcpStream>) {
        let _ = stream.get_ref().set_nodelay(true);
        let mut buffer = Buffer::default();
        let mut reader = &stream;
        while let Ok(Some(head)) = http::read_head(&mut buffer, &mut reader, http::begins_request).await {
            let Ok(framing) = http::framing(&head, &head.line[2], Framing::Length(0)) else { return };
            if read_body(&mut buffer, &mut reader, framing, http::BODY_LIMIT).await.is_err() {
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
        if self.active_requests.get() >= CONCURRENCY_LIMIT {
            self.rejected.set(self.rejected.get() + 1);
            return ("503 Service Unavailable", "X-Unprocessed: 1\r\n", String::new());
        }
        let mean = if class == "order" { 0.040 } else { 0.015 };
        let work = self.draw.borrow_mut().exponential(mean) / self.speed;
        let guard = CountGuard::new(&self.active_requests);
        Timer::after(Duration::from_secs_f64(work)).await;
        drop(guard);
        self.busy_seconds.set(self.busy_seconds.get() + work);
        self.served.set(self.served.get() + 1);
        ("200 OK", "", format!("{{\"by\":\"{}\"}}\n", self.name))
    }

    /// Requests completed per second and utilization, sampled at most every 200 ms. Eight requests
    /// in progress count as a utilization of 1.
    fn load(&self) -> (f64, f64) {
        let (at, busy_seconds, served) = self.last_sample.get();
        let elapsed = at.elapsed().as_secs_f64();
        if elapsed >= 0.2 {
            let rate = (self.served.get() - served) as f64 / elapsed;
            let utilization = ((self.busy_seconds.get() - busy_seconds) / elapsed / 8.0).clamp(0.001, 1.0);
            self.reported_load.set((rate, utilization));
            self.last_sample.set((Instant::now(), self.busy_seconds.get(), self.served.get()));
        }
        self.reported_load.get()
    }
}
