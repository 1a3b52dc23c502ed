//! Executes commands that change state: drains, instance stops, cancellations, configuration changes and orders
//! to endpoints.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use futures::future::join_all;
use http_body_util::Full;
use hyper::{Method, Request, StatusCode, header::HOST};
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use tokio::time;

use crate::{
    clock::unix_s,
    config::{
        Config,
        check::{self, suggestion},
        model::{Endpoint, Event},
        version::Versioned,
    },
    distribution::{CONFIG_KEY, HistoryEntry, MAX_HISTORY_ENTRIES, StoredConfig, retry_delay},
    endpoint::connection::Connection,
    instance::Instance,
    operator::{
        drains::DrainTarget,
        execute::Caller,
        language::{Command, EndpointOrder, Place},
        log::{Reply, Status},
    },
    peers::view::Member,
    prelude::RequestId,
    store::{Object, Store, WriteError},
};

const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const ORDER_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_WRITE_ATTEMPTS: u32 = 5;
/// How long an accepted change waits to be in force on all instances before the operator is answered.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);
const IN_FORCE_POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Key of the stored object with the last fence number and the recent weight loads, which are rate limited.
const FENCE_KEY: &str = "fences";

/// Executes a command that changes state.
///
/// `id` identifies the command; a configuration change whose id is in the stored history
/// is not applied again.
pub async fn execute_order<S: Store>(
    instance: &Arc<Instance<S>>,
    caller: &Caller,
    id: &str,
    command: Command,
) -> Reply {
    let change = Change {
        instance,
        caller,
        id,
    };
    let description = command.to_string();
    match command {
        Command::Drain(place, draining) => drain(instance, caller, place, draining).await,
        Command::StopInstance(name) => stop_instance(instance, &name).await,
        Command::Cancel(request) => cancel(instance, request).await,
        Command::Apply { at_version, toml } => change.apply(at_version, &toml).await,
        Command::Set {
            kind,
            at_version,
            toml,
        } => change.set(&kind, at_version, &toml).await,
        Command::Remove {
            kind,
            name,
            at_version,
        } => change.remove(&kind, &name, at_version).await,
        Command::StartEvent(name) => {
            let now_s = unix_s();
            change
                .event(&name, &description, |e| e.starts_at_s = now_s)
                .await
        }
        Command::MoveEvent(name, at_s) => {
            change
                .event(&name, &description, |e| e.starts_at_s = at_s)
                .await
        }
        Command::EndEvent(name) => change.event(&name, &description, end_now).await,
        Command::Order(endpoint, order) => order_endpoint(instance, &endpoint, &order).await,
        _ => Reply::new(Status::BadInput, "this is no order"),
    }
}

fn end_now(event: &mut Event) {
    let now_s = unix_s();
    // An event that has not started is moved to the past, so that no capacity is reserved for it.
    event.starts_at_s = event.starts_at_s.min(now_s.saturating_sub(1));
    event.duration_s = now_s.saturating_sub(event.starts_at_s).max(1);
}

fn done(message: impl Into<String>) -> Reply {
    Reply::new(Status::Done, message)
}

fn refused(message: impl Into<String>) -> Reply {
    Reply::new(Status::Refused, message)
}

async fn drain<S: Store>(
    instance: &Arc<Instance<S>>,
    caller: &Caller,
    place: Place,
    draining: bool,
) -> Reply {
    let current = instance.config.current();
    let config = &current.config;
    let (name, known, target): (_, Vec<&str>, _) = match &place {
        Place::Endpoint(name) => {
            let known = config.endpoints.iter().map(|e| &*e.name).collect();
            (name, known, DrainTarget::Endpoint(name.as_str().into()))
        }
        Place::Hall(name) => {
            let known = config.halls.iter().map(|h| &*h.name).collect();
            (name, known, DrainTarget::Hall(name.as_str().into()))
        }
    };
    if !known.contains(&name.as_str()) {
        let hint = suggestion(name, known);
        return refused(format!("there is no {place}; {hint}"));
    }
    let order =
        instance
            .config
            .drains()
            .next(target, draining, caller.name.clone(), instance.incarnation);
    instance.config.merge_drains(vec![order]);
    let (reached, total) = broadcast_drains(instance).await;
    let verb = if draining { "draining" } else { "taking work" };
    let mut reply = done(format!(
        "{place} is {verb}; in force on {reached} of {total} instances"
    ));
    if reached < total {
        reply
            .message
            .push_str("; the others learn it when they answer again");
    }
    reply
}

