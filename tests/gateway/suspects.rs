//! Which requests are blocked because endpoints crashed under them, and the updates on them between instances.

use ryevalve::{
    balance::load::EndpointKey,
    limits::{
        dissemination::Audience,
        fingerprint::Fingerprint,
        suspects::{SuspectTable, SuspectUpdate},
    },
};

use crate::support::SECOND;

const ENDPOINTS: usize = 20;
const REQUEST: Fingerprint = Fingerprint(7);

fn is_blocked(table: &SuspectTable, now_us: u64, fingerprint: Fingerprint) -> bool {
    table.blocked_us(now_us, fingerprint, ENDPOINTS).is_some()
}

/// Returns a table in which endpoints 1 to `crashes` crashed under [`REQUEST`], a second apart.
fn table_with(crashes: u32) -> SuspectTable {
    let mut table = SuspectTable::default();
    for number in 1..=crashes {
        let now_us = u64::from(number) * SECOND;
        table.note_crash(now_us, REQUEST, EndpointKey(number));
    }
    table
}

#[test]
fn fingerprints_differ_between_requests_and_not_between_attempts() {
    let of = |method, path, organisation, body: &str| {
        Fingerprint::of(method, path, organisation, body.as_bytes())
    };
    let request = of("POST", "/a/b?c=d", Some("org"), "body");
    assert_eq!(request, of("POST", "/a/b?c=d", Some("org"), "body"));
    for other in [
        of("PUT", "/a/b?c=d", Some("org"), "body"),
        of("POST", "/a/b?c=e", Some("org"), "body"),
        of("POST", "/a/b?c=d", Some("other"), "body"),
        of("POST", "/a/b?c=d", None, "body"),
        of("POST", "/a/b?c=d", Some("org"), "bodies"),
        of("POST", "/a/b?c=dorg", None, "body"),
        of("POST", "/a/b?c=d", Some("orgb"), "ody"),
    ] {
        assert_ne!(request, other);
    }
}

#[test]
fn two_crashes_block_a_request_and_one_does_not() {
    assert!(!is_blocked(&table_with(1), 2 * SECOND, REQUEST));
    let table = table_with(2);
    assert!(is_blocked(&table, 3 * SECOND, REQUEST));
    assert!(!is_blocked(&table, 3 * SECOND, Fingerprint(8)));
    // It stays blocked for ten minutes after the last crash.
    assert!(is_blocked(&table, 601 * SECOND, REQUEST));
    assert!(!is_blocked(&table, 603 * SECOND, REQUEST));
}

#[test]
fn a_crash_that_is_noted_twice_counts_once() {
    let mut table = table_with(1);
    table.note_crash(2 * SECOND, REQUEST, EndpointKey(1));
    assert_eq!(table.crashes(REQUEST), 1);
}

/// Guards against blocking a harmless request while many endpoints crash: two of them may have run it by chance.
#[test]
fn while_other_endpoints_crash_three_crashes_block_and_two_do_not() {
    let mut table = table_with(2);
    for number in 100..104 {
        table.note_crash(3 * SECOND, Fingerprint(number), EndpointKey(number as u32));
    }
    assert!(!is_blocked(&table, 4 * SECOND, REQUEST));
    // The other requests had one crash each.
    assert!(!is_blocked(&table, 4 * SECOND, Fingerprint(100)));
    // Ten seconds later the other crashes no longer count.
    assert!(is_blocked(&table, 14 * SECOND, REQUEST));
    table.note_crash(4 * SECOND, REQUEST, EndpointKey(3));
    assert!(is_blocked(&table, 4 * SECOND, REQUEST));
}

/// Guards against blocking a request that all callers of an organisation send, such as a poll: it runs on every
/// endpoint that crashes.
#[test]
fn a_completed_run_clears_a_request_and_late_updates_do_not_block_it() {
    let mut other_table = table_with(3);
    let late_updates = other_table.take_due_updates(4 * SECOND, Audience::Peers);
    let mut table = table_with(3);
    table.note_completed(4 * SECOND, REQUEST);
    assert!(!is_blocked(&table, 4 * SECOND, REQUEST));
    table.apply_updates(5 * SECOND, &late_updates);
    assert!(!is_blocked(&table, 5 * SECOND, REQUEST));
    // The other instance receives that it was cleared.
    other_table.apply_updates(
        5 * SECOND,
        &table.take_due_updates(5 * SECOND, Audience::Peers),
    );
    assert!(!is_blocked(&other_table, 5 * SECOND, REQUEST));
    // Later crashes count again.
    for number in 10..13 {
        table.note_crash(6 * SECOND, REQUEST, EndpointKey(number));
    }
    assert!(is_blocked(&table, 6 * SECOND, REQUEST));
}

#[test]
fn changes_are_sent_three_times_and_blocked_requests_periodically() {
    let mut table = table_with(2);
    let mut one = SuspectTable::default();
    one.note_crash(SECOND, Fingerprint(9), EndpointKey(1));
    for _ in 0..3 {
        assert_eq!(table.take_due_updates(3 * SECOND, Audience::Peers).len(), 1);
        assert_eq!(one.take_due_updates(3 * SECOND, Audience::Peers).len(), 1);
    }
    assert!(
        table
            .take_due_updates(3 * SECOND, Audience::Peers)
            .is_empty()
    );
    let mut later = SuspectTable::default();
    later.apply_updates(
        5 * SECOND,
        &table.take_due_updates(5 * SECOND, Audience::Peers),
    );
    assert!(is_blocked(&later, 5 * SECOND, REQUEST));
    assert!(
        one.take_due_updates(60 * SECOND, Audience::Peers)
            .is_empty()
    );
}

