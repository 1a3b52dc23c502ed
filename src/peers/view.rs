//! Who is there, as one instance sees it, and who does what.

use std::{collections::HashSet, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::{
    peers::datagram::{Digest, Liveness, MemberInfo},
    prelude::Incarnation,
};

/// One member with what is believed of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// What it said of itself.
    pub info: MemberInfo,
    /// Whether it answers.
    pub liveness: Liveness,
    /// Its state in short, as last heard.
    pub digest: Digest,
}

impl Member {
    /// Returns whether it may be given something to lead.
    pub fn can_lead(&self) -> bool {
        self.is_present() && !self.info.leaving
    }

    /// Returns whether it is believed to run.
    pub fn is_present(&self) -> bool {
        matches!(self.liveness, Liveness::Alive | Liveness::Suspect)
    }
}

/// The members known to one instance, itself included.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The instance whose view it is.
    pub me: Incarnation,
    /// All that are known, by incarnation; the dead are kept for a while.
    pub members: Vec<Member>,
    /// Listed by the platform but never met.
    pub unmet: Vec<SocketAddr>,
}

impl View {
    /// Returns the member that leads what `subject` names: of those that can, the one with the
    /// highest hash. A member that comes or goes moves only what it leads.
    pub fn leader(&self, subject: &str) -> Option<&Member> {
        self.leaders(subject, 1).pop()
    }

    /// Returns the `count` members with the highest hashes for `subject`, the highest last.
    pub fn leaders(&self, subject: &str, count: usize) -> Vec<&Member> {
        let mut leaders = self.rank_members(subject, count, Member::can_lead);
        leaders.reverse();
        leaders
    }

    /// Returns the `count` members with the highest hashes for `subject` of those that `is_eligible` be
    /// chosen, the highest first.
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

    /// Returns whether this instance leads what `subject` names.
    pub fn leads(&self, subject: &str) -> bool {
        let leader = self.leader(subject);
        leader.is_some_and(|m| m.info.incarnation == self.me)
    }

    /// Returns the members believed to run, itself included.
    pub fn present(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.is_present())
    }

    /// Returns the others believed to run.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.present().filter(|m| m.info.incarnation != self.me)
    }

    /// Returns how many instances there are, by address: those that left by their own word are none any more, those
    /// that are silent may be cut off.
    pub fn instance_count(&self) -> usize {
        let members = self.members.iter();
        let members = members.filter(|m| m.liveness != Liveness::Left);
        let members = members.map(|m| m.info.peer_addr);
        let addrs: HashSet<SocketAddr> = members.chain(self.unmet.iter().copied()).collect();
        addrs.len()
    }

    /// Returns the member of that start.
    pub fn member(&self, incarnation: Incarnation) -> Option<&Member> {
        let mut members = self.members.iter();
        members.find(|m| m.info.incarnation == incarnation)
    }

    /// Returns all that may hold a request: those present, those whose death is not confirmed, and
    /// a placeholder for each listed one that was never met.
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
    // FNV mixes its last bytes little; finish as splitmix does.
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    (hash ^ (hash >> 31), incarnation)
}
