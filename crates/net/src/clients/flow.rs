//! Processes one complete request: answers it locally, or accepts it, has it routed, sends its
//! attempts and returns the response, or passes it on as it arrives.

use super::answer_stream::AnswerStream;
use super::monitor::ClientMonitor;
use super::read::{ClientConnection, RequestBody};
use super::take_in::{self, AcceptedRequest, MEMORY_RETRY_AFTER, accept_request};
use super::{CLIENT_STALL_TIMEOUT, Clients, Reply};
use crate::memory::Reservation;
use crate::servers::{AnswerStart, AttemptClient, BodyFault, ClientFault, EndpointResponse};
use async_io::Timer;
use cottonpoint_codec::http::Head;
use cottonpoint_core::{Decision, LocalReply, NewRequest, Purpose, RequestHandle, RequestOutcome};
use cottonpoint_decide::{Effect, Scope};
use futures_lite::future;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// The time that a response needs to reach the client: it is sent this long before the client's
/// timeout.
const RESPONSE_TRAVEL_TIME: Duration = Duration::from_millis(5);
/// A request that the balancer has not settled this long after its deadline fails all the same.
const OVERDUE_GRACE: Duration = Duration::from_millis(20);
/// What an admitted request holds beside its head and body, in bytes.
const REQUEST_STATE_BYTES: usize = 6 << 10;
/// The part of its time after which a client whose request would wait in vain should come again: as
/// for requests that the balancer refuses.
const RETRY_SHARE_IN_VAIN: f64 = 0.25;

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

/// A reply given before the rest of a long request has been read: the connection cannot carry
/// another request.
fn early_reply(reply: Reply, is_unread: bool) -> Answered {
    Answered::Reply(if is_unread { reply.closing_connection() } else { reply })
}

