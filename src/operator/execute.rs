//! Executes an operator's command and queries the other instances where the answer needs their rows.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use futures::future::join_all;
use serde_json::{Map, Value, json};

use crate::{
    clock::unix_s,
    config::model::Permission,
    instance::Instance,
    operator::{
        language::{self, Command, Query, Source, Summary},
        log::{LoggedCommand, Reply, Status},
        orders,
        query::{self, Group, Row, text},
        report,
    },
    peers::{
        datagram::Liveness,
        rpc::QueryPart,
        view::{Member, View},
    },
    prelude::Name,
    store::Store,
};

/// Timeout for another instance's answer to a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Rows in a reply if the query has no `limit`.
const DEFAULT_LIMIT: usize = 200;
const MAX_LIMIT: usize = 10_000;
/// Characters of a command's text that are kept in the command log.
const MAX_LOGGED_CHARS: usize = 200;

/// The authenticated operator who sent a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// Their name in the configuration.
    pub name: Name,
    /// Their permission.
    pub permission: Permission,
}

/// The instances' parts of an answer, and the instances whose part is missing.
pub struct Gathered {
    /// The parts received.
    pub parts: Vec<QueryPart>,
    /// Instances that did not answer.
    pub missing: Vec<String>,
}

/// Executes a command. A command that changes state runs once per id: a repeated id gets the first reply from the
/// command log.
pub async fn execute<S: Store>(
    instance: &Arc<Instance<S>>,
    caller: &Caller,
    id: &str,
    text: &str,
) -> Reply {
    let command = match language::parse(text) {
        Ok(command) => command,
        Err(error) => return Reply::new(Status::BadInput, error.to_string()),
    };
    if command.is_read_only() {
        return run_read_only(instance, command).await;
    }
    if caller.permission < Permission::Order {
        return Reply::new(Status::Refused, "this key is for asking only");
    }
    if let Some(logged) = instance.commands.find(id) {
        return logged.reply;
    }
    let reply = orders::execute_order(instance, caller, id, command).await;
    log::info!("command {id} by {}: {:?}", caller.name, reply.status);
    instance.commands.add(LoggedCommand {
        id: id.to_owned(),
        by: caller.name.clone(),
        at_s: unix_s(),
        text: text.chars().take(MAX_LOGGED_CHARS).collect(),
        reply: reply.clone(),
    });
    reply
}

async fn run_read_only<S: Store>(instance: &Arc<Instance<S>>, command: Command) -> Reply {
    match command {
        Command::Query(query) => execute_query(instance, query).await,
        Command::Why(id) => {
            let gathered = gather(instance, &Command::Why(id).to_string()).await;
            let rows = rows_of(&gathered);
            let message = if rows.is_empty() {
                "no instance that answered knows this request"
            } else {
                ""
            };
            reply(rows, gathered, message)
        }
        Command::ReportEvent(name) => report::event(instance, &name).await,
        Command::Trace => report::trace(instance).await,
        _ => Reply::new(Status::BadInput, "this is no question"),
    }
}

async fn execute_query<S: Store>(instance: &Arc<Instance<S>>, query: Query) -> Reply {
    let gathered = if query::is_per_instance(query.source) {
        gather(instance, &Command::Query(query.clone()).to_string()).await
    } else {
        Gathered {
            parts: vec![query::run(instance, &query).await],
            missing: Vec::new(),
        }
    };
    let mut rows = match &query.summary {
        None => rows_of(&gathered),
        Some(summary) => summary_rows(&query, summary, &gathered),
    };
    if query.source == Source::Pools && query.summary.is_none() {
        add_idle_pools(instance, &mut rows);
    }
    sort_rows(&mut rows, &query);
    let limit = query.limit.unwrap_or(DEFAULT_LIMIT).min(MAX_LIMIT);
    let excess = rows.len().saturating_sub(limit) as u64;
    rows.truncate(limit);
    let mut reply = reply(rows, gathered, "");
    reply.left_out += excess;
    reply
}

/// Adds rows for pools that no leader reported because they have had no requests yet; their leader is known anyway.
fn add_idle_pools<S: Store>(instance: &Instance<S>, rows: &mut Vec<Row>) {
    for (pool, leader) in query::pool_leaders(instance) {
        if rows.iter().any(|r| text(r.get("pool")) == pool) {
            continue;
        }
        let row = json!({"name": pool, "pool": pool, "leader": leader, "waiting": 0});
        rows.extend(row.as_object().cloned());
    }
}

