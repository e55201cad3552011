use super::*;

const NOW: Time = Time(5_000_000_000);

/// Facts that allow an attempt.
fn allowed() -> AttemptFacts {
    AttemptFacts {
        started: false,
        client_waits: true,
        request_open: true,
        repeatable: true,
        deadline: NOW + Duration::from_secs(1),
        endpoint: EndpointStanding::Active,
        list_valid: true,
    }
}

/// Guards against: a fact that is not checked, or a denial that is not counted under its reason.
#[test]
fn each_fact_denies_by_itself_and_is_counted() {
    let cases = [
        (AttemptFacts { client_waits: false, ..allowed() }, Denial::ClientGone),
        (AttemptFacts { request_open: false, ..allowed() }, Denial::RequestOver),
        (AttemptFacts { repeatable: false, ..allowed() }, Denial::NotRepeatable),
        (AttemptFacts { deadline: NOW, ..allowed() }, Denial::OutOfTime),
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

/// Guards against: an attempt that has started being cut off by conditions that only apply before
/// the start.
#[test]
fn started_attempt_ignores_list_expiry_and_drain() {
    let facts = AttemptFacts {
        started: true,
        list_valid: false,
        endpoint: EndpointStanding::Unlisted,
        ..allowed()
    };
    assert_eq!(Guard::default().may_write(NOW, facts), Ok(()));
    let late = AttemptFacts { deadline: NOW, ..facts };
    assert_eq!(Guard::default().may_write(NOW, late), Err(Denial::OutOfTime));
}

/// Guards against: a violation that is not counted.
#[test]
fn violations_are_detected_and_counted() {
    let guard = Guard::default();
    let deadline = NOW + Duration::from_millis(100);
    assert_eq!(guard.check_started(NOW, deadline, false), None);
    assert_eq!(guard.check_started(deadline + MAX_STALL, deadline, false), None);
    assert_eq!(guard.check_started(NOW, deadline, true), Some(Violation::SentOnExpiredList));
    let late = deadline + MAX_STALL + Duration::from_millis(1);
    assert_eq!(guard.check_started(late, deadline, false), Some(Violation::SentOutOfTime));
    assert_eq!(guard.may_close_unanswered(false), Ok(()));
    assert_eq!(guard.may_close_unanswered(true), Err(Violation::ClosedWithoutAnswer));
    assert!(guard.violations().all(|(_, count)| count == 1));
}

/// Guards against: an endpoint blamed for what this process denied because of its own clock, list
/// or client.
#[test]
fn denials_are_reported_as_moot() {
    for denial in Denial::ALL {
        assert_eq!(denial.outcome(), Outcome::NotSent, "{denial:?}");
    }
}
