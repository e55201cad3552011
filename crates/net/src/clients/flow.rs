//! Processes one complete request: answers it locally, or accepts it, has it routed, sends its
//! attempts and returns the response, or passes it on as it arrives.

use super::answer_stream::AnswerStream;
use super::monitor::ClientMonitor;
use super::{AcceptedRequest, CLIENT_STALL_TIMEOUT, Clients, Reply, accept_request};
use crate::servers::{AnswerStart, AttemptClient, ClientFault, EndpointResponse};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Head;
use cottonpoint_core::{Decision, LocalReply, NewRequest, RequestHandle, RequestOutcome};
use futures_lite::future;
use std::net::TcpStream;
use std::time::Duration;

/// The time that a response needs to reach the client: it is sent this long before the client's
/// timeout.
const RESPONSE_TRAVEL_TIME: Duration = Duration::from_millis(5);
/// A request that the balancer has not settled this long after its deadline fails all the same.
const OVERDUE_GRACE: Duration = Duration::from_millis(20);
/// The interval at which an answer that is being passed on checks whether a shutdown ends it.
const SHUTDOWN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// What the client of a request has been given.
#[derive(Debug)]
pub(super) enum Answered {
    /// This response, which is still to be written.
    Reply(Reply),
    /// The response of an endpoint, passed on as it arrived.
    PassedOn {
        /// Whether its last byte was passed on.
        complete: bool,
        /// Whether the connection can carry another request.
        keep: bool,
        /// Whether only a reset tells the client that the response is not whole.
        needs_reset: bool,
    },
}

impl Answered {
    fn outcome(&self) -> RequestOutcome {
        match self {
            Answered::PassedOn { complete: true, .. } => RequestOutcome::Fulfilled,
            Answered::PassedOn { complete: false, .. } => RequestOutcome::Faulted,
            Answered::Reply(reply) => match reply.status {
                200..=299 => RequestOutcome::Fulfilled,
                429 | 503 => RequestOutcome::Throttled,
                _ => RequestOutcome::Faulted,
            },
        }
    }
}

impl Clients {
    /// Returns the response to a complete request; `None` where its client has disconnected.
    pub(super) async fn answer(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        head: Head,
        body: Vec<u8>,
    ) -> Option<Answered> {
        if head.line[1] == "/health/ready" {
            let ready = !self.is_draining() && self.shutdown.get().is_none();
            return Some(Answered::Reply(match ready && self.sidecar.has_list() {
                true => Reply::text(200, "ready"),
                false => Reply::text(503, "not ready"),
            }));
        }
        let has_chunks = head.line[2] != "HTTP/1.0";
        let keep = head.keeps_alive(&head.line[2]) && !self.is_draining();
        let accepted = accept_request(&self.settings.borrow(), &head, body);
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(reply) => return Some(Answered::Reply(reply)),
        };
        // A request needs a connection to an endpoint: where none may be left, a client retry does
        // no harm.
        let at_limit = self.open_ids.borrow().len() >= self.endpoint_connections.max_connections();
        let at_limit = at_limit.then(|| self.settings.borrow().max_retry_after);
        if let Some(retry_after) = at_limit.or_else(|| self.retry_after_to_spare_connections().map(Some)) {
            let answered = Answered::Reply(Reply::local(LocalReply::Refused { retry_after }));
            self.count_final_response(&accepted.class_name, Some(&answered));
            return Some(answered);
        }
        if !self.open_ids.borrow_mut().insert(accepted.id.clone()) {
            return Some(Answered::Reply(Reply::text(409, "the id is that of an open request")));
        }
        let monitor = ClientMonitor::new(stream, buffer);
        let answer = AnswerStream::new(stream, has_chunks, keep, CLIENT_STALL_TIMEOUT);
        let answered = self.process(&accepted, &monitor, &answer).await;
        self.open_ids.borrow_mut().remove(&accepted.id);
        self.count_final_response(&accepted.class_name, answered.as_ref());
        answered
    }

    /// Ends a request without a response, because its client has disconnected. Where the guard
    /// finds that the client still waits, the request is answered as failed.
    fn close_unanswered(&self, accepted: &AcceptedRequest, client_gone: bool) -> Option<Reply> {
        match self.sidecar.guard().may_close_unanswered(!client_gone) {
            Ok(()) => {
                tracing::debug!(
                    id = accepted.id,
                    class = accepted.class_name,
                    "client disconnected; closing without a response"
                );
                None
            }
            Err(violation) => {
                let rule = violation.name();
                tracing::error!(
                    id = accepted.id,
                    class = accepted.class_name,
                    rule,
                    "guard denied closing the connection without a response; answering as failed"
                );
                Some(Reply::local(LocalReply::Failed))
            }
        }
    }

    /// Returns a retry delay if the request would leave too few client connections free. Applies
    /// during a shutdown only, while existing connections are served and no new ones arrive.
    fn retry_after_to_spare_connections(&self) -> Option<Duration> {
        let (free, busy) = self.connection_counts();
        self.shutdown.get()?.refusal(self.sidecar.clock().now(), free, busy)
    }

    /// Counts the final response to a request for its class; a request whose client has
    /// disconnected counts as failed.
    fn count_final_response(&self, class: &str, answered: Option<&Answered>) {
        let outcome = answered.map_or(RequestOutcome::Faulted, Answered::outcome);
        self.sidecar.counts().count_request(class, outcome);
    }

    /// Processes an accepted request until it is answered.
    async fn process<'connection>(
        &self,
        accepted: &AcceptedRequest,
        monitor: &ClientMonitor<'connection>,
        answer: &AnswerStream<'connection>,
    ) -> Option<Answered> {
        let clock = self.sidecar.clock();
        let deadline = clock.now() + accepted.time_left.saturating_sub(RESPONSE_TRAVEL_TIME);
        let deadline = self.shutdown.get().map_or(deadline, |shutdown| shutdown.deadline(deadline));
        let request =
            self.sidecar.admit(NewRequest { class: accepted.class, tenant: accepted.tenant, deadline });
        let client = WaitingClient { clients: self, accepted, request: &request, monitor, answer };
        let departure = async {
            monitor.disconnected().await;
            if answer.has_begun() {
                return Some(client.passed_on());
            }
            request.abandon();
            future::pending().await
        };
        let overdue = async {
            Timer::at(clock.instant(deadline + OVERDUE_GRACE)).await;
            if answer.has_begun() {
                self.shutdown_ends_answers().await;
                self.sidecar.counts().answer_cut("shutdown");
                return Some(client.passed_on());
            }
            request.abandon();
            Some(Answered::Reply(Reply::local(LocalReply::Failed)))
        };
        let answered = future::or(departure, future::or(client.attempts(), overdue)).await;
        let answered = match answered {
            None if answer.has_begun() => Some(client.passed_on()),
            None => self.close_unanswered(accepted, monitor.has_disconnected()).map(Answered::Reply),
            answered => answered,
        };
        answered.map(|answered| match answered {
            Answered::Reply(reply) if monitor.has_overrun() => Answered::Reply(reply.closing_connection()),
            Answered::PassedOn { complete, keep, needs_reset } => {
                Answered::PassedOn { complete, keep: keep && !monitor.has_overrun(), needs_reset }
            }
            answered => answered,
        })
    }

    /// Waits until a shutdown has reached the time of its last answer.
    async fn shutdown_ends_answers(&self) {
        loop {
            let now = self.sidecar.clock().now();
            if self.shutdown.get().is_some_and(|shutdown| now >= shutdown.last_answer_at()) {
                return;
            }
            Timer::after(SHUTDOWN_CHECK_INTERVAL).await;
        }
    }
}

