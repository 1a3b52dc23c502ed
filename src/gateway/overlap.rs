//! Bounds how long two endpoints run the same request.
//!
//! An endpoint that does not answer may be lost, or be silent for a moment and go on. Its run is therefore kept until
//! another endpoint has taken the request over, but not for long once that one runs it as well.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Longest time for which the earlier run of a stream goes on after the request was sent to another endpoint. An engine
/// that still runs it 400 ms later holds memory that other streams need.
const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Says when a request was sent to an endpoint.
#[derive(Clone, Debug)]
pub struct SentSignal(watch::Sender<Option<Instant>>);

impl Default for SentSignal {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl SentSignal {
    /// Notes that the request was sent.
    pub fn set(&self, at: Instant) {
        self.0.send_replace(Some(at));
    }

    /// Notes that the endpoint does not run the request after all.
    pub fn clear(&self) {
        self.0.send_replace(None);
    }

    /// Waits until the request was sent, and returns when that was.
    pub async fn wait(&self) -> Instant {
        let mut sent = self.0.subscribe();
        loop {
            if let Some(at) = *sent.borrow_and_update() {
                return at;
            }
            // The sender is `self`, so this is no error.
            let _ = sent.changed().await;
        }
    }

    /// Waits until the earlier run of the request must end.
    pub async fn wait_for_overlap_end(&self) {
        loop {
            let end = self.wait().await + MAX_OVERLAP;
            time::sleep_until(end).await;
            let sent = *self.0.borrow();
            if sent.is_some_and(|at| at + MAX_OVERLAP <= Instant::now()) {
                return;
            }
        }
    }
}
