//! Instances agree on the requests that crash endpoints, however updates are reordered, delayed or duplicated.

use proptest::prelude::*;
use ryevalve::{
    balance::load::EndpointKey,
    limits::{
        dissemination::Audience,
        fingerprint::Fingerprint,
        suspects::{SuspectTable, SuspectUpdate},
    },
};

const INSTANCES: usize = 4;
const REQUESTS: u64 = 3;
const STEP_US: u64 = 50_000;

#[derive(Clone, Debug)]
enum Step {
    /// An endpoint crashed under a request of an instance.
    Crashes {
        instance: usize,
        request: u64,
        endpoint: u32,
    },
    /// A request of an instance completed.
    Completes { instance: usize, request: u64 },
    /// An instance sends an update, which is lost for those that are not in `received`.
    Sends {
        instance: usize,
        received: [bool; INSTANCES],
    },
    /// An earlier update arrives again.
    Duplicates { update: usize, instance: usize },
    /// An instance restarts and loses its state.
    Restarts { instance: usize },
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    prop_oneof![
        4 => (instance.clone(), 0..REQUESTS, 0..5_u32)
            .prop_map(|(instance, request, endpoint)| Step::Crashes { instance, request, endpoint }),
        1 => (instance.clone(), 0..REQUESTS).prop_map(|(instance, request)| Step::Completes { instance, request }),
        6 => (instance.clone(), any::<[bool; INSTANCES]>())
            .prop_map(|(instance, received)| Step::Sends { instance, received }),
        2 => (any::<prop::sample::Index>(), instance.clone())
            .prop_map(|(update, instance)| Step::Duplicates { update: update.index(1_000), instance }),
        1 => instance.prop_map(|instance| Step::Restarts { instance }),
    ]
}

fn crashes(table: &SuspectTable) -> Vec<usize> {
    (0..REQUESTS)
        .map(|r| table.crashes(Fingerprint(r)))
        .collect()
}

proptest! {
    /// Once all have received the updates of all, they block the same requests; and none ever counts more crashes than
    /// there were.
    #[test]
    fn instances_converge_on_the_same_blocked_requests(steps in prop::collection::vec(step(), 1..80)) {
        let mut tables: Vec<SuspectTable> = (0..INSTANCES).map(|_| SuspectTable::default()).collect();
        let mut updates: Vec<Vec<SuspectUpdate>> = Vec::new();
        let mut crashed = std::collections::HashSet::new();
        let mut now_us = STEP_US;
        for step in steps {
            now_us += STEP_US;
            match step {
                Step::Crashes { instance, request, endpoint } => {
                    crashed.insert((request, endpoint));
                    tables[instance].note_crash(now_us, Fingerprint(request), EndpointKey(endpoint));
                }
                Step::Completes { instance, request } => {
                    tables[instance].note_completed(now_us, Fingerprint(request));
                }
                Step::Sends { instance, received } => {
                    let update = tables[instance].take_due_updates(now_us, Audience::Peers);
                    for (instance, _) in received.iter().enumerate().filter(|(_, received)| **received) {
                        tables[instance].apply_updates(now_us, &update);
                    }
                    updates.push(update);
                }
                Step::Duplicates { update, instance } if !updates.is_empty() => {
                    let update = updates[update % updates.len()].clone();
                    tables[instance].apply_updates(now_us, &update);
                }
                Step::Duplicates { .. } => {}
                Step::Restarts { instance } => tables[instance] = SuspectTable::default(),
            }
            for table in &tables {
                for (request, counted) in crashes(table).into_iter().enumerate() {
                    let actual = crashed.iter().filter(|(r, _)| *r == request as u64).count();
                    prop_assert!(counted <= actual);
                }
            }
        }
        // Suspects that are blocked or nearly so are resent periodically.
        for _ in 0..INSTANCES {
            now_us += 2_000_000;
            for sender in 0..INSTANCES {
                let update = tables[sender].take_due_updates(now_us, Audience::Peers);
                for table in &mut tables {
                    table.apply_updates(now_us, &update);
                }
            }
        }
        let blocked = |table: &SuspectTable| {
            let all = (0..REQUESTS).map(Fingerprint);
            all.filter(|f| table.blocked_us(now_us, *f, 100).is_some()).collect::<Vec<_>>()
        };
        let first = blocked(&tables[0]);
        for table in &tables[1..] {
            prop_assert_eq!(&blocked(table), &first);
        }
    }
}
