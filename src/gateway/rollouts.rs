//! The roll-outs known to an instance: their orders, the stage that each has reached, and what the instance contributes.
//!
//! Orders come from the store or from other instances, as sets ordered by their position in the store's history. The
//! stage comes from the instances that watch the store, and travels with the set. An instance limits the requests that it
//! sends to the target version alone, by its own credit.

use std::{
    future::Future,
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use serde::{Deserialize, Serialize};

use crate::{
    balance::{
        load::EndpointKey,
        versions::{VersionCounts, VersionRule},
    },
    clock::unix_ms,
    gateway::staleness::{Staleness, StalenessBound},
    prelude::{Incarnation, Micros, Name, StorePosition},
    rollouts::{
        AnswerQuality, AnswerTime, AnswerTimes, BadReason, Evidence, EvidenceReport,
        ExposureCredit, GroupFacts, OrderId, RolloutDecider, RolloutOrder, Stage, VersionChoice,
        VersionGroup, followed_stage, version_choice,
    },
};

/// Maximum number of roll-outs kept. Their orders travel in one datagram together with the rest of an update.
const MAX_ROLLOUTS: usize = 16;
/// What is known of the orders may be this share of the bound old for requests to be sent to the target version. The
/// rest is left for the judgement and for the way of the request.
const MAX_AGE_SHARE: f64 = 0.5;
/// Reason for not sending a request: the roll-out does not allow the version of its endpoint now.
pub const VERSION_WITHHELD: &str = "version_withheld";

/// Limits of roll-outs that operators state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutBounds {
    /// Maximum share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// How long after the bad answers that condemn a version requests may be sent there.
    pub rollback: StalenessBound,
}

impl RolloutBounds {
    /// Returns the maximum age of the orders at which requests may be sent to the target version.
    pub fn max_age_us(&self) -> Micros {
        (self.rollback.0 as f64 * MAX_AGE_SHARE) as Micros
    }
}

/// The state of a roll-out as recorded in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RolloutState {
    /// It is neither completed nor rolled back.
    Running,
    /// The endpoints of other versions may be stopped.
    Completed,
    /// The target version gets no requests.
    RolledBack,
}

impl RolloutState {
    /// Returns whether the state of an order does not change any more.
    pub fn is_final(self) -> bool {
        self != Self::Running
    }

    fn stage(self) -> Option<Stage> {
        match self {
            Self::Running => None,
            Self::Completed => Some(Stage::Completed),
            Self::RolledBack => Some(Stage::RolledBack),
        }
    }
}

/// An order and the state that the store has recorded for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownOrder {
    /// The order.
    pub order: RolloutOrder,
    /// The recorded state; none if nothing was recorded for this order yet.
    pub recorded: Option<RolloutState>,
    /// Unix time at which the duration began, if it is known: when the first of the instances learned of the order.
    pub started_unix_ms: Option<u64>,
}

/// A roll-out as instances send it to each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentRollout {
    /// The order and its recorded state.
    pub known: KnownOrder,
    /// The stage that the sender knows.
    pub stage: Stage,
}

/// The roll-outs as of a position in the store's history.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutSet {
    /// The position that the orders reflect.
    pub position: StorePosition,
    /// The roll-outs, by service.
    pub rollouts: Vec<SentRollout>,
}

/// The roll-outs in an update, with their staleness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutUpdate {
    /// The roll-outs.
    pub set: RolloutSet,
    /// Time since the orders were last known to match the store, in milliseconds; none if too long to be of use.
    pub age_ms: Option<u32>,
}

/// Evidence on a roll-out, from an instance to one that watches the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutMessage {
    /// The order.
    pub order: OrderId,
    /// What the sender saw of it.
    pub report: EvidenceReport,
}

