//! Roll-outs: operators create an object to move a service to a version; this program records the state in its status.

use std::{
    collections::{BTreeMap, HashSet},
    sync::Arc,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{
    gateway::{
        protocol::Protocol,
        rollouts::{KnownOrder, RolloutSet, RolloutState, RolloutStatusStore, SentRollout},
        staleness::{Staleness, StalenessBound},
        state::Gateway,
    },
    platform::{
        objects::{
            CallError, Changes, Event, Listing, Metadata, Object, ObjectClient, UnreadableObject,
        },
        store::PlatformStore,
        store_watch::{KindHandler, watch_kind},
    },
    prelude::{Micros, Name, StorePosition},
    rollouts::{OrderId, RolloutOrder, Stage},
};

/// Kind of the objects in the store; the name of an object is the name of its service.
pub const KIND: &str = "rollouts";
/// Longest duration of a roll-out in seconds; a longer one is cut to it.
const MAX_DURATION_S: f64 = 86_400.0;

/// The content of an object.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct RolloutSpec {
    backend: Name,
    target_version: Name,
    duration_s: f64,
}

/// The state that this program records in an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
struct RolloutStatus {
    state: RecordedState,
    target_version: Name,
    /// When the duration began.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    started_unix_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum RecordedState {
    Running,
    Completed,
    RolledBack,
}

impl From<RolloutState> for RecordedState {
    fn from(state: RolloutState) -> Self {
        match state {
            RolloutState::Running => Self::Running,
            RolloutState::Completed => Self::Completed,
            RolloutState::RolledBack => Self::RolledBack,
        }
    }
}

impl From<RecordedState> for RolloutState {
    fn from(state: RecordedState) -> Self {
        match state {
            RecordedState::Running => Self::Running,
            RecordedState::Completed => Self::Completed,
            RecordedState::RolledBack => Self::RolledBack,
        }
    }
}

/// Reads the order and its recorded state from an object.
///
/// # Errors
/// Why the object is no valid order.
pub fn read_order(object: &Object<RolloutSpec>) -> Result<KnownOrder, String> {
    let Some(spec) = &object.spec else {
        return Err("the object has no content".into());
    };
    if *spec.backend != *object.metadata.name {
        return Err(format!(
            "backend = {}: expected the object's name",
            spec.backend
        ));
    }
    if !spec.duration_s.is_finite() || spec.duration_s <= 0.0 {
        return Err(format!(
            "durationS = {}: expected more than 0",
            spec.duration_s
        ));
    }
    let duration_s = spec.duration_s.min(MAX_DURATION_S);
    let order = RolloutOrder {
        id: order_id(&object.metadata, spec),
        service: spec.backend.clone(),
        target_version: spec.target_version.clone(),
        duration_us: (duration_s * 1e6) as u64,
    };
    let status = read_status(object.status.as_ref(), &spec.target_version);
    Ok(KnownOrder {
        order,
        recorded: status.as_ref().map(|status| status.state.into()),
        started_unix_ms: status.and_then(|status| status.started_unix_ms),
    })
}

/// Returns the status recorded for a target version. One for another version belongs to an earlier order.
fn read_status(status: Option<&Value>, target_version: &str) -> Option<RolloutStatus> {
    let status = RolloutStatus::deserialize(status?).ok()?;
    (*status.target_version == *target_version).then_some(status)
}

/// Returns the FNV-1a hash of what identifies an order.
fn order_id(metadata: &Metadata, spec: &RolloutSpec) -> OrderId {
    let created = metadata.created.to_le_bytes();
    let texts = spec
        .backend
        .bytes()
        .chain([0])
        .chain(spec.target_version.bytes());
    let hash = created
        .into_iter()
        .chain(texts)
        .fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        });
    OrderId(hash)
}

/// Records the states of roll-outs in the platform's store.
#[derive(Clone, Debug)]
pub struct RolloutStatuses(pub PlatformStore);

impl RolloutStatusStore for RolloutStatuses {
    async fn record(
        &self,
        known: &KnownOrder,
        state: RolloutState,
    ) -> Result<Option<RolloutState>, String> {
        let order = &known.order;
        let mut client = self.0.client();
        let name = &*order.service;
        let found: Option<Object<Value>> = client.get(KIND, name).await.map_err(message)?;
        let Some(mut object) = found else {
            return Ok(None);
        };
        let stored = read_order(&decode(&object)?)?;
        if stored.order.id != order.id {
            return Ok(None);
        }
        if let Some(recorded) = stored.recorded.filter(|r| *r == state || r.is_final()) {
            return Ok(Some(recorded));
        }
        let status = RolloutStatus {
            state: state.into(),
            target_version: order.target_version.clone(),
            started_unix_ms: stored.started_unix_ms.or(known.started_unix_ms),
        };
        object.status = Some(serde_json::to_value(status).map_err(|e| e.to_string())?);
        client
            .replace_status(KIND, &object)
            .await
            .map_err(message)?;
        Ok(Some(state))
    }
}