/// Sends the drain orders to all other instances. Returns how many instances have them, this one included, and the
/// number of instances.
async fn broadcast_drains<S: Store>(instance: &Arc<Instance<S>>) -> (usize, usize) {
    let orders: Vec<_> = instance.config.drains().orders().cloned().collect();
    let view = instance.gossip.view();
    let calls = view.others().map(|member| {
        let (addr, orders) = (member.info.peer_addr, orders.clone());
        instance
            .peers
            .call(addr, CALL_TIMEOUT, |client, context| async move {
                client.exchange_drains(context, orders).await
            })
    });
    let answers = join_all(calls).await;
    let reached = answers.iter().filter(|a| a.is_ok()).count();
    (reached + 1, answers.len() + 1)
}

fn find_member<S: Store>(instance: &Instance<S>, name: &str) -> Result<Member, Reply> {
    let view = instance.gossip.view();
    let found = view.present().find(|m| &*m.info.name == name).cloned();
    found.ok_or_else(|| {
        let known = view.present().map(|m| &*m.info.name);
        refused(format!(
            "there is no instance `{name}`; {}",
            suggestion(name, known)
        ))
    })
}

async fn stop_instance<S: Store>(instance: &Arc<Instance<S>>, name: &str) -> Reply {
    let member = match find_member(instance, name) {
        Ok(member) => member,
        Err(reply) => return reply,
    };
    if member.info.incarnation == instance.incarnation {
        instance.request_stop();
        return done("this instance stops as planned");
    }
    let addr = member.info.peer_addr;
    let call = instance
        .peers
        .call(addr, CALL_TIMEOUT, |client, context| async move {
            client.stop(context).await
        });
    match call.await {
        Ok(()) => done(format!("instance {name} stops as planned")),
        Err(error) => Reply::new(Status::Unknown, format!("instance {name}: {error}")),
    }
}

async fn cancel<S: Store>(instance: &Arc<Instance<S>>, id: RequestId) -> Reply {
    let held = if id.entry == instance.incarnation {
        instance.registry.cancel(id)
    } else {
        let view = instance.gossip.view();
        let Some(member) = view.member(id.entry) else {
            return refused("the instance that took this request is not known here");
        };
        let addr = member.info.peer_addr;
        let call = instance
            .peers
            .call(addr, CALL_TIMEOUT, |client, context| async move {
                client.cancel(context, id).await
            });
        match call.await {
            Ok(held) => held,
            Err(error) => return Reply::new(Status::Unknown, error.to_string()),
        }
    };
    if held {
        done("told; a request that was sent already runs to its end")
    } else {
        refused("no such request is held")
    }
}

/// A change of the configuration.
///
/// It is a conditional write. If the store's answer is lost, the stored history shows whether the change was applied.
struct Change<'a, S: Store> {
    instance: &'a Arc<Instance<S>>,
    caller: &'a Caller,
    id: &'a str,
}

/// Result of one attempt to write a change.
enum WriteAttempt {
    Finished(Reply),
    /// Nothing was written; the change can be retried.
    Retry,
    /// The write may have taken effect.
    InDoubt,
}

