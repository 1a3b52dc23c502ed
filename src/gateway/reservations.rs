//! Gives places at the hall's endpoints to the instances of the hall that ask for them, and takes the
//! answers to what this instance asked for.

use std::{net::IpAddr, sync::Arc};

use snafu::ResultExt;
use tokio::net::UdpSocket;

use crate::{
    balance::balancer::{BUSY, ENDPOINT_LIMITS, Placement},
    gateway::{
        permits,
        protocol::Protocol,
        quota,
        reserver::{Channel, PlaceAnswer, PlaceAsk, PlaceDatagram, Word},
        state::Gateway,
    },
    peers::datagram::{Authenticator, DatagramError, UnreadableSnafu},
    prelude::Incarnation,
};

/// The longest datagram that is read.
const MAX_DATAGRAM: usize = 4_096;

/// Answers and takes answers over a bound socket until dropped; every instance's has the same port.
///
/// # Errors
/// The socket has no address.
pub async fn run<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    socket: UdpSocket,
    cluster_key: &[u8],
    me: Incarnation,
) -> std::io::Result<()> {
    let port = socket.local_addr()?.port();
    gateway.reserver.open(Channel {
        socket,
        authenticator: Authenticator::new(cluster_key, "ryevalve place"),
        port,
        me,
    });
    let Some(channel) = gateway.reserver.channel() else {
        return Ok(());
    };
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, from)) = channel.socket.recv_from(&mut buffer).await else {
            // Word that an earlier datagram did not arrive.
            continue;
        };
        match decode(&channel.authenticator, &buffer[..len]) {
            Ok(datagram) => take(&gateway, channel, from.ip(), datagram).await,
            Err(_) => drop(gateway.metrics.datagrams_dropped.inc()),
        }
    }
}

fn decode(authenticator: &Authenticator, bytes: &[u8]) -> Result<PlaceDatagram, DatagramError> {
    let body = authenticator.open(bytes)?;
    postcard::from_bytes(body).context(UnreadableSnafu)
}

async fn take<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    channel: &Channel,
    from: IpAddr,
    datagram: PlaceDatagram,
) {
    match datagram.word {
        Word::Ask(asked) => {
            let number = datagram.number;
            let taker = datagram.from;
            decide(gateway, from, taker, number, *asked).await;
        }
        Word::Permits(word) => {
            permits::take(gateway, channel, from, datagram.number, word).await;
        }
        Word::Quota(message) => quota::take(gateway, datagram.from, from, message).await,
        word => gateway.reserver.take(datagram.number, word),
    }
}

/// Decides on a request for a place, at once if it can be.
async fn decide<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    from: IpAddr,
    taker: Incarnation,
    number: u64,
    asked: PlaceAsk,
) {
    let Some(channel) = gateway.reserver.channel() else {
        return;
    };
    if !gateway.balancer().load_view().is_hall_aggregator() {
        channel.send(from, number, Word::Unable).await;
        return;
    }
    gateway.metrics.places_decided.inc();
    let (ask, tried) = asked.into_ask(gateway.clock.now_us());
    let now_us = gateway.clock.now_us();
    let needs_permit = gateway
        .balancer()
        .permit_candidate(now_us, &ask, &tried)
        .is_some();
    if !needs_permit {
        let placement = gateway.balancer().place(now_us, &ask, &tried);
        if !matches!(placement, Placement::Wait) {
            let word = settle(gateway, taker, number, placement);
            channel.send(from, number, word).await;
            return;
        }
    }
    channel.send(from, number, Word::Waits).await;
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let placement = match needs_permit {
            true => gateway.place_here(&ask, &tried).await,
            false => gateway.wait_for_place(&ask).await,
        };
        let word = settle(&gateway, taker, number, placement);
        if let Some(channel) = gateway.reserver.channel() {
            channel.send(from, number, word).await;
        }
    });
}

/// Counts a place as the taker's, and says what was decided.
fn settle<P: Protocol>(
    gateway: &Gateway<P>,
    taker: Incarnation,
    number: u64,
    placement: Placement,
) -> Word {
    match placement {
        Placement::Send(choice) => {
            let now_us = gateway.clock.now_us();
            let mut balancer = gateway.balancer();
            balancer.grant_to_peer(now_us, &choice, taker, number);
            Word::Decided(PlaceAnswer::Granted {
                key: choice.key,
                expected: choice.expected,
                by_permit: balancer.rate(now_us, choice.key).is_some(),
            })
        }
        Placement::Refuse { reason: BUSY, .. } => Word::Decided(PlaceAnswer::Refused),
        Placement::Refuse {
            reason: ENDPOINT_LIMITS,
            ..
        } => Word::Decided(PlaceAnswer::OverEndpointLimits),
        // It may know endpoints that this instance does not.
        Placement::Refuse { .. } | Placement::Wait => Word::Unable,
    }
}
