//! Follows the store: the operators' configuration, and the endpoints' entries.

use std::{collections::HashSet, sync::Arc, time::Duration};

use rand::RngExt;
use tokio::time;

use crate::{
    gateway::{protocol::Protocol, state::Gateway},
    platform::{
        configuration::{self, ConfigSpec},
        endpoints::{self, EndpointSpec},
        objects::{CallError, Changes, Listing, Object, ObjectClient},
    },
    prelude::{Micros, Name},
};

/// How long a watch waits: its answer says until when a kind was as it is known here, and one that
/// was cut silently is noticed by then.
const WAIT: Duration = Duration::from_millis(1_000);
/// Changes that come together are taken together: a call is paid for, and three watchers made up to 30
/// a second while endpoints were replaced. An endpoint that says it leaves goes on for seconds.
const GATHER: Duration = Duration::from_millis(250);
/// Where others watch, a kind that they have not confirmed for this long is read here as well.
const STALE_US: Micros = 2_500_000;
/// But first by those next in turn to watch, one after the other at this interval: who gets an answer
/// tells the others. All 295 at once made some 800 calls in an outage of 8 s, of which none brought
/// anything.
const TURN_US: Micros = 50_000;
/// At the first start of all, an instance that is no seed waits this long for others to tell it what
/// the store has: 295 instances made 1,690 calls before the first request, .059 of a calm day's worth.
/// Callers come some seconds later. Whoever starts again asks at once.
const FIRST_WAIT_US: Micros = 4_000_000;
/// How often that is looked at.
const LOOK: Duration = Duration::from_millis(200);
/// Pause after a call that brought nothing; spread, so that instances do not return together.
const RETRY_MS: std::ops::Range<u64> = 150..350;
/// Where others watch, the pause grows with the group beyond this many instances: calls are paid
/// for, those that bring nothing too, and whoever gets an answer tells the others.
const RETRY_GROUP: usize = 12;

/// What is done with what a kind's objects say.
trait Follower {
    type Spec: serde::de::DeserializeOwned;
    const KIND: &'static str;

    /// Takes all objects of the kind, asked for at `asked_us`.
    fn listed(&mut self, listing: Listing<Self::Spec>, asked_us: Micros);

    /// Takes what has changed since, asked for at `asked_us`.
    fn changed(&mut self, changes: Changes<Self::Spec>, asked_us: Micros);

    /// Returns for how long the kind has not been known to be as the store has it.
    fn age_us(&self) -> Micros;

    /// Notes that the store did not answer.
    fn lost(&mut self) {}
}

/// Follows a kind until dropped: by watches where this instance watches for others, else by what
/// those tell, and by reading for itself when they fall silent.
async fn follow<P: Protocol, F: Follower>(
    gateway: &Gateway<P>,
    mut store: ObjectClient,
    mut follower: F,
) {
    let mut revision: Option<u64> = None;
    let mut is_lost = false;
    loop {
        if !gateway.watches_store() {
            revision = None;
            let waits = gateway.waits_for_others() && gateway.clock.now_us() < FIRST_WAIT_US;
            let age_us = follower.age_us();
            let is_others_turn = is_known(age_us) && age_us < stale_us(gateway);
            if waits || is_others_turn {
                time::sleep(LOOK).await;
                continue;
            }
        }
        let asked_us = gateway.clock.now_us();
        let result = match revision {
            None => list(&mut store, &mut follower, asked_us).await,
            Some(from) => watch(&mut store, &mut follower, from, asked_us).await,
        };
        match result {
            Ok(reached) => {
                revision = Some(reached);
                if std::mem::take(&mut is_lost) {
                    log::info!(target: "ryevalve::process", kind = F::KIND; "store_regained");
                }
                time::sleep(GATHER).await;
            }
            Err(CallError::HistoryGone) => {
                log::info!(target: "ryevalve::process", kind = F::KIND; "store_history_gone");
                revision = None;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_lost, true) {
                    let reason = error.to_string();
                    log::warn!(target: "ryevalve::process", kind = F::KIND, reason; "store_lost");
                }
                gateway.metrics.store_failures.inc();
                follower.lost();
                time::sleep(retry_pause(gateway)).await;
            }
        }
    }
}

/// Returns whether a kind was ever read here or told by another.
fn is_known(age_us: Micros) -> bool {
    age_us < Micros::MAX
}

/// Returns the age from which a kind is read here though others watch.
fn stale_us<P: Protocol>(gateway: &Gateway<P>) -> Micros {
    if gateway.sharers().heard <= 1 {
        // Nobody could tell of a change.
        return STALE_US;
    }
    STALE_US + gateway.turn_to_watch() as Micros * TURN_US
}

fn retry_pause<P: Protocol>(gateway: &Gateway<P>) -> Duration {
    let pause_ms = rand::rng().random_range(RETRY_MS);
    if gateway.watches_store() {
        return Duration::from_millis(pause_ms);
    }
    let groups = (gateway.sharers().all / RETRY_GROUP).max(1) as u64;
    Duration::from_millis(pause_ms * groups)
}

