//! An answer of discovery that crosses a reload, on an executor that the story drives: what has arrived when the move is
//! heard of is not left to chance.
//!
//! Seen in soak 9219: seven attempts went to an endpoint that drained. Discovery had written the change to the process
//! 17 ms after the process took a new configuration; the process logged no such answer. A configuration with another
//! discovery dropped the poll under way, with what had arrived on it or was about to, and what is written counts as told.

use crate::embedded::Embedded;
use crate::peers::*;
use async_io::Timer;
use cottonpoint::net::list::DiscoveryAddress;
use cottonpoint::sidecar::endpoint_id;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// A sidecar that follows discovery.
struct Follower {
    embedded: Embedded,
    moves: async_channel::Sender<DiscoveryAddress>,
}

impl Follower {
    fn start(discovery: &Peer) -> Follower {
        let embedded = Embedded::new(&endpoints(false), 8, Duration::from_millis(500));
        let moves = embedded.follow(discovery.address);
        Follower { embedded, moves }
    }

    /// Names another discovery; it is heard of when the follower runs again.
    fn moves_to(&self, discovery: &Peer) {
        self.moves
            .try_send(DiscoveryAddress { address: discovery.address, pushed: false })
            .expect("it listens");
    }

    /// Lets it run until it has polled there.
    fn polls(&self, discovery: &Peer) -> Came {
        let (came, comes) = async_channel::bounded(1);
        let listens = discovery.again();
        thread::spawn(move || came.try_send(listens.accept()));
        self.embedded.run(async { comes.recv().await.expect("it polls") })
    }

    fn runs_for(&self, time: Duration) {
        self.embedded.run(async {
            Timer::after(time).await;
        });
    }

    fn takes_work(&self, endpoint: &str) -> bool {
        self.embedded.sidecar.takes_work(endpoint_id(endpoint))
    }
}

fn endpoints(drains: bool) -> [String; 2] {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let first = if drains { "leaving" } else { "active" };
    [line("t0", address(9), first), line("t1", address(10), "active")]
}

/// Guards against: an answer thrown away that had arrived when the new configuration was heard of.
#[test]
fn an_answer_that_has_arrived_when_discovery_moves_is_taken() {
    let (before, after) = (Peer::new(), Peer::new());
    let follower = Follower::start(&before);
    let mut watch = follower.polls(&before);
    // Both are there before the follower runs again.
    watch.reply("200 OK", "", &list(2, false, &endpoints(true)[..1]));
    follower.moves_to(&after);
    let next = follower.polls(&after);
    assert!(next.text.starts_with("GET /registry/instances?from=2&"), "{}", next.text);
    assert!(!follower.takes_work("t0"));
}

/// Guards against: the same with an answer that comes between the move and the new discovery's first answer.
#[test]
fn an_answer_is_taken_until_the_new_discovery_has_answered() {
    let (before, after) = (Peer::new(), Peer::new());
    let follower = Follower::start(&before);
    let mut watch = follower.polls(&before);
    follower.moves_to(&after);
    let mut next = follower.polls(&after);
    watch.reply("200 OK", "", &list(2, false, &endpoints(true)[..1]));
    follower.runs_for(Duration::from_millis(50));
    assert!(!follower.takes_work("t0"), "what was written counts as told");
    next.reply("200 OK", "", &list(2, false, &endpoints(true)[..1]));
    follower.runs_for(Duration::from_millis(50));
    assert_eq!(watch.next(), "", "the old connection is closed once the new discovery has answered");
}