/// Records the states of roll-outs where they outlast the processes.
pub trait RolloutStatusStore: Clone + Send + Sync + 'static {
    /// Records the state of an order and when its duration began, unless it or a final state is recorded already; returns the state that is recorded
    /// afterwards, or `None` if the order does not exist any more.
    ///
    /// # Errors
    /// Why the state was not recorded, or may not have been.
    fn record(
        &self,
        known: &KnownOrder,
        state: RolloutState,
    ) -> impl Future<Output = Result<Option<RolloutState>, String>> + Send;
}

/// A roll-out that reached another stage, with the evidence that this instance has.
#[derive(Clone, Debug, PartialEq)]
pub struct StageChange {
    /// The order.
    pub order: RolloutOrder,
    /// The stage.
    pub stage: Stage,
    /// Why the version was rolled back, if this instance decided so.
    pub reason: Option<BadReason>,
    /// Answers of the target version, of all instances that reported to this one.
    pub answers: u32,
    /// Those that failed or were slow.
    pub bad_answers: u32,
    /// Answers of the other versions.
    pub other_answers: u32,
    /// Those that failed or were slow.
    pub other_bad_answers: u32,
}

/// A change of a roll-out, to be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum RolloutChange {
    /// An order is new here.
    Started(RolloutOrder),
    /// The roll-out reached another stage.
    Stage(StageChange),
    /// The order was deleted or replaced.
    Ended(RolloutOrder),
}

/// A request that was sent during a roll-out.
#[derive(Clone, Copy, Debug)]
pub struct SentInRollout {
    order: OrderId,
    /// The group of its endpoint.
    pub group: VersionGroup,
}

/// A roll-out at this instance.
#[derive(Debug)]
struct ActiveRollout {
    known: KnownOrder,
    stage: Stage,
    canary_share: f64,
    credit: ExposureCredit,
    evidence: Evidence,
    times: AnswerTimes,
    decider: RolloutDecider,
    sent_to_target: u64,
    bad_answers: u64,
    /// Completed, and no endpoint of another version is left.
    is_over: bool,
}

impl ActiveRollout {
    fn new(now_us: Micros, share: f64, known: KnownOrder) -> Self {
        let now_unix_ms = unix_ms();
        let started_unix_ms = known.started_unix_ms.unwrap_or(now_unix_ms);
        let elapsed_us = now_unix_ms
            .saturating_sub(started_unix_ms)
            .saturating_mul(1_000);
        let known = KnownOrder {
            started_unix_ms: Some(started_unix_ms),
            ..known
        };
        Self {
            stage: Stage::Canary,
            canary_share: share,
            credit: ExposureCredit::new(share),
            evidence: Evidence::default(),
            times: AnswerTimes::default(),
            decider: RolloutDecider::with_elapsed(known.order.clone(), now_us, elapsed_us),
            known,
            sent_to_target: 0,
            bad_answers: 0,
            is_over: false,
        }
    }

    /// Moves on to a stage, unless it is earlier than the present one; returns whether that is a change.
    fn follow(&mut self, now_us: Micros, told: Stage) -> bool {
        let recorded = self.known.recorded.and_then(RolloutState::stage);
        // What is recorded is final: the endpoints of the other versions are stopped once the roll-out is completed.
        let stage = recorded.unwrap_or_else(|| followed_stage(self.stage, told));
        self.credit.follow(stage);
        match recorded {
            Some(recorded) => self.decider.note_recorded(now_us, recorded),
            None => self.decider.follow(now_us, stage),
        }
        std::mem::replace(&mut self.stage, stage) != stage
    }

    fn change(&self) -> RolloutChange {
        let evidence = self.decider.evidence().answers();
        RolloutChange::Stage(StageChange {
            order: self.known.order.clone(),
            stage: self.stage,
            reason: self.decider.reason(),
            answers: evidence.target.total,
            bad_answers: evidence.target.bad(),
            other_answers: evidence.others.total,
            other_bad_answers: evidence.others.bad(),
        })
    }

