//! Decides whether an answer is complete that is delimited by the close of its connection.
//!
//! The kernel closes the connections of a process that crashes like those of one that has finished, and its listener,
//! too. So such an answer counts as complete only if its endpoint takes a connection afterwards.

use std::{net::SocketAddr, time::Duration};

use tokio::time::{self, Instant};

use crate::endpoint::connection::{ConnectError, Connection};

/// Time from the close until the endpoint is asked for a connection. The kernel closes the sockets of a process one after
/// the other.
pub const SETTLING_TIME: Duration = Duration::from_millis(10);
/// A connect that takes longer is tried again: its packets may have been lost.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Time in which an endpoint that does not answer must take a connection: it may be silent for a second.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Returns whether an answer of the endpoint at `addr`, which has just ended with its connection, is complete.
pub async fn is_confirmed(addr: SocketAddr) -> bool {
    let until = Instant::now() + SILENCE_TIMEOUT;
    time::sleep(SETTLING_TIME).await;
    loop {
        match time::timeout(CONNECT_TIMEOUT, Connection::open(addr)).await {
            Ok(Ok(_)) => return true,
            Err(_) | Ok(Err(ConnectError::TimedOut { .. })) if Instant::now() < until => {}
            Ok(Err(_)) | Err(_) => return false,
        }
    }
}