impl<S: Store> Change<'_, S> {
    async fn apply(&self, at_version: Option<u64>, toml: &str) -> Reply {
        let config = match check::parse(toml) {
            Ok(config) => config,
            Err(faults) => return invalid_config(&faults),
        };
        let description = "the whole configuration";
        // A whole document is based on the version its author read, so a change made since then must not be
        // overwritten.
        let base_version = at_version.or(Some(self.instance.config.current().version));
        self.commit(base_version, description, |_| Ok(config.clone()))
            .await
    }

    async fn set(&self, kind: &str, at_version: Option<u64>, toml: &str) -> Reply {
        let fields = match object_fields(toml) {
            Ok(fields) => fields,
            Err(message) => return Reply::new(Status::BadInput, message),
        };
        let name = match (kind, fields.get("name").and_then(Value::as_str)) {
            ("policy", _) => "main".to_owned(),
            (_, Some(name)) => name.to_owned(),
            _ => return Reply::new(Status::BadInput, "the object has no `name`"),
        };
        let key = format!("{kind}/{name}");
        let edit = |base: &Versioned| {
            let mut objects = (*base.objects).clone();
            let old = objects.get(&key).and_then(|t| serde_json::from_str(t).ok());
            let mut object: Map<String, Value> = old.unwrap_or_default();
            object.extend(fields.clone());
            objects.insert(key.clone(), Value::Object(object).to_string());
            let edited = Versioned::from_objects(base.version, objects);
            edited
                .map(|v| Config::clone(&v.config))
                .map_err(|error| format!("{error}: {}", source_text(&error)))
        };
        self.commit(at_version, &format!("set {key}"), edit).await
    }

    async fn remove(&self, kind: &str, name: &str, at_version: Option<u64>) -> Reply {
        let key = format!("{kind}/{name}");
        let edit = |base: &Versioned| {
            let mut objects = (*base.objects).clone();
            if objects.remove(&key).is_none() {
                let prefix = format!("{kind}/");
                let known = objects.keys().filter_map(|k| k.strip_prefix(&prefix));
                return Err(format!(
                    "there is no {kind} `{name}`; {}",
                    suggestion(name, known)
                ));
            }
            let edited = Versioned::from_objects(base.version, objects);
            edited
                .map(|v| Config::clone(&v.config))
                .map_err(|e| e.to_string())
        };
        self.commit(at_version, &format!("remove {key}"), edit)
            .await
    }

    async fn event(&self, name: &str, description: &str, edit_event: impl Fn(&mut Event)) -> Reply {
        let edit = |base: &Versioned| {
            let mut config = Config::clone(&base.config);
            let known: Vec<String> = config.events.iter().map(|e| e.name.to_string()).collect();
            let found = config.events.iter_mut().find(|e| &*e.name == name);
            let Some(event) = found else {
                let hint = suggestion(name, known.iter().map(String::as_str));
                return Err(format!("there is no event `{name}`; {hint}"));
            };
            edit_event(event);
            Ok(config)
        };
        self.commit(None, description, edit).await
    }

    async fn commit(
        &self,
        at_version: Option<u64>,
        description: &str,
        edit: impl Fn(&Versioned) -> Result<Config, String>,
    ) -> Reply {
        let mut in_doubt = false;
        for attempt in 0..MAX_WRITE_ATTEMPTS {
            if attempt > 0 {
                time::sleep(retry_delay(attempt)).await;
            }
            match self
                .try_commit(at_version, description, &edit, in_doubt)
                .await
            {
                WriteAttempt::Finished(reply) => return reply,
                WriteAttempt::Retry => {}
                WriteAttempt::InDoubt => in_doubt = true,
            }
        }
        if in_doubt {
            let message = format!(
                "whether the change took effect is not known; give it again with the id {} once the \
                 platform answers",
                self.id
            );
            return Reply::new(Status::Unknown, message);
        }
        refused("the platform does not take writes now; nothing was changed")
    }

    /// Reads the stored configuration, applies `edit` and writes the result if the version is unchanged.
    async fn try_commit(
        &self,
        at_version: Option<u64>,
        description: &str,
        edit: &impl Fn(&Versioned) -> Result<Config, String>,
        in_doubt: bool,
    ) -> WriteAttempt {
        let Ok(read) = self.instance.store.read(CONFIG_KEY).await else {
            return if in_doubt {
                WriteAttempt::InDoubt
            } else {
                WriteAttempt::Retry
            };
        };
        let expected = read.as_ref().map_or(0, |o| o.version);
        let mut stored = match read.map_or(Ok(StoredConfig::default()), |o| {
            StoredConfig::read(&o.value)
        }) {
            Ok(stored) => stored,
            Err(error) => return WriteAttempt::Finished(refused(error.to_string())),
        };
        if let Some(entry) = stored.history.iter().find(|e| e.command == self.id) {
            return WriteAttempt::Finished(self.accepted(&stored, entry.version).await);
        }
        if let Some(reply) = version_conflict(&stored, at_version) {
            return WriteAttempt::Finished(reply);
        }
        let next = match self.next_version(&stored, edit) {
            Ok(next) => next,
            Err(reply) => return WriteAttempt::Finished(reply),
        };
        stored.set(&next);
        self.add_history(&mut stored, description);
        match self
            .instance
            .store
            .write(CONFIG_KEY, stored.write(), expected)
            .await
        {
            Ok(_) => WriteAttempt::Finished(self.accepted(&stored, stored.version).await),
            Err(WriteError::Conflict | WriteError::NotWritten { .. }) => WriteAttempt::Retry,
            // The next attempt reads the object again. Either the change is in the history under this id, or the
            // same write is repeated, which can succeed only if the first never takes effect.
            Err(WriteError::Unknown { .. }) => WriteAttempt::InDoubt,
        }
    }

    fn next_version(
        &self,
        stored: &StoredConfig,
        edit: &impl Fn(&Versioned) -> Result<Config, String>,
    ) -> Result<Versioned, Reply> {
        let base = stored.versioned().map_err(|e| refused(e.to_string()))?;
        let config = edit(&base).map_err(|e| Reply::new(Status::BadInput, e))?;
        check::verify(&config).map_err(|faults| invalid_config(&faults))?;
        Ok(Versioned::from_config(stored.version + 1, config))
    }

    fn add_history(&self, stored: &mut StoredConfig, description: &str) {
        stored.history.push(HistoryEntry {
            version: stored.version,
            by: self.caller.name.clone(),
            at_s: unix_s(),
            command: self.id.to_owned(),
            what: description.to_owned(),
        });
        let excess = stored.history.len().saturating_sub(MAX_HISTORY_ENTRIES);
        stored.history.drain(..excess);
    }

    /// Installs the accepted version here and waits until all instances have it, at most `IN_FORCE_TIMEOUT`. The reply
    /// states on how many instances it is in force.
    async fn accepted(&self, stored: &StoredConfig, version: u64) -> Reply {
        if let Ok(versioned) = stored.versioned() {
            self.instance.config.install(versioned);
        }
        let deadline = time::Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let (up_to_date, total) = in_force(self.instance, version);
            if up_to_date == total || time::Instant::now() >= deadline {
                let message = format!(
                    "accepted as version {version}; in force on {up_to_date} of {total} instances"
                );
                return done(message);
            }
            time::sleep(IN_FORCE_POLL_INTERVAL).await;
        }
    }
}

