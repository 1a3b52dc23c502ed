//! Tests of the membership protocol over a simulated network that drops, delays, duplicates and reorders datagrams.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    peers::{
        datagram::{Body, Digest, Liveness, MemberInfo, Packet},
        gossip::ViewThrottle,
        membership::{Dropped, Membership, Outgoing, PERIOD_US},
    },
    prelude::{Incarnation, Micros},
};

fn addr(n: usize) -> SocketAddr {
    ([127, 0, (n / 250) as u8, (n % 250) as u8 + 1], 7_003).into()
}

fn info(n: usize) -> MemberInfo {
    MemberInfo {
        name: format!("i{n}").into(),
        incarnation: Incarnation(n as u64 + 1),
        peer_addr: addr(n),
        hall: "h".into(),
        data_centre: "d".into(),
        beat: 1,
        leaving: false,
    }
}

fn member(n: usize, start: u64) -> Membership {
    let info = MemberInfo {
        incarnation: Incarnation(n as u64 + 1 + start * 1_000),
        ..info(n)
    };
    Membership::new(info, vec![addr(0)], n as u64 + start)
}

/// Simulates some instances and the datagrams between them, in virtual time.
struct SimulatedNetwork {
    members: Vec<Option<Membership>>,
    paused: Vec<bool>,
    in_flight: Vec<(Micros, Outgoing)>,
    rng: ChaCha8Rng,
    now_us: Micros,
    loss_rate: f64,
    bytes: u64,
}

impl SimulatedNetwork {
    fn new(count: usize, loss_rate: f64) -> Self {
        Self {
            members: (0..count).map(|n| Some(member(n, 0))).collect(),
            paused: vec![false; count],
            in_flight: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(5),
            now_us: 0,
            loss_rate,
            bytes: 0,
        }
    }

    fn send(&mut self, out: Vec<Outgoing>) {
        for packet in out {
            self.bytes += postcard::to_stdvec(&packet.packet).map_or(0, |b| b.len() as u64);
            if self.rng.random_bool(self.loss_rate) {
                continue;
            }
            let copies = if self.rng.random_bool(self.loss_rate / 2.0) {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let delay_us = self.rng.random_range(200..20_000);
                self.in_flight
                    .push((self.now_us + delay_us, packet.clone()));
            }
        }
    }

    fn run(&mut self, periods: usize) {
        const STEP_US: Micros = 20_000;
        for step in 0..periods as u64 * PERIOD_US / STEP_US {
            self.now_us += STEP_US;
            let (due, not_due) = std::mem::take(&mut self.in_flight)
                .into_iter()
                .partition(|(at_us, _)| *at_us <= self.now_us);
            self.in_flight = not_due;
            for (_, outgoing) in due {
                self.deliver(outgoing);
            }
            for n in 0..self.members.len() {
                if step % (PERIOD_US / STEP_US) == n as u64 % (PERIOD_US / STEP_US) {
                    self.tick(n);
                }
            }
        }
    }

    fn tick(&mut self, n: usize) {
        let mut out = Vec::new();
        if let Some(member) = self.members[n].as_mut().filter(|_| !self.paused[n]) {
            member.tick(self.now_us, &mut out);
        }
        self.send(out);
    }

    fn deliver(&mut self, outgoing: Outgoing) {
        let to = (0..self.members.len()).find(|n| addr(*n) == outgoing.to);
        let mut out = Vec::new();
        if let Some(n) = to.filter(|n| !self.paused[*n])
            && let Some(member) = &mut self.members[n]
        {
            let _ = member.receive(self.now_us, outgoing.packet, &mut out);
        }
        self.send(out);
    }

    fn alive(&self, n: usize) -> usize {
        let view = self.members[n].as_ref().unwrap().view();
        view.members
            .iter()
            .filter(|m| m.liveness == Liveness::Alive)
            .count()
    }
}

#[test]
fn all_members_are_discovered_despite_lost_duplicated_and_reordered_datagrams() {
    let mut net = SimulatedNetwork::new(7, 0.1);
    net.run(60);
    let views: Vec<usize> = (0..7).map(|n| net.alive(n)).collect();
    assert_eq!(views, [7; 7]);
}

#[test]
fn dead_member_is_detected_and_replaced_by_its_restart() {
    let mut net = SimulatedNetwork::new(7, 0.02);
    net.run(30);
    net.members[3] = None;
    net.run(15);
    for n in [0, 1, 2, 4, 5, 6] {
        let view = net.members[n].as_ref().unwrap().view();
        assert!(
            view.present().all(|m| m.info.incarnation != Incarnation(4)),
            "seen by {n}"
        );
    }
    net.members[3] = Some(member(3, 1));
    net.run(30);
    assert_eq!((0..7).map(|n| net.alive(n)).collect::<Vec<_>>(), [7; 7]);
}

#[test]
fn paused_member_detects_the_pause_and_rejoins() {
    let mut net = SimulatedNetwork::new(5, 0.0);
    net.run(20);
    net.paused[2] = true;
    net.run(15);
    assert_eq!(net.alive(0), 4);
    net.paused[2] = false;
    let mut out = Vec::new();
    assert!(
        net.members[2]
            .as_mut()
            .unwrap()
            .tick(net.now_us + 1, &mut out),
        "pause not noticed"
    );
    net.send(out);
    net.run(40);
    assert_eq!((0..5).map(|n| net.alive(n)).collect::<Vec<_>>(), [5; 5]);
}

