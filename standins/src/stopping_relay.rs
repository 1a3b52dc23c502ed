//! A relay that closes its connection after some bytes of an answer.

use std::net::SocketAddr;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};

/// Relays one connection to `target` and closes it after this many bytes of what `target` sends; returns the address of
/// the relay, and later the number of bytes that it passed on.
///
/// # Panics
/// Panics if no port can be bound, and in its task if `target` cannot be reached.
pub async fn stop_after(target: SocketAddr, bytes: u64) -> (SocketAddr, JoinHandle<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        let (caller, _) = listener.accept().await.expect("a connection");
        let target = TcpStream::connect(target).await.expect("a connection");
        let (mut from_caller, mut to_caller) = caller.into_split();
        let (from_target, mut to_target) = target.into_split();
        let asking =
            tokio::spawn(async move { tokio::io::copy(&mut from_caller, &mut to_target).await });
        let copied = tokio::io::copy(&mut from_target.take(bytes), &mut to_caller).await;
        // An error means that the caller has left.
        let _ = to_caller.shutdown().await;
        asking.abort();
        copied.unwrap_or(0)
    });
    (addr, task)
}
