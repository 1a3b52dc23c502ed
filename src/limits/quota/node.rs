//! The quota protocol of one instance: it leases out its share, serves partitions and queries servers for its callers.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::{
    gateway::config::{GatewayConfig, UsageLimit},
    limits::quota::{
        account::{Bounds, Tolerance},
        client::{Client, Decision, Denied, Grant, GrantSource, LateGrant},
        delegation::{Delegation, renewal_interval_us},
        directory::Directory,
        message::{InstanceCount, Lease, Message, Outgoing, Recipient, Verdict},
        partition::{COPIES, Partition, PartitionSet},
        server::{AccountState, QuotaServer, StartStatus},
    },
    prelude::{Incarnation, Micros, Name, Rank, short_hash},
};

/// Interval at which an excluded server is probed.
const PROBE_INTERVAL_US: Micros = 800_000;
/// The start of this process is announced again after this time to instances that have not acknowledged it; the
/// interval then doubles up to its maximum.
const ANNOUNCE_INTERVAL_US: Micros = 120_000;
const MAX_ANNOUNCE_INTERVAL_US: Micros = 960_000;
/// A query without an answer is dropped after this time.
const QUERY_RETENTION_US: Micros = 5_000_000;
/// A reported number of instances counts for this long, since some of them may be cut off now.
const INSTANCE_COUNT_TTL_US: Micros = 600_000_000;
/// Number of sent leases whose sending times are kept: some seconds of renewals and queries.
const MAX_SENT_LEASES: usize = 256;
/// Wait before a retry if nothing is leased to the queried server.
const UNLEASED_RETRY_US: Micros = 40_000;
/// Wait before a retry if no server answered.
const UNANSWERED_RETRY_US: Micros = 300_000;

/// How a configuration changed a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The organisation's name.
    pub organisation: Name,
    /// The previous limit, if there was one.
    pub before: Option<UsageLimit>,
    /// The new limit; none if it was removed.
    pub after: Option<UsageLimit>,
}

/// The result of [`Node::acquire`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The organisation has no limit.
    Unlimited,
    /// The decision was made without waiting for another instance.
    Decided(Decision),
    /// A quota server was queried; [`Node::take_decided`] returns the decision under this number.
    Pending(u64),
}

#[derive(Debug)]
struct OrganisationLimit {
    name: Name,
    limit: UsageLimit,
    max_grant_age_us: Micros,
}

/// A request whose caller waits for quota.
#[derive(Debug)]
struct PendingRequest {
    organisation: u32,
    units: u32,
    rank: Rank,
    /// Accounts not yet queried in this pass over all of them; the next one is last.
    untried: Vec<u8>,
    /// The server of the newest query, and when it was sent.
    last_query: Option<(Incarnation, Micros)>,
    /// Number of unanswered queries.
    open_queries: u8,
    /// The denial with the shortest wait so far.
    denied: Option<Denied>,
}

/// A query to one account.
#[derive(Clone, Copy, Debug)]
struct Query {
    organisation: u32,
    units: u32,
    /// When it was first sent.
    sent_us: Micros,
    /// It was sent again, so its answer does not measure the round trip.
    is_resent: bool,
    /// Another account has granted its request.
    is_redundant: bool,
}

/// The state of the quota protocol on one instance: lessor, quota server and client.
#[derive(Debug)]
pub struct Node {
    me: Incarnation,
    tolerance: Tolerance,
    limits: HashMap<u32, OrganisationLimit>,
    directory: Directory,
    delegation: Delegation,
    server: QuotaServer,
    client: Client,
    /// Number of instances in this instance's own view.
    instances: u32,
    /// The largest number of instances reported by others or the store, and when it was observed; none before the
    /// first report.
    reported_instances: Option<(u32, Micros)>,
    /// The own view is sufficient without a report of the number of instances.
    trusts_own_view: bool,
    /// No process ran at this address before, so there are no earlier leases to end.
    has_no_predecessor: bool,
    /// When a lease was last made out to each server.
    last_leased_us: HashMap<Incarnation, Micros>,
    /// Sequence numbers and sending times of the newest leases.
    sent_leases: VecDeque<(u64, Micros)>,
    started_us: Micros,
    /// The latest time passed to this node.
    now_us: Micros,
    /// Hashes of the addresses where instances run or ran.
    addresses: HashSet<u32>,
    /// Addresses that acknowledged this incarnation's start: no lease of an earlier one is held there.
    acknowledged_by: HashSet<u32>,
    /// Addresses to which this incarnation's start has been announced.
    announced_to: HashSet<u32>,
    announced_us: Option<Micros>,
    announce_interval_us: Micros,
    /// Since when none of the instances in `acknowledged_by` has used such a lease; none if one of them may have until
    /// its acknowledgement.
    idle_since_us: Option<Micros>,
    last_number: u64,
    pending: HashMap<u64, PendingRequest>,
    queries: HashMap<(u64, u8), Query>,
    outgoing: Vec<Outgoing>,
    decided: Vec<(u64, Decision)>,
}