fn decode(object: &Object<Value>) -> Result<Object<RolloutSpec>, String> {
    let spec = object.spec.clone().map(serde_json::from_value).transpose();
    Ok(Object {
        metadata: object.metadata.clone(),
        spec: spec.map_err(|error| error.to_string())?,
        status: object.status.clone(),
    })
}

fn message(error: CallError) -> String {
    error.to_string()
}

/// Orders that the store lost by coming back from a copy stay in force for this long, unless they are written again or
/// deleted before. Without them the target version would get any number of requests.
const LOST_ORDER_GRACE_US: Micros = 60_000_000;
/// Maximum number of refused objects that are remembered as logged.
const MAX_LOGGED: usize = 64;

struct RolloutHandler<P: Protocol> {
    gateway: Arc<Gateway<P>>,
    /// The orders according to the store, by object name.
    orders: BTreeMap<String, KnownOrder>,
    /// The era of the store's last answer; 0 before the first.
    era: u64,
    /// Orders that the store lost, and how long they stay in force.
    lost: BTreeMap<String, KnownOrder>,
    lost_until_us: Micros,
    /// Refused objects that were logged, with the reason.
    logged: HashSet<(String, String)>,
}

impl<P: Protocol> RolloutHandler<P> {
    fn insert(&mut self, object: &Object<RolloutSpec>) {
        let name = object.metadata.name.clone();
        match read_order(object) {
            Ok(known) => {
                self.lost.remove(&name);
                self.orders.insert(name, known);
            }
            Err(reason) => self.refuse(Some(name), reason),
        }
    }

    /// Refuses an object that holds no valid order: it replaces the order before, and moves no requests.
    fn refuse(&mut self, name: Option<String>, reason: String) {
        let name = name.unwrap_or_else(|| "-".into());
        self.orders.remove(&name);
        self.lost.remove(&name);
        let is_new =
            self.logged.len() < MAX_LOGGED && self.logged.insert((name.clone(), reason.clone()));
        if is_new {
            log::warn!(target: "ryevalve::process", name, reason; "rollout_refused");
        }
    }

    fn refuse_unreadable(&mut self, skipped: UnreadableObject) {
        self.refuse(skipped.name, skipped.reason);
    }

    /// Keeps the orders in force that the store does not show any more if it came back from a copy.
    fn keep_lost(&mut self, before: BTreeMap<String, KnownOrder>, era: u64) {
        if self.era != 0 && self.era < era {
            let is_lost = |name: &String| !self.orders.contains_key(name);
            self.lost = before
                .into_iter()
                .filter(|(name, _)| is_lost(name))
                .collect();
            self.lost_until_us = self.gateway.clock.now_us() + LOST_ORDER_GRACE_US;
            for name in self.lost.keys() {
                log::warn!(target: "ryevalve::process", name, era, era_before = self.era; "rollout_kept");
            }
        }
        self.era = era;
    }

    fn publish(&mut self, position: StorePosition, sent_us: Micros) {
        if self.gateway.clock.now_us() >= self.lost_until_us {
            self.lost.clear();
        }
        let known = self.orders.values().chain(self.lost.values());
        let rollouts = known.map(|known| SentRollout {
            known: known.clone(),
            stage: Stage::default(),
        });
        let set = RolloutSet {
            position,
            rollouts: rollouts.collect(),
        };
        self.gateway.apply_rollouts(&set, Some(sent_us), "store");
    }
}

impl<P: Protocol> KindHandler for RolloutHandler<P> {
    type Spec = RolloutSpec;
    const KIND: &'static str = KIND;

    fn staleness(&self) -> &Staleness {
        &self.gateway.rollouts.staleness
    }

    fn bound(&self) -> StalenessBound {
        self.gateway.rollouts_bound()
    }

    fn apply_listing(&mut self, listing: Listing<RolloutSpec>, sent_us: Micros) {
        let before = std::mem::take(&mut self.orders);
        for object in &listing.items {
            self.insert(object);
        }
        for skipped in listing.unreadable {
            self.refuse_unreadable(skipped);
        }
        self.keep_lost(before, listing.position.era());
        self.publish(listing.position, sent_us);
    }

    fn apply_changes(&mut self, changes: Changes<RolloutSpec>, sent_us: Micros) {
        for event in changes.events {
            match event {
                Event::Changed(object) => self.insert(&object),
                Event::Deleted(name) => {
                    self.orders.remove(&name);
                    self.lost.remove(&name);
                }
                Event::Unreadable(skipped) => self.refuse_unreadable(skipped),
            }
        }
        self.publish(changes.position, sent_us);
    }
}

/// Keeps the roll-outs up to date until dropped.
pub async fn watch<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let handler = RolloutHandler {
        gateway: gateway.clone(),
        orders: BTreeMap::new(),
        era: 0,
        lost: BTreeMap::new(),
        lost_until_us: 0,
        logged: HashSet::new(),
    };
    watch_kind(&gateway, store, handler).await;
}
