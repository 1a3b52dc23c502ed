//! The platform's store of objects over HTTP: lists by pages, single objects, watches, and
//! conditional writes.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /objects/KIND?sinceRevision=NAME` | a page of the kind's objects after NAME |
//! | `GET /objects/KIND/NAME` | one object, or 404 |
//! | `GET /objects/KIND?watch=REVISION&waitMs=MS` | what changed since, as soon as there is something |
//! | `POST /objects/KIND` | makes an object; 409 if it is there |
//! | `PUT /objects/KIND/NAME` | replaces an object; 409 if it is at another revision |
//! | `DELETE /objects/KIND/NAME?revision=REVISION` | removes an object |

use std::{io, net::SocketAddr, time::Duration};

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

/// A new connection comes up within this time or not at all; a call takes some milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
/// A slow store answers within this time.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Pages are about a megabyte at most; a configuration may be as large.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// Why a call brought nothing.
#[derive(Debug, Snafu)]
pub enum CallError {
    /// No connection came up: nothing was done.
    #[snafu(display("the store cannot be reached: {source}"))]
    Unreachable {
        /// What the system said.
        source: io::Error,
    },
    /// The connection broke, or no answer came in time: a write may be done, now or later.
    #[snafu(display("the store did not answer: {reason}"))]
    NoAnswer {
        /// What was seen.
        reason: String,
    },
    /// Nothing was done; the store is busy or turns this instance away.
    #[snafu(display("the store refused the call: {status}"))]
    Refused {
        /// Its status.
        status: StatusCode,
    },
    /// The history that a watch asked for is forgotten; list again.
    #[snafu(display("the store forgot the history that was asked for"))]
    HistoryGone,
    /// The object is at another revision, or was not there, or was there already.
    #[snafu(display("the object is not as the condition says"))]
    Conflict,
    /// The answer is not what the protocol says.
    #[snafu(display("the store's answer cannot be read: {source}"))]
    Unreadable {
        /// What the decoder said.
        source: serde_json::Error,
    },
}

/// What the store keeps beside an object's content.
#[derive(Clone, Debug, Default, Serialize, Deserialize, PartialEq, Eq)]
pub struct Metadata {
    /// The object's name in its kind.
    pub name: String,
    /// The store's revision at its last change; names it in conditional writes.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub revision: u64,
}

fn is_zero(revision: &u64) -> bool {
    *revision == 0
}

/// An object with a content of type `T`.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct Object<T> {
    /// Its name and revision.
    pub metadata: Metadata,
    /// Its content; absent in word of an object that is gone.
    #[serde(default = "none")]
    pub spec: Option<T>,
}

fn none<T>() -> Option<T> {
    None
}

/// An object that is not what its kind's objects are: another writer's.
#[derive(Debug)]
pub struct Unreadable {
    /// Its name, if that can be read.
    pub name: Option<String>,
    /// What the decoder said.
    pub reason: String,
}

/// The objects of a kind.
#[derive(Debug)]
pub struct Listing<T> {
    /// The objects that could be read.
    pub items: Vec<Object<T>>,
    /// The others.
    pub unreadable: Vec<Unreadable>,
    /// The store's revision that a watch goes on from: that of the first page. What changed while the others were
    /// read may be on a page that had been read by then.
    pub revision: u64,
}

/// The pages of a list that were read so far: a call that brings nothing costs one page, not all. Where 300 processes
/// list 3,000 endpoints at once the store refuses some calls of each.
#[derive(Debug)]
pub struct PartialListing<T> {
    listing: Listing<T>,
    /// The name after which the next page begins; none before the first.
    after: Option<String>,
}

impl<T> Default for PartialListing<T> {
    fn default() -> Self {
        let listing = Listing {
            items: Vec::new(),
            unreadable: Vec::new(),
            revision: 0,
        };
        Self {
            listing,
            after: None,
        }
    }
}

impl<T> PartialListing<T> {
    /// Returns whether no page was read.
    pub fn is_empty(&self) -> bool {
        self.after.is_none()
    }
}

impl<T: DeserializeOwned> PartialListing<T> {
    fn path(&self, kind: &str) -> String {
        match &self.after {
            None => format!("/objects/{kind}"),
            Some(name) => format!("/objects/{kind}?sinceRevision={name}"),
        }
    }

    /// Takes a page; returns whether it was the last.
    fn take(&mut self, page: &Page) -> bool {
        if self.after.is_none() {
            self.listing.revision = page.revision;
        }
        for item in &page.items {
            match read_object(item) {
                Ok(object) => self.listing.items.push(object),
                Err(unreadable) => self.listing.unreadable.push(unreadable),
            }
        }
        let last = page.items.iter().rev().find_map(|item| name_of(item));
        let is_last = !page.has_more || last.is_none() || last == self.after;
        self.after = last;
        is_last
    }
}

