//! One instance's part in the quota protocol: it leases its share, serves partitions, and asks for its callers.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::{
    gateway::config::{GatewayConfig, UseLimit},
    limits::quota::{
        account::{Bounds, Tolerance},
        client::{Client, Credit, Decision, Denied, Grant},
        delegation::{Delegation, renewal_us},
        directory::Directory,
        message::{InstanceCount, Lease, Message, Outgoing, Recipient, Verdict},
        partition::{COPIES, Partition, PartitionSet},
        server::{AccountState, Met, QuotaServer},
    },
    prelude::{Incarnation, Micros, Name, Rank, short_hash},
};

/// A server that is passed over is asked this often whether it answers again.
const PROBE_US: Micros = 800_000;
/// A member that has not answered a process that starts is told again after this time, and then after twice as long
/// each time.
const INTRODUCE_US: Micros = 120_000;
const MAX_INTRODUCE_US: Micros = 960_000;
/// A question without an answer is forgotten after this time.
const FORGOTTEN_US: Micros = 5_000_000;
/// How many instances somebody saw counts for this long: some may be cut off now.
const TOLD_US: Micros = 600_000_000;
/// Leases whose sending is remembered: some seconds of renewals and questions.
const MOST_SENT_LEASES: usize = 256;
/// Whoever asked a server to which nothing is leased asks again after this time.
const UNLEASED_US: Micros = 40_000;
/// Where nobody answered, callers come back after this time.
const UNANSWERED_US: Micros = 300_000;

/// How a configuration changed a limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitChange {
    /// The organisation.
    pub organisation: Name,
    /// The limit before; none if there was none.
    pub before: Option<UseLimit>,
    /// The limit from now on; none if there is none any more.
    pub after: Option<UseLimit>,
}

/// What came of beginning to ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acquisition {
    /// The organisation has no limit.
    Unlimited,
    /// It is decided.
    Decided(Decision),
    /// Servers were asked, under this number.
    Pending(u64),
}

#[derive(Debug)]
struct Limited {
    name: Name,
    limit: UseLimit,
    credit_us: Micros,
}

/// A request whose caller waits for quota.
#[derive(Debug)]
struct Waiting {
    organisation: u32,
    units: u32,
    rank: Rank,
    /// Accounts that have not been asked, since all were asked last.
    unasked: Vec<u8>,
    /// Whom the newest question was sent, and when.
    asked: Option<(Incarnation, Micros)>,
    /// Questions without an answer.
    open: u8,
    denied: Option<Denied>,
}

/// A question.
#[derive(Clone, Copy, Debug)]
struct Question {
    organisation: u32,
    units: u32,
    /// When it was sent first.
    asked_us: Micros,
    /// It was sent again: its answer says nothing of the round trip.
    is_repeated: bool,
    /// Its request was granted by another account.
    is_spare: bool,
}

/// The protocol of one instance.
#[derive(Debug)]
pub struct Node {
    me: Incarnation,
    tolerance: Tolerance,
    limits: HashMap<u32, Limited>,
    directory: Directory,
    delegation: Delegation,
    server: QuotaServer,
    client: Client,
    /// How many instances there are by the own view.
    instances: u32,
    /// The most that anybody saw, by what others or the store said, and when; none until anybody did.
    told_instances: Option<(u32, Micros)>,
    /// What the own view says counts by itself.
    is_first_start: bool,
    /// No process ran at this address before: there are no leases to end.
    has_no_predecessor: bool,
    leased_us: HashMap<Incarnation, Micros>,
    /// The newest leases that were sent, by their numbers.
    sent_leases: VecDeque<(u64, Micros)>,
    started_us: Micros,
    /// The newest time that this node was given.
    now_us: Micros,
    /// Where instances are, or were.
    addresses: HashSet<u32>,
    /// Where this start was met: nobody there holds a lease of the one before it.
    met_at: HashSet<u32>,
    introduced_us: Option<Micros>,
    introduce_after_us: Micros,
    /// Since then none of them used such a lease; none if one may have till it answered.
    idle_since_us: Option<Micros>,
    last_number: u64,
    waiting: HashMap<u64, Waiting>,
    questions: HashMap<(u64, u8), Question>,
    outgoing: Vec<Outgoing>,
    decided: Vec<(u64, Decision)>,
}

