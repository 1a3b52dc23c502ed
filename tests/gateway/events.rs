//! Tests of the splitting of streams at the ends of events, for arbitrary chunks.

use proptest::prelude::*;
use ryevalve::endpoint::events::EventSplitter;

fn stream(ids: std::ops::Range<u64>) -> Vec<u8> {
    ids.flat_map(|id| format!("id: {id}\ndata: text {id}\n\n").into_bytes())
        .collect()
}

proptest! {
    #[test]
    fn bytes_are_neither_lost_duplicated_nor_reordered(
        chunk_sizes in prop::collection::vec(1_usize..40, 1..60),
    ) {
        let bytes = stream(1..30);
        let mut splitter = EventSplitter::default();
        let (mut at, mut out, mut last) = (0, Vec::new(), None);
        for chunk_size in chunk_sizes.into_iter().cycle().take(2_000) {
            let end = (at + chunk_size).min(bytes.len());
            splitter.push(&bytes[at..end]);
            at = end;
            while let Some(events) = splitter.take_complete(last).unwrap() {
                prop_assert!(events.bytes.ends_with(b"\n\n"));
                prop_assert!(events.last_id > last);
                last = events.last_id;
                out.extend_from_slice(&events.bytes);
            }
        }
        prop_assert_eq!(out, bytes);
        prop_assert!(!splitter.has_partial_event());
    }

    #[test]
    fn resumed_stream_continues_after_the_last_complete_event(
        last_before_break in 1_u64..20,
        resumed_from in 1_u64..20,
    ) {
        let resumed_from = resumed_from.min(last_before_break + 1);
        let mut first = EventSplitter::default();
        first.push(&stream(1..last_before_break + 1));
        // The stream breaks in the middle of an event.
        first.push(b"id: 99\ndata: bro");
        let mut out = first.take_complete(None).unwrap().unwrap();
        prop_assert!(first.has_partial_event());
        let mut bytes = out.bytes.to_vec();
        let mut second = EventSplitter::default();
        second.push(&stream(resumed_from..25));
        let last = out.last_id;
        if let Some(events) = second.take_complete(last).unwrap() {
            bytes.extend_from_slice(&events.bytes);
            out = events;
        }
        prop_assert_eq!(out.last_id, Some(24));
        prop_assert_eq!(bytes, stream(1..25));
    }
}

#[test]
fn too_long_event_is_an_error() {
    let mut splitter = EventSplitter::default();
    splitter.push(&vec![b'a'; (1 << 20) + 1]);
    assert!(splitter.take_complete(None).is_err());
}

#[test]
fn events_may_end_with_either_line_ending() {
    let mut splitter = EventSplitter::default();
    splitter.push(b"id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\n");
    let events = splitter.take_complete(None).unwrap().unwrap();
    assert_eq!((events.count, events.last_id), (2, Some(2)));
}

#[test]
fn comments_go_out_with_the_next_event_and_do_not_end_a_stream_inside_one() {
    let mut splitter = EventSplitter::default();
    splitter.push(b": alive\n\n");
    assert_eq!(splitter.take_complete(None), Ok(None));
    assert!(!splitter.has_partial_event());
    splitter.push(b"id: 1\nda");
    assert_eq!(splitter.take_complete(None), Ok(None));
    assert!(splitter.has_partial_event());
    splitter.push(b"ta: a\n\n: alive\n\n");
    let events = splitter.take_complete(None).unwrap().unwrap();
    assert_eq!(&events.bytes[..], b": alive\n\nid: 1\ndata: a\n\n");
    assert_eq!((events.count, events.last_id), (1, Some(1)));
    assert!(!splitter.has_partial_event());
}

#[test]
fn comments_and_old_events_without_end_are_errors() {
    for piece in [": alive\n\n", "id: 1\ndata: a\n\n"] {
        let mut splitter = EventSplitter::default();
        let is_too_long = (0..2_000).any(|_| {
            splitter.push(piece.repeat(64).as_bytes());
            splitter.take_complete(Some(1)).is_err()
        });
        assert!(is_too_long, "{piece:?}");
    }
}