    /// Returns which endpoints a request on a route may be sent to; `counts` are those of the service.
    fn choice(&self, route: u32, is_fresh: bool, counts: VersionCounts) -> VersionChoice {
        let choice = match self.stage {
            Stage::Completed if self.is_over => VersionChoice::Any,
            // The other endpoints stop without waiting for their requests.
            Stage::Completed => VersionChoice::Only(VersionGroup::Target),
            stage => version_choice(stage, &self.credit, route, is_fresh),
        };
        match choice {
            // The request could only be refused; after a roll-back it is.
            VersionChoice::Only(group)
                if counts.ready(group) == 0 && self.stage != Stage::RolledBack =>
            {
                VersionChoice::Any
            }
            choice => choice,
        }
    }

    fn is_shifted(&self) -> bool {
        matches!(self.stage, Stage::Draining | Stage::Completed)
    }

    fn wanted_state(&self) -> RolloutState {
        match self.stage {
            Stage::Completed => RolloutState::Completed,
            Stage::RolledBack => RolloutState::RolledBack,
            _ => RolloutState::Running,
        }
    }

    fn sent(&self) -> SentRollout {
        SentRollout {
            known: self.known.clone(),
            stage: self.stage,
        }
    }
}

/// A figure of a roll-out, for metrics.
#[derive(Clone, Debug)]
pub struct RolloutFigures {
    /// The service.
    pub service: Name,
    /// The target version.
    pub target_version: Name,
    /// Share of the requests that the stage gives the target version.
    pub target_share: f64,
    /// Requests that this instance sent to the target version.
    pub sent_to_target: u64,
    /// Bad answers of the target version that this instance saw.
    pub bad_answers: u64,
}

#[derive(Debug, Default)]
struct State {
    position: StorePosition,
    active: Vec<ActiveRollout>,
    /// Addresses of the instances that watch the store, without this one.
    watchers: Vec<IpAddr>,
    me: Incarnation,
}

impl State {
    fn by_id(&mut self, id: OrderId) -> Option<&mut ActiveRollout> {
        self.active.iter_mut().find(|a| a.known.order.id == id)
    }

    fn by_service(&self, service: &str) -> Option<&ActiveRollout> {
        let mut active = self.active.iter();
        active.find(|a| *a.known.order.service == *service)
    }

    /// Replaces the orders, and keeps what is known of those that are the same.
    fn replace(
        &mut self,
        now_us: Micros,
        share: f64,
        set: &RolloutSet,
        changes: &mut Vec<RolloutChange>,
    ) {
        self.position = set.position;
        let mut before = std::mem::take(&mut self.active);
        for sent in set.rollouts.iter().take(MAX_ROLLOUTS) {
            let order = &sent.known.order;
            let found = before.iter().position(|a| a.known.order.id == order.id);
            match found {
                Some(index) => {
                    let mut active = before.swap_remove(index);
                    // The set may be older than what this instance has recorded itself.
                    let recorded = sent.known.recorded.max(active.known.recorded);
                    active.known.recorded = recorded;
                    active.known.order = order.clone();
                    self.active.push(active);
                }
                None => {
                    changes.push(RolloutChange::Started(order.clone()));
                    let active = ActiveRollout::new(now_us, share, sent.known.clone());
                    self.active.push(active);
                }
            }
        }
        let ended = before.into_iter().map(|a| a.known.order);
        changes.extend(ended.map(RolloutChange::Ended));
    }
}

/// The roll-outs at this instance.
#[derive(Debug, Default)]
pub struct Rollouts {
    state: Mutex<State>,
    /// How long ago the orders were last known to match the store.
    pub staleness: Staleness,
}

impl Rollouts {
    /// Returns the roll-outs, as they are sent to other instances.
    pub fn known(&self) -> RolloutSet {
        let state = self.lock();
        RolloutSet {
            position: state.position,
            rollouts: state.active.iter().map(ActiveRollout::sent).collect(),
        }
    }