impl Node {
    /// Creates a node without limits that is alone in its group.
    pub fn new(now_us: Micros, me: Incarnation, tolerance: Tolerance) -> Self {
        Self {
            me,
            tolerance,
            limits: HashMap::new(),
            directory: Directory::new(me),
            delegation: Delegation::new(now_us),
            server: QuotaServer::new(tolerance),
            client: Client::default(),
            instances: 1,
            reported_instances: None,
            trusts_own_view: false,
            has_no_predecessor: false,
            last_leased_us: HashMap::new(),
            sent_leases: VecDeque::new(),
            started_us: now_us,
            now_us,
            addresses: HashSet::new(),
            acknowledged_by: HashSet::new(),
            announced_to: HashSet::new(),
            announced_us: None,
            announce_interval_us: ANNOUNCE_INTERVAL_US,
            idle_since_us: Some(now_us),
            last_number: 0,
            pending: HashMap::new(),
            queries: HashMap::new(),
            outgoing: Vec::new(),
            decided: Vec::new(),
        }
    }

    /// Returns the latest time passed to this node. Tasks read the clock before they lock the node, so an older time
    /// may arrive after a newer one.
    fn advance(&mut self, now_us: Micros) -> Micros {
        self.now_us = self.now_us.max(now_us);
        self.now_us
    }

