//! Which parts of prompts are blocked because endpoints crashed when they began to answer requests with them.

use ryevalve::{
    balance::{load::EndpointKey, prefixes::PromptPart},
    limits::{
        dissemination::Audience,
        fingerprint::Fingerprint,
        part_suspects::{PartId, PartSuspects},
        suspects::SuspectTable,
    },
    peers::{
        datagram::Authenticator,
        update::{self, Update},
    },
};

use crate::support::SECOND;

const BAD: u64 = 0xbad;
const COMMON: u64 = 0xa0;

/// Returns a prompt of these parts and one of its own.
fn prompt(shared: &[u64]) -> Vec<PromptPart> {
    let ids = shared.iter().copied().chain([0xffff_0000]);
    ids.map(|id| PromptPart { id, tokens: 10 }).collect()
}

/// Lets endpoints crash under different requests with these parts, a tenth of a second apart.
fn crash(suspects: &mut PartSuspects, from: u64, endpoints: std::ops::Range<u32>, shared: &[u64]) {
    for number in endpoints {
        let now_us = from + u64::from(number) * SECOND / 10;
        let request = Fingerprint(u64::from(number) + 1);
        suspects.note_crash(now_us, &prompt(shared), request, EndpointKey(number));
    }
}

fn is_blocked(suspects: &PartSuspects, now_us: u64, shared: &[u64]) -> bool {
    suspects.blocked(now_us, &prompt(shared)).is_some()
}

#[test]
fn part_is_blocked_after_three_crashes_under_different_requests() {
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, 0, 0..2, &[COMMON, BAD]);
    assert!(!is_blocked(&suspects, SECOND, &[BAD]));
    crash(&mut suspects, 0, 2..3, &[COMMON, BAD]);
    assert!(is_blocked(&suspects, SECOND, &[BAD]));
    assert!(
        is_blocked(&suspects, SECOND, &[1, 2, BAD, 3]),
        "whatever else it holds"
    );
    assert!(!is_blocked(&suspects, SECOND, &[1, 2, 3]));
    assert_eq!(suspects.take_newly_blocked(SECOND).len(), 2);
    assert!(
        suspects.take_newly_blocked(SECOND).is_empty(),
        "reported once"
    );
}

/// The last part belongs to one request, which whole requests are blocked for.
#[test]
fn last_part_of_a_prompt_is_never_blocked() {
    let mut suspects = PartSuspects::default();
    for number in 0..5 {
        let parts = [PromptPart { id: BAD, tokens: 1 }];
        let request = Fingerprint(u64::from(number));
        suspects.note_crash(SECOND, &parts, request, EndpointKey(number));
    }
    assert!(!is_blocked(&suspects, SECOND, &[BAD]));
}

/// One request that crashes endpoints must not block the other requests of its session.
#[test]
fn repeated_request_that_crashes_endpoints_does_not_block_its_parts() {
    let mut suspects = PartSuspects::default();
    for number in 0..6 {
        suspects.note_crash(SECOND, &prompt(&[7]), Fingerprint(9), EndpointKey(number));
    }
    assert!(!is_blocked(&suspects, SECOND, &[7]));
}

/// A part that all requests share is at every crash, and is answered elsewhere all the time.
#[test]
fn part_that_is_answered_elsewhere_is_not_blocked() {
    let mut suspects = PartSuspects::default();
    for number in 0..20 {
        let now_us = u64::from(number) * SECOND / 10;
        crash(&mut suspects, now_us, number..number + 1, &[COMMON, BAD]);
        suspects.note_answered(now_us + SECOND / 20, &prompt(&[COMMON, 5]));
    }
    assert!(!is_blocked(&suspects, 3 * SECOND, &[COMMON, 5]));
    assert!(is_blocked(&suspects, 3 * SECOND, &[COMMON, BAD]));
}

/// A rare part that was at three of the crashes by chance.
#[test]
fn part_at_crashes_that_another_part_explains_is_not_blocked() {
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, 0, 0..3, &[BAD]);
    for number in 0..3 {
        let request = Fingerprint(u64::from(number) + 100);
        suspects.note_crash(SECOND, &prompt(&[7]), request, EndpointKey(number));
    }
    crash(&mut suspects, 0, 3..4, &[BAD]);
    assert!(is_blocked(&suspects, SECOND, &[BAD]));
    assert!(!is_blocked(&suspects, SECOND, &[7]));
}

