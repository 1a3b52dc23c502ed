//! The set of endpoints over series of changes, returns of the store from a copy, and restarts of instances.
//!
//! Guards against two faults after a return: a set that keeps what the store no longer has, because the changes have
//! lower revisions than before, and a set that uses an endpoint again that left, because the copy shows it.

use std::collections::{BTreeMap, HashSet};

use proptest::prelude::*;
use ryevalve::{
    balance::discovery::{Change, Discovery, EndpointEntry},
    prelude::StorePosition,
};

use crate::support::{SECOND, at, entry};

const ENDPOINTS: usize = 4;
/// Longer than any grace period.
const SETTLED: u64 = 10 * SECOND;

fn start_of(id: &str, born_ms: u64, draining: bool) -> EndpointEntry {
    EndpointEntry {
        born_ms,
        draining,
        ..entry(id, "h", 4)
    }
}

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition::new(era, revision)
}

#[test]
fn an_entry_of_a_copy_does_not_revoke_a_drain_and_a_later_write_does() {
    let mut set = Discovery::default();
    set.upsert(start_of("a", 1, false), at(5));
    set.upsert(start_of("a", 1, true), at(9));
    assert_eq!(set.upsert(start_of("a", 1, false), position(2, 5)), None);
    assert!(set.get("a").unwrap().draining);
    let revoked = set.upsert(start_of("a", 1, false), position(2, 9));
    assert_eq!(revoked, Some(Change::Updated));
    assert!(!set.get("a").unwrap().draining);
}

#[test]
fn a_drain_is_learned_from_another_instance_although_the_copy_shows_the_endpoint_as_ready() {
    let mut knows = Discovery::default();
    knows.upsert(start_of("a", 1, true), at(9));
    knows.advance_to(position(2, 7));
    let mut started_later = Discovery::default();
    started_later.upsert(start_of("a", 1, false), position(2, 5));
    started_later.advance_to(position(2, 6));
    let mut delta = knows.delta_since(SECOND, StorePosition::START);
    let changes = started_later.apply_delta(SECOND, delta.clone());
    assert_eq!(changes, vec![("a".into(), Change::Updated)]);
    assert!(started_later.get("a").unwrap().draining);
    // Whichever comes first.
    let mut started_later = Discovery::default();
    delta.position = position(2, 4);
    started_later.apply_delta(SECOND, delta);
    started_later.upsert(start_of("a", 1, false), position(2, 5));
    assert!(started_later.get("a").unwrap().draining);
}

#[test]
fn a_full_copy_names_the_endpoints_that_left_before_the_return() {
    let mut knows = Discovery::default();
    knows.upsert(start_of("a", 1, false), at(5));
    knows.mark_removed(SECOND, "a", at(9));
    knows.advance_to(position(2, 7));
    let mut started_later = Discovery::default();
    started_later.upsert(start_of("a", 1, false), position(2, 5));
    let delta = knows.delta_since(SECOND, StorePosition::START);
    let changes = started_later.apply_delta(SECOND, delta);
    assert_eq!(changes, vec![("a".into(), Change::Gone)]);
    let shown_again = started_later.upsert(start_of("a", 1, false), position(3, 5));
    assert_eq!(shown_again, None);
    let next_start = started_later.upsert(start_of("a", 2, false), position(3, 8));
    assert_eq!(next_start, Some(Change::Appeared));
}

#[test]
fn an_entry_that_the_copy_lacks_is_kept_until_its_endpoint_had_time_to_write_it() {
    let mut set = Discovery::default();
    set.upsert(start_of("a", 1, false), at(9));
    set.store_returned_from_copy(SECOND);
    let changes = set.retain_listed(SECOND, position(2, 5), |_| false);
    assert_eq!(changes, vec![("a".into(), Change::Lapsed)]);
    let written = set.upsert(start_of("a", 1, false), position(2, 6));
    assert_eq!(written, Some(Change::Updated));
    assert!(set.expire(SETTLED).is_empty());
}

#[test]
fn a_grace_period_is_not_prolonged_by_instances_that_pass_it_on() {
    let mut sets = [
        Discovery::default(),
        Discovery::default(),
        Discovery::default(),
    ];
    for set in &mut sets {
        set.upsert(start_of("a", 1, false), at(1));
    }
    sets[0].store_was_unreachable(SECOND);
    sets[0].mark_removed(SECOND, "a", at(2));
    sets[0].advance_to(at(2));
    for (giver, now_us) in [(0, 2 * SECOND), (1, 2 * SECOND + SECOND / 2)] {
        let delta = sets[giver].delta_since(now_us, at(1));
        sets[giver + 1].apply_delta(now_us, delta);
    }
    for mut set in sets {
        assert!(set.get("a").is_some());
        assert_eq!(set.expire(3 * SECOND), vec!["a".into()]);
    }
}

