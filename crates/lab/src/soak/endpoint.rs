//! An endpoint stand-in of a soak. It works for a random time on each request, misbehaves as
//! instructed, and records each attempt.

use super::addresses;
use super::discovery::reset;
use super::plan::Behaviour;
use super::pressure::discard_body;
use super::records::*;
use crate::live::{CountGuard, Executor};
use async_executor::Task;
use async_io::{Async, Timer};
use cottonpoint_codec::body::BodyReader;
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::{self, Framing, Head};
use futures_lite::{AsyncWriteExt, future};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::{Duration, Instant};

mod long_answer;
#[cfg(test)]
mod tests;

use long_answer::LongAnswer;
pub use long_answer::{LONG_SEGMENT, LONGEST_SEGMENT};

/// Requests per second that a warm endpoint serves: the number of its cores divided by the mean
/// work of a request.
pub const CAPACITY_PER_S: f64 = CORES / MEAN_WORK_S;
const CORES: f64 = 4.0;
const MEAN_WORK_S: f64 = 0.03;
/// Maximum number of requests in progress; further ones are rejected.
const MAX_REQUESTS: usize = 32;
/// How long a request hangs; bounded so that the run ends.
const HANG_TIME: Duration = Duration::from_secs(20);
const SLOW_FACTOR: f64 = 5.0;
const FOLLOW_UP_DELAY: Duration = Duration::from_millis(4);
/// One endpoint in so many is far away: each of its answers takes a round trip more.
const FAR_ONE_IN: usize = 3;
const FAR_ROUND_TRIP: Duration = Duration::from_millis(8);
/// How late the second copy of an answer is.
const COPY_DELAY_MS: RangeInclusive<u64> = 2..=11;
/// A copy that the machine holds up for longer than this is left out.
const MAX_COPY_DELAY: Duration = Duration::from_millis(12);
/// Percentage of the requests that an endpoint rejects while it answers twice.
const REJECTED_TWICE_PERCENT: u32 = 25;

/// A running process of an endpoint.
struct Process {
    _accept: Task<()>,
    connections: Rc<RefCell<Vec<Task<()>>>>,
}

/// The endpoint stand-in.
pub struct Endpoint {
    /// Its index among the endpoints.
    pub index: usize,
    run_start: Instant,
    behaviour: Cell<Behaviour>,
    process: RefCell<Option<Process>>,
    in_progress: Cell<usize>,
    busy_s: Cell<f64>,
    served: Cell<u64>,
    last_report: Cell<(Instant, f64, u64, f64, f64)>,
    random: RefCell<fastrand::Rng>,
    attempts: Rc<RefCell<Vec<Attempt>>>,
}

