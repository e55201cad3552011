use super::*;

const NOW: Time = Time(5_000_000_000);

/// Facts that allow everything.
fn allowed() -> AttemptFacts {
    AttemptFacts {
        begun: false,
        client_waits: true,
        request_open: true,
        repeatable: true,
        until: NOW + Duration::from_secs(1),
        endpoint: EndpointStanding::Active,
        list_valid: true,
    }
}

/// Guards against: a fact that nobody asks about, and a denial that is not counted under its reason.
#[test]
fn each_fact_denies_by_itself_and_is_counted() {
    let cases = [
        (AttemptFacts { client_waits: false, ..allowed() }, Denial::ClientGone),
        (AttemptFacts { request_open: false, ..allowed() }, Denial::RequestOver),
        (AttemptFacts { repeatable: false, ..allowed() }, Denial::NotRepeatable),
        (AttemptFacts { until: NOW, ..allowed() }, Denial::OutOfTime),
        (AttemptFacts { list_valid: false, ..allowed() }, Denial::ListExpired),
        (AttemptFacts { endpoint: EndpointStanding::Leaving, ..allowed() }, Denial::EndpointLeaving),
        (AttemptFacts { endpoint: EndpointStanding::Unlisted, ..allowed() }, Denial::EndpointGone),
    ];
    let guard = Guard::default();
    assert_eq!(guard.may_write(NOW, allowed()), Ok(()));
    for (facts, denial) in cases {
        assert_eq!(guard.may_write(NOW, facts), Err(denial));
        assert!(denial.outcome().never_ran(), "{denial:?}");
    }
    assert!(guard.denials().all(|(_, count)| count == 1));
    assert!(guard.violations().all(|(_, count)| count == 0));
}

/// Guards against: an attempt that has begun cut off under way for what it need not heed any more.
#[test]
fn what_has_begun_heeds_neither_list_nor_drain() {
    let facts =
        AttemptFacts { begun: true, list_valid: false, endpoint: EndpointStanding::Unlisted, ..allowed() };
    assert_eq!(Guard::default().may_write(NOW, facts), Ok(()));
    let late = AttemptFacts { until: NOW, ..facts };
    assert_eq!(Guard::default().may_write(NOW, late), Err(Denial::OutOfTime));
}

/// Guards against: a broken rule that nobody counts.
#[test]
fn violations_are_found_and_counted() {
    let guard = Guard::default();
    let until = NOW + Duration::from_millis(100);
    assert_eq!(guard.check_begun(NOW, until, false), None);
    assert_eq!(guard.check_begun(until + HELD_UP, until, false), None);
    assert_eq!(guard.check_begun(NOW, until, true), Some(Violation::SentOnExpiredList));
    let late = until + HELD_UP + Duration::from_millis(1);
    assert_eq!(guard.check_begun(late, until, false), Some(Violation::SentOutOfTime));
    assert_eq!(guard.may_close_unanswered(false), Ok(()));
    assert_eq!(guard.may_close_unanswered(true), Err(Violation::ClosedWithoutAnswer));
    assert!(guard.violations().all(|(_, count)| count == 1));
}

/// Guards against: an endpoint blamed for what this process did not let begin: its own clock, its list or its client.
#[test]
fn no_denial_is_evidence_about_an_endpoint() {
    for denial in Denial::ALL {
        assert_eq!(denial.outcome(), Outcome::NotSent, "{denial:?}");
    }
}