fn reply(rows: Vec<Row>, gathered: Gathered, message: &str) -> Reply {
    let left_out = gathered.parts.iter().map(|p| p.left_out).sum();
    Reply {
        status: Status::Done,
        message: message.to_owned(),
        rows,
        missing: gathered.missing,
        left_out,
    }
}

/// Runs a command's text on every instance, this one included, and collects the parts.
pub async fn gather<S: Store>(instance: &Arc<Instance<S>>, command_text: &str) -> Gathered {
    let view = instance.gossip.view();
    let other_members = view.others().cloned();
    let calls =
        other_members.map(|member| query_instance(instance, member, command_text.to_owned()));
    let (own, answers) = tokio::join!(query::answer_part(instance, command_text), join_all(calls));
    let mut gathered = Gathered {
        parts: vec![own],
        missing: unreachable_instances(&view),
    };
    for answer in answers {
        match answer {
            Ok(part) => gathered.parts.push(part),
            Err(name) => gathered.missing.push(name),
        }
    }
    gathered
}

/// Instances that may hold rows but cannot be queried: dead ones, and listed addresses that were never reached.
fn unreachable_instances(view: &View) -> Vec<String> {
    let dead = view.members.iter().filter(|m| m.liveness == Liveness::Dead);
    let dead = dead.map(|m| m.info.name.to_string());
    dead.chain(view.unmet.iter().map(ToString::to_string))
        .collect()
}

async fn query_instance<S: Store>(
    instance: &Arc<Instance<S>>,
    member: Member,
    command_text: String,
) -> Result<QueryPart, String> {
    let addr = member.info.peer_addr;
    let call = instance
        .peers
        .call(addr, QUERY_TIMEOUT, |client, context| async move {
            client.query(context, command_text).await
        });
    let outcome = tokio::time::timeout(QUERY_TIMEOUT, call).await;
    let name = || member.info.name.to_string();
    outcome.map_err(|_| name())?.map_err(|_| name())
}

/// Returns the rows of all parts.
pub fn rows_of(gathered: &Gathered) -> Vec<Row> {
    let texts = gathered.parts.iter().flat_map(|p| &p.rows);
    texts.filter_map(|t| serde_json::from_str(t).ok()).collect()
}

fn summary_rows(query: &Query, summary: &Summary, gathered: &Gathered) -> Vec<Row> {
    let mut groups: BTreeMap<Vec<String>, Group> = BTreeMap::new();
    let texts = gathered.parts.iter().flat_map(|p| &p.rows);
    for (key, group) in texts.filter_map(|t| serde_json::from_str::<(_, Group)>(t).ok()) {
        groups.entry(key).or_default().merge(&group);
    }
    if groups.is_empty() && query.group_by.is_empty() {
        groups.insert(Vec::new(), Group::default());
    }
    let rows = groups.iter().map(|(key, group)| {
        let mut row = Map::new();
        for (field, value) in query.group_by.iter().zip(key) {
            row.insert(field.clone(), json!(value));
        }
        row.insert("count".to_owned(), json!(group.count));
        match summary {
            Summary::Count => {}
            Summary::Sum(field) => {
                row.insert(format!("sum_{field}"), json!(group.sum));
            }
            Summary::Percentiles(field) => {
                for (name, q) in [("p50", 0.5), ("p90", 0.9), ("p95", 0.95), ("p99", 0.99)] {
                    row.insert(format!("{name}_{field}"), json!(group.quantile(q)));
                }
            }
        }
        row
    });
    rows.collect()
}

fn sort_rows(rows: &mut [Row], query: &Query) {
    let Some((field, descending)) = &query.order_by else {
        return;
    };
    rows.sort_by(|a, b| compare(a.get(field), b.get(field)));
    if *descending {
        rows.reverse();
    }
}

fn compare(a: Option<&Value>, b: Option<&Value>) -> std::cmp::Ordering {
    match (a.and_then(Value::as_f64), b.and_then(Value::as_f64)) {
        (Some(a), Some(b)) => a.total_cmp(&b),
        _ => text(a).cmp(&text(b)),
    }
}
