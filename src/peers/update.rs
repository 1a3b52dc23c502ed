//! What gateways tell each other several times a second, by UDP: postcard with an authentication
//! tag.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use crate::{
    balance::{
        discovery::Revision,
        load::{EndpointKey, InFlight, KeyRange},
        prefixes::ChainKey,
        speed::{SpeedSamples, SpeedSummary},
    },
    gateway::evacuations::EvacuationSet,
    limits::{announcements::AnnouncementUpdate, suspects::SuspectUpdate},
    peers::datagram::{Authenticator, DatagramError, UnreadableSnafu},
    prelude::Incarnation,
};

/// What an update is for, which says how its lists are taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// In a small group: from an instance to every other.
    #[default]
    Direct,
    /// In a large group: from an instance to an aggregator of its hall. Whoever gets one is an
    /// aggregator, and tells its sender its summaries.
    Report,
    /// In a large group: from an aggregator.
    Summary,
    /// Asks how fresh what the other one knows of the store is. The answer is a summary without sums.
    Question,
}

/// What an aggregator says of all instances of a hall together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HallSummary {
    /// The hall, by its key.
    pub hall: u32,
    /// The aggregator's start.
    pub by: Incarnation,
    /// The aggregator's round; an older one is dropped.
    pub seq: u64,
    /// Instances of the hall that ran of late, heard or not.
    pub instances: u32,
    /// Those of them that it hears, itself included.
    pub heard: u32,
    /// Endpoints that `loads` are of: what is not listed has no requests of this hall.
    pub span: KeyRange,
    /// Requests of all instances of the hall at endpoints; replaces what was told before.
    pub loads: Vec<(EndpointKey, InFlight)>,
    /// What endpoints said to any of its instances, as in [`Update::reports`].
    pub reports: Vec<(EndpointKey, i8)>,
    /// How fast it believes some of its endpoints to be.
    pub speeds: Vec<(EndpointKey, SpeedSummary)>,
}

/// One datagram.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// The sender's start.
    pub from: Incarnation,
    /// The sender's hall, by its key.
    pub hall: u32,
    /// Counts the sender's rounds; an older one is dropped.
    pub seq: u64,
    /// What it is for.
    pub purpose: Purpose,
    /// The newest number that the sender has from whom it tells, or 0. Whoever sent that knows
    /// that what is told here is no older than its sending.
    pub echo: u64,
    /// The same for each instance of the hall, in a summary that all of them get; by
    /// [`address_key`].
    pub echoes: Vec<(u16, u64)>,
    /// The configuration in force.
    pub config_version: u64,
    /// For how long it has not been known to be the newest, in milliseconds, rounded up; none if
    /// for too long to be of use.
    pub config_age_ms: Option<u32>,
    /// The store's revision that the endpoints are up to.
    pub endpoints_revision: Revision,
    /// For how long they are not known to be so still, as for the configuration.
    pub endpoints_age_ms: Option<u32>,
    /// The data centres that are evacuated.
    pub evacuations: EvacuationSet,
    /// For how long they are not known to be so still, as for the configuration.
    pub evacuations_age_ms: Option<u32>,
    /// All places up to this number that the sender asked for are in `loads`, or will not be used.
    pub settled: u64,
    /// Requests of the sender alone at endpoints; replaces the list before.
    pub loads: Vec<(EndpointKey, InFlight)>,
    /// Requests that endpoints said they have beside those known of, since it was told last.
    pub reports: Vec<(EndpointKey, i8)>,
    /// Chains of prompts that were read lately, and where.
    pub read: Vec<(ChainKey, EndpointKey)>,
    /// What was seen of the speed of some endpoints since it was told last.
    pub seen: Vec<(EndpointKey, SpeedSamples)>,
    /// Endpoints whose address another start has taken.
    pub dead: Vec<EndpointKey>,
    /// Requests under which endpoints ended.
    pub suspects: Vec<SuspectUpdate>,
    /// What endpoints said of themselves that all instances are to know.
    pub standings: Vec<AnnouncementUpdate>,
    /// Summaries of halls.
    pub halls: Vec<HallSummary>,
}

impl Update {
    /// Returns the newest number of `address` that the sender has, or 0.
    pub fn echo_of(&self, address: u16) -> u64 {
        let named = self.echoes.iter().find(|(key, _)| *key == address);
        named.map_or(self.echo, |(_, seq)| *seq)
    }
}

/// Names an instance's address in [`Update::echoes`], among those of its hall: its last two bytes. Of
/// two that are alike, both would take the other's echo, and forget it as a round that they never sent.
pub fn address_key(address: std::net::IpAddr) -> u16 {
    match address {
        std::net::IpAddr::V4(v4) => v4.to_bits() as u16,
        std::net::IpAddr::V6(v6) => v6.to_bits() as u16,
    }
}

/// Writes a datagram.
pub fn encode(authenticator: &Authenticator, update: &Update) -> Vec<u8> {
    // Plain data of this kind always has a postcard form.
    let mut bytes = postcard::to_stdvec(update).unwrap_or_default();
    authenticator.seal(&mut bytes);
    bytes
}

/// Reads a datagram.
///
/// # Errors
/// It is not from an instance that has the key, or cannot be read.
pub fn decode(authenticator: &Authenticator, bytes: &[u8]) -> Result<Update, DatagramError> {
    let body = authenticator.open(bytes)?;
    postcard::from_bytes(body).context(UnreadableSnafu)
}
