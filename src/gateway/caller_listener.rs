//! The HTTP listener for callers.

use std::{convert::Infallible, sync::Arc, time::Duration};

use hyper::{
    Request,
    body::Incoming,
    header::{CONNECTION, HeaderValue},
    server::conn::http1,
    service::{HttpService, service_fn},
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller_stream::{CallerStream, CloseDelimited},
    entry::answer::Body,
    gateway::{
        caller_buffer::CallerConnection,
        caller_idle::{caller_limits, wait_for_idle_timeout},
        protocol::Protocol,
        run,
        state::Gateway,
        unanswered::ConnectionEnd,
    },
    listener,
};

const MAX_HEADERS: usize = 100;
/// Unsent bytes that the kernel takes for a caller. It would take some megabytes for one that does not read, which no
/// limit of this process counts.
const MAX_UNSENT_BYTES: u32 = 64 << 10;
/// The smallest read buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8 << 10;
/// Time in which a connection that is to close still reads a request that has arrived.
const LAST_READ_TIME: Duration = Duration::from_millis(50);

/// Shuts the listener down in two steps.
#[derive(Clone, Default)]
pub struct ListenerStop {
    /// Stops accepting connections.
    pub accept: CancellationToken,
    /// Closes each connection as soon as it is idle.
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
    // Nagle's algorithm would hold back small events until earlier ones are acknowledged; a failure only delays them.
    let _ = stream.set_nodelay(true);
    // A failure only lets the kernel take more.
    let _ = SockRef::from(&stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES);
    let limits = caller_limits(&gateway);
    let caller = CallerConnection::default();
    let CallerConnection {
        cut,
        unanswered,
        activity,
    } = caller.clone();
    let close_delimited = CloseDelimited::default();
    let stream = CallerStream::new(stream, close_delimited.clone());
    let answering_gateway = gateway.clone();
    let service = service_fn(move |request: Request<Incoming>| {
        let (gateway, caller) = (answering_gateway.clone(), caller.clone());
        let close_delimited = close_delimited.clone();
        async move {
            let requested = request.version();
            let mut response = run::answer(gateway.clone(), request, caller).await;
            // hyper's limit is fixed, so the caller has to open another connection for a longer head.
            if caller_limits(&gateway).max_header_bytes != limits.max_header_bytes {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(close_delimited.watch(requested, response))
        }
    });
    let connection = http1::Builder::new()
        // hyper's timeout cannot be changed on an open connection, as a new configuration may change ours.
        .header_read_timeout(None)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    // A caller that does not read keeps its connection busy writing, so only dropping the connection cuts it.
    let end = tokio::select! {
        biased;
        () = cut.cancelled() => ConnectionEnd::Cut,
        // Polled before the timeout, so that a request that has arrived is begun.
        served = run_connection(connection, stop) => match served {
            Ok(()) => ConnectionEnd::Closed,
            Err(error) => ConnectionEnd::Failed(error),
        },
        () = wait_for_idle_timeout(&gateway, &activity) => ConnectionEnd::Closed,
    };
    gateway.note_connection_end(&unanswered, &end);
}

/// Serves a connection until it ends; once `stop` is cancelled, until it is idle.
async fn run_connection<S>(
    connection: http1::Connection<TokioIo<CallerStream>, S>,
    stop: CancellationToken,
) -> Result<(), hyper::Error>
where
    S: HttpService<Incoming, ResBody = Body, Error = Infallible>,
{
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        ended = connection.as_mut() => return ended,
        () = stop.cancelled() => {}
    }
    if let Ok(ended) = time::timeout(LAST_READ_TIME, connection.as_mut()).await {
        return ended;
    }
    connection.as_mut().graceful_shutdown();
    connection.await
}
