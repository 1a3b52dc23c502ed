//! The [`Store`] trait: durable objects and the list of instances.
//!
//! The request path never waits for the store, except to claim a key whose request must not run twice.

use std::{future::Future, net::SocketAddr, time::Duration};

use bytes::Bytes;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// A stored value with the version that the platform assigned. Versions count up from 1.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Object {
    /// The version to expect in a conditional write.
    pub version: u64,
    /// The value, of at most 1 MB.
    pub value: Bytes,
}

/// One entry of the platform's instance list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub name: String,
    /// The address on which it listens for peers.
    pub peer_addr: SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Why a read or watch failed.
#[derive(Debug, Snafu)]
pub enum ReadError {
    /// The platform did not answer, or not in time.
    #[snafu(display("the platform is unavailable: {reason}"))]
    Unavailable {
        /// The failure as it was observed.
        reason: String,
    },
    /// The object exists, but its content is of another writer or of no known form.
    #[snafu(display("the object at version {version} cannot be decoded: {reason}"))]
    Unreadable {
        /// The version to expect in a write that replaces it.
        version: u64,
        /// The failure as it was observed.
        reason: String,
    },
}

/// Returns an object that cannot be decoded as one with an empty value, for readers that replace such objects.
///
/// # Errors
/// The platform did not answer.
pub fn empty_if_unreadable(
    read: Result<Option<Object>, ReadError>,
) -> Result<Option<Object>, ReadError> {
    match read {
        Err(ReadError::Unreadable { version, .. }) => Ok(Some(Object {
            version,
            value: Bytes::new(),
        })),
        read => read,
    }
}

/// Why a conditional write failed, or why its outcome is unknown.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// Another write came first; nothing was written.
    #[snafu(display("the object is at another version"))]
    Conflict,
    /// The write was refused and had no effect.
    #[snafu(display("the platform refused the write: {reason}"))]
    NotWritten {
        /// The failure as it was observed.
        reason: String,
    },
    /// No answer came, so the write may have taken effect. Read the object before writing again.
    #[snafu(display("the write's outcome is unknown: {reason}"))]
    Unknown {
        /// The failure as it was observed.
        reason: String,
    },
}

/// The part of the platform's object API that this program uses.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads an object.
    ///
    /// # Errors
    /// The platform did not answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Object>, ReadError>> + Send;

    /// Writes an object if its version is `expected`, where 0 means that it does not exist. Returns the new
    /// version.
    ///
    /// # Errors
    /// The error tells whether nothing was written or the outcome is unknown.
    fn write(
        &self,
        key: &str,
        value: Bytes,
        expected: u64,
    ) -> impl Future<Output = Result<u64, WriteError>> + Send;

    /// Waits for at most `wait` until an object's version is higher than `after`. Returns none on timeout.
    ///
    /// # Errors
    /// The platform did not answer.
    fn watch(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Object>, ReadError>> + Send;

    /// Returns the newest era of the store that an answer has shown; 0 before the first one, or if the store has no
    /// eras. What was read or written in an earlier era may be lost, because the store came back from a copy.
    fn era(&self) -> u64;

    /// Reads the instance list.
    ///
    /// # Errors
    /// The platform did not answer.
    fn instances(&self) -> impl Future<Output = Result<Vec<ListedInstance>, ReadError>> + Send;
}

/// A [`Store`] whose objects can be listed.
pub trait ListingStore: Store {
    /// Reads all objects.
    ///
    /// # Errors
    /// The platform did not answer.
    fn list(&self) -> impl Future<Output = Result<Vec<Object>, ReadError>> + Send;
}

/// The era of the store in which an object was read or written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObjectEra(u64);

impl ObjectEra {
    /// Returns the era of an object whose call was made while `before` was the newest era and answered while `after`
    /// was. If it changed meanwhile, the object may be of either, so the earlier one counts.
    pub fn of_call(before: u64, after: u64) -> Self {
        match before {
            0 => Self(after),
            _ => Self(before),
        }
    }

    /// Returns whether the store may have lost the object, now that `newest` is the newest era. An object that was not
    /// read from the store has no era, and cannot be lost.
    pub fn may_be_lost(self, newest: u64) -> bool {
        self.0 != 0 && self.0 != newest
    }
}

const RETRY_BASE_MS: u64 = 40;

/// Returns the randomised, exponentially growing delay before retry number `attempt`.
pub fn back_off_delay(attempt: u32) -> Duration {
    let ceiling = RETRY_BASE_MS << attempt.min(7);
    Duration::from_millis(rand::rng().random_range(ceiling / 2..=ceiling))
}
