//! Bounds how long two endpoints run the same stream.
//!
//! An endpoint that does not answer may be lost, or be silent for a moment and go on. Its run is therefore kept until
//! another endpoint has accepted the request, and not for long after that.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{self, Instant},
};

/// Longest time for which the earlier run of a stream goes on after another endpoint has accepted the request. An engine
/// that still runs it 400 ms later holds memory that other streams need.
pub const MAX_OVERLAP: Duration = Duration::from_millis(300);

/// Says when something happened to an attempt.
#[derive(Clone, Debug)]
pub struct Signal(watch::Sender<Option<Instant>>);

impl Default for Signal {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl Signal {
    /// Notes that it happened.
    pub fn set(&self, at: Instant) {
        self.0.send_replace(Some(at));
    }

    /// Returns whether it has happened.
    pub fn is_set(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Waits until it has happened, and returns when that was.
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

    /// Waits until an earlier run of the stream must end, if this says when another endpoint accepted the request.
    pub async fn wait_for_overlap_end(&self) {
        let end = self.wait().await + MAX_OVERLAP;
        time::sleep_until(end).await;
    }
}
