//! What one instance grants of an organisation's limit, and how leases between instances begin and end.

use ryevalve::{
    gateway::config::{UseLimit, UseUnit},
    limits::quota::{
        AccountState, Acquisition, Bounds, COPIES, Decision, Grant, InstanceCount, Lease, Message,
        Node, Outgoing, Partition, PartitionSet, Recipient, Tolerance,
    },
    prelude::{Incarnation, short_hash},
};

use crate::support::{MS, SECOND, config, limited, organisation};

const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    overage: 0.1,
    slack: 20_000.0,
};
const RATE: f64 = 10_000.0;
const BURST: f64 = 10_000.0;
const ALLOWED: f64 = (RATE * 8.0 + BURST) * 1.1 + 20_000.0;
/// An instance alone has leased its share to itself, and its accounts are full, by then.
const FULL_US: u64 = 20 * SECOND;

/// An instance alone that was configured at its start.
fn alone(rate: f64, burst: f64) -> Node {
    let mut node = Node::new(0, Incarnation(1), TOLERANCE);
    node.join(Incarnation(1), 1);
    node.mark_first_start();
    node.set_members(0, &[Incarnation(1)]);
    node.configure(0, &config(1, vec![], vec![limited("org", rate, burst)]));
    run(&mut node, 0, FULL_US);
    node
}

fn run(node: &mut Node, from_us: u64, until_us: u64) {
    for now_us in (from_us..=until_us).step_by(100 * MS as usize) {
        node.tick(now_us);
    }
}

fn ask(node: &mut Node, now_us: u64, tokens: u32, rank: u8) -> Result<Option<Grant>, u64> {
    node.tick(now_us);
    match node.acquire(now_us, "org", tokens, rank) {
        Acquisition::Unlimited => Ok(None),
        Acquisition::Decided(Decision::Granted(grant)) => Ok(Some(grant)),
        Acquisition::Decided(Decision::Denied(denied)) => Err(denied.wait_us),
        Acquisition::Pending(number) => panic!("alone, and others were asked: {number}"),
    }
}

/// Asks for as much as there is, over `seconds`; returns what was granted each time.
fn drain(node: &mut Node, from_us: u64, seconds: u64, tokens: u32) -> Vec<(u64, f64)> {
    let mut granted = Vec::new();
    for step in 0..seconds * 100 {
        let now_us = from_us + step * 10 * MS;
        while ask(node, now_us, tokens, 0).is_ok() {
            granted.push((now_us, f64::from(tokens)));
        }
    }
    granted
}

fn most_in_window(granted: &[(u64, f64)]) -> f64 {
    let window = |from: u64| {
        let inside = granted
            .iter()
            .filter(|(at, _)| (from..from + 8 * SECOND).contains(at));
        inside.map(|(_, tokens)| tokens).sum::<f64>()
    };
    granted
        .iter()
        .map(|(at, _)| window(*at))
        .fold(0.0, f64::max)
}

fn sum(granted: &[(u64, f64)]) -> f64 {
    granted.iter().map(|(_, tokens)| tokens).sum()
}

#[test]
fn one_instance_grants_the_limit_and_no_more_than_is_allowed() {
    let granted = drain(&mut alone(RATE, BURST), FULL_US, 20, 500);
    let most = most_in_window(&granted);
    assert!(most <= ALLOWED, "{most} of {ALLOWED}");
    assert!(
        most >= RATE * 8.0 + BURST,
        "{most} is below the limit itself"
    );
}

#[test]
fn an_organisation_without_a_limit_is_never_refused() {
    let mut node = alone(RATE, BURST);
    let organisations = vec![organisation("org", &[])];
    node.configure(FULL_US, &config(2, vec![], organisations));
    for _ in 0..10_000 {
        assert_eq!(ask(&mut node, FULL_US, 50_000, 2), Ok(None));
    }
}

#[test]
fn a_long_request_finds_room_beside_short_ones() {
    let mut node = alone(RATE, BURST);
    drain(&mut node, FULL_US, 3, 100);
    let (mut long, mut short) = (0, 0);
    for step in 0..1_000 {
        let now_us = FULL_US + 3 * SECOND + step * 10 * MS;
        long += u32::from(ask(&mut node, now_us, 2_000, 0).is_ok());
        short += u32::from(ask(&mut node, now_us, 100, 0).is_ok());
    }
    assert!(long >= 5, "{long} long requests beside {short} short ones");
}

