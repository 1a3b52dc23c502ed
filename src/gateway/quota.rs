//! Asks quota servers for what requests use of organisations' limits, and serves those that ask this instance.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{Notify, oneshot},
    time,
};

use crate::{
    gateway::{config::GatewayConfig, protocol::Protocol, reserver::Word, state::Gateway},
    limits::quota::{
        AccountState, Acquisition, Decision, Denied, Grant, LimitChange, Message, Node, Outgoing,
        Recipient, Tolerance,
    },
    peers::view::{Member, View},
    prelude::{Incarnation, Micros, Rank, short_hash},
};

/// After this time it is looked whether another server of an organisation is to be asked, too, and then after twice as
/// long each time.
const HEDGE: Duration = Duration::from_millis(40);
/// Starts remembered that are not in the view.
const MOST_STARTS: usize = 4_096;
/// A request waits for quota that is due within this time.
const MAX_HOLD: Duration = Duration::from_millis(80);
/// And for this long while leases are moving.
const MAX_UNLEASED_HOLD: Duration = Duration::from_millis(400);
/// A caller waits for quota for this part of its time at most.
const PATIENCE_PART: Micros = 2;

struct State {
    node: Node,
    /// It was noted that this instance leases its share.
    has_begun: bool,
    view: Arc<View>,
    /// Where instances are or were, by the hash of their addresses.
    addresses: HashMap<u32, IpAddr>,
    /// Those that spoke before they were in the view.
    starts: HashMap<Incarnation, IpAddr>,
    /// Callers that wait, by the number of their question.
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
}

/// What an instance needs to ask for quota and to grant it.
pub struct Quota {
    state: Mutex<State>,
    /// This instance leases its share.
    begun: Notify,
}

/// A question whose caller waits; it is given up when this is dropped.
struct Waiting<'q> {
    quota: &'q Quota,
    number: u64,
    decision: oneshot::Receiver<Decision>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut state = self.quota.lock();
        if state.waiting.remove(&self.number).is_some() {
            state.node.give_up(self.number);
        }
    }
}

impl Quota {
    /// Starts alone and without limits.
    pub fn new(now_us: Micros, tolerance: Tolerance) -> Self {
        // Until it joins a group, any start will do.
        let node = Node::new(now_us, Incarnation(1), tolerance);
        Self {
            state: Mutex::new(State {
                node,
                has_begun: false,
                view: Arc::default(),
                addresses: HashMap::new(),
                starts: HashMap::new(),
                waiting: HashMap::new(),
            }),
            begun: Notify::new(),
        }
    }

    /// Joins a group as `me`.
    pub fn join(&self, me: Incarnation, address: IpAddr) {
        self.lock().node.join(me, address_hash(address));
    }

