//! Client of the platform's object store over HTTP: paged lists, single objects, watches and
//! conditional writes.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /objects/KIND?sinceRevision=NAME` | a page of the kind's objects after NAME |
//! | `GET /objects/KIND/NAME` | one object, or 404 |
//! | `GET /objects/KIND?watch=REVISION&waitMs=MS` | the changes since, as soon as there are any |
//! | `POST /objects/KIND` | creates an object; 409 if it exists |
//! | `PUT /objects/KIND/NAME` | replaces an object; 409 if it is at another revision |
//! | `PUT /objects/KIND/NAME/status` | replaces its status; 409 if it is at another revision |
//! | `DELETE /objects/KIND/NAME?revision=REVISION` | deletes an object |

use std::{collections::HashSet, io, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode,
    client::conn::http1::{self, SendRequest},
    header::{CONTENT_TYPE, HOST},
};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_json::value::RawValue;
use snafu::{ResultExt, Snafu};
use tokio::{net::TcpStream, time};
use tokio_util::task::AbortOnDropHandle;

use crate::{
    platform::{object_target, store_era::StoreEra},
    prelude::StorePosition,
};

/// A connection that takes longer will not be established; a call takes some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a call; even a slow store answers within it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum size of an answer. Pages and configurations are about a megabyte at most.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Maximum number of names in a row over which a list steps back. A store that refuses more refuses the calls themselves.
const MAX_STEPS_BACK: usize = 16;

/// Why a call failed.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// The connection could not be established: nothing was done.
    #[snafu(display("the store cannot be reached: {source}"))]
    Unreachable {
        /// The error of the operating system.
        source: io::Error,
    },
    /// The connection broke, or the call timed out: a write may have taken effect, or still may.
    #[snafu(display("the store did not answer: {reason}"))]
    NoAnswer {
        /// The error of the connection, or the timeout.
        reason: String,
    },
    /// The store refused the call, for instance because it is busy: nothing was done.
    #[snafu(display("the store refused the call: {status}"))]
    Refused {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The store no longer has the history since the revision of the watch: list the kind again.
    #[snafu(display("the store no longer has the requested history"))]
    HistoryGone,
    /// The store came back from a copy since the position of the watch or the first page of the list: list the kind again.
    #[snafu(display("the store came back from a copy"))]
    EraChanged,
    /// The page of a list does not go on from the page before, although the list is not at its end.
    #[snafu(display("a page of the list does not go on from the page before"))]
    NoProgress,
    /// The object is at another revision, does not exist, or exists already.
    #[snafu(display("the object does not match the condition of the write"))]
    Conflict,
    /// The call has no valid target, for instance because the name in it is too long: nothing was done.
    #[snafu(display("the call cannot be made: {source}"))]
    InvalidTarget {
        /// The error of the HTTP library.
        source: hyper::http::Error,
    },
    /// The answer cannot be decoded.
    #[snafu(display("the store's answer cannot be decoded: {source}"))]
    Unreadable {
        /// The error of the decoder.
        source: serde_json::Error,
    },
}

impl CallError {
    /// Returns whether the target of the call is at fault, so that the same call fails again.
    fn is_about_target(&self) -> bool {
        match self {
            Self::InvalidTarget { .. } => true,
            Self::Refused { status } => matches!(
                *status,
                StatusCode::BAD_REQUEST
                    | StatusCode::URI_TOO_LONG
                    | StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
            ),
            _ => false,
        }
    }
}

/// Metadata of an object.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Metadata {
    /// Name of the object, unique in its kind.
    pub name: String,
    /// Revision of the store at the last change of the object; the condition of a write. 0 in a request: any revision.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: u64,
    /// Revision of the store at which the object was created; 0 if the store does not say, and in a request.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub created: u64,
}