#[test]
fn the_last_of_a_limit_is_for_the_most_urgent() {
    let mut node = alone(RATE, BURST);
    let mut take_all = |rank| {
        let taken = (0..).take_while(|_| ask(&mut node, FULL_US, 100, rank).is_ok());
        taken.count()
    };
    assert!(take_all(2) > 0);
    assert!(take_all(1) > 0);
    assert!(take_all(0) > 0);
}

#[test]
fn a_refusal_says_when_to_come_back_and_then_there_is_room() {
    let mut node = alone(RATE, BURST);
    while ask(&mut node, FULL_US, 500, 0).is_ok() {}
    let wait_us = ask(&mut node, FULL_US, 500, 0).unwrap_err();
    assert!(ask(&mut node, FULL_US + wait_us, 500, 0).is_ok());
}

#[test]
fn a_large_request_that_is_denied_does_not_keep_small_ones_out() {
    let mut node = alone(RATE, BURST);
    assert!(ask(&mut node, FULL_US, 12_000, 0).is_err());
    assert!(ask(&mut node, FULL_US, 50, 0).is_ok());
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut node = alone(RATE, BURST);
    let grant = ask(&mut node, FULL_US, 3_000, 0).unwrap().unwrap();
    while ask(&mut node, FULL_US, 100, 0).is_ok() {}
    node.refund(grant);
    let later_us = FULL_US + 500 * MS;
    assert!(ask(&mut node, later_us, 2_500, 0).is_ok());
}

#[test]
fn a_lower_limit_binds_at_once_and_a_change_adds_nothing() {
    let mut node = alone(RATE, BURST);
    while ask(&mut node, FULL_US, 100, 0).is_ok() {}
    let mut granted = Vec::new();
    for (version, times) in (2..).zip([0.1, 1.0, 0.1, 1.0, 3.0, 0.2]) {
        let org = limited("org", RATE * times, BURST * times);
        node.configure(FULL_US, &config(version, vec![], vec![org]));
        granted.extend(
            drain(&mut node, FULL_US, 1, 5_000)
                .iter()
                .filter(|(at, _)| *at == FULL_US),
        );
    }
    assert_eq!(sum(&granted), 0.0, "nothing came of the changes themselves");
    let granted = drain(&mut node, FULL_US + SECOND, 20, 100);
    let allowed = (RATE * 1.6 + BURST * 0.2) * 1.1 + 20_000.0;
    assert!(most_in_window(&granted) <= allowed);
}

#[test]
fn a_limit_that_comes_back_starts_empty() {
    let mut node = alone(RATE, BURST);
    node.configure(FULL_US, &config(2, vec![], vec![]));
    let org = limited("org", RATE, BURST);
    node.configure(FULL_US, &config(3, vec![], vec![org]));
    assert!(ask(&mut node, FULL_US, 500, 0).is_err());
}

#[test]
fn what_a_window_may_see_is_within_what_it_allows() {
    for rate_per_s in [1.0, 2_000.0, 36_000.0, 1_300_000.0] {
        for burst in [0.0, rate_per_s, 10.0 * rate_per_s] {
            let limit = UseLimit {
                unit: UseUnit::Requests,
                rate_per_s,
                burst,
            };
            let bounds = Bounds::new(&limit, &TOLERANCE);
            let late = rate_per_s * bounds.max_grant_age_us as f64 / 1e6;
            let most = rate_per_s * 8.0 + bounds.depth + bounds.debt + late;
            let allowed = (rate_per_s * 8.0 + burst) * 1.1 + 20_000.0;
            assert!(
                most <= allowed,
                "{most} of {allowed} at {rate_per_s} and {burst}"
            );
        }
    }
}

/// Two instances that know each other and have begun to lease.
struct Pair {
    nodes: [Node; 2],
    now_us: u64,
}

const STARTS: [Incarnation; 2] = [Incarnation(11), Incarnation(22)];

impl Pair {
    fn start() -> Self {
        let nodes = [0, 1].map(|place| {
            let mut node = Node::new(0, STARTS[place], TOLERANCE);
            node.join(STARTS[place], place as u32);
            node.mark_first_start();
            node.set_members(0, &STARTS);
            node.set_instances(2);
            node.add_addresses([0, 1]);
            node.configure(0, &config(1, vec![], vec![limited("org", RATE, BURST)]));
            node
        });
        let mut pair = Self { nodes, now_us: 0 };
        pair.exchange_for(10 * SECOND);
        pair
    }

