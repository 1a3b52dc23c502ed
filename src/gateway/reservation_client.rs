//! Requests reservations ("places") for streams at the hall's endpoints from the instance that issues them.
//!
//! Load summaries that are sent every 80 ms are too stale to place streams by. When each of 85 instances in four halls
//! placed by its own load estimate, they sent streams to endpoints of 9 slots that they took to have 8 requests and
//! that had 12 in the mean (11 in the median, 16 and more for a quarter of all). Of 17,246 streams placed on a day of
//! two surges, 95 of 100 went to endpoints of their own hall. So one instance of each hall issues the reservations for
//! the hall's endpoints and counts their requests as it does so: its count is current as of its last answer.
//!
//! Reservations are an optimisation: an instance that gets no answer in time places the stream by its own estimate.

use std::{
    collections::{BTreeMap, HashMap},
    net::{IpAddr, SocketAddr},
    sync::{Mutex, MutexGuard, OnceLock, PoisonError},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{
    net::UdpSocket,
    sync::mpsc,
    time::{self, Instant},
};

use crate::{
    balance::{
        balancer::max_wait_us,
        cost::{Expected, PlacementRequest},
        load::EndpointKey,
        prefixes::ChainKey,
        regions::AllowedRegions,
        versions::VersionRule,
    },
    clock::Clock,
    gateway::{
        permits::{HeldPermit, PermitMessage},
        rollouts::RolloutMessage,
        stream_origins::OriginMessage,
    },
    limits::quota::Message,
    peers::datagram::Authenticator,
    prelude::{Incarnation, Micros, Name, Rank},
    shares::admission::Standing,
};

/// How long to wait for a first answer, which may just say that the request is queued. A datagram takes .2 ms within a
/// hall and the answer some ten microseconds of CPU time, but instances that have .12 of a core pause.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// How long after a queued request's maximum wait its decision may still arrive.
const DECISION_MARGIN: Duration = Duration::from_millis(40);
/// An instance that did not answer in time, or could not decide, gets no reservation requests for this long.
const SKIP_US: Micros = 500_000;
/// The most prefix chains of a prompt that a request carries; prompts have two or three.
const MAX_CHAINS: usize = 16;

/// A request for a reservation. Times are relative to the time of sending, since the instances' clocks differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReservationRequest {
    /// As in [`PlacementRequest::service`].
    pub service: Name,
    /// As in [`PlacementRequest::prompt_tokens`].
    pub prompt_tokens: u32,
    /// As in [`PlacementRequest::chains`].
    pub chains: Vec<(ChainKey, u32)>,
    /// As in [`PlacementRequest::output_events`].
    pub output_events: f32,
    /// As in [`PlacementRequest::target_us`].
    pub target_us: Micros,
    /// Time since [`PlacementRequest::arrived_us`].
    pub spent_us: Micros,
    /// As in [`PlacementRequest::waited_us`].
    pub waited_us: Micros,
    /// Time until [`PlacementRequest::deadline_us`].
    pub left_us: Micros,
    /// As in [`PlacementRequest::rank`].
    pub rank: Rank,
    /// As in [`PlacementRequest::other_hall_cost`].
    pub other_hall_cost: f32,
    /// As in [`PlacementRequest::draw`].
    pub draw: u64,
    /// As in [`PlacementRequest::standing`].
    pub standing: Standing,
    /// As in [`PlacementRequest::versions`].
    pub versions: Option<VersionRule>,
    /// Endpoints that must not be chosen.
    pub tried: Vec<EndpointKey>,
}

impl ReservationRequest {
    fn new(now_us: Micros, request: &PlacementRequest, tried: &[EndpointKey]) -> Self {
        Self {
            service: request.service.clone(),
            prompt_tokens: request.prompt_tokens,
            chains: request.chains.iter().take(MAX_CHAINS).copied().collect(),
            output_events: request.output_events as f32,
            target_us: request.target_us,
            spent_us: now_us.saturating_sub(request.arrived_us),
            waited_us: request.waited_us,
            left_us: request.deadline_us.saturating_sub(now_us),
            rank: request.rank,
            other_hall_cost: request.other_hall_cost as f32,
            draw: request.draw,
            standing: request.standing,
            versions: request.versions.clone(),
            tried: tried.to_vec(),
        }
    }

