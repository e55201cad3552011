//! Receives an endpoint's answer. A short one is held until it is whole; a long or late one is passed
//! on as it arrives, at the pace of its reader.

use super::client::{AnswerStart, AttemptClient, ClientFault};
use super::send::EndpointResponse;
use super::write::Progress;
use super::{Connection, EndpointConnections};
use crate::memory::Reservation;
use crate::{with_deadline, with_timeout};
use cottonpoint_codec::body::{BodyReader, read_body};
use cottonpoint_codec::http::{self, AnswerHead, Fault, Framing};
use cottonpoint_core::{
    AnswerHold, AnswerTiming, Arrival, Attempt, HOLD_LIMIT_BYTES, HoldDecision, Purpose, UNCLEAR_HOLD_TIME,
};
use cottonpoint_decide::Outcome;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::time::{Duration, Instant};

/// The head of an answer must be complete this long after its first byte, and an error answer after
/// its head, if another attempt can be made.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer that is being passed on ends when the endpoint has sent nothing for this long.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum length in bytes of an answer that is passed on (the deployment's requirements).
const STREAM_LIMIT_BYTES: u64 = 32 << 20;

/// Why an answer could not be used, or was not passed on completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// The endpoint's connection broke.
    Broken,
    /// The answer is invalid.
    Invalid,
    /// It is longer than is passed on.
    TooLong,
    /// The endpoint sent nothing for too long.
    Stalled,
    /// The time of the request ended before the answer did.
    TimedOut,
    /// It may be a late copy of the previous answer on the connection.
    MayBeCopy,
    /// It could not be passed on to the client.
    Client(ClientFault),
}

impl AnswerFault {
    /// The outcome of the attempt. The request was written, so it may have run.
    pub(super) fn outcome(self) -> Outcome {
        match self {
            AnswerFault::Broken | AnswerFault::MayBeCopy => Outcome::Reset,
            AnswerFault::Invalid | AnswerFault::TooLong | AnswerFault::Stalled => Outcome::Error,
            AnswerFault::TimedOut => Outcome::TimedOut,
            AnswerFault::Client(_) => Outcome::Cancelled,
        }
    }

    /// The reason, as logs and metrics name it.
    fn name(self) -> &'static str {
        match self {
            AnswerFault::Broken => "endpoint_broke",
            AnswerFault::Invalid => "endpoint_invalid",
            AnswerFault::TooLong => "endpoint_too_long",
            AnswerFault::Stalled => "endpoint_stalled",
            AnswerFault::TimedOut => "timed_out",
            AnswerFault::MayBeCopy => "may_be_copy",
            AnswerFault::Client(fault) => fault.name(),
        }
    }
}

impl From<Fault> for AnswerFault {
    fn from(fault: Fault) -> AnswerFault {
        match fault {
            Fault::Broken | Fault::ConnectionFailed => AnswerFault::Broken,
            Fault::Malformed(_) | Fault::HeadTooLong => AnswerFault::Invalid,
            Fault::BodyTooLong => AnswerFault::TooLong,
            Fault::Stalled => AnswerFault::Stalled,
        }
    }
}

/// An answer of an endpoint.
pub(super) struct Answer {
    pub(super) head: AnswerHead,
    /// The response to give to the client, if its status is 200.
    pub(super) response: Option<EndpointResponse>,
}

/// Bounds a read that reports its own faults.
async fn until<T>(
    deadline: Instant,
    read: impl Future<Output = http::Result<T>>,
) -> Result<T, AnswerFault> {
    let read = async { io::Result::Ok(read.await) };
    with_deadline(deadline, read).await.unwrap_or(Err(Fault::Stalled)).map_err(AnswerFault::from)
}