impl Metadata {
    /// Returns the position of the last change of the object, as shown in an answer of `era`.
    pub fn position(&self, era: u64) -> StorePosition {
        StorePosition::new(era, self.revision)
    }
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// An object whose content has type `T`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Object<T> {
    /// Name and revision.
    pub metadata: Metadata,
    /// Content; absent in the event of a deletion.
    #[serde(default = "none")]
    pub spec: Option<T>,
    /// What this program recorded about the object, for the kinds of which it writes the status only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub status: Option<serde_json::Value>,
}

fn none<T>() -> Option<T> {
    None
}

/// An object that does not have the form of its kind, for instance that of another writer.
#[derive(Debug)]
pub struct UnreadableObject {
    /// Name of the object, if it can be decoded.
    pub name: Option<String>,
    /// The error of the decoder.
    pub reason: String,
}

/// A list of all objects of a kind.
#[derive(Debug)]
pub struct Listing<T> {
    /// The objects that could be decoded.
    pub items: Vec<Object<T>>,
    /// The objects that could not be decoded.
    pub unreadable: Vec<UnreadableObject>,
    /// The position from which a watch continues: that of the first page, because objects on pages that were already
    /// read may have changed while the others were read.
    pub position: StorePosition,
}

/// The pages of a list that were read so far, so that a failed call costs one page instead of all: if 300 processes
/// list 3,000 endpoints at the same time, the store refuses some calls of each.
#[derive(Debug)]
pub struct PartialListing<T> {
    listing: Listing<T>,
    /// Names of the last page in its order; the next page starts after the last of them. Empty before the first page.
    cursors: Vec<String>,
    /// Names of objects that were read and that the next page contains again.
    repeated: HashSet<String>,
}

impl<T> Default for PartialListing<T> {
    fn default() -> Self {
        let listing = Listing {
            items: Vec::new(),
            unreadable: Vec::new(),
            position: StorePosition::START,
        };
        Self {
            listing,
            cursors: Vec::new(),
            repeated: HashSet::new(),
        }
    }
}

impl<T> PartialListing<T> {
    /// Returns the era of the pages; 0 before the first.
    pub fn era(&self) -> u64 {
        self.listing.position.era()
    }

    /// Returns whether no page has been read yet.
    pub fn is_empty(&self) -> bool {
        self.cursors.is_empty()
    }
}

impl<T: DeserializeOwned> PartialListing<T> {
    fn target(&self, kind: &str) -> String {
        match self.cursors.last() {
            None => object_target::objects(kind),
            Some(name) => object_target::page_after(kind, name),
        }
    }

    /// Returns whether an answer is of another era than the pages read so far.
    fn is_of_other_era(&self, era: u64) -> bool {
        !self.is_empty() && self.era() != era
    }

    /// Lets the next page start one name earlier, for a name that the store does not accept; returns whether it can.
    fn step_back(&mut self) -> bool {
        if self.cursors.len() < 2 || self.repeated.len() >= MAX_STEPS_BACK {
            return false;
        }
        self.repeated.extend(self.cursors.pop());
        true
    }

    /// Adds a page; returns whether it was the last. If a page does not say whether more follow, an empty one is the last.
    fn add(&mut self, page: &Page, era: u64) -> Result<bool, CallError> {
        let may_follow = page.has_more.unwrap_or(!page.items.is_empty());
        let mut names = Vec::with_capacity(page.items.len());
        let (mut items, mut unreadable) = (Vec::new(), Vec::new());
        for item in &page.items {
            let decoded = decode_object(item);
            let name = match &decoded {
                Ok(object) => Some(&object.metadata.name),
                Err(unreadable) => unreadable.name.as_ref(),
            };
            if name.is_some_and(|name| self.repeated.contains(name)) {
                continue;
            }
            names.extend(name.cloned());
            match decoded {
                Ok(object) => items.push(object),
                Err(object) => unreadable.push(object),
            }
        }
        let is_stuck = names.is_empty() || names.last() == self.cursors.last();
        if may_follow && is_stuck {
            return NoProgressSnafu.fail();
        }
        if self.is_empty() {
            self.listing.position = StorePosition::new(era, page.revision);
        }
        self.listing.items.append(&mut items);
        self.listing.unreadable.append(&mut unreadable);
        self.cursors = names;
        self.repeated.clear();
        Ok(!may_follow)
    }
}

