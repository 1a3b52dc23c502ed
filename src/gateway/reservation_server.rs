//! Receives the direct messages of other instances: issues reservations at the hall's endpoints to the hall's
//! instances, and dispatches messages about permits, quota and roll-outs, and the answers to this instance's own requests.

use std::{net::IpAddr, sync::Arc};

use snafu::ResultExt;
use tokio::net::UdpSocket;

use crate::{
    balance::balancer::{BUSY, ENDPOINT_LIMITS, Placement},
    gateway::{
        permits,
        protocol::Protocol,
        quota,
        reservation_client::{
            Channel, DirectDatagram, DirectMessage, ReservationReply, ReservationRequest,
        },
        state::Gateway,
        stream_origins,
    },
    peers::datagram::{Authenticator, DatagramError, UnreadableSnafu},
    prelude::Incarnation,
};

/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 4_096;

/// Serves direct messages on a bound socket until dropped. All instances must use the same port.
///
/// # Errors
/// Fails if the socket has no local address.
pub async fn run<P: Protocol>(
    gateway: Arc<Gateway<P>>,
    socket: UdpSocket,
    cluster_key: &[u8],
    me: Incarnation,
) -> std::io::Result<()> {
    let port = socket.local_addr()?.port();
    gateway.reservation_client.open(Channel {
        socket,
        authenticator: Authenticator::new(cluster_key, "ryevalve place"),
        port,
        me,
    });
    let Some(channel) = gateway.reservation_client.channel() else {
        return Ok(());
    };
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((len, from)) = channel.socket.recv_from(&mut buffer).await else {
            // The error reports that an earlier datagram could not be delivered.
            continue;
        };
        match decode(&channel.authenticator, &buffer[..len]) {
            Ok(datagram) => dispatch(&gateway, channel, from.ip(), datagram).await,
            Err(_) => drop(gateway.metrics.datagrams_dropped.inc()),
        }
    }
}

fn decode(authenticator: &Authenticator, bytes: &[u8]) -> Result<DirectDatagram, DatagramError> {
    let body = authenticator.open(bytes)?;
    postcard::from_bytes(body).context(UnreadableSnafu)
}

async fn dispatch<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    channel: &Channel,
    from: IpAddr,
    datagram: DirectDatagram,
) {
    match datagram.message {
        DirectMessage::Ask(reservation) => {
            let number = datagram.number;
            let requester = datagram.from;
            decide(gateway, from, requester, number, *reservation).await;
        }
        DirectMessage::Permits(message) => {
            permits::receive(gateway, channel, from, datagram.number, message).await;
        }
        DirectMessage::Quota(message) => {
            quota::receive(gateway, datagram.from, from, message).await
        }
        DirectMessage::Rollouts(message) => {
            let now_us = gateway.clock.now_us();
            gateway.rollouts.receive(now_us, datagram.from, *message);
        }
        DirectMessage::Origins(message) => {
            stream_origins::receive(gateway, channel, from, datagram.number, message).await;
        }
        message => {
            let undelivered = gateway.reservation_client.deliver(datagram.number, message);
            if let Some(DirectMessage::Decided(reply)) = undelivered
                && let Some(slot) = reply.slot()
            {
                // The request has stopped waiting for it.
                permits::release(gateway, slot).await;
            }
        }
    }
}

/// Decides on a reservation request: immediately where possible, otherwise in a task that waits for a free place.
async fn decide<P: Protocol>(
    gateway: &Arc<Gateway<P>>,
    from: IpAddr,
    requester: Incarnation,
    number: u64,
    reservation: ReservationRequest,
) {
    let Some(channel) = gateway.reservation_client.channel() else {
        return;
    };
    if !gateway.balancer().load_view().is_hall_aggregator() {
        channel.send(from, number, DirectMessage::Unable).await;
        return;
    }
    gateway.metrics.places_decided.inc();
    let (request, tried) = reservation.into_placement_request(gateway.clock.now_us());
    let now_us = gateway.clock.now_us();
    let needs_permit = gateway
        .balancer()
        .permit_candidate(now_us, &request, &tried)
        .is_some();
    if !needs_permit {
        let placement = gateway.balancer().place(now_us, &request, &tried);
        if !matches!(placement, Placement::Wait) {
            let message = conclude(gateway, requester, number, placement);
            channel.send(from, number, message).await;
            return;
        }
    }
    channel.send(from, number, DirectMessage::Waits).await;
    let gateway = gateway.clone();
    tokio::spawn(async move {
        let placement = match needs_permit {
            true => gateway.place_locally(&request, &tried).await,
            false => gateway.wait_for_place(&request, &tried).await,
        };
        let message = conclude(&gateway, requester, number, placement);
        if let Some(channel) = gateway.reservation_client.channel() {
            channel.send(from, number, message).await;
        }
    });
}

/// Attributes a reserved place to the requester, and returns the answer that states the decision.
fn conclude<P: Protocol>(
    gateway: &Gateway<P>,
    requester: Incarnation,
    number: u64,
    placement: Placement,
) -> DirectMessage {
    match placement {
        Placement::Send(choice) => {
            let now_us = gateway.clock.now_us();
            // The slot of a brittle endpoint goes to the requester, which returns it.
            let slot = gateway.permits.take_held_slot(choice.key);
            let mut balancer = gateway.balancer();
            balancer.grant_to_peer(now_us, &choice, requester, number);
            DirectMessage::Decided(ReservationReply::Granted {
                key: choice.key,
                expected: choice.expected,
                by_permit: balancer.needs_permit(now_us, choice.key),
                slot_issued_us: slot.map(|slot| slot.issued_us),
            })
        }
        Placement::Refuse { reason: BUSY, .. } => DirectMessage::Decided(ReservationReply::Refused),
        Placement::Refuse {
            reason: ENDPOINT_LIMITS,
            ..
        } => DirectMessage::Decided(ReservationReply::OverEndpointLimits),
        // The requester may know endpoints that this instance does not.
        Placement::Refuse { .. } | Placement::Wait => DirectMessage::Unable,
    }
}
