//! Asks the instance that gives places at the hall's endpoints for one.
//!
//! Sums that are told each 80 ms are too old to place by: 85 instances in four halls, each by its own
//! picture, sent to endpoints of 9 slots that they believed to have 8 requests and that had 12 in the mean
//! (11 in the median, 16 and more for a quarter of all). Of 17,246 streams placed on a day of two surges
//! 95 of 100 went to endpoints of their own hall. So one instance of each hall counts its endpoints'
//! requests as it gives places to all of the hall, and its count is as new as its last answer.
//!
//! Nothing hangs on it: whoever gets no answer in time places by what it knows itself.

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
    },
    clock::Clock,
    gateway::permits::PermitWord,
    limits::quota::Message,
    peers::datagram::Authenticator,
    prelude::{Incarnation, Micros, Name, Rank},
};

/// An answer, if only that the request waits, comes within this time: a datagram takes .2 ms within a hall
/// and the answer some ten microseconds of processor time, but instances with .12 of a core pause.
const FIRST_ANSWER: Duration = Duration::from_millis(25);
/// What waits is decided this long after its time to wait is over.
const DECIDED_AFTER: Duration = Duration::from_millis(40);
/// An instance that did not answer in time is passed over for this long.
const PASSED_OVER_US: Micros = 500_000;
/// Chains of a prompt that are told; prompts have two or three.
const CHAINS_TOLD: usize = 16;

/// What is asked for, with times relative to the sending: clocks of instances differ.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceAsk {
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
    /// Endpoints that are not to be chosen.
    pub tried: Vec<EndpointKey>,
}

impl PlaceAsk {
    fn new(now_us: Micros, ask: &PlacementRequest, tried: &[EndpointKey]) -> Self {
        Self {
            service: ask.service.clone(),
            prompt_tokens: ask.prompt_tokens,
            chains: ask.chains.iter().take(CHAINS_TOLD).copied().collect(),
            output_events: ask.output_events as f32,
            target_us: ask.target_us,
            spent_us: now_us.saturating_sub(ask.arrived_us),
            waited_us: ask.waited_us,
            left_us: ask.deadline_us.saturating_sub(now_us),
            rank: ask.rank,
            other_hall_cost: ask.other_hall_cost as f32,
            draw: ask.draw,
            tried: tried.to_vec(),
        }
    }

    /// Returns it by the clock of whoever was asked.
    pub fn into_ask(self, now_us: Micros) -> (PlacementRequest, Vec<EndpointKey>) {
        let ask = PlacementRequest {
            service: self.service,
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
            homes: AllowedRegions::default(),
            draw: self.draw,
        };
        (ask, self.tried)
    }
}

/// What is decided on a request for a place.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum PlaceAnswer {
    /// A place is taken for it.
    Granted {
        /// The endpoint.
        key: EndpointKey,
        /// What is expected of it.
        expected: Expected,
        /// A permit was used for it: the endpoint takes only so many requests a second.
        by_permit: bool,
    },
    /// There is none, and it waited for as long as it may.
    Refused,
    /// There is none but at endpoints that take only so many requests a second.
    OverEndpointLimits,
}

/// What a datagram about a place says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// Asks for a place.
    Ask(Box<PlaceAsk>),
    /// It waits for one.
    Waits,
    /// It is decided.
    Decided(PlaceAnswer),
    /// Whoever was asked does not know the endpoints' load.
    Unable,
    /// Is of permits, not of places.
    Permits(PermitWord),
    /// Is of organisations' limits, not of places.
    Quota(Message),
}

/// A datagram about a place.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlaceDatagram {
    /// The sender's start.
    pub from: Incarnation,
    /// The number of the request for a place, given by whoever asks; rises.
    pub number: u64,
    /// What it says.
    pub word: Word,
}

/// How this instance reaches the others.
pub(super) struct Channel {
    pub(super) socket: UdpSocket,
    pub(super) authenticator: Authenticator,
    pub(super) port: u16,
    pub(super) me: Incarnation,
}

