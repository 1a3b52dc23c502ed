//! What instances believe of requests that end endpoints is the same in whatever order words come, late or twice.

use proptest::prelude::*;
use ryevalve::{
    balance::load::EndpointKey,
    limits::{
        dissemination::Audience,
        fingerprint::Fingerprint,
        suspects::{SuspectTable, SuspectUpdate},
    },
};

const BOOKS: usize = 4;
const REQUESTS: u64 = 3;
const STEP_US: u64 = 50_000;

#[derive(Clone, Debug)]
enum Step {
    /// An endpoint ended under a request of an instance.
    Ends {
        book: usize,
        request: u64,
        endpoint: u32,
    },
    /// A request ran to its end at an instance.
    Runs { book: usize, request: u64 },
    /// An instance tells; the word is lost where nobody gets it.
    Tells { book: usize, heard: [bool; BOOKS] },
    /// A word that was told before comes again.
    Repeats { word: usize, book: usize },
    /// An instance starts again and knows nothing.
    Restarts { book: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let book = 0..BOOKS;
    prop_oneof![
        4 => (book.clone(), 0..REQUESTS, 0..5_u32)
            .prop_map(|(book, request, endpoint)| Step::Ends { book, request, endpoint }),
        1 => (book.clone(), 0..REQUESTS).prop_map(|(book, request)| Step::Runs { book, request }),
        6 => (book.clone(), any::<[bool; BOOKS]>())
            .prop_map(|(book, heard)| Step::Tells { book, heard }),
        2 => (any::<prop::sample::Index>(), book.clone())
            .prop_map(|(word, book)| Step::Repeats { word: word.index(1_000), book }),
        1 => book.prop_map(|book| Step::Restarts { book }),
    ]
}

fn endings(book: &SuspectTable) -> Vec<usize> {
    (0..REQUESTS)
        .map(|r| book.crashes(Fingerprint(r)))
        .collect()
}

proptest! {
    /// Once every instance was heard by all, those that know of a request believe the same of it, and no more
    /// endings than there were.
    #[test]
    fn all_come_to_believe_the_same(steps in prop::collection::vec(step(), 1..80)) {
        let mut books: Vec<SuspectTable> = (0..BOOKS).map(|_| SuspectTable::default()).collect();
        let mut words: Vec<Vec<SuspectUpdate>> = Vec::new();
        let mut ended = std::collections::HashSet::new();
        let mut now_us = STEP_US;
        for step in steps {
            now_us += STEP_US;
            match step {
                Step::Ends { book, request, endpoint } => {
                    ended.insert((request, endpoint));
                    books[book].note_crash(now_us, Fingerprint(request), EndpointKey(endpoint));
                }
                Step::Runs { book, request } => {
                    books[book].note_completed(now_us, Fingerprint(request));
                }
                Step::Tells { book, heard } => {
                    let word = books[book].take_due_updates(now_us, Audience::Peers);
                    for (book, _) in heard.iter().enumerate().filter(|(_, heard)| **heard) {
                        books[book].apply_updates(now_us, &word);
                    }
                    words.push(word);
                }
                Step::Repeats { word, book } if !words.is_empty() => {
                    let word = words[word % words.len()].clone();
                    books[book].apply_updates(now_us, &word);
                }
                Step::Repeats { .. } => {}
                Step::Restarts { book } => books[book] = SuspectTable::default(),
            }
            for book in &books {
                for (request, believed) in endings(book).into_iter().enumerate() {
                    let were = ended.iter().filter(|(r, _)| *r == request as u64).count();
                    prop_assert!(believed <= were);
                }
            }
        }
        // What is blocked, or nearly so, is told again and again.
        for _ in 0..BOOKS {
            now_us += 2_000_000;
            for teller in 0..BOOKS {
                let word = books[teller].take_due_updates(now_us, Audience::Peers);
                for book in &mut books {
                    book.apply_updates(now_us, &word);
                }
            }
        }
        let blocked = |book: &SuspectTable| {
            let all = (0..REQUESTS).map(Fingerprint);
            all.filter(|f| book.blocked_us(now_us, *f, 100).is_some()).collect::<Vec<_>>()
        };
        let first = blocked(&books[0]);
        for book in &books[1..] {
            prop_assert_eq!(&blocked(book), &first);
        }
    }
}
