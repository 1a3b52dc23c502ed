//! Which requests are blocked because endpoints ended under them, and what instances tell each other of it.

use ryevalve::{
    balance::load::EndpointKey,
    limits::{dissemination::Audience, fingerprint::Fingerprint, suspects::SuspectTable},
};

use crate::support::SECOND;

const ENDPOINTS: usize = 20;
const WORK: Fingerprint = Fingerprint(7);

fn is_blocked(book: &SuspectTable, now_us: u64, fingerprint: Fingerprint) -> bool {
    book.blocked_us(now_us, fingerprint, ENDPOINTS).is_some()
}

/// A book in which endpoints 1 to `endings` ended under [`WORK`], a second apart.
fn book_of(endings: u32) -> SuspectTable {
    let mut book = SuspectTable::default();
    for number in 1..=endings {
        let now_us = u64::from(number) * SECOND;
        book.note_crash(now_us, WORK, EndpointKey(number));
    }
    book
}

#[test]
fn fingerprints_tell_work_apart_and_not_tries() {
    let of = |method, path, organisation, body: &str| {
        Fingerprint::of(method, path, organisation, body.as_bytes())
    };
    let work = of("POST", "/a/b?c=d", Some("org"), "body");
    assert_eq!(work, of("POST", "/a/b?c=d", Some("org"), "body"));
    for other in [
        of("PUT", "/a/b?c=d", Some("org"), "body"),
        of("POST", "/a/b?c=e", Some("org"), "body"),
        of("POST", "/a/b?c=d", Some("other"), "body"),
        of("POST", "/a/b?c=d", None, "body"),
        of("POST", "/a/b?c=d", Some("org"), "bodies"),
        of("POST", "/a/b?c=dorg", None, "body"),
        of("POST", "/a/b?c=d", Some("orgb"), "ody"),
    ] {
        assert_ne!(work, other);
    }
}

#[test]
fn two_endings_block_a_request_and_one_does_not() {
    assert!(!is_blocked(&book_of(1), 2 * SECOND, WORK));
    let book = book_of(2);
    assert!(is_blocked(&book, 3 * SECOND, WORK));
    assert!(!is_blocked(&book, 3 * SECOND, Fingerprint(8)));
    // For ten minutes, and then not.
    assert!(is_blocked(&book, 601 * SECOND, WORK));
    assert!(!is_blocked(&book, 603 * SECOND, WORK));
}

#[test]
fn the_same_ending_told_twice_is_one() {
    let mut book = book_of(1);
    book.note_crash(2 * SECOND, WORK, EndpointKey(1));
    assert_eq!(book.crashes(WORK), 1);
}

/// Where endpoints end all over, two of them may well have ended under one request by chance.
#[test]
fn while_others_end_two_endings_do_not_block_and_three_do() {
    let mut book = book_of(2);
    for number in 100..104 {
        book.note_crash(3 * SECOND, Fingerprint(number), EndpointKey(number as u32));
    }
    assert!(!is_blocked(&book, 4 * SECOND, WORK));
    // Nor the others, which were at one each.
    assert!(!is_blocked(&book, 4 * SECOND, Fingerprint(100)));
    // Ten seconds later they do not say anything any more.
    assert!(is_blocked(&book, 14 * SECOND, WORK));
    book.note_crash(4 * SECOND, WORK, EndpointKey(3));
    assert!(is_blocked(&book, 4 * SECOND, WORK));
}

/// A poll that all callers of an organisation make alike is at every endpoint that ends.
#[test]
fn a_whole_run_clears_a_request_and_word_of_its_endings_that_comes_late_does_not_block_it() {
    let mut elsewhere = book_of(3);
    let late = elsewhere.take_due_updates(4 * SECOND, Audience::Peers);
    let mut book = book_of(3);
    book.note_completed(4 * SECOND, WORK);
    assert!(!is_blocked(&book, 4 * SECOND, WORK));
    book.apply_updates(5 * SECOND, &late);
    assert!(!is_blocked(&book, 5 * SECOND, WORK));
    // The others hear that it was cleared.
    elsewhere.apply_updates(
        5 * SECOND,
        &book.take_due_updates(5 * SECOND, Audience::Peers),
    );
    assert!(!is_blocked(&elsewhere, 5 * SECOND, WORK));
    // What ends from now on counts anew.
    for number in 10..13 {
        book.note_crash(6 * SECOND, WORK, EndpointKey(number));
    }
    assert!(is_blocked(&book, 6 * SECOND, WORK));
}

