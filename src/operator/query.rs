//! Runs a query on one instance: produces its rows, or their summary by group.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value, json};

use crate::{
    core::lifecycle::Stage,
    distribution::{CONFIG_KEY, StoredConfig},
    entry::registry::{HeldView, is_waiting},
    instance::Instance,
    operator::{
        language::{self, Command, Comparison, Condition, Query, Source, Summary},
        report,
    },
    peers::rpc::QueryPart,
    pool::slice,
    prelude::RequestId,
    store::Store,
};

/// Maximum number of rows that one instance sends.
const MAX_ROWS: usize = 5_000;
/// Requests processed before the task yields to others.
const ROWS_PER_CHUNK: usize = 500;
/// Maximum number of groups that one instance sends.
const MAX_GROUPS: usize = 2_000;
const BUCKETS_PER_DOUBLING: f64 = 8.0;

/// One row: values by field name.
pub type Row = Map<String, Value>;

/// Summary of a group's rows; summaries of several instances can be merged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Number of rows.
    pub count: u64,
    /// Sum of the summarised field.
    pub sum: f64,
    /// Number of values by bucket of a logarithmic histogram, with eight buckets per doubling.
    pub buckets: BTreeMap<u32, u64>,
}

impl Group {
    fn add(&mut self, value: Option<f64>) {
        self.count += 1;
        let Some(value) = value else { return };
        self.sum += value;
        *self.buckets.entry(bucket(value)).or_default() += 1;
    }

    /// Adds another instance's summary of the same group.
    pub fn merge(&mut self, other: &Self) {
        self.count += other.count;
        self.sum += other.sum;
        for (bucket, count) in &other.buckets {
            *self.buckets.entry(*bucket).or_default() += count;
        }
    }

    /// Returns the `q` quantile (0 to 1), rounded up to the edge of its bucket; 0 without values.
    pub fn quantile(&self, q: f64) -> f64 {
        let total: u64 = self.buckets.values().sum();
        let wanted = (total as f64 * q).ceil() as u64;
        let mut seen = 0;
        for (bucket, count) in &self.buckets {
            seen += count;
            if seen >= wanted {
                return upper_edge(*bucket);
            }
        }
        0.0
    }
}

fn bucket(value: f64) -> u32 {
    ((value.max(0.0) + 1.0).log2() * BUCKETS_PER_DOUBLING) as u32
}

fn upper_edge(bucket: u32) -> f64 {
    let edge = (f64::from(bucket + 1) / BUCKETS_PER_DOUBLING).exp2() - 1.0;
    edge.round()
}

/// Runs a command's text on this instance and returns its part of the answer; empty for anything but a query.
pub async fn answer_part<S: Store>(instance: &Arc<Instance<S>>, text: &str) -> QueryPart {
    match language::parse(text) {
        Ok(Command::Query(query)) => run(instance, &query).await,
        Ok(Command::Why(id)) => why_part(instance, id).await,
        Ok(Command::ReportEvent(name)) => report::event_part(instance, &name).await,
        Ok(Command::Trace) => report::trace_part(instance),
        _ => QueryPart::default(),
    }
}

/// Explains what this instance knows of a request as its entry instance, as its pool's leader and from the record of
/// ended requests.
async fn why_part<S: Store>(instance: &Arc<Instance<S>>, id: RequestId) -> QueryPart {
    let mut rows = Vec::new();
    for view in instance.registry.views_of(&[id]) {
        let mut row = held_row(instance, &view);
        row["why"] = json!("held here");
        rows.push(row.to_string());
    }
    for (pool, why) in instance.leaders.explain(id).await {
        let instance = &instance.settings.name;
        rows.push(json!({"instance": instance, "pool": pool, "why": why}).to_string());
    }
    let ended = instance.recorder.snapshot();
    for request in ended.iter().filter(|r| r.id == id) {
        let reason = request.reason.as_deref().unwrap_or("-");
        let why = format!(
            "ended as {} ({reason}) after {} ms",
            request.outcome, request.took_ms
        );
        rows.push(
            json!({
                "instance": instance.settings.name,
                "tier": request.tier,
                "organisation": request.organisation,
                "endpoint": request.endpoint,
                "why": why,
            })
            .to_string(),
        );
    }
    QueryPart { rows, left_out: 0 }
}

