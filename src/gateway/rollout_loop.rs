//! Runs the roll-outs of an instance: reports evidence to the instances that watch the store, decides on the stage at
//! those, and records the state in the store.

use std::{collections::HashMap, sync::Arc, time::Duration};

use tokio::time::{self, MissedTickBehavior};

use crate::{
    gateway::{
        protocol::Protocol,
        reservation_client::DirectMessage,
        rollouts::{RolloutChange, RolloutSet, RolloutState, RolloutStatusStore, StageChange},
        state::Gateway,
    },
    prelude::Micros,
    rollouts::{BadReason, GroupFacts, OrderId, RolloutOrder, Stage, report_interval_us},
};

/// Interval at which a roll-out is judged.
const TICK: Duration = Duration::from_millis(100);
/// Interval at which unrecorded states are looked for.
const RECORD_INTERVAL: Duration = Duration::from_millis(100);
/// The first of the instances that watch the store records a state at once. Each further one waits this much longer than
/// the one before it, and then finds it recorded.
const RECORD_STAGGER_US: Micros = 1_000_000;
/// Pause after a failed call. Several fit into the time that is kept for recording before a duration ends.
const RECORD_RETRY_US: Micros = 300_000;

impl<P: Protocol> Gateway<P> {
    /// Applies the roll-outs from the store or another instance.
    ///
    /// `fresh_at_us` is the time at which the orders are known to have matched the store, if any; `from` names their
    /// source in the log.
    pub fn apply_rollouts(
        &self,
        set: &RolloutSet,
        fresh_at_us: Option<Micros>,
        from: &'static str,
    ) {
        let Some(bounds) = self.bounds().rollouts else {
            return;
        };
        let now_us = self.clock.now_us();
        let share = bounds.exposure_share;
        let changes = self.rollouts.offer(now_us, share, set, fresh_at_us);
        self.log_rollouts(&changes, from);
        if !changes.is_empty() {
            self.reconsider();
        }
    }

    fn log_rollouts(&self, changes: &[RolloutChange], from: &'static str) {
        let position = self.rollouts.position();
        let (era, revision) = (position.era(), position.revision());
        for change in changes {
            match change {
                RolloutChange::Started(order) => {
                    log::info!(
                        target: "ryevalve::process",
                        service = &*order.service, version = &*order.target_version,
                        duration_ms = order.duration_us / 1_000, era, revision, from;
                        "rollout_started"
                    );
                }
                RolloutChange::Stage(change) => self.log_stage(change, from),
                RolloutChange::Ended(order) => {
                    log::info!(
                        target: "ryevalve::process",
                        service = &*order.service, version = &*order.target_version,
                        era, revision, from;
                        "rollout_ended"
                    );
                }
            }
        }
    }

    fn log_stage(&self, change: &StageChange, from: &'static str) {
        let position = self.rollouts.position();
        let event = match change.stage {
            Stage::Completed => "rollout_completed",
            Stage::RolledBack => "rollout_rolled_back",
            _ => "rollout_stage",
        };
        let share = self.bounds().rollouts.map_or(0.0, |bounds| {
            change.stage.target_share(bounds.exposure_share)
        });
        log::info!(
            target: "ryevalve::process",
            service = &*change.order.service, version = &*change.order.target_version,
            stage = stage_name(change.stage), share,
            reason = change.reason.map(reason_name),
            answers = change.answers, bad_answers = change.bad_answers,
            other_answers = change.other_answers, other_bad_answers = change.other_bad_answers,
            era = position.era(), revision = position.revision(), from;
            "{event}"
        );
    }

    fn group_facts(&self, order: &RolloutOrder) -> GroupFacts {
        let counts = self
            .balancer()
            .count_versions(&order.service, &order.target_version);
        GroupFacts {
            target_ready: counts.target_ready,
            others_known: counts.others_known,
            instances_known: self.instances_to_drain(),
            is_store_answering: self.are_rollouts_fresh(),
        }
    }

    /// Returns the number of instances in the group, 0 if it is not known: an instance that has just started has not met
    /// all of them.
    fn instances_to_drain(&self) -> usize {
        if !self.quota.knows_instance_count() {
            return 0;
        }
        let counted = self.quota.divisor(self.clock.now_us()) as usize;
        counted.max(self.instance_counts().all)
    }
}

/// Returns the name of a stage in the log; the share tells the steps of the shift apart.
fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Canary => "canary",
        Stage::Shifting(_) => "shifting",
        Stage::Draining => "draining",
        Stage::Completed => "completed",
        Stage::RolledBack => "rolled_back",
    }
}

