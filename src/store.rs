//! The store of what must last, and the list of instances, behind a trait.
//!
//! Nothing on the request path waits for it, but for the claim of a key that may not be run twice.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A stored value with the version that the platform gave it; versions count up from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version to name in a conditional update.
    pub version: u64,
    /// The value, of at most 1 MB.
    pub value: Bytes,
}

/// One line of the platform's instance list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub name: String,
    /// Where it talks to its peers.
    pub peer_addr: SocketAddr,
    /// Whether it is about to go.
    pub leaving: bool,
}

/// Why a read or watch brought nothing.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform did not answer, or not in time.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// What was seen.
        reason: String,
    },
}

/// What became of a conditional write that did not plainly succeed.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// Another write came first; nothing was written.
    #[snafu(display("the object is at another version"))]
    Conflict,
    /// Refused before it took effect.
    #[snafu(display("the platform refused the write: {reason}"))]
    NotWritten {
        /// What was seen.
        reason: String,
    },
    /// No answer came: it may have taken effect. Read before writing again.
    #[snafu(display("the write's outcome is unknown: {reason}"))]
    Unknown {
        /// What was seen.
        reason: String,
    },
}

/// The object API, as far as it is used.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    ///
    /// # Errors
    /// The platform did not answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Object>, ReadError>> + Send;

    /// Writes an object if it is at `expected`; 0 stands for one that does not exist. Returns the
    /// new version.
    ///
    /// # Errors
    /// Says whether nothing was written, or that this is not known.
    fn write(
        &self,
        key: &str,
        value: Bytes,
        expected: u64,
    ) -> impl Future<Output = Result<u64, WriteError>> + Send;

    /// Waits until an object is past version `after`, for at most `wait`; returns none if it is not.
    ///
    /// # Errors
    /// The platform did not answer.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, ReadError>> + Send;

    /// Reads the instance list.
    ///
    /// # Errors
    /// The platform did not answer.
    fn instances(&self) -> impl Future<Output = Result<Vec<ListedInstance>, ReadError>> + Send;
}

const RETRY_BASE_MS: u64 = 40;

/// Returns a random wait that grows with each attempt.
pub fn backoff(attempt: u32) -> Duration {
    let ceiling = RETRY_BASE_MS << attempt.min(7);
    Duration::from_millis(rand::rng().random_range(ceiling / 2..=ceiling))
}