/// Endpoints that crash for a reason of their own would block the parts in use, and with them all requests for ten
/// minutes.
#[test]
fn part_that_was_answered_before_is_blocked_later_and_gets_trials() {
    let mut suspects = PartSuspects::default();
    suspects.note_answered(0, &prompt(&[COMMON]));
    crash(&mut suspects, 3 * SECOND, 0..5, &[COMMON]);
    assert!(!is_blocked(&suspects, 4 * SECOND, &[COMMON]));
    crash(&mut suspects, 3 * SECOND, 5..6, &[COMMON]);
    assert!(is_blocked(&suspects, 4 * SECOND, &[COMMON]));
    let mut take = |at_us| suspects.take_trial(at_us, PartId(COMMON));
    assert_eq!([take(4 * SECOND), take(8 * SECOND)], [false, false]);
    assert_eq!([take(9 * SECOND), take(10 * SECOND)], [true, false]);
    let later = (11..60).filter(|s| take(s * SECOND)).count();
    assert_eq!(later, 1, "each trial may crash an endpoint");
    suspects.note_answered(10 * SECOND, &prompt(&[COMMON]));
    assert!(
        !is_blocked(&suspects, 10 * SECOND, &[COMMON]),
        "the trial was answered"
    );
}

#[test]
fn part_that_was_never_answered_gets_no_trial() {
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, 0, 0..4, &[BAD]);
    assert!((0..60).all(|s| !suspects.take_trial(s * SECOND, PartId(BAD))));
}

/// Requests that broke at the crashes of a bad part must not be blocked for them.
#[test]
fn crash_that_a_part_explains_does_not_block_a_request() {
    let mut parts = PartSuspects::default();
    let mut requests = SuspectTable::default();
    let request = Fingerprint(77);
    crash(&mut parts, 0, 0..3, &[BAD]);
    for number in 0..3 {
        requests.note_crash(SECOND, request, EndpointKey(number));
    }
    let blocked = |table: &SuspectTable| {
        let is_explained = |endpoint| parts.explains(SECOND, endpoint);
        table.blocked_us_unless(SECOND, request, 16, is_explained)
    };
    assert_eq!(blocked(&requests), None);
    for number in 10..13 {
        requests.note_crash(SECOND, request, EndpointKey(number));
    }
    assert!(blocked(&requests).is_some(), "it has crashes of its own");
}

/// Callers choose the parts.
#[test]
fn flood_of_parts_is_bounded_and_keeps_the_one_that_is_blocked() {
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, 0, 0..3, &[BAD]);
    for number in 0..2_000_u64 {
        let shared: Vec<u64> = (0..300).map(|part| 0x1000 + number * 300 + part).collect();
        let request = Fingerprint(number);
        suspects.note_crash(SECOND, &prompt(&shared), request, EndpointKey(50));
        suspects.note_answered(SECOND, &prompt(&shared));
    }
    assert!(suspects.len() <= 4_096);
    assert!(is_blocked(&suspects, SECOND, &[BAD]));
}

/// Instances of earlier versions read datagrams up to the parts, and send none.
#[test]
fn datagram_without_parts_is_what_earlier_versions_send() {
    let authenticator = Authenticator::new(b"a key of sixteen and more", "test");
    let plain = Update::default();
    let mut earlier = postcard::to_stdvec(&plain).expect("plain data");
    authenticator.seal(&mut earlier);
    assert_eq!(update::encode(&authenticator, &plain), earlier);
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, 0, 0..3, &[BAD]);
    let parts = suspects.take_due_updates(SECOND, Audience::Peers);
    let with_parts = Update {
        parts,
        ..plain.clone()
    };
    let sent = update::encode(&authenticator, &with_parts);
    let body = authenticator.open(&sent).expect("an authentic datagram");
    let by_earlier: Update = postcard::from_bytes(body).expect("readable without the parts");
    assert_eq!(by_earlier, plain);
    let received = update::decode(&authenticator, &sent).expect("a datagram");
    assert_eq!(received, with_parts);
    let mut other = PartSuspects::default();
    other.apply_updates(SECOND, received.parts);
    assert!(
        is_blocked(&other, SECOND, &[BAD]),
        "the requests are told apart there too"
    );
}

#[test]
fn persisted_parts_are_blocked_after_the_loss_of_all() {
    let mut suspects = PartSuspects::default();
    crash(&mut suspects, 0, 0..3, &[BAD]);
    let persisted = suspects.to_persist(SECOND);
    let again = suspects.to_persist(2 * SECOND);
    let mut pairs = persisted.iter().zip(&again);
    assert!(pairs.all(|(a, b)| a.has_same_crashes(b)), "written once");
    let mut restored = PartSuspects::default();
    restored.apply_updates(0, persisted);
    assert!(is_blocked(&restored, 0, &[BAD]));
}