impl EndpointConnections {
    /// Receives the answer to a request that has been written.
    pub(super) async fn receive(
        &self,
        attempt: &Attempt,
        connection: &mut Connection,
        progress: &Cell<Progress>,
        client: &impl AttemptClient,
    ) -> Result<Answer, AnswerFault> {
        let (arrival, timing) = self.await_answer(connection).await?;
        let head = read_head(attempt, connection).await?;
        progress.set(Progress::Answering);
        if head.status != 200 {
            let (buffer, mut stream) = (&mut connection.buffer, &*connection.stream);
            let limit = usize::try_from(HOLD_LIMIT_BYTES).unwrap_or(usize::MAX);
            let body = read_body(buffer, &mut stream, head.framing, limit);
            until(Instant::now() + HEAD_TIMEOUT, body).await?;
            self.accept_answer(attempt, connection, arrival, timing, None).await?;
            return Ok(Answer { head, response: None });
        }
        if matches!(head.framing, Framing::Length(n) if n as u64 > STREAM_LIMIT_BYTES) {
            return Err(AnswerFault::TooLong);
        }
        let mut receiver = Receiver {
            attempt,
            connection,
            body: BodyReader::new(head.framing),
            held: Vec::new(),
            reservation: self.memory.reservation(),
        };
        let start = AnswerStart {
            content_type: head.head.get("content-type").map(str::to_owned),
            length: match head.framing {
                Framing::Length(n) => Some(n as u64),
                Framing::Chunked | Framing::ToEnd => None,
            },
        };
        let response = match receiver.hold(&start).await? {
            Held::Whole => {
                let Receiver { held: body, reservation, connection, .. } = receiver;
                self.accept_answer(attempt, connection, arrival, timing, Some(&body)).await?;
                EndpointResponse::Whole { content_type: start.content_type, body, reservation }
            }
            Held::PassOn => receiver.pass_on(start, client).await,
        };
        Ok(Answer { head, response: Some(response) })
    }

    /// Waits until something arrives on a connection on which a request has been written. Fails if
    /// it is a late copy of the previous answer.
    async fn await_answer(
        &self,
        connection: &mut Connection,
    ) -> Result<(Arrival, AnswerTiming), AnswerFault> {
        let written_at = Instant::now();
        let quiet = connection.quiet(written_at);
        let mut stream = &*connection.stream;
        if connection.buffer.fill(&mut stream).await.map_err(Fault::from)? == 0 {
            return Err(AnswerFault::Broken);
        }
        let timing = AnswerTiming { quiet, waited: written_at.elapsed() };
        let arrival = self.path(connection.endpoint).classify(timing);
        if arrival == Arrival::Copy {
            let (now, lateness) = (Instant::now(), quiet.unwrap_or_default() + timing.waited);
            let mut paths = self.paths.borrow_mut();
            paths.entry(connection.endpoint).or_default().record_suspicion(now, lateness);
            return Err(may_be_copy(connection, timing));
        }
        Ok((arrival, timing))
    }

    /// Accepts an answer that has been received completely, with its body if it is to be served.
    /// Where another one follows on a connection that may carry a late copy, either may be the copy.
    async fn accept_answer(
        &self,
        attempt: &Attempt,
        connection: &mut Connection,
        arrival: Arrival,
        timing: AnswerTiming,
        body: Option<&[u8]>,
    ) -> Result<(), AnswerFault> {
        if arrival == Arrival::Unclear && connection.buffer.is_empty() {
            let time_left = attempt.request_deadline().saturating_duration_since(Instant::now());
            let mut stream = &*connection.stream;
            let next = connection.buffer.fill(&mut stream);
            let _ = with_timeout(UNCLEAR_HOLD_TIME.min(time_left / 2), next).await;
        }
        let next = connection.buffer.filled();
        let is_repeated = body.is_some_and(|body| is_answer_with(next, body));
        let is_ambiguous = self.path(connection.endpoint).is_ambiguous(timing);
        if !next.is_empty() && is_ambiguous && !is_repeated {
            self.record_copy(connection);
            return Err(may_be_copy(connection, timing));
        }
        if attempt.endpoint_takes_work() {
            let mut paths = self.paths.borrow_mut();
            paths.entry(connection.endpoint).or_default().record_answer(Instant::now(), timing);
        }
        Ok(())
    }
}

/// Whether these bytes are an answer with this body.
fn is_answer_with(bytes: &[u8], body: &[u8]) -> bool {
    bytes.starts_with(b"HTTP/1.1 200 ") && bytes.ends_with(body)
}

fn may_be_copy(connection: &Connection, timing: AnswerTiming) -> AnswerFault {
    tracing::debug!(
        endpoint = %connection.endpoint.address,
        quiet_us = timing.quiet.map(|quiet| quiet.as_micros() as u64),
        waited_us = timing.waited.as_micros() as u64,
        "an answer may be a late copy of the previous one"
    );
    AnswerFault::MayBeCopy
}

/// Reads the head of the final answer and skips interim ones.
async fn read_head(attempt: &Attempt, connection: &mut Connection) -> Result<AnswerHead, AnswerFault> {
    let (buffer, mut stream) = (&mut connection.buffer, &*connection.stream);
    for _ in 0..=http::INTERIM_LIMIT {
        if buffer.is_empty() && buffer.fill(&mut stream).await.map_err(Fault::from)? == 0 {
            return Err(AnswerFault::Broken);
        }
        let deadline = match attempt.may_be_repeated() {
            true => Instant::now() + HEAD_TIMEOUT,
            false => attempt.request_deadline(),
        };
        if let Some(head) = until(deadline, http::read_answer_head(buffer, &mut stream)).await? {
            return Ok(head);
        }
    }
    Err(AnswerFault::Invalid)
}

