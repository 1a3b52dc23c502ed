//! The HTTP listener for callers. Limits the size and duration of everything a caller sends, and gives each
//! request exactly one answer.

use std::{convert::Infallible, io, sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{
    HeaderMap, Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue},
    http::request::Parts,
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde_json::json;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller_body::CallerBody,
    caller_stream::{CallerStream, CloseDelimited},
    entry::{
        answer::{self, Body},
        parse::{self, Route},
        refusal::Refusal,
        run,
    },
    instance::Instance,
    listener,
    store::Store,
};

const MAX_HEADER_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 64;
const MAX_BUFFERED_MESSAGES: usize = 16;

/// Serves callers until cancelled, then returns once the requests on open connections have finished.
pub async fn serve<S: Store>(
    instance: Arc<Instance<S>>,
    listener: TcpListener,
    stop: CancellationToken,
) {
    let max_connections = instance.settings.max_connections;
    let open_stop = stop.clone();
    let serve_one = move |stream| serve_connection(instance.clone(), stream, open_stop.clone());
    listener::serve(listener, max_connections, stop, serve_one).await;
}

async fn serve_connection<S: Store>(
    instance: Arc<Instance<S>>,
    stream: TcpStream,
    stop: CancellationToken,
) {
    // Without TCP_NODELAY small events wait for acknowledgements. If setting it fails, they are only late.
    let _ = stream.set_nodelay(true);
    let header_timeout = Duration::from_millis(instance.settings.header_timeout_ms);
    let cut = CancellationToken::new();
    let connection_cut = cut.clone();
    let close_delimited = CloseDelimited::default();
    let stream = CallerStream::new(stream, close_delimited.clone());
    let service = service_fn(move |request: Request<Incoming>| {
        let (instance, cut) = (instance.clone(), cut.clone());
        let close_delimited = close_delimited.clone();
        async move {
            let requested = request.version();
            let response = answer(instance, request, cut).await;
            Ok::<_, Infallible>(close_delimited.watch(requested, response))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(header_timeout)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let serving = async {
        tokio::select! {
            ended = connection.as_mut() => return ended,
            () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        connection.await
    };
    // An error here means that the caller disconnected or that a body was aborted on purpose.
    let _ = connection_cut.run_until_cancelled(serving).await;
}

async fn answer<S: Store>(
    instance: Arc<Instance<S>>,
    request: Request<Incoming>,
    cut: CancellationToken,
) -> Response<Body> {
    let (parts, incoming) = request.into_parts();
    let mut body = CallerBody::new(&parts.headers, incoming);
    match handle(&instance, &parts, &mut body).await {
        Ok(response) => response,
        Err(refusal) => {
            instance.metrics.bad_requests.inc();
            let mut response = refusal.response(None);
            body.discard_rest(&mut response, cut);
            response
        }
    }
}

async fn handle<S: Store>(
    instance: &Arc<Instance<S>>,
    parts: &Parts,
    body: &mut CallerBody,
) -> Result<Response<Body>, Refusal> {
    let route = parse::route(parts)?;
    if !instance.is_ready() {
        let message = "this instance takes no requests now";
        return Err(Refusal::not_run("not_ready", message, 1_000));
    }
    let config = instance.config.current();
    let keys = instance.keys();
    let organisation = parse::authenticate(&parts.headers, &config.config, &keys)?;
    if route == Route::Ticket {
        return Ok(issue_ticket(instance));
    }
    let body = read_body(instance, &parts.headers, body).await?;
    let id = instance.registry.next_id();
    let call = parse::call(
        &config.config,
        organisation,
        id,
        route,
        &parts.headers,
        body,
    )?;
    let (sender, messages) = mpsc::channel(MAX_BUFFERED_MESSAGES);
    tokio::spawn(run::run(instance.clone(), call, sender));
    Ok(answer::response_from_messages(id, messages).await)
}

fn issue_ticket<S: Store>(instance: &Instance<S>) -> Response<Body> {
    let ticket = instance.tickets.issue().to_string();
    let mut response = Response::new(answer::full(json!({"ticket": ticket}).to_string()));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, kind);
    response
}

async fn read_body<S: Store>(
    instance: &Instance<S>,
    headers: &HeaderMap,
    body: &mut CallerBody,
) -> Result<Bytes, Refusal> {
    let limit = instance.settings.max_body_bytes;
    let content_length = headers.get(CONTENT_LENGTH);
    let content_length = content_length.and_then(|v| v.to_str().ok()?.parse::<u64>().ok());
    if content_length.is_some_and(|p| p > limit as u64) {
        return Err(too_large(limit));
    }
    let timeout = Duration::from_millis(instance.settings.body_timeout_ms);
    let collected = time::timeout(timeout, Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(too_large(limit)),
        Ok(Err(_)) => {
            let message = "the body broke off";
            Err(Refusal::bad(StatusCode::BAD_REQUEST, "body_cut", message))
        }
        Err(_) => {
            let message = format!("the body did not come within {} ms", timeout.as_millis());
            Err(Refusal::bad(
                StatusCode::REQUEST_TIMEOUT,
                "slow_body",
                message,
            ))
        }
    }
}

fn too_large(limit: usize) -> Refusal {
    let message = format!("the body is longer than {limit} bytes");
    Refusal::bad(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message)
}

/// Binds a TCP listener.
///
/// # Errors
/// Returns the error if the address cannot be bound.
pub async fn bind(addr: std::net::SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(addr).await
}
