//! The operators' HTTP listener: commands, state dump, metrics, health and readiness.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http_body_util::{BodyExt, Limited};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};

use crate::{
    config::model::Permission,
    entry::{
        answer::{Body, full},
        parse::key_digest,
    },
    instance::Instance,
    listener,
    operator::execute::{self, Caller},
    store::Store,
};

const MAX_BODY_BYTES: usize = 2 << 20;
const MAX_CONNECTIONS: usize = 200;
/// Timeout for a request's headers and, separately, for its body.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay before the answer to a wrong key, which slows down guessing.
const WRONG_KEY_DELAY: Duration = Duration::from_secs(1);
const MAX_ID_BYTES: usize = 100;

/// JSON body of a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommandBody {
    /// Its text.
    pub text: String,
    /// Its id; a command that changes state is not executed twice under one id. Generated if missing.
    #[serde(default)]
    pub id: Option<String>,
}

/// Accepts and serves operators' connections until the future is dropped.
pub async fn serve<S: Store>(instance: Arc<Instance<S>>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, _) = listener::accept(&listener).await;
        let instance = instance.clone();
        tokio::spawn(async move {
            serve_connection(instance, stream).await;
            drop(permit);
        });
    }
}

async fn serve_connection<S: Store>(instance: Arc<Instance<S>>, stream: TcpStream) {
    let service = service_fn(move |request| {
        let instance = instance.clone();
        async move { Ok::<_, Infallible>(answer(instance, request).await) }
    });
    // An error here means that the client disconnected.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(READ_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn answer<S: Store>(
    instance: Arc<Instance<S>>,
    request: Request<Incoming>,
) -> Response<Body> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => respond(StatusCode::OK, "text/plain", "ok\n".to_owned()),
        (&Method::GET, "/readyz") if instance.is_ready() => {
            respond(StatusCode::OK, "text/plain", "ready\n".to_owned())
        }
        (&Method::GET, "/readyz") => {
            let text = "not ready\n".to_owned();
            respond(StatusCode::SERVICE_UNAVAILABLE, "text/plain", text)
        }
        (&Method::GET, "/metrics") => match metrics_text(&instance) {
            Ok(text) => respond(StatusCode::OK, "text/plain; version=0.0.4", text),
            Err(error) => respond(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                error.to_string(),
            ),
        },
        (&Method::GET, "/dump") => match authenticate(&instance, request.headers()).await {
            Some(_) => respond(StatusCode::OK, "application/json", dump(&instance).await),
            None => unauthorized(),
        },
        (&Method::POST, "/command") => match authenticate(&instance, request.headers()).await {
            Some(caller) => command(instance, caller, request).await,
            None => unauthorized(),
        },
        _ => respond(
            StatusCode::NOT_FOUND,
            "text/plain",
            "no such path\n".to_owned(),
        ),
    }
}

fn metrics_text<S: Store>(instance: &Instance<S>) -> Result<String, std::fmt::Error> {
    let waiting = instance.registry.waiting_by_tier();
    for tier in &instance.config.current().config.tiers {
        let count = waiting.get(&tier.name).copied().unwrap_or(0);
        instance.metrics.set_waiting(&tier.name, count);
    }
    instance.metrics.text(instance.readings())
}

