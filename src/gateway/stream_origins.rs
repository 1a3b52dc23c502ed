//! Keeps the origins of streams where every instance finds them, so that a stream that its caller takes up goes on at
//! the version of the endpoints' software that began it.
//!
//! The instance that relays a stream writes the origin to three instances, found by rendezvous hashing of the stream's
//! key, when it delivers the first event, and to the owner of the stream's slot in the archive, which outlives all
//! instances. An instance at which a caller takes the stream up asks these. Nothing waits for a write, and nothing is
//! written while the route leads to one service only, which has one version. A stream whose origin is unknown is refused
//! where several services or versions could have begun it.

use std::{
    collections::HashMap,
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
};

use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::{
    clock::unix_s,
    gateway::{
        config::Route,
        origin_segments::Slot,
        origin_table::{OriginTable, StreamKey, StreamOrigin},
        protocol::Protocol,
        reservation_client::{Channel, DirectMessage},
        state::Gateway,
    },
    peers::view::{Member, View},
    prelude::{Micros, Name},
};

/// Number of instances that hold the origin of a stream: two of them may be lost with the one that relayed it.
pub(super) const HOLDERS: usize = 3;

/// How the origin of a stream was concluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// An instance has a record of it.
    Recorded,
    /// No instance that answered has a record, and the service has had no other version, as most of the group or the
    /// store knows.
    OnlyVersion,
}

impl OriginSource {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Recorded => "recorded",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// The origin of a stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FoundOrigin {
    /// The origin.
    pub origin: StreamOrigin,
    /// How it was concluded.
    pub source: OriginSource,
}

/// A message between instances about the origin of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OriginMessage {
    /// The origin of a stream, for the receiver to hold.
    Record {
        /// The stream.
        key: StreamKey,
        /// Its origin.
        origin: StreamOrigin,
    },
    /// Asks for the origin of a stream. The answer has the same datagram number.
    Ask {
        /// The stream.
        key: StreamKey,
        /// The service at which the caller takes it up.
        service: Name,
    },
    /// The origin that was asked for.
    Known(StreamOrigin),
    /// The receiver does not know the origin that was asked for. It does not confirm that there was one version only.
    Unknown {
        /// Whether it has seen several versions of the service.
        has_several_versions: bool,
    },
    /// Attempts with the id of the stream began at several origins.
    Ambiguous,
    /// The receiver answers for the archive, which it has not read yet.
    NotYetKnown,
    /// The origin of a stream, for the receiver to write to the archive.
    Archive {
        /// The stream.
        key: StreamKey,
        /// Its origin.
        origin: StreamOrigin,
    },
    /// Asks for the origin of a stream as [`OriginMessage::Ask`] does, of an instance that may read the archive for it.
    AskArchive {
        /// The stream.
        key: StreamKey,
        /// The service at which the caller takes it up.
        service: Name,
    },
    /// Asks for the record of a stream that several services may have begun, of an instance that may read the archive for
    /// it.
    AskRecord {
        /// The stream.
        key: StreamKey,
    },
    /// The receiver has no record of the stream, and it knows that this version of the service was the only one for as
    /// long as versions are remembered.
    OnlyVersion(Name),
}

/// The services at which a stream that a caller takes up may have begun.
#[derive(Clone, Copy, Debug)]
pub struct PossibleServices<'a> {
    /// One of them, to which its route leads now.
    pub service: &'a Name,
    /// Whether there are others.
    pub has_others: bool,
}

/// Why the origin of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginError {
    /// No instance that answered has a record, and several versions may have begun the stream.
    Unknown,
    /// Instances that may have a record did not answer or have not read yet what those before them knew, or the versions
    /// of the service could not be read.
    NotYetKnown,
}

#[derive(Default)]
struct State {
    table: OriginTable,
    last_number: u64,
    /// Unanswered questions, by number.
    pending: HashMap<u64, mpsc::UnboundedSender<(IpAddr, OriginMessage)>>,
}

/// The origins that this instance holds, and its questions for others.
#[derive(Default)]
pub struct StreamOrigins {
    state: Mutex<State>,
}

/// A question that waits for answers. Dropping it ends that.
pub(super) struct Pending<'o> {
    origins: &'o StreamOrigins,
    pub(super) number: u64,
    pub(super) answers: mpsc::UnboundedReceiver<(IpAddr, OriginMessage)>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.origins.lock().pending.remove(&self.number);
    }
}

impl StreamOrigins {
    /// Returns the number of origins that this instance holds.
    pub fn len(&self) -> usize {
        self.lock().table.len()
    }

    /// Returns whether this instance holds no origin.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the origin of a stream if this instance has a record of it, or that attempts with its id began at several.
    pub(super) fn held(&self, now_us: Micros, key: StreamKey) -> Option<OriginMessage> {
        let state = self.lock();
        if state.table.is_ambiguous(now_us, key) {
            return Some(OriginMessage::Ambiguous);
        }
        let origin = state.table.get(now_us, key)?;
        Some(OriginMessage::Known(origin.clone()))
    }

