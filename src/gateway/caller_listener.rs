//! The callers' listener.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::{
    gateway::{config::CallerLimits, protocol::Protocol, run, state::Gateway},
    listener,
};

const MAX_HEADERS: usize = 100;
/// hyper's least buffer.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// A caller's connection rests for as long as operators say and this much longer, so that the
/// caller is the one who closes it.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

/// How a listener ends.
#[derive(Clone, Default)]
pub struct ListenerStop {
    /// No connection is accepted any more.
    pub accept: CancellationToken,
    /// Connections close once they rest.
    pub connections: CancellationToken,
}

/// Serves callers until stopped, and returns once all connections are closed.
pub async fn serve<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    listener: TcpListener,
    max_connections: usize,
    stop: ListenerStop,
) {
    let ListenerStop {
        accept,
        connections,
    } = stop;
    let serve_one = move |stream| serve_connection(gateway.clone(), stream, connections.clone());
    listener::serve(listener, max_connections, accept, serve_one).await;
}

async fn serve_connection<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    stream: TcpStream,
    stop: CancellationToken,
) {
    // Without this small events wait for acknowledgements; with it failing they are late.
    let _ = stream.set_nodelay(true);
    let limits = gateway
        .config
        .table()
        .map_or_else(CallerLimits::default, |t| t.config().caller_limits);
    let service = service_fn(move |request| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(run::answer(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // hyper counts the rest before a request as part of the time for its head.
        .header_read_timeout(limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    // An error here is the caller's leaving or a body that was cut on purpose.
    let _ = connection.await;
}