    /// Returns the position that the orders reflect.
    pub fn position(&self) -> StorePosition {
        self.lock().position
    }

    /// Returns whether there is no roll-out.
    pub fn is_empty(&self) -> bool {
        self.lock().active.is_empty()
    }

    /// Returns the target version of a service, if it has a roll-out.
    pub fn target(&self, service: &str) -> Option<Name> {
        let state = self.lock();
        let active = state.by_service(service)?;
        Some(active.known.order.target_version.clone())
    }

    /// Applies a set: its orders unless they are older than those known, and the stages of orders that are known.
    /// Returns what has changed.
    ///
    /// `fresh_at_us` is the time at which the orders are known to have matched the store, if any.
    pub fn offer(
        &self,
        now_us: Micros,
        share: f64,
        set: &RolloutSet,
        fresh_at_us: Option<Micros>,
    ) -> Vec<RolloutChange> {
        let mut changes = Vec::new();
        let mut state = self.lock();
        let is_older = set.position < state.position;
        if !is_older {
            state.replace(now_us, share, set, &mut changes);
        }
        for sent in &set.rollouts {
            let Some(active) = state.by_id(sent.known.order.id) else {
                continue;
            };
            if active.follow(now_us, sent.stage) {
                changes.push(active.change());
            }
        }
        drop(state);
        if let (Some(fresh_at_us), false) = (fresh_at_us, is_older) {
            self.staleness.confirm(fresh_at_us);
        }
        changes
    }

    /// Notes the state that the store has recorded for an order; returns what has changed.
    pub fn note_recorded(
        &self,
        now_us: Micros,
        id: OrderId,
        recorded: RolloutState,
    ) -> Vec<RolloutChange> {
        let mut state = self.lock();
        let Some(active) = state.by_id(id) else {
            return Vec::new();
        };
        active.known.recorded = Some(recorded);
        let is_changed = active.follow(now_us, active.stage);
        is_changed.then(|| active.change()).into_iter().collect()
    }

    /// Returns the rule by which an endpoint is chosen for a request of a service, which has endpoints of these numbers;
    /// `route` is the hash of its route.
    pub fn rule(
        &self,
        service: &str,
        route: u32,
        is_fresh: bool,
        counts: VersionCounts,
    ) -> Option<VersionRule> {
        let state = self.lock();
        let active = state.by_service(service)?;
        let choice = active.choice(route, is_fresh, counts);
        (choice != VersionChoice::Any).then(|| VersionRule {
            target_version: active.known.order.target_version.clone(),
            choice,
        })
    }