/// Runs a query on this instance.
pub async fn run<S: Store>(instance: &Arc<Instance<S>>, query: &Query) -> QueryPart {
    let mut collector = Collector::new(query);
    match query.source {
        Source::Queued | Source::Running => held_rows(instance, query, &mut collector).await,
        Source::Shed | Source::Ended => ended_rows(instance, query, &mut collector).await,
        Source::Endpoints => endpoint_rows(instance, &mut collector).await,
        Source::Pools => pool_rows(instance, &mut collector).await,
        Source::Commands => command_rows(instance, &mut collector),
        Source::Instances => instance_rows(instance, &mut collector),
        Source::Events => event_rows(instance, &mut collector),
        Source::Config => config_rows(instance, &mut collector),
        Source::History => history_rows(instance, &mut collector).await,
        Source::Drains => drain_rows(instance, &mut collector),
    }
    collector.finish()
}

/// Returns whether each instance has its own rows for a source, so that all must be queried.
pub fn is_per_instance(source: Source) -> bool {
    matches!(
        source,
        Source::Queued
            | Source::Running
            | Source::Shed
            | Source::Ended
            | Source::Endpoints
            | Source::Pools
            | Source::Commands
    )
}

struct Collector<'q> {
    query: &'q Query,
    rows: Vec<String>,
    groups: BTreeMap<Vec<String>, Group>,
    left_out: u64,
}

impl<'q> Collector<'q> {
    fn new(query: &'q Query) -> Self {
        Self {
            query,
            rows: Vec::new(),
            groups: BTreeMap::new(),
            left_out: 0,
        }
    }

    fn add(&mut self, row: Value) {
        let Value::Object(row) = row else { return };
        if !self.query.conditions.iter().all(|c| holds(c, &row)) {
            return;
        }
        let Some(summary) = &self.query.summary else {
            if self.rows.len() < MAX_ROWS {
                self.rows.push(Value::Object(row).to_string());
            } else {
                self.left_out += 1;
            }
            return;
        };
        let key: Vec<String> = self
            .query
            .group_by
            .iter()
            .map(|f| text(row.get(f)))
            .collect();
        if self.groups.len() >= MAX_GROUPS && !self.groups.contains_key(&key) {
            self.left_out += 1;
            return;
        }
        let value = match summary {
            Summary::Count => None,
            Summary::Sum(field) | Summary::Percentiles(field) => number(row.get(field)),
        };
        self.groups.entry(key).or_default().add(value);
    }

    fn finish(self) -> QueryPart {
        let groups = self.groups.iter();
        let groups = groups.filter_map(|group| serde_json::to_string(&group).ok());
        QueryPart {
            rows: self.rows.into_iter().chain(groups).collect(),
            left_out: self.left_out,
        }
    }
}

/// Returns whether a row satisfies a condition. Values that are both numeric are compared as numbers, others as text.
pub fn holds(condition: &Condition, row: &Row) -> bool {
    use std::cmp::Ordering;
    let found = row.get(&condition.field);
    let numbers = number(found).zip(condition.value.parse::<f64>().ok());
    let ordering = match numbers {
        Some((found, wanted)) => found.partial_cmp(&wanted),
        None => Some(text(found).as_str().cmp(&condition.value)),
    };
    let Some(ordering) = ordering else {
        return false;
    };
    match condition.comparison {
        Comparison::Equal => ordering == Ordering::Equal,
        Comparison::Unequal => ordering != Ordering::Equal,
        Comparison::Below => ordering == Ordering::Less,
        Comparison::AtMost => ordering != Ordering::Greater,
        Comparison::Above => ordering == Ordering::Greater,
        Comparison::AtLeast => ordering != Ordering::Less,
    }
}