    /// Converts to times by the receiver's clock; returns the placement request and the endpoints not to choose.
    pub fn into_placement_request(self, now_us: Micros) -> (PlacementRequest, Vec<EndpointKey>) {
        let request = PlacementRequest {
            service: self.service,
            route: 0,
            is_stream: true,
            prompt_tokens: self.prompt_tokens,
            chains: self.chains,
            output_events: f64::from(self.output_events),
            target_us: self.target_us,
            arrived_us: now_us.saturating_sub(self.spent_us),
            waited_us: self.waited_us,
            deadline_us: now_us + self.left_us,
            rank: self.rank,
            other_hall_cost: f64::from(self.other_hall_cost),
            standing: self.standing,
            allowed_regions: AllowedRegions::default(),
            versions: self.versions,
            draw: self.draw,
        };
        (request, self.tried)
    }
}

/// The decision on a reservation request.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum ReservationReply {
    /// A place at an endpoint is reserved.
    Granted {
        /// The endpoint.
        key: EndpointKey,
        /// The expected performance of the request there.
        expected: Expected,
        /// Whether a permit was used, because the endpoint has a rate limit or is brittle.
        by_permit: bool,
        /// When the slot of a brittle endpoint was issued, on its issuer's clock.
        slot_issued_us: Option<Micros>,
    },
    /// No place became free within the longest time that the request may wait.
    Refused,
    /// The only endpoints that could take the request have a rate limit, and no permit was available.
    OverEndpointLimits,
}

impl ReservationReply {
    /// Returns the slot of a brittle endpoint that comes with it.
    pub(super) fn slot(&self) -> Option<HeldPermit> {
        match *self {
            Self::Granted {
                key,
                slot_issued_us: Some(issued_us),
                ..
            } => Some(HeldPermit {
                endpoint: key,
                issued_us,
            }),
            _ => None,
        }
    }
}

/// The content of a direct message between two instances: about reservations, permits, quota, roll-outs or
/// streams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum DirectMessage {
    /// Requests a reservation.
    Ask(Box<ReservationRequest>),
    /// The request is queued until a place is free.
    Waits,
    /// The request is decided.
    Decided(ReservationReply),
    /// The receiver cannot decide: it does not issue reservations, or knows no suitable endpoint.
    Unable,
    /// A message about permits.
    Permits(PermitMessage),
    /// A message about organisations' quota.
    Quota(Message),
    /// Evidence on a roll-out.
    Rollouts(Box<RolloutMessage>),
    /// A message about the origin of a stream.
    Origins(OriginMessage),
}

/// A datagram that carries a direct message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectDatagram {
    /// The sender's incarnation.
    pub from: Incarnation,
    /// The number of the request, which its answers repeat. The requester assigns the numbers in ascending order.
    pub number: u64,
    /// The message.
    #[serde(rename = "word")]
    pub message: DirectMessage,
}

/// The socket and key with which this instance sends direct messages to the others.
pub(super) struct Channel {
    pub(super) socket: UdpSocket,
    pub(super) authenticator: Authenticator,
    pub(super) port: u16,
    pub(super) me: Incarnation,
}

impl Channel {
    /// Sends a datagram. Delivery is not guaranteed; the sender learns of it from the answer only.
    pub(super) async fn send(&self, to: IpAddr, number: u64, message: DirectMessage) {
        let datagram = DirectDatagram {
            from: self.me,
            number,
            message,
        };
        // Plain data like this always serialises to postcard.
        let mut bytes = postcard::to_stdvec(&datagram).unwrap_or_default();
        self.authenticator.seal(&mut bytes);
        let to = SocketAddr::new(to, self.port);
        if let Err(error) = self.socket.send_to(&bytes, to).await {
            log::debug!(target: "ryevalve::process", reason = error.to_string(); "place_word_unsent");
        }
    }
}

