//! Tests of the account of memory.

use super::*;

const KIB: usize = 1 << 10;

/// Guards against a limit that two processes of an upgrade exceed together, at any limit that
/// operators set.
#[test]
fn two_processes_stay_within_the_limit() {
    for limit_mib in [32, 64, 96, 192, 2048] {
        let mut accounts = [MemoryAccount::new(limit_mib), MemoryAccount::new(limit_mib)];
        for account in &mut accounts {
            while account.try_reserve(64 * KIB, Purpose::Admission) {}
        }
        let held: usize = accounts.iter().map(|account| account.reserved().1 + BASELINE_MIB * MIB).sum();
        assert!(held <= limit_mib * MIB, "{limit_mib} MiB: {held} bytes");
        assert!(held >= limit_mib * MIB / 3, "{limit_mib} MiB is used: {held} bytes");
    }
}

/// Guards against work that has been taken giving way to what may wait: each purpose is refused
/// before the next one.
#[test]
fn purposes_give_way_in_order() {
    let mut account = MemoryAccount::new(96);
    let mut reserved_before = 0;
    for purpose in &Purpose::ALL[..4] {
        while account.try_reserve(KIB, *purpose) {}
        let (reserved, _) = account.reserved();
        assert!(reserved > reserved_before, "{purpose:?} has a part of its own");
        reserved_before = reserved;
    }
    assert!(account.try_reserve(KIB, Purpose::Admitted), "what has been admitted is never refused");
    assert!(Purpose::ALL[..4].iter().all(|purpose| !account.try_reserve(KIB, *purpose)));
}

/// Guards against an account that runs dry: what is given back can be reserved again.
#[test]
fn released_bytes_can_be_reserved_again() {
    let mut account = MemoryAccount::new(64);
    for _ in 0..100 {
        assert!(account.try_reserve(account.budget() / 2, Purpose::Reading));
        account.release(account.budget() / 2);
    }
    assert_eq!(account.reserved().0, 0);
    account.set_limit(192);
    assert!(account.try_reserve(32 * MIB, Purpose::Reading), "a larger limit holds at once");
}