fn respond(status: StatusCode, content_type: &'static str, text: String) -> Response<Body> {
    let mut response = Response::new(full(text));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn unauthorized() -> Response<Body> {
    let text = "the key is missing or not known\n".to_owned();
    respond(StatusCode::UNAUTHORIZED, "text/plain", text)
}

/// Returns the caller whose key the request carries. A wrong key is delayed by `WRONG_KEY_DELAY`.
async fn authenticate<S: Store>(instance: &Instance<S>, headers: &HeaderMap) -> Option<Caller> {
    let found = find_caller(instance, headers);
    if found.is_none() {
        instance.metrics.bad_requests.inc();
        time::sleep(WRONG_KEY_DELAY).await;
    }
    found
}

fn find_caller<S: Store>(instance: &Instance<S>, headers: &HeaderMap) -> Option<Caller> {
    let value = headers.get(AUTHORIZATION)?.to_str().ok()?;
    let digest = key_digest(value.strip_prefix("Bearer ")?);
    // Compares digests, so that the comparison's duration reveals nothing about the key.
    if digest == key_digest(instance.settings.operator_key.expose()) {
        return Some(Caller {
            name: "operator-key".into(),
            permission: Permission::Order,
        });
    }
    let digest_hex = hex::encode(digest);
    let config = instance.config.current();
    let mut operators = config.config.operators.iter();
    let operator = operators.find(|o| o.key_sha256.eq_ignore_ascii_case(&digest_hex))?;
    Some(Caller {
        name: operator.name.clone(),
        permission: operator.may,
    })
}

async fn command<S: Store>(
    instance: Arc<Instance<S>>,
    caller: Caller,
    request: Request<Incoming>,
) -> Response<Body> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
    let Ok(Ok(body)) = time::timeout(READ_TIMEOUT, body).await else {
        let text = format!("the body is longer than {MAX_BODY_BYTES} bytes, slow or cut\n");
        return respond(StatusCode::BAD_REQUEST, "text/plain", text);
    };
    let body: CommandBody = match serde_json::from_slice(&body.to_bytes()) {
        Ok(body) => body,
        Err(error) => {
            let text = format!("the body is not {{\"text\": ..., \"id\": ...}}: {error}\n");
            return respond(StatusCode::BAD_REQUEST, "text/plain", text);
        }
    };
    let id = body.id.unwrap_or_else(new_id);
    if id.is_empty() || id.len() > MAX_ID_BYTES {
        let text = format!("the id is empty or longer than {MAX_ID_BYTES} bytes\n");
        return respond(StatusCode::BAD_REQUEST, "text/plain", text);
    }
    // Runs in its own task, so that a client that disconnects does not cancel a command half way.
    let task =
        tokio::spawn(async move { execute::execute(&instance, &caller, &id, &body.text).await });
    match task.await {
        Ok(reply) => {
            let text = serde_json::to_string(&reply).unwrap_or_default();
            respond(StatusCode::OK, "application/json", text)
        }
        Err(error) => respond(
            StatusCode::INTERNAL_SERVER_ERROR,
            "text/plain",
            error.to_string(),
        ),
    }
}

/// Returns a random 64-bit command id in hexadecimal.
pub fn new_id() -> String {
    format!("{:016x}", rand::random::<u64>())
}

/// Returns the state of this process as JSON, without any keys.
async fn dump<S: Store>(instance: &Arc<Instance<S>>) -> String {
    const MAX_DUMPED_REQUESTS: usize = 10_000;
    let mut ids = instance.registry.ids();
    ids.sort_unstable();
    ids.truncate(MAX_DUMPED_REQUESTS);
    let config = instance.config.current();
    let drains = instance.config.drains();
    let settings = &instance.settings;
    let readings = instance.readings();
    json!({
        "instance": settings.name,
        "incarnation": instance.incarnation.to_string(),
        "hall": settings.hall,
        "data_centre": settings.data_centre,
        "ready": instance.is_ready(),
        "stopping": instance.is_stopping(),
        "config_version": config.version,
        "config_hash": hex::encode(config.hash),
        "waiting": readings.waiting,
        "running": readings.running,
        "requests": instance.registry.views_of(&ids),
        "registrations": instance.registry.registrations(),
        "pools_led": instance.leaders.views().await,
        "peers": *instance.gossip.view(),
        "drains": drains.orders().collect::<Vec<_>>(),
        "control_sent_bytes": readings.control_sent_bytes,
        "control_received_bytes": readings.control_received_bytes,
        "datagrams_dropped": readings.datagrams_dropped,
    })
    .to_string()
}
