//! Keeps the origins of streams where every instance finds them, so that a stream that its caller takes up goes on at
//! the version of the endpoints' software that began it.
//!
//! The instance that relays a stream writes the origin to three instances, found by rendezvous hashing of the stream's
//! key, when it delivers the first event, and to the keeper of the stream's slot in the archive, which outlives all
//! instances. An instance at which a caller takes the stream up asks these. Nothing waits for a write, and nothing is
//! written while a service has one version only. A stream whose origin is unknown is refused where several versions could
//! have begun it.

use std::{
    collections::{HashMap, HashSet},
    net::IpAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use hyper::header::HeaderValue;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    clock::unix_s,
    gateway::{
        origin_archive::Archived,
        origin_segments::Slot,
        origin_table::{OriginTable, StreamKey, StreamOrigin},
        protocol::Protocol,
        reservation_client::{Channel, DirectMessage},
        state::Gateway,
    },
    peers::view::{Member, View},
    prelude::Name,
};

/// Number of instances that hold the origin of a stream: two of them may be lost with the one that relayed it.
const HOLDERS: usize = 3;
/// Number of instances that are asked for an origin: the holders, and those that are holders by a view that differs in
/// a few members.
const ASKED: usize = 6;
/// Number of instances that are asked what the archive has: the keeper, and the one that is the keeper by a view that
/// differs in one member.
const KEEPERS_ASKED: usize = 2;
/// How long an answer is waited for. Instances that share a busy machine pause for some tens of milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an unanswered question is sent again: a datagram may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(35);
/// How long a caller waits for instances that have just started to read what those before them knew, which takes some
/// tens of milliseconds. It may have no other attempt.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(500);

/// How the origin of a stream was concluded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginSource {
    /// An instance has a record of it.
    Recorded,
    /// No instance that answered has a record, and the service has had no other version as far as they know.
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
    /// The receiver does not know the origin that was asked for.
    Unknown {
        /// Whether it has seen several versions of the service.
        has_several_versions: bool,
    },
    /// Attempts with the id of the stream began at several origins.
    Ambiguous,
    /// The receiver does not know the origin, but has not read yet what the instances before it knew.
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
}

/// Why the origin of a stream is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OriginError {
    /// No instance that answered has a record, and several versions may have begun the stream.
    Unknown,
    /// Instances that may have a record did not answer, or have not read yet what those before them knew.
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
struct Pending<'o> {
    origins: &'o StreamOrigins,
    number: u64,
    answers: mpsc::UnboundedReceiver<(IpAddr, OriginMessage)>,
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

    fn register(&self) -> Pending<'_> {
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

/// Returns the `count` instances that keep a slot of the archive first.
pub fn rank_keepers(view: &View, slot: Slot, count: usize) -> Vec<&Member> {
    view.rank_members(&format!("stream archive {slot}"), count, Member::can_lead)
}

impl<P: Protocol> Gateway<P> {
    /// Returns whether a service has several versions, or had them recently.
    pub fn has_several_versions(&self, service: &str) -> bool {
        self.balancer().versions().has_several(service)
    }

