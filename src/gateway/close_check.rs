//! Finds out whether an endpoint lives on that has closed the connection of an answer.
//!
//! The close alone proves nothing: the kernel closes the connections of a process that crashes like those of one that has
//! finished. But it closes the listener of that process, too. So such an endpoint is asked for a connection, and over it
//! for its status. What keeps the check from being made is no sign that the endpoint has ended.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, StatusCode, Uri,
    header::{HOST, HeaderValue},
};
use tokio::time::{self, Instant};

use crate::{
    balance::{balancer::Choice, reachability::Reach},
    endpoint::{
        close_check::{SETTLING_TIME, SILENCE_TIMEOUT},
        connection_pool::EndpointConnection,
    },
    gateway::{attempt::Job, endpoint_connect::ConnectError, protocol::Protocol, state::Gateway},
    prelude::{Micros, Name},
};

/// Reason for not taking an answer as complete: its connection was closed, and its endpoint has ended or could not be asked.
pub const CLOSE_UNCONFIRMED: &str = "close_unconfirmed";
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time for the status check. An endpoint that is busy answers it later; one that has just started is not busy.
const STATUS_TIMEOUT: Duration = Duration::from_millis(300);

/// What is known of an endpoint after it has closed the connection of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Liveness {
    /// It lives on.
    Alive,
    /// It has ended, or another start is in its place.
    Ended,
    /// Neither it nor the service's other endpoints are reached: either all have ended, or the link is cut.
    LikelyEnded,
    /// Nothing: it could not be asked.
    Unknown,
}

/// Why a check does not show that an endpoint lives on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The endpoint refuses connections.
    Refused,
    /// No endpoint of the service is reached, and no other instance is known to reach any.
    AllUnreachable,
    /// Another start answers at its address.
    OtherStart,
    /// The connection was closed before an answer.
    Closed,
    /// A proxy on the way does not reach the endpoint.
    ProxyError,
    /// The instance that carried the check was lost.
    CarrierLost,
    /// The endpoint does not answer a connect.
    Silent,
    /// No request may be sent to it from the instances that reach it.
    Withheld,
    /// This instance is cut off, and no other one that was asked carries the check.
    Unreachable,
    /// The time of the request is over.
    TimeOver,
}

/// Checks whether the endpoint lives on that has closed the connection of an answer.
pub async fn check<P: Protocol>(gateway: &Arc<Gateway<P>>, job: &Job, choice: &Choice) -> Liveness {
    let confirming = confirm(gateway, job, choice);
    let confirmed = gateway.clock.timeout_at(job.until_us, confirming).await;
    let Err(failure) = confirmed.unwrap_or(Err(Failure::TimeOver)) else {
        return Liveness::Alive;
    };
    gateway.metrics.closes_unconfirmed.inc();
    log::info!(
        target: "ryevalve::request",
        request_id = job.request_id(),
        route = &*job.route.name,
        endpoint = &*choice.id,
        reason = failure.as_str();
        "close_unconfirmed"
    );
    failure.liveness()
}

/// Asks the start of the endpoint that has closed a connection for its status.
async fn confirm<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    choice: &Choice,
) -> Result<(), Failure> {
    time::sleep(SETTLING_TIME).await;
    let mut connection = connect(gateway, job, choice).await?;
    let answer = connection
        .sender
        .send_request(status_check(gateway, job, choice));
    match time::timeout(STATUS_TIMEOUT, answer).await {
        Ok(Ok(answer)) => judge_status(answer.status()),
        // A new start is not busy.
        Err(_) => Ok(()),
        // An endpoint's close arrives through a tunnel as such; an error is that of the tunnel.
        Ok(Err(error)) if connection.tunnel.is_some() && !error.is_incomplete_message() => {
            Err(Failure::CarrierLost)
        }
        // A proxy on the way has taken the connection in place of the endpoint.
        Ok(Err(_)) => Err(Failure::Closed),
    }
}

fn judge_status(status: StatusCode) -> Result<(), Failure> {
    match status {
        StatusCode::MISDIRECTED_REQUEST => Err(Failure::OtherStart),
        StatusCode::BAD_GATEWAY | StatusCode::GATEWAY_TIMEOUT => Err(Failure::ProxyError),
        _ => Ok(()),
    }
}

/// Connects to an endpoint, which may be silent for a moment.
async fn connect<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    choice: &Choice,
) -> Result<EndpointConnection, Failure> {
    let service = &job.placement_request.service;
    let regions = &job.placement_request.allowed_regions;
    let began_us = gateway.clock.now_us();
    let until = Instant::now() + SILENCE_TIMEOUT;
    loop {
        match gateway.open_connection(service, choice, regions).await {
            Ok(connection) => return Ok(connection),
            Err(ConnectError::Silent) if Instant::now() < until => time::sleep(RETRY_PAUSE).await,
            Err(ConnectError::Silent) => return Err(Failure::Silent),
            Err(ConnectError::Withheld) => return Err(Failure::Withheld),
            // An instance that carries connections has reached an endpoint since the cut.
            Err(ConnectError::Unreachable)
                if gateway.endpoint_reach.reach(service) == Reach::CutOff =>
            {
                return Err(Failure::Unreachable);
            }
            Err(ConnectError::Unreachable) => return Err(Failure::AllUnreachable),
            Err(ConnectError::Refused)
                if do_all_refuse(gateway, service, choice, began_us).await =>
            {
                return Err(Failure::AllUnreachable);
            }
            Err(ConnectError::Refused) => return Err(Failure::Refused),
        }
    }
}

/// Returns whether the service's other endpoints cannot be reached from here either. While this instance is cut off, the
/// instances that carry its connections find that out.
async fn do_all_refuse<P: Protocol>(
    gateway: &Gateway<P>,
    service: &Name,
    choice: &Choice,
    since_us: Micros,
) -> bool {
    gateway.endpoint_reach.reach(service) == Reach::Reached
        && !gateway.reaches_service(service, choice.key, since_us).await
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

impl Failure {
    /// Returns what it shows of the endpoint.
    fn liveness(self) -> Liveness {
        match self {
            Self::Refused | Self::OtherStart | Self::Closed => Liveness::Ended,
            Self::AllUnreachable => Liveness::LikelyEnded,
            Self::ProxyError
            | Self::CarrierLost
            | Self::Silent
            | Self::Withheld
            | Self::Unreachable
            | Self::TimeOver => Liveness::Unknown,
        }
    }

    /// Returns the name in logs.
    fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::AllUnreachable => "all_unreachable",
            Self::OtherStart => "another_start",
            Self::Closed => "closed_before_answer",
            Self::ProxyError => "proxy_error",
            Self::CarrierLost => "carrier_lost",
            Self::Silent => "silent",
            Self::Withheld => "withheld",
            Self::Unreachable => "unreachable",
            Self::TimeOver => "no_time_left",
        }
    }
}