/// Formats a value as operators write it; `-` for a missing one.
pub fn text(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn number(value: Option<&Value>) -> Option<f64> {
    value?.as_f64()
}

async fn held_rows<S: Store>(
    instance: &Arc<Instance<S>>,
    query: &Query,
    collector: &mut Collector<'_>,
) {
    let waiting = query.source == Source::Queued;
    let config = instance.config.current();
    let ids = instance.registry.ids();
    for chunk in ids.chunks(ROWS_PER_CHUNK) {
        for view in instance.registry.views_of(chunk) {
            if is_waiting(view.stage) != waiting {
                continue;
            }
            let hall = view
                .endpoint
                .as_ref()
                .and_then(|e| config.config.endpoint(e));
            let event = config.config.events.iter().find(|e| {
                let now_s = crate::clock::unix_s();
                let active = now_s >= e.starts_at_s && now_s <= e.starts_at_s + e.duration_s;
                active && view.pool.split('@').next() == Some(&e.pool)
            });
            let mut row = held_row(instance, &view);
            row["hall"] = json!(hall.map(|e| &e.hall));
            row["event"] = json!(event.map(|e| &e.name));
            collector.add(row);
        }
        // Releases the registry's lock and this thread between chunks.
        tokio::task::yield_now().await;
    }
}

fn held_row<S: Store>(instance: &Instance<S>, view: &HeldView) -> Value {
    json!({
        "id": view.id.to_string(),
        "instance": instance.settings.name,
        "organisation": view.organisation,
        "tier": view.tier,
        "service": view.service,
        "pool": view.pool,
        "stage": stage_name(view.stage),
        "endpoint": view.endpoint,
        "age_ms": view.age_ms,
        "left_ms": view.left_ms,
        "prompt_tokens": view.prompt_tokens,
        "repeatable": view.repeatable,
    })
}

fn stage_name(stage: Stage) -> &'static str {
    match stage {
        Stage::Waiting => "waiting",
        Stage::Granted => "granted",
        Stage::Sent => "sent",
        Stage::Ended(_) => "ended",
    }
}

async fn ended_rows<S: Store>(
    instance: &Arc<Instance<S>>,
    query: &Query,
    collector: &mut Collector<'_>,
) {
    const SHED: [&str; 3] = ["queue_full", "deadline_unreachable", "tier_shed"];
    let config = instance.config.current();
    let ended = instance.recorder.snapshot();
    let now_ms = instance.clock.now_us() / 1_000;
    for chunk in ended.chunks(ROWS_PER_CHUNK) {
        for request in chunk {
            let is_shed = request.reason.as_deref().is_some_and(|r| SHED.contains(&r));
            if query.source == Source::Shed && !is_shed {
                continue;
            }
            let hall = request
                .endpoint
                .as_ref()
                .and_then(|e| config.config.endpoint(e));
            collector.add(json!({
                "id": request.id.to_string(),
                "instance": instance.settings.name,
                "organisation": request.organisation,
                "tier": request.tier,
                "service": request.service,
                "pool": request.pool,
                "endpoint": request.endpoint,
                "hall": hall.map(|e| &e.hall),
                "outcome": request.outcome,
                "reason": request.reason,
                "age_ms": now_ms.saturating_sub(request.at_ms),
                "waited_ms": request.waited_ms,
                "took_ms": request.took_ms,
                "prompt_tokens": request.prompt_tokens,
                "output_tokens": request.output_tokens,
                "repeatable": request.repeatable,
            }));
        }
        tokio::task::yield_now().await;
    }
}

async fn endpoint_rows<S: Store>(instance: &Arc<Instance<S>>, collector: &mut Collector<'_>) {
    for pool in instance.leaders.views().await {
        for endpoint in pool.endpoints {
            collector.add(json!({
                "name": endpoint.name,
                "endpoint": endpoint.name,
                "hall": endpoint.hall,
                "pool": pool.pool,
                "running": endpoint.running,
                "slots": endpoint.slots,
                "slowness": (endpoint.slowness * 100.0).round() / 100.0,
                "draining": endpoint.draining,
            }));
        }
    }
}

