//! Acquires quota for requests from the servers of organisations' limits, and serves quota to other instances.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::oneshot, time};

use crate::{
    gateway::{
        config::{GatewayConfig, Route},
        protocol::Protocol,
        reservation_client::DirectMessage,
        state::Gateway,
    },
    limits::quota::{
        AccountState, Acquisition, Decision, Denied, Grant, LimitChange, Message, Node, Outgoing,
        Recipient, Tolerance,
    },
    limits::release::{MAX_RELEASE_MS, Release, Ticket, room},
    peers::view::{Member, View},
    prelude::{Incarnation, Micros, Name, Rank, short_hash},
};

/// How long to wait for a decision before a hedged request may go to another server of the organisation. The delay
/// doubles each time.
const HEDGE_DELAY: Duration = Duration::from_millis(40);
/// The most senders outside the membership view whose addresses are kept.
const MAX_UNKNOWN_SENDERS: usize = 4_096;
/// A request waits for quota that becomes available within this time.
const MAX_WAIT: Duration = Duration::from_millis(80);
/// The same while leases move between servers.
const MAX_UNLEASED_WAIT: Duration = Duration::from_millis(400);
/// A caller waits for quota for at most its remaining time divided by this.
const WAIT_DIVISOR: Micros = 2;

struct State {
    node: Node,
    /// When this instance started to lease its share; none before.
    leasing_since_us: Option<Micros>,
    /// The callers that wait for the start of leases, by service.
    releases: HashMap<Name, Release>,
    released: HashMap<(Name, Ticket), oneshot::Sender<()>>,
    view: Arc<View>,
    /// Current and former addresses of instances, by their hash.
    addresses: HashMap<u32, IpAddr>,
    /// Addresses of senders that were not in the view when their message arrived.
    unknown_senders: HashMap<Incarnation, IpAddr>,
    /// Waiting callers, by the number of their quota request.
    waiting: HashMap<u64, oneshot::Sender<Decision>>,
}

/// The state for acquiring and granting quota.
pub struct Quota {
    state: Mutex<State>,
}

/// A caller that waits for the start of leases. Dropping it gives up its place.
struct WaitingForLeases<'q> {
    quota: &'q Quota,
    service: Name,
    ticket: Ticket,
    released: oneshot::Receiver<()>,
}

impl Drop for WaitingForLeases<'_> {
    fn drop(&mut self) {
        let mut state = self.quota.lock();
        let service = self.service.clone();
        if state.released.remove(&(service, self.ticket)).is_some()
            && let Some(release) = state.releases.get_mut(&self.service)
        {
            release.leave(self.ticket);
        }
    }
}