/// What becomes of an answer that was held.
enum Held {
    /// It is complete.
    Whole,
    /// It is passed on as it arrives.
    PassOn,
}

/// The body of an answer being received.
struct Receiver<'a> {
    attempt: &'a Attempt,
    connection: &'a mut Connection,
    body: BodyReader,
    /// What has been received and not been passed on, and the memory reserved for it.
    held: Vec<u8>,
    reservation: Reservation,
}

impl Receiver<'_> {
    /// The length of the next piece of the body, at the start of the connection's buffer.
    async fn next_piece(&mut self) -> http::Result<usize> {
        let mut stream = &*self.connection.stream;
        self.body.next_piece(&mut self.connection.buffer, &mut stream).await
    }

    /// Holds the answer until it is whole or has to be passed on.
    async fn hold(&mut self, start: &AnswerStart) -> Result<Held, AnswerFault> {
        let attempt = self.attempt;
        let deadline = attempt.request_deadline_time();
        let mut hold = AnswerHold::new(start.length, attempt.may_be_repeated(), deadline, attempt.now());
        loop {
            let next = match hold.decide(attempt.now()) {
                HoldDecision::HoldUntil(next) => attempt.instant(next),
                HoldDecision::PassOn => return Ok(Held::PassOn),
                HoldDecision::GiveUp => return Err(AnswerFault::Stalled),
                HoldDecision::TimedOut => return Err(AnswerFault::TimedOut),
            };
            let piece = match until(next, self.next_piece()).await {
                Ok(0) => return Ok(Held::Whole),
                Ok(piece) => piece,
                Err(AnswerFault::Stalled) => continue,
                Err(fault) => return Err(fault),
            };
            if !self.hold_piece(piece, start.length) {
                return Ok(Held::PassOn);
            }
            hold.receive(piece, attempt.now());
        }
    }

    /// Holds the next piece of the body; false where there is no memory for it.
    fn hold_piece(&mut self, piece: usize, declared: Option<u64>) -> bool {
        if self.held.capacity() - self.held.len() < piece {
            let whole = declared.and_then(|length| usize::try_from(length).ok());
            let more = whole.unwrap_or(0).saturating_sub(self.held.len()).max(self.held.len()).max(piece);
            if !self.reservation.try_grow(more, Purpose::HeldAnswer) {
                return false;
            }
            self.held.reserve_exact(more);
        }
        self.held.extend_from_slice(&self.connection.buffer.filled()[..piece]);
        self.body.consume(&mut self.connection.buffer, piece);
        true
    }

    /// Passes the answer on, from its first byte to its end or until it breaks.
    async fn pass_on(mut self, start: AnswerStart, client: &impl AttemptClient) -> EndpointResponse {
        let declared = start.length;
        let mut bytes = 0;
        let end = self.pass_on_body(start, client, &mut bytes).await;
        match end {
            Ok(()) => EndpointResponse::PassedOn { fault: None },
            Err(fault) => {
                let reason = fault.name();
                let endpoint = self.connection.endpoint.address;
                self.attempt.record_cut(reason);
                tracing::warn!(%endpoint, reason, bytes, declared, "an answer was cut off while it was passed on");
                EndpointResponse::PassedOn { fault: Some(fault.outcome()) }
            }
        }
    }

    async fn pass_on_body(
        &mut self,
        start: AnswerStart,
        client: &impl AttemptClient,
        bytes: &mut u64,
    ) -> Result<(), AnswerFault> {
        self.attempt.note_passed_on();
        client.begin_answer(start).await.map_err(AnswerFault::Client)?;
        let held = std::mem::take(&mut self.held);
        client.pass_on(&held).await.map_err(AnswerFault::Client)?;
        *bytes += held.len() as u64;
        drop(held);
        self.reservation.shrink_to(0);
        loop {
            let piece = async { Ok(self.next_piece().await) };
            let piece = with_timeout(STREAM_STALL_TIMEOUT, piece).await.unwrap_or(Err(Fault::Stalled))?;
            if piece == 0 {
                return client.end_answer().await.map_err(AnswerFault::Client);
            }
            *bytes += piece as u64;
            if *bytes > STREAM_LIMIT_BYTES {
                return Err(AnswerFault::TooLong);
            }
            let data = &self.connection.buffer.filled()[..piece];
            client.pass_on(data).await.map_err(AnswerFault::Client)?;
            self.body.consume(&mut self.connection.buffer, piece);
        }
    }
}