#[derive(Debug, Default)]
struct State {
    /// The instances to request reservations from, in order of preference.
    issuers: Vec<IpAddr>,
    skipped_until_us: HashMap<IpAddr, Micros>,
    last_number: u64,
    /// Undecided requests, by number.
    pending: BTreeMap<u64, mpsc::UnboundedSender<DirectMessage>>,
}

/// Requests reservations and tracks the undecided requests.
#[derive(Default)]
pub struct ReservationClient {
    channel: OnceLock<Channel>,
    state: Mutex<State>,
}

/// An undecided reservation request. It counts as settled once this is dropped.
struct Pending<'r> {
    client: &'r ReservationClient,
    number: u64,
    messages: mpsc::UnboundedReceiver<DirectMessage>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.client.lock().pending.remove(&self.number);
    }
}

impl ReservationClient {
    /// Sets the channel to the other instances.
    pub(super) fn open(&self, channel: Channel) {
        // This is called once, when the instance starts.
        let _ = self.channel.set(channel);
    }

    pub(super) fn channel(&self) -> Option<&Channel> {
        self.channel.get()
    }

    /// Sets the instances to request reservations from, in order of preference. It is empty if this instance is the
    /// hall's issuer itself.
    pub fn set_issuers(&self, issuers: Vec<IpAddr>) {
        self.lock().issuers = issuers;
    }

    /// Returns the highest number up to which every reservation requested is in use or will never be used.
    pub fn settled(&self) -> u64 {
        let state = self.lock();
        let first = state.pending.keys().next();
        first.map_or(state.last_number, |first| first - 1)
    }

    /// Delivers an answer to the request that waits for it; returns it if none does.
    pub(super) fn deliver(&self, number: u64, message: DirectMessage) -> Option<DirectMessage> {
        match self.lock().pending.get(&number) {
            Some(sender) => sender.send(message).err().map(|undelivered| undelivered.0),
            None => Some(message),
        }
    }

    /// Requests a reservation from `issuer`; returns `None` if it does not answer in time or cannot decide.
    pub async fn request(
        &self,
        clock: Clock,
        issuer: IpAddr,
        request: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Option<ReservationReply> {
        let channel = self.channel.get()?;
        let now_us = clock.now_us();
        let mut pending = self.register();
        let message = DirectMessage::Ask(Box::new(ReservationRequest::new(now_us, request, tried)));
        channel.send(issuer, pending.number, message).await;
        let held_us = now_us.saturating_sub(request.arrived_us);
        let hold = Duration::from_micros(max_wait_us(request).saturating_sub(held_us));
        let mut until = Instant::now() + FIRST_ANSWER_TIMEOUT;
        loop {
            match time::timeout_at(until, pending.messages.recv()).await {
                Ok(Some(DirectMessage::Decided(answer))) => return Some(answer),
                Ok(Some(DirectMessage::Waits)) => until = Instant::now() + hold + DECISION_MARGIN,
                Ok(Some(
                    DirectMessage::Ask(_)
                    | DirectMessage::Permits(_)
                    | DirectMessage::Quota(_)
                    | DirectMessage::Rollouts(_)
                    | DirectMessage::Origins(_),
                )) => {}
                Ok(Some(DirectMessage::Unable) | None) | Err(_) => {
                    self.skip(clock.now_us(), issuer);
                    return None;
                }
            }
        }
    }

    fn register(&self) -> Pending<'_> {
        let (sender, messages) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.pending.insert(number, sender);
        Pending {
            client: self,
            number,
            messages,
        }
    }

    /// Returns the instance to request a reservation from, or `None` if this instance is the issuer or no issuer
    /// answers.
    pub fn issuer(&self, now_us: Micros) -> Option<IpAddr> {
        let mut state = self.lock();
        state
            .skipped_until_us
            .retain(|_, until_us| *until_us > now_us);
        let skipped = &state.skipped_until_us;
        let answers = |ip: &&IpAddr| !skipped.contains_key(*ip);
        state.issuers.iter().find(answers).copied()
    }

    fn skip(&self, now_us: Micros, issuer: IpAddr) {
        let until_us = now_us + SKIP_US;
        self.lock().skipped_until_us.insert(issuer, until_us);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // No critical section can leave the state inconsistent, so a poisoned lock is still usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
