//! How long a caller's connection is idle, and when that is too long.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use tokio::time::{self, Instant};

use crate::gateway::{
    config::CallerLimits,
    protocol::Protocol,
    state::{Gateway, lock},
};

/// Idle connections stay open this much longer than the configured idle timeout, so that the caller is the side that
/// closes them.
const IDLE_MARGIN: Duration = Duration::from_secs(3);

#[derive(Debug)]
struct State {
    requests: usize,
    /// When the connection was opened, or its last request ended.
    idle_since: Instant,
}

/// The requests in progress on a connection.
#[derive(Clone, Debug)]
pub struct ConnectionActivity(Arc<Mutex<State>>);

impl Default for ConnectionActivity {
    fn default() -> Self {
        Self(Arc::new(Mutex::new(State {
            requests: 0,
            idle_since: Instant::now(),
        })))
    }
}

impl ConnectionActivity {
    /// Notes that a request is in progress until the returned guard is dropped.
    pub fn begin_request(&self) -> RequestInProgress {
        lock(&self.0).requests += 1;
        RequestInProgress(self.clone())
    }

    /// Returns since when there has been no request in progress, or `None` if there is one.
    fn idle_since(&self) -> Option<Instant> {
        let state = lock(&self.0);
        (state.requests == 0).then_some(state.idle_since)
    }
}

/// A request in progress on a connection.
#[derive(Debug)]
pub struct RequestInProgress(ConnectionActivity);

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        let mut state = lock(&self.0.0);
        state.requests -= 1;
        state.idle_since = Instant::now();
    }
}

/// Waits until a connection has been idle for longer than the configuration in force allows. The time in which the head
/// of a request arrives counts as idle.
pub async fn wait_for_idle_timeout<P: Protocol>(
    gateway: &Gateway<P>,
    activity: &ConnectionActivity,
) {
    loop {
        let limits = caller_limits(gateway);
        let timeout = limits.idle_timeout.max(limits.header_timeout) + IDLE_MARGIN;
        // While a request is in progress, the timeout cannot end sooner than this.
        let idle_since = activity.idle_since().unwrap_or_else(Instant::now);
        if idle_since.elapsed() >= timeout {
            return;
        }
        time::sleep_until(idle_since + timeout).await;
    }
}

/// Returns the limits of callers in the configuration in force.
pub fn caller_limits<P: Protocol>(gateway: &Gateway<P>) -> CallerLimits {
    let table = gateway.config.table();
    table.map_or_else(CallerLimits::default, |t| t.config().caller_limits)
}