    /// Checks that a request of a service may be sent to an endpoint of a version, and counts it; `route` is the hash of
    /// its route.
    ///
    /// # Errors
    /// The version may not be used now.
    pub fn admit(
        &self,
        service: &str,
        version: &str,
        route: u32,
        is_fresh: bool,
        counts: VersionCounts,
    ) -> Result<Option<SentInRollout>, &'static str> {
        let mut state = self.lock();
        let mut active = state.active.iter_mut();
        let Some(active) = active.find(|a| *a.known.order.service == *service) else {
            return Ok(None);
        };
        let group = match *active.known.order.target_version == *version {
            true => VersionGroup::Target,
            false => VersionGroup::Others,
        };
        let choice = active.choice(route, is_fresh, counts);
        if matches!(choice, VersionChoice::Only(only) if only != group) {
            return Err(VERSION_WITHHELD);
        }
        active.credit.note_sent(group, route);
        active.sent_to_target += u64::from(group == VersionGroup::Target);
        let order = active.known.order.id;
        Ok(Some(SentInRollout { order, group }))
    }

    /// Notes that no endpoint of another version than the target version is left. After the roll-out was completed, the
    /// versions of endpoints do not matter from then on.
    pub fn note_others_gone(&self, id: OrderId) {
        let mut state = self.lock();
        if let Some(active) = state.by_id(id) {
            active.is_over |= active.stage == Stage::Completed;
        }
    }

    /// Returns whether an answer was slow; `None` if the usual time is not known yet.
    pub fn is_slow(&self, sent: SentInRollout, time: AnswerTime) -> Option<bool> {
        let mut state = self.lock();
        let active = state.by_id(sent.order)?;
        active.times.is_slow(sent.group, time)
    }

    /// Notes the quality of an answer.
    pub fn note_answer(
        &self,
        sent: SentInRollout,
        route: u32,
        endpoint: EndpointKey,
        quality: AnswerQuality,
    ) {
        let mut state = self.lock();
        let Some(active) = state.by_id(sent.order) else {
            return;
        };
        let is_bad = quality != AnswerQuality::Good && sent.group == VersionGroup::Target;
        active.bad_answers += u64::from(is_bad);
        active
            .evidence
            .note_answer(route, sent.group, endpoint, quality);
    }

    /// Sets this instance's incarnation and the other instances that watch the store.
    pub fn set_watchers(&self, me: Incarnation, watchers: Vec<IpAddr>) {
        let mut state = self.lock();
        state.me = me;
        state.watchers = watchers;
    }

    /// Returns the instances that evidence is sent to.
    pub fn watchers(&self) -> Vec<IpAddr> {
        self.lock().watchers.clone()
    }

    /// Returns the orders.
    pub fn orders(&self) -> Vec<RolloutOrder> {
        let state = self.lock();
        state.active.iter().map(|a| a.known.order.clone()).collect()
    }

    /// Returns this instance's evidence on an order, which also enters its own judgement. `in_flight_others` counts its
    /// requests at endpoints of other versions.
    pub fn report(
        &self,
        now_us: Micros,
        id: OrderId,
        in_flight_others: u32,
    ) -> Option<RolloutMessage> {
        let mut state = self.lock();
        let me = state.me;
        let active = state.by_id(id)?;
        let has_shifted = active.is_shifted();
        let report = active.evidence.report(in_flight_others, has_shifted);
        active.decider.apply(now_us, me, report.clone());
        Some(RolloutMessage { order: id, report })
    }

    /// Applies another instance's evidence.
    pub fn receive(&self, now_us: Micros, from: Incarnation, message: RolloutMessage) {
        let mut state = self.lock();
        if let Some(active) = state.by_id(message.order) {
            active.decider.apply(now_us, from, message.report);
        }
    }

    /// Decides on the stage of an order; returns what has changed.
    pub fn decide(&self, now_us: Micros, id: OrderId, facts: GroupFacts) -> Vec<RolloutChange> {
        let mut state = self.lock();
        let Some(active) = state.by_id(id) else {
            return Vec::new();
        };
        let stage = active.decider.step(now_us, facts);
        let is_changed = active.follow(now_us, stage);
        is_changed.then(|| active.change()).into_iter().collect()
    }

    /// Returns the orders whose state is not recorded yet, with that state.
    pub fn unrecorded(&self) -> Vec<(KnownOrder, RolloutState)> {
        let state = self.lock();
        let unrecorded = state.active.iter().filter(|a| {
            let recorded = a.known.recorded;
            recorded != Some(a.wanted_state()) && !recorded.is_some_and(RolloutState::is_final)
        });
        unrecorded
            .map(|a| (a.known.clone(), a.wanted_state()))
            .collect()
    }

    /// Returns the figures of all roll-outs.
    pub fn figures(&self) -> Vec<RolloutFigures> {
        let state = self.lock();
        let figures = state.active.iter().map(|a| RolloutFigures {
            service: a.known.order.service.clone(),
            target_version: a.known.order.target_version.clone(),
            target_share: a.stage.target_share(a.canary_share),
            sent_to_target: a.sent_to_target,
            bad_answers: a.bad_answers,
        });
        figures.collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No holder of the lock leaves the state inconsistent if it panics, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