    /// Replaces the tolerance, which takes effect with the next configuration.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
        self.server.set_tolerance(tolerance);
    }

    /// Applies the limits of a configuration; returns those that changed.
    pub fn configure(&mut self, now_us: Micros, config: &GatewayConfig) -> Vec<LimitChange> {
        let now_us = self.advance(now_us);
        let organisations = config.organisations.iter();
        let limits: Vec<(Name, UsageLimit)> = organisations
            .filter_map(|o| Some((o.name.clone(), o.limit?)))
            .collect();
        self.server.configure(now_us, &limits);
        let limits_by_hash = limits.into_iter().map(|(name, limit)| {
            let max_grant_age_us = Bounds::new(&limit, &self.tolerance).max_grant_age_us;
            let organisation_limit = OrganisationLimit {
                name: name.clone(),
                limit,
                max_grant_age_us,
            };
            (short_hash(&name), organisation_limit)
        });
        let before = std::mem::replace(&mut self.limits, limits_by_hash.collect());
        let limits = &self.limits;
        self.client.retain(|o| limits.contains_key(&o));
        limit_changes(&before, limits)
    }

    /// Joins a group as `me`, before anything is leased.
    pub fn join(&mut self, me: Incarnation, address: u32) {
        self.me = me;
        self.directory = Directory::new(me);
        self.delegation.address = address;
    }

    /// Replaces the members, in the order in which they are to serve.
    pub fn set_members(&mut self, now_us: Micros, members: &[Incarnation]) {
        let now_us = self.advance(now_us);
        self.directory.set_candidates(now_us, members);
    }

    /// Sets the number of instances in this instance's view, including those that do not respond.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    }

    /// Records that no instance has run before this one: its own view is complete and no leases exist.
    pub fn mark_first_start(&mut self) {
        self.trusts_own_view = true;
        self.has_no_predecessor = true;
    }

    /// Records the stored number of instances; 0 if the store has none and the own view is to be used.
    pub fn restore_instance_count(&mut self, now_us: Micros, instances: u32) {
        let now_us = self.advance(now_us);
        if instances == 0 {
            self.trusts_own_view = true;
        }
        self.record_instances(now_us, instances, now_us);
    }

    /// Returns whether the number of instances is known.
    pub fn knows_instance_count(&self) -> bool {
        self.trusts_own_view || self.reported_instances.is_some()
    }

    /// Returns the number of instances in this instance's own view.
    pub fn own_instances(&self) -> u32 {
        self.instances
    }

    /// Returns whether this instance leases out its share.
    pub fn is_leasing(&self) -> bool {
        self.delegation.is_leasing()
    }

    /// Adds hashes of addresses where instances run or ran, including this one's.
    pub fn add_addresses(&mut self, addresses: impl IntoIterator<Item = u32>) {
        self.addresses.extend(addresses);
    }

    /// Returns whether this instance is the first of the quota servers.
    pub fn is_first_server(&self) -> bool {
        self.directory.servers().first() == Some(&self.me)
    }

    /// Returns the number of instances by which limits are divided: the larger of the recent reports and
    /// the own view.
    pub fn divisor(&self, now_us: Micros) -> u32 {
        let reported = self
            .recent_report(now_us)
            .map_or(0, |(reported, _)| reported);
        reported.max(self.instances)
    }

    /// Runs the periodic work: expiry, announcements, lease renewals and probes.
    pub fn tick(&mut self, now_us: Micros) {
        let now_us = self.advance(now_us);
        self.directory.refresh(now_us);
        self.server.expire(now_us);
        let is_kept = |q: &Query| now_us.saturating_sub(q.sent_us) < QUERY_RETENTION_US;
        self.queries.retain(|_, query| is_kept(query));
        for grant in self.client.take_expired(now_us) {
            self.refund(grant);
        }
        self.start_leasing_if_due(now_us);
        if !self.delegation.is_leasing() {
            self.announce_start(now_us);
        }
        self.recall_misplaced(now_us);
        let renewal_interval_us = renewal_interval_us(self.divisor(now_us));
        for server in self.directory.servers().to_vec() {
            let last_leased_us = self.last_leased_us.get(&server).copied();
            let is_due =
                last_leased_us.is_none_or(|us| now_us.saturating_sub(us) >= renewal_interval_us);
            if is_due {
                self.renew(now_us, server);
            }
        }
        for server in self.directory.excluded() {
            self.probe(now_us, server);
        }
        let is_recent = |us: &Micros| now_us.saturating_sub(*us) < QUERY_RETENTION_US;
        self.last_leased_us.retain(|_, us| is_recent(us));
    }

    /// Announces this instance's start to those that have not acknowledged it, so that they end its predecessor's
    /// leases: at once to those that are new to it, at intervals to the others.
    fn announce_start(&mut self, now_us: Micros) {
        let is_repeated = self.is_announcement_due(now_us);
        let unacknowledged = self.addresses.difference(&self.acknowledged_by);
        let is_due = |address: &&u32| is_repeated || !self.announced_to.contains(*address);
        let due: Vec<u32> = unacknowledged.filter(is_due).copied().collect();
        for address in due {
            self.announce_start_to(address);
        }
    }

    /// Returns whether the start is to be announced again, and doubles the interval if it is.
    fn is_announcement_due(&mut self, now_us: Micros) -> bool {
        if let Some(last_us) = self.announced_us {
            if now_us.saturating_sub(last_us) < self.announce_interval_us {
                return false;
            }
            self.announce_interval_us =
                (2 * self.announce_interval_us).min(MAX_ANNOUNCE_INTERVAL_US);
        }
        self.announced_us = Some(now_us);
        true
    }

    fn announce_start_to(&mut self, to: u32) {
        let address = self.delegation.address;
        self.announced_to.insert(to);
        if to != address {
            self.outgoing.push(Outgoing {
                to: Recipient::Address(to),
                message: Message::Started { address },
            });
        }
    }

    /// Starts to issue leases once all instances have acknowledged this start or its predecessor's leases have expired.
    fn start_leasing_if_due(&mut self, now_us: Micros) {
        if self.delegation.is_leasing() || !self.knows_instance_count() {
            return;
        }
        let instances = self.divisor(now_us);
        if self.has_no_predecessor || self.acknowledged_by.len() + 1 >= instances as usize {
            self.delegation.start_leasing(self.idle_since_us);
        } else if self
            .delegation
            .have_predecessor_leases_expired(now_us, instances)
        {
            self.delegation.start_leasing(None);
        } else {
            return;
        }
        self.renew_all(now_us);
    }

    /// Sends a lease to an excluded server to find out whether it answers again.
    fn probe(&mut self, now_us: Micros, server: Incarnation) {
        let last_leased_us = self.last_leased_us.get(&server).copied().unwrap_or(0);
        if now_us.saturating_sub(last_leased_us) < PROBE_INTERVAL_US {
            return;
        }
        let lease = self.lease_to(now_us, server);
        self.send(server, Message::Lease(lease));
    }

    /// Returns how long a caller may wait for a decision: a later grant is too old for it.
    pub fn max_wait_us(&self, organisation: &str) -> Micros {
        let organisation_limit = self.limits.get(&short_hash(organisation));
        organisation_limit.map_or(0, |l| l.max_grant_age_us)
    }

    /// Requests quota for a request: from late grants, by a cached denial, or by a query to a quota server.
    pub fn acquire(
        &mut self,
        now_us: Micros,
        organisation: &str,
        units: u32,
        rank: Rank,
    ) -> Acquisition {
        let now_us = self.advance(now_us);
        let organisation = short_hash(organisation);
        if !self.limits.contains_key(&organisation) {
            return Acquisition::Unlimited;
        }
        if let Some(grant) = self.client.use_late_grants(now_us, organisation, units) {
            return Acquisition::Decided(Decision::Granted(grant));
        }
        if let Some(denied) = self.client.cached_denial(now_us, organisation, units, rank) {
            return Acquisition::Decided(Decision::Denied(denied));
        }
        self.last_number += 1;
        let number = self.last_number;
        let pending = PendingRequest {
            organisation,
            units,
            rank,
            untried: account_order(self.me, number),
            last_query: None,
            open_queries: 0,
            denied: None,
        };
        self.pending.insert(number, pending);
        self.query_next(now_us, number);
        match self.decided.iter().position(|(n, _)| *n == number) {
            Some(position) => Acquisition::Decided(self.decided.swap_remove(position).1),
            None => Acquisition::Pending(number),
        }
    }

    /// Queries the next account as well for a request whose newest query is overdue, and starts over once all have been
    /// queried. Returns whether it sent a query.
    pub fn hedge(&mut self, now_us: Micros, number: u64) -> bool {
        let now_us = self.advance(now_us);
        let Some(pending) = self.pending.get_mut(&number) else {
            return false;
        };
        let is_overdue = |(server, sent_us): (Incarnation, Micros)| {
            self.directory.is_overdue(now_us, server, sent_us)
        };
        if !pending.last_query.is_some_and(is_overdue) {
            return false;
        }
        if pending.untried.is_empty() {
            pending.untried = account_order(self.me, number);
        }
        self.query_next(now_us, number);
        true
    }

    /// Removes a request whose caller no longer waits; a grant that arrives later is kept for other requests. Returns
    /// the best denial so far.
    pub fn give_up(&mut self, number: u64) -> Denied {
        let pending = self.pending.remove(&number);
        pending
            .and_then(|w| w.denied)
            .unwrap_or(unanswered_denial())
    }

    /// Returns unused units to the account that granted them.
    pub fn refund(&mut self, grant: Grant) {
        let Grant {
            organisation,
            units,
            from,
        } = grant;
        // A grant that is made up of several ones is lost, as their accounts are not known any more.
        let Some(from) = from else { return };
        let GrantSource {
            server,
            copy,
            granted_us,
        } = from;
        if server == self.me {
            let now_us = self.now_us;
            self.server
                .refund(now_us, organisation, copy, units, granted_us);
            return;
        }
        let unused = Message::Unused {
            organisation,
            copy,
            units,
            granted_us,
        };
        self.send(server, unused);
    }

    /// Handles a message from the process `from` at the address with the hash `from_address`.
    pub fn receive(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        from_address: u32,
        message: Message,
    ) {
        let now_us = self.advance(now_us);
        match message {
            Message::Lease(lease) => {
                if let Some(answer) = self.handle_lease(now_us, from, &lease) {
                    self.send(from, answer);
                }
            }
            Message::Ask {
                lease,
                number,
                organisation,
                copy,
                units,
                rank,
            } => {
                if self.handle_lease(now_us, from, &lease).is_some() {
                    let verdict = self.server.grant(now_us, organisation, copy, units, rank);
                    self.send(
                        from,
                        Message::Answer {
                            number,
                            copy,
                            verdict,
                            stamp_us: now_us.max(1),
                            count: self.count(now_us),
                        },
                    );
                }
            }
            Message::Answer {
                number,
                copy,
                verdict,
                stamp_us,
                count,
            } => {
                let query = self.queries.get(&(number, copy));
                let sent_us = query.filter(|q| !q.is_resent).map(|q| q.sent_us);
                self.directory.record_answer(now_us, from, sent_us);
                self.handle_stamp(now_us, from, stamp_us, count);
                self.handle_verdict(now_us, from, (number, copy), verdict, stamp_us);
            }
            Message::Started { address } => {
                let status = self.server.record_start(now_us, address, from);
                if let StartStatus::Replaces(ended) = status {
                    self.handle_server_end(now_us, ended);
                }
                if status != StartStatus::Superseded {
                    let ack = Message::StartAck {
                        uptime_us: now_us.saturating_sub(self.started_us),
                        saw_predecessor: self.server.saw_predecessor(address, from),
                        count: self.count(now_us),
                    };
                    self.send(from, ack);
                }
                self.addresses.insert(from_address);
                // The sender has just started, so announcements sent to it before were lost.
                let has_acknowledged = self.acknowledged_by.contains(&from_address);
                if !has_acknowledged && !self.delegation.is_leasing() {
                    self.announce_start_to(from_address);
                }
            }
            Message::StartAck {
                uptime_us,
                saw_predecessor,
                count,
            } => {
                self.record_count(now_us, count);
                self.record_start_ack(now_us, from_address, uptime_us, saw_predecessor);
            }
            Message::Leased {
                seq,
                stamp_us,
                count,
            } => {
                let sent = self.sent_leases.iter().find(|(sent, _)| *sent == seq);
                let sent_us = sent.map(|(_, at_us)| *at_us);
                self.directory.record_answer(now_us, from, sent_us);
                self.handle_stamp(now_us, from, stamp_us, count);
            }
            Message::Release {
                to,
                seq,
                partitions,
            } => {
                if to == self.me && self.server.release(now_us, from, seq, partitions) {
                    self.send(from, Message::Released { partitions, seq });
                }
            }
            Message::Released { partitions, seq } => {
                self.delegation.confirm_release(from, seq, partitions);
                self.renew_all(now_us);
            }
            Message::Unused {
                organisation,
                copy,
                units,
                granted_us,
            } => self
                .server
                .refund(now_us, organisation, copy, units, granted_us),
        }
    }

    /// Returns the messages to be sent since the last call.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns the decisions since the last call, with the numbers of their requests.
    pub fn take_decided(&mut self) -> Vec<(u64, Decision)> {
        std::mem::take(&mut self.decided)
    }

    /// Returns the state of this instance's accounts that denied requests or are less than half full, at most
    /// `max_states`.
    pub fn take_states(&mut self, now_us: Micros, max_states: usize) -> Vec<AccountState> {
        let now_us = self.advance(now_us);
        self.server.take_states(now_us, max_states)
    }

    fn handle_lease(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        lease: &Lease,
    ) -> Option<Message> {
        if lease.to != self.me
            || self.server.record_start(now_us, lease.address, from) == StartStatus::Superseded
        {
            return None;
        }
        self.record_count(now_us, lease.count);
        self.server.lease(now_us, from, lease);
        Some(Message::Leased {
            seq: lease.seq,
            stamp_us: now_us.max(1),
            count: self.count(now_us),
        })
    }

    /// Ends the leases to a process that has terminated and leases the shares anew, since it can no longer grant.
    fn handle_server_end(&mut self, now_us: Micros, ended: Incarnation) {
        self.directory.record_end(now_us, ended);
        if self.delegation.end_leases_to(ended) {
            self.renew_all(now_us);
        }
    }

    /// Records that an instance has acknowledged this start.
    fn record_start_ack(
        &mut self,
        now_us: Micros,
        address: u32,
        uptime_us: Micros,
        saw_predecessor: bool,
    ) {
        if !self.acknowledged_by.insert(address) {
            return;
        }
        // Before its own start, a predecessor at its address may have used the leases.
        let started_us = now_us.saturating_sub(uptime_us);
        let since_us = self.idle_since_us.filter(|_| !saw_predecessor);
        self.idle_since_us = since_us.map(|since_us| since_us.max(started_us));
        self.start_leasing_if_due(now_us);
    }

    fn handle_stamp(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        stamp_us: Micros,
        count: InstanceCount,
    ) {
        self.delegation.record_stamp(from, stamp_us);
        self.record_count(now_us, count);
    }

    fn record_count(&mut self, now_us: Micros, count: InstanceCount) {
        let seen_us = now_us.saturating_sub(Micros::from(count.age_ms) * 1_000);
        if count.instances > 0 {
            self.record_instances(now_us, count.instances, seen_us);
        }
    }

    /// Records that a number of instances was observed at `seen_us`.
    fn record_instances(&mut self, now_us: Micros, instances: u32, seen_us: Micros) {
        let seen = (instances, seen_us);
        let known = self.recent_report(now_us);
        self.reported_instances = known.max(Some(seen));
    }

    /// Returns the largest reported number of instances, and when it was observed, unless the report is too old.
    fn recent_report(&self, now_us: Micros) -> Option<(u32, Micros)> {
        let is_recent = |seen_us: Micros| now_us.saturating_sub(seen_us) < INSTANCE_COUNT_TTL_US;
        self.reported_instances
            .filter(|(_, at_us)| is_recent(*at_us))
    }

    /// Returns the number of instances that is sent to others.
    fn count(&self, now_us: Micros) -> InstanceCount {
        let own = Some((self.instances, now_us));
        let known = self
            .recent_report(now_us)
            .max(own)
            .filter(|_| self.knows_instance_count());
        let (instances, seen_us) = known.unwrap_or((0, now_us));
        InstanceCount {
            instances,
            age_ms: u32::try_from((now_us - seen_us) / 1_000).unwrap_or(u32::MAX),
        }
    }

    fn handle_verdict(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        key: (u64, u8),
        verdict: Verdict,
        answered_us: Micros,
    ) {
        let Some(query) = self.queries.remove(&key) else {
            return;
        };
        let (number, copy) = key;
        if verdict == Verdict::Granted {
            let grant = Grant {
                organisation: query.organisation,
                units: query.units,
                from: Some(GrantSource {
                    server: from,
                    copy,
                    granted_us: answered_us,
                }),
            };
            match query.is_redundant {
                true => self.refund(grant),
                false => self.complete_grant(now_us, number, grant, query.sent_us),
            }
            return;
        }
        let denied = match verdict {
            Verdict::Denied { wait_us, level } => Denied {
                wait_us,
                level: Some(level),
                ..unanswered_denial()
            },
            Verdict::Unleased => Denied {
                wait_us: UNLEASED_RETRY_US,
                is_unleased: true,
                ..unanswered_denial()
            },
            Verdict::Granted | Verdict::Unknown => unanswered_denial(),
        };
        self.handle_denial(now_us, number, denied);
    }

    fn complete_grant(&mut self, now_us: Micros, number: u64, grant: Grant, sent_us: Micros) {
        let Some(organisation_limit) = self.limits.get(&grant.organisation) else {
            return;
        };
        // The server accounts for a grant when it makes it, so its age counts from when the query was sent.
        let until_us = sent_us + organisation_limit.max_grant_age_us;
        match self.pending.remove(&number) {
            Some(_) if now_us <= until_us => {
                self.mark_redundant(number);
                self.decided.push((number, Decision::Granted(grant)));
            }
            Some(_) => {
                self.decided
                    .push((number, Decision::Denied(unanswered_denial())));
                self.refund(grant);
            }
            None => self.keep_late_grant(grant, until_us),
        }
    }

    /// Marks the unanswered queries of a request that has been granted, so that further grants are refunded.
    fn mark_redundant(&mut self, number: u64) {
        for copy in 0..COPIES {
            if let Some(query) = self.queries.get_mut(&(number, copy)) {
                query.is_redundant = true;
            }
        }
    }

    /// Keeps a grant for a later request of its organisation.
    fn keep_late_grant(&mut self, grant: Grant, until_us: Micros) {
        let Some(from) = grant.from else { return };
        let late_grant = LateGrant {
            units: grant.units,
            until_us,
            from,
        };
        self.client.store_late_grant(grant.organisation, late_grant);
    }

    fn handle_denial(&mut self, now_us: Micros, number: u64, denied: Denied) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        pending.open_queries = pending.open_queries.saturating_sub(1);
        let before = pending.denied;
        let is_sooner = before.is_none_or(|b| denied.wait_us < b.wait_us);
        pending.denied = if is_sooner { Some(denied) } else { before };
        if !pending.untried.is_empty() {
            self.query_next(now_us, number);
            return;
        }
        if pending.open_queries > 0 {
            return;
        }
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let denied = pending.denied.unwrap_or(denied);
        let PendingRequest {
            organisation,
            units,
            rank,
            ..
        } = pending;
        self.client
            .record_denial(now_us, organisation, units, rank, &denied);
        self.decided.push((number, Decision::Denied(denied)));
    }

    /// Queries the next account that has not been queried for a request.
    fn query_next(&mut self, now_us: Micros, number: u64) {
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        let Some(copy) = pending.untried.pop() else {
            return;
        };
        pending.open_queries += 1;
        let (organisation, units, rank) = (pending.organisation, pending.units, pending.rank);
        let server = self.directory.server_of(Partition::of(organisation, copy));
        pending.last_query = Some((server, now_us));
        let query = Query {
            organisation,
            units,
            sent_us: now_us,
            is_resent: false,
            is_redundant: false,
        };
        // The answer to the first query may still arrive, so the age of a grant counts from that one.
        let query_entry = self.queries.entry((number, copy));
        query_entry
            .and_modify(|q| q.is_resent = true)
            .or_insert(query);
        if server == self.me {
            self.renew(now_us, server);
            let verdict = self.server.grant(now_us, organisation, copy, units, rank);
            self.handle_verdict(now_us, server, (number, copy), verdict, now_us);
            return;
        }
        let lease = self.lease_to(now_us, server);
        self.directory.record_query(now_us, server);
        self.send(
            server,
            Message::Ask {
                lease,
                number,
                organisation,
                copy,
                units,
                rank,
            },
        );
    }

    fn renew_all(&mut self, now_us: Micros) {
        for server in self.directory.servers().to_vec() {
            self.renew(now_us, server);
        }
    }

    fn renew(&mut self, now_us: Micros, server: Incarnation) {
        if server == self.me {
            self.delegation.record_stamp(server, now_us.max(1));
        }
        let lease = self.lease_to(now_us, server);
        if server == self.me {
            self.server.lease(now_us, server, &lease);
            return;
        }
        self.directory.record_query(now_us, server);
        self.send(server, Message::Lease(lease));
    }

    fn lease_to(&mut self, now_us: Micros, server: Incarnation) -> Lease {
        self.last_leased_us.insert(server, now_us);
        let wanted = match self.knows_instance_count() {
            true => self.directory.partitions_of(server),
            false => PartitionSet::default(),
        };
        let count = self.count(now_us);
        let lease = self.delegation.lease(now_us, server, wanted, count);
        self.sent_leases.push_back((lease.seq, now_us));
        if self.sent_leases.len() > MAX_SENT_LEASES {
            self.sent_leases.pop_front();
        }
        lease
    }

    /// Requests the release of leases held by servers that do not serve their partitions any more.
    fn recall_misplaced(&mut self, now_us: Micros) {
        let directory = &self.directory;
        let misplaced = self
            .delegation
            .misplaced(now_us, |p| directory.server_of(p));
        for (to, partitions) in misplaced {
            let seq = self.delegation.next_seq();
            if to == self.me {
                self.server.release(now_us, to, seq, partitions);
                self.delegation.confirm_release(to, seq, partitions);
                continue;
            }
            let release = Message::Release {
                to,
                seq,
                partitions,
            };
            self.send(to, release);
        }
    }

    fn send(&mut self, to: Incarnation, message: Message) {
        let to = Recipient::Incarnation(to);
        self.outgoing.push(Outgoing { to, message });
    }
}

/// Returns the accounts in the reverse of the order in which a request queries them. Instances start with different
/// accounts.
fn account_order(me: Incarnation, number: u64) -> Vec<u8> {
    let first = (me.0.wrapping_add(number) % u64::from(COPIES)) as u8;
    let accounts = (0..COPIES).rev().map(|c| (first + c) % COPIES);
    accounts.collect()
}

fn unanswered_denial() -> Denied {
    Denied {
        wait_us: UNANSWERED_RETRY_US,
        level: None,
        is_cached: false,
        is_unleased: false,
    }
}

fn limit_changes(
    before: &HashMap<u32, OrganisationLimit>,
    after: &HashMap<u32, OrganisationLimit>,
) -> Vec<LimitChange> {
    let organisations: HashSet<u32> = before.keys().chain(after.keys()).copied().collect();
    let limit_changes = organisations.into_iter().filter_map(|organisation| {
        let (before, after) = (before.get(&organisation), after.get(&organisation));
        let name = &after.or(before)?.name;
        let change = LimitChange {
            organisation: name.clone(),
            before: before.map(|l| l.limit),
            after: after.map(|l| l.limit),
        };
        (change.before != change.after).then_some(change)
    });
    limit_changes.collect()
}
