//! Grants from an organisation's limit on one instance, and the start and end of leases between instances.

use ryevalve::{
    gateway::config::{UsageLimit, UsageUnit},
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
/// Time by which a single instance has leased its share to itself and its accounts are full.
const WARMED_UP_US: u64 = 20 * SECOND;

/// Returns a group of one instance with the limit `rate` and `burst`, whose accounts are full.
fn single_instance(rate: f64, burst: f64) -> Node {
    let mut node = Node::new(0, Incarnation(1), TOLERANCE);
    node.join(Incarnation(1), 1);
    node.mark_first_start();
    node.set_members(0, &[Incarnation(1)]);
    node.configure(0, &config(1, vec![], vec![limited("org", rate, burst)]));
    tick_until(&mut node, 0, WARMED_UP_US);
    node
}

fn tick_until(node: &mut Node, from_us: u64, until_us: u64) {
    for now_us in (from_us..=until_us).step_by(100 * MS as usize) {
        node.tick(now_us);
    }
}

fn acquire(node: &mut Node, now_us: u64, tokens: u32, rank: u8) -> Result<Option<Grant>, u64> {
    node.tick(now_us);
    match node.acquire(now_us, "org", tokens, rank) {
        Acquisition::Unlimited => Ok(None),
        Acquisition::Decided(Decision::Granted(grant)) => Ok(Some(grant)),
        Acquisition::Decided(Decision::Denied(denied)) => Err(denied.wait_us),
        Acquisition::Pending(number) => panic!("single instance queried another one: {number}"),
    }
}

/// Requests quota until none is left, every 10 ms for `seconds`; returns the times and units of the grants.
fn drain(node: &mut Node, from_us: u64, seconds: u64, tokens: u32) -> Vec<(u64, f64)> {
    let mut granted = Vec::new();
    for step in 0..seconds * 100 {
        let now_us = from_us + step * 10 * MS;
        while acquire(node, now_us, tokens, 0).is_ok() {
            granted.push((now_us, f64::from(tokens)));
        }
    }
    granted
}

fn peak_in_window(granted: &[(u64, f64)]) -> f64 {
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
fn single_instance_grants_limit_within_tolerance() {
    let granted = drain(&mut single_instance(RATE, BURST), WARMED_UP_US, 20, 500);
    let peak = peak_in_window(&granted);
    assert!(peak <= ALLOWED, "{peak} of {ALLOWED}");
    assert!(
        peak >= RATE * 8.0 + BURST,
        "{peak} is below the limit itself"
    );
}

#[test]
fn organisation_without_limit_is_never_denied() {
    let mut node = single_instance(RATE, BURST);
    let organisations = vec![organisation("org", &[])];
    node.configure(WARMED_UP_US, &config(2, vec![], organisations));
    for _ in 0..10_000 {
        assert_eq!(acquire(&mut node, WARMED_UP_US, 50_000, 2), Ok(None));
    }
}

#[test]
fn long_requests_are_not_starved_by_short_ones() {
    let mut node = single_instance(RATE, BURST);
    drain(&mut node, WARMED_UP_US, 3, 100);
    let (mut long, mut short) = (0, 0);
    for step in 0..1_000 {
        let now_us = WARMED_UP_US + 3 * SECOND + step * 10 * MS;
        long += u32::from(acquire(&mut node, now_us, 2_000, 0).is_ok());
        short += u32::from(acquire(&mut node, now_us, 100, 0).is_ok());
    }
    assert!(long >= 5, "{long} long requests beside {short} short ones");
}

#[test]
fn lower_ranks_leave_a_reserve_for_more_urgent_requests() {
    let mut node = single_instance(RATE, BURST);
    let mut acquire_all = |rank| {
        let acquired = (0..).take_while(|_| acquire(&mut node, WARMED_UP_US, 100, rank).is_ok());
        acquired.count()
    };
    assert!(acquire_all(2) > 0);
    assert!(acquire_all(1) > 0);
    assert!(acquire_all(0) > 0);
}

#[test]
fn request_is_granted_after_the_wait_of_its_denial() {
    let mut node = single_instance(RATE, BURST);
    while acquire(&mut node, WARMED_UP_US, 500, 0).is_ok() {}
    let wait_us = acquire(&mut node, WARMED_UP_US, 500, 0).unwrap_err();
    assert!(acquire(&mut node, WARMED_UP_US + wait_us, 500, 0).is_ok());
}

#[test]
fn denied_large_request_does_not_block_small_ones() {
    let mut node = single_instance(RATE, BURST);
    assert!(acquire(&mut node, WARMED_UP_US, 12_000, 0).is_err());
    assert!(acquire(&mut node, WARMED_UP_US, 50, 0).is_ok());
}

#[test]
fn refunded_quota_can_be_granted_again() {
    let mut node = single_instance(RATE, BURST);
    let grant = acquire(&mut node, WARMED_UP_US, 3_000, 0).unwrap().unwrap();
    while acquire(&mut node, WARMED_UP_US, 100, 0).is_ok() {}
    node.refund(grant);
    let later_us = WARMED_UP_US + 500 * MS;
    assert!(acquire(&mut node, later_us, 2_500, 0).is_ok());
}

/// Guards against grants that come back late and unused piling up, to be used all at once when they come back sooner.
#[test]
fn late_refunds_do_not_raise_what_is_outstanding() {
    const HELD_S: f64 = 3.0;
    let allowed = ALLOWED - RATE * (8.0 - HELD_S);
    let mut node = single_instance(RATE, BURST);
    let mut outstanding: Vec<(u64, Grant)> = Vec::new();
    for step in 0..3_000 {
        let now_us = WARMED_UP_US + step * 10 * MS;
        let held_us = (HELD_S * 1e6) as u64;
        for (_, grant) in outstanding.extract_if(.., |(at_us, _)| now_us - *at_us >= held_us) {
            node.refund(grant);
        }
        while let Ok(Some(grant)) = acquire(&mut node, now_us, 500, 0) {
            outstanding.push((now_us, grant));
        }
        let units: u32 = outstanding.iter().map(|(_, grant)| grant.units).sum();
        assert!(
            f64::from(units) <= allowed,
            "{units} of {allowed} at step {step}"
        );
    }
}

#[test]
fn limit_changes_grant_nothing_and_lower_limits_apply_at_once() {
    let mut node = single_instance(RATE, BURST);
    while acquire(&mut node, WARMED_UP_US, 100, 0).is_ok() {}
    let mut granted = Vec::new();
    for (version, times) in (2..).zip([0.1, 1.0, 0.1, 1.0, 3.0, 0.2]) {
        let org = limited("org", RATE * times, BURST * times);
        node.configure(WARMED_UP_US, &config(version, vec![], vec![org]));
        granted.extend(
            drain(&mut node, WARMED_UP_US, 1, 5_000)
                .iter()
                .filter(|(at, _)| *at == WARMED_UP_US),
        );
    }
    assert_eq!(sum(&granted), 0.0, "a change of the limit added quota");
    let granted = drain(&mut node, WARMED_UP_US + SECOND, 20, 100);
    let allowed = (RATE * 1.6 + BURST * 0.2) * 1.1 + 20_000.0;
    assert!(peak_in_window(&granted) <= allowed);
}

#[test]
fn restored_limit_starts_with_empty_accounts() {
    let mut node = single_instance(RATE, BURST);
    node.configure(WARMED_UP_US, &config(2, vec![], vec![]));
    let org = limited("org", RATE, BURST);
    node.configure(WARMED_UP_US, &config(3, vec![], vec![org]));
    assert!(acquire(&mut node, WARMED_UP_US, 500, 0).is_err());
}

#[test]
fn bounds_keep_a_window_within_its_allowance() {
    for rate_per_s in [1.0, 2_000.0, 36_000.0, 1_300_000.0] {
        for burst in [0.0, rate_per_s, 10.0 * rate_per_s] {
            let limit = UsageLimit {
                unit: UsageUnit::Requests,
                rate_per_s,
                burst,
            };
            let bounds = Bounds::new(&limit, &TOLERANCE);
            let late = rate_per_s * bounds.max_grant_age_us as f64 / 1e6;
            let peak = rate_per_s * 8.0 + bounds.depth + bounds.debt + late;
            let allowed = (rate_per_s * 8.0 + burst) * 1.1 + 20_000.0;
            assert!(
                peak <= allowed,
                "{peak} of {allowed} at {rate_per_s} and {burst}"
            );
        }
    }
}

/// Two instances that know each other and lease out their shares.
struct Pair {
    nodes: [Node; 2],
    now_us: u64,
}

const INCARNATIONS: [Incarnation; 2] = [Incarnation(11), Incarnation(22)];

impl Pair {
    fn start() -> Self {
        let nodes = [0, 1].map(|index| {
            let mut node = Node::new(0, INCARNATIONS[index], TOLERANCE);
            node.join(INCARNATIONS[index], index as u32);
            node.mark_first_start();
            node.set_members(0, &INCARNATIONS);
            node.set_instances(2);
            node.add_addresses([0, 1]);
            node.configure(0, &config(1, vec![], vec![limited("org", RATE, BURST)]));
            node
        });
        let mut pair = Self { nodes, now_us: 0 };
        pair.exchange_for(10 * SECOND);
        pair
    }

    /// Advances the time, delivering every message at once.
    fn exchange_for(&mut self, for_us: u64) {
        let until_us = self.now_us + for_us;
        while self.now_us < until_us {
            self.now_us += 50 * MS;
            for index in 0..2 {
                self.nodes[index].tick(self.now_us);
            }
            while self.deliver() {}
        }
    }

    fn deliver(&mut self) -> bool {
        let mut any = false;
        for (from, incarnation) in INCARNATIONS.iter().enumerate() {
            for Outgoing { to, message } in self.nodes[from].take_outgoing() {
                let to = match to {
                    Recipient::Incarnation(incarnation) => {
                        INCARNATIONS.iter().position(|s| *s == incarnation)
                    }
                    Recipient::Address(address) => Some(address as usize),
                };
                if let Some(to) = to {
                    self.nodes[to].receive(self.now_us, *incarnation, from as u32, message);
                    any = true;
                }
            }
        }
        any
    }

    /// Drains an instance's accounts and returns their states.
    fn states(&mut self, index: usize) -> Vec<AccountState> {
        drain_accounts(&mut self.nodes[index], INCARNATIONS[index], self.now_us)
    }
}

/// Drains the accounts of a server through queries of an instance that leases it nothing; returns their states.
fn drain_accounts(server: &mut Node, incarnation: Incarnation, now_us: u64) -> Vec<AccountState> {
    for number in 1..100 {
        let query = Message::Ask {
            lease: lease(incarnation, 99, (now_us + number, 0, 0)),
            number,
            organisation: short_hash("org"),
            copy: (number % u64::from(COPIES)) as u8,
            units: 900,
            rank: 0,
        };
        server.receive(now_us, Incarnation(99), 99, query);
    }
    server.take_outgoing();
    server.take_states(now_us, 16)
}

/// Returns a lease of all partitions by the instance at an address, with a sequence number, timestamp and duration.
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
fn each_share_of_a_limit_is_leased_exactly_once() {
    let mut pair = Pair::start();
    let mut shares = [0.0; COPIES as usize];
    for state in [0, 1].into_iter().flat_map(|index| pair.states(index)) {
        shares[usize::from(state.copy)] += state.share;
    }
    assert_eq!(shares, [1.0; COPIES as usize]);
}

#[test]
fn lease_runs_from_the_echoed_server_timestamp_not_from_arrival() {
    let mut server = single_instance(RATE, BURST);
    let lessors = |server: &mut Node, now_us| {
        let states = drain_accounts(server, Incarnation(1), now_us);
        states.iter().map(|s| s.lessors).max().unwrap_or(0)
    };
    let late_us = WARMED_UP_US + 5 * SECOND;
    tick_until(&mut server, WARMED_UP_US, late_us);
    let late = lease(Incarnation(1), 7, (1, WARMED_UP_US, SECOND));
    server.receive(late_us, Incarnation(7), 7, Message::Lease(late));
    assert_eq!(
        lessors(&mut server, late_us),
        1,
        "the lease arrived after its expiry"
    );
    let in_time = lease(Incarnation(1), 7, (2, late_us - 100 * MS, SECOND));
    server.receive(late_us, Incarnation(7), 7, Message::Lease(in_time));
    assert_eq!(lessors(&mut server, late_us), 2);
    tick_until(&mut server, late_us, late_us + SECOND);
    assert_eq!(
        lessors(&mut server, late_us + SECOND),
        1,
        "the lease has expired"
    );
}

#[test]
fn leases_of_an_incarnation_end_when_its_successor_starts() {
    let mut pair = Pair::start();
    let lessors = |pair: &mut Pair| pair.states(0).iter().map(|s| s.lessors).max();
    assert_eq!(lessors(&mut pair), Some(2));
    let started = Message::Started { address: 1 };
    pair.nodes[0].receive(pair.now_us, Incarnation(33), 1, started);
    let answer = pair.nodes[0].take_outgoing();
    let is_ack = |o: &Outgoing| {
        matches!(
            o.message,
            Message::StartAck {
                saw_predecessor: true,
                ..
            }
        )
    };
    assert!(answer.iter().any(is_ack), "{answer:?}");
    assert_eq!(lessors(&mut pair), Some(1));
    // A late message of the earlier incarnation is ignored.
    let late = lease(INCARNATIONS[0], 1, (1_000_000, pair.now_us, SECOND));
    pair.nodes[0].receive(pair.now_us, INCARNATIONS[1], 1, Message::Lease(late));
    assert_eq!(lessors(&mut pair), Some(1));
}

/// Guards against a share that stays unusable until its lease to a killed process would have expired.
#[test]
fn shares_leased_to_an_ended_server_are_leased_again_at_once() {
    let mut pair = Pair::start();
    let started = Message::Started { address: 1 };
    pair.nodes[0].receive(pair.now_us, Incarnation(33), 1, started);
    let states = pair.states(0);
    let share: f64 = states.iter().map(|s| s.share).sum();
    assert_eq!(share, 0.5 * f64::from(COPIES), "{states:?}");
}

/// Returns the number of start announcements that a process sends in its first seconds, in a group of `count` instances
/// of which none answers.
fn announcements(count: u32, is_first_start: bool) -> usize {
    let me = Incarnation(1);
    let mut node = Node::new(0, me, TOLERANCE);
    node.join(me, 0);
    match is_first_start {
        true => node.mark_first_start(),
        false => node.restore_instance_count(0, count),
    }
    node.add_addresses(0..count);
    node.set_instances(count as usize);
    let mut sent_count = 0;
    for now_us in (0..5 * SECOND).step_by(40 * MS as usize) {
        node.tick(now_us);
        let outgoing = node.take_outgoing().into_iter();
        sent_count += outgoing
            .filter(|o| matches!(o.message, Message::Started { .. }))
            .count();
    }
    sent_count
}

/// Guards against a burst of announcements when hundreds of instances start for the first time, although no leases of
/// theirs exist that would have to end.
#[test]
fn first_start_announces_nothing_and_later_starts_retry_a_few_times() {
    for count in [16, 64, 256, 1_024] {
        assert_eq!(announcements(count, true), 0);
        let sent_count = announcements(count, false);
        let per_instance = sent_count as f64 / f64::from(count - 1);
        assert!(
            (1.0..=8.0).contains(&per_instance),
            "{per_instance} announcements per instance of {count}"
        );
    }
}

/// Guards against a limit that stays unleased when processes start some time apart and learn of each other only by the
/// next announcement, whose interval doubles. A process that receives an announcement announces its own start at once.
#[test]
fn waiting_process_is_acknowledged_as_soon_as_its_peer_starts() {
    let start_node = |now_us: u64, me: u64, address: u32| {
        let mut node = Node::new(now_us, Incarnation(me), TOLERANCE);
        node.join(Incarnation(me), address);
        node.restore_instance_count(now_us, 2);
        node.add_addresses(0..2);
        node.set_instances(2);
        node
    };
    let mut first = start_node(0, 11, 0);
    for now_us in (0..2 * SECOND).step_by(40 * MS as usize) {
        first.tick(now_us);
        first.take_outgoing();
    }
    assert!(!first.is_leasing());
    let mut second = start_node(2 * SECOND, 12, 1);
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

/// Tasks may read the clock in one order and lock the node in the other, so times can arrive out of order.
#[test]
fn out_of_order_times_do_not_break_the_node() {
    let mut node = single_instance(RATE, BURST);
    let (earlier_us, later_us) = (WARMED_UP_US + SECOND, WARMED_UP_US + 2 * SECOND);
    node.restore_instance_count(later_us, 3);
    node.tick(earlier_us);
    let count = InstanceCount {
        instances: 5,
        age_ms: 0,
    };
    let ack = Message::StartAck {
        uptime_us: 0,
        saw_predecessor: false,
        count,
    };
    node.receive(later_us + SECOND, Incarnation(2), 2, ack);
    node.tick(earlier_us);
    assert_eq!(node.divisor(earlier_us), 5);
}