/// An entry lapses at an instance, and another one learns the endpoint from a copy before the entry is missing again.
#[test]
fn endpoint_that_is_missing_again_does_not_stay_at_an_instance_that_learned_it_meanwhile() {
    let mut lapsed = Discovery::default();
    lapsed.upsert(start_of("a", 1, false), at(3));
    lapsed.store_returned_from_copy(SECOND);
    lapsed.mark_removed(SECOND, "a", position(2, 5));
    let mut learned = Discovery::default();
    learned.upsert(start_of("a", 1, false), position(3, 3));
    learned.advance_to(position(3, 3));
    lapsed.mark_removed(SECOND, "a", position(3, 4));
    lapsed.advance_to(position(3, 4));
    let delta = lapsed.delta_since(SECOND, learned.position());
    learned.apply_delta(SECOND, delta);
    assert_eq!(learned.expire(SECOND + SETTLED), vec!["a".into()]);
}

/// The state of an endpoint in the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Serving,
    Draining,
    Left,
}

/// A store that can come back from a copy.
#[derive(Clone, Debug, Default)]
struct Store {
    era: u64,
    revision: u64,
    entries: BTreeMap<usize, (u64, EndpointEntry)>,
    /// Revision, endpoint, and its entry; none if it was deleted.
    history: Vec<(u64, usize, Option<EndpointEntry>)>,
}

impl Store {
    fn position(&self) -> StorePosition {
        position(self.era, self.revision)
    }

    fn write(&mut self, index: usize, entry: Option<EndpointEntry>) {
        let known = self.entries.get(&index).map(|(_, known)| known);
        if known == entry.as_ref() {
            return;
        }
        self.revision += 1;
        match &entry {
            Some(entry) => self.entries.insert(index, (self.revision, entry.clone())),
            None => self.entries.remove(&index),
        };
        self.history.push((self.revision, index, entry));
    }
}

fn id(index: usize) -> String {
    format!("e{index}")
}

/// An instance: its set, and the endpoint starts that it knows to have drained or left.
#[derive(Debug, Default)]
struct Instance {
    set: Discovery,
    watched: Option<StorePosition>,
    departed: HashSet<(usize, u64)>,
}

impl Instance {
    fn watch(&mut self, now_us: u64, store: &Store) {
        let is_known =
            |from: &StorePosition| from.era() == store.era && from.revision() <= store.revision;
        match self.watched.filter(is_known) {
            Some(from) => self.apply_changes(now_us, store, from),
            None => self.apply_list(now_us, store),
        }
        self.set.advance_to(store.position());
        self.watched = Some(store.position());
    }

    fn apply_changes(&mut self, now_us: u64, store: &Store, from: StorePosition) {
        let unseen = store
            .history
            .iter()
            .filter(|(at, _, _)| *at > from.revision());
        for (revision, index, entry) in unseen {
            let changed_at = position(store.era, *revision);
            match entry {
                Some(entry) => {
                    self.set.upsert(entry.clone(), changed_at);
                }
                None => {
                    let born_ms = self.set.get(&id(*index)).map(|e| e.born_ms);
                    let change = self.set.mark_removed(now_us, &id(*index), changed_at);
                    if let (Some(Change::Gone), Some(born_ms)) = (change, born_ms) {
                        self.departed.insert((*index, born_ms));
                    }
                }
            }
        }
    }

    fn apply_list(&mut self, now_us: u64, store: &Store) {
        let known = self.set.position();
        if known > StorePosition::START && known.era() < store.era {
            self.set.store_returned_from_copy(now_us);
        }
        for (revision, entry) in store.entries.values() {
            self.set
                .upsert(entry.clone(), position(store.era, *revision));
        }
        let listed: HashSet<String> = store.entries.keys().map(|index| id(*index)).collect();
        self.set
            .retain_listed(now_us, store.position(), |id| listed.contains(id));
    }