impl Endpoint {
    /// Creates an endpoint that is down. The attempts that it receives are recorded in `attempts`.
    pub fn new(
        index: usize,
        run_start: Instant,
        seed: u64,
        attempts: Rc<RefCell<Vec<Attempt>>>,
    ) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            index,
            run_start,
            behaviour: Cell::new(Behaviour::Serves),
            process: RefCell::default(),
            in_progress: Cell::new(0),
            busy_s: Cell::new(0.0),
            served: Cell::new(0),
            last_report: Cell::new((run_start, 0.0, 0, 0.0, 0.0)),
            random: RefCell::new(fastrand::Rng::with_seed(seed ^ index as u64)),
            attempts,
        })
    }

    /// Sets how it handles requests from now on.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.behaviour.set(behaviour);
    }

    /// Whether its process runs.
    pub fn is_running(&self) -> bool {
        self.process.borrow().is_some()
    }

    /// Starts its process on a new port and returns the address.
    pub fn start(self: &Rc<Self>, executor: &Executor) -> io::Result<SocketAddr> {
        self.start_on(addresses::listen()?, executor)
    }

    /// Starts its process on this listener and returns the address.
    pub fn start_on(self: &Rc<Self>, listener: TcpListener, executor: &Executor) -> io::Result<SocketAddr> {
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
            let attempt = OpenAttempt::start(self);
            let head = http::read_head(&mut buffer, &mut reader, http::begins_request).await;
            let Ok(Some(head)) = head else { return Ok(()) };
            attempt.record_head(&head);
            let framing = http::framing(&head, &head.line[2], Framing::Length(0));
            let Ok(framing) = framing else { return Ok(()) };
            if discard_body(BodyReader::new(framing), &mut buffer, &mut reader).await.is_err() {
                return Ok(());
            }
            attempt.mark_received();
            let answered = self.serve(&stream, &mut buffer, &head, &attempt);
            if !answered.await? {
                return Ok(());
            }
            drop(attempt);
            if self.behaviour.get() == Behaviour::StopsReading {
                return future::pending().await;
            }
        }
    }

    /// Serves a request and returns whether the connection stays open. Work stops when the client
    /// closes the connection.
    async fn serve(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        head: &Head,
        attempt: &OpenAttempt<'_>,
    ) -> io::Result<bool> {
        let behaviour = self.behaviour.get();
        let answers_twice = behaviour == Behaviour::AnswersTwice;
        let rejects =
            behaviour == Behaviour::Full || answers_twice && self.draw_percent() < REJECTED_TWICE_PERCENT;
        if rejects || self.in_progress.get() >= MAX_REQUESTS {
            attempt.mark_rejected();
            Timer::after(self.round_trip()).await;
            let answer = self.answer("503 Service Unavailable", "X-Unprocessed: 1\r\n", "");
            self.write_answer(stream, buffer, &answer, answers_twice).await?;
            return Ok(true);
        }
        let work = match behaviour {
            Behaviour::Hangs => HANG_TIME,
            Behaviour::Errors => Duration::ZERO,
            Behaviour::Slow => self.draw_work().mul_f64(SLOW_FACTOR),
            _ => self.draw_work(),
        };
        let work = work + self.round_trip();
        let in_progress = CountGuard::new(&self.in_progress);
        let mut reader = stream;
        let client_closed =
            future::or(async { buffer.fill(&mut reader).await.is_ok_and(|read| read == 0) }, async {
                Timer::after(work).await;
                false
            });
        let client_closed = client_closed.await;
        drop(in_progress);
        if client_closed {
            return Ok(false);
        }
        self.busy_s.set(self.busy_s.get() + work.as_secs_f64());
        self.served.set(self.served.get() + 1);
        let body = body_for(&head.line[1]);
        match (behaviour, LongAnswer::to(&head.line[1])) {
            (Behaviour::Hangs, _) => Ok(false),
            (Behaviour::Errors, _) => {
                let answer = self.answer("500 Internal Server Error", "", "");
                self.write_answer(stream, buffer, &answer, false).await?;
                Ok(true)
            }
            (Behaviour::ResetsAfterRequest, _) => reset(stream).map(|()| false),
            (Behaviour::NoContentLength, _) => {
                self.write_without_content_length(stream, &body).await.map(|()| false)
            }
            (Behaviour::Serves | Behaviour::Slow, Some(answer)) => {
                let chunked = self.random.borrow_mut().bool();
                let written = answer.write(stream, chunked).await;
                if written.is_err() {
                    attempt.mark_cut();
                }
                written.map(|()| true)
            }
            _ => {
                self.write_answer(stream, buffer, &self.answer("200 OK", "", &body), answers_twice).await?;
                Ok(behaviour != Behaviour::ClosesAfterAnswer)
            }
        }
    }

    fn draw_work(&self) -> Duration {
        let draw = self.random.borrow_mut().f64().max(1e-6);
        Duration::from_secs_f64((-draw.ln() * MEAN_WORK_S).min(10.0 * MEAN_WORK_S))
    }

    fn draw_percent(&self) -> u32 {
        self.random.borrow_mut().u32(0..100)
    }

    /// How much longer an answer takes because of the path.
    fn round_trip(&self) -> Duration {
        if self.index % FAR_ONE_IN == 1 { FAR_ROUND_TRIP } else { Duration::ZERO }
    }

    fn answer(&self, status: &str, headers: &str, body: &str) -> String {
        let (rate, utilization) = self.load();
        format!(
            "HTTP/1.1 {status}\r\n{headers}X-Backend-Load: throughput={rate:.2},utilization={utilization:.3}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
    }

    /// Writes an answer, and where told to a second copy of it.
    async fn write_answer(
        &self,
        mut stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        answer: &str,
        twice: bool,
    ) -> io::Result<()> {
        stream.write_all(answer.as_bytes()).await?;
        let answered_at = Instant::now();
        if twice && self.may_send_copy(stream, buffer, answered_at).await {
            stream.write_all(answer.as_bytes()).await?;
        }
        Ok(())
    }

    /// Waits for the time of a second copy. Returns whether it is sent: not if something else waits
    /// on the connection. What was written within the last round trip has not reached the endpoint.
    async fn may_send_copy(
        &self,
        mut stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        answered_at: Instant,
    ) -> bool {
        let delay = Duration::from_millis(self.random.borrow_mut().u64(COPY_DELAY_MS));
        let due = async {
            Timer::at(answered_at + delay).await;
            answered_at.elapsed() < MAX_COPY_DELAY
        };
        let next_request = async {
            let _ = buffer.fill(&mut stream).await;
            Timer::after(self.round_trip()).await;
            false
        };
        future::or(due, next_request).await
    }

    /// Sends an answer that ends with its connection. With probability one half, the answer is cut
    /// short and the connection is reset. A clean close would make the partial answer a complete
    /// one, so the reset is set up before anything is sent: the connection may be dropped at any
    /// time.
    async fn write_without_content_length(
        &self,
        mut stream: &Async<TcpStream>,
        body: &str,
    ) -> io::Result<()> {
        let complete = self.random.borrow_mut().bool();
        let sent = if complete { body } else { &body[..body.len() / 2] };
        if !complete {
            reset(stream)?;
        }
        stream.write_all(format!("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{sent}").as_bytes()).await?;
        if !complete {
            Timer::after(FOLLOW_UP_DELAY).await;
        }
        Ok(())
    }

    /// Completions per second and utilization, computed anew every 0.2 s.
    fn load(&self) -> (f64, f64) {
        let (at, busy_s, served, mut rate, mut utilization) = self.last_report.get();
        let passed = at.elapsed().as_secs_f64();
        if passed >= 0.2 {
            rate = (self.served.get() - served) as f64 / passed;
            utilization = ((self.busy_s.get() - busy_s) / passed / CORES).clamp(0.001, 1.0);
            self.last_report.set((Instant::now(), self.busy_s.get(), self.served.get(), rate, utilization));
        }
        (rate, utilization)
    }
}

