//! Tests of a sidecar that cannot have its endpoint list confirmed, on real sockets.
#![allow(missing_docs)]

mod sidecar_under_load;

use cottonpoint_lab::live::limited_discovery::Availability;
use sidecar_under_load::{CutOff, REJECTS_AT_ONCE, attempts_after_drain_grace};
use std::time::Duration;

/// Guards against use of the previous list after a reload, for as long as the new discovery rejects
/// each poll. Incident 1: one process got no answer for 10 s and sent requests to a draining
/// endpoint.
#[test]
fn draining_endpoint_receives_no_new_attempts_while_polls_after_a_reload_are_rejected() {
    assert_eq!(attempts_after_drain_grace(REJECTS_AT_ONCE, CutOff::Reload), 0);
}

/// Guards against the same with a discovery that accepts polls and never answers.
#[test]
fn draining_endpoint_receives_no_new_attempts_while_discovery_is_silent() {
    let silent = Availability::Unavailable { delay: Duration::from_secs(3600) };
    assert_eq!(attempts_after_drain_grace(silent, CutOff::Reload), 0);
}

/// Guards against the same without a reload: the watch ends and each later poll is rejected at
/// once.
#[test]
fn draining_endpoint_receives_no_new_attempts_while_overloaded_discovery_rejects_polls() {
    assert_eq!(attempts_after_drain_grace(REJECTS_AT_ONCE, CutOff::OverloadedDiscovery), 0);
}
