//! The datagrams by which gateways exchange load, endpoint state and freshness several times a second, by UDP: postcard
//! with an authentication tag.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    balance::{
        load::{EndpointKey, InFlight, KeyRange},
        prefixes::ChainKey,
        speed::{SpeedSamples, SpeedSummary},
    },
    gateway::{evacuations::EvacuationSet, rollouts::RolloutUpdate},
    limits::{
        announcements::AnnouncementUpdate, part_suspects::PartUpdate, suspects::SuspectUpdate,
    },
    peers::datagram::{Authenticator, DatagramError, UnreadableSnafu},
    prelude::{Incarnation, StorePosition},
    shares::picture::ServiceReport,
};

/// The purpose of an update, which determines how the recipient applies its lists.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// In a small cluster: from an instance to every other.
    #[default]
    Direct,
    /// In a large cluster: a load report from an instance to an aggregator of its hall. The recipient of a report acts as
    /// an aggregator and sends its summaries to the reporter.
    Report,
    /// In a large cluster: from an aggregator.
    Summary,
    /// Requests the age of the recipient's data from the store. The reply is a summary without load sums.
    Question,
}

/// An aggregator's summary of all instances of a hall.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HallSummary {
    /// The key of the hall.
    pub hall: u32,
    /// The aggregator's incarnation.
    pub by: Incarnation,
    /// The aggregator's round number; summaries of older rounds are dropped.
    pub seq: u64,
    /// Instances of the hall that ran recently, including those that the aggregator does not receive reports from.
    pub instances: u32,
    /// Instances that the aggregator receives reports from, itself included.
    pub heard: u32,
    /// The key range that `loads` covers: endpoints in it that are not listed have no requests from this hall.
    pub span: KeyRange,
    /// In-flight requests of all instances of the hall by endpoint; replaces the previous summary.
    pub loads: Vec<(EndpointKey, InFlight)>,
    /// Load reports of endpoints to any instance of the hall, as in [`Update::reports`].
    pub reports: Vec<(EndpointKey, i8)>,
    /// The aggregator's speed estimates for some of its endpoints.
    pub speeds: Vec<(EndpointKey, SpeedSummary)>,
    /// What the hall's callers ask of services that are short of room; only in the summary with the lowest keys.
    pub demand: Vec<ServiceReport>,
}

/// One datagram of the exchange between gateways.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The sender's incarnation.
    pub from: Incarnation,
    /// The key of the sender's hall.
    pub hall: u32,
    /// The sender's round number; updates of older rounds are dropped.
    pub seq: u64,
    /// The purpose of the update.
    pub purpose: Purpose,
    /// The newest round number that the sender received from the recipient, or 0. The recipient infers that the content
    /// of this update is no older than its own datagram of that round.
    pub echo: u64,
    /// The same for each instance of the hall, by [`address_key`], in a summary that is sent to all of them.
    pub echoes: Vec<(u16, u64)>,
    /// The version of the configuration that the sender has installed.
    pub config_version: u64,
    /// Staleness of the configuration: the time since it was last known to be the newest, in milliseconds, rounded up;
    /// none if too long to be of use.
    pub config_age_ms: Option<u32>,
    /// The position in the store's history that the sender's endpoints correspond to.
    pub endpoints_position: StorePosition,
    /// Staleness of the endpoints, as for the configuration.
    pub endpoints_age_ms: Option<u32>,
    /// The evacuated data centres.
    pub evacuations: EvacuationSet,
    /// Staleness of the evacuations, as for the configuration.
    pub evacuations_age_ms: Option<u32>,
    /// The roll-outs; none where they are not supported.
    pub rollouts: Option<RolloutUpdate>,
    /// All reservations of the sender up to this number are counted in `loads`, or will not be used.
    pub settled: u64,
    /// In-flight requests of the sender alone by endpoint; replaces the previous list.
    pub loads: Vec<(EndpointKey, InFlight)>,
    /// Requests that endpoints reported beyond those known to the sender, since its last update about them.
    pub reports: Vec<(EndpointKey, i8)>,
    /// Prefix chains of prompts that were processed recently, and the endpoint that did.
    pub read: Vec<(ChainKey, EndpointKey)>,
    /// Speed samples of some endpoints since the last update about them.
    pub seen: Vec<(EndpointKey, SpeedSamples)>,
    /// Endpoints that are gone since a newer one has started at the same address.
    pub dead: Vec<EndpointKey>,
    /// Requests suspected of crashing endpoints.
    pub suspects: Vec<SuspectUpdate>,
    /// Announcements of endpoints for all instances.
    pub standings: Vec<AnnouncementUpdate>,
    /// What the sender's callers ask of services that are short of room; replaces the previous list.
    pub demand: Vec<ServiceReport>,
    /// The hall summaries of an aggregator.
    pub halls: Vec<HallSummary>,
    /// Parts of prompts suspected of crashing endpoints. Encoded after the rest, and only if there are any, so that
    /// instances that do not know them can read the rest.
    #[serde(skip)]
    pub parts: Vec<PartUpdate>,
}

impl Update {
    /// Returns the newest round number that the sender received from the instance with this [`address_key`], or 0.
    pub fn echo_of(&self, address: u16) -> u64 {
        let named = self.echoes.iter().find(|(key, _)| *key == address);
        named.map_or(self.echo, |(_, seq)| *seq)
    }
}

/// Identifies an instance's address in [`Update::echoes`] among those of its hall: the last two bytes. If two instances
/// have the same key, each also receives the other's echo, and discards it as a round that it never sent.
pub fn address_key(address: std::net::IpAddr) -> u16 {
    match address {
        std::net::IpAddr::V4(v4) => v4.to_bits() as u16,
        std::net::IpAddr::V6(v6) => v6.to_bits() as u16,
    }
}

/// Encodes an update as a datagram.
pub fn encode(authenticator: &Authenticator, update: &Update) -> Vec<u8> {
    // Encoding plain data into a vector does not fail.
    let mut bytes = postcard::to_stdvec(update).unwrap_or_default();
    if !update.parts.is_empty() {
        bytes.extend(postcard::to_stdvec(&update.parts).unwrap_or_default());
    }
    authenticator.seal(&mut bytes);
    bytes
}

/// Verifies and decodes a datagram.
///
/// # Errors
/// The tag is missing or wrong, or the content cannot be decoded.
pub fn decode(authenticator: &Authenticator, bytes: &[u8]) -> Result<Update, DatagramError> {
    let body = authenticator.open(bytes)?;
    let (mut update, rest): (Update, _) =
        postcard::take_from_bytes(body).context(UnreadableSnafu)?;
    if !rest.is_empty() {
        update.parts = postcard::from_bytes(rest).context(UnreadableSnafu)?;
    }
    Ok(update)
}
