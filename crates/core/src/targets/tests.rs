//! Tests of the endpoint list.

use super::*;

fn record(name: &str, started_at_ms: u64, lifecycle: Lifecycle) -> EndpointRecord {
    EndpointRecord {
        id: endpoint_id(name),
        address: SocketAddr::from(([127, 0, 0, 1], 8081)),
        zone: ZoneId(0),
        cell: CellId(0),
        kind: MachineTypeId(0),
        lifecycle,
        started_at_ms,
    }
}

/// Guards against beginning an attempt for the process that an endpoint had before: it is restarted,
/// or another endpoint has come up at its address.
#[test]
fn start_that_is_no_longer_listed_takes_no_work() {
    let (mut list, clock) = (EndpointList::default(), Clock::start());
    list.update(ListKind::Full, &[record("a", 1_000, Lifecycle::Active)], &clock);
    let first = list.find(endpoint_id("a")).expect("it is listed");
    assert!(list.is_active(first));
    list.update(ListKind::Delta, &[record("a", 2_000, Lifecycle::Active)], &clock);
    let second = list.find(endpoint_id("a")).expect("it is listed");
    assert_eq!(list.standing(first), EndpointStanding::Unlisted);
    assert!(list.is_active(second));
    list.update(
        ListKind::Delta,
        &[record("a", 2_000, Lifecycle::Left), record("b", 3_000, Lifecycle::Active)],
        &clock,
    );
    assert_eq!(list.standing(second), EndpointStanding::Unlisted);
    assert!(list.find(endpoint_id("b")).is_some_and(|endpoint| list.is_active(endpoint)));
}
