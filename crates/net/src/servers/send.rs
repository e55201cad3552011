//! Sends one attempt to its endpoint, and translates the answer into the balancer's types.

use super::EndpointConnections;
use super::client::AttemptClient;
use super::write::{Progress, WriteError, connection_failure_outcome, write_request};
use crate::memory::Reservation;
use async_io::Timer;
use cottonpoint_codec::http::Head;
use cottonpoint_core::{AbortReason, Attempt, Denial};
use cottonpoint_decide::*;
use futures_lite::future;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// A request as it is sent to endpoints, without the header for the time left.
#[derive(Clone, Debug)]
pub struct OutgoingRequest {
    /// The request line and the forwarded headers, each line with its line ending.
    pub head: String,
    /// The body, or its beginning.
    pub body: Vec<u8>,
    /// What follows, which is written as it arrives from the client. It can be written once.
    pub rest: BodyRest,
}

/// The rest of a request's body, which is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyRest {
    /// There is none.
    None,
    /// So many bytes.
    Length(u64),
    /// An unknown number of bytes: the body is sent in chunks.
    Chunked,
}

/// The answer of an endpoint to an attempt.
pub enum EndpointResponse {
    /// It was held until it was whole.
    Whole {
        /// The content type, if the answer names one.
        content_type: Option<String>,
        /// The body.
        body: Vec<u8>,
        /// The memory reserved for the body.
        reservation: Reservation,
    },
    /// It was passed on to the client as it arrived.
    PassedOn {
        /// How it broke; `None` if its last byte was passed on.
        fault: Option<Outcome>,
    },
}

/// How an attempt ended.
pub struct AttemptEnd {
    /// The outcome for the balancer.
    pub outcome: Outcome,
    /// The load report of the answer.
    pub report: Option<LoadReport>,
    /// The answer, if there is one to use.
    pub response: Option<EndpointResponse>,
}

impl AttemptEnd {
    fn without_answer(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, report: None, response: None }
    }
}

impl EndpointConnections {
    /// Sends an attempt, and waits until it is answered, fails, is halted or times out. An attempt
    /// is abandoned by closing its connection.
    pub async fn send(
        &self,
        attempt: &Attempt,
        request: &OutgoingRequest,
        client: &impl AttemptClient,
    ) -> AttemptEnd {
        let progress = Cell::new(Progress::NotStarted);
        let timeout = async {
            loop {
                let deadline = attempt.deadline();
                if Instant::now() >= deadline {
                    break;
                }
                Timer::at(deadline).await;
            }
            if progress.get() == Progress::Answering {
                return future::pending().await;
            }
            AttemptEnd::without_answer(progress.get().timeout_outcome())
        };
        let halted = async {
            loop {
                match attempt.aborted().await {
                    AbortReason::Cancelled => return AttemptEnd::without_answer(Outcome::Cancelled),
                    AbortReason::Unavailable if !progress.get().has_started() => {
                        return AttemptEnd::without_answer(Outcome::NotSent);
                    }
                    AbortReason::Unavailable => {}
                }
            }
        };
        let exchange = self.exchange(attempt, request, &progress, client);
        let ended = future::or(exchange, future::or(halted, timeout)).await;
        if attempt.endpoint_takes_work() {
            self.record_outcome(attempt.endpoint, ended.outcome);
        }
        ended
    }

    async fn exchange(
        &self,
        attempt: &Attempt,
        request: &OutgoingRequest,
        progress: &Cell<Progress>,
        client: &impl AttemptClient,
    ) -> AttemptEnd {
        let endpoint = attempt.endpoint;
        let failed = AttemptEnd::without_answer;
        let (connection, handshake_time) = match self.take_idle(endpoint, attempt.may_be_repeated()).await {
            Some(connection) => (Ok(connection), Duration::ZERO),
            None if !client.waits() => return failed(Outcome::NotSent),
            // The first byte on a new connection waits for its handshake, which may take that long.
            None => {
                progress.set(Progress::Connecting(Instant::now()));
                (self.connect(endpoint).await, self.connect_timeout())
            }
        };
        let mut connection = match connection {
            Ok(connection) => connection,
            Err(error) => return failed(connection_failure_outcome(&error)),
        };
        progress.set(Progress::NotStarted);
        match write_request(attempt, &connection, request, progress, client, handshake_time).await {
            Ok(()) => progress.set(Progress::Written),
            Err(WriteError::ConnectionFailed(error)) => return failed(connection_failure_outcome(&error)),
            Err(WriteError::BodyMissing) => return failed(Outcome::NotSent),
            // The request was not written completely, so it never ran.
            Err(WriteError::BytesArrived) => {
                self.record_copy(&connection);
                return failed(Outcome::ConnectFailed);
            }
            Err(WriteError::Denied(denial)) => {
                let endpoint_unwanted = matches!(denial, Denial::EndpointLeaving | Denial::EndpointGone);
                if !progress.get().has_started() && !endpoint_unwanted {
                    self.return_idle(connection); // Nothing was written: it can be reused.
                }
                return failed(denial.outcome());
            }
        }
        client.request_written();
        let answer = match self.receive(attempt, &mut connection, progress, client).await {
            Ok(answer) => answer,
            Err(fault) => return failed(fault.outcome()),
        };
        connection.last_answer_at = Some(Instant::now());
        let (head, response) = (answer.head, answer.response);
        let outcome = match (head.status, &response) {
            (_, Some(EndpointResponse::PassedOn { fault: Some(fault) })) => *fault,
            (200, _) => Outcome::Ok,
            (503 | 504, _) if head.head.get("x-unprocessed") == Some("1") => Outcome::Rejected,
            _ => Outcome::Error,
        };
        // Data behind the response belongs to no request, and an endpoint that has been removed
        // needs no connections.
        let is_complete = !matches!(response, Some(EndpointResponse::PassedOn { fault: Some(_) }));
        if !connection.buffer.is_empty() {
            self.record_copy(&connection);
        }
        let is_reusable = head.keep_alive && is_complete && connection.buffer.is_empty();
        if is_reusable && attempt.endpoint_takes_work() {
            self.return_idle(connection);
        }
        AttemptEnd { outcome, report: self.report(&head.head), response }
    }

    /// Parses the load report of a response; one that is invalid in any part is ignored.
    fn report(&self, head: &Head) -> Option<LoadReport> {
        let text = head.only("x-backend-load").ok()??;
        let settings = self.settings.borrow();
        let mut values = vec![None; settings.field_names.len()];
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
            if let Some(i) = settings.field_names.iter().position(|n| n == name.trim()) {
                values[i] = Some(value);
            }
        }
        Some(settings.fields.report(|i| *values.get(i)?))
    }
}