fn reason_name(reason: BadReason) -> &'static str {
    match reason {
        BadReason::Failures => "failures",
        BadReason::Slowness => "slowness",
        BadReason::TooLittleEvidence => "too_little_evidence",
        BadReason::NoEndpoint => "no_endpoint",
    }
}

fn state_name(state: RolloutState) -> &'static str {
    match state {
        RolloutState::Running => "running",
        RolloutState::Completed => "completed",
        RolloutState::RolledBack => "rolled_back",
    }
}

/// Reports and decides until dropped.
pub async fn run<P: Protocol>(gateway: Arc<Gateway<P>>) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut reported_us = 0;
    loop {
        interval.tick().await;
        if gateway.rollouts.is_empty() {
            continue;
        }
        let now_us = gateway.clock.now_us();
        let report_us = report_interval_us(gateway.instance_counts().all);
        let is_due = now_us.saturating_sub(reported_us) >= report_us;
        if is_due {
            reported_us = now_us;
        }
        for order in gateway.rollouts.orders() {
            if is_due {
                report(&gateway, now_us, &order).await;
            }
            let facts = gateway.group_facts(&order);
            if facts.others_known == 0 {
                gateway.rollouts.note_others_gone(order.id);
            }
            if gateway.watches_store() {
                let changes = gateway.rollouts.decide(now_us, order.id, facts);
                gateway.log_rollouts(&changes, "decided");
            }
        }
    }
}

/// Sends this instance's evidence on an order to the instances that watch the store.
async fn report<P: Protocol>(gateway: &Gateway<P>, now_us: Micros, order: &RolloutOrder) {
    let in_flight_others = gateway
        .balancer()
        .in_flight_at_others(&order.service, &order.target_version);
    let Some(message) = gateway.rollouts.report(now_us, order.id, in_flight_others) else {
        return;
    };
    let Some(channel) = gateway.reservation_client.channel() else {
        return;
    };
    for watcher in gateway.rollouts.watchers() {
        let message = DirectMessage::Rollouts(Box::new(message.clone()));
        channel.send(watcher, 0, message).await;
    }
}

/// A state that waits to be recorded.
#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    state: RolloutState,
    next_try_us: Micros,
}

/// Records the states of roll-outs in the store until dropped.
pub async fn record<P: Protocol, S: RolloutStatusStore>(gateway: Arc<Gateway<P>>, store: S) {
    let mut interval = time::interval(RECORD_INTERVAL);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut pending: HashMap<OrderId, PendingRecord> = HashMap::new();
    loop {
        interval.tick().await;
        let unrecorded = gateway.rollouts.unrecorded();
        pending.retain(|id, _| unrecorded.iter().any(|(known, _)| known.order.id == *id));
        if !gateway.watches_store() {
            continue;
        }
        for (known, state) in unrecorded {
            let order = &known.order;
            let now_us = gateway.clock.now_us();
            let stagger_us = gateway.watch_position() as Micros * RECORD_STAGGER_US;
            let before = pending
                .get(&order.id)
                .filter(|before| before.state == state);
            let record = before.copied().unwrap_or(PendingRecord {
                state,
                next_try_us: now_us + stagger_us,
            });
            pending.insert(order.id, record);
            if now_us < record.next_try_us {
                continue;
            }
            let recorded = store.record(&known, state).await;
            note_recorded(&gateway, order, recorded);
            let next_try_us = gateway.clock.now_us() + RECORD_RETRY_US;
            pending.insert(order.id, PendingRecord { state, next_try_us });
        }
    }
}

fn note_recorded<P: Protocol>(
    gateway: &Gateway<P>,
    order: &RolloutOrder,
    recorded: Result<Option<RolloutState>, String>,
) {
    let service = &*order.service;
    let version = &*order.target_version;
    match recorded {
        Ok(Some(state)) => {
            log::info!(
                target: "ryevalve::process",
                service, version, state = state_name(state);
                "rollout_recorded"
            );
            let now_us = gateway.clock.now_us();
            let changes = gateway.rollouts.note_recorded(now_us, order.id, state);
            gateway.log_rollouts(&changes, "recorded");
        }
        // The watch will bring the deletion or the other order.
        Ok(None) => {}
        Err(reason) => {
            log::warn!(
                target: "ryevalve::process",
                service, version, reason;
                "rollout_not_recorded"
            );
        }
    }
}