#[test]
fn what_is_new_is_told_three_times_and_what_is_blocked_again_and_again() {
    let mut book = book_of(2);
    let mut one = SuspectTable::default();
    one.note_crash(SECOND, Fingerprint(9), EndpointKey(1));
    for _ in 0..3 {
        assert_eq!(book.take_due_updates(3 * SECOND, Audience::Peers).len(), 1);
        assert_eq!(one.take_due_updates(3 * SECOND, Audience::Peers).len(), 1);
    }
    assert!(
        book.take_due_updates(3 * SECOND, Audience::Peers)
            .is_empty()
    );
    let mut later = SuspectTable::default();
    later.apply_updates(
        5 * SECOND,
        &book.take_due_updates(5 * SECOND, Audience::Peers),
    );
    assert!(is_blocked(&later, 5 * SECOND, WORK));
    assert!(
        one.take_due_updates(60 * SECOND, Audience::Peers)
            .is_empty()
    );
}

/// Two instances that forget at different moments must not remind each other for ever.
#[test]
fn what_is_forgotten_stays_so_though_others_forget_later() {
    let (mut one, mut other) = (book_of(2), SuspectTable::default());
    for tenth in 0..7_000 {
        let now_us = 2 * SECOND + tenth * SECOND / 10;
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

/// A flood: endpoints end under ever new requests, most of them met by chance.
#[test]
fn a_flood_of_suspects_takes_bounded_memory_and_forgets_no_blocked_one_first() {
    let mut book = book_of(3);
    for number in 1_000..60_000_u64 {
        let now_us = 4 * SECOND + number;
        book.note_crash(now_us, Fingerprint(number), EndpointKey(number as u32));
    }
    assert!(book.len() <= 4_096, "{}", book.len());
    assert!(is_blocked(&book, 5 * SECOND, WORK));
    let told = book.take_due_updates(5 * SECOND, Audience::Peers);
    assert!(told.len() <= 16, "a datagram's worth, not {}", told.len());
}

/// What many send is at many endpoints when they end in a burst; being blocked it would have no run to clear it.
#[test]
fn a_request_that_ran_whole_right_before_is_not_held_for_endings_that_follow() {
    let mut book = SuspectTable::default();
    book.note_completed(SECOND, WORK);
    for endpoint in 0..8 {
        book.note_crash(SECOND + 200_000, WORK, EndpointKey(endpoint));
    }
    assert!(!is_blocked(&book, SECOND + 300_000, WORK));
    // Others, where it has not run before, hold them against it, and are told.
    let mut other = SuspectTable::default();
    for endpoint in 0..3 {
        other.note_crash(SECOND + 200_000, WORK, EndpointKey(endpoint));
    }
    assert!(is_blocked(&other, SECOND + 300_000, WORK));
    book.apply_updates(
        SECOND + 300_000,
        &other.take_due_updates(SECOND + 300_000, Audience::Peers),
    );
    other.apply_updates(
        SECOND + 400_000,
        &book.take_due_updates(SECOND + 400_000, Audience::Peers),
    );
    assert!(!is_blocked(&other, SECOND + 400_000, WORK));
}

/// Work that ran well and ends endpoints from some moment on is blocked a little later than other work.
#[test]
fn a_request_that_ends_endpoints_from_some_moment_on_is_blocked_soon_after_its_last_whole_run() {
    let mut book = SuspectTable::default();
    book.note_completed(SECOND, WORK);
    book.note_crash(2 * SECOND, WORK, EndpointKey(1));
    for endpoint in 2..5 {
        book.note_crash(3 * SECOND + 1, WORK, EndpointKey(endpoint));
    }
    assert!(is_blocked(&book, 3 * SECOND + 1, WORK));
}

#[test]
fn whole_runs_take_bounded_memory_and_are_forgotten() {
    let mut book = SuspectTable::default();
    for number in 0..100_000 {
        book.note_completed(SECOND, Fingerprint(number));
    }
    book.expire(4 * SECOND);
    book.note_completed(4 * SECOND, WORK);
    book.note_crash(4 * SECOND, WORK, EndpointKey(1));
    assert!(!book.is_suspected(WORK), "there is room again");
    assert!(book.is_empty() || book.len() == 1);
}