/// Guards against two instances that drop an entry at different moments and restore it for each other for ever.
#[test]
fn expired_entries_are_not_restored_by_instances_that_expire_them_later() {
    let (mut one, mut other) = (table_with(2), SuspectTable::default());
    for step in 0..7_000 {
        let now_us = 2 * SECOND + step * SECOND / 10;
        other.apply_updates(
            now_us + SECOND / 4,
            &one.take_due_updates(now_us, Audience::Peers),
        );
        one.apply_updates(
            now_us + SECOND / 4,
            &other.take_due_updates(now_us, Audience::Peers),
        );
        one.expire(now_us);
        other.expire(now_us + SECOND / 4);
    }
    assert!(
        one.is_empty() && other.is_empty(),
        "{} {}",
        one.len(),
        other.len()
    );
}

/// Endpoints crash under ever new requests, most of which run there by chance.
#[test]
fn many_suspects_take_bounded_memory_and_do_not_evict_blocked_ones() {
    let mut table = table_with(3);
    for number in 1_000..60_000_u64 {
        let now_us = 4 * SECOND + number;
        table.note_crash(now_us, Fingerprint(number), EndpointKey(number as u32));
    }
    assert!(table.len() <= 4_096, "{}", table.len());
    assert!(is_blocked(&table, 5 * SECOND, REQUEST));
    let updates = table.take_due_updates(5 * SECOND, Audience::Peers);
    assert!(
        updates.len() <= 16,
        "{} updates do not fit in a datagram",
        updates.len()
    );
}

/// Guards against blocking a request that many callers send when endpoints crash in a burst: it runs on many of them,
/// and once it is blocked no run can clear it.
#[test]
fn crashes_shortly_after_a_completed_run_do_not_block_a_request() {
    let mut table = SuspectTable::default();
    table.note_completed(SECOND, REQUEST);
    for endpoint in 0..8 {
        table.note_crash(SECOND + 200_000, REQUEST, EndpointKey(endpoint));
    }
    assert!(!is_blocked(&table, SECOND + 300_000, REQUEST));
    // An instance where it has not completed suspects it until it receives an update.
    let mut other = SuspectTable::default();
    for endpoint in 0..3 {
        other.note_crash(SECOND + 200_000, REQUEST, EndpointKey(endpoint));
    }
    assert!(is_blocked(&other, SECOND + 300_000, REQUEST));
    table.apply_updates(
        SECOND + 300_000,
        &other.take_due_updates(SECOND + 300_000, Audience::Peers),
    );
    other.apply_updates(
        SECOND + 400_000,
        &table.take_due_updates(SECOND + 400_000, Audience::Peers),
    );
    assert!(!is_blocked(&other, SECOND + 400_000, REQUEST));
}

/// A request that completed at first and crashes endpoints later on is blocked with a short delay.
#[test]
fn a_request_that_starts_to_crash_endpoints_is_blocked_soon_after_its_last_completed_run() {
    let mut table = SuspectTable::default();
    table.note_completed(SECOND, REQUEST);
    table.note_crash(2 * SECOND, REQUEST, EndpointKey(1));
    for endpoint in 2..5 {
        table.note_crash(3 * SECOND + 1, REQUEST, EndpointKey(endpoint));
    }
    assert!(is_blocked(&table, 3 * SECOND + 1, REQUEST));
}

#[test]
fn completed_runs_take_bounded_memory_and_expire() {
    let mut table = SuspectTable::default();
    for number in 0..100_000 {
        table.note_completed(SECOND, Fingerprint(number));
    }
    table.expire(4 * SECOND);
    table.note_completed(4 * SECOND, REQUEST);
    table.note_crash(4 * SECOND, REQUEST, EndpointKey(1));
    assert!(
        !table.is_suspected(REQUEST),
        "there is space for the completed run again"
    );
    assert!(table.is_empty() || table.len() == 1);
}

/// Returns a table that starts at 0 with what another one persisted, `age_s` later.
fn restored(persisted: Vec<SuspectUpdate>, age_s: u64) -> SuspectTable {
    let mut table = SuspectTable::default();
    let aged: Vec<_> = persisted.into_iter().map(|s| s.aged(age_s)).collect();
    table.apply_updates(0, &aged);
    table
}

/// Guards against crashes from before the start that count as recent ones, beside which two do not block a request.
#[test]
fn old_crashes_of_several_requests_do_not_unblock_them_after_the_loss_of_all() {
    let mut table = SuspectTable::default();
    for request in 0..6 {
        let now_us = (1 + request * 20) * SECOND;
        for number in [2 * request, 2 * request + 1] {
            table.note_crash(now_us, Fingerprint(request), EndpointKey(number as u32));
        }
        assert!(is_blocked(&table, now_us, Fingerprint(request)));
    }
    let restored = restored(table.to_persist(122 * SECOND), 20);
    let blocked = (0..6).filter(|r| is_blocked(&restored, SECOND, Fingerprint(*r)));
    assert_eq!(blocked.count(), 6);
}

/// Guards against a block that begins anew with each start of all instances, one after the other or at once.
#[test]
fn block_ends_ten_minutes_after_the_last_crash_whatever_restarts_meanwhile() {
    let mut table = table_with(3);
    for _ in 0..5 {
        // Each start comes 100 s after the one before it.
        let persisted = table.to_persist(100 * SECOND);
        table = restored(persisted, 0);
    }
    assert!(is_blocked(&table, 90 * SECOND, REQUEST));
    assert!(!is_blocked(&table, 110 * SECOND, REQUEST));
}