impl Node {
    /// Starts without limits, alone.
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
            told_instances: None,
            is_first_start: false,
            has_no_predecessor: false,
            leased_us: HashMap::new(),
            sent_leases: VecDeque::new(),
            started_us: now_us,
            now_us,
            addresses: HashSet::new(),
            met_at: HashSet::new(),
            introduced_us: None,
            introduce_after_us: INTRODUCE_US,
            idle_since_us: Some(now_us),
            last_number: 0,
            waiting: HashMap::new(),
            questions: HashMap::new(),
            outgoing: Vec::new(),
            decided: Vec::new(),
        }
    }

    /// Takes a time and returns the newest one. Tasks read the clock before they take this node's lock, so an older
    /// time may come after a newer one.
    fn advance(&mut self, now_us: Micros) -> Micros {
        self.now_us = self.now_us.max(now_us);
        self.now_us
    }

    /// Replaces the tolerance; it counts from the next configuration on.
    pub fn set_tolerance(&mut self, tolerance: Tolerance) {
        self.tolerance = tolerance;
        self.server.set_tolerance(tolerance);
    }

    /// Takes the limits of a configuration; returns those that changed.
    pub fn configure(&mut self, now_us: Micros, config: &GatewayConfig) -> Vec<LimitChange> {
        let now_us = self.advance(now_us);
        let organisations = config.organisations.iter();
        let limits: Vec<(Name, UseLimit)> = organisations
            .filter_map(|o| Some((o.name.clone(), o.limit?)))
            .collect();
        self.server.configure(now_us, &limits);
        let limited = limits.into_iter().map(|(name, limit)| {
            let credit_us = Bounds::new(&limit, &self.tolerance).credit_us;
            let limited = Limited {
                name: name.clone(),
                limit,
                credit_us,
            };
            (short_hash(&name), limited)
        });
        let before = std::mem::replace(&mut self.limits, limited.collect());
        let limits = &self.limits;
        self.client.retain(|o| limits.contains_key(&o));
        changes(&before, limits)
    }

    /// Joins a group as `me`, before anything is leased.
    pub fn join(&mut self, me: Incarnation, address: u32) {
        self.me = me;
        self.directory = Directory::new(me);
        self.delegation.address = address;
    }

    /// Takes the members, in the order in which they are to serve.
    pub fn set_members(&mut self, now_us: Micros, members: &[Incarnation]) {
        let now_us = self.advance(now_us);
        self.directory.set_candidates(now_us, members);
    }

    /// Takes how many instances there are, those that are silent included.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    }

    /// Notes that no instance has run before this one: its view is all there is to know, and nothing is leased.
    pub fn mark_first_start(&mut self) {
        self.is_first_start = true;
        self.has_no_predecessor = true;
    }

    /// Takes how many instances there were, as the store has it; 0 if it has no number, and the own view counts.
    pub fn restore_instance_count(&mut self, now_us: Micros, instances: u32) {
        let now_us = self.advance(now_us);
        if instances == 0 {
            self.is_first_start = true;
        }
        self.note_seen(now_us, instances, now_us);
    }

    /// Returns whether it is known how many instances there are.
    pub fn knows_instance_count(&self) -> bool {
        self.is_first_start || self.told_instances.is_some()
    }

    /// Returns how many instances there are by this one's own view.
    pub fn own_instances(&self) -> u32 {
        self.instances
    }

    /// Returns whether this instance leases its share yet.
    pub fn is_leasing(&self) -> bool {
        self.delegation.is_leasing()
    }

    /// Takes where instances are, or were, this one included; by a hash.
    pub fn add_addresses(&mut self, addresses: impl IntoIterator<Item = u32>) {
        self.addresses.extend(addresses);
    }

    /// Returns whether this instance is the first of the quota servers.
    pub fn is_first_server(&self) -> bool {
        self.directory.servers().first() == Some(&self.me)
    }

    /// Returns by how many instances limits are divided.
    pub fn divisor(&self, now_us: Micros) -> u32 {
        let told = self.told(now_us).map_or(0, |(told, _)| told);
        told.max(self.instances)
    }

    /// Does what is due by the clock.
    pub fn tick(&mut self, now_us: Micros) {
        let now_us = self.advance(now_us);
        self.directory.refresh(now_us);
        self.server.expire(now_us);
        let is_kept = |q: &Question| now_us.saturating_sub(q.asked_us) < FORGOTTEN_US;
        self.questions.retain(|_, question| is_kept(question));
        for grant in self.client.take_expired(now_us) {
            self.refund(grant);
        }
        self.begin_if_due(now_us);
        if !self.delegation.is_leasing() {
            self.introduce(now_us);
        }
        self.ask_back(now_us);
        let renewal_us = renewal_us(self.divisor(now_us));
        for server in self.directory.servers().to_vec() {
            let leased_us = self.leased_us.get(&server).copied();
            let is_due = leased_us.is_none_or(|us| now_us.saturating_sub(us) >= renewal_us);
            if is_due {
                self.renew(now_us, server);
            }
        }
        for server in self.directory.passed_over() {
            self.probe(now_us, server);
        }
        let is_recent = |us: &Micros| now_us.saturating_sub(*us) < FORGOTTEN_US;
        self.leased_us.retain(|_, us| is_recent(us));
    }

    /// Tells all instances that this one started: they end what the start before it leased.
    fn introduce(&mut self, now_us: Micros) {
        let told_us = self.introduced_us;
        if let Some(told_us) = told_us {
            if now_us.saturating_sub(told_us) < self.introduce_after_us {
                return;
            }
            self.introduce_after_us = (2 * self.introduce_after_us).min(MAX_INTRODUCE_US);
        }
        self.introduced_us = Some(now_us);
        let unmet = self.addresses.difference(&self.met_at);
        let unmet: Vec<u32> = unmet.copied().collect();
        for address in unmet {
            self.introduce_to(address);
        }
    }

    fn introduce_to(&mut self, to: u32) {
        let address = self.delegation.address;
        if to != address {
            self.outgoing.push(Outgoing {
                to: Recipient::Address(to),
                message: Message::Started { address },
            });
        }
    }

    /// Begins to lease once all that there are have met this start, or its predecessor's leases have ended.
    fn begin_if_due(&mut self, now_us: Micros) {
        if self.delegation.is_leasing() || !self.knows_instance_count() {
            return;
        }
        let instances = self.divisor(now_us);
        if self.has_no_predecessor || self.met_at.len() + 1 >= instances as usize {
            self.delegation.begin(self.idle_since_us);
        } else if self.delegation.are_earlier_over(now_us, instances) {
            self.delegation.begin(None);
        } else {
            return;
        }
        self.renew_all(now_us);
    }

    /// Asks a server that is passed over whether it answers again.
    fn probe(&mut self, now_us: Micros, server: Incarnation) {
        let leased_us = self.leased_us.get(&server).copied().unwrap_or(0);
        if now_us.saturating_sub(leased_us) < PROBE_US {
            return;
        }
        let lease = self.lease_to(now_us, server);
        self.send(server, Message::Lease(lease));
    }

    /// Returns for how long a caller may wait for an answer: a grant that comes later is not for it.
    pub fn max_wait_us(&self, organisation: &str) -> Micros {
        let limited = self.limits.get(&short_hash(organisation));
        limited.map_or(0, |l| l.credit_us)
    }

    /// Begins to ask for what a request uses.
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
        if let Some(grant) = self.client.use_credit(now_us, organisation, units) {
            return Acquisition::Decided(Decision::Granted(grant));
        }
        if let Some(wait_us) = self.client.denied_us(now_us, organisation, units, rank) {
            return Acquisition::Decided(Decision::Denied(Denied {
                wait_us,
                level: None,
                is_cached: true,
                is_unleased: false,
            }));
        }
        self.last_number += 1;
        let number = self.last_number;
        let waiting = Waiting {
            organisation,
            units,
            rank,
            unasked: accounts_from(self.me, number),
            asked: None,
            open: 0,
            denied: None,
        };
        self.waiting.insert(number, waiting);
        self.ask_next(now_us, number);
        match self.decided.iter().position(|(n, _)| *n == number) {
            Some(place) => Acquisition::Decided(self.decided.swap_remove(place).1),
            None => Acquisition::Pending(number),
        }
    }

    /// Asks the next account, too, for a request whose newest question should have been answered; all of them
    /// again once all were asked. Returns whether it asked.
    pub fn hedge(&mut self, now_us: Micros, number: u64) -> bool {
        let now_us = self.advance(now_us);
        let Some(waiting) = self.waiting.get_mut(&number) else {
            return false;
        };
        let is_overdue = |(server, asked_us): (Incarnation, Micros)| {
            self.directory.is_overdue(now_us, server, asked_us)
        };
        if !waiting.asked.is_some_and(is_overdue) {
            return false;
        }
        if waiting.unasked.is_empty() {
            waiting.unasked = accounts_from(self.me, number);
        }
        self.ask_next(now_us, number);
        true
    }

    /// Notes that a caller waits no longer; what is granted later is kept for others. Returns why there was nothing.
    pub fn give_up(&mut self, number: u64) -> Denied {
        let waiting = self.waiting.remove(&number);
        waiting.and_then(|w| w.denied).unwrap_or(unanswered())
    }

    /// Gives back what a request did not use.
    pub fn refund(&mut self, grant: Grant) {
        let Grant {
            organisation,
            units,
            from,
        } = grant;
        match from {
            Some((server, copy)) if server == self.me => {
                self.server.refund(organisation, copy, units);
            }
            Some((to, copy)) => self.send(
                to,
                Message::Unused {
                    organisation,
                    copy,
                    units,
                },
            ),
            // It came of several grants.
            None => {}
        }
    }

    /// Takes a message that came from an address.
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
                if let Some(answer) = self.take_lease(now_us, from, &lease) {
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
                if self.take_lease(now_us, from, &lease).is_some() {
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
                let question = self.questions.get(&(number, copy));
                let asked_us = question.filter(|q| !q.is_repeated).map(|q| q.asked_us);
                self.directory.answered(now_us, from, asked_us);
                self.take_stamp(now_us, from, stamp_us, count);
                self.take_verdict(now_us, from, (number, copy), verdict);
            }
            Message::Started { address } => {
                let met = self.server.meet(now_us, address, from);
                if let Met::Follows(ended) = met {
                    self.server_ended(now_us, ended);
                }
                if met != Met::Late {
                    let met = Message::Met {
                        uptime_us: now_us.saturating_sub(self.started_us),
                        met_earlier: self.server.met_earlier(address, from),
                        count: self.count(now_us),
                    };
                    self.send(from, met);
                }
                self.addresses.insert(from_address);
                // It has just started: what it was told before that is lost.
                let has_met = self.met_at.contains(&from_address);
                if !has_met && !self.delegation.is_leasing() {
                    self.introduce_to(from_address);
                }
            }
            Message::Met {
                uptime_us,
                met_earlier,
                count,
            } => {
                self.note_count(now_us, count);
                self.note_met(now_us, from_address, uptime_us, met_earlier);
            }
            Message::Leased {
                seq,
                stamp_us,
                count,
            } => {
                let sent = self.sent_leases.iter().find(|(sent, _)| *sent == seq);
                let asked_us = sent.map(|(_, at_us)| *at_us);
                self.directory.answered(now_us, from, asked_us);
                self.take_stamp(now_us, from, stamp_us, count);
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
                self.delegation.released(from, seq, partitions);
                self.renew_all(now_us);
            }
            Message::Unused {
                organisation,
                copy,
                units,
            } => self.server.refund(organisation, copy, units),
        }
    }

    /// Returns what is to be sent.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        std::mem::take(&mut self.outgoing)
    }

    /// Returns what was decided since this was asked last, by number.
    pub fn take_decided(&mut self) -> Vec<(u64, Decision)> {
        std::mem::take(&mut self.decided)
    }

    /// Returns the state of this instance's accounts that are scarce, `most` at most.
    pub fn take_states(&mut self, now_us: Micros, most: usize) -> Vec<AccountState> {
        let now_us = self.advance(now_us);
        self.server.take_states(now_us, most)
    }

    fn take_lease(&mut self, now_us: Micros, from: Incarnation, lease: &Lease) -> Option<Message> {
        if lease.to != self.me || self.server.meet(now_us, lease.address, from) == Met::Late {
            return None;
        }
        self.note_count(now_us, lease.count);
        self.server.lease(now_us, from, lease);
        Some(Message::Leased {
            seq: lease.seq,
            stamp_us: now_us.max(1),
            count: self.count(now_us),
        })
    }

    /// Takes back what is leased to a process that has ended: nobody grants from it any more.
    fn server_ended(&mut self, now_us: Micros, ended: Incarnation) {
        self.directory.ended(now_us, ended);
        if self.delegation.lessee_ended(ended) {
            self.renew_all(now_us);
        }
    }

    /// Notes that an instance has met this start.
    fn note_met(&mut self, now_us: Micros, address: u32, uptime_us: Micros, met_earlier: bool) {
        if !self.met_at.insert(address) {
            return;
        }
        // Before its start there was another one at its address.
        let started_us = now_us.saturating_sub(uptime_us);
        let since_us = self.idle_since_us.filter(|_| !met_earlier);
        self.idle_since_us = since_us.map(|since_us| since_us.max(started_us));
        self.begin_if_due(now_us);
    }

    fn take_stamp(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        stamp_us: Micros,
        count: InstanceCount,
    ) {
        self.delegation.note_stamp(from, stamp_us);
        self.note_count(now_us, count);
    }

    fn note_count(&mut self, now_us: Micros, count: InstanceCount) {
        let seen_us = now_us.saturating_sub(Micros::from(count.age_ms) * 1_000);
        if count.instances > 0 {
            self.note_seen(now_us, count.instances, seen_us);
        }
    }

    /// Notes that somebody saw as many instances at a moment.
    fn note_seen(&mut self, now_us: Micros, instances: u32, seen_us: Micros) {
        let seen = (instances, seen_us);
        let known = self.told(now_us);
        self.told_instances = known.max(Some(seen));
    }

    /// Returns the most that anybody saw within the time for which it counts.
    fn told(&self, now_us: Micros) -> Option<(u32, Micros)> {
        let is_recent = |seen_us: Micros| now_us.saturating_sub(seen_us) < TOLD_US;
        self.told_instances.filter(|(_, at_us)| is_recent(*at_us))
    }

    /// Returns how many instances others are told that there are.
    fn count(&self, now_us: Micros) -> InstanceCount {
        let own = Some((self.instances, now_us));
        let known = self
            .told(now_us)
            .max(own)
            .filter(|_| self.knows_instance_count());
        let (instances, seen_us) = known.unwrap_or((0, now_us));
        InstanceCount {
            instances,
            age_ms: u32::try_from((now_us - seen_us) / 1_000).unwrap_or(u32::MAX),
        }
    }

    fn take_verdict(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        key: (u64, u8),
        verdict: Verdict,
    ) {
        let Some(question) = self.questions.remove(&key) else {
            return;
        };
        let (number, copy) = key;
        if verdict == Verdict::Granted {
            let grant = Grant {
                organisation: question.organisation,
                units: question.units,
                from: Some((from, copy)),
            };
            match question.is_spare {
                true => self.refund(grant),
                false => self.granted(now_us, number, grant, question.asked_us),
            }
            return;
        }
        let denied = match verdict {
            Verdict::Denied { wait_us, level } => Denied {
                wait_us,
                level: Some(level),
                ..unanswered()
            },
            Verdict::Unleased => Denied {
                wait_us: UNLEASED_US,
                is_unleased: true,
                ..unanswered()
            },
            Verdict::Granted | Verdict::Unknown => unanswered(),
        };
        self.denied(now_us, number, denied);
    }

    fn granted(&mut self, now_us: Micros, number: u64, grant: Grant, asked_us: Micros) {
        let Some(limited) = self.limits.get(&grant.organisation) else {
            return;
        };
        // A grant counts for its server when it was made: one that comes late is no more than that.
        let until_us = asked_us + limited.credit_us;
        match self.waiting.remove(&number) {
            Some(_) if now_us <= until_us => {
                self.mark_spare(number);
                self.decided.push((number, Decision::Granted(grant)));
            }
            Some(_) => {
                self.decided.push((number, Decision::Denied(unanswered())));
                self.refund(grant);
            }
            None => self.keep(grant, until_us),
        }
    }

    /// Marks the open questions of a request that was granted: what they bring is not needed.
    fn mark_spare(&mut self, number: u64) {
        for copy in 0..COPIES {
            if let Some(question) = self.questions.get_mut(&(number, copy)) {
                question.is_spare = true;
            }
        }
    }

    /// Keeps a grant for a later request of its organisation.
    fn keep(&mut self, grant: Grant, until_us: Micros) {
        let Some(from) = grant.from else { return };
        let credit = Credit {
            units: grant.units,
            until_us,
            from,
        };
        self.client.keep(grant.organisation, credit);
    }

    fn denied(&mut self, now_us: Micros, number: u64, denied: Denied) {
        let Some(waiting) = self.waiting.get_mut(&number) else {
            return;
        };
        waiting.open = waiting.open.saturating_sub(1);
        let before = waiting.denied;
        let sooner = before.is_none_or(|b| denied.wait_us < b.wait_us);
        waiting.denied = if sooner { Some(denied) } else { before };
        if !waiting.unasked.is_empty() {
            self.ask_next(now_us, number);
            return;
        }
        if waiting.open > 0 {
            return;
        }
        let Some(waiting) = self.waiting.remove(&number) else {
            return;
        };
        let denied = waiting.denied.unwrap_or(denied);
        let until_us = now_us + denied.wait_us;
        let Waiting {
            organisation,
            units,
            rank,
            ..
        } = waiting;
        if !denied.is_unleased {
            self.client
                .note_denied(now_us, organisation, units, rank, until_us);
        }
        self.decided.push((number, Decision::Denied(denied)));
    }

    /// Asks the next account that a request has not asked.
    fn ask_next(&mut self, now_us: Micros, number: u64) {
        let Some(waiting) = self.waiting.get_mut(&number) else {
            return;
        };
        let Some(copy) = waiting.unasked.pop() else {
            return;
        };
        waiting.open += 1;
        let (organisation, units, rank) = (waiting.organisation, waiting.units, waiting.rank);
        let server = self.directory.server_of(Partition::of(organisation, copy));
        waiting.asked = Some((server, now_us));
        let question = Question {
            organisation,
            units,
            asked_us: now_us,
            is_repeated: false,
            is_spare: false,
        };
        // The answer to the first may come yet: a grant is as old as that.
        let asked = self.questions.entry((number, copy));
        asked
            .and_modify(|q| q.is_repeated = true)
            .or_insert(question);
        if server == self.me {
            self.renew(now_us, server);
            let verdict = self.server.grant(now_us, organisation, copy, units, rank);
            self.take_verdict(now_us, server, (number, copy), verdict);
            return;
        }
        let lease = self.lease_to(now_us, server);
        self.directory.asked(now_us, server);
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
            self.delegation.note_stamp(server, now_us.max(1));
        }
        let lease = self.lease_to(now_us, server);
        if server == self.me {
            self.server.lease(now_us, server, &lease);
            return;
        }
        self.directory.asked(now_us, server);
        self.send(server, Message::Lease(lease));
    }

    fn lease_to(&mut self, now_us: Micros, server: Incarnation) -> Lease {
        self.leased_us.insert(server, now_us);
        let wanted = match self.knows_instance_count() {
            true => self.directory.partitions_of(server),
            false => PartitionSet::default(),
        };
        let count = self.count(now_us);
        let lease = self.delegation.lease(now_us, server, wanted, count);
        self.sent_leases.push_back((lease.seq, now_us));
        if self.sent_leases.len() > MOST_SENT_LEASES {
            self.sent_leases.pop_front();
        }
        lease
    }

    /// Asks for leases back that are with others than those who serve their partitions now.
    fn ask_back(&mut self, now_us: Micros) {
        let directory = &self.directory;
        let misplaced = self
            .delegation
            .misplaced(now_us, |p| directory.server_of(p));
        for (to, partitions) in misplaced {
            let seq = self.delegation.next_seq();
            if to == self.me {
                self.server.release(now_us, to, seq, partitions);
                self.delegation.released(to, seq, partitions);
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

/// Returns the accounts in the order in which a request asks them, the first last. Instances begin with different ones.
fn accounts_from(me: Incarnation, number: u64) -> Vec<u8> {
    let first = (me.0.wrapping_add(number) % u64::from(COPIES)) as u8;
    let accounts = (0..COPIES).rev().map(|c| (first + c) % COPIES);
    accounts.collect()
}

fn unanswered() -> Denied {
    Denied {
        wait_us: UNANSWERED_US,
        level: None,
        is_cached: false,
        is_unleased: false,
    }
}

fn changes(before: &HashMap<u32, Limited>, after: &HashMap<u32, Limited>) -> Vec<LimitChange> {
    let organisations: HashSet<u32> = before.keys().chain(after.keys()).copied().collect();
    let changes = organisations.into_iter().filter_map(|organisation| {
        let (before, after) = (before.get(&organisation), after.get(&organisation));
        let name = &after.or(before)?.name;
        let change = LimitChange {
            organisation: name.clone(),
            before: before.map(|l| l.limit),
            after: after.map(|l| l.limit),
        };
        (change.before != change.after).then_some(change)
    });
    changes.collect()
}
