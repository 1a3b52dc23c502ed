//! Accepting connections: one at a time, or in a loop with a connection limit and a graceful shutdown.

use std::{iter, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    time,
};
use tokio_util::sync::CancellationToken;

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts the next connection. Waits after a failed accept, which would fail again at once.
pub async fn accept(listener: &TcpListener) -> (TcpStream, SocketAddr) {
    loop {
        match listener.accept().await {
            Ok(accepted) => return accepted,
            Err(error) => {
                log::debug!("failed to accept a connection: {error}");
                time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Closes a listener; returns the connections that the kernel has accepted. It would reset them, with requests that have
/// arrived.
fn close(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else {
        return Vec::new();
    };
    let accepted = iter::from_fn(|| listener.accept().ok());
    let streams = accepted.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    streams.collect()
}

/// Accepts connections until `stop` is cancelled, then returns once all open connections have ended.
pub async fn serve<F, R>(
    listener: TcpListener,
    max_connections: usize,
    stop: CancellationToken,
    serve_one: F,
) where
    F: Fn(TcpStream) -> R,
    R: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(max_connections));
    let start = |stream, permit: OwnedSemaphorePermit| {
        let serving = serve_one(stream);
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
    };
    loop {
        // At the limit nothing is accepted: further connections wait in the kernel's accept queue.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let (stream, _) = tokio::select! {
            () = stop.cancelled() => break,
            accepted = accept(&listener) => accepted,
        };
        start(stream, permit);
    }
    for stream in close(listener) {
        if let Ok(permit) = permits.clone().try_acquire_owned() {
            start(stream, permit);
        }
    }
    let all = u32::try_from(max_connections).unwrap_or(u32::MAX);
    // Each open connection holds a permit until its last byte is written, so this waits for all of them.
    let _ = permits.acquire_many(all).await;
}
