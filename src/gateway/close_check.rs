//! Decides whether an answer is complete that is delimited by the close of its connection.
//!
//! The close alone proves nothing: the kernel closes the connections of a process that crashes like those of one that has
//! finished. But it closes the listener of that process, too. So such an answer counts as complete only if its endpoint
//! takes a connection afterwards, and no other start of it answers there.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode, Uri,
    header::{HOST, HeaderValue},
};
use tokio::time::{self, Instant};

use crate::{
    balance::balancer::Choice,
    endpoint::{
        close_check::{SETTLING_TIME, SILENCE_TIMEOUT},
        connection_pool::EndpointConnection,
    },
    gateway::{attempt::Job, endpoint_connect::ConnectError, protocol::Protocol, state::Gateway},
};

/// Reason for not taking an answer as complete: its connection was closed, and nothing shows that its endpoint lives on.
pub const CLOSE_UNCONFIRMED: &str = "close_unconfirmed";
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for the status check. An endpoint that is busy answers it later; one that has just started is not busy.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// Returns whether an answer to a request, which ended with its connection, is complete.
pub async fn is_confirmed<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    choice: &Choice,
) -> bool {
    let confirming = lives_on(gateway, job, choice);
    let confirmed = gateway.clock.timeout_at(job.until_us, confirming).await;
    let is_confirmed = confirmed.unwrap_or(false);
    if !is_confirmed {
        gateway.metrics.closes_unconfirmed.inc();
        log::info!(
            target: "ryevalve::request",
            request_id = job.request_id(),
            route = &*job.route.name,
            endpoint = &*choice.id;
            "close_unconfirmed"
        );
    }
    is_confirmed
}

/// Returns whether the start of the endpoint that has closed a connection is still there.
async fn lives_on<P: Protocol>(gateway: &Arc<Gateway<P>>, job: &Job, choice: &Choice) -> bool {
    time::sleep(SETTLING_TIME).await;
    let Some(mut connection) = connect(gateway, job, choice).await else {
        return false;
    };
    let answer = connection
        .sender
        .send_request(status_check(gateway, job, choice));
    match time::timeout(STATUS_TIMEOUT, answer).await {
        Ok(Ok(answer)) => answer.status() != StatusCode::MISDIRECTED_REQUEST,
        // A proxy on the way has taken the connection in place of the endpoint.
        Ok(Err(_)) => false,
        Err(_) => true,
    }
}

/// Connects to an endpoint, which may be silent for a moment.
async fn connect<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    choice: &Choice,
) -> Option<EndpointConnection> {
    let service = &job.placement_request.service;
    let regions = &job.placement_request.allowed_regions;
    let until = Instant::now() + SILENCE_TIMEOUT;
    loop {
        match gateway.open_connection(service, choice, regions).await {
            Ok(connection) => return Some(connection),
            Err(ConnectError::Silent) if Instant::now() < until => time::sleep(RETRY_PAUSE).await,
            Err(_) => return None,
        }
    }
}

/// Returns a status check that another start of the endpoint refuses.
fn status_check<P: Protocol>(
    gateway: &Gateway<P>,
    job: &Job,
    choice: &Choice,
) -> Request<Full<Bytes>> {
    let table = gateway.config.table();
    let service = table
        .as_ref()
        .and_then(|t| t.service(&job.placement_request.service));
    let path = service.and_then(|s| s.health_path.parse::<Uri>().ok());
    let mut request = Request::new(Full::default());
    *request.uri_mut() = path.unwrap_or_else(|| Uri::from_static("/"));
    let host = HeaderValue::from_str(&choice.addr.to_string());
    if let Ok(host) = host {
        request.headers_mut().insert(HOST, host);
    }
    gateway
        .protocol
        .write_status_check(request.headers_mut(), &choice.id);
    request
}
