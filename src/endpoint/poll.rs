//! Polls endpoints for their load and cache events, for the pools that this instance leads.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode, header};
use rand::RngExt;
use serde::{Deserialize, de::DeserializeOwned};
use tokio::{task::JoinSet, time};

use crate::{
    config::model::PoolKind,
    core::{endpoint::LoadReport, prefix::CacheEvent},
    endpoint::connection::Connection,
    instance::Instance,
    pool::slice,
    prelude::Name,
    store::Store,
};

const POLL_INTERVAL_MS: u64 = 1_000;
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const MAX_RESPONSE_BYTES: usize = 1 << 20;

#[derive(Deserialize)]
struct LoadResponse {
    running: u32,
    waiting: u32,
    #[serde(default)]
    age_ms: u64,
}

/// Polls the endpoints of every pool that this instance leads, until its task is cancelled.
pub async fn run<S: Store>(instance: Arc<Instance<S>>) {
    let mut newest_seqs = std::collections::HashMap::new();
    loop {
        let wait_ms = rand::rng().random_range(POLL_INTERVAL_MS * 3 / 4..POLL_INTERVAL_MS * 5 / 4);
        time::sleep(Duration::from_millis(wait_ms)).await;
        let config = instance.config.current();
        let view = instance.gossip.view();
        let mut polls = JoinSet::new();
        for pool in slice::all_slices(&config.config) {
            if !view.leads(&slice::leader_key(&pool)) {
                continue;
            }
            let kind = slice::pool_of(&config.config, &pool).map(|p| p.kind);
            for endpoint in slice::endpoints(&config.config, &pool) {
                let Ok(addr) = endpoint.addr.parse() else {
                    continue;
                };
                let after_seq = (kind == Some(PoolKind::Model))
                    .then(|| newest_seqs.get(&endpoint.name).copied().unwrap_or(0));
                let (instance, pool) = (instance.clone(), pool.clone());
                let name = endpoint.name.clone();
                polls.spawn(async move {
                    let newest_seq = poll(&instance, &pool, &name, addr, after_seq).await;
                    (name, newest_seq)
                });
            }
        }
        while let Some(done) = polls.join_next().await {
            if let Ok((name, Some(newest_seq))) = done {
                newest_seqs.insert(name, newest_seq);
            }
        }
    }
}

/// Polls one endpoint: its load, and its cache events after `after_seq` if that is given. Returns the sequence number of
/// the newest cache event received.
async fn poll<S: Store>(
    instance: &Instance<S>,
    pool: &Name,
    name: &Name,
    addr: SocketAddr,
    after_seq: Option<u64>,
) -> Option<u64> {
    if let Some(load) = get::<LoadResponse>(addr, "/load").await {
        let report = LoadReport {
            running: load.running,
            waiting: load.waiting,
            age_us: load.age_ms * 1_000,
        };
        instance
            .leaders
            .forward_load_report(pool, name.clone(), report);
    }
    let path = format!("/cache/events?after={}", after_seq?);
    let events: Vec<CacheEvent> = get(addr, &path).await?;
    let newest_seq = events.last().map(|e| e.seq);
    for event in events {
        instance
            .leaders
            .forward_cache_event(pool, name.clone(), event);
    }
    newest_seq
}

async fn get<T: DeserializeOwned>(addr: SocketAddr, path: &str) -> Option<T> {
    let request = Request::builder()
        .uri(path)
        .header(header::HOST, "endpoint")
        .body(Full::<Bytes>::default())
        .ok()?;
    let attempt = async {
        let connection = Connection::open(addr).await.ok()?;
        let answer = connection.send(request).await.ok()?;
        if answer.response.status() != StatusCode::OK {
            return None;
        }
        let body = Limited::new(answer.response.into_body(), MAX_RESPONSE_BYTES);
        let bytes = body.collect().await.ok()?.to_bytes();
        serde_json::from_slice(&bytes).ok()
    };
    time::timeout(CALL_TIMEOUT, attempt).await.ok().flatten()
}
