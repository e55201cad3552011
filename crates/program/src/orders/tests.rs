//! Orders of two processes in any order of storing.

use super::*;

fn order(disabled: bool, given_at: GivenAt) -> Order {
    Order { disabled, given_at }
}

fn orders(orders: &[(&str, Order)]) -> Orders {
    orders.iter().map(|(name, order)| (name.to_string(), *order)).collect()
}

/// Guards against an outcome that depends on which process stores its orders first (review case 2).
#[test]
fn last_orders_hold_in_whichever_order_they_are_stored() {
    let older = orders(&[("a", order(true, 1)), ("b", order(true, 4)), ("c", order(false, 6))]);
    let newer = orders(&[("a", order(false, 2)), ("b", order(false, 3)), ("c", order(true, 5))]);
    for stored_in_turn in [[&older, &newer], [&newer, &older]] {
        let mut stored = StoredOrders::default();
        stored_in_turn.iter().for_each(|orders| stored.carry_out(orders));
        assert_eq!(stored.disabled, BTreeSet::from(["b".to_owned()]));
    }
}

/// Guards against orders that lose to those from before a restart of the system, when its clock begins
/// anew.
#[test]
fn orders_from_before_a_restart_of_the_system_are_older_than_any() {
    let mut stored = StoredOrders { log: OrderLog::default().of_boot("first"), ..StoredOrders::default() };
    stored.carry_out(&orders(&[("a", order(true, 900))]));
    stored.log = stored.log.of_boot("second");
    stored.carry_out(&orders(&[("a", order(false, 5))]));
    assert!(stored.disabled.is_empty());
}

/// Guards against a log that grows without end, and against one that forgets the newest orders.
#[test]
fn oldest_orders_are_forgotten() {
    let mut stored = StoredOrders::default();
    let many = (0..MAX_ORDERS as u64 + 5).map(|n| (format!("t{n}"), order(true, n)));
    stored.carry_out(&many.collect());
    assert_eq!(stored.log.orders.len(), MAX_ORDERS);
    assert!(!stored.log.orders.contains_key("t4") && stored.log.orders.contains_key("t5"));
    assert_eq!(stored.disabled.len(), MAX_ORDERS + 5, "what is disabled is not forgotten");
}