impl Clients {
    /// Returns the response to a complete request; `None` where its client has disconnected.
    pub(super) async fn answer(
        &self,
        connection: &mut ClientConnection,
        head: Head,
        body: RequestBody,
    ) -> Option<Answered> {
        if head.line[1] == "/health/ready" {
            let ready = !self.is_draining() && self.shutdown.get().is_none();
            let reply = match ready && self.sidecar.is_ready() {
                true => Reply::text(200, "ready"),
                false => Reply::text(503, "not ready"),
            };
            return Some(early_reply(reply, body.rest.is_some()));
        }
        let has_chunks = head.line[2] != "HTTP/1.0";
        let keep = head.keeps_alive(&head.line[2]) && !self.is_draining();
        let rest = body.rest.clone();
        let accepted = accept_request(&self.settings.borrow(), &head, body);
        drop(head);
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(reply) => return Some(Answered::Reply(reply)),
        };
        // A request needs a connection to an endpoint: where none may be left, a client retry does
        // no harm.
        let at_limit = self.open_ids.borrow().len() >= self.endpoint_connections.max_connections();
        let at_limit = at_limit.then(|| self.settings.borrow().max_retry_after);
        // The head is held once as it is forwarded, and once more while an attempt is written.
        let more = REQUEST_STATE_BYTES + 2 * accepted.outgoing.head.len();
        let has_memory = connection.reservation.try_grow(more, Purpose::Admission);
        let at_limit = at_limit.or_else(|| (!has_memory).then_some(Some(MEMORY_RETRY_AFTER)));
        let in_vain = || self.sidecar.waits_in_vain().then(|| self.retry_after_in_vain(&accepted));
        let spare = || self.retry_after_to_spare_connections().map(Some);
        if let Some(retry_after) = at_limit.or_else(in_vain).or_else(spare) {
            let refusal = Reply::local(LocalReply::Refused { retry_after });
            let answered = early_reply(refusal, rest.is_some());
            self.count_final_response(&accepted.class_name, Some(&answered));
            return Some(answered);
        }
        let Some(claim) = self.claim_id(&accepted.id) else {
            return Some(Answered::Reply(Reply::text(409, "the id is that of an open request")));
        };
        if !self.may_run(&accepted) {
            tracing::info!(id = accepted.id, class = accepted.class_name, "the id may have run before");
            let reply = Reply::text(409, "the id is that of a request that may have run");
            return Some(Answered::Reply(reply));
        }
        let (stream, reservation) = (&connection.stream, &connection.reservation);
        let monitor = ClientMonitor::new(stream, &mut connection.buffer, reservation, rest);
        let answer = AnswerStream::new(stream, has_chunks, keep, CLIENT_STALL_TIMEOUT);
        let answered = self.process(&accepted, &monitor, &answer, reservation).await;
        drop(claim);
        self.count_final_response(&accepted.class_name, answered.as_ref());
        answered
    }

    /// When a client whose request would wait in vain should come again, if settings have it: soon
    /// enough for the time that it has left.
    fn retry_after_in_vain(&self, accepted: &AcceptedRequest) -> Option<Duration> {
        let longest = self.settings.borrow().max_retry_after?;
        Some(longest.min(accepted.time_left.mul_f64(RETRY_SHARE_IN_VAIN)))
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
        reservation: &Reservation,
    ) -> Option<Answered> {
        let clock = self.sidecar.clock();
        let deadline = clock.now() + accepted.time_left.saturating_sub(RESPONSE_TRAVEL_TIME);
        let deadline = self.shutdown.get().map_or(deadline, |shutdown| shutdown.deadline(deadline));
        let request =
            self.sidecar.admit(NewRequest { class: accepted.class, tenant: accepted.tenant, deadline });
        let client = WaitingClient {
            clients: self,
            accepted,
            request: &request,
            monitor,
            answer,
            reservation,
            long_body: Cell::new(LongBody::Untouched),
            may_have_run: Cell::new(false),
        };
        let departure = async {
            monitor.disconnected().await;
            if answer.has_begun() {
                return Some(client.passed_on());
            }
            request.abandon();
            future::pending().await
        };
        let overdue = async {
            loop {
                let deadline = request.deadline();
                let deadline = self.shutdown.get().map_or(deadline, |shutdown| shutdown.deadline(deadline));
                let overdue_at = clock.instant(deadline + OVERDUE_GRACE);
                if Instant::now() >= overdue_at {
                    break;
                }
                Timer::at(overdue_at).await;
            }
            if answer.has_begun() {
                // Its first bytes were in time. It goes on until it ends or stalls, also in a shutdown.
                return future::pending().await;
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
}

/// The client of an accepted request.
struct WaitingClient<'a, 'connection> {
    clients: &'a Clients,
    accepted: &'a AcceptedRequest,
    request: &'a RequestHandle,
    monitor: &'a ClientMonitor<'connection>,
    answer: &'a AnswerStream<'connection>,
    reservation: &'a Reservation,
    long_body: Cell<LongBody>,
    /// Whether an attempt has been written to its last byte.
    may_have_run: Cell<bool>,
}

/// What has happened to the part of a long request that is not held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LongBody {
    /// None of it has been read.
    Untouched,
    /// Some of it has been read, and cannot be sent again.
    Taken,
    /// It is invalid or incomplete; the status of the reply, if the client is still there.
    Faulty(Option<u16>),
}

impl WaitingClient<'_, '_> {
    /// Carries out the decisions on the request until one of them answers it; `None` where nothing
    /// is owed any more.
    async fn attempts(&self) -> Option<Answered> {
        let (id, class) = (self.accepted.id.as_str(), self.accepted.class_name.as_str());
        loop {
            match self.request.next_decision().await {
                Decision::Attempt(_) if self.long_body.get() != LongBody::Untouched => {
                    self.request.abandon();
                    return self.unrepeatable_reply().map(Answered::Reply);
                }
                Decision::Attempt(attempt) => {
                    let connections = &self.clients.endpoint_connections;
                    let ended = connections.send(&attempt, &self.accepted.outgoing, self).await;
                    let (endpoint, outcome) = (attempt.endpoint.address, ended.outcome);
                    tracing::debug!(id, class, %endpoint, ?outcome, "attempt ended");
                    let is_answer = attempt.complete(outcome, ended.report);
                    match ended.response {
                        Some(EndpointResponse::PassedOn { .. }) => return Some(self.passed_on()),
                        Some(EndpointResponse::Whole { content_type, body, reservation }) if is_answer => {
                            self.reservation.merge(reservation);
                            return Some(Answered::Reply(Reply::from_endpoint(content_type, body)));
                        }
                        _ => {}
                    }
                }
                Decision::LocalReply(response) => {
                    let suspended = self.clients.sidecar.is_suspended();
                    tracing::debug!(id, class, ?response, suspended, "answered with a local reply");
                    if let LongBody::Faulty(_) = self.long_body.get() {
                        return self.unrepeatable_reply().map(Answered::Reply);
                    }
                    return Some(Answered::Reply(Reply::local(response)));
                }
                Decision::Ended => return None,
            }
        }
    }

    /// The reply to a request that cannot be sent again, because part of its body is no longer there.
    fn unrepeatable_reply(&self) -> Option<Reply> {
        let harmless =
            matches!(self.accepted.effect, Effect::Safe | Effect::Keyed { scope: Scope::All, .. });
        match self.long_body.get() {
            LongBody::Faulty(status) => {
                status.map(|status| Reply::text(status, "the body is not complete"))
            }
            _ if harmless || !self.may_have_run.get() => {
                Some(Reply::local(LocalReply::Refused { retry_after: Some(MEMORY_RETRY_AFTER) }))
            }
            _ => Some(Reply::local(LocalReply::Failed)),
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

    async fn next_body_piece(&self) -> Result<Option<Vec<u8>>, BodyFault> {
        if self.long_body.get() == LongBody::Untouched {
            self.long_body.set(LongBody::Taken);
        }
        let still_sending = || self.request.note_still_arriving();
        self.monitor.next_body_piece(still_sending).await.map_err(|fault| {
            let status = take_in::invalid_reply(&fault).map(|reply| reply.status);
            self.long_body.set(LongBody::Faulty(status));
            BodyFault
        })
    }

    fn request_written(&self) {
        self.may_have_run.set(true);
        self.clients.record_executed(self.accepted);
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
