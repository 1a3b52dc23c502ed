//! Reports across all instances: the report of an event, and the recorded traffic as a trace.

use std::{collections::BTreeMap, sync::Arc};

use serde_json::{Value, json};

use crate::{
    clock::unix_s,
    config::check::suggestion,
    instance::Instance,
    operator::{
        execute::{Gathered, gather, rows_of},
        language::Command,
        log::{Reply, Status},
        query::{Row, text},
    },
    peers::rpc::QueryPart,
    replay::trace,
    store::Store,
};

/// Maximum number of trace lines that one instance sends.
const MAX_TRACE_LINES: usize = 20_000;

/// Outcomes of one tier's requests during an event.
#[derive(Default)]
struct TierCounts {
    offered: u64,
    in_time: u64,
    late: u64,
    not_run: BTreeMap<String, u64>,
    unknown: u64,
    caller_left: u64,
    wasted_prefill: u64,
}

/// Reports on an event: goodput and wasted prefill tokens by tier, refusals by reason, and slow endpoints.
pub async fn event<S: Store>(instance: &Arc<Instance<S>>, name: &str) -> Reply {
    let current = instance.config.current();
    let events = &current.config.events;
    if !events.iter().any(|e| &*e.name == name) {
        let hint = suggestion(name, events.iter().map(|e| &*e.name));
        return Reply::new(
            Status::Refused,
            format!("there is no event `{name}`; {hint}"),
        );
    }
    let command_text = Command::ReportEvent(name.to_owned()).to_string();
    let gathered = gather(instance, &command_text).await;
    let mut tiers: BTreeMap<String, TierCounts> = BTreeMap::new();
    let mut slow_endpoint_rows = Vec::new();
    for row in rows_of(&gathered) {
        if row.contains_key("slowness") {
            slow_endpoint_rows.push(row);
        } else {
            add_row(tiers.entry(text(row.get("tier"))).or_default(), &row);
        }
    }
    let order = |name: &String| current.config.tier(name).map_or(u8::MAX, |t| t.rank);
    let mut tiers: Vec<_> = tiers.into_iter().collect();
    tiers.sort_by_key(|(name, _)| order(name));
    let rows = tiers.iter().map(|(name, counts)| tier_row(name, counts));
    let rows = rows
        .filter_map(|r| r.as_object().cloned())
        .chain(slow_endpoint_rows)
        .collect();
    finish(name, rows, gathered)
}

fn finish(name: &str, rows: Vec<Row>, gathered: Gathered) -> Reply {
    Reply {
        status: Status::Done,
        message: format!("event {name}"),
        rows,
        missing: gathered.missing,
        left_out: 0,
    }
}

fn add_row(counts: &mut TierCounts, row: &Row) {
    let count = |field: &str| row.get(field).and_then(Value::as_u64).unwrap_or(0);
    let number = count("count");
    counts.offered += number;
    match text(row.get("outcome")).as_str() {
        "in_time" => counts.in_time += number,
        "late" => counts.late += number,
        "not_run" => {
            let reason = text(row.get("reason"));
            *counts.not_run.entry(reason).or_default() += number;
        }
        "caller_left" => counts.caller_left += number,
        _ => counts.unknown += number,
    }
    counts.wasted_prefill += count("wasted_prefill_tokens");
}

fn tier_row(name: &str, counts: &TierCounts) -> Value {
    let reasons = counts.not_run.iter().map(|(r, n)| format!("{r} {n}"));
    let goodput = counts.in_time as f64 / counts.offered.max(1) as f64;
    json!({
        "tier": name,
        "offered": counts.offered,
        "in_time": counts.in_time,
        "goodput": format!("{:.1}%", goodput * 100.0),
        "late": counts.late,
        "not_run": reasons.collect::<Vec<_>>().join(", "),
        "outcome_unknown": counts.unknown,
        "caller_left": counts.caller_left,
        "wasted_prefill_tokens": counts.wasted_prefill,
    })
}