/// The body of an endpoint's answer to the request for `path`.
pub fn body_for(path: &str) -> String {
    format!("served {path}\n")
}

/// An attempt in progress. It is recorded as ended when this is dropped.
struct OpenAttempt<'a> {
    endpoint: &'a Endpoint,
    attempt: RefCell<Attempt>,
}

impl<'a> OpenAttempt<'a> {
    fn start(endpoint: &'a Endpoint) -> OpenAttempt<'a> {
        let attempt = Attempt {
            id: String::new(),
            endpoint: endpoint.index,
            started: endpoint.run_start.elapsed(),
            received: None,
            ended: None,
            time_left: None,
            rejected: false,
            cut: None,
        };
        OpenAttempt { endpoint, attempt: attempt.into() }
    }

    fn record_head(&self, head: &Head) {
        let mut attempt = self.attempt.borrow_mut();
        attempt.id = head.get("x-correlation-id").unwrap_or_default().to_owned();
        let left = head.get("x-time-left-ms").and_then(|left| left.parse().ok());
        attempt.time_left = left.map(Duration::from_millis);
    }

    fn mark_received(&self) {
        self.attempt.borrow_mut().received = Some(self.endpoint.run_start.elapsed());
    }

    fn mark_cut(&self) {
        self.attempt.borrow_mut().cut = Some(self.endpoint.run_start.elapsed());
    }

    fn mark_rejected(&self) {
        self.attempt.borrow_mut().rejected = true;
    }
}

impl Drop for OpenAttempt<'_> {
    fn drop(&mut self) {
        let mut attempt = self.attempt.borrow_mut().clone();
        attempt.ended = Some(self.endpoint.run_start.elapsed());
        if !attempt.id.is_empty() {
            self.endpoint.attempts.borrow_mut().push(attempt);
        }
    }
}