#[derive(Debug, Deserialize)]
struct Page {
    /// Decoded one by one, so that an invalid item does not affect the others.
    items: Vec<Box<RawValue>>,
    #[serde(rename = "hasMore")]
    has_more: Option<bool>,
    /// The store's revision, not a time, in spite of its name on the wire.
    #[serde(rename = "timestamp")]
    revision: u64,
}

/// The changes in a kind since a revision.
#[derive(Debug)]
pub struct Changes<T> {
    /// The changes, in order.
    pub events: Vec<Event<T>>,
    /// The position from which the next watch continues.
    pub position: StorePosition,
}

impl<T> Changes<T> {
    /// Returns the latest possible position of each event. The event of a deletion carries no revision, and an object
    /// of the same name may have been created since.
    pub fn latest_positions(&self) -> Vec<StorePosition> {
        let mut latest = self.position;
        let newest_first = self.events.iter().rev().map(|event| {
            let event_position = latest;
            if let Event::Changed(object) = event {
                let created = object.metadata.position(self.position.era());
                latest = latest.min(created.previous());
            }
            event_position
        });
        let mut positions: Vec<StorePosition> = newest_first.collect();
        positions.reverse();
        positions
    }
}

/// A change of one object.
#[derive(Debug)]
pub enum Event<T> {
    /// An object was created or replaced; contains its new state.
    Changed(Object<T>),
    /// The object of this name was deleted.
    Deleted(String),
    /// An object was created or replaced, and cannot be decoded.
    Unreadable(UnreadableObject),
}

#[derive(Debug, Deserialize)]
struct WatchResponse {
    events: Vec<RawEvent>,
    /// The store's revision, not a time, in spite of its name on the wire.
    #[serde(rename = "timestamp")]
    revision: u64,
}

#[derive(Debug, Deserialize)]
struct RawEvent {
    object: Box<RawValue>,
    #[serde(default)]
    deleted: bool,
}

impl RawEvent {
    fn decode<T: DeserializeOwned>(&self) -> Event<T> {
        if !self.deleted {
            return decode_object(&self.object).map_or_else(Event::Unreadable, Event::Changed);
        }
        match name_of(&self.object) {
            Some(name) => Event::Deleted(name),
            None => Event::Unreadable(UnreadableObject {
                name: None,
                reason: "a deleted object has no name".into(),
            }),
        }
    }
}

fn name_of(object: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct NamedObject {
        metadata: Metadata,
    }
    // Other errors in the object are reported where the whole object is decoded.
    let with_name: NamedObject = serde_json::from_str(object.get()).ok()?;
    Some(with_name.metadata.name)
}

/// Decodes one object of a list or a watch.
fn decode_object<T: DeserializeOwned>(object: &RawValue) -> Result<Object<T>, UnreadableObject> {
    serde_json::from_str(object.get()).map_err(|error| UnreadableObject {
        name: name_of(object),
        reason: error.to_string(),
    })
}

/// A client of the store with one persistent connection, which makes one call at a time.
pub struct ObjectClient {
    addr: SocketAddr,
    era: StoreEra,
    connection: Option<Connection>,
}

/// An answer of the store.
struct Answer {
    status: StatusCode,
    era: u64,
    body: Bytes,
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl ObjectClient {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self::with_era(addr, StoreEra::default())
    }

    /// Creates a client that shares the newest era with other clients of the same store.
    pub fn with_era(addr: SocketAddr, era: StoreEra) -> Self {
        Self {
            addr,
            era,
            connection: None,
        }
    }