    /// Records the endpoints known to drain; returns one that is used although it departed.
    fn check(&mut self) -> Option<(usize, u64)> {
        for index in 0..ENDPOINTS {
            let Some(entry) = self.set.get(&id(index)) else {
                continue;
            };
            let start = (index, entry.born_ms);
            if entry.draining {
                self.departed.insert(start);
            } else if self.departed.contains(&start) {
                return Some(start);
            }
        }
        None
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// An endpoint drains, then leaves, then starts again.
    Advance(usize),
    /// An endpoint writes its state, as it does repeatedly.
    Write(usize),
    Copy,
    /// The store comes back from its copy.
    Return,
    /// One of two instances gets the changes, or a list if its position is not known to the store.
    Watch(usize),
    ApplyDelta(usize, usize),
    /// An instance restarts with no state.
    Restart(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let endpoint = 0..ENDPOINTS;
    let one = prop_oneof![
        4 => endpoint.clone().prop_map(Step::Advance),
        3 => endpoint.prop_map(Step::Write),
        1 => Just(Step::Copy),
        1 => Just(Step::Return),
        4 => (0_usize..2).prop_map(Step::Watch),
        4 => (0_usize..3, 0_usize..3).prop_map(|(one, other)| Step::ApplyDelta(one, other)),
        1 => (0_usize..3).prop_map(Step::Restart),
    ];
    prop::collection::vec(one, 1..150)
}

#[derive(Debug)]
struct Model {
    store: Store,
    copy: Store,
    endpoints: [(u64, Life); ENDPOINTS],
    instances: [Instance; 3],
    now_us: u64,
}

impl Model {
    fn new() -> Self {
        let store = Store {
            era: 1,
            ..Store::default()
        };
        let mut model = Self {
            copy: store.clone(),
            store,
            endpoints: [(1, Life::Serving); ENDPOINTS],
            instances: Default::default(),
            now_us: SECOND,
        };
        for index in 0..ENDPOINTS {
            model.write(index);
        }
        model
    }

    fn write(&mut self, index: usize) {
        let (born_ms, life) = self.endpoints[index];
        let entry = match life {
            Life::Serving => Some(start_of(&id(index), born_ms, false)),
            Life::Draining => Some(start_of(&id(index), born_ms, true)),
            Life::Left => None,
        };
        self.store.write(index, entry);
    }

    fn apply(&mut self, step: Step) {
        self.now_us += SECOND / 5;
        match step {
            Step::Advance(index) => {
                let (born_ms, life) = self.endpoints[index];
                self.endpoints[index] = match life {
                    Life::Serving => (born_ms, Life::Draining),
                    Life::Draining => (born_ms, Life::Left),
                    Life::Left => (born_ms + 1, Life::Serving),
                };
                self.write(index);
            }
            Step::Write(index) => self.write(index),
            Step::Copy => self.copy = self.store.clone(),
            Step::Return => {
                let era = self.store.era + 1;
                self.store = Store {
                    era,
                    ..self.copy.clone()
                };
            }
            Step::Watch(one) => self.instances[one].watch(self.now_us, &self.store),
            Step::ApplyDelta(one, other) => self.apply_delta(one, other),
            Step::Restart(one) => self.instances[one] = Instance::default(),
        }
        for instance in &mut self.instances {
            instance.set.expire(self.now_us);
        }
    }

    fn apply_delta(&mut self, one: usize, other: usize) {
        let since = self.instances[one].set.position();
        let delta = self.instances[other].set.delta_since(self.now_us, since);
        self.instances[one].set.apply_delta(self.now_us, delta);
    }

    /// Lets all endpoints write their state, and all instances learn it.
    fn settle(&mut self) {
        for index in 0..ENDPOINTS {
            self.write(index);
        }
        for one in 0..2 {
            self.instances[one].watch(self.now_us, &self.store);
        }
        self.apply_delta(2, 0);
        self.now_us += SETTLED;
        for instance in &mut self.instances {
            instance.set.expire(self.now_us);
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]
    /// No instance uses a start again that it knew to have drained or left, and once no more faults occur all sets
    /// agree with the store on the endpoints to use.
    #[test]
    fn sets_agree_with_the_store_and_departures_hold_over_random_returns(steps in steps()) {
        let mut model = Model::new();
        for step in steps {
            model.apply(step);
            for instance in &mut model.instances {
                prop_assert_eq!(instance.check(), None);
            }
        }
        model.settle();
        for instance in &model.instances {
            for index in 0..ENDPOINTS {
                let known = instance.set.get(&id(index)).map(|e| &**e);
                let stored = model.store.entries.get(&index).map(|(_, entry)| entry);
                let in_use = |entry: &&EndpointEntry| !entry.draining;
                prop_assert_eq!(known.filter(in_use), stored.filter(in_use), "{}", id(index));
            }
        }
    }
}