    pub(super) fn register(&self) -> Pending<'_> {
        let (sender, answers) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.pending.insert(number, sender);
        Pending {
            origins: self,
            number,
            answers,
        }
    }

    fn deliver(&self, number: u64, from: IpAddr, message: OriginMessage) {
        if let Some(sender) = self.lock().pending.get(&number) {
            // The question may have been answered already.
            let _ = sender.send((from, message));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No critical section can leave the state inconsistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the `count` instances that hold a stream's origin first. The second is in another data centre than the first
/// if there is one, so that the loss of a data centre leaves a holder.
pub fn rank_holders(view: &View, key: StreamKey, count: usize) -> Vec<&Member> {
    let mut ranked = view.rank_members(&format!("stream {key}"), usize::MAX, Member::can_lead);
    let first = ranked.first().map(|m| m.info.data_centre.clone());
    let elsewhere = ranked
        .iter()
        .position(|m| Some(&m.info.data_centre) != first.as_ref());
    if let Some(elsewhere) = elsewhere {
        ranked[1..=elsewhere].rotate_right(1);
    }
    ranked.truncate(count);
    ranked
}

/// Returns the `count` instances that own a slot of the archive first.
pub fn rank_owners(view: &View, slot: Slot, count: usize) -> Vec<&Member> {
    view.rank_members(&format!("stream archive {slot}"), count, Member::can_lead)
}

impl<P: Protocol> Gateway<P> {
    /// Returns whether a service has several versions, or had them recently.
    pub fn has_several_versions(&self, service: &str) -> bool {
        self.balancer().versions().has_several(service)
    }

    /// Returns whether all streams of a route and a path can only have begun at this service and version.
    pub(super) fn is_only_origin(
        &self,
        route: &Route,
        path: &str,
        service: &str,
        version: &Name,
    ) -> bool {
        self.leads_only_to(route, path, service)
            && self.balancer().versions().sole_version(service) == Some(version)
    }

    /// Returns whether a route and a path lead to this service only, and led to no other one recently.
    pub(super) fn leads_only_to(&self, route: &Route, path: &str, service: &str) -> bool {
        let now_us = self.clock.now_us();
        route.leads_only_to(service)
            && self
                .route_services()
                .is_only_service(now_us, &route.host, path, service)
    }

    /// Returns the `count` instances that hold a stream's origin first, other than this one.
    pub(super) fn other_holders(&self, key: StreamKey, count: usize) -> Vec<IpAddr> {
        let view = self.view();
        let holders = rank_holders(&view, key, count);
        let others = holders.iter().filter(|m| m.info.incarnation != view.me);
        others.map(|m| m.info.peer_addr.ip()).collect()
    }

    /// Writes the origin of a stream, here and to the instances that hold it.
    pub async fn record_origin(
        &self,
        organisation: Option<&str>,
        request_id: &HeaderValue,
        origin: StreamOrigin,
    ) {
        let key = StreamKey::of(organisation, request_id.as_bytes());
        let now_us = self.clock.now_us();
        self.stream_origins
            .lock()
            .table
            .write(now_us, key, origin.clone());
        self.metrics.origins_recorded.inc();
        let Some(channel) = self.reservation_client.channel() else {
            return self.archive_origin(key, origin);
        };
        for holder in self.other_holders(key, HOLDERS) {
            let origin = origin.clone();
            let message = DirectMessage::Origins(OriginMessage::Record { key, origin });
            channel.send(holder, 0, message).await;
        }
        match self.other_owner(key) {
            Some(owner) => {
                let message = DirectMessage::Origins(OriginMessage::Archive { key, origin });
                channel.send(owner, 0, message).await;
            }
            None => self.archive_origin(key, origin),
        }
    }

    /// Returns the instance that owns a stream's slot; none if it is this one.
    fn other_owner(&self, key: StreamKey) -> Option<IpAddr> {
        let view = self.view();
        let owners = rank_owners(&view, self.slot_of(key), 1);
        let other = owners.first().filter(|m| m.info.incarnation != view.me);
        other.map(|m| m.info.peer_addr.ip())
    }

    /// Returns the slot of a stream. The number of instances is that which the group remembers: all that were lost and
    /// come back go by the same one.
    pub(super) fn slot_of(&self, key: StreamKey) -> Slot {
        Slot::of(key, self.instance_counts().all)
    }

    /// Adds a record to the archive.
    fn archive_origin(&self, key: StreamKey, origin: StreamOrigin) {
        let slot = self.slot_of(key);
        let now_us = self.clock.now_us();
        self.origin_archive
            .insert(now_us, slot, unix_s(), key, Some(origin));
    }
}

/// Handles a message from another instance; `number` is that of its datagram.
pub(super) async fn receive<P: Protocol>(
    gateway: &Gateway<P>,
    channel: &Channel,
    from: IpAddr,
    number: u64,
    message: OriginMessage,
) {
    let now_us = gateway.clock.now_us();
    match message {
        OriginMessage::Record { key, origin } => {
            let mut state = gateway.stream_origins.lock();
            state.table.write(now_us, key, origin);
        }
        OriginMessage::Archive { key, origin } => gateway.archive_origin(key, origin),
        OriginMessage::Ask { key, service } => {
            let answer = gateway.held_origin(key, &service);
            channel
                .send(from, number, DirectMessage::Origins(answer))
                .await;
        }
        OriginMessage::AskArchive { key, service } => {
            let answer = gateway.archived_origin(key, &service);
            channel
                .send(from, number, DirectMessage::Origins(answer))
                .await;
        }
        OriginMessage::AskRecord { key } => {
            let answer = gateway.recorded_origin(key);
            channel
                .send(from, number, DirectMessage::Origins(answer))
                .await;
        }
        OriginMessage::Known(_)
        | OriginMessage::Unknown { .. }
        | OriginMessage::Ambiguous
        | OriginMessage::NotYetKnown
        | OriginMessage::OnlyVersion(_) => {
            gateway.stream_origins.deliver(number, from, message);
        }
    }
}