#[test]
fn replayed_datagram_changes_nothing_and_admits_nobody() {
    let (mut a, mut b) = (member(0, 0), member(1, 0));
    let mut out = Vec::new();
    b.tick(1_000_000, &mut out);
    let ping = out.remove(0).packet;
    let mut responses = Vec::new();
    a.receive(2, ping.clone(), &mut responses).unwrap();
    let view = a.view();
    assert_eq!(
        view.members.len(),
        1,
        "admitted without having responded to a nonce"
    );
    assert_eq!(a.receive(3, ping, &mut responses), Err(Dropped::Replayed));
    assert_eq!(a.view(), view);
}

#[test]
fn hundred_members_send_less_than_ten_kilobytes_a_second_each() {
    let mut net = SimulatedNetwork::new(100, 0.01);
    net.run(100);
    // Lost datagrams occasionally make a member suspect; it refutes that, so none is declared dead.
    let present = |n: usize| net.members[n].as_ref().unwrap().view().present().count();
    let least = (0..100).map(present).min();
    assert_eq!(least, Some(100));
    let before = net.bytes;
    net.run(25);
    let bytes_per_s = (net.bytes - before) / 100 / 5;
    assert!(bytes_per_s < 10_000, "{bytes_per_s} bytes a second");
}

/// Returns the number of periods after which each of `count` members that start together knows nine in ten of the others
/// on average.
fn periods_until_discovered(count: usize) -> usize {
    let mut net = SimulatedNetwork::new(count, 0.01);
    for period in 1..100 {
        net.run(1);
        let known = net.members.iter().flatten();
        let known: usize = known.map(|m| m.view().others().count()).sum();
        if known * 10 >= count * (count - 1) * 9 {
            return period;
        }
    }
    100
}

#[test]
fn hundreds_that_start_together_discover_each_other_within_two_seconds() {
    let periods = periods_until_discovered(250);
    assert!(periods <= 10, "{periods} periods of 200 ms");
}

/// Returns the bytes sent in the first 40 periods of `count` members that start together, per ordered pair of members.
/// By then nearly all know each other.
fn discovery_bytes_per_pair(count: usize) -> u64 {
    let mut net = SimulatedNetwork::new(count, 0.01);
    net.run(40);
    let alive: usize = (0..count).map(|n| net.alive(n)).sum();
    assert!(
        alive * 100 >= count * count * 99,
        "nearly all know each other"
    );
    net.bytes / (count * count) as u64
}

/// Guards against repeated rumours about the same members while a cluster starts: the traffic per pair has to fall as the
/// cluster grows, since each pair exchanges fewer probes and rumours.
#[test]
fn discovery_traffic_per_pair_falls_as_the_cluster_grows() {
    let (few, many) = (discovery_bytes_per_pair(60), discovery_bytes_per_pair(240));
    println!("{few} bytes a pair of 60, {many} of 240");
    assert!(many < 450, "{many} bytes a pair of 240");
    assert!(many < few, "{many} bytes a pair of 240, {few} of 60");
}

/// Returns a member of a cluster of `count` that has admitted all others and has their addresses on its list.
fn member_that_knows_all(count: usize) -> Membership {
    let mut member = member(0, 0);
    let mut now_us = 0;
    let infos: Vec<MemberInfo> = (1..count).map(info).collect();
    let listed: Vec<SocketAddr> = infos.iter().map(|info| info.peer_addr).collect();
    let by_addr: HashMap<SocketAddr, MemberInfo> =
        listed.iter().copied().zip(infos.clone()).collect();
    member.set_listed(listed);
    for period in 1..=count as u64 {
        if member.view().members.len() == count {
            break;
        }
        now_us += 2 * PERIOD_US;
        let mut out = Vec::new();
        member.tick(now_us, &mut out);
        for outgoing in out {
            let Body::Ping(nonce) = outgoing.packet.body else {
                continue;
            };
            let packet = Packet {
                from: by_addr[&outgoing.to].clone(),
                seq: period,
                body: Body::Ack(nonce),
                digest: Digest::default(),
                rumours: Vec::new(),
            };
            let _ = member.receive(now_us, packet, &mut Vec::new());
        }
    }
    assert_eq!(member.view().members.len(), count, "not all were admitted");
    member
}

/// Returns the shortest time of 20 runs to build a view.
fn shortest_view_time(member: &Membership) -> Duration {
    let durations = (0..20).map(|_| {
        let started = Instant::now();
        let view = member.view();
        let duration = started.elapsed();
        assert!(view.unmet.is_empty());
        duration
    });
    durations.min().unwrap_or_default()
}

/// Guards against quadratic time for a view: eight times as many members take about eight times as long, not sixty-four.
#[test]
fn view_takes_linear_time() {
    let (small, large) = (
        shortest_view_time(&member_that_knows_all(250)),
        shortest_view_time(&member_that_knows_all(2_000)),
    );
    let factor = large.as_secs_f64() / small.as_secs_f64();
    assert!(
        factor < 24.0,
        "{factor:.0} times as long for eight times as many members"
    );
}

/// Guards against publishing a view for each datagram while many instances discover each other.
#[test]
fn changes_in_quick_succession_share_a_view() {
    let views_published = |changes: u64| {
        let mut throttle = ViewThrottle::default();
        let mut views_published = 0;
        for change in 0..changes {
            throttle.note_change();
            views_published += u64::from(throttle.take_due(change * 1_000_000 / changes));
        }
        views_published + u64::from(throttle.take_due(2_000_000))
    };
    assert_eq!(
        views_published(1),
        1,
        "a single change is published immediately"
    );
    assert!(views_published(100) <= 26, "{}", views_published(100));
    assert_eq!(
        views_published(100),
        views_published(1_600),
        "independent of the number of changes"
    );
}