    /// Returns the address of the store.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Lists a kind, page by page.
    ///
    /// # Errors
    /// The call for one of the pages failed.
    pub async fn list<T: DeserializeOwned>(&mut self, kind: &str) -> Result<Listing<T>, CallError> {
        self.complete_list(kind, &mut PartialListing::default())
            .await
    }

    /// Completes a list from the pages that were already read. They are kept if a call fails, and cleared once the list
    /// is complete.
    ///
    /// # Errors
    /// The call for one of the pages failed.
    pub async fn complete_list<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        partial: &mut PartialListing<T>,
    ) -> Result<Listing<T>, CallError> {
        loop {
            if let Some(listing) = self.list_page(kind, partial).await? {
                return Ok(listing);
            }
        }
    }

    /// Reads the next page of a list; returns the list if that was the last one.
    ///
    /// # Errors
    /// The call failed.
    pub async fn list_page<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        partial: &mut PartialListing<T>,
    ) -> Result<Option<Listing<T>>, CallError> {
        let (page, era) = loop {
            match self.read::<Page>(&partial.target(kind), CALL_TIMEOUT).await {
                Err(error) if error.is_about_target() && partial.step_back() => {}
                answer => break answer?,
            }
        };
        if partial.is_of_other_era(era) {
            *partial = PartialListing::default();
            return EraChangedSnafu.fail();
        }
        let is_last = partial.add(&page, era)?;
        Ok(is_last.then(|| std::mem::take(partial).listing))
    }

    /// Reads an object; none if it does not exist.
    ///
    /// # Errors
    /// The call failed.
    pub async fn get<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, CallError> {
        let target = object_target::object(kind, name);
        match self.read(&target, CALL_TIMEOUT).await {
            Ok((object, _)) => Ok(Some(object)),
            Err(CallError::Refused { status }) if status == StatusCode::NOT_FOUND => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Waits until a kind has changed since a position, for at most `wait`; returns no events if it has not.
    ///
    /// # Errors
    /// The call failed, the store no longer has the history since that position, or it came back from a copy: the
    /// revision may then belong to another change, and the answer lacks the changes before it.
    pub async fn watch<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        from: StorePosition,
        wait: Duration,
    ) -> Result<Changes<T>, CallError> {
        self.era.note(from.era());
        let target = object_target::changes_since(kind, from.revision(), wait.as_millis());
        let (answer, era) = self
            .read::<WatchResponse>(&target, wait + CALL_TIMEOUT)
            .await?;
        if era != from.era() {
            return EraChangedSnafu.fail();
        }
        Ok(Changes {
            events: answer.events.iter().map(RawEvent::decode).collect(),
            position: StorePosition::new(era, answer.revision),
        })
    }

    /// Creates an object; returns its revision.
    ///
    /// # Errors
    /// The object exists, or the call failed; [`CallError`] says whether the write may have taken effect.
    pub async fn create<T: Serialize>(
        &mut self,
        kind: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let target = object_target::objects(kind);
        self.write(Method::POST, &target, object).await
    }

    /// Replaces an object if it is at the revision in its metadata, where 0 means any; returns the new revision.
    ///
    /// # Errors
    /// The object is at another revision, or the call failed; see [`CallError`].
    pub async fn replace<T: Serialize>(
        &mut self,
        kind: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let target = object_target::object(kind, &object.metadata.name);
        self.write(Method::PUT, &target, object).await
    }

    /// Replaces the status of an object if it is at the revision in its metadata; returns the new revision.
    ///
    /// # Errors
    /// The object is at another revision, or the call failed; see [`CallError`].
    pub async fn replace_status<T: Serialize>(
        &mut self,
        kind: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let target = object_target::status(kind, &object.metadata.name);
        self.write(Method::PUT, &target, object).await
    }

    /// Deletes an object; one that does not exist is no error.
    ///
    /// # Errors
    /// The call failed; see [`CallError`].
    pub async fn remove(&mut self, kind: &str, name: &str) -> Result<(), CallError> {
        let target = object_target::object(kind, name);
        let request = build_request(Method::DELETE, &target, Bytes::new())?;
        let answer = self.call(request, CALL_TIMEOUT).await?;
        match check_status(answer.status) {
            Err(CallError::Refused { status }) if status == StatusCode::NOT_FOUND => Ok(()),
            checked => checked,
        }
    }

    /// Reads a target; returns the decoded answer and its era.
    async fn read<T: DeserializeOwned>(
        &mut self,
        target: &str,
        timeout: Duration,
    ) -> Result<(T, u64), CallError> {
        let request = build_request(Method::GET, target, Bytes::new())?;
        let answer = self.call(request, timeout).await?;
        check_status(answer.status)?;
        // Invalid UTF-8 in one object must not make the others unreadable.
        let decoded = serde_json::from_str(&String::from_utf8_lossy(&answer.body));
        Ok((decoded.context(UnreadableSnafu)?, answer.era))
    }

    async fn write<T: Serialize>(
        &mut self,
        method: Method,
        target: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let body = serde_json::to_vec(object).context(UnreadableSnafu)?;
        let request = build_request(method, target, body.into())?;
        let answer = self.call(request, CALL_TIMEOUT).await?;
        check_status(answer.status)?;
        let written: Object<serde_json::Value> =
            serde_json::from_slice(&answer.body).context(UnreadableSnafu)?;
        Ok(written.metadata.revision)
    }

    /// Closes the idle connection, which the other end may have closed already.
    pub fn close(&mut self) {
        self.connection = None;
    }

    /// Makes one call. A connection on which an answer failed to arrive is not reused.
    async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<Answer, CallError> {
        let mut connection = match self.connection.take().filter(|c| c.sender.is_ready()) {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let call = exchange(&mut connection.sender, &self.era, request);
        match time::timeout(timeout, call).await {
            Ok(Ok(answer)) if answer.era < self.era.newest() => NoAnswerSnafu {
                reason: format!("the answer is of era {}, which has ended", answer.era),
            }
            .fail(),
            Ok(Ok(answer)) => {
                self.connection = Some(connection);
                Ok(answer)
            }
            Ok(Err(reason)) => NoAnswerSnafu { reason }.fail(),
            Err(_) => NoAnswerSnafu {
                reason: format!("no answer within {} ms", timeout.as_millis()),
            }
            .fail(),
        }
    }

    async fn connect(&self) -> Result<Connection, CallError> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = connect
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .context(UnreachableSnafu)?;
        // Avoids that small calls wait for acknowledgements. If it fails, calls are only slower.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, http_connection) = handshake.map_err(|e| CallError::NoAnswer {
            reason: e.to_string(),
        })?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Its errors are also returned to the pending call.
            let _ = http_connection.await;
        }));
        Ok(Connection {
            sender,
            _driver: driver,
        })
    }
}

fn build_request(
    method: Method,
    target: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, CallError> {
    let builder = Request::builder()
        .method(method)
        .uri(target)
        .header(HOST, "store")
        .header(CONTENT_TYPE, "application/json");
    builder.body(Full::new(body)).context(InvalidTargetSnafu)
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    era: &StoreEra,
    request: Request<Full<Bytes>>,
) -> Result<Answer, String> {
    let response = sender.send_request(request).await;
    let (head, body) = response.map_err(|e| e.to_string())?.into_parts();
    let body = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
    Ok(Answer {
        status: head.status,
        era: era.observe(&head.headers),
        body: body.map_err(|e| e.to_string())?.to_bytes(),
    })
}

fn check_status(status: StatusCode) -> Result<(), CallError> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::GONE => HistoryGoneSnafu.fail(),
        StatusCode::CONFLICT => ConflictSnafu.fail(),
        status => RefusedSnafu { status }.fail(),
    }
}
