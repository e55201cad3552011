//! A process's life: ready once it has a list, and the word to stop.

use crate::peers::*;
use crate::program::make_pipe;
use cottonpoint::serve::PidFile;
use insta::assert_snapshot;
use std::path::Path;

/// Guards against: a sidecar that starts without a list and never asks for one (the balancer's first timer was
/// set only with its first event), readiness before the list is there, and answers lost at a planned stop.
#[test]
fn it_is_ready_once_it_has_a_list_and_until_it_is_told_to_stop() {
    let (target, discovery) = (Peer::new(), Peer::new());
    let sidecar = Running::start(&config(discovery.address, "null", 1024));
    let ready = "GET /health/ready HTTP/1.1\nHost: n0\n\n";
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 503"));
    let mut call = discovery.accept();
    assert_snapshot!(call.text.lines().next().unwrap(), @"GET /registry/instances HTTP/1.1");
    call.reply("200 OK", "", &list(1, true, &[line("t0", target.address, "active")]));
    call.next();
    assert!(sidecar.ask(ready).starts_with("HTTP/1.1 200"));

    // What it has taken is answered after the word to stop, and so is what comes right after it.
    let mut client = sidecar.client();
    send(&mut client, LOOK);
    let mut came = target.accept();
    sidecar.stop();
    while !sidecar.ask(ready).starts_with("HTTP/1.1 503") {}
    let mut late = sidecar.client();
    send(&mut late, ORDER);
    let mut second = target.accept();
    second.reply("200 OK", "", "late");
    assert!(message(&mut late).ends_with("late"));
    // Nobody else may be there for the clients: what they keep is served on.
    send(&mut late, ORDER);
    assert!(second.next().starts_with("POST"));
    second.reply("200 OK", "", "later");
    assert!(message(&mut late).ends_with("later"));
    came.reply("200 OK", "", "early");
    assert!(message(&mut client).ends_with("early"));
    // In time they are given back: idle connections are closed, and it ends.
    assert_eq!(message(&mut client) + &message(&mut late), "");
    sidecar.ends();
}

/// Guards against: clients who wait while the disk takes its time over the announcement of a new process (soak: processes
/// started beside a busy disk answered nobody for seconds). The disk is a pipe that nobody reads.
#[test]
fn a_disk_that_hangs_at_the_start_holds_up_no_client() {
    let state = tempfile::tempdir().expect("a directory");
    let announcement = Path::new(PidFile::FILE_NAME).with_extension(format!("{}.new", std::process::id()));
    make_pipe(&state.path().join(announcement));
    let (target, discovery) = (Peer::new(), Peer::new());
    let known = list(1, true, &[line("t0", target.address, "active")]);
    let (sidecar, _) = Running::with_console(&config(discovery.address, &known, 1024), Some(state.path()));
    let seen = target.echo();
    assert!(sidecar.ask(LOOK).starts_with("HTTP/1.1 200"));
    assert!(seen.recv().expect("a forward").starts_with("GET /look"));
    sidecar.ends();
}