/// Returns this instance's part of an event's report.
pub async fn event_part<S: Store>(instance: &Arc<Instance<S>>, name: &str) -> QueryPart {
    let current = instance.config.current();
    let Some(event) = current.config.events.iter().find(|e| &*e.name == name) else {
        return QueryPart::default();
    };
    let now_s = unix_s();
    let now_ms = instance.clock.now_us() / 1_000;
    let at_s = |at_ms: u64| now_s.saturating_sub(now_ms.saturating_sub(at_ms) / 1_000);
    let mut counts: BTreeMap<(String, String, String), (u64, u64)> = BTreeMap::new();
    for request in instance.recorder.snapshot() {
        let arrived_s = at_s(request.at_ms);
        let during =
            arrived_s >= event.starts_at_s && arrived_s <= event.starts_at_s + event.duration_s;
        if !during || request.pool.split('@').next() != Some(&event.pool) {
            continue;
        }
        let reason = request.reason.as_deref().unwrap_or("-").to_owned();
        let key = (
            request.tier.to_string(),
            request.outcome.to_string(),
            reason,
        );
        let entry = counts.entry(key).or_default();
        entry.0 += 1;
        if &*request.outcome != "in_time" {
            entry.1 += u64::from(request.prefill_tokens);
        }
    }
    let rows = counts
        .into_iter()
        .map(|((tier, outcome, reason), (count, wasted))| {
            json!({
                "tier": tier,
                "outcome": outcome,
                "reason": reason,
                "count": count,
                "wasted_prefill_tokens": wasted,
            })
            .to_string()
        });
    let mut rows: Vec<String> = rows.collect();
    rows.extend(slow_endpoints(instance, &event.pool).await);
    QueryPart { rows, left_out: 0 }
}

async fn slow_endpoints<S: Store>(instance: &Arc<Instance<S>>, pool: &str) -> Vec<String> {
    const MIN_SLOWNESS: f64 = 1.5;
    let views = instance.leaders.views().await;
    let pool_views = views
        .iter()
        .filter(|v| v.pool.split('@').next() == Some(pool));
    let slow_endpoint_rows = pool_views
        .flat_map(|v| &v.endpoints)
        .filter(|e| e.slowness > MIN_SLOWNESS);
    slow_endpoint_rows
        .map(|e| {
            let slowness = (e.slowness * 100.0).round() / 100.0;
            json!({"endpoint": e.name, "slowness": slowness}).to_string()
        })
        .collect()
}

/// Returns the recorded traffic of all instances as a trace.
pub async fn trace<S: Store>(instance: &Arc<Instance<S>>) -> Reply {
    let gathered = gather(instance, &Command::Trace.to_string()).await;
    let mut rows = rows_of(&gathered);
    rows.sort_by_key(|r| r.get("at_ms").and_then(Value::as_u64));
    let first = rows
        .first()
        .and_then(|r| r.get("at_ms")?.as_u64())
        .unwrap_or(0);
    for row in &mut rows {
        let at_ms = row.get("at_ms").and_then(Value::as_u64).unwrap_or(0);
        row.insert("at_ms".to_owned(), json!(at_ms - first));
    }
    let config = instance.config.current();
    let header = serde_json::to_value(trace::Header::of_config(&config.config));
    let header = header.ok().and_then(|h| h.as_object().cloned());
    let left_out = gathered.parts.iter().map(|p| p.left_out).sum();
    Reply {
        status: Status::Done,
        message: String::new(),
        rows: header.into_iter().chain(rows).collect(),
        missing: gathered.missing,
        left_out,
    }
}

/// Returns this instance's part of the recorded traffic; times are milliseconds since 1970.
pub fn trace_part<S: Store>(instance: &Instance<S>) -> QueryPart {
    let now_ms = instance.clock.now_us() / 1_000;
    let unix_ms = unix_s() * 1_000;
    let recorded = instance.recorder.snapshot();
    let left_out = recorded.len().saturating_sub(MAX_TRACE_LINES);
    let lines = recorded.iter().skip(left_out).map(|request| trace::Line {
        at_ms: unix_ms.saturating_sub(now_ms.saturating_sub(request.at_ms)),
        id: request.id.seq,
        organisation: request.organisation.clone(),
        tier: request.tier.clone(),
        service: request.service.clone(),
        prompt_tokens: request.prompt_tokens,
        prefix: request.prefix.clone(),
        output_tokens: request.output_tokens.max(1),
        deadline_ms: request.deadline_ms,
        repeatable: request.repeatable,
    });
    QueryPart {
        rows: lines
            .filter_map(|l| serde_json::to_string(&l).ok())
            .collect(),
        left_out: left_out as u64,
    }
}
