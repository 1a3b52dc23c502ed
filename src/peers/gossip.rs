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
};

/// Counts of what the socket saw.
#[derive(Debug, Default)]
pub struct GossipCounts {
    /// Bytes sent.
    pub sent_bytes: AtomicU64,
    /// Bytes received.
    pub received_bytes: AtomicU64,
    /// Datagrams dropped as forged, unreadable, replayed or own.
    pub dropped: AtomicU64,
    /// Times this process noticed that it had been paused.
    pub pauses: AtomicU64,
}

/// The membership of this instance, running.
pub struct Gossip {
    membership: Mutex<Membership>,
    socket: UdpSocket,
    authenticator: Authenticator,
    clock: Clock,
    view: watch::Sender<Arc<View>>,
    /// Counts of what the socket saw.
    pub counts: GossipCounts,
}

impl Gossip {
    /// Binds the socket; [`Gossip::run`] starts the exchange.
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
            membership: Mutex::new(membership),
            authenticator: Authenticator::new(cluster_key, "ryevalve datagram"),
            clock,
            view,
            counts: GossipCounts::default(),
        })
    }

    /// Returns the current view.
    pub fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// Returns a receiver that sees each change of the view.
    pub fn watch(&self) -> watch::Receiver<Arc<View>> {
        self.view.subscribe()
    }

    /// Sets what later datagrams say of this instance's state.
    pub fn set_digest(&self, digest: Digest) {
        self.with(|m| m.set_digest(digest));
    }

    /// Takes the platform's instance list.
    pub fn set_listed(&self, listed: Vec<SocketAddr>) {
        self.with(|m| m.set_listed(listed));
    }

    /// Says that this instance takes no new work.
    pub fn leave(&self) {
        self.with(Membership::leave);
    }

    /// Says goodbye, after which the others know that nothing is held here.
    pub async fn goodbye(&self) {
        let packets = self.lock().goodbye();
        self.send(packets).await;
    }

    /// Probes and answers until cancelled.
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
        let paused = self.with(|m| m.tick(self.clock.now_us(), &mut out));
        if paused {
            self.counts.pauses.fetch_add(1, Ordering::Relaxed);
            log::warn!("this process was paused; views and leads are taken up anew");
        }
        self.send(out).await;
    }

    async fn receive(&self, bytes: &[u8]) {
        let len = bytes.len() as u64;
        self.counts.received_bytes.fetch_add(len, Ordering::Relaxed);
        let mut out = Vec::new();
        let taken = match datagram::decode(&self.authenticator, bytes) {
            Ok(packet) => {
                let now_us = self.clock.now_us();
                self.with(|m| m.receive(now_us, packet, &mut out)).is_ok()
            }
            Err(_) => false,
        };
        if !taken {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        self.send(out).await;
    }

    async fn send(&self, packets: Vec<Outgoing>) {
        for mut outgoing in packets {
            let bytes = datagram::encode(&self.authenticator, &mut outgoing.packet);
            // A datagram that cannot be sent is as one lost on the way.
            if let Ok(len) = self.socket.send_to(&bytes, outgoing.to).await {
                self.counts
                    .sent_bytes
                    .fetch_add(len as u64, Ordering::Relaxed);
            }
        }
    }

    fn with<T>(&self, change: impl FnOnce(&mut Membership) -> T) -> T {
        let mut membership = self.lock();
        let result = change(&mut membership);
        if membership.take_changed() {
            let view = Arc::new(membership.view());
            self.view.send_replace(view);
        }
        result
    }

    fn lock(&self) -> MutexGuard<'_, Membership> {
        // The state is left whole by every step, so a poisoned lock is usable.
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
