//! Membership over a network that drops, delays, duplicates and reorders; and what is forged.

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

/// Some instances and the datagrams between them, in virtual time.
struct Net {
    members: Vec<Option<Membership>>,
    paused: Vec<bool>,
    flying: Vec<(Micros, Outgoing)>,
    rng: ChaCha8Rng,
    now_us: Micros,
    lose: f64,
    bytes: u64,
}

impl Net {
    fn new(count: usize, lose: f64) -> Self {
        Self {
            members: (0..count).map(|n| Some(member(n, 0))).collect(),
            paused: vec![false; count],
            flying: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(5),
            now_us: 0,
            lose,
            bytes: 0,
        }
    }

    fn send(&mut self, out: Vec<Outgoing>) {
        for packet in out {
            self.bytes += postcard::to_stdvec(&packet.packet).map_or(0, |b| b.len() as u64);
            if self.rng.random_bool(self.lose) {
                continue;
            }
            let copies = if self.rng.random_bool(self.lose / 2.0) {
                2
            } else {
                1
            };
            for _ in 0..copies {
                let delay_us = self.rng.random_range(200..20_000);
                self.flying.push((self.now_us + delay_us, packet.clone()));
            }
        }
    }

    fn run(&mut self, periods: usize) {
        const STEP_US: Micros = 20_000;
        for step in 0..periods as u64 * PERIOD_US / STEP_US {
            self.now_us += STEP_US;
            let (due, later) = std::mem::take(&mut self.flying)
                .into_iter()
                .partition(|(at_us, _)| *at_us <= self.now_us);
            self.flying = later;
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
fn all_meet_and_stay_met_though_datagrams_are_lost_doubled_and_reordered() {
    let mut net = Net::new(7, 0.1);
    net.run(60);
    let views: Vec<usize> = (0..7).map(|n| net.alive(n)).collect();
    assert_eq!(views, [7; 7]);
}

#[test]
fn the_dead_are_found_and_a_restart_takes_their_place() {
    let mut net = Net::new(7, 0.02);
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
fn a_paused_one_notices_and_comes_back() {
    let mut net = Net::new(5, 0.0);
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
fn a_replayed_datagram_changes_nothing_and_admits_nobody() {
    let (mut a, mut b) = (member(0, 0), member(1, 0));
    let mut out = Vec::new();
    b.tick(1_000_000, &mut out);
    let hello = out.remove(0).packet;
    let mut answers = Vec::new();
    a.receive(2, hello.clone(), &mut answers).unwrap();
    let view = a.view();
    assert_eq!(
        view.members.len(),
        1,
        "admitted without having answered a number of ours"
    );
    assert_eq!(a.receive(3, hello, &mut answers), Err(Dropped::Replayed));
    assert_eq!(a.view(), view);
}

#[test]
fn a_group_of_a_hundred_stays_within_ten_kilobytes_a_second_each() {
    let mut net = Net::new(100, 0.01);
    net.run(100);
    // Lost datagrams make suspects now and then, who refute; nobody is taken for dead.
    let present = |n: usize| net.members[n].as_ref().unwrap().view().present().count();
    let least = (0..100).map(present).min();
    assert_eq!(least, Some(100));
    let before = net.bytes;
    net.run(25);
    let each = (net.bytes - before) / 100 / 5;
    assert!(each < 10_000, "{each} bytes a second");
}

/// Returns after how many periods each of `count` that start at once knows nine in ten of the others,
/// in the mean.
fn periods_until_met(count: usize) -> usize {
    let mut net = Net::new(count, 0.01);
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
fn hundreds_that_start_at_once_meet_within_two_seconds() {
    let periods = periods_until_met(250);
    assert!(periods <= 10, "{periods} periods of 200 ms");
}

/// Returns the bytes of a meeting for each pair of instances.
fn bytes_of_a_meeting(count: usize) -> u64 {
    let mut net = Net::new(count, 0.01);
    net.run(40);
    let alive: usize = (0..count).map(|n| net.alive(n)).sum();
    assert!(alive * 100 >= count * count * 99, "nearly all have met");
    net.bytes / (count * count) as u64
}

/// Guards against a meeting in which each instance tells of each other one again and again: what a pair costs is to
/// fall as the group grows, since probes and rumours are fewer for each.
#[test]
fn a_meeting_costs_each_pair_no_more_than_their_own_datagrams() {
    let (few, many) = (bytes_of_a_meeting(60), bytes_of_a_meeting(240));
    println!("{few} bytes a pair of 60, {many} of 240");
    assert!(many < 450, "{many} bytes a pair of 240");
    assert!(many < few, "{many} bytes a pair of 240, {few} of 60");
}

/// A member of a group of `count` that has met all, and has the addresses of all on its list.
fn met_all(count: usize) -> Membership {
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
    assert_eq!(member.view().members.len(), count, "it has met all");
    member
}

/// Returns the shortest time of some tries to work a view out.
fn view_time(member: &Membership) -> Duration {
    let tries = (0..20).map(|_| {
        let started = Instant::now();
        let view = member.view();
        let took = started.elapsed();
        assert!(view.unmet.is_empty());
        took
    });
    tries.min().unwrap_or_default()
}

/// Guards against a view whose work grows with the square of the group: eight times as many, not sixty-four.
#[test]
fn the_work_of_a_view_grows_as_the_group_does() {
    let (small, large) = (view_time(&met_all(250)), view_time(&met_all(2_000)));
    let times = large.as_secs_f64() / small.as_secs_f64();
    assert!(
        times < 24.0,
        "{times:.0} times the work for eight times as many"
    );
}

/// Guards against a view for each datagram while a group meets.
#[test]
fn changes_that_come_together_make_one_view() {
    let built = |changes: u64| {
        let mut throttle = ViewThrottle::default();
        let mut built = 0;
        for change in 0..changes {
            throttle.note_change();
            built += u64::from(throttle.take_due(change * 1_000_000 / changes));
        }
        built + u64::from(throttle.take_due(2_000_000))
    };
    assert_eq!(built(1), 1, "a single one counts at once");
    assert!(built(100) <= 26, "{}", built(100));
    assert_eq!(built(100), built(1_600), "whatever their number");
}