#[derive(Debug, Deserialize)]
struct Page {
    /// Each by itself: one that cannot be read harms no other.
    items: Vec<Box<RawValue>>,
    #[serde(rename = "hasMore", default)]
    has_more: bool,
    /// The store's revision, not a time.
    #[serde(rename = "timestamp")]
    revision: u64,
}

/// What changed in a kind.
#[derive(Debug)]
pub struct Changes<T> {
    /// The changes, in their order.
    pub events: Vec<Event<T>>,
    /// The store's revision that the next watch goes on from.
    pub revision: u64,
}

impl<T> Changes<T> {
    /// Returns for each event the last revision at which it may have been done. Word that an object is gone
    /// bears no revision, and one of the same name may have been made since.
    pub fn latest_revisions(&self) -> Vec<u64> {
        let mut latest = self.revision;
        let backwards = self.events.iter().rev().map(|event| {
            let done_by = latest;
            if let Event::Changed(object) = event {
                latest = latest.min(object.metadata.revision.saturating_sub(1));
            }
            done_by
        });
        let mut done_by: Vec<u64> = backwards.collect();
        done_by.reverse();
        done_by
    }
}

/// One change.
#[derive(Debug)]
pub enum Event<T> {
    /// An object was made or replaced; this is what it is now.
    Changed(Object<T>),
    /// The object of this name is gone.
    Deleted(String),
    /// An object is now one that cannot be read.
    Unreadable(Unreadable),
}

#[derive(Debug, Deserialize)]
struct WatchAnswer {
    events: Vec<RawEvent>,
    /// The store's revision, not a time.
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
    fn read<T: DeserializeOwned>(&self) -> Event<T> {
        if !self.deleted {
            return read_object(&self.object).map_or_else(Event::Unreadable, Event::Changed);
        }
        match name_of(&self.object) {
            Some(name) => Event::Deleted(name),
            None => Event::Unreadable(Unreadable {
                name: None,
                reason: "it went, and has no name".into(),
            }),
        }
    }
}

fn name_of(object: &RawValue) -> Option<String> {
    #[derive(Deserialize)]
    struct Named {
        metadata: Metadata,
    }
    // Whatever else is wrong with the object is said where the object is read.
    let named: Named = serde_json::from_str(object.get()).ok()?;
    Some(named.metadata.name)
}

/// Reads one object of a list or a watch.
fn read_object<T: DeserializeOwned>(object: &RawValue) -> Result<Object<T>, Unreadable> {
    serde_json::from_str(object.get()).map_err(|error| Unreadable {
        name: name_of(object),
        reason: error.to_string(),
    })
}

/// A client of the store with one kept connection; a call at a time.
pub struct ObjectClient {
    addr: SocketAddr,
    kept: Option<Kept>,
}

struct Kept {
    sender: SendRequest<Full<Bytes>>,
    _driver: AbortOnDropHandle<()>,
}