    /// Returns the `count` instances that hold a stream's origin first, other than this one.
    fn other_holders(&self, key: StreamKey, count: usize) -> Vec<IpAddr> {
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
            return;
        };
        for holder in self.other_holders(key, HOLDERS) {
            let origin = origin.clone();
            let message = DirectMessage::Origins(OriginMessage::Record { key, origin });
            channel.send(holder, 0, message).await;
        }
        match self.keeper(key) {
            Some(keeper) => {
                let message = DirectMessage::Origins(OriginMessage::Archive { key, origin });
                channel.send(keeper, 0, message).await;
            }
            None => self.archive_origin(key, origin),
        }
    }

    /// Returns the instance that keeps a stream's slot; none if it is this one.
    fn keeper(&self, key: StreamKey) -> Option<IpAddr> {
        let view = self.view();
        let keepers = rank_keepers(&view, slot_of(&view, key), 1);
        let other = keepers.first().filter(|m| m.info.incarnation != view.me);
        other.map(|m| m.info.peer_addr.ip())
    }

    /// Adds a record to the archive.
    fn archive_origin(&self, key: StreamKey, origin: StreamOrigin) {
        let slot = slot_of(&self.view(), key);
        self.origin_archive
            .insert(slot, unix_s(), key, Some(origin));
    }

    /// Returns the instances that are asked what the archive has, and whether this one is among them.
    fn keepers_asked(&self, key: StreamKey) -> (Vec<IpAddr>, bool) {
        let view = self.view();
        let keepers = rank_keepers(&view, slot_of(&view, key), KEEPERS_ASKED);
        let is_own = keepers.iter().any(|m| m.info.incarnation == view.me);
        let others = keepers.iter().filter(|m| m.info.incarnation != view.me);
        (
            others.map(|m| m.info.peer_addr.ip()).collect(),
            is_own || keepers.is_empty(),
        )
    }

    /// Returns the origin of a stream that a caller takes up at a service: as it was recorded, or else the service and
    /// its version if it had no other one.
    ///
    /// # Errors
    /// The origin is unknown, or not known yet.
    pub async fn find_origin(
        &self,
        organisation: Option<&str>,
        began_as: Option<&HeaderValue>,
        service: &Name,
    ) -> Result<FoundOrigin, OriginError> {
        let timeout = Instant::now() + HISTORY_TIMEOUT;
        loop {
            let found = match began_as {
                Some(id) => {
                    let key = StreamKey::of(organisation, id.as_bytes());
                    self.look_up_origin(key, service).await
                }
                None => self.conclude_origin(service).await,
            };
            let is_final = !matches!(found, Err(OriginError::NotYetKnown));
            if is_final || Instant::now() >= timeout {
                return found;
            }
            time::sleep(REPEAT_AFTER).await;
        }
    }

    /// Returns the origin of a stream by what instances know now.
    async fn look_up_origin(
        &self,
        key: StreamKey,
        service: &Name,
    ) -> Result<FoundOrigin, OriginError> {
        let (_, is_keeper) = self.keepers_asked(key);
        let held = match is_keeper {
            true => self.archived_origin(key, service),
            false => self.held_origin(key, service),
        };
        // A record here may be of another attempt with this id.
        let asked = match held {
            OriginMessage::Ambiguous => Some(OriginMessage::Ambiguous),
            _ => self.ask_for_origin(key, service).await,
        };
        match (asked, held) {
            (Some(OriginMessage::Ambiguous), _) => Err(OriginError::Unknown),
            (Some(OriginMessage::Known(asked)), OriginMessage::Known(held)) if asked != held => {
                Err(OriginError::Unknown)
            }
            (Some(OriginMessage::Known(origin)), _) | (_, OriginMessage::Known(origin)) => {
                Ok(FoundOrigin {
                    origin,
                    source: OriginSource::Recorded,
                })
            }
            (asked, held) => self.conclude(asked, held, service),
        }
    }

    /// Returns the origin of a stream of which the caller does not say which attempt began it: its service and version if
    /// that had no other one.
    async fn conclude_origin(&self, service: &Name) -> Result<FoundOrigin, OriginError> {
        // No record has this key. The answers say whether there were several versions.
        let key = StreamKey::of(None, b"");
        let held = self.held_origin(key, service);
        let asked = self.ask_for_origin(key, service).await;
        self.conclude(asked, held, service)
    }

    /// Returns the origin of a stream without a record.
    fn conclude(
        &self,
        asked: Option<OriginMessage>,
        held: OriginMessage,
        service: &Name,
    ) -> Result<FoundOrigin, OriginError> {
        let Some(asked) = asked else {
            // Cut off from the others, this instance may have missed a version that they use.
            let age_us = self.endpoints_staleness.age_us(self.clock.now_us());
            let is_in_touch = age_us <= self.bounds().drain.outage_age_us();
            return match is_in_touch {
                true => self.sole_origin(service).ok_or(OriginError::Unknown),
                false => Err(OriginError::NotYetKnown),
            };
        };
        match better_answer(asked, held) {
            OriginMessage::NotYetKnown => Err(OriginError::NotYetKnown),
            OriginMessage::Unknown {
                has_several_versions: false,
            } => self.sole_origin(service).ok_or(OriginError::Unknown),
            _ => Err(OriginError::Unknown),
        }
    }

    /// Returns a service and its version as an origin, if the service had no other version.
    fn sole_origin(&self, service: &Name) -> Option<FoundOrigin> {
        let version = self.balancer().versions().sole_version(service)?.clone();
        Some(FoundOrigin {
            origin: StreamOrigin {
                service: service.clone(),
                version,
            },
            source: OriginSource::OnlyVersion,
        })
    }

    /// Returns what this instance knows of the origin of a stream.
    fn held_origin(&self, key: StreamKey, service: &str) -> OriginMessage {
        let now_us = self.clock.now_us();
        let state = self.stream_origins.lock();
        if state.table.is_ambiguous(now_us, key) {
            return OriginMessage::Ambiguous;
        }
        if let Some(origin) = state.table.get(now_us, key) {
            return OriginMessage::Known(origin.clone());
        }
        drop(state);
        let balancer = self.balancer();
        match balancer.versions().is_history_read() {
            true => OriginMessage::Unknown {
                has_several_versions: balancer.versions().has_several(service),
            },
            false => OriginMessage::NotYetKnown,
        }
    }

    /// Returns what this instance knows of the origin of a stream, together with the archive.
    fn archived_origin(&self, key: StreamKey, service: &str) -> OriginMessage {
        let held = self.held_origin(key, service);
        let is_in_doubt = matches!(
            held,
            OriginMessage::Unknown {
                has_several_versions: true
            }
        );
        if !is_in_doubt {
            return held;
        }
        if self.is_joining() {
            return OriginMessage::NotYetKnown;
        }
        match self.origin_archive.get(self.clock.now_us(), key) {
            Archived::Found(Some(origin)) => OriginMessage::Known(origin),
            Archived::Found(None) => OriginMessage::Ambiguous,
            Archived::Absent => held,
            Archived::Pending => OriginMessage::NotYetKnown,
        }
    }

    /// Returns whether this instance has not met most of the others yet. Each would take itself for the keeper of all
    /// slots and read the archive.
    fn is_joining(&self) -> bool {
        let met = self.view().present().count();
        met * 2 < self.instance_counts().all
    }

    /// Asks other instances for an origin until a holder knows it, all have answered or the time for answers is over. An
    /// instance that is no holder knows only the attempts that it relayed. Returns none if no instance answered.
    async fn ask_for_origin(&self, key: StreamKey, service: &Name) -> Option<OriginMessage> {
        let (keepers, _) = self.keepers_asked(key);
        let mut asked: HashSet<IpAddr> = self.other_holders(key, ASKED).into_iter().collect();
        asked.extend(&keepers);
        let channel = self.reservation_client.channel();
        let Some(channel) = channel.filter(|_| !asked.is_empty()) else {
            return Some(OriginMessage::Unknown {
                has_several_versions: false,
            });
        };
        let mut best = None;
        let holders = self.other_holders(key, HOLDERS);
        let mut unanswered = asked;
        let mut pending = self.stream_origins.register();
        self.metrics.origins_asked.inc();
        let timeout = Instant::now() + ANSWER_TIMEOUT;
        let mut repeat_at = Instant::now();
        while !unanswered.is_empty() && Instant::now() < timeout {
            if Instant::now() >= repeat_at {
                for holder in &unanswered {
                    let service = service.clone();
                    let message = match keepers.contains(holder) {
                        true => OriginMessage::AskArchive { key, service },
                        false => OriginMessage::Ask { key, service },
                    };
                    let message = DirectMessage::Origins(message);
                    channel.send(*holder, pending.number, message).await;
                }
                repeat_at = Instant::now() + REPEAT_AFTER;
            }
            let until = repeat_at.min(timeout);
            let Ok(Some((from, answer))) = time::timeout_at(until, pending.answers.recv()).await
            else {
                continue;
            };
            let answer = match best {
                Some(best) => better_answer(best, answer),
                None => answer,
            };
            let is_known = matches!(answer, OriginMessage::Known(_)) && holders.contains(&from);
            let is_ambiguous = answer == OriginMessage::Ambiguous;
            best = Some(answer);
            if is_known || is_ambiguous {
                break;
            }
            unanswered.remove(&from);
        }
        best
    }
}

/// Returns the slot of a stream by a view of the group.
fn slot_of(view: &View, key: StreamKey) -> Slot {
    Slot::of(key, view.present().count())
}

/// Returns what two answers about one stream say together.
fn better_answer(first: OriginMessage, second: OriginMessage) -> OriginMessage {
    use OriginMessage::{Ambiguous, Known, NotYetKnown, Unknown};
    match (first, second) {
        (Ambiguous, _) | (_, Ambiguous) => Ambiguous,
        (Known(first), Known(second)) if first != second => Ambiguous,
        (Known(origin), _) | (_, Known(origin)) => Known(origin),
        (NotYetKnown, _) | (_, NotYetKnown) => NotYetKnown,
        (
            Unknown {
                has_several_versions: true,
            },
            _,
        ) => Unknown {
            has_several_versions: true,
        },
        (_, second) => second,
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
        OriginMessage::Known(_)
        | OriginMessage::Unknown { .. }
        | OriginMessage::Ambiguous
        | OriginMessage::NotYetKnown => {
            gateway.stream_origins.deliver(number, from, message);
        }
    }
}
