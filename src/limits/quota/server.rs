//! The quota server: grants quota from the shares that instances lease to it.

use std::collections::HashMap;

use crate::{
    gateway::config::UsageLimit,
    limits::quota::{
        account::{Account, Tolerance},
        message::{Lease, Verdict},
        partition::{COPIES, PARTITIONS, Partition, PartitionSet},
        shares::Shares,
    },
    prelude::{Incarnation, Micros, Name, Rank, short_hash},
};

/// A lessor that has sent nothing for this long is removed.
const LESSOR_RETENTION_US: Micros = 60_000_000;

/// The state of an account, for the log.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountState {
    /// The organisation's name.
    pub organisation: Name,
    /// Index of the account among those of the organisation.
    pub copy: u8,
    /// The limit in force at this server.
    pub limit: UsageLimit,
    /// Units left; negative if the account is in debt.
    pub level: i64,
    /// Fraction of the limit that is leased to this server, at most 1.
    pub share: f64,
    /// Number of instances that lease their shares to it.
    pub lessors: usize,
    /// Units granted since the account was opened.
    pub granted: u64,
    /// Requests denied since the state was last reported.
    pub denied: u64,
}

#[derive(Clone, Copy, Debug)]
struct Lessor {
    seq: u64,
    last_seen_us: Micros,
}

/// How the sender of a message relates to the incarnations known at its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartStatus {
    /// It has been replaced by a later one: the message is late.
    Superseded,
    /// It is the one that runs there.
    Current,
    /// It is new and replaces this one.
    Replaces(Incarnation),
}

/// The current and the ended incarnations at each address.
#[derive(Debug, Default)]
struct Incarnations {
    current: HashMap<u32, Incarnation>,
    /// The incarnation before the current one, by address.
    predecessors: HashMap<u32, Incarnation>,
    ended_us: HashMap<Incarnation, Micros>,
}

#[derive(Debug)]
pub(super) struct QuotaServer {
    tolerance: Tolerance,
    shares: Vec<Shares>,
    lessors: HashMap<Incarnation, Lessor>,
    incarnations: Incarnations,
    names: HashMap<u32, Name>,
    accounts: HashMap<(u32, u8), Account>,
    /// Keys of `accounts`, by partition.
    accounts_by_partition: Vec<Vec<(u32, u8)>>,
}

impl QuotaServer {
    pub(super) fn new(tolerance: Tolerance) -> Self {
        Self {
            tolerance,
            shares: (0..PARTITIONS).map(|_| Shares::default()).collect(),
            lessors: HashMap::new(),
            incarnations: Incarnations::default(),
            names: HashMap::new(),
            accounts: HashMap::new(),
            accounts_by_partition: vec![Vec::new(); PARTITIONS],
        }
    }

