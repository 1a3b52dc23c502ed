//! The membership protocol, SWIM-like: probes, suspicion and gossip. Free of I/O and clocks, so that tests can simulate it.
//!
//! In each period an instance probes a bounded number of members in turn. A member that responds neither directly nor
//! through others is suspected, and declared dead after a timeout unless it refutes the suspicion. A member is admitted
//! to the view only after it responded to a nonce of this instance, so a replayed datagram admits nobody. States of a
//! member are ordered by its `beat`, which only the member itself increases: a higher beat overrides any state that was
//! observed at a lower one.

use std::{
    collections::{BTreeMap, HashSet, VecDeque},
    net::SocketAddr,
};

use rand::{RngExt, SeedableRng, seq::SliceRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    peers::{
        datagram::{Body, Digest, Liveness, MemberInfo, Packet, Rumour},
        view::{Member, View},
    },
    prelude::{Incarnation, Micros},
};

/// Interval between probes.
pub const PERIOD_US: Micros = 200_000;
/// A suspect that does not respond for this long is declared dead. In clusters of more than fifteen the timeout is longer.
pub const SUSPECT_TIMEOUT_US: Micros = 800_000;
/// A gap between two ticks above which this process was paused.
pub const PAUSE_US: Micros = 1_000_000;
/// Dead members are probed at this interval, to detect that a network partition has healed.
const DEAD_PROBE_INTERVAL_US: Micros = 3_000_000;
/// Dead members are removed after this time.
const DEAD_RETENTION_US: Micros = 600_000_000;
/// In clusters of up to this many present members an instance probes two members a period, in larger ones one.
const SMALL_CLUSTER: usize = 12;
/// Members that are requested to probe a member that did not respond.
const INDIRECT_PROBES: usize = 2;
/// Most members known only from rumours that are pinged a period, and most undiscovered addresses that are pinged every two
/// periods. With eight, 295 instances that restarted together took three to five seconds to discover each other, and
/// meanwhile refused requests of organisations below their limits. With sixty, some 10 KB, 250 instances that know one
/// seed discover each other within ten periods of virtual time instead of 57.
const MAX_DISCOVERY_PINGS: usize = 60;
/// Least transmissions of a rumour about a newly admitted member. Each recipient admits the member as well and then
/// passes the rumour on as often, so that more than one transmission each is enough to reach all instances.
const ADMISSION_TRANSMISSIONS: u32 = 12;
const RUMOURS_PER_PACKET: usize = 12;
/// Datagrams this many or more sequence numbers behind the newest of their sender are dropped as replays: a `u64` records
/// which ones were seen.
const REPLAY_WINDOW: u64 = 64;

/// A datagram to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// The destination.
    pub to: SocketAddr,
    /// The content.
    pub packet: Packet,
}

/// Why an authentic datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dropped {
    /// Its sequence number was seen before or is too old.
    Replayed,
    /// This instance sent it itself.
    Own,
}

#[derive(Clone, Debug)]
struct KnownMember {
    info: MemberInfo,
    liveness: Liveness,
    liveness_since_us: Micros,
    last_probe_us: Micros,
    digest: Digest,
    newest_seq: u64,
    /// The sequence numbers up to `newest_seq` that were seen: bit `n` stands for `newest_seq - n`.
    seen_seqs: u64,
    transmissions_left: u32,
    /// The member responded to a nonce of this instance in this incarnation.
    admitted: bool,
}

#[derive(Clone, Copy, Debug)]
struct Probe {
    /// None if only the address is known.
    target: Option<Incarnation>,
    addr: SocketAddr,
    sent_us: Micros,
    /// Other members have been requested to probe the target.
    is_indirect: bool,
}