    /// Goes on with every message delivered at once.
    fn exchange_for(&mut self, for_us: u64) {
        let until_us = self.now_us + for_us;
        while self.now_us < until_us {
            self.now_us += 50 * MS;
            for place in 0..2 {
                self.nodes[place].tick(self.now_us);
            }
            while self.deliver() {}
        }
    }

    fn deliver(&mut self) -> bool {
        let mut any = false;
        for (from, start) in STARTS.iter().enumerate() {
            for Outgoing { to, message } in self.nodes[from].take_outgoing() {
                let to = match to {
                    Recipient::Incarnation(start) => STARTS.iter().position(|s| *s == start),
                    Recipient::Address(address) => Some(address as usize),
                };
                if let Some(to) = to {
                    self.nodes[to].receive(self.now_us, *start, from as u32, message);
                    any = true;
                }
            }
        }
        any
    }

    /// Returns the states of an instance's accounts, once they are drained.
    fn states(&mut self, place: usize) -> Vec<AccountState> {
        drain_accounts(&mut self.nodes[place], STARTS[place], self.now_us)
    }
}

/// Empties the accounts of a server by questions of an instance that leases it nothing; returns their states.
fn drain_accounts(server: &mut Node, start: Incarnation, now_us: u64) -> Vec<AccountState> {
    for number in 1..100 {
        let ask = Message::Ask {
            lease: lease(start, 99, (now_us + number, 0, 0)),
            number,
            organisation: short_hash("org"),
            copy: (number % u64::from(COPIES)) as u8,
            units: 900,
            rank: 0,
        };
        server.receive(now_us, Incarnation(99), 99, ask);
    }
    server.take_outgoing();
    server.take_states(now_us, 16)
}

/// Returns a lease of all partitions by the instance at an address, with its number, stamp and length.
fn lease(to: Incarnation, address: u32, (seq, stamp_us, lasts_us): (u64, u64, u64)) -> Lease {
    Lease {
        to,
        address,
        seq,
        stamp_us,
        lasts_us,
        partitions: Partition::all().collect(),
        idle: PartitionSet::default(),
        idle_us: 0,
        count: InstanceCount {
            instances: 2,
            age_ms: 0,
        },
    }
}

#[test]
fn all_shares_of_a_limit_are_leased_once() {
    let mut pair = Pair::start();
    let mut shares = [0.0; COPIES as usize];
    for state in [0, 1].into_iter().flat_map(|place| pair.states(place)) {
        shares[usize::from(state.copy)] += state.share;
    }
    assert_eq!(shares, [1.0; COPIES as usize]);
}

#[test]
fn a_lease_runs_from_the_stamp_that_was_sent_back_and_not_from_its_arrival() {
    let mut server = alone(RATE, BURST);
    let lessors = |server: &mut Node, now_us| {
        let states = drain_accounts(server, Incarnation(1), now_us);
        states.iter().map(|s| s.lessors).max().unwrap_or(0)
    };
    let late_us = FULL_US + 5 * SECOND;
    run(&mut server, FULL_US, late_us);
    let late = lease(Incarnation(1), 7, (1, FULL_US, SECOND));
    server.receive(late_us, Incarnation(7), 7, Message::Lease(late));
    assert_eq!(lessors(&mut server, late_us), 1, "it came after its end");
    let in_time = lease(Incarnation(1), 7, (2, late_us - 100 * MS, SECOND));
    server.receive(late_us, Incarnation(7), 7, Message::Lease(in_time));
    assert_eq!(lessors(&mut server, late_us), 2);
    run(&mut server, late_us, late_us + SECOND);
    assert_eq!(lessors(&mut server, late_us + SECOND), 1, "it has ended");
}