async fn list<F: Follower>(
    store: &mut ObjectClient,
    follower: &mut F,
    asked_us: Micros,
) -> Result<u64, CallError> {
    let listing = store.list::<F::Spec>(F::KIND).await?;
    let revision = listing.revision;
    follower.listed(listing, asked_us);
    Ok(revision)
}

async fn watch<F: Follower>(
    store: &mut ObjectClient,
    follower: &mut F,
    from: u64,
    asked_us: Micros,
) -> Result<u64, CallError> {
    let changes = store.watch::<F::Spec>(F::KIND, from, WAIT).await?;
    let revision = changes.revision;
    follower.changed(changes, asked_us);
    Ok(revision)
}

struct ConfigFollower<P: Protocol> {
    gateway: Arc<Gateway<P>>,
}

impl<P: Protocol> ConfigFollower<P> {
    fn take(&self, object: Object<ConfigSpec>) {
        if object.metadata.name == configuration::OBJECT.1
            && let Some(spec) = object.spec
        {
            self.gateway.offer(spec.into(), "store");
        }
    }

    fn confirm(&self, asked_us: Micros) {
        let version = self.gateway.config.version();
        if version > 0 {
            self.gateway.config.confirm(version, asked_us);
        }
    }
}

impl<P: Protocol> Follower for ConfigFollower<P> {
    type Spec = ConfigSpec;
    const KIND: &'static str = configuration::OBJECT.0;

    fn age_us(&self) -> Micros {
        self.gateway.config_age_us()
    }

    fn listed(&mut self, listing: Listing<ConfigSpec>, asked_us: Micros) {
        for object in listing.items {
            self.take(object);
        }
        self.confirm(asked_us);
    }

    fn changed(&mut self, changes: Changes<ConfigSpec>, asked_us: Micros) {
        for event in changes.events {
            if !event.deleted {
                self.take(event.object);
            }
        }
        self.confirm(asked_us);
    }
}

struct EndpointFollower<P: Protocol> {
    gateway: Arc<Gateway<P>>,
}

impl<P: Protocol> EndpointFollower<P> {
    fn seen(&self, object: Object<EndpointSpec>) {
        let Some(spec) = object.spec else { return };
        let metadata = object.metadata;
        let entry = spec.into_entry(&metadata.name);
        let id = entry.id.clone();
        let seen = self
            .gateway
            .balancer()
            .endpoint_seen(entry, metadata.revision);
        if let Some(change) = seen {
            self.gateway.log_endpoint(&id, change, "store");
        }
    }

    fn reached(&self, revision: u64, asked_us: Micros) {
        self.gateway.balancer().endpoints_reached(revision);
        self.gateway.confirm_endpoints(asked_us);
        self.gateway.reconsider();
    }
}

impl<P: Protocol> Follower for EndpointFollower<P> {
    type Spec = EndpointSpec;
    const KIND: &'static str = endpoints::KIND;

    fn age_us(&self) -> Micros {
        self.gateway.endpoints_age_us()
    }

    fn listed(&mut self, listing: Listing<EndpointSpec>, asked_us: Micros) {
        let names = listing.items.iter().map(|o| o.metadata.name.clone());
        let names: HashSet<String> = names.collect();
        for object in listing.items {
            self.seen(object);
        }
        let now_us = self.gateway.clock.now_us();
        let changes = self
            .gateway
            .balancer()
            .endpoints_listed(now_us, listing.revision, |id| names.contains(id));
        for (id, change) in changes {
            self.gateway.log_endpoint(&id, change, "store");
        }
        self.reached(listing.revision, asked_us);
    }

    fn changed(&mut self, changes: Changes<EndpointSpec>, asked_us: Micros) {
        let now_us = self.gateway.clock.now_us();
        for event in changes.events {
            if !event.deleted {
                self.seen(event.object);
                continue;
            }
            let id: Name = event.object.metadata.name.into();
            let mut balancer = self.gateway.balancer();
            let change = balancer.endpoint_removed(now_us, &id, changes.revision);
            drop(balancer);
            if let Some(change) = change {
                self.gateway.log_endpoint(&id, change, "store");
            }
        }
        self.reached(changes.revision, asked_us);
    }

    fn lost(&mut self) {
        let now_us = self.gateway.clock.now_us();
        self.gateway.balancer().store_was_away(now_us);
    }
}

/// Follows the configuration until dropped.
pub async fn configuration<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let follower = ConfigFollower {
        gateway: gateway.clone(),
    };
    follow(&gateway, store, follower).await;
}

/// Follows the endpoints until dropped.
pub async fn endpoints<P: Protocol>(gateway: Arc<Gateway<P>>, store: ObjectClient) {
    let follower = EndpointFollower {
        gateway: gateway.clone(),
    };
    follow(&gateway, store, follower).await;
}