/// One instance's membership state.
#[derive(Clone, Debug)]
pub struct Membership {
    me: MemberInfo,
    digest: Digest,
    seq: u64,
    known: BTreeMap<Incarnation, KnownMember>,
    probes: BTreeMap<u64, Probe>,
    /// Pings sent on behalf of others: the own nonce, the requester's nonce and address.
    indirect_pings: VecDeque<(u64, u64, SocketAddr)>,
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    probe_order: Vec<Incarnation>,
    last_tick_us: Option<Micros>,
    last_discovery_us: Micros,
    rng: ChaCha8Rng,
    changed: bool,
}

impl Membership {
    /// Creates the state of an instance that knows no other members. `seed` makes random choices reproducible.
    pub fn new(me: MemberInfo, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            me,
            digest: Digest::default(),
            seq: 0,
            known: BTreeMap::new(),
            probes: BTreeMap::new(),
            indirect_pings: VecDeque::new(),
            seeds,
            listed: Vec::new(),
            probe_order: Vec::new(),
            last_tick_us: None,
            last_discovery_us: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            changed: true,
        }
    }

    /// Sets the configuration state that later datagrams carry.
    pub fn set_digest(&mut self, digest: Digest) {
        self.digest = digest;
    }

    /// Announces that this instance accepts no new work.
    pub fn leave(&mut self) {
        self.me.leaving = true;
        self.me.beat += 1;
        self.changed = true;
    }

    /// Sets the platform's instance list: addresses to discover, and evidence that a dead member no longer exists.
    pub fn set_listed(&mut self, listed: Vec<SocketAddr>) {
        let addrs: HashSet<SocketAddr> = listed.iter().copied().collect();
        self.known.retain(|_, k| {
            let is_listed = addrs.contains(&k.info.peer_addr);
            k.liveness != Liveness::Dead || is_listed
        });
        self.listed = listed;
        self.changed = true;
    }

    /// Returns the datagrams that announce to all present members that this instance leaves and holds no requests.
    pub fn goodbye(&mut self) -> Vec<Outgoing> {
        self.me.beat += 1;
        let present = self.known.values().filter(|k| k.liveness < Liveness::Dead);
        let targets: Vec<SocketAddr> = present.map(|k| k.info.peer_addr).collect();
        let packets = targets.into_iter();
        packets.map(|to| self.packet(to, Body::Goodbye)).collect()
    }

    /// Returns whether the view changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Returns the current membership view.
    pub fn view(&self) -> View {
        let mut members: Vec<Member> = self
            .known
            .values()
            .filter(|k| k.admitted)
            .map(|k| Member {
                info: k.info.clone(),
                liveness: k.liveness,
                digest: k.digest,
            })
            .collect();
        members.push(Member {
            info: self.me.clone(),
            liveness: Liveness::Alive,
            digest: self.digest,
        });
        members.sort_by_key(|m| m.info.incarnation);
        let known_addrs: HashSet<SocketAddr> = members.iter().map(|m| m.info.peer_addr).collect();
        let unmet = self
            .listed
            .iter()
            .filter(|addr| !known_addrs.contains(addr));
        let unmet = unmet.copied().collect();
        View {
            me: self.me.incarnation,
            members,
            unmet,
        }
    }

    /// Performs the work of a period: timeouts, probes and discovery. Returns whether this process was paused since the
    /// last call.
    pub fn tick(&mut self, now_us: Micros, out: &mut Vec<Outgoing>) -> bool {
        let paused = self
            .last_tick_us
            .is_some_and(|before| now_us.saturating_sub(before) > PAUSE_US);
        self.last_tick_us = Some(now_us);
        if paused {
            self.resume(now_us);
        }
        self.check_overdue_probes(now_us, out);
        self.expire_members(now_us);
        self.probe_members(now_us, out);
        self.ping_undiscovered(now_us, out);
        paused
    }

    /// Processes an authentic datagram.
    ///
    /// # Errors
    /// It is a replay or was sent by this instance itself. Nothing was changed.
    pub fn receive(
        &mut self,
        now_us: Micros,
        packet: Packet,
        out: &mut Vec<Outgoing>,
    ) -> Result<(), Dropped> {
        let from = packet.from.incarnation;
        if from == self.me.incarnation {
            return Err(Dropped::Own);
        }
        self.note_sender(now_us, &packet)?;
        for rumour in packet.rumours {
            self.apply_rumour(now_us, rumour);
        }
        let sender = packet.from.peer_addr;
        match packet.body {
            Body::Ping(nonce) => out.push(self.packet(sender, Body::Ack(nonce))),
            Body::Ack(nonce) => self.receive_ack(now_us, from, packet.digest, nonce, out),
            Body::PingFor { target, nonce } => {
                let own_nonce: u64 = self.rng.random();
                self.indirect_pings.push_back((own_nonce, nonce, sender));
                if self.indirect_pings.len() > 256 {
                    self.indirect_pings.pop_front();
                }
                out.push(self.packet(target, Body::Ping(own_nonce)));
            }
            Body::Goodbye => self.set_liveness(now_us, from, Liveness::Left),
        }
        Ok(())
    }

    /// Resets the state after a pause, since neither the own view nor the views of others about this instance are
    /// up to date: suspects become alive, all timeouts restart, and a higher beat refutes suspicions of this instance.
    fn resume(&mut self, now_us: Micros) {
        self.me.beat += 1;
        self.probes.clear();
        for known in self.known.values_mut() {
            known.liveness_since_us = now_us;
            if known.liveness == Liveness::Suspect {
                known.liveness = Liveness::Alive;
            }
        }
        self.changed = true;
    }

    fn note_sender(&mut self, now_us: Micros, packet: &Packet) -> Result<(), Dropped> {
        let info = &packet.from;
        let known = self.known.entry(info.incarnation).or_insert_with(|| {
            let mut known = KnownMember::new(info.clone(), now_us);
            known.newest_seq = packet.seq.saturating_sub(1);
            known
        });
        if !known.is_new(packet.seq) {
            return Err(Dropped::Replayed);
        }
        if known.digest != packet.digest {
            known.digest = packet.digest;
            self.changed = true;
        }
        let alive = Rumour {
            info: info.clone(),
            liveness: Liveness::Alive,
        };
        self.apply_rumour(now_us, alive);
        Ok(())
    }

    fn apply_rumour(&mut self, now_us: Micros, rumour: Rumour) {
        let incarnation = rumour.info.incarnation;
        let limit = transmission_limit(self.known.len());
        if incarnation == self.me.incarnation {
            if rumour.liveness != Liveness::Alive && rumour.info.beat >= self.me.beat {
                self.me.beat = rumour.info.beat + 1;
            }
            return;
        }
        let Some(known) = self.known.get_mut(&incarnation) else {
            // Unknown members that are dead are ignored; others have to respond before they are admitted.
            if rumour.liveness < Liveness::Dead {
                let known = KnownMember::new(rumour.info, now_us);
                self.known.insert(incarnation, known);
            }
            return;
        };
        let newer = rumour.info.beat > known.info.beat;
        let worse = rumour.info.beat == known.info.beat && rumour.liveness > known.liveness;
        if known.liveness == Liveness::Left || !(newer || worse) {
            return;
        }
        if newer {
            known.info = rumour.info;
        }
        if known.liveness != rumour.liveness {
            known.liveness = rumour.liveness;
            known.liveness_since_us = now_us;
        }
        known.transmissions_left = limit;
        self.changed = true;
    }

    fn receive_ack(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        digest: Digest,
        nonce: u64,
        out: &mut Vec<Outgoing>,
    ) {
        if let Some(at) = self
            .indirect_pings
            .iter()
            .position(|(own_nonce, ..)| *own_nonce == nonce)
            && let Some((_, their_nonce, to)) = self.indirect_pings.remove(at)
        {
            // The target's state is sent as a rumour, since the requester admits no member by an indirect probe.
            let mut packet = self.packet(to, Body::Ack(their_nonce));
            if let Some(known) = self.known.get(&from) {
                packet.packet.rumours.insert(0, known.rumour());
            }
            out.push(packet);
            return;
        }
        let Some(probe) = self.probes.remove(&nonce) else {
            return;
        };
        if probe.target.is_some_and(|t| t != from) {
            self.receive_ack_from_other(now_us, probe, from);
            return;
        }
        let Some(known) = self.known.get_mut(&from) else {
            return;
        };
        known.digest = digest;
        if !known.admitted {
            known.admitted = true;
            known.transmissions_left = known.transmissions_left.max(ADMISSION_TRANSMISSIONS);
            self.changed = true;
        }
        self.set_liveness(now_us, from, Liveness::Alive);
        self.remove_replaced(from);
    }

    /// Processes an ack from another member than the one probed: a helper that reached the target, or a new incarnation at
    /// the same address, which means that the target is dead.
    fn receive_ack_from_other(&mut self, now_us: Micros, probe: Probe, from: Incarnation) {
        let Some(target) = probe.target else { return };
        let addr = self.known.get(&from).map(|k| k.info.peer_addr);
        if addr == Some(probe.addr) {
            self.set_liveness(now_us, target, Liveness::Dead);
        } else {
            self.set_liveness(now_us, target, Liveness::Alive);
        }
    }

    /// Removes dead members and those that left whose address `by` has taken over.
    fn remove_replaced(&mut self, by: Incarnation) {
        let Some(addr) = self.known.get(&by).map(|k| k.info.peer_addr) else {
            return;
        };
        let before = self.known.len();
        self.known
            .retain(|i, k| *i == by || k.info.peer_addr != addr || k.liveness < Liveness::Dead);
        self.changed |= self.known.len() != before;
    }

    fn set_liveness(&mut self, now_us: Micros, of: Incarnation, liveness: Liveness) {
        let limit = transmission_limit(self.known.len());
        let Some(known) = self.known.get_mut(&of) else {
            return;
        };
        if known.liveness == liveness || known.liveness == Liveness::Left {
            return;
        }
        known.liveness = liveness;
        known.liveness_since_us = now_us;
        known.transmissions_left = limit;
        self.changed = true;
    }

    fn check_overdue_probes(&mut self, now_us: Micros, out: &mut Vec<Outgoing>) {
        let overdue: Vec<u64> = self
            .probes
            .iter()
            .filter(|(_, p)| now_us.saturating_sub(p.sent_us) >= PERIOD_US * 3 / 4)
            .map(|(nonce, _)| *nonce)
            .collect();
        for nonce in overdue {
            let Some(probe) = self.probes.get_mut(&nonce) else {
                continue;
            };
            let Some(target) = probe.target else {
                self.probes.remove(&nonce);
                continue;
            };
            if !probe.is_indirect {
                probe.is_indirect = true;
                probe.sent_us = now_us;
                let addr = probe.addr;
                self.send_indirect_probes(target, addr, nonce, out);
            } else {
                self.probes.remove(&nonce);
                if self
                    .known
                    .get(&target)
                    .is_some_and(|k| k.liveness == Liveness::Alive)
                {
                    self.set_liveness(now_us, target, Liveness::Suspect);
                }
            }
        }
    }

    fn send_indirect_probes(
        &mut self,
        target: Incarnation,
        addr: SocketAddr,
        nonce: u64,
        out: &mut Vec<Outgoing>,
    ) {
        let mut helpers: Vec<SocketAddr> = self
            .known
            .values()
            .filter(|k| k.liveness == Liveness::Alive && k.info.incarnation != target)
            .map(|k| k.info.peer_addr)
            .collect();
        helpers.shuffle(&mut self.rng);
        for helper in helpers.into_iter().take(INDIRECT_PROBES) {
            let body = Body::PingFor {
                target: addr,
                nonce,
            };
            out.push(self.packet(helper, body));
        }
        out.push(self.packet(addr, Body::Ping(nonce)));
    }

    fn expire_members(&mut self, now_us: Micros) {
        // A refutation takes longer to spread in a larger cluster.
        let doublings = u64::from((self.known.len() + 1).ilog2());
        let timeout_us = SUSPECT_TIMEOUT_US * doublings.max(3) / 3;
        let expired: Vec<Incarnation> = self
            .known
            .iter()
            .filter(|(_, k)| k.liveness == Liveness::Suspect)
            .filter(|(_, k)| now_us.saturating_sub(k.liveness_since_us) > timeout_us)
            .map(|(i, _)| *i)
            .collect();
        for incarnation in expired {
            self.set_liveness(now_us, incarnation, Liveness::Dead);
        }
        let before = self.known.len();
        self.known.retain(|_, k| {
            let age_us = now_us.saturating_sub(k.liveness_since_us);
            let never_admitted = !k.admitted && age_us > 10 * PERIOD_US;
            let is_expired = k.liveness >= Liveness::Dead && age_us > DEAD_RETENTION_US;
            !(never_admitted || is_expired)
        });
        self.changed |= self.known.len() != before;
    }

    fn probe_members(&mut self, now_us: Micros, out: &mut Vec<Outgoing>) {
        let present = self.known.values().filter(|k| k.liveness < Liveness::Dead);
        let count = if present.count() <= SMALL_CLUSTER {
            2
        } else {
            1
        };
        // Members known only from rumours are probed first; in turn with the rest, a large cluster would take minutes to
        // discover all.
        let unadmitted = self
            .known
            .iter()
            .filter(|(_, k)| !k.admitted && k.last_probe_us == 0);
        let unadmitted: Vec<Incarnation> = unadmitted
            .map(|(i, _)| *i)
            .take(MAX_DISCOVERY_PINGS)
            .collect();
        for target in unadmitted {
            self.probe(now_us, target, out);
        }
        for _ in 0..count {
            if let Some(target) = self.next_probe_target(now_us) {
                self.probe(now_us, target, out);
            }
        }
    }

    fn next_probe_target(&mut self, now_us: Micros) -> Option<Incarnation> {
        if self.probe_order.is_empty() {
            self.probe_order = self.known.keys().copied().collect();
            self.probe_order.shuffle(&mut self.rng);
        }
        while let Some(target) = self.probe_order.pop() {
            let Some(known) = self.known.get(&target) else {
                continue;
            };
            let wait_us = match known.liveness {
                Liveness::Left => continue,
                Liveness::Dead => DEAD_PROBE_INTERVAL_US,
                Liveness::Alive | Liveness::Suspect => 0,
            };
            if now_us >= known.last_probe_us + wait_us {
                return Some(target);
            }
        }
        None
    }

    fn probe(&mut self, now_us: Micros, target: Incarnation, out: &mut Vec<Outgoing>) {
        let Some(known) = self.known.get_mut(&target) else {
            return;
        };
        known.last_probe_us = now_us;
        let addr = known.info.peer_addr;
        self.ping(now_us, Some(target), addr, out);
    }

    fn ping(
        &mut self,
        now_us: Micros,
        target: Option<Incarnation>,
        addr: SocketAddr,
        out: &mut Vec<Outgoing>,
    ) {
        let nonce = self.rng.random();
        let probe = Probe {
            target,
            addr,
            sent_us: now_us,
            is_indirect: false,
        };
        self.probes.insert(nonce, probe);
        let mut ping = self.packet(addr, Body::Ping(nonce));
        let suspect = target.and_then(|t| self.known.get(&t));
        if let Some(suspect) = suspect.filter(|k| k.liveness != Liveness::Alive) {
            // A member can refute a suspicion only if it receives it.
            ping.packet.rumours.insert(0, suspect.rumour());
        }
        out.push(ping);
    }

    fn ping_undiscovered(&mut self, now_us: Micros, out: &mut Vec<Outgoing>) {
        if now_us < self.last_discovery_us + 2 * PERIOD_US {
            return;
        }
        self.last_discovery_us = now_us;
        let admitted = self.known.values();
        let admitted = admitted.filter(|k| k.liveness < Liveness::Dead && k.admitted);
        let admitted: HashSet<SocketAddr> = admitted.map(|k| k.info.peer_addr).collect();
        let is_admitted = |addr: &SocketAddr| admitted.contains(addr);
        let addrs = self.seeds.iter().chain(&self.listed);
        let mut undiscovered: Vec<SocketAddr> = addrs
            .filter(|a| **a != self.me.peer_addr && !is_admitted(a))
            .copied()
            .collect();
        undiscovered.sort_unstable();
        undiscovered.dedup();
        undiscovered.shuffle(&mut self.rng);
        for addr in undiscovered.into_iter().take(MAX_DISCOVERY_PINGS) {
            self.ping(now_us, None, addr, out);
        }
    }

    /// Returns rumours that have transmissions left, starting at a random member: when many instances start at once, all of
    /// them would otherwise pass on the same few first.
    fn take_rumours(&mut self) -> Vec<Rumour> {
        let first = Incarnation(self.rng.random());
        let has_transmissions = |known: &&mut KnownMember| known.transmissions_left > 0;
        let after = self.known.range_mut(first..);
        let mut selected: Vec<Rumour> = after
            .map(|(_, known)| known)
            .filter(has_transmissions)
            .take(RUMOURS_PER_PACKET)
            .map(KnownMember::next_rumour)
            .collect();
        let before = self.known.range_mut(..first);
        let rest = before
            .map(|(_, known)| known)
            .filter(has_transmissions)
            .take(RUMOURS_PER_PACKET - selected.len())
            .map(KnownMember::next_rumour);
        selected.extend(rest);
        selected
    }

    fn packet(&mut self, to: SocketAddr, body: Body) -> Outgoing {
        self.seq += 1;
        let mut rumours = self.take_rumours();
        // Without pending rumours, pass on a random member, so that eventually all instances know each other.
        if rumours.is_empty() && !self.known.is_empty() {
            let pick = self.rng.random_range(0..self.known.len());
            let any = self.known.values().nth(pick);
            rumours.extend(any.filter(|k| k.admitted).map(KnownMember::rumour));
        }
        let packet = Packet {
            from: self.me.clone(),
            seq: self.seq,
            body,
            digest: self.digest,
            rumours,
        };
        Outgoing { to, packet }
    }
}

