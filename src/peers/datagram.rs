//! What instances send each other by UDP: postcard with an authentication tag.

use std::net::SocketAddr;

use hmac::{Hmac, KeyInit, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use snafu::{OptionExt, ResultExt, Snafu, ensure};

use crate::prelude::{Incarnation, Name};

/// The longest datagram sent, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
const TAG_BYTES: usize = 16;

/// What an instance says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Its name in the settings.
    pub name: Name,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Where it is reached, by UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Raised by itself each time it has something new to say of itself.
    pub beat: u32,
    /// It takes no new work and is about to go.
    pub leaving: bool,
}

/// What an instance believes of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Liveness {
    /// Answers.
    Alive,
    /// Missed a probe; may still answer.
    Suspect,
    /// Did not answer in time.
    Dead,
    /// Said that it left, holding nothing.
    Left,
}

/// A belief about a member, as passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rumour {
    /// The member.
    pub info: MemberInfo,
    /// The belief.
    pub liveness: Liveness,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same number.
    Ping(u64),
    /// Answers a ping.
    Ack(u64),
    /// Asks a third one to ping a member on the sender's behalf.
    PingFor {
        /// Whom to ping.
        target: SocketAddr,
        /// The number to answer with.
        nonce: u64,
    },
    /// Says goodbye; the sender holds nothing.
    Goodbye,
}

/// What each datagram says of its sender's state, so that others see what they miss.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// The configuration in force at the sender.
    pub config_version: u64,
    /// A hash over the drain orders at the sender.
    pub orders_hash: u64,
}

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Packet {
    /// The sender.
    pub from: MemberInfo,
    /// Counts the sender's datagrams, so that a replayed one is told apart.
    pub seq: u64,
    /// What it is for.
    pub body: Body,
    /// The sender's state in short.
    pub digest: Digest,
    /// Beliefs passed on.
    pub rumours: Vec<Rumour>,
}

/// Why a datagram was dropped.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DatagramError {
    /// Too short to hold a tag.
    #[snafu(display("the datagram is too short"))]
    Short,
    /// Not made with the cluster's key.
    #[snafu(display("the datagram's tag is wrong"))]
    Forged,
    /// Made with the key, but not readable.
    #[snafu(display("the datagram cannot be read"))]
    Unreadable {
        /// What the decoder said.
        source: postcard::Error,
    },
}

/// Makes and checks tags with the cluster's key.
#[derive(Clone)]
pub struct Authenticator {
    mac: Hmac<Sha256>,
}

impl Authenticator {
    /// Creates one for a key; `purpose` keeps uses of one key apart.
    pub fn new(key: &[u8], purpose: &str) -> Self {
        let mut mac = <Hmac<Sha256> as KeyInit>::new_from_slice(key)
            .unwrap_or_else(|_| unreachable!("HMAC takes keys of any length"));
        mac.update(purpose.as_bytes());
        Self { mac }
    }

    /// Appends the tag over `bytes` to it.
    pub fn seal(&self, bytes: &mut Vec<u8>) {
        let tag = self
            .mac
            .clone()
            .chain_update(&bytes)
            .finalize()
            .into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
    }

    /// Returns the bytes before a correct tag.
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

/// Writes a datagram; rumours that do not fit are left out.
pub fn encode(authenticator: &Authenticator, packet: &mut Packet) -> Vec<u8> {
    loop {
        // Plain data of this kind always has a postcard form.
        let mut bytes = postcard::to_stdvec(packet).unwrap_or_default();
        if bytes.len() + TAG_BYTES <= MAX_DATAGRAM_BYTES || packet.rumours.pop().is_none() {
            authenticator.seal(&mut bytes);
            return bytes;
        }
    }
}

/// Reads a datagram.
///
/// # Errors
/// It is not from an instance that has the key, or cannot be read.
pub fn decode(authenticator: &Authenticator, bytes: &[u8]) -> Result<Packet, DatagramError> {
    let body = authenticator.open(bytes)?;
    postcard::from_bytes(body).context(UnreadableSnafu)
}
