//! Connects to discovery that fail, on real sockets: a failure of a moment and one that lasts.
//!
//! Seen in soak 770106: an endpoint drained; the process could make no connection for a while (ENOBUFS), then one connect
//! failed by EHOSTUNREACH, which Linux may return for a moment. It was taken for an outage: the lease on the list ran for
//! 6.3 s from there, to the hundredth of a second, and the next poll came 4.2 s later. Nine attempts went to the endpoint 0.8 to
//! 2.4 s after the process counted as told.
#![allow(missing_docs)]

mod sidecar_under_load;

use rustix::io::Errno;
use sidecar_under_load::{
    attempts_after_a_connect_failed, next_poll_after_a_connect_failed, refused_while_connects_fail,
};
use std::time::Duration;

/// A poll that failed for a moment is made again within this time.
const SOON: Duration = Duration::from_secs(1);
/// Twice the time for which a list may be used that nothing confirms.
const OUTAGE: Duration = Duration::from_secs(13);

/// Guards against: a lease extended by an error of a moment, so that a drained server gets new requests.
#[test]
fn nothing_new_goes_to_a_draining_server_after_a_connect_that_failed_for_a_moment() {
    for error in [Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(attempts_after_a_connect_failed(error), 0, "{error}");
    }
}

/// Guards against: a poll put off for seconds by an error that passes in a moment.
#[test]
fn a_connect_that_failed_for_a_moment_does_not_put_off_the_next_poll() {
    let (path_failed, not_made) = ("path_failed", "not_made");
    let errors = [
        (Errno::HOSTUNREACH, path_failed),
        (Errno::TIMEDOUT, path_failed),
        (Errno::NETUNREACH, not_made),
        (Errno::NFILE, not_made),
    ];
    for (error, reason) in errors {
        let after = next_poll_after_a_connect_failed(error, reason);
        assert!(after < SOON, "{error}: {after:?}");
    }
}

/// Guards against: clients refused during an outage that shows by unreachable hosts for as long as it lasts.
#[test]
fn a_host_that_stays_unreachable_is_an_outage() {
    assert_eq!(refused_while_connects_fail(Errno::HOSTUNREACH, OUTAGE), 0);
}

/// Guards against: a process that can make no connection, and goes on as in an outage.
#[test]
fn a_process_that_can_make_no_connection_does_not_take_that_for_an_outage() {
    assert!(refused_while_connects_fail(Errno::NOBUFS, OUTAGE) > 0);
}
