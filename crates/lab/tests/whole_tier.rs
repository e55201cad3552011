//! Tests of a tier whose endpoints all go at once and come back, on real sockets and with a real
//! process.
//!
//! The fault (report 2c34d4): an empty whole list was refused and the previous list stayed in use
//! until the lease expired. The endpoints listened again some time before they were listed, and
//! received 14 requests by then.
#![allow(missing_docs)]

mod sidecar_under_load;

use async_io::Timer;
use cottonpoint_lab::live::discovery::AnswerForm;
use sidecar_under_load::*;
use std::time::Duration;

/// How long the endpoints of the tier refuse connections before they listen again.
const DOWN_TIME: Duration = Duration::from_millis(1500);
/// How long they listen before they are listed: longer than the lease would last.
const UNLISTED_TIME: Duration = Duration::from_secs(6);
/// Time within which the listed tier has to be in use again.
const RETURN_TIMEOUT: Duration = Duration::from_secs(3);

/// Takes the whole tier away, lets it listen again before it is listed, and then lists it. Returns
/// the number of attempts that its endpoints received while they were not listed.
fn attempts_while_not_listed(endpoints: usize, publication: Publication, form: AnswerForm) -> u64 {
    let setup = Setup { endpoints, publication, second_discovery: serving() };
    with_setup(setup, async |sidecar: SidecarUnderLoad| {
        sidecar.list.set_answer_form(form);
        Timer::after(MIN_WATCH_AGE).await;
        assert!(sidecar.all_attempts() > 0, "the tier is in use");
        sidecar.endpoints.iter().for_each(|endpoint| endpoint.kill());
        sidecar.set_all_lifecycles("left");
        Timer::after(DOWN_TIME).await;
        let before = sidecar.all_attempts();
        sidecar.endpoints.iter().for_each(|endpoint| endpoint.listen_again().expect("it listens"));
        Timer::after(UNLISTED_TIME).await;
        let while_not_listed = sidecar.all_attempts() - before;
        sidecar.set_all_lifecycles("active");
        let listed = sidecar.all_attempts();
        wait_until("the tier is in use again", RETURN_TIMEOUT, || sidecar.all_attempts() > listed).await;
        assert_eq!(sidecar.clients.stats.unanswered.get(), 0, "each request has its answer");
        while_not_listed
    })
}

/// Guards against the refusal of an empty whole list, asked for by the sidecar.
#[test]
fn whole_tier_that_an_empty_list_removes_receives_no_attempts() {
    assert_eq!(attempts_while_not_listed(4, Publication::OnRequest, AnswerForm::Whole), 0);
}

/// Guards against the same with a tier of one endpoint.
#[test]
fn tier_of_one_that_an_empty_list_removes_receives_no_attempts() {
    assert_eq!(attempts_while_not_listed(1, Publication::OnRequest, AnswerForm::Whole), 0);
}

/// Guards against the same with a list that an agent pushes.
#[test]
fn whole_tier_that_an_empty_pushed_list_removes_receives_no_attempts() {
    assert_eq!(attempts_while_not_listed(4, Publication::Pushed, AnswerForm::Whole), 0);
}

/// Guards against use of a tier whose endpoints all left, each by an entry among the changes.
#[test]
fn whole_tier_that_changes_remove_receives_no_attempts() {
    for publication in [Publication::OnRequest, Publication::Pushed] {
        assert_eq!(attempts_while_not_listed(3, publication, AnswerForm::Changes), 0, "{publication:?}");
    }
}