    /// Replaces the tolerance, which takes effect with the next configuration.
    pub(super) fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
    }

    /// Applies the limits of a configuration.
    pub(super) fn configure(&mut self, now_us: Micros, limits: &[(Name, UsageLimit)]) {
        self.names.clear();
        for (name, limit) in limits {
            let organisation = short_hash(name);
            self.names.insert(organisation, name.clone());
            for copy in 0..COPIES {
                self.set_limit(now_us, organisation, copy, *limit);
            }
        }
        let names = &self.names;
        self.accounts.retain(|(o, _), _| names.contains_key(o));
        self.accounts_by_partition = vec![Vec::new(); PARTITIONS];
        for (organisation, copy) in self.accounts.keys() {
            let partition = Partition::of(*organisation, *copy);
            self.accounts_by_partition[partition.index()].push((*organisation, *copy));
        }
    }

    fn set_limit(&mut self, now_us: Micros, organisation: u32, copy: u8, limit: UsageLimit) {
        let partition = Partition::of(organisation, copy);
        self.advance(now_us, partition);
        let shares = &self.shares[partition.index()];
        let tolerance = &self.tolerance;
        self.accounts
            .entry((organisation, copy))
            .and_modify(|account| account.update_limit(now_us, limit, tolerance, shares))
            .or_insert_with(|| Account::open(now_us, limit, tolerance, shares));
    }

    /// Returns whether an earlier incarnation than `lessor` is known at an address.
    pub(super) fn saw_predecessor(&self, address: u32, lessor: Incarnation) -> bool {
        let ended = self.incarnations.predecessors.get(&address);
        ended.is_some_and(|ended| *ended != lessor)
    }

    /// Records the incarnation that runs at an address; the leases of an earlier one end.
    pub(super) fn record_start(
        &mut self,
        now_us: Micros,
        address: u32,
        lessor: Incarnation,
    ) -> StartStatus {
        if self.incarnations.ended_us.contains_key(&lessor) {
            return StartStatus::Superseded;
        }
        let before = self.incarnations.current.insert(address, lessor);
        let Some(ended) = before.filter(|b| *b != lessor) else {
            return StartStatus::Current;
        };
        self.incarnations.ended_us.insert(ended, now_us);
        self.incarnations.predecessors.insert(address, ended);
        for partition in Partition::all() {
            self.advance(now_us, partition);
            if self.shares[partition.index()].release(ended) {
                self.clip_accounts(now_us, partition);
            }
        }
        StartStatus::Replaces(ended)
    }

    /// Applies a lease of `lessor`, which runs from the timestamp of this server that the lessor sent back.
    pub(super) fn lease(&mut self, now_us: Micros, lessor: Incarnation, lease: &Lease) {
        if !self.accept_seq(now_us, lessor, lease.seq) || lease.stamp_us == 0 {
            return;
        }
        let until_us = lease.stamp_us.saturating_add(lease.lasts_us);
        let share = 1.0 / f64::from(lease.count.instances.max(1));
        for partition in lease.partitions.iter() {
            self.advance(now_us, partition);
            if share > self.shares[partition.index()].share_of(lessor) {
                self.clip_accounts(now_us, partition);
            }
            let shares = &mut self.shares[partition.index()];
            let total_fell = shares.lease(lessor, share, until_us);
            if lease.idle.contains(partition) {
                shares.add_idle(share, lease.idle_us);
            }
            if total_fell {
                self.clip_accounts(now_us, partition);
            }
        }
    }

    /// Ends leases before they expire; false if a newer lease arrived before the request.
    pub(super) fn release(
        &mut self,
        now_us: Micros,
        lessor: Incarnation,
        seq: u64,
        partitions: PartitionSet,
    ) -> bool {
        if !self.accept_seq(now_us, lessor, seq) {
            return false;
        }
        for partition in partitions.iter() {
            self.advance(now_us, partition);
            if self.shares[partition.index()].release(lessor) {
                self.clip_accounts(now_us, partition);
            }
        }
        true
    }

    pub(super) fn grant(
        &mut self,
        now_us: Micros,
        organisation: u32,
        copy: u8,
        units: u32,
        rank: Rank,
    ) -> Verdict {
        let partition = Partition::of(organisation, copy);
        self.advance(now_us, partition);
        let shares = &self.shares[partition.index()];
        let account = self.accounts.get_mut(&(organisation, copy));
        account.map_or(Verdict::Unknown, |a| a.grant(now_us, units, rank, shares))
    }

    /// Takes back units of a grant made at `granted_us`.
    pub(super) fn refund(
        &mut self,
        now_us: Micros,
        organisation: u32,
        copy: u8,
        units: u32,
        granted_us: Micros,
    ) {
        let partition = Partition::of(organisation, copy);
        self.advance(now_us, partition);
        let shares = &self.shares[partition.index()];
        if let Some(account) = self.accounts.get_mut(&(organisation, copy)) {
            account.refund(now_us, units, granted_us, shares);
        }
    }

    /// Removes lessors and ended incarnations after the retention time.
    pub(super) fn expire(&mut self, now_us: Micros) {
        let is_kept = |l: &Lessor| now_us.saturating_sub(l.last_seen_us) < LESSOR_RETENTION_US;
        self.lessors.retain(|_, lessor| is_kept(lessor));
        let is_recent = |us: &Micros| now_us.saturating_sub(*us) < LESSOR_RETENTION_US;
        self.incarnations.ended_us.retain(|_, us| is_recent(us));
        let ended_us = &self.incarnations.ended_us;
        let is_known = |ended: &Incarnation| ended_us.contains_key(ended);
        self.incarnations
            .predecessors
            .retain(|_, ended| is_known(ended));
    }

    /// Returns the state of accounts that denied requests or are less than half full, at most `max_states`, those with
    /// the most denials first.
    pub(super) fn take_states(&mut self, now_us: Micros, max_states: usize) -> Vec<AccountState> {
        let keys: Vec<(u32, u8)> = self.accounts.keys().copied().collect();
        let mut states: Vec<AccountState> = keys
            .into_iter()
            .filter_map(|key| self.take_state(now_us, key))
            .collect();
        states.sort_by_key(|s| std::cmp::Reverse(s.denied));
        states.truncate(max_states);
        states
    }

    fn take_state(&mut self, now_us: Micros, key: (u32, u8)) -> Option<AccountState> {
        let (organisation, copy) = key;
        let partition = Partition::of(organisation, copy);
        self.advance(now_us, partition);
        let shares = &self.shares[partition.index()];
        let account = self.accounts.get_mut(&key)?;
        account.fill(shares);
        let half_full = account.bounds.depth * shares.total() / f64::from(COPIES) / 2.0;
        let is_scarce = account.denied > 0 || (shares.total() > 0.0 && account.level < half_full);
        let organisation = self.names.get(&organisation).filter(|_| is_scarce)?;
        Some(AccountState {
            organisation: organisation.clone(),
            copy,
            limit: account.limit,
            level: account.level as i64,
            share: shares.total(),
            lessors: shares.lessors(),
            granted: account.granted,
            denied: std::mem::take(&mut account.denied),
        })
    }

    fn accept_seq(&mut self, now_us: Micros, lessor: Incarnation, seq: u64) -> bool {
        let known = self.lessors.entry(lessor).or_insert(Lessor {
            seq: 0,
            last_seen_us: now_us,
        });
        known.last_seen_us = now_us;
        let is_newest = seq > known.seq;
        known.seq = known.seq.max(seq);
        is_newest
    }

    fn advance(&mut self, now_us: Micros, partition: Partition) {
        if self.shares[partition.index()].advance(now_us) {
            self.clip_accounts(now_us, partition);
        }
    }

    /// Fills the accounts of a partition and clips them to the current shares.
    fn clip_accounts(&mut self, now_us: Micros, partition: Partition) {
        let shares = &self.shares[partition.index()];
        for key in &self.accounts_by_partition[partition.index()] {
            if let Some(account) = self.accounts.get_mut(key) {
                account.clip(now_us, shares);
            }
        }
    }
}
