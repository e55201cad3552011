//! Attempts that fail by a fault of this process, which says nothing of the endpoint.
//!
//! The fault: each was recorded as a failure of the endpoint to connect. The endpoint got a strike
//! and a backoff, doubled with each in a row, and the learned limit counted it as an outcome of the
//! endpoint's.

use crate::embedded::Embedded;
use crate::harness::*;
use crate::retries::constrained_listener;
use cottonpoint::net::servers::{
    AnswerStart, AttemptClient, BodyFault, BodyRest, ClientFault, OutgoingRequest,
};
use cottonpoint::sidecar::{Decision, NewRequest};
use cottonpoint::{ClassId, Outcome};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A client that waits and is never answered.
struct SilentClient;

impl AttemptClient for SilentClient {
    fn waits(&self) -> bool {
        true
    }

    async fn next_body_piece(&self) -> Result<Option<Vec<u8>>, BodyFault> {
        Ok(None)
    }

    fn request_written(&self) {}

    async fn begin_answer(&self, _start: AnswerStart) -> Result<(), ClientFault> {
        Err(ClientFault::RequestOver)
    }

    async fn pass_on(&self, _piece: &[u8]) -> Result<(), ClientFault> {
        Err(ClientFault::RequestOver)
    }

    async fn end_answer(&self) -> Result<(), ClientFault> {
        Err(ClientFault::RequestOver)
    }
}

/// The outcome of an attempt at this endpoint, with a maximum number of connections and a time
/// limit for each connect, if the attempt is abandoned after `attempt_timeout`.
fn outcome(
    endpoint: SocketAddr,
    connections: usize,
    connect_timeout: Duration,
    attempt_timeout: Duration,
) -> Outcome {
    let embedded = Embedded::new(&[instance_json("t0", endpoint, "active")], connections, connect_timeout);
    let deadline = embedded.sidecar.clock().now() + attempt_timeout;
    let request = embedded.sidecar.admit(NewRequest { class: ClassId(0), tenant: None, deadline });
    let message = OutgoingRequest {
        head: "GET /look HTTP/1.1\r\n".to_owned(),
        body: Vec::new(),
        rest: BodyRest::None,
    };
    embedded.run(async {
        let Decision::Attempt(attempt) = request.next_decision().await else {
            panic!("no attempt is made")
        };
        let ended = embedded.endpoint_connections.send(&attempt, &message, &SilentClient).await;
        attempt.complete(ended.outcome, None);
        ended.outcome
    })
}

/// Guards against blaming the endpoint if this process has no free connection.
#[test]
fn attempt_without_free_connection_is_reported_as_not_sent() {
    let endpoint = ScriptedServer::new();
    assert_eq!(outcome(endpoint.address, 0, ms(500), ms(1000)), Outcome::NotSent);
}

/// Guards against blaming the endpoint for a connection that the attempt's own time was too short
/// for.
#[test]
fn attempt_that_ends_before_its_connect_timeout_is_reported_as_not_sent() {
    let (_listener, address) = constrained_listener();
    let _fillers = [(), ()].map(|()| TcpStream::connect_timeout(&address, ms(200)));
    assert_eq!(outcome(address, 8, ms(500), ms(30)), Outcome::NotSent);
}

/// Guards against taking an endpoint for healthy that refuses connections, or establishes none in
/// time.
#[test]
fn refused_or_timed_out_connect_is_endpoint_failure() {
    let (_listener, full) = constrained_listener();
    let _fillers = [(), ()].map(|()| TcpStream::connect_timeout(&full, ms(200)));
    assert_eq!(outcome(full, 8, ms(50), ms(1000)), Outcome::ConnectFailed);
    let (listener, closed_address) = listen();
    drop(listener);
    assert_eq!(outcome(closed_address, 8, ms(500), ms(1000)), Outcome::ConnectFailed);
}
