//! The stages of a flow: a whole request is answered right here, or taken in, routed, forwarded and relayed.

use super::caller::Caller;
use super::{Clients, Reply, TakenIn, take_in};
use async_io::{Async, Timer};
use cottonpoint_codec::buffer::Buffer;
use cottonpoint_codec::http::Head;
use cottonpoint_core::{Decision, LocalReply, NewRequest, RequestOutcome};
use futures_lite::future;
use std::net::TcpStream;
use std::time::Duration;

/// The answer needs this long to travel: it sets out so much before the client gives up.
const TRAVEL: Duration = Duration::from_millis(5);
/// A flow that the balancer has not settled this long after its due is failed all the same.
const OVERDUE: Duration = Duration::from_millis(20);

impl Clients {
    /// The answer to a whole request; `None` when its client has left.
    pub(super) async fn answer(
        &self,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
        head: Head,
        body: Vec<u8>,
    ) -> Option<Reply> {
        if head.line[1] == "/health/ready" {
            let ready = !self.leaving() && self.stop.get().is_none();
            return Some(match ready && self.sidecar.has_endpoints() {
                true => Reply::plain(200, "ready"),
                false => Reply::plain(503, "not ready"),
            });
        }
        let taken = take_in(&self.platform.borrow(), &head, body);
        let taken = match taken {
            Ok(taken) => taken,
            Err(reply) => return Some(reply),
        };
        // A flow needs a connection to a target: where none may be left, trying again does no harm.
        let full = self.ids.borrow().len() >= self.servers.bound();
        let full = full.then(|| self.platform.borrow().max_retry_after);
        if let Some(retry_after) = full.or_else(|| self.leaves_too_few().map(Some)) {
            let reply = Reply::fixed(LocalReply::Refused { retry_after });
            self.count(&taken.class_name, Some(&reply));
            return Some(reply);
        }
        if !self.ids.borrow_mut().insert(taken.id.clone()) {
            return Some(Reply::plain(409, "the id is that of an open request"));
        }
        let reply = self.follow(&taken, stream, buffer).await;
        self.ids.borrow_mut().remove(&taken.id);
        self.count(&taken.class_name, reply.as_ref());
        reply
    }

    /// A request is over with no answer: nobody is there for one, or the guard has it answered all the same.
    fn close_unanswered(&self, taken: &TakenIn, gone: bool) -> Option<Reply> {
        match self.sidecar.guard().may_close_unanswered(!gone) {
            Ok(()) => {
                tracing::debug!(id = taken.id, class = taken.class_name, "closed: its client has gone");
                None
            }
            Err(violation) => {
                let rule = violation.name();
                tracing::error!(
                    id = taken.id,
                    class = taken.class_name,
                    rule,
                    "a rule was about to be broken"
                );
                Some(Reply::fixed(LocalReply::Failed))
            }
        }
    }

    /// While only kept connections are in use before a stop: when to come back, for a request that leaves too few
    /// of them free.
    fn leaves_too_few(&self) -> Option<Duration> {
        let (free, busy) = self.in_use();
        self.stop.get()?.refusal(self.sidecar.clock().now(), free, busy)
    }

    /// Counts a flow's final answer for its class; one whose client has gone counts as failed.
    fn count(&self, class: &str, reply: Option<&Reply>) {
        let fate = match reply.map(|r| r.status) {
            Some(200..=299) => RequestOutcome::Fulfilled,
            Some(429 | 503) => RequestOutcome::Throttled,
            _ => RequestOutcome::Faulted,
        };
        self.sidecar.counts().count_request(class, fate);
    }

    /// Takes a flow through its stages.
    async fn follow(
        &self,
        taken: &TakenIn,
        stream: &Async<TcpStream>,
        buffer: &mut Buffer,
    ) -> Option<Reply> {
        let clock = self.sidecar.clock();
        let class = taken.class_name.as_str();
        let due = clock.now() + taken.left.saturating_sub(TRAVEL);
        let due = self.stop.get().map_or(due, |stop| stop.deadline(due));
        let flow =
            self.sidecar.admit(NewRequest { class: taken.class, tenant: taken.tenant, deadline: due });
        let caller = Caller::new(stream, buffer);
        // Whoever has gone gets nothing more begun, also where its close and the word to send come at once.
        let waits = || {
            let gone = caller.has_gone();
            if gone {
                flow.abandon();
            }
            !gone
        };
        let stages = async {
            loop {
                match flow.next_decision().await {
                    Decision::Attempt(attempt) => {
                        let until = clock.instant(attempt.deadline);
                        let written = || self.sidecar.counts().relayed(class);
                        let (outcome, report, served) =
                            self.servers.send(&attempt, until, &taken.outgoing, waits, written).await;
                        let endpoint = attempt.endpoint.address;
                        tracing::debug!(id = taken.id, class, %endpoint, ?outcome, "an attempt has ended");
                        if attempt.complete(outcome, report) {
                            return Some(Reply::served(served));
                        }
                    }
                    Decision::LocalReply(response) => {
                        let suspended = self.sidecar.is_suspended();
                        tracing::debug!(
                            id = taken.id,
                            class,
                            ?response,
                            suspended,
                            "answered without an endpoint"
                        );
                        return Some(Reply::fixed(response));
                    }
                    Decision::Ended => return None,
                }
            }
        };
        let departure = async {
            caller.gone().await;
            flow.abandon();
            future::pending().await
        };
        let overdue = async {
            Timer::at(clock.instant(due + OVERDUE)).await;
            flow.abandon();
            Some(Reply::fixed(LocalReply::Failed))
        };
        let reply = future::or(departure, future::or(stages, overdue)).await;
        let reply = match reply {
            None => self.close_unanswered(taken, caller.has_gone()),
            reply => reply,
        };
        reply.map(|reply| if caller.has_overrun() { reply.last() } else { reply })
    }
}