/// A quota request whose caller waits. Dropping it cancels the request.
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
    /// Creates the state of an instance that is alone and has no limits configured.
    pub fn new(now_us: Micros, tolerance: Tolerance) -> Self {
        // Any incarnation will do until this instance joins a cluster.
        let node = Node::new(now_us, Incarnation(1), tolerance);
        Self {
            state: Mutex::new(State {
                node,
                leasing_since_us: None,
                releases: HashMap::new(),
                released: HashMap::new(),
                view: Arc::default(),
                addresses: HashMap::new(),
                unknown_senders: HashMap::new(),
                waiting: HashMap::new(),
            }),
        }
    }

    /// Joins a cluster as `me`.
    pub fn join(&self, me: Incarnation, address: IpAddr) {
        self.lock().node.join(me, address_hash(address));
    }

    /// Replaces the tolerance; it takes effect with the next configuration.
    pub fn set_tolerance(&self, tolerance: Tolerance) {
        self.lock().node.set_tolerance(tolerance);
    }

    /// Applies the limits of a configuration; returns those that changed.
    pub fn configure(&self, now_us: Micros, config: &GatewayConfig) -> Vec<LimitChange> {
        self.lock().node.configure(now_us, config)
    }

    /// Sets how many instances there may be, unreachable ones included.
    pub fn set_instances(&self, instances: usize) {
        self.lock().node.set_instances(instances);
    }

    /// Sets the membership view.
    pub fn set_view(&self, now_us: Micros, view: &Arc<View>) {
        let mut state = self.lock();
        if Arc::ptr_eq(&state.view, view) {
            return;
        }
        state.view.clone_from(view);
        let servers = view.rank_members("quota", usize::MAX, Member::can_lead);
        let servers: Vec<Incarnation> = servers.iter().map(|m| m.info.incarnation).collect();
        state.node.set_members(now_us, &servers);
    }

    /// Returns whether this instance still has to introduce itself to the others before it leases its share.
    pub fn is_bootstrapping(&self) -> bool {
        let mut state = self.lock();
        let is_leasing = state.node.is_leasing();
        if is_leasing {
            state.unknown_senders.clear();
        }
        !is_leasing
    }

    /// Adds current and former addresses of instances. They are needed until this one leases its share.
    pub fn add_addresses(&self, addresses: impl Iterator<Item = IpAddr>) {
        let mut state = self.lock();
        let hashed: Vec<(u32, IpAddr)> = addresses.map(|ip| (address_hash(ip), ip)).collect();
        state
            .node
            .add_addresses(hashed.iter().map(|(hash, _)| *hash));
        state.addresses.extend(hashed);
    }

    /// Records that no instance of the deployment has run before this one.
    pub fn mark_first_start(&self) {
        self.lock().node.mark_first_start();
    }

    /// Restores the instance count that the store holds; 0 if it holds none.
    pub fn restore_instance_count(&self, now_us: Micros, instances: u32) {
        self.lock().node.restore_instance_count(now_us, instances);
    }

    /// Returns whether the instance count is known.
    pub fn knows_instance_count(&self) -> bool {
        self.lock().node.knows_instance_count()
    }

    /// Returns the instance count by this instance's own view.
    pub fn own_instances(&self) -> u32 {
        self.lock().node.own_instances()
    }

    /// Returns whether this instance is the first of the quota servers.
    pub fn is_first_server(&self) -> bool {
        self.lock().node.is_first_server()
    }

    /// Returns the number of instances by which limits are divided.
    pub fn divisor(&self, now_us: Micros) -> u32 {
        self.lock().node.divisor(now_us)
    }

    /// Returns the states of at most `max` accounts that denied requests or are less than half full, and resets their
    /// counts of denials.
    pub fn take_states(&self, now_us: Micros, max: usize) -> Vec<AccountState> {
        self.lock().node.take_states(now_us, max)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No critical section can leave the state inconsistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Delivers decisions to the waiting callers.
    fn deliver_decisions(&self) {
        let mut state = self.lock();
        for (number, decision) in state.node.take_decided() {
            let waiting = state.waiting.remove(&number);
            // A caller that has just left is cleaned up when its `Waiting` is dropped.
            let undelivered = waiting.and_then(|waiting| waiting.send(decision).err());
            if let Some(Decision::Granted(grant)) = undelivered {
                state.node.refund(grant);
            }
        }
    }

    /// Returns the outgoing messages with their addresses.
    fn take_outgoing(&self) -> Vec<(IpAddr, Message)> {
        let mut state = self.lock();
        let outgoing = state.node.take_outgoing();
        let view = state.view.clone();
        let unknown_senders = &state.unknown_senders;
        let addresses = &state.addresses;
        let addressed = outgoing.into_iter().filter_map(|Outgoing { to, message }| {
            let ip = match to {
                Recipient::Address(address) => *addresses.get(&address)?,
                Recipient::Incarnation(incarnation) => match view.member(incarnation) {
                    Some(member) => member.info.peer_addr.ip(),
                    None => *unknown_senders.get(&incarnation)?,
                },
            };
            Some((ip, message))
        });
        addressed.collect()
    }

    /// Records the start of leases.
    fn note_leasing(&self, now_us: Micros) {
        let mut state = self.lock();
        if state.leasing_since_us.is_some() || !state.node.is_leasing() {
            return;
        }
        state.leasing_since_us = Some(now_us);
        let waiting = state.released.len();
        log::info!(
            target: "ryevalve::process", after_ms = now_us / 1_000, waiting;
            "quota_leases_begun"
        );
    }

    /// Adds a caller to those that wait for the start of leases; none if it need not wait.
    fn wait_for_leases(
        &self,
        service: &Name,
        organisation: &Name,
        rank: Rank,
    ) -> Option<WaitingForLeases<'_>> {
        let mut state = self.lock();
        let is_first = state.releases.get(service).is_none_or(Release::is_empty);
        if state.leasing_since_us.is_some() && is_first {
            return None;
        }
        let release = state.releases.entry(service.clone()).or_default();
        let ticket = release.enter(organisation, rank);
        let (sender, released) = oneshot::channel();
        state.released.insert((service.clone(), ticket), sender);
        Some(WaitingForLeases {
            quota: self,
            service: service.clone(),
            ticket,
            released,
        })
    }

    /// Returns the services for which callers wait to be let in, once leases have started, and whether they have waited
    /// long enough.
    fn services_to_release(&self, now_us: Micros) -> (Vec<Name>, bool) {
        let mut state = self.lock();
        let Some(since_us) = state.leasing_since_us else {
            return (Vec::new(), false);
        };
        state.releases.retain(|_, release| !release.is_empty());
        let is_over = now_us.saturating_sub(since_us) >= MAX_RELEASE_MS * 1_000;
        (state.releases.keys().cloned().collect(), is_over)
    }

    fn let_in(&self, service: &Name, room: usize) {
        let mut state = self.lock();
        let tickets = match state.releases.get_mut(service) {
            Some(release) => release.take(room),
            None => return,
        };
        for ticket in tickets {
            if let Some(sender) = state.released.remove(&(service.clone(), ticket)) {
                // A caller that has just left needs no place.
                let _ = sender.send(());
            }
        }
    }

    fn try_acquire(
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
            other => Ok(other),
        }
    }
}