/// Returns on how many instances the version is in force, and the number of instances present.
fn in_force<S: Store>(instance: &Instance<S>, version: u64) -> (usize, usize) {
    let view = instance.gossip.view();
    let others = view.others().filter(|m| m.digest.config_version >= version);
    let own = usize::from(instance.config.current().version >= version);
    (others.count() + own, view.present().count())
}

/// Returns a refusal if the change is for another version than the stored one.
fn version_conflict(stored: &StoredConfig, at_version: Option<u64>) -> Option<Reply> {
    let requested = at_version?;
    if requested == stored.version {
        return None;
    }
    let last = stored.history.last();
    let by = last.map_or("somebody", |e| &*e.by);
    let description = last.map_or("", |e| e.what.as_str());
    Some(refused(format!(
        "not accepted: version {} was made by {by} ({description}), and the change is for version {requested}",
        stored.version
    )))
}

fn invalid_config(faults: &[check::Fault]) -> Reply {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    Reply::new(Status::BadInput, lines.join("\n"))
}

fn source_text(error: &dyn std::error::Error) -> String {
    error.source().map_or_else(String::new, ToString::to_string)
}

/// Parses an object's fields, given as TOML lines or as one inline table.
fn object_fields(toml: &str) -> Result<Map<String, Value>, String> {
    let text = if toml.starts_with('{') {
        format!("object = {toml}")
    } else {
        format!("[object]\n{toml}")
    };
    let mut parsed: Map<String, Value> =
        toml::from_str(&text).map_err(|e| e.message().to_owned())?;
    match parsed.remove("object") {
        Some(Value::Object(fields)) => Ok(fields),
        _ => Err("the object has no fields".to_owned()),
    }
}

/// The last fence number given to an order, and the times of recent weight loads in seconds since 1970.
#[derive(Debug, Default, Serialize, Deserialize)]
struct Fences {
    last: u64,
    loads_at_s: Vec<u64>,
}

