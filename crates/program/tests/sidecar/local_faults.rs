//! Attempts that come to nothing by a fault of this process, which says nothing of the endpoint.
//!
//! Each was booked as a failure of the endpoint to connect: it got a strike and a pause, doubled with each in a row, and the
//! learned limit took it for an outcome of the endpoint's.

use crate::embedded::Embedded;
use crate::peers::*;
use crate::repeats::narrow;
use cottonpoint::net::servers::OutgoingRequest;
use cottonpoint::sidecar::{Decision, NewRequest};
use cottonpoint::{ClassId, Outcome};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// How an attempt ends at that endpoint, which may have so many connections and so long for each, where the attempt is
/// given up after that time.
fn outcome(
    endpoint: SocketAddr,
    connections: usize,
    connect_timeout: Duration,
    given_up: Duration,
) -> Outcome {
    let embedded = Embedded::new(&[line("t0", endpoint, "active")], connections, connect_timeout);
    let due = embedded.sidecar.clock().now() + ms(3000);
    let flow = embedded.sidecar.admit(NewRequest { class: ClassId(0), tenant: None, deadline: due });
    let message = OutgoingRequest { head: "GET /look HTTP/1.1\r\n".to_owned(), body: Vec::new() };
    embedded.run(async {
        let Decision::Attempt(attempt) = flow.next_decision().await else { panic!("it is sent") };
        let until = Instant::now() + given_up;
        let (outcome, ..) = embedded.servers.send(&attempt, until, &message, || true, || ()).await;
        attempt.complete(outcome, None);
        outcome
    })
}

/// Guards against: an endpoint blamed where this process has no connection to spare.
#[test]
fn an_attempt_without_a_connection_to_spare_is_not_the_endpoints_failure() {
    let endpoint = Peer::new();
    assert_eq!(outcome(endpoint.address, 0, ms(500), ms(1000)), Outcome::NotSent);
}

/// Guards against: an endpoint blamed for a connection that the attempt's own time did not wait for.
#[test]
fn an_attempt_that_ends_before_its_connection_could_come_up_is_not_the_endpoints_failure() {
    let (_listener, address) = narrow();
    let _fillers = [(), ()].map(|()| TcpStream::connect_timeout(&address, ms(200)));
    assert_eq!(outcome(address, 8, ms(500), ms(30)), Outcome::NotSent);
}

/// Guards against: an endpoint that refuses connections, or lets none come up in its time, taken for a healthy one.
#[test]
fn an_endpoint_that_takes_no_connection_has_failed() {
    let (_listener, full) = narrow();
    let _fillers = [(), ()].map(|()| TcpStream::connect_timeout(&full, ms(200)));
    assert_eq!(outcome(full, 8, ms(50), ms(1000)), Outcome::ConnectFailed);
    let (listener, gone) = listen();
    drop(listener);
    assert_eq!(outcome(gone, 8, ms(500), ms(1000)), Outcome::ConnectFailed);
}
