//! Tests of the ids that may have run.

use super::*;
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(10);
const SENT: Time = Time(5_000_000_000);

/// Guards against a second run of a request whose class does not allow it, and against rejecting one
/// whose class does.
#[test]
fn class_decides_whether_an_id_may_run_again() {
    let keyed = |scope| Effect::Keyed { scope, window: WINDOW };
    let within = SENT + WINDOW / 2;
    let after = SENT + WINDOW;
    for (effect, here_within, here_after, elsewhere) in [
        (Effect::Safe, true, true, true),
        (Effect::Unsafe, false, false, false),
        (keyed(Scope::All), true, false, true),
        (keyed(Scope::Zone), false, false, false),
        (keyed(Scope::Cell), false, false, false),
    ] {
        assert!(may_run_again(effect, None, false, after), "{effect:?}: a new id");
        assert_eq!(may_run_again(effect, Some(SENT), false, within), here_within, "{effect:?}");
        assert_eq!(may_run_again(effect, Some(SENT), false, after), here_after, "{effect:?}");
        assert_eq!(may_run_again(effect, None, true, within), elsewhere, "{effect:?}");
    }
}

/// Guards against a table that clients fill without end, and against forgetting the newest ids.
#[test]
fn oldest_ids_are_forgotten() {
    let mut ids = ExecutedIds::default();
    for id in 1..=3 * MAX_IDS as u64 {
        ids.record(id, SENT);
        ids.record(id, SENT + WINDOW);
    }
    assert_eq!((ids.len(), ids.first_sent.len()), (MAX_IDS, MAX_IDS));
    assert_eq!(ids.first_sent(3 * MAX_IDS as u64), Some(SENT), "the first time counts");
    assert_eq!(ids.first_sent(2 * MAX_IDS as u64), None);
}
