//! The lease on a list that an agent pushes.

use super::*;

/// The ways in which an agent can fail to answer a call, and how long each takes.
const FAILURES: [(u64, PollEvent); 7] = [
    (2, PollEvent::Unreachable),
    (200, PollEvent::Unreachable),
    (6, PollEvent::BrokenAtOnce),
    (6, PollEvent::RejectedAtOnce),
    (2000, PollEvent::RejectedAfterWait),
    (6, PollEvent::Inconclusive),
    (1100, PollEvent::TimedOut),
];

impl Timeline {
    fn pushed() -> Timeline {
        Timeline::begin(Discovery::Pushed)
    }

    /// A process that has been answered and watches from 20 ms on.
    fn watching() -> Timeline {
        Timeline::pushed().watch(0).answered(20).watch(20)
    }

    /// Calls that fail in one way, each made `pause` after the end of the one before.
    fn failing(mut self, from: u64, until: u64, pause: u64, (took, event): (u64, PollEvent)) -> Timeline {
        let mut now = from;
        while now < until {
            self = match event {
                PollEvent::Unreachable => self.then(now, PollEvent::Started { hold: HOLD }),
                _ => self.watch(now),
            };
            self = self.then(now + took, event);
            now += took + pause;
        }
        self
    }

    fn is_valid_at(&self, ms: u64) -> bool {
        self.0.is_valid(at(ms))
    }
}

/// Guards against: a new process that keeps using its list because the agent accepts its connection,
/// or fails its calls, while the agent holds changes from before the start (review/3).
#[test]
fn only_an_answer_renews_the_lease_of_a_process_that_has_heard_nothing() {
    let open = Timeline::pushed().watch(5);
    assert_eq!(open.expires_seen_at(5), USABLE_GRACE_MS);
    for failure in FAILURES {
        let lease = Timeline::pushed().failing(5, 4000, 50, failure);
        assert_eq!(lease.expires_seen_at(7000), USABLE_GRACE_MS, "{failure:?}");
        let lease = lease.watch(7000).answered(7020);
        assert_eq!(lease.expires_seen_at(7020), 7020 + USABLE_GRACE_MS, "{failure:?}");
        assert_eq!(lease.watch(7021).expires_seen_at(7021), 19_021 + USABLE_GRACE_MS, "{failure:?}");
    }
}

/// Guards against: waiting out the hold time of a watch that confirms nothing until it is answered,
/// so that a starting process refuses its clients.
#[test]
fn poll_that_has_to_confirm_the_list_asks_for_no_hold() {
    let hold = |timeline: &Timeline| timeline.0.hold_time();
    let starting = Timeline::pushed().watch(0);
    assert_eq!(hold(&starting), Duration::ZERO);
    let answered = starting.answered(20).watch(30);
    assert_eq!(hold(&answered), HOLD);
    let broken = answered.then(5000, PollEvent::BrokenAtOnce);
    assert_eq!(hold(&broken.watch(5050)), HOLD);
    // After a gap the watch is a new one.
    assert_eq!(hold(&Timeline::watching().then(5000, PollEvent::BrokenAtOnce).watch(5101)), Duration::ZERO);
    assert_eq!(hold(&Timeline::pushed().poll(0).answered(20).watch(221)), Duration::ZERO);
    assert_eq!(hold(&Timeline::begin(ON_REQUEST).watch(0)), HOLD);
}

/// Guards against: refusing clients while the agent is down, at a process whose watch was open when
/// it went down: it has missed nothing.
#[test]
fn process_whose_watch_was_open_goes_on_while_the_agent_is_down() {
    let silent = Timeline::watching();
    assert_eq!(silent.expires_seen_at(20), 12_020 + USABLE_GRACE_MS);
    let silent = silent.then(11_120, PollEvent::TimedOut);
    assert_eq!(silent.expires_seen_at(11_120), 12_020 + USABLE_GRACE_MS);
    for (failure, pause) in [
        ((2, PollEvent::Unreachable), 200),
        ((6, PollEvent::BrokenAtOnce), 200),
        ((6, PollEvent::RejectedAtOnce), 200),
        ((2000, PollEvent::RejectedAfterWait), 50),
    ] {
        let down = Timeline::watching().then(3000, failure.1).failing(3050, 9000, pause, failure);
        let valid = (3000..9000).step_by(10).all(|ms| down.is_valid_at(ms));
        assert!(valid, "{failure:?}");
    }
}

