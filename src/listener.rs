//! Accepts connections up to a bound, and ends once those that are open have ended.

use std::{sync::Arc, time::Duration};

use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time,
};
use tokio_util::sync::CancellationToken;

/// Out of descriptors, the next accept is tried after this time.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves connections until `stop`, then returns once the open ones have ended.
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
    loop {
        // Above the bound nothing is accepted: callers wait in the system's queue, unread.
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let serving = serve_one(stream);
        tokio::spawn(async move {
            serving.await;
            drop(permit);
        });
    }
    drop(listener);
    let all = u32::try_from(max_connections).unwrap_or(u32::MAX);
    // Each open connection holds a permit until its last byte is written.
    let _ = permits.acquire_many(all).await;
}
