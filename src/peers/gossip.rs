//! Drives [`Membership`] over a UDP socket.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    net::UdpSocket,
    sync::watch,
    time::{MissedTickBehavior, interval},
};
use tokio_util::sync::CancellationToken;

use crate::{
    clock::Clock,
    peers::{
        datagram::{self, Authenticator, Digest, MAX_DATAGRAM_BYTES},
        membership::{Membership, Outgoing, PERIOD_US},
        view::View,
    },
    prelude::Micros,
};

/// Shortest interval between two published views. A view is as large as the cluster, and while many instances discover
/// each other every datagram changes it.
const MIN_VIEW_INTERVAL_US: Micros = 40_000;

/// Limits how often the membership view is rebuilt: immediately for the first change after a quiet period, once for all
/// changes that follow within the minimum interval.
#[derive(Debug, Default)]
pub struct ViewThrottle {
    published_us: Option<Micros>,
    is_pending: bool,
}

impl ViewThrottle {
    /// Records that the membership changed.
    pub fn note_change(&mut self) {
        self.is_pending = true;
    }

    /// Returns whether a view is to be published now, and if so records it as published.
    pub fn take_due(&mut self, now_us: Micros) -> bool {
        let published_us = self.published_us;
        let is_soon = |at_us: Micros| now_us.saturating_sub(at_us) < MIN_VIEW_INTERVAL_US;
        if !self.is_pending || published_us.is_some_and(is_soon) {
            return false;
        }
        self.is_pending = false;
        self.published_us = Some(now_us);
        true
    }
}

/// Counters of the membership socket.
#[derive(Debug, Default)]
pub struct GossipCounts {
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Datagrams dropped: wrong tag, undecodable, replayed, or sent by this instance itself.
    pub dropped: AtomicU64,
    /// Number of times this process detected that it had been paused.
    pub pauses: AtomicU64,
}

struct State {
    membership: Membership,
    throttle: ViewThrottle,
}

/// Runs the membership protocol of this instance and publishes its view.
pub struct Gossip {
    state: Mutex<State>,
    socket: UdpSocket,
    authenticator: Authenticator,
    clock: Clock,
    view: watch::Sender<Arc<View>>,
    /// Counters of the membership socket.
    pub counts: GossipCounts,
}

impl Gossip {
    /// Binds the socket; [`Gossip::run`] starts the protocol.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn bind(
        addr: SocketAddr,
        membership: Membership,
        cluster_key: &[u8],
        clock: Clock,
    ) -> io::Result<Self> {
        let (view, _) = watch::channel(Arc::new(membership.view()));
        Ok(Self {
            socket: UdpSocket::bind(addr).await?,
            state: Mutex::new(State {
                membership,
                throttle: ViewThrottle::default(),
            }),
            authenticator: Authenticator::new(cluster_key, "ryevalve datagram"),
            clock,
            view,
            counts: GossipCounts::default(),
        })
    }

    /// Returns the current membership view, after publishing a new one if that is due.
    pub fn view(&self) -> Arc<View> {
        self.publish_if_due(&mut self.lock());
        self.view.borrow().clone()
    }

    /// Returns a receiver of published views.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Sets the configuration state that later datagrams carry.
    pub fn set_digest(&self, digest: Digest) {
        self.with_membership(|m| m.set_digest(digest));
    }

    /// Sets the addresses of the platform's instance list.
    pub fn set_listed(&self, listed: Vec<SocketAddr>) {
        self.with_membership(|m| m.set_listed(listed));
    }

    /// Announces that this instance accepts no new work.
    pub fn leave(&self) {
        self.with_membership(Membership::leave);
    }

    /// Announces to all present members that this instance leaves and holds no requests.
    pub async fn goodbye(&self) {
        let packets = self.lock().membership.goodbye();
        self.send(packets).await;
    }

    /// Sends probes and responds to datagrams until cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        let mut period = interval(Duration::from_micros(PERIOD_US));
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                _ = period.tick() => self.tick().await,
                received = self.socket.recv_from(&mut buffer) => {
                    if let Ok((len, _)) = received {
                        self.receive(&buffer[..len]).await;
                    }
                }
            }
        }
    }

    async fn tick(&self) {
        let mut out = Vec::new();
        let paused = self.with_membership(|m| m.tick(self.clock.now_us(), &mut out));
        if paused {
            self.counts.pauses.fetch_add(1, Ordering::Relaxed);
            log::warn!("this process was paused; resetting the membership view");
        }
        self.send(out).await;
    }

    async fn receive(&self, bytes: &[u8]) {
        let len = bytes.len() as u64;
        self.counts.received_bytes.fetch_add(len, Ordering::Relaxed);
        let mut out = Vec::new();
        let is_accepted = match datagram::decode(&self.authenticator, bytes) {
            Ok(packet) => {
                let now_us = self.clock.now_us();
                self.with_membership(|m| m.receive(now_us, packet, &mut out))
                    .is_ok()
            }
            Err(_) => false,
        };
        if !is_accepted {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        self.send(out).await;
    }

    async fn send(&self, packets: Vec<Outgoing>) {
        for mut outgoing in packets {
            let bytes = datagram::encode(&self.authenticator, &mut outgoing.packet);
            // A datagram that cannot be sent counts as lost: the protocol tolerates loss.
            if let Ok(len) = self.socket.send_to(&bytes, outgoing.to).await {
                self.counts
                    .sent_bytes
                    .fetch_add(len as u64, Ordering::Relaxed);
            }
        }
    }

    fn with_membership<T>(&self, change: impl FnOnce(&mut Membership) -> T) -> T {
        let mut state = self.lock();
        let result = change(&mut state.membership);
        if state.membership.take_changed() {
            state.throttle.note_change();
        }
        self.publish_if_due(&mut state);
        result
    }

    fn publish_if_due(&self, state: &mut State) {
        if state.throttle.take_due(self.clock.now_us()) {
            self.view.send_replace(Arc::new(state.membership.view()));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // Every step leaves the state consistent, so it is usable after a panic in another thread.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
