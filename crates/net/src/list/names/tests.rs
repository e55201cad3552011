//! Numbers of names across settings.

use super::*;

/// Guards against numbers that depend on the place of a name in a list, and against one number for
/// all names that the settings do not list.
#[test]
fn name_keeps_its_number_and_shares_it_with_no_other() {
    let table = NameTable::default();
    let (a, b) = (table.zone(Some("a")), table.zone(Some("b")));
    let later = table.clone();
    assert_eq!([later.zone(Some("b")), later.zone(Some("c")), later.zone(Some("a"))], [b, ZoneId(2), a]);
    assert_ne!(a, b);
    assert_eq!(table.zone(None), ZoneId::UNKNOWN);
    assert_eq!(table.kind(Some("b")), MachineTypeId(0), "kinds are numbered by themselves");
}

/// Guards against a table that grows without end, and against a number that a name beyond the
/// maximum shares with a known one.
#[test]
fn names_beyond_the_maximum_are_unknown() {
    let table = NameTable::default();
    for n in 0..MAX_NAMES {
        assert_eq!(table.zone(Some(&format!("z{n}"))), ZoneId(n));
    }
    assert_eq!(table.zone(Some("one more")), ZoneId::UNKNOWN);
    assert_eq!(table.zone(Some("z7")), ZoneId(7));
}
