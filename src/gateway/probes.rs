//! Serves the readiness probe and the metrics.

use std::{convert::Infallible, sync::Arc};

use hyper::{Request, Response, StatusCode, body::Incoming, server::conn::http1};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::{
    entry::answer::{Body, full},
    gateway::{metrics::GatewayReadings, protocol::Protocol, state::Gateway},
    listener,
};

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Serves until dropped: metrics under [`METRICS_PATH`], the readiness probe under any other path.
pub async fn serve<P: Protocol>(gateway: Arc<Gateway<P>>, listener: TcpListener) {
    loop {
        let (stream, _) = listener::accept(&listener).await;
        let gateway = gateway.clone();
        let service = hyper::service::service_fn(move |request| {
            let response = answer(&gateway, &request);
            async move { Ok::<_, Infallible>(response) }
        });
        tokio::spawn(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // An error means that the client disconnected.
            let _ = connection.await;
        });
    }
}

fn answer<P: Protocol>(gateway: &Gateway<P>, request: &Request<Incoming>) -> Response<Body> {
    if request.uri().path() == METRICS_PATH {
        return Response::new(full(gateway.metrics.text(readings(gateway))));
    }
    let mut response = Response::new(full(""));
    if !gateway.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

fn readings<P: Protocol>(gateway: &Gateway<P>) -> GatewayReadings {
    let age_s = |age_ms: Option<u64>| age_ms.map_or(f64::NAN, |ms| ms as f64 / 1e3);
    let config_age_s = age_s(gateway.config_age_ms());
    let endpoints_age_s = age_s(gateway.endpoints_age_ms());
    let balancer = gateway.balancer();
    GatewayReadings {
        config_version: gateway.config.version(),
        config_age_s,
        endpoints_age_s,
        endpoints: balancer.endpoint_count(),
        limited_endpoints: balancer.announcements().limited(),
        leaving_endpoints: balancer.announcements().leaving(),
        resting_endpoints: balancer.back_offs().len(),
        unreachable_endpoints: gateway.endpoint_reach.failed_endpoints(),
        services_cut_off: gateway.endpoint_reach.services_cut_off(),
        open_carried: gateway.carried.open(),
        waiting: balancer.waiting_count(),
        instances_heard: gateway.instance_counts().heard,
        resting_connections: gateway.connections.idle_count(),
        held_bytes: gateway.held_memory.total_bytes(),
        rollouts: gateway.rollouts.figures(),
    }
}