impl Channel {
    /// Sends a datagram; whether it came shows in the answer.
    pub(super) async fn send(&self, to: IpAddr, number: u64, word: Word) {
        let datagram = PlaceDatagram {
            from: self.me,
            number,
            word,
        };
        // Plain data of this kind always has a postcard form.
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
    /// Whom to ask, the first first.
    ledgers: Vec<IpAddr>,
    passed_over_until_us: HashMap<IpAddr, Micros>,
    last_number: u64,
    /// Requests that are not decided, by number.
    pending: BTreeMap<u64, mpsc::UnboundedSender<Word>>,
}

/// Asks for places, and keeps account of what it asked for.
#[derive(Default)]
pub struct Reserver {
    channel: OnceLock<Channel>,
    state: Mutex<State>,
}

/// A request for a place that is not decided; it is settled when this is dropped.
struct Pending<'r> {
    reserver: &'r Reserver,
    number: u64,
    words: mpsc::UnboundedReceiver<Word>,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.reserver.lock().pending.remove(&self.number);
    }
}

impl Reserver {
    /// Sets how the others are reached.
    pub(super) fn open(&self, channel: Channel) {
        // It is opened once, when the instance starts.
        let _ = self.channel.set(channel);
    }

    pub(super) fn channel(&self) -> Option<&Channel> {
        self.channel.get()
    }

    /// Sets whom to ask, the first first; nobody if it is this instance.
    pub fn set_ledgers(&self, ledgers: Vec<IpAddr>) {
        self.lock().ledgers = ledgers;
    }

    /// Returns the number up to which all places asked for are taken or will not be.
    pub fn settled(&self) -> u64 {
        let state = self.lock();
        let first = state.pending.keys().next();
        first.map_or(state.last_number, |first| first - 1)
    }

    /// Takes an answer.
    pub(super) fn take(&self, number: u64, word: Word) {
        if let Some(sender) = self.lock().pending.get(&number) {
            // Whoever asked may have left.
            let _ = sender.send(word);
        }
    }

    /// Asks `ledger` for a place; none if it does not answer in time, or cannot say.
    pub async fn ask(
        &self,
        clock: Clock,
        ledger: IpAddr,
        ask: &PlacementRequest,
        tried: &[EndpointKey],
    ) -> Option<PlaceAnswer> {
        let channel = self.channel.get()?;
        let now_us = clock.now_us();
        let mut pending = self.begin();
        let word = Word::Ask(Box::new(PlaceAsk::new(now_us, ask, tried)));
        channel.send(ledger, pending.number, word).await;
        let held_us = now_us.saturating_sub(ask.arrived_us);
        let hold = Duration::from_micros(max_wait_us(ask).saturating_sub(held_us));
        let mut until = Instant::now() + FIRST_ANSWER;
        loop {
            match time::timeout_at(until, pending.words.recv()).await {
                Ok(Some(Word::Decided(answer))) => return Some(answer),
                Ok(Some(Word::Waits)) => until = Instant::now() + hold + DECIDED_AFTER,
                Ok(Some(Word::Ask(_) | Word::Permits(_) | Word::Quota(_))) => {}
                Ok(Some(Word::Unable) | None) | Err(_) => {
                    self.pass_over(clock.now_us(), ledger);
                    return None;
                }
            }
        }
    }

    fn begin(&self) -> Pending<'_> {
        let (sender, words) = mpsc::unbounded_channel();
        let mut state = self.lock();
        state.last_number += 1;
        let number = state.last_number;
        state.pending.insert(number, sender);
        Pending {
            reserver: self,
            number,
            words,
        }
    }

    /// Returns whom to ask now; none if it is this instance, or nobody that answers.
    pub fn ledger(&self, now_us: Micros) -> Option<IpAddr> {
        let mut state = self.lock();
        state
            .passed_over_until_us
            .retain(|_, until_us| *until_us > now_us);
        let passed_over = &state.passed_over_until_us;
        let answers = |ip: &&IpAddr| !passed_over.contains_key(*ip);
        state.ledgers.iter().find(answers).copied()
    }

    fn pass_over(&self, now_us: Micros, ledger: IpAddr) {
        let until_us = now_us + PASSED_OVER_US;
        self.lock().passed_over_until_us.insert(ledger, until_us);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every step leaves the state whole, so a poisoned lock is usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
