//! An answer of discovery that crosses a reload, on an executor that the test drives: what has
//! arrived when the sidecar learns of the new address is not left to chance.
//!
//! The fault (soak 9219): seven attempts went to an endpoint that was draining. Discovery had
//! written the change to the process 17 ms after the process took a new configuration, and the
//! process logged no such answer. A configuration with another discovery dropped the open poll,
//! along with what had arrived on it or was about to, although discovery counts what it has written
//! as known to the sidecar.

use crate::embedded::Embedded;
use crate::harness::*;
use async_io::Timer;
use cottonpoint::net::list::DiscoveryAddress;
use cottonpoint::sidecar::endpoint_id;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

/// A sidecar that follows discovery.
struct Follower {
    embedded: Embedded,
    address_updates: async_channel::Sender<DiscoveryAddress>,
}

impl Follower {
    fn start(discovery: &ScriptedServer) -> Follower {
        let embedded = Embedded::new(&two_endpoints(false), 8, Duration::from_millis(500));
        let address_updates = embedded.follow(discovery.address);
        Follower { embedded, address_updates }
    }

    /// Moves to another discovery; the follower learns of it when it runs again.
    fn move_to(&self, discovery: &ScriptedServer) {
        self.address_updates
            .try_send(DiscoveryAddress { address: discovery.address, pushed: false })
            .expect("it listens");
    }

    /// Runs the follower until it has polled this discovery.
    fn wait_for_poll(&self, discovery: &ScriptedServer) -> AcceptedConnection {
        let (sender, receiver) = async_channel::bounded(1);
        let server = discovery.share();
        thread::spawn(move || sender.try_send(server.accept()));
        self.embedded.run(async { receiver.recv().await.expect("it polls") })
    }

    fn run_for(&self, time: Duration) {
        self.embedded.run(async {
            Timer::after(time).await;
        });
    }

    /// Runs the follower and returns whether the list is suspended after that.
    fn suspended_within(&self, time: Duration) -> bool {
        self.run_for(time);
        self.embedded.sidecar.is_suspended()
    }

    fn takes_work(&self, endpoint: &str) -> bool {
        self.embedded.sidecar.takes_work(endpoint_id(endpoint))
    }
}

fn two_endpoints(first_drains: bool) -> [String; 2] {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let first = if first_drains { "leaving" } else { "active" };
    [instance_json("t0", address(9), first), instance_json("t1", address(10), "active")]
}

/// Guards against discarding an answer that had arrived when the new configuration was received.
#[test]
fn answer_received_before_discovery_moves_is_applied() {
    let (before, after) = (ScriptedServer::new(), ScriptedServer::new());
    let follower = Follower::start(&before);
    let mut watch = follower.wait_for_poll(&before);
    // Both the answer and the new address are there before the follower runs again.
    watch.reply("200 OK", "", &list_json(2, false, &two_endpoints(true)[..1]));
    follower.move_to(&after);
    let next = follower.wait_for_poll(&after);
    assert!(next.text.starts_with("GET /registry/instances?from=2&"), "{}", next.text);
    assert!(!follower.takes_work("t0"));
}

/// Guards against the same with an answer that arrives between the move and the new discovery's
/// first answer.
#[test]
fn old_discovery_is_heeded_until_new_one_has_answered() {
    let (before, after) = (ScriptedServer::new(), ScriptedServer::new());
    let follower = Follower::start(&before);
    let mut watch = follower.wait_for_poll(&before);
    follower.move_to(&after);
    let mut next = follower.wait_for_poll(&after);
    watch.reply("200 OK", "", &list_json(2, false, &two_endpoints(true)[..1]));
    follower.run_for(Duration::from_millis(50));
    assert!(!follower.takes_work("t0"), "what was written counts as known");
    next.reply("200 OK", "", &list_json(2, false, &two_endpoints(true)[..1]));
    follower.run_for(Duration::from_millis(50));
    assert_eq!(watch.read_next(), "", "the old connection is closed once the new discovery has answered");
}

/// Guards against ignoring an answer of the old discovery that cannot be applied: what it said
/// counts as known too. The new discovery's answer ends that.
#[test]
fn unusable_answer_of_the_old_discovery_suspends_the_list() {
    let (before, after) = (ScriptedServer::new(), ScriptedServer::new());
    let follower = Follower::start(&before);
    let mut watch = follower.wait_for_poll(&before);
    follower.move_to(&after);
    let mut next = follower.wait_for_poll(&after);
    watch.reply("200 OK", "", "no list");
    follower.run_for(Duration::from_millis(800));
    assert!(follower.embedded.sidecar.is_suspended(), "what was written counts as known");
    next.reply("200 OK", "", &list_json(2, false, &two_endpoints(true)[..1]));
    let mut next = follower.wait_for_poll(&after);
    next.reply("200 OK", "", &list_json(2, false, &[]));
    follower.run_for(Duration::from_millis(50));
    assert!(!follower.embedded.sidecar.is_suspended());
    assert!(!follower.takes_work("t0"));
}

/// Guards against a superseded poll that is dropped without a trace, when one more change of the
/// address comes than there is room for: what discovery writes to it counts as known too.
#[test]
fn list_is_suspended_after_a_superseded_poll_is_dropped_until_discovery_answers() {
    let before = ScriptedServer::new();
    let follower = Follower::start(&before);
    let mut polls = vec![follower.wait_for_poll(&before)];
    let others = [(); 5].map(|()| ScriptedServer::new());
    for (count, discovery) in others.iter().enumerate() {
        assert!(!follower.suspended_within(Duration::ZERO), "{count} moves");
        follower.move_to(discovery);
        polls.push(follower.wait_for_poll(discovery));
    }
    assert_eq!(polls[0].read_next(), "", "the oldest poll is no longer read");
    assert!(follower.suspended_within(Duration::from_millis(400)));
    let newest = polls.last_mut().expect("six");
    newest.reply("200 OK", "", &list_json(2, false, &two_endpoints(true)[..1]));
    follower.run_for(Duration::from_millis(50));
    assert!(!follower.embedded.sidecar.is_suspended() && !follower.takes_work("t0"));
}

/// Guards against discarding an answer that had arrived when one more change of the address than
/// there is room for superseded polls drops the oldest.
#[test]
fn answer_received_before_the_oldest_superseded_poll_is_dropped_is_applied() {
    let before = ScriptedServer::new();
    let follower = Follower::start(&before);
    let mut watch = follower.wait_for_poll(&before);
    let others = [(); 5].map(|()| ScriptedServer::new());
    let (last, earlier) = others.split_last().expect("five");
    let polls = earlier.iter().map(|discovery| {
        follower.move_to(discovery);
        follower.wait_for_poll(discovery)
    });
    let polls: Vec<_> = polls.collect();
    watch.reply("200 OK", "", &list_json(2, false, &two_endpoints(true)[..1]));
    follower.move_to(last);
    let next = follower.wait_for_poll(last);
    assert!(next.text.starts_with("GET /registry/instances?from=2&"), "{}", next.text);
    assert!(!follower.takes_work("t0"));
    drop(polls);
}