    /// Replaces the tolerance; it counts from the next configuration on.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        self.lock().node.set_tolerance(tolerance);
    }

    /// Takes the limits of a configuration; returns those that changed.
    pub fn configure(&self, now_us: Micros, config: &GatewayConfig) -> Vec<LimitChange> {
        self.lock().node.configure(now_us, config)
    }

    /// Sets how many instances there may be, heard or not.
    pub fn set_instances(&self, instances: usize) {
        self.lock().node.set_instances(instances);
    }

    /// Sets who is there.
    pub fn set_view(&self, now_us: Micros, view: &Arc<View>) {
        let mut state = self.lock();
        if Arc::ptr_eq(&state.view, view) {
            return;
        }
        state.view.clone_from(view);
        let servers = view.chosen("quota", usize::MAX, Member::can_lead);
        let servers: Vec<Incarnation> = servers.iter().map(|m| m.info.incarnation).collect();
        state.node.set_members(now_us, &servers);
    }

    /// Returns whether this instance still has to meet the others before it leases its share.
    pub fn meets_others(&self) -> bool {
        let mut state = self.lock();
        let has_begun = state.node.is_leasing();
        if has_begun {
            state.starts.clear();
        }
        !has_begun
    }

    /// Takes where instances are, or were, until this one leases its share.
    pub fn set_addresses(&self, addresses: impl Iterator<Item = IpAddr>) {
        let mut state = self.lock();
        let hashed: Vec<(u32, IpAddr)> = addresses.map(|ip| (address_hash(ip), ip)).collect();
        state
            .node
            .add_addresses(hashed.iter().map(|(hash, _)| *hash));
        state.addresses.extend(hashed);
    }

    /// Notes that no instance has run before this one.
    pub fn first_start(&self) {
        self.lock().node.mark_first_start();
    }

    /// Takes how many instances there were, as the store has it; 0 if it has no number.
    pub fn remember_instances(&self, now_us: Micros, instances: u32) {
        self.lock().node.restore_instance_count(now_us, instances);
    }

    /// Returns whether it is known how many instances there are.
    pub fn knows_instances(&self) -> bool {
        self.lock().node.knows_instance_count()
    }

    /// Returns how many instances there are by this one's own view.
    pub fn own_instances(&self) -> u32 {
        self.lock().node.own_instances()
    }

    /// Returns whether this instance is the first of the quota servers.
    pub fn serves_first(&self) -> bool {
        self.lock().node.is_first_server()
    }

    /// Returns by how many instances limits are divided.
    pub fn divisor(&self, now_us: Micros) -> u32 {
        self.lock().node.divisor(now_us)
    }

    /// Returns the state of the accounts that are scarce, `most` at most.
    pub fn take_states(&self, now_us: Micros, most: usize) -> Vec<AccountState> {
        self.lock().node.take_states(now_us, most)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every step leaves the state whole, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Hands decisions to the callers that wait for them, and returns what is to be sent to whom.
    fn take_outgoing(&self) -> Vec<(IpAddr, Message)> {
        let mut state = self.lock();
        for (number, decision) in state.node.take_decided() {
            let waiting = state.waiting.remove(&number);
            // A caller that has just left is noticed when its question is dropped.
            let unheard = waiting.and_then(|waiting| waiting.send(decision).err());
            if let Some(Decision::Granted(grant)) = unheard {
                state.node.refund(grant);
            }
        }
        let outgoing = state.node.take_outgoing();
        let view = state.view.clone();
        let starts = &state.starts;
        let addresses = &state.addresses;
        let addressed = outgoing.into_iter().filter_map(|Outgoing { to, message }| {
            let ip = match to {
                Recipient::Address(address) => *addresses.get(&address)?,
                Recipient::Incarnation(start) => match view.member(start) {
                    Some(member) => member.info.peer_addr.ip(),
                    None => *starts.get(&start)?,
                },
            };
            Some((ip, message))
        });
        addressed.collect()
    }

    /// Wakes those that wait until this instance leases its share.
    fn notify_if_begun(&self, now_us: Micros) {
        let mut state = self.lock();
        if state.has_begun || !state.node.is_leasing() {
            return;
        }
        state.has_begun = true;
        log::info!(target: "ryevalve::process", after_ms = now_us / 1_000; "quota_leases_begun");
        self.begun.notify_waiters();
    }

    fn begin(
        &self,
        now_us: Micros,
        organisation: &str,
        units: u32,
        rank: Rank,
    ) -> Result<Acquisition, Waiting<'_>> {
        let mut state = self.lock();
        match state.node.acquire(now_us, organisation, units, rank) {
            Acquisition::Pending(number) => {
                let (sender, decision) = oneshot::channel();
                state.waiting.insert(number, sender);
                Err(Waiting {
                    quota: self,
                    number,
                    decision,
                })
            }
            begun => Ok(begun),
        }
    }
}

/// Takes what a request uses from its organisation's limit; none if the organisation has none.
///
/// # Errors
/// There is none left, or no server answered in time.
pub(super) async fn acquire<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: &str,
    units: u32,
    rank: Rank,
    allowed_us: Micros,
) -> Result<Option<Grant>, Denied> {
    let patience_us = gateway.quota.lock().node.max_wait_us(organisation);
    let patience = Duration::from_micros(patience_us.min(allowed_us / PATIENCE_PART));
    let until = time::Instant::now() + patience;
    if !gateway.quota.lock().node.is_leasing() {
        // Where all have just started, there is nothing yet, and will be in a moment.
        let begun = gateway.quota.begun.notified();
        // What comes of it is looked at next.
        let _ = time::timeout_at(until, begun).await;
    }
    let begun = time::Instant::now();
    loop {
        let asked = ask(gateway, organisation, units, rank, until).await;
        let Err(denied) = asked else { return asked };
        let hold = match denied.is_unleased {
            true => MAX_UNLEASED_HOLD,
            false => MAX_HOLD,
        };
        let again = time::Instant::now() + Duration::from_micros(denied.wait_us);
        if again > until.min(begun + hold) {
            return Err(denied);
        }
        time::sleep_until(again).await;
    }
}