/// Guards against: a watch that is opened anew after a gap, or calls that fail after it, renewing the
/// lease of a running process as if nothing could have been missed in between.
#[test]
fn only_an_answer_renews_the_lease_after_a_gap() {
    let broken = || Timeline::watching().then(3000, PollEvent::Inconclusive);
    // The agent refuses calls, and is up again without a word.
    let refused = broken().failing(3050, 5000, 200, (2, PollEvent::Unreachable));
    let renewed_until = refused.expires_seen_at(5000);
    let taken = refused.watch(5060);
    assert_eq!(taken.expires_seen_at(5060), renewed_until);
    assert!(!taken.then(6160, PollEvent::TimedOut).is_valid_at(6160));
    // This process could make no call.
    for failure in FAILURES {
        let failed = broken().failing(4000, 6000, 50, failure);
        assert_eq!(failed.expires_seen_at(6000), 3000 + USABLE_GRACE_MS, "{failure:?}");
    }
    // A silent watch was given up: what it missed counts as notified.
    for failure in FAILURES {
        let failed =
            Timeline::watching().then(11_120, PollEvent::TimedOut).failing(11_150, 15_000, 50, failure);
        assert_eq!(failed.expires_seen_at(15_000), 12_020 + USABLE_GRACE_MS, "{failure:?}");
    }
}

/// Guards against: an answer that waited unread while the process was stopped, taken for news of
/// this moment.
#[test]
fn answer_read_long_after_the_hold_time_does_not_confirm_the_list_as_of_now() {
    let late = Timeline::watching().answered(18_000);
    assert!(!late.is_valid_at(18_000));
    assert_eq!(late.watch(18_001).0.hold_time(), Duration::ZERO);
}

/// Guards against: calls to the agent that a reload names renewing the lease before it has answered.
/// What it holds counts as notified 4 s after the reload.
#[test]
fn list_lasts_for_four_seconds_after_a_reload_until_the_new_agent_answers() {
    for failure in FAILURES {
        let moved = Timeline::watching().then(3000, PollEvent::DiscoveryChanged);
        let moved = moved.failing(3001, 9000, 50, failure);
        assert_eq!(moved.expires_seen_at(9000), 7000 + USABLE_GRACE_MS, "{failure:?}");
        // Another reload defers nothing.
        let again = moved.then(9000, PollEvent::DiscoveryChanged);
        assert_eq!(again.expires_seen_at(9000), 7000 + USABLE_GRACE_MS, "{failure:?}");
    }
    let answered = Timeline::watching().then(3000, PollEvent::DiscoveryChanged).watch(3001).answered(3020);
    assert_eq!(answered.expires_seen_at(3020), 3020 + USABLE_GRACE_MS);
    // One that has heard nothing has nothing to go on with, and a silent watch is no better after it.
    let unheard = Timeline::pushed().watch(5).then(100, PollEvent::DiscoveryChanged);
    assert_eq!(unheard.expires_seen_at(100), USABLE_GRACE_MS);
    let silent = Timeline::watching().then(9500, PollEvent::DiscoveryChanged);
    assert_eq!(silent.expires_seen_at(9500), 12_020 + USABLE_GRACE_MS);
}

/// Guards against: the same where the list was asked for before the reload, and where it is asked for
/// from then on.
#[test]
fn reload_between_pushed_and_requested_lists_is_bounded() {
    for failure in FAILURES {
        let mut requested = Timeline::begin(ON_REQUEST).watch(0).answered(1000).watch(1000);
        requested.0.configure(at(3000), Discovery::Pushed, GRACE);
        let pushed = requested.then(3000, PollEvent::DiscoveryChanged).failing(3001, 12_000, 50, failure);
        assert_eq!(pushed.expires_seen_at(12_000), 7000 + USABLE_GRACE_MS, "{failure:?}");
    }
    let mut pushed = Timeline::watching();
    pushed.0.configure(at(3000), ON_REQUEST, GRACE);
    let requested = pushed.then(3000, PollEvent::DiscoveryChanged).watch(3500);
    assert_eq!(requested.expires_seen_at(3500), 7000 + USABLE_GRACE_MS);
    assert_eq!(requested.answered(4000).expires_seen_at(4000), 10_000 + USABLE_GRACE_MS);
}