/// Weight loads within this window count against `weight_loads_per_minute`.
const LOAD_WINDOW_S: u64 = 60;

async fn order_endpoint<S: Store>(
    instance: &Arc<Instance<S>>,
    name: &str,
    order: &EndpointOrder,
) -> Reply {
    let current = instance.config.current();
    let Some(endpoint) = current.config.endpoint(name) else {
        let known = current.config.endpoints.iter().map(|e| &*e.name);
        return refused(format!(
            "there is no endpoint `{name}`; {}",
            suggestion(name, known)
        ));
    };
    let loads_weights = !matches!(order, EndpointOrder::Role(_));
    let per_minute = current.config.policy.weight_loads_per_minute;
    let fence = match next_fence(instance, loads_weights.then_some(per_minute)).await {
        Ok(fence) => fence,
        Err(reply) => return reply,
    };
    send_order(endpoint, order, fence).await
}

/// Allocates the next fence number in the platform's store. An order is sent only after this succeeds.
///
/// With `loads_per_minute`, the order also counts as a weight load and is refused above that rate.
async fn next_fence<S: Store>(
    instance: &Arc<Instance<S>>,
    loads_per_minute: Option<u32>,
) -> Result<u64, Reply> {
    for attempt in 0..MAX_WRITE_ATTEMPTS {
        if attempt > 0 {
            time::sleep(retry_delay(attempt)).await;
        }
        let Ok(read) = instance.store.read(FENCE_KEY).await else {
            break;
        };
        let (version, mut fences) = read_fences(read);
        let now_s = unix_s();
        fences.loads_at_s.retain(|at| at + LOAD_WINDOW_S > now_s);
        if let Some(limit) = loads_per_minute {
            if fences.loads_at_s.len() >= limit as usize {
                let first = fences.loads_at_s.iter().min().copied().unwrap_or(now_s);
                let wait_s = (first + LOAD_WINDOW_S).saturating_sub(now_s);
                let message = format!(
                    "the weight store takes {limit} loads a minute; come back in {wait_s} s"
                );
                return Err(refused(message));
            }
            fences.loads_at_s.push(now_s);
        }
        fences.last += 1;
        let value = serde_json::to_vec(&fences).unwrap_or_default();
        // If the answer to a write is lost, its number is skipped. Gaps are harmless.
        if instance
            .store
            .write(FENCE_KEY, value.into(), version)
            .await
            .is_ok()
        {
            return Ok(fences.last);
        }
    }
    let message = "an order needs a number from the platform, which does not answer; nothing was \
                   ordered";
    Err(refused(message))
}

fn read_fences(read: Option<Object>) -> (u64, Fences) {
    match read {
        None => (0, Fences::default()),
        Some(object) => {
            let fences = serde_json::from_slice(&object.value).unwrap_or_default();
            (object.version, fences)
        }
    }
}

async fn send_order(endpoint: &Endpoint, order: &EndpointOrder, fence: u64) -> Reply {
    let Ok(addr) = endpoint.addr.parse::<SocketAddr>() else {
        return refused(format!("endpoint {} has no usable address", endpoint.name));
    };
    let connection = match Connection::open(addr).await {
        Ok(connection) => connection,
        Err(error) => return refused(format!("nothing was ordered: {error}")),
    };
    let mut request = Request::builder()
        .method(Method::POST)
        .uri("/orders")
        .header(HOST, "endpoint");
    if endpoint.checks_fences {
        request = request.header("x-fence", fence);
    }
    let request = request
        .body(Full::new(Bytes::from(order.to_string())))
        .unwrap_or_default();
    let answer = time::timeout(ORDER_TIMEOUT, connection.send(request)).await;
    let Ok(Ok(answer)) = answer else {
        let message = "the endpoint did not answer; whether it follows the order is not known";
        return Reply::new(Status::Unknown, message);
    };
    let fenced = if endpoint.checks_fences {
        format!("under fence {fence}")
    } else {
        "without a fence: it does not check one".to_owned()
    };
    match answer.response.status() {
        StatusCode::OK => done(format!("{} follows, {fenced}", endpoint.name)),
        StatusCode::CONFLICT => refused("the endpoint has followed a later order"),
        status => refused(format!("the endpoint answered {status}")),
    }
}