/// The client of an accepted request.
struct WaitingClient<'a, 'connection> {
    clients: &'a Clients,
    accepted: &'a AcceptedRequest,
    request: &'a RequestHandle,
    monitor: &'a ClientMonitor<'connection>,
    answer: &'a AnswerStream<'connection>,
}

impl WaitingClient<'_, '_> {
    /// Carries out the decisions on the request until one of them answers it; `None` where nothing
    /// is owed any more.
    async fn attempts(&self) -> Option<Answered> {
        let (id, class) = (self.accepted.id.as_str(), self.accepted.class_name.as_str());
        loop {
            match self.request.next_decision().await {
                Decision::Attempt(attempt) => {
                    let connections = &self.clients.endpoint_connections;
                    let ended = connections.send(&attempt, &self.accepted.outgoing, self).await;
                    let (endpoint, outcome) = (attempt.endpoint.address, ended.outcome);
                    tracing::debug!(id, class, %endpoint, ?outcome, "attempt ended");
                    let is_answer = attempt.complete(outcome, ended.report);
                    match ended.response {
                        Some(EndpointResponse::PassedOn { .. }) => return Some(self.passed_on()),
                        Some(EndpointResponse::Whole { content_type, body }) if is_answer => {
                            return Some(Answered::Reply(Reply::from_endpoint(content_type, body)));
                        }
                        _ => {}
                    }
                }
                Decision::LocalReply(response) => {
                    let suspended = self.clients.sidecar.is_suspended();
                    tracing::debug!(id, class, ?response, suspended, "answered with a local reply");
                    return Some(Answered::Reply(Reply::local(response)));
                }
                Decision::Ended => return None,
            }
        }
    }

    /// What has been passed on of an answer that has begun.
    fn passed_on(&self) -> Answered {
        Answered::PassedOn {
            complete: self.answer.is_complete(),
            keep: self.answer.keeps_connection(),
            needs_reset: self.answer.needs_reset(),
        }
    }
}

impl AttemptClient for WaitingClient<'_, '_> {
    /// Nothing new is started for a client that has disconnected, even if its close and the decision
    /// to send arrive at the same time.
    fn waits(&self) -> bool {
        let client_gone = self.monitor.has_disconnected();
        if client_gone {
            self.request.abandon();
        }
        !client_gone
    }

    fn request_written(&self) {
        self.clients.sidecar.counts().relayed(&self.accepted.class_name);
    }

    async fn begin_answer(&self, start: AnswerStart) -> Result<(), ClientFault> {
        if !self.request.start_answer() {
            return Err(ClientFault::RequestOver);
        }
        self.answer.begin(start).await
    }

    async fn pass_on(&self, piece: &[u8]) -> Result<(), ClientFault> {
        self.answer.pass_on(piece).await
    }

    async fn end_answer(&self) -> Result<(), ClientFault> {
        self.answer.end().await
    }
}
