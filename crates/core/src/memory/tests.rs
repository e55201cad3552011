//! Tests of the account of memory.

use super::*;

const KIB: usize = 1 << 10;

/// The limits of a process with so many descriptors.
fn connections(descriptors: usize) -> ConnectionLimits {
    ConnectionLimits { clients: descriptors * 5 / 8, endpoints: descriptors * 3 / 8 }
}

fn account(limit_mib: usize) -> MemoryAccount {
    MemoryAccount::new(limit_mib, connections(1024).within_memory(limit_mib))
}

/// Guards against a limit that two processes of an upgrade exceed together, at any limit that
/// operators set.
#[test]
fn two_processes_stay_within_the_limit() {
    for limit_mib in [32, 64, 96, 192, 2048] {
        let mut accounts = [account(limit_mib), account(limit_mib)];
        let connections = connections(1024).within_memory(limit_mib).bytes();
        for account in &mut accounts {
            while account.try_reserve(64 * KIB, Purpose::Admission) {}
        }
        let held: usize =
            accounts.iter().map(|account| account.reserved().1 + connections + BASELINE_MIB * MIB).sum();
        assert!(held <= limit_mib * MIB, "{limit_mib} MiB: {held} bytes");
        assert!(held >= limit_mib * MIB / 3, "{limit_mib} MiB is used: {held} bytes");
    }
}

/// Guards against work that has been taken giving way to what may wait: each purpose is refused
/// before the next one.
#[test]
fn purposes_give_way_in_order() {
    let mut account = account(96);
    let mut reserved_before = 0;
    for purpose in &Purpose::ALL {
        while account.try_reserve(KIB, *purpose) {}
        let (reserved, _) = account.reserved();
        assert!(reserved > reserved_before, "{purpose:?} has a part of its own");
        reserved_before = reserved;
    }
    assert!(Purpose::ALL.iter().all(|purpose| !account.try_reserve(KIB, *purpose)));
}

/// Guards against an account that runs dry: what is given back can be reserved again.
#[test]
fn released_bytes_can_be_reserved_again() {
    let mut account = account(64);
    for _ in 0..100 {
        assert!(account.try_reserve(account.budget() / 2, Purpose::Reading));
        account.release(account.budget() / 2);
    }
    assert_eq!(account.reserved().0, 0);
    account.set_limits(192, connections(1024));
    assert!(account.try_reserve(32 * MIB, Purpose::Reading), "a larger limit holds at once");
}

/// Guards against connections that take the memory of the messages, where the limit is the least, and
/// against fewer connections than the memory has room for.
#[test]
fn connections_leave_room_for_messages() {
    let least = connections(1024).within_memory(32);
    assert!(least.clients >= 1024 / 3, "clients hold at most a third of the descriptors for requests");
    assert!(account(32).budget() >= 2 * MIB);
    assert_eq!(connections(1024).within_memory(64), connections(1024));
    assert_eq!(connections(256).within_memory(32), connections(256));
}