impl ObjectClient {
    /// Creates a client of the store at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, kept: None }
    }

    /// Returns where the store listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Lists a kind, page after page.
    ///
    /// # Errors
    /// The store did not answer one of the pages.
    pub async fn list<T: DeserializeOwned>(&mut self, kind: &str) -> Result<Listing<T>, CallError> {
        self.list_on(kind, &mut PartialListing::default()).await
    }

    /// Goes on with a list from the pages that were read, which are kept if the call brings nothing; after a whole
    /// list none are.
    ///
    /// # Errors
    /// The store did not answer one of the pages.
    pub async fn list_on<T: DeserializeOwned>(
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
    /// The store did not answer.
    pub async fn list_page<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        partial: &mut PartialListing<T>,
    ) -> Result<Option<Listing<T>>, CallError> {
        let page: Page = self.read(&partial.path(kind), CALL_TIMEOUT).await?;
        let is_last = partial.take(&page);
        Ok(is_last.then(|| std::mem::take(partial).listing))
    }

    /// Reads an object.
    ///
    /// # Errors
    /// The store did not answer.
    pub async fn get<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        name: &str,
    ) -> Result<Option<Object<T>>, CallError> {
        let path = format!("/objects/{kind}/{name}");
        match self.read(&path, CALL_TIMEOUT).await {
            Ok(object) => Ok(Some(object)),
            Err(CallError::Refused { status }) if status == StatusCode::NOT_FOUND => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Waits until a kind has changed since `revision`, for at most `wait`; no events if it has not.
    ///
    /// # Errors
    /// The store did not answer, or has forgotten what changed since.
    pub async fn watch<T: DeserializeOwned>(
        &mut self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Changes<T>, CallError> {
        let wait_ms = wait.as_millis();
        let path = format!("/objects/{kind}?watch={revision}&waitMs={wait_ms}");
        let answer: WatchAnswer = self.read(&path, wait + CALL_TIMEOUT).await?;
        Ok(Changes {
            events: answer.events.iter().map(RawEvent::read).collect(),
            revision: answer.revision,
        })
    }

    /// Makes an object.
    ///
    /// # Errors
    /// It is there, or the store did not answer; see [`CallError`] for whether it may be done.
    pub async fn create<T: Serialize>(
        &mut self,
        kind: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let path = format!("/objects/{kind}");
        self.write(Method::POST, &path, object).await
    }

    /// Replaces an object if it is at the revision in its metadata; 0 is any.
    ///
    /// # Errors
    /// It is at another revision, or the store did not answer; see [`CallError`].
    pub async fn replace<T: Serialize>(
        &mut self,
        kind: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let path = format!("/objects/{kind}/{}", object.metadata.name);
        self.write(Method::PUT, &path, object).await
    }

    /// Removes an object.
    ///
    /// # Errors
    /// The store did not answer; see [`CallError`].
    pub async fn remove(&mut self, kind: &str, name: &str) -> Result<(), CallError> {
        let path = format!("/objects/{kind}/{name}");
        let request = build(Method::DELETE, &path, Bytes::new());
        let (status, _) = self.call(request, CALL_TIMEOUT).await?;
        match check(status) {
            Err(CallError::Refused { status }) if status == StatusCode::NOT_FOUND => Ok(()),
            checked => checked,
        }
    }

    async fn read<T: DeserializeOwned>(
        &mut self,
        path: &str,
        timeout: Duration,
    ) -> Result<T, CallError> {
        let request = build(Method::GET, path, Bytes::new());
        let (status, body) = self.call(request, timeout).await?;
        check(status)?;
        // Bytes that are no text may stand in one object only: the others are read all the same.
        serde_json::from_str(&String::from_utf8_lossy(&body)).context(UnreadableSnafu)
    }

    async fn write<T: Serialize>(
        &mut self,
        method: Method,
        path: &str,
        object: &Object<T>,
    ) -> Result<u64, CallError> {
        let body = serde_json::to_vec(object).context(UnreadableSnafu)?;
        let request = build(method, path, body.into());
        let (status, body) = self.call(request, CALL_TIMEOUT).await?;
        check(status)?;
        let written: Object<serde_json::Value> =
            serde_json::from_slice(&body).context(UnreadableSnafu)?;
        Ok(written.metadata.revision)
    }

    /// Closes the connection that rests: its other end may have given it up.
    pub fn close(&mut self) {
        self.kept = None;
    }

    /// Makes one call. A connection that lost an answer is not used again.
    async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let mut kept = match self.kept.take().filter(|k| k.sender.is_ready()) {
            Some(kept) => kept,
            None => self.connect().await?,
        };
        let answer = time::timeout(timeout, exchange(&mut kept.sender, request)).await;
        match answer {
            Ok(Ok(answer)) => {
                self.kept = Some(kept);
                Ok(answer)
            }
            Ok(Err(reason)) => NoAnswerSnafu { reason }.fail(),
            Err(_) => NoAnswerSnafu {
                reason: format!("nothing came within {} ms", timeout.as_millis()),
            }
            .fail(),
        }
    }

    async fn connect(&self) -> Result<Kept, CallError> {
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.addr)).await;
        let stream = connect
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
            .context(UnreachableSnafu)?;
        // Small calls would wait for acknowledgements; with it failing they are slower.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|e| CallError::NoAnswer {
            reason: e.to_string(),
        })?;
        let driver = AbortOnDropHandle::new(tokio::spawn(async move {
            // Its errors reach whoever waits for the answer.
            let _ = connection.await;
        }));
        Ok(Kept {
            sender,
            _driver: driver,
        })
    }
}

fn build(method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    let builder = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, "store")
        .header(CONTENT_TYPE, "application/json");
    // Paths are made of kinds and names that the store itself has given.
    builder.body(Full::new(body)).unwrap_or_default()
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
) -> Result<(StatusCode, Bytes), String> {
    let response = sender.send_request(request).await;
    let response = response.map_err(|e| e.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|e| e.to_string())?;
    Ok((status, body.to_bytes()))
}

fn check(status: StatusCode) -> Result<(), CallError> {
    match status {
        status if status.is_success() => Ok(()),
        StatusCode::GONE => HistoryGoneSnafu.fail(),
        StatusCode::CONFLICT => ConflictSnafu.fail(),
        status => RefusedSnafu { status }.fail(),
    }
}
