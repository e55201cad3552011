//! Processes one complete request: answers it locally, or accepts it, has it routed, sends its
//! attempts and returns the response.

use super::monitor::ClientMonitor;
use super::{AcceptedRequest, Clients, Reply, accept_request};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Head;
use cottonpoint_core::{Decision, LocalReply, NewRequest, RequestOutcome};
use futures_lite::future;
use std::net::TcpStream;
use std::time::Duration;

/// The time that a response needs to reach the client: it is sent this long before the client's
/// timeout.
const RESPONSE_TRAVEL_TIME: Duration = Duration::from_millis(5);
/// A request that the balancer has not settled this long after its deadline fails all the same.
const OVERDUE_GRACE: Duration = Duration::from_millis(20);

impl Clients {
    /// Returns the response to a complete request; `None` where its client has disconnected.
    pub(super) async fn answer(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        head: Head,
        body: Vec<u8>,
    ) -> Option<Reply> {
        if head.line[1] == "/health/ready" {
            let ready = !self.is_draining() && self.shutdown.get().is_none();
            return Some(match ready && self.sidecar.has_list() {
                true => Reply::text(200, "ready"),
                false => Reply::text(503, "not ready"),
            });
        }
        let accepted = accept_request(&self.settings.borrow(), &head, body);
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(reply) => return Some(reply),
        };
        // A request needs a connection to an endpoint: where none may be left, a client retry does
        // no harm.
        let at_limit = self.open_ids.borrow().len() >= self.endpoint_connections.max_connections();
        let at_limit = at_limit.then(|| self.settings.borrow().max_retry_after);
        if let Some(retry_after) = at_limit.or_else(|| self.retry_after_to_spare_connections().map(Some)) {
            let reply = Reply::local(LocalReply::Refused { retry_after });
            self.count_final_response(&accepted.class_name, Some(&reply));
            return Some(reply);
        }
        if !self.open_ids.borrow_mut().insert(accepted.id.clone()) {
            return Some(Reply::text(409, "the id is that of an open request"));
        }
        let reply = self.process(&accepted, stream, buffer).await;
        self.open_ids.borrow_mut().remove(&accepted.id);
        self.count_final_response(&accepted.class_name, reply.as_ref());
        reply
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
    fn count_final_response(&self, class: &str, reply: Option<&Reply>) {
        let outcome = match reply.map(|r| r.status) {
            Some(200..=299) => RequestOutcome::Fulfilled,
            Some(429 | 503) => RequestOutcome::Throttled,
            _ => RequestOutcome::Faulted,
        };
        self.sidecar.counts().count_request(class, outcome);
    }

    /// Processes an accepted request until it is answered.
    async fn process(
        &self,
        accepted: &AcceptedRequest,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Option<Reply> {
        let clock = self.sidecar.clock();
        let class = accepted.class_name.as_str();
        let deadline = clock.now() + accepted.time_left.saturating_sub(RESPONSE_TRAVEL_TIME);
        let deadline = self.shutdown.get().map_or(deadline, |shutdown| shutdown.deadline(deadline));
        let request =
            self.sidecar.admit(NewRequest { class: accepted.class, tenant: accepted.tenant, deadline });
        let monitor = ClientMonitor::new(stream, buffer);
        // Nothing new is started for a client that has disconnected, even if its close and the
        // decision to send arrive at the same time.
        let client_waits = || {
            let client_gone = monitor.has_disconnected();
            if client_gone {
                request.abandon();
            }
            !client_gone
        };
        let attempts = async {
            loop {
                match request.next_decision().await {
                    Decision::Attempt(attempt) => {
                        let until = clock.instant(attempt.deadline);
                        let on_written = || self.sidecar.counts().relayed(class);
                        let (outcome, report, response) = self
                            .endpoint_connections
                            .send(&attempt, until, &accepted.outgoing, client_waits, on_written)
                            .await;
                        let endpoint = attempt.endpoint.address;
                        tracing::debug!(id = accepted.id, class, %endpoint, ?outcome, "attempt ended");
                        if attempt.complete(outcome, report) {
                            return Some(Reply::from_endpoint(response));
                        }
                    }
                    Decision::LocalReply(response) => {
                        let suspended = self.sidecar.is_suspended();
                        tracing::debug!(
                            id = accepted.id,
                            class,
                            ?response,
                            suspended,
                            "answered with a local reply"
                        );
                        return Some(Reply::local(response));
                    }
                    Decision::Ended => return None,
                }
            }
        };
        let departure = async {
            monitor.disconnected().await;
            request.abandon();
            future::pending().await
        };
        let overdue = async {
            Timer::at(clock.instant(deadline + OVERDUE_GRACE)).await;
            request.abandon();
            Some(Reply::local(LocalReply::Failed))
        };
        let reply = future::or(departure, future::or(attempts, overdue)).await;
        let reply = match reply {
            None => self.close_unanswered(accepted, monitor.has_disconnected()),
            reply => reply,
        };
        reply.map(|reply| if monitor.has_overrun() { reply.closing_connection() } else { reply })
    }
}