/// Returns until when a caller may wait for quota, by a share of `allowed_us`, its remaining time.
pub(super) fn wait_until<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: &str,
    allowed_us: Micros,
) -> time::Instant {
    let max_wait_us = gateway.quota.lock().node.max_wait_us(organisation);
    time::Instant::now() + Duration::from_micros(max_wait_us.min(allowed_us / WAIT_DIVISOR))
}

/// Waits until this instance leases its share, and then for its turn: when all instances have just started, no quota is
/// leased yet, but it will be shortly, and the endpoints cannot run all who waited at once.
pub(super) async fn wait_for_leases<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: &str,
    route: &Route,
    until: time::Instant,
) {
    let Some(target) = route.targets.iter().max_by_key(|target| target.weight) else {
        return;
    };
    let organisation = Name::from(organisation);
    let quota = &gateway.quota;
    let waiting = quota.wait_for_leases(&target.service, &organisation, route.priority);
    if let Some(mut waiting) = waiting {
        gateway.metrics.quota_held.inc();
        // On a timeout the attempt to acquire quota reports the outcome.
        let _ = time::timeout_at(until, &mut waiting.released).await;
    }
}

/// Lets in callers that waited for the start of leases, as far as the endpoints have room for them.
fn let_in<P: Protocol>(gateway: &Gateway<P>, now_us: Micros) {
    let (services, is_over) = gateway.quota.services_to_release(now_us);
    for service in services {
        let room = match is_over {
            true => usize::MAX,
            false => {
                let balancer = gateway.balancer();
                let free_slots = balancer.free_slots(now_us, &service);
                let instances = gateway.instance_counts().all;
                room(free_slots, instances, balancer.waiting_for(&service))
            }
        };
        gateway.quota.let_in(&service, room);
    }
}

/// Acquires `units` of an organisation's limit for a request of priority `rank`. Returns `None` if the organisation has
/// no limit. The wait ends at `until`.
///
/// # Errors
/// Fails if no quota is left or no server answers in time.
pub(super) async fn acquire<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: &str,
    units: u32,
    rank: Rank,
    until: time::Instant,
) -> Result<Option<Grant>, Denied> {
    let started = time::Instant::now();
    loop {
        let result = acquire_once(gateway, organisation, units, rank, until).await;
        let Err(denied) = result else { return result };
        let hold = match denied.is_unleased {
            true => MAX_UNLEASED_WAIT,
            false => MAX_WAIT,
        };
        let retry_at = time::Instant::now() + Duration::from_micros(denied.wait_us);
        if retry_at > until.min(started + hold) {
            return Err(denied);
        }
        time::sleep_until(retry_at).await;
    }
}

