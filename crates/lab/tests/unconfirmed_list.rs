//! What a process of the program does while it cannot have its list confirmed, on real sockets.
#![allow(missing_docs)]

mod story;

use cottonpoint_lab::live::overrun::Condition;
use std::time::Duration;
use story::{AT_THE_DOOR, CutOff, attempts_after_the_grace};

/// Guards against: the list of before a reload used for as long as the new discovery turns each poll away (incident 1:
/// one process went 10 s without an answer and sent to a server that drained).
#[test]
fn nothing_new_goes_to_a_draining_server_while_polls_after_a_reload_are_turned_away() {
    assert_eq!(attempts_after_the_grace(AT_THE_DOOR, CutOff::Reload), 0);
}

/// Guards against: the same with a discovery that takes polls and answers none.
#[test]
fn nothing_new_goes_to_a_draining_server_while_discovery_is_silent() {
    let silent = Condition::TurnsAway { after: Duration::from_secs(3600) };
    assert_eq!(attempts_after_the_grace(silent, CutOff::Reload), 0);
}

/// Guards against: the same with no reload: the watch breaks and every poll after it is turned away at once.
#[test]
fn nothing_new_goes_to_a_draining_server_while_a_full_discovery_turns_polls_away() {
    assert_eq!(attempts_after_the_grace(AT_THE_DOOR, CutOff::FullDiscovery), 0);
}