impl KnownMember {
    fn new(info: MemberInfo, now_us: Micros) -> Self {
        Self {
            info,
            liveness: Liveness::Alive,
            liveness_since_us: now_us,
            last_probe_us: 0,
            digest: Digest::default(),
            newest_seq: 0,
            seen_seqs: 0,
            transmissions_left: 0,
            admitted: false,
        }
    }

    fn rumour(&self) -> Rumour {
        Rumour {
            info: self.info.clone(),
            liveness: self.liveness,
        }
    }

    fn next_rumour(&mut self) -> Rumour {
        self.transmissions_left -= 1;
        self.rumour()
    }

    /// Returns whether the sequence number was not seen before, and records it.
    fn is_new(&mut self, seq: u64) -> bool {
        if seq > self.newest_seq {
            let shift = seq - self.newest_seq;
            self.seen_seqs = if shift >= REPLAY_WINDOW {
                0
            } else {
                self.seen_seqs << shift
            };
            self.seen_seqs |= 1;
            self.newest_seq = seq;
            return true;
        }
        let age = self.newest_seq - seq;
        if age >= REPLAY_WINDOW || self.seen_seqs & (1 << age) != 0 {
            return false;
        }
        self.seen_seqs |= 1 << age;
        true
    }
}

/// Returns how often a rumour is passed on: three times the logarithm of the cluster size.
fn transmission_limit(members: usize) -> u32 {
    3 * (members + 2).ilog2()
}