/// Makes one attempt to acquire quota, waiting for the decision at most until `until`.
async fn acquire_once<P: Protocol>(
    gateway: &Gateway<P>,
    organisation: &str,
    units: u32,
    rank: Rank,
    until: time::Instant,
) -> Result<Option<Grant>, Denied> {
    let now_us = gateway.clock.now_us();
    let attempt = gateway.quota.try_acquire(now_us, organisation, units, rank);
    flush(gateway).await;
    match attempt {
        Ok(Acquisition::Decided(Decision::Granted(grant))) => Ok(Some(grant)),
        Ok(Acquisition::Decided(Decision::Denied(denied))) => Err(denied),
        Ok(Acquisition::Unlimited | Acquisition::Pending(_)) => Ok(None),
        Err(mut waiting) => {
            gateway.metrics.quota_asked.inc();
            wait_for_decision(gateway, &mut waiting, until)
                .await
                .map(Some)
        }
    }
}

async fn wait_for_decision<P: Protocol>(
    gateway: &Gateway<P>,
    waiting: &mut Waiting<'_>,
    until: time::Instant,
) -> Result<Grant, Denied> {
    let mut delay = HEDGE_DELAY;
    while time::Instant::now() < until {
        let next = until.min(time::Instant::now() + delay);
        if let Ok(Ok(decision)) = time::timeout_at(next, &mut waiting.decision).await {
            return into_result(decision);
        }
        let now_us = gateway.clock.now_us();
        if gateway.quota.lock().node.hedge(now_us, waiting.number) {
            gateway.metrics.quota_hedged.inc();
            flush(gateway).await;
        }
        delay *= 2;
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

fn into_result(decision: Decision) -> Result<Grant, Denied> {
    match decision {
        Decision::Granted(grant) => Ok(grant),
        Decision::Denied(denied) => Err(denied),
    }
}

/// Returns quota that a request acquired and did not use.
pub(super) async fn release<P: Protocol>(gateway: &Gateway<P>, grant: Grant) {
    gateway.metrics.quota_unused.inc();
    gateway.quota.lock().node.refund(grant);
    flush(gateway).await;
}

/// Handles a message from another instance.
pub(super) async fn receive<P: Protocol>(
    gateway: &Gateway<P>,
    from: Incarnation,
    ip: IpAddr,
    message: Message,
) {
    let now_us = gateway.clock.now_us();
    {
        let mut state = gateway.quota.lock();
        if state.view.member(from).is_none() && state.unknown_senders.len() < MAX_UNKNOWN_SENDERS {
            state.unknown_senders.insert(from, ip);
        }
        let address = address_hash(ip);
        if matches!(message, Message::Started { .. }) {
            state.addresses.insert(address, ip);
        }
        state.node.receive(now_us, from, address, message);
    }
    gateway.quota.note_leasing(now_us);
    flush(gateway).await;
}

/// Runs the actions of the quota protocol that are due, such as lease renewals and the expiry of old state.
pub(super) async fn tick<P: Protocol>(gateway: &Gateway<P>) {
    let now_us = gateway.clock.now_us();
    gateway.quota.lock().node.tick(now_us);
    gateway.quota.note_leasing(now_us);
    let_in(gateway, now_us);
    flush(gateway).await;
}

async fn flush<P: Protocol>(gateway: &Gateway<P>) {
    gateway.quota.deliver_decisions();
    // Messages are kept until there is a channel: announcements lost at the start are repeated much later.
    let Some(channel) = gateway.reservation_client.channel() else {
        return;
    };
    for (to, message) in gateway.quota.take_outgoing() {
        channel.send(to, 0, DirectMessage::Quota(message)).await;
    }
}