#[test]
fn what_a_start_leased_ends_with_its_successor() {
    let mut pair = Pair::start();
    let lessors = |pair: &mut Pair| pair.states(0).iter().map(|s| s.lessors).max();
    assert_eq!(lessors(&mut pair), Some(2));
    let started = Message::Started { address: 1 };
    pair.nodes[0].receive(pair.now_us, Incarnation(33), 1, started);
    let answer = pair.nodes[0].take_outgoing();
    let is_met = |o: &Outgoing| {
        matches!(
            o.message,
            Message::StartAck {
                saw_predecessor: true,
                ..
            }
        )
    };
    assert!(answer.iter().any(is_met), "{answer:?}");
    assert_eq!(lessors(&mut pair), Some(1));
    // What the start before sent comes late, and counts for nothing.
    let late = lease(STARTS[0], 1, (1_000_000, pair.now_us, SECOND));
    pair.nodes[0].receive(pair.now_us, STARTS[1], 1, Message::Lease(late));
    assert_eq!(lessors(&mut pair), Some(1));
}

/// Guards against a share that nobody can use until its lease to a killed process would have ended.
#[test]
fn what_is_leased_to_a_start_is_leased_anew_once_its_successor_is_met() {
    let mut pair = Pair::start();
    let started = Message::Started { address: 1 };
    pair.nodes[0].receive(pair.now_us, Incarnation(33), 1, started);
    let states = pair.states(0);
    let share: f64 = states.iter().map(|s| s.share).sum();
    assert_eq!(share, 0.5 * f64::from(COPIES), "{states:?}");
}

/// Returns how many messages tell of a process's start in its first seconds, in a group of `count` of which nobody answers.
fn introductions(count: u32, is_first_start: bool) -> usize {
    let me = Incarnation(1);
    let mut node = Node::new(0, me, TOLERANCE);
    node.join(me, 0);
    match is_first_start {
        true => node.mark_first_start(),
        false => node.restore_instance_count(0, count),
    }
    node.add_addresses(0..count);
    node.set_instances(count as usize);
    let mut told = 0;
    for now_us in (0..5 * SECOND).step_by(40 * MS as usize) {
        node.tick(now_us);
        let outgoing = node.take_outgoing().into_iter();
        told += outgoing
            .filter(|o| matches!(o.message, Message::Started { .. }))
            .count();
    }
    told
}

/// Guards against a storm of messages when hundreds start for the first time: nobody holds leases of theirs.
#[test]
fn a_first_start_tells_nobody_and_a_later_one_each_a_few_times() {
    for count in [16, 64, 256, 1_024] {
        assert_eq!(introductions(count, true), 0);
        let told = introductions(count, false);
        let each = told as f64 / f64::from(count - 1);
        assert!((1.0..=8.0).contains(&each), "{each} each of {count}");
    }
}

/// Guards against processes that start a while after each other and hear of each other only by the next of their ever
/// rarer messages: until then an organisation's limit is not leased.
#[test]
fn one_that_waits_for_another_is_met_as_soon_as_that_one_starts() {
    let start = |now_us: u64, me: u64, address: u32| {
        let mut node = Node::new(now_us, Incarnation(me), TOLERANCE);
        node.join(Incarnation(me), address);
        node.restore_instance_count(now_us, 2);
        node.add_addresses(0..2);
        node.set_instances(2);
        node
    };
    let mut first = start(0, 11, 0);
    for now_us in (0..2 * SECOND).step_by(40 * MS as usize) {
        first.tick(now_us);
        first.take_outgoing();
    }
    assert!(!first.is_leasing());
    let mut second = start(2 * SECOND, 12, 1);
    second.tick(2 * SECOND);
    for now_us in [2 * SECOND + 2 * MS, 2 * SECOND + 4 * MS] {
        for sent in second.take_outgoing() {
            first.receive(now_us, Incarnation(12), 1, sent.message);
        }
        for sent in first.take_outgoing() {
            second.receive(now_us, Incarnation(11), 0, sent.message);
        }
    }
    assert!(first.is_leasing() && second.is_leasing());
}

/// Tasks that read the clock one after the other may reach the node in the other order.
#[test]
fn a_time_that_comes_late_stops_no_instance() {
    let mut node = alone(RATE, BURST);
    let (earlier_us, later_us) = (FULL_US + SECOND, FULL_US + 2 * SECOND);
    node.restore_instance_count(later_us, 3);
    node.tick(earlier_us);
    let count = InstanceCount {
        instances: 5,
        age_ms: 0,
    };
    let told = Message::StartAck {
        uptime_us: 0,
        saw_predecessor: false,
        count,
    };
    node.receive(later_us + SECOND, Incarnation(2), 2, told);
    node.tick(earlier_us);
    assert_eq!(node.divisor(earlier_us), 5);
}
