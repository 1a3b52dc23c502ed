//! The membership view of one instance, and the choice of leaders by rendezvous hash.

use std::{collections::HashSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    peers::datagram::{Digest, Liveness, MemberInfo},
    prelude::Incarnation,
};

/// One member and its state as seen by the instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What the member announced about itself.
    pub info: MemberInfo,
    /// Whether the member responds to probes.
    pub liveness: Liveness,
    /// The member's configuration state as last received.
    pub digest: Digest,
}

impl Member {
    /// Returns whether the member may become a leader: it is believed to run and is not leaving.
    pub fn can_lead(&self) -> bool {
        self.is_present() && !self.info.leaving
    }

    /// Returns whether the member is believed to run.
    pub fn is_present(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }
}

/// The membership view of one instance: all members known to it, itself included.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The instance that has this view.
    pub me: Incarnation,
    /// All known members, ordered by incarnation. Dead members remain for some time.
    pub members: Vec<Member>,
    /// Addresses in the platform's instance list where no member has been admitted.
    pub unmet: Vec<SocketAddr>,
}

impl View {
    /// Returns the leader of `subject` by rendezvous hash: of the members that can lead, the one with the highest hash.
    /// A member that joins or leaves changes only the subjects that it leads.
    pub fn leader(&self, subject: &str) -> Option<&Member> {
        self.leaders(subject, 1).pop()
    }

    /// Returns the `count` members that can lead with the highest hashes for `subject`, the highest last.
    pub fn leaders(&self, subject: &str, count: usize) -> Vec<&Member> {
        let mut leaders = self.rank_members(subject, count, Member::can_lead);
        leaders.reverse();
        leaders
    }

    /// Returns the `count` eligible members with the highest rendezvous hashes for `subject`, the highest first.
    pub fn rank_members(
        &self,
        subject: &str,
        count: usize,
        is_eligible: impl Fn(&Member) -> bool,
    ) -> Vec<&Member> {
        let mut eligible: Vec<&Member> = self.members.iter().filter(|m| is_eligible(m)).collect();
        eligible.sort_by_cached_key(|m| std::cmp::Reverse(score(subject, m.info.incarnation)));
        eligible.truncate(count);
        eligible
    }

    /// Returns whether this instance is the leader of `subject`.
    pub fn leads(&self, subject: &str) -> bool {
        let leader = self.leader(subject);
        leader.is_some_and(|m| m.info.incarnation == self.me)
    }

    /// Returns the members believed to run, this instance included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.is_present())
    }

    /// Returns the other members believed to run.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|m| m.info.incarnation != self.me)
    }

    /// Returns the number of instances by distinct address. Instances that announced that they left don't count; those
    /// that don't respond do, since they may only be partitioned from this one.
    pub fn instance_count(&self) -> usize {
        let members = self.members.iter();
        let members = members.filter(|m| m.liveness != Liveness::Left);
        let members = members.map(|m| m.info.peer_addr);
        let addrs: HashSet<SocketAddr> = members.chain(self.unmet.iter().copied()).collect();
        addrs.len()
    }

    /// Returns the member with this incarnation.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|m| m.info.incarnation == incarnation)
    }

    /// Returns all instances that may hold a request: present members, dead ones whose death is not confirmed, and a
    /// placeholder (incarnation 0) for each address in `unmet`.
    pub fn may_hold_requests(&self) -> Vec<Incarnation> {
        let known = self.members.iter().filter(|m| m.liveness != Liveness::Left);
        let known = known.map(|m| m.info.incarnation);
        known
            .chain(self.unmet.iter().map(|_| Incarnation(0)))
            .collect()
    }
}

fn score(subject: &str, incarnation: Incarnation) -> (u64, Incarnation) {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in subject.bytes().chain(incarnation.0.to_le_bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    // FNV-1a mixes the last bytes poorly, so the finaliser of SplitMix64 is applied.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31), incarnation)
}
