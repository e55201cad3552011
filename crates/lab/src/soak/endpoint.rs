//! A stand-in endpoint of a soak: it works for a drawn time on each request, misbehaves as it is told, and notes each
//! attempt.

use super::addresses;
use super::discovery::reset;
use super::plan::Behaviour;
use super::records::*;
use crate::live::{CountGuard, Executor};
use async_executor::Task;
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Framing, Head};
use futures_lite::{AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

#[cfg(test)]
mod tests;

/// Requests that a warm endpoint serves a second: as many cores as it has, by the mean work of a request.
pub const CAPACITY_PER_S: f64 = CORES / MEAN_WORK_S;
const CORES: f64 = 4.0;
const MEAN_WORK_S: f64 = 0.03;
/// Requests in work at once; more are turned away.
const SLOTS: usize = 32;
/// A hung request is let go after this time, so that the run ends.
const HANGS_FOR: Duration = Duration::from_secs(20);
const SLOWER: f64 = 5.0;
const AGAIN_AFTER: Duration = Duration::from_millis(4);

/// A running process of an endpoint.
struct Process {
    _accept: Task<()>,
    connections: Rc<RefCell<Vec<Task<()>>>>,
}

/// The stand-in.
pub struct Endpoint {
    /// Its place among the endpoints.
    pub index: usize,
    began: Instant,
    behaviour: Cell<Behaviour>,
    process: RefCell<Option<Process>>,
    working: Cell<usize>,
    busy: Cell<f64>,
    served: Cell<u64>,
    report: Cell<(Instant, f64, u64, f64, f64)>,
    random: RefCell<fastrand::Rng>,
    attempts: Rc<RefCell<Vec<Attempt>>>,
}

impl Endpoint {
    /// One that is down. What it sees goes into `attempts`.
    pub fn new(
        index: usize,
        began: Instant,
        seed: u64,
        attempts: Rc<RefCell<Vec<Attempt>>>,
    ) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            index,
            began,
            behaviour: Cell::new(Behaviour::Serves),
            process: RefCell::default(),
            working: Cell::new(0),
            busy: Cell::new(0.0),
            served: Cell::new(0),
            report: Cell::new((began, 0.0, 0, 0.0, 0.0)),
            random: RefCell::new(fastrand::Rng::with_seed(seed ^ index as u64)),
            attempts,
        })
    }

    /// How it behaves from now on.
    pub fn behave(&self, behaviour: Behaviour) {
        self.behaviour.set(behaviour);
    }

    /// Starts its process on a new port, and says where it listens.
    pub fn start(self: &Rc<Self>, executor: &Executor) -> io::Result<SocketAddr> {
        let listener = addresses::listen()?;
        let (address, listener) = (listener.local_addr()?, Async::new(listener)?);
        let connections: Rc<RefCell<Vec<Task<()>>>> = Rc::default();
        let (this, own, spawner) = (self.clone(), connections.clone(), executor.clone());
        let accept = executor.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let this = this.clone();
                let task = spawner.spawn(async move { drop(this.connection(stream).await) });
                let mut tasks = own.borrow_mut();
                tasks.retain(|task: &Task<()>| !task.is_finished());
                tasks.push(task);
            }
        });
        *self.process.borrow_mut() = Some(Process { _accept: accept, connections });
        Ok(address)
    }

    /// Ends its process at once, with all its connections.
    pub fn crash(&self) {
        if let Some(process) = self.process.borrow_mut().take() {
            process.connections.borrow_mut().clear();
        }
    }

    async fn connection(&self, stream: Async<TcpStream>) -> io::Result<()> {
        stream.get_ref().set_nodelay(true)?;
        let (mut buffer, mut reader) = (Buffer::default(), &stream);
        loop {
            if buffer.is_empty() && buffer.fill(&mut reader).await? == 0 {
                return Ok(());
            }
            let open = Open::begin(self);
            let head = http::read_head(&mut buffer, &mut reader, http::begins_request).await;
            let Ok(Some(head)) = head else { return Ok(()) };
            open.note(&head);
            let framing = http::framing(&head, &head.line[2], Framing::Length(0));
            let Ok(framing) = framing else { return Ok(()) };
            if http::read_body(&mut buffer, &mut reader, framing, http::BODY_LIMIT).await.is_err() {
                return Ok(());
            }
            open.is_whole();
            let answered = self.serve(&stream, &mut buffer, &head, &open);
            if !answered.await? {
                return Ok(());
            }
            drop(open);
            if self.behaviour.get() == Behaviour::ForgetsIdle {
                return future::pending().await;
            }
        }
    }

    /// Serves a request; false where its connection is to end. A caller that closes under it gives it up.
    async fn serve(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        head: &Head,
        open: &Open<'_>,
    ) -> io::Result<bool> {
        let behaviour = self.behaviour.get();
        if behaviour == Behaviour::Full || self.working.get() >= SLOTS {
            open.turned_away();
            self.write(stream, "503 Service Unavailable", "X-Unprocessed: 1\r\n", "").await?;
            return Ok(true);
        }
        let work = match behaviour {
            Behaviour::Hangs => HANGS_FOR,
            Behaviour::Errors => Duration::ZERO,
            Behaviour::Slow => self.work().mul_f64(SLOWER),
            _ => self.work(),
        };
        let working = CountGuard::new(&self.working);
        let mut reader = stream;
        let given_up =
            future::or(async { buffer.fill(&mut reader).await.is_ok_and(|read| read == 0) }, async {
                Timer::after(work).await;
                false
            });
        let given_up = given_up.await;
        drop(working);
        if given_up {
            return Ok(false);
        }
        self.busy.set(self.busy.get() + work.as_secs_f64());
        self.served.set(self.served.get() + 1);
        let body = body_for(&head.line[1]);
        match behaviour {
            Behaviour::Hangs => Ok(false),
            Behaviour::Errors => {
                self.write(stream, "500 Internal Server Error", "", "").await?;
                Ok(true)
            }
            Behaviour::ResetsAfter => reset(stream).map(|()| false),
            Behaviour::NoLength => self.write_without_length(stream, &body).await.map(|()| false),
            _ => {
                self.write(stream, "200 OK", "", &body).await?;
                if behaviour == Behaviour::AnswersTwice {
                    Timer::after(AGAIN_AFTER).await;
                    self.write(stream, "200 OK", "", "again").await?;
                }
                Ok(behaviour != Behaviour::ClosesIdle)
            }
        }
    }

    fn work(&self) -> Duration {
        let draw = self.random.borrow_mut().f64().max(1e-6);
        Duration::from_secs_f64((-draw.ln() * MEAN_WORK_S).min(10.0 * MEAN_WORK_S))
    }

    async fn write(
        &self,
        mut stream: &Async<TcpStream>,
        status: &str,
        headers: &str,
        body: &str,
    ) -> io::Result<()> {
        let (rate, utilization) = self.load();
        let answer = format!(
            "HTTP/1.1 {status}\r\n{headers}X-Backend-Load: throughput={rate:.2},utilization={utilization:.3}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(answer.as_bytes()).await
    }

    /// An answer that ends with its connection; every second one is reset on the way. A clean close would make it whole, so
    /// the reset is set before anything is sent: the connection may be dropped at any time.
    async fn write_without_length(&self, mut stream: &Async<TcpStream>, body: &str) -> io::Result<()> {
        let whole = self.random.borrow_mut().bool();
        let sent = if whole { body } else { &body[..body.len() / 2] };
        if !whole {
            reset(stream)?;
        }
        stream.write_all(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{sent}").as_bytes()).await?;
        if !whole {
            Timer::after(AGAIN_AFTER).await;
        }
        Ok(())
    }

    /// Completions a second and utilization, taken anew every 0.2 s.
    fn load(&self) -> (f64, f64) {
        let (at, busy, served, mut rate, mut utilization) = self.report.get();
        let passed = at.elapsed().as_secs_f64();
        if passed >= 0.2 {
            rate = (self.served.get() - served) as f64 / passed;
            utilization = ((self.busy.get() - busy) / passed / CORES).clamp(0.001, 1.0);
            self.report.set((Instant::now(), self.busy.get(), self.served.get(), rate, utilization));
        }
        (rate, utilization)
    }
}

/// The body that endpoints make for a request.
pub fn body_for(path: &str) -> String {
    format!("served {path}\n")
}

/// An attempt that is open; dropped, it is over.
struct Open<'a> {
    endpoint: &'a Endpoint,
    attempt: RefCell<Attempt>,
}

impl<'a> Open<'a> {
    fn begin(endpoint: &'a Endpoint) -> Open<'a> {
        let attempt = Attempt {
            id: String::new(),
            endpoint: endpoint.index,
            began: endpoint.began.elapsed(),
            whole: None,
            over: None,
            time_left: None,
            turned_away: false,
        };
        Open { endpoint, attempt: attempt.into() }
    }

    fn note(&self, head: &Head) {
        let mut attempt = self.attempt.borrow_mut();
        attempt.id = head.get("x-correlation-id").unwrap_or_default().to_owned();
        let left = head.get("x-time-left-ms").and_then(|left| left.parse().ok());
        attempt.time_left = left.map(Duration::from_millis);
    }

    fn is_whole(&self) {
        self.attempt.borrow_mut().whole = Some(self.endpoint.began.elapsed());
    }

    fn turned_away(&self) {
        self.attempt.borrow_mut().turned_away = true;
    }
}

impl Drop for Open<'_> {
    fn drop(&mut self) {
        let mut attempt = self.attempt.borrow_mut().clone();
        attempt.over = Some(self.endpoint.began.elapsed());
        if !attempt.id.is_empty() {
            self.endpoint.attempts.borrow_mut().push(attempt);
        }
    }
}