/// Asks once.
async fn ask<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: &str,
    units: u32,
    rank: Rank,
    until: time::Instant,
) -> Result<Option<Grant>, Denied> {
    let now_us = gateway.clock.now_us();
    let begun = gateway.quota.begin(now_us, organisation, units, rank);
    flush(gateway).await;
    match begun {
        Ok(Acquisition::Decided(Decision::Granted(grant))) => Ok(Some(grant)),
        Ok(Acquisition::Decided(Decision::Denied(denied))) => Err(denied),
        Ok(Acquisition::Unlimited | Acquisition::Pending(_)) => Ok(None),
        Err(mut waiting) => {
            gateway.metrics.quota_asked.inc();
            wait(gateway, &mut waiting, until).await.map(Some)
        }
    }
}

async fn wait<P: Protocol>(
    gateway: &Gateway<P>,
    waiting: &mut Waiting<'_>,
    until: time::Instant,
) -> Result<Grant, Denied> {
    let mut pause = HEDGE;
    while time::Instant::now() < until {
        let next = until.min(time::Instant::now() + pause);
        if let Ok(Ok(decision)) = time::timeout_at(next, &mut waiting.decision).await {
            return decided(decision);
        }
        let now_us = gateway.clock.now_us();
        if gateway.quota.lock().node.hedge(now_us, waiting.number) {
            gateway.metrics.quota_hedged.inc();
            flush(gateway).await;
        }
        pause *= 2;
    }
    gateway.metrics.quota_unanswered.inc();
    let mut state = gateway.quota.lock();
    state.waiting.remove(&waiting.number);
    Err(state.node.give_up(waiting.number))
}

fn address_hash(address: IpAddr) -> u32 {
    match address {
        IpAddr::V4(v4) => v4.to_bits(),
        IpAddr::V6(v6) => short_hash(&v6.to_string()),
    }
}

fn decided(decision: Decision) -> Result<Grant, Denied> {
    match decision {
        Decision::Granted(grant) => Ok(grant),
        Decision::Denied(denied) => Err(denied),
    }
}

/// Gives back what a request took and did not use.
pub(super) async fn give_back<P: Protocol>(gateway: &Gateway<P>, grant: Grant) {
    gateway.metrics.quota_unused.inc();
    gateway.quota.lock().node.refund(grant);
    flush(gateway).await;
}

/// Takes another instance's message.
pub(super) async fn take<P: Protocol>(
    gateway: &Gateway<P>,
    from: Incarnation,
    ip: IpAddr,
    message: Message,
) {
    let now_us = gateway.clock.now_us();
    {
        let mut state = gateway.quota.lock();
        if state.view.member(from).is_none() && state.starts.len() < MOST_STARTS {
            state.starts.insert(from, ip);
        }
        let address = address_hash(ip);
        if matches!(message, Message::Started { .. }) {
            state.addresses.insert(address, ip);
        }
        state.node.receive(now_us, from, address, message);
    }
    gateway.quota.notify_if_begun(now_us);
    flush(gateway).await;
}

/// Does what is due by the clock.
pub(super) async fn tick<P: Protocol>(gateway: &Gateway<P>) {
    let now_us = gateway.clock.now_us();
    gateway.quota.lock().node.tick(now_us);
    gateway.quota.notify_if_begun(now_us);
    flush(gateway).await;
}

async fn flush<P: Protocol>(gateway: &Gateway<P>) {
    let outgoing = gateway.quota.take_outgoing();
    let Some(channel) = gateway.reserver.channel() else {
        return;
    };
    for (to, message) in outgoing {
        channel.send(to, 0, Word::Quota(message)).await;
    }
}
