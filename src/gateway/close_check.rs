//! Decides whether an answer is complete that is delimited by the close of its connection.
//!
//! The close alone proves nothing: the kernel closes the connections of a process that crashes like those of one that has
//! finished. But it closes the listener of that process, too. So such an answer counts as complete only if its endpoint
//! takes a connection afterwards.

use std::{sync::Arc, time::Duration};

use tokio::time::{self, Instant};

use crate::{
    balance::{balancer::Choice, regions::AllowedRegions},
    gateway::{attempt::Job, endpoint_connect::ConnectError, protocol::Protocol, state::Gateway},
    prelude::Name,
};

/// Reason for not taking an answer as complete: its connection was closed, and its endpoint takes no other one.
pub const CLOSE_UNCONFIRMED: &str = "close_unconfirmed";
/// Time from the close until the endpoint is asked for a connection. The kernel closes the sockets of a process one after
/// the other.
const SETTLING_TIME: Duration = Duration::from_millis(10);
/// Time in which an endpoint that does not answer must take a connection: it may be silent for a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Returns whether an answer to a request, which ended with its connection, is complete.
pub async fn is_confirmed<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    job: &Job,
    choice: &Choice,
) -> bool {
    let service = &job.placement_request.service;
    let regions = &job.placement_request.allowed_regions;
    let confirming = takes_connection(gateway, service, choice, regions);
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

/// Returns whether an endpoint takes a connection, which is kept for the next request.
async fn takes_connection<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    service: &Name,
    choice: &Choice,
    regions: &AllowedRegions,
) -> bool {
    let until = Instant::now() + SILENCE_TIMEOUT;
    time::sleep(SETTLING_TIME).await;
    loop {
        match gateway.open_connection(service, choice, regions).await {
            Ok(connection) => {
                let now_us = gateway.clock.now_us();
                gateway
                    .connections
                    .return_idle(now_us, choice.addr, connection, None);
                return true;
            }
            Err(ConnectError::Silent) if Instant::now() < until => time::sleep(RETRY_PAUSE).await,
            Err(_) => return false,
        }
    }
}