async fn pool_rows<S: Store>(instance: &Arc<Instance<S>>, collector: &mut Collector<'_>) {
    for pool in instance.leaders.views().await {
        let running: u32 = pool.endpoints.iter().map(|e| e.running).sum();
        let slots: u32 = pool.endpoints.iter().map(|e| e.slots).sum();
        let waiting: usize = pool.waiting_by_tier.iter().sum();
        collector.add(json!({
            "name": pool.pool,
            "pool": pool.pool,
            "leader": instance.settings.name,
            "waiting": waiting,
            "running": running,
            "slots": slots,
        }));
    }
}

fn command_rows<S: Store>(instance: &Instance<S>, collector: &mut Collector<'_>) {
    for logged in instance.commands.snapshot() {
        collector.add(json!({
            "id": logged.id,
            "instance": instance.settings.name,
            "by": logged.by,
            "at_s": logged.at_s,
            "command": logged.text,
            "outcome": logged.reply.status,
            "what": logged.reply.message,
        }));
    }
}

fn instance_rows<S: Store>(instance: &Instance<S>, collector: &mut Collector<'_>) {
    let view = instance.gossip.view();
    for member in &view.members {
        let liveness = if member.info.leaving && member.is_present() {
            "leaving".to_owned()
        } else {
            format!("{:?}", member.liveness).to_lowercase()
        };
        collector.add(json!({
            "name": member.info.name,
            "instance": member.info.name,
            "id": member.info.incarnation.to_string(),
            "hall": member.info.hall,
            "liveness": liveness,
            "config_version": member.digest.config_version,
        }));
    }
    for addr in &view.unmet {
        collector.add(json!({"name": addr.to_string(), "liveness": "listed, never met"}));
    }
}

fn event_rows<S: Store>(instance: &Instance<S>, collector: &mut Collector<'_>) {
    let now_s = crate::clock::unix_s();
    for event in &instance.config.current().config.events {
        let ends_s = event.starts_at_s + event.duration_s;
        let stage = match now_s {
            now if now >= ends_s => "over",
            now if now >= event.starts_at_s => "on",
            now if now + event.keep_room_s >= event.starts_at_s => "keeping room",
            _ => "to come",
        };
        collector.add(json!({
            "name": event.name,
            "event": event.name,
            "pool": event.pool,
            "tier": event.tier,
            "starts_at_s": event.starts_at_s,
            "stage": stage,
        }));
    }
}

fn config_rows<S: Store>(instance: &Instance<S>, collector: &mut Collector<'_>) {
    let current = instance.config.current();
    for (key, value) in current.objects.iter() {
        collector.add(json!({
            "key": key,
            "version": current.version,
            "value": value,
        }));
    }
}

async fn history_rows<S: Store>(instance: &Instance<S>, collector: &mut Collector<'_>) {
    let Ok(Some(object)) = instance.store.read(CONFIG_KEY).await else {
        return;
    };
    let Ok(stored) = StoredConfig::read(&object.value) else {
        return;
    };
    for entry in stored.history {
        collector.add(json!({
            "version": entry.version,
            "by": entry.by,
            "at_s": entry.at_s,
            "command": entry.command,
            "what": entry.what,
        }));
    }
}

fn drain_rows<S: Store>(instance: &Instance<S>, collector: &mut Collector<'_>) {
    use crate::operator::drains::DrainTarget;
    for order in instance.config.drains().orders() {
        let target = match &order.target {
            DrainTarget::Endpoint(name) => format!("endpoint {name}"),
            DrainTarget::Hall(name) => format!("hall {name}"),
        };
        collector.add(json!({
            "target": target,
            "draining": order.draining,
            "by": order.by,
            "at_s": order.at_s,
        }));
    }
}

/// Returns the leader's name for each pool slice, according to this instance's membership view.
pub fn pool_leaders<S: Store>(instance: &Instance<S>) -> BTreeMap<String, String> {
    let view = instance.gossip.view();
    let slices = slice::all_slices(&instance.config.current().config);
    let leaders = slices.iter().filter_map(|pool| {
        let leader = view.leader(&slice::leader_key(pool))?;
        Some((pool.to_string(), leader.info.name.to_string()))
    });
    leaders.collect()
}
