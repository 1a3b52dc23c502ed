//! The UDP datagrams of the membership protocol: postcard with an authentication tag.

use std::net::SocketAddr;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::prelude::{Incarnation, Name};

/// The longest datagram sent, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
const TAG_BYTES: usize = 16;

/// What an instance announces about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// The instance's name in the settings.
    pub name: Name,
    /// Identifies this start of the process.
    pub incarnation: Incarnation,
    /// The address for datagrams (UDP) and calls (TCP).
    pub peer_addr: SocketAddr,
    /// The hall in which the instance runs.
    pub hall: Name,
    /// The data centre in which the instance runs.
    pub data_centre: Name,
    /// The version of this announcement. Only the instance itself increases it: when its state changes, and to refute a
    /// suspicion (the incarnation number of SWIM).
    pub beat: u32,
    /// The instance accepts no new work and is about to stop.
    pub leaving: bool,
}

/// The state of a member as another instance sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// Responds to probes.
    Alive,
    /// Did not respond to a probe; may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced that it left and holds no requests.
    Left,
}

/// A member's state as passed on by gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The member.
    pub info: MemberInfo,
    /// The member's state as the sender sees it.
    pub liveness: Liveness,
}

/// The purpose of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Requests a [`Body::Ack`] with the same nonce.
    Ping(u64),
    /// Responds to the ping with this nonce.
    Ack(u64),
    /// Requests an indirect probe: the recipient pings a member on the sender's behalf.
    PingFor {
        /// The address to ping.
        target: SocketAddr,
        /// The nonce for the ack to the sender.
        nonce: u64,
    },
    /// Announces that the sender leaves and holds no requests.
    Goodbye,
}

/// A summary of the sender's configuration state, by which recipients detect that their own is outdated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The version of the configuration that the sender has installed.
    pub config_version: u64,
    /// A hash of the drain orders that the sender knows.
    pub orders_hash: u64,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberInfo,
    /// The sender's datagram counter, by which replayed datagrams are detected.
    pub seq: u64,
    /// The purpose of the datagram.
    pub body: Body,
    /// A summary of the sender's configuration state.
    pub digest: Digest,
    /// States of members passed on by gossip.
    pub rumours: Vec<Rumour>,
}

/// Why a datagram was dropped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// The datagram is too short for an authentication tag.
    #[snafu(display("the datagram is too short for an authentication tag"))]
    Short,
    /// The authentication tag does not match the cluster's key.
    #[snafu(display("the datagram's authentication tag is wrong"))]
    Forged,
    /// The tag is correct, but the content cannot be decoded.
    #[snafu(display("the datagram cannot be decoded"))]
    Unreadable {
        /// The decoder's error.
        source: postcard::Error,
    },
}

/// Creates and verifies authentication tags with the cluster's key.
#[derive(Clone)]
pub struct Authenticator {
    mac: Hmac<Sha256>,
}

impl Authenticator {
    /// Creates an authenticator for a key. The `purpose` separates uses of the same key: a tag for one purpose is wrong
    /// for any other.
    pub fn new(key: &[u8], purpose: &str) -> Self {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(purpose.as_bytes());
        Self { mac }
    }

    /// Appends an authentication tag to `bytes`.
    pub fn seal(&self, bytes: &mut Vec<u8>) {
        let tag = self
            .mac
            .clone()
            .chain_update(&bytes)
            .finalize()
            .into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
    }

    /// Verifies the tag and returns the bytes before it.
    ///
    /// # Errors
    /// The tag is missing or wrong.
    pub fn open<'b>(&self, bytes: &'b [u8]) -> Result<&'b [u8], DatagramError> {
        let split = bytes.len().checked_sub(TAG_BYTES).context(ShortSnafu)?;
        let (body, tag) = bytes.split_at(split);
        let mac = self.mac.clone().chain_update(body);
        ensure!(mac.verify_truncated_left(tag).is_ok(), ForgedSnafu);
        Ok(body)
    }
}

/// Encodes a datagram. Rumours beyond [`MAX_DATAGRAM_BYTES`] are dropped from `packet`.
pub fn encode(authenticator: &Authenticator, packet: &mut Packet) -> Vec<u8> {
    loop {
        // Encoding plain data into a vector does not fail.
        let mut bytes = postcard::to_stdvec(packet).unwrap_or_default();
        if bytes.len() + TAG_BYTES <= MAX_DATAGRAM_BYTES || packet.rumours.pop().is_none() {
            authenticator.seal(&mut bytes);
            return bytes;
        }
    }
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// The tag is missing or wrong, or the content cannot be decoded.
pub fn decode(authenticator: &Authenticator, bytes: &[u8]) -> Result<Packet, DatagramError> {
    let body = authenticator.open(bytes)?;
    postcard::from_bytes(body).context(UnreadableSnafu)
}
