//! Finds the origin of a stream that its caller takes up, from what instances and the archive know.

use std::{collections::HashSet, net::IpAddr, time::Duration};

use hyper::header::HeaderValue;
use tokio::time::{self, Instant};

use crate::{
    gateway::{
        origin_archive::Archived,
        origin_conclusion::only_version,
        origin_table::StreamKey,
        protocol::Protocol,
        reservation_client::DirectMessage,
        state::Gateway,
        stream_origins::{
            FoundOrigin, HOLDERS, OriginError, OriginMessage, OriginSource, PossibleServices,
            rank_owners,
        },
    },
    prelude::Micros,
};

/// Number of instances that are asked for an origin: the holders, and those that are holders by a view that differs in
/// a few members.
const ASKED: usize = 6;
/// Number of instances that are asked what the archive has: the owner of the slot, and the one that is the owner by a
/// view that differs in one member.
const OWNERS_ASKED: usize = 2;
/// How long an answer is waited for. Instances that share a busy machine pause for some tens of milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Time after which an unanswered question is sent again: a datagram may be lost.
const REPEAT_AFTER: Duration = Duration::from_millis(35);
/// How long a caller waits for instances that have just started to read what those before them knew, which takes some
/// tens of milliseconds. It may have no other attempt.
const READ_TIMEOUT: Duration = Duration::from_millis(500);
/// The same, as a share of the time that the caller has left.
const MAX_READ_SHARE: f64 = 0.25;
/// How long the first event of a stream is held back while this instance meets the others, which could not find
/// its origin. One that is left alone meets none.
const JOIN_TIMEOUT: Duration = Duration::from_millis(200);
const JOIN_POLL: Duration = Duration::from_millis(10);
/// Time within which an instance that starts meets the others.
const JOIN_TIME_US: Micros = 2_000_000;

/// The instances that may know the origin of a stream.
struct Asked {
    /// All other instances to ask.
    others: HashSet<IpAddr>,
    /// Those of them that hold the origins that are written now.
    holders: Vec<IpAddr>,
    /// Those of them that answer for the archive.
    owners: Vec<IpAddr>,
    /// Whether this instance answers for the archive.
    is_owner: bool,
}

/// What instances say of the origin of a stream.
#[derive(Debug, Default)]
struct Answers {
    /// What they say together, but for those that do not know yet.
    best: Option<OriginMessage>,
    /// Number of instances that know of one version only.
    confirmations: usize,
    /// Whether a holder has a record.
    is_held: bool,
    /// Whether the archive, or all that was written to it, was looked at.
    is_archive_known: bool,
    /// Whether an instance is reading the archive.
    is_archive_pending: bool,
}

impl Answers {
    /// Adds an answer of an instance that may be a holder or answer for the archive.
    fn add(&mut self, answer: OriginMessage, is_holder: bool, is_owner: bool) {
        if answer == OriginMessage::NotYetKnown {
            self.is_archive_pending = true;
            return;
        }
        self.is_archive_known |= is_owner;
        self.is_held |= is_holder && matches!(answer, OriginMessage::Known(_));
        self.confirmations += usize::from(matches!(answer, OriginMessage::OnlyVersion(_)));
        self.best = Some(match self.best.take() {
            Some(best) => better_answer(best, answer),
            None => answer,
        });
    }

    /// Returns whether further answers cannot change the outcome. A holder may lack the record of another attempt with the
    /// same id, which the archive has.
    fn is_final(&self) -> bool {
        let is_ambiguous = self.best == Some(OriginMessage::Ambiguous);
        is_ambiguous || self.is_held && self.is_archive_known
    }

    /// Returns whether the archive has to be waited for.
    fn is_pending(&self) -> bool {
        self.is_archive_pending && !self.is_archive_known
    }
}

impl<P: Protocol> Gateway<P> {
    /// Returns the origin of a stream that a caller takes up: as it was recorded, or else the service and its version if
    /// there was no other one. `time_left` is what the caller has left for its request.
    ///
    /// # Errors
    /// The origin is unknown, or not known yet.
    pub async fn find_origin(
        &self,
        organisation: Option<&str>,
        began_as: Option<&HeaderValue>,
        services: PossibleServices<'_>,
        time_left: Option<Duration>,
    ) -> Result<FoundOrigin, OriginError> {
        let key = began_as.map(|id| StreamKey::of(organisation, id.as_bytes()));
        let share = time_left.map(|left| left.mul_f64(MAX_READ_SHARE));
        let asked_us = self.clock.now_us();
        let timeout = Instant::now() + share.unwrap_or(READ_TIMEOUT).min(READ_TIMEOUT);
        loop {
            let (found, is_pending) = self.look_up_origin(key, services, asked_us, timeout).await;
            let is_waiting = is_pending || found == Err(OriginError::NotYetKnown);
            if !is_waiting || Instant::now() >= timeout {
                return found;
            }
            time::sleep(REPEAT_AFTER).await;
        }
    }

    /// Returns the origin of a stream by what instances know now, and whether the archive may say more. Without a key,
    /// the answers only say whether there were several versions.
    async fn look_up_origin(
        &self,
        key: Option<StreamKey>,
        services: PossibleServices<'_>,
        asked_us: Micros,
        timeout: Instant,
    ) -> (Result<FoundOrigin, OriginError>, bool) {
        let has_key = key.is_some();
        // No record has this key.
        let key = key.unwrap_or_else(|| StreamKey::of(None, b""));
        let asked = self.instances_to_ask(key);
        let mut answers = Answers::default();
        let own = match asked.is_owner && has_key {
            true if services.has_others => self.recorded_origin(key),
            true => self.archived_origin(key, services.service),
            false => self.held_origin(key, services.service),
        };
        if own != OriginMessage::Ambiguous {
            self.ask_for_origin(&mut answers, &asked, key, services)
                .await;
        }
        let confirmations = answers.confirmations;
        answers.add(own, false, asked.is_owner);
        let is_pending = has_key && answers.is_pending();
        let found = match answers.best {
            Some(OriginMessage::Known(origin)) if has_key => {
                let source = OriginSource::Recorded;
                Ok(FoundOrigin { origin, source })
            }
            // No archive has records of other versions then.
            Some(OriginMessage::OnlyVersion(version))
                if !services.has_others
                    && self.is_only_version(services.service, &version, confirmations) =>
            {
                return (Ok(only_version(services.service, version)), false);
            }
            Some(OriginMessage::Ambiguous | OriginMessage::Known(_)) => Err(OriginError::Unknown),
            _ if is_pending => Err(OriginError::NotYetKnown),
            Some(OriginMessage::OnlyVersion(version)) if !services.has_others => {
                self.conclude_from_list(services.service, Some(&version), asked_us, timeout)
                    .await
            }
            Some(OriginMessage::Unknown {
                has_several_versions: false,
            }) if !services.has_others => {
                self.conclude_from_list(services.service, None, asked_us, timeout)
                    .await
            }
            _ => Err(OriginError::Unknown),
        };
        (found, is_pending)
    }

    /// Returns what this instance knows of the origin of a stream.
    pub(super) fn held_origin(&self, key: StreamKey, service: &str) -> OriginMessage {
        let now_us = self.clock.now_us();
        if let Some(held) = self.stream_origins.held(now_us, key) {
            return held;
        }
        // The one that asks may not know of other services to which its route led.
        let has_moved = self.route_services().has_moved_to(now_us, service);
        let balancer = self.balancer();
        let versions = balancer.versions();
        match versions.sole_version(service) {
            Some(version) if !has_moved => OriginMessage::OnlyVersion(version.clone()),
            _ => OriginMessage::Unknown {
                has_several_versions: versions.are_several_known(service),
            },
        }
    }

    /// Returns what this instance knows of the origin of a stream, together with the archive.
    pub(super) fn archived_origin(&self, key: StreamKey, service: &str) -> OriginMessage {
        let held = self.held_origin(key, service);
        match self.has_several_versions(service) {
            true => self.with_archive(key, held),
            false => held,
        }
    }

    /// Returns the record that this instance has of the origin of a stream, or the archive.
    pub(super) fn recorded_origin(&self, key: StreamKey) -> OriginMessage {
        let held = self.stream_origins.held(self.clock.now_us(), key);
        let held = held.unwrap_or(OriginMessage::Unknown {
            has_several_versions: true,
        });
        self.with_archive(key, held)
    }

    /// Adds what the archive says of a stream to what this instance holds.
    fn with_archive(&self, key: StreamKey, held: OriginMessage) -> OriginMessage {
        if held == OriginMessage::Ambiguous {
            return held;
        }
        if self.is_joining() {
            return OriginMessage::NotYetKnown;
        }
        let slot = self.slot_of(key);
        match self.origin_archive.get(self.clock.now_us(), slot, key) {
            Archived::Found(Some(origin)) => better_answer(held, OriginMessage::Known(origin)),
            Archived::Found(None) => OriginMessage::Ambiguous,
            Archived::Absent => held,
            Archived::Pending => OriginMessage::NotYetKnown,
        }
    }

    /// Returns whether this instance has just started and not met most of the others yet. It would take itself for a holder
    /// of all streams and the owner of all slots.
    pub(super) fn is_joining(&self) -> bool {
        if self.clock.now_us() >= JOIN_TIME_US {
            return false;
        }
        let met = self.view().present().count();
        !self.quota.knows_instance_count() || met * 2 < self.instance_counts().all
    }

    /// Waits while this instance is joining the others, for a short time at most.
    pub(super) async fn wait_until_joined(&self) {
        let timeout = Instant::now() + JOIN_TIMEOUT;
        while self.is_joining() && Instant::now() < timeout {
            time::sleep(JOIN_POLL).await;
        }
    }

    /// Returns the instances that may know the origin of a stream.
    fn instances_to_ask(&self, key: StreamKey) -> Asked {
        let view = self.view();
        let ranked = rank_owners(&view, self.slot_of(key), OWNERS_ASKED);
        let (own, others): (Vec<_>, Vec<_>) = ranked
            .into_iter()
            .partition(|m| m.info.incarnation == view.me);
        let owners: Vec<IpAddr> = others.iter().map(|m| m.info.peer_addr.ip()).collect();
        let mut asked: HashSet<IpAddr> = self.other_holders(key, ASKED).into_iter().collect();
        asked.extend(&owners);
        Asked {
            others: asked,
            holders: self.other_holders(key, HOLDERS),
            is_owner: !own.is_empty() || owners.is_empty(),
            owners,
        }
    }

    /// Asks other instances for an origin until that is known, all have answered or the time for answers is over. An
    /// instance that is no holder knows only the attempts that it relayed.
    async fn ask_for_origin(
        &self,
        answers: &mut Answers,
        asked: &Asked,
        key: StreamKey,
        services: PossibleServices<'_>,
    ) {
        let Some(channel) = self.reservation_client.channel() else {
            return;
        };
        let mut unanswered = asked.others.clone();
        let mut pending = self.stream_origins.register();
        self.metrics.origins_asked.inc();
        let timeout = Instant::now() + ANSWER_TIMEOUT;
        let mut repeat_at = Instant::now();
        while !unanswered.is_empty() && !answers.is_final() && Instant::now() < timeout {
            if Instant::now() >= repeat_at {
                for instance in &unanswered {
                    let service = services.service.clone();
                    let question = match asked.owners.contains(instance) {
                        true if services.has_others => OriginMessage::AskRecord { key },
                        true => OriginMessage::AskArchive { key, service },
                        false => OriginMessage::Ask { key, service },
                    };
                    let question = DirectMessage::Origins(question);
                    channel.send(*instance, pending.number, question).await;
                }
                repeat_at = Instant::now() + REPEAT_AFTER;
            }
            let until = repeat_at.min(timeout);
            let Ok(Some((from, answer))) = time::timeout_at(until, pending.answers.recv()).await
            else {
                continue;
            };
            if unanswered.remove(&from) {
                let is_holder = asked.holders.contains(&from);
                answers.add(answer, is_holder, asked.owners.contains(&from));
            }
        }
    }
}

/// Returns what two answers about one stream say together.
fn better_answer(first: OriginMessage, second: OriginMessage) -> OriginMessage {
    use OriginMessage::{Ambiguous, Known, OnlyVersion, Unknown};
    const SEVERAL_VERSIONS: OriginMessage = Unknown {
        has_several_versions: true,
    };
    match (first, second) {
        (Ambiguous, _) | (_, Ambiguous) => Ambiguous,
        (Known(first), Known(second)) if first != second => Ambiguous,
        (Known(origin), _) | (_, Known(origin)) => Known(origin),
        (SEVERAL_VERSIONS, _) | (_, SEVERAL_VERSIONS) => SEVERAL_VERSIONS,
        (OnlyVersion(first), OnlyVersion(second)) if first != second => SEVERAL_VERSIONS,
        (OnlyVersion(version), _) | (_, OnlyVersion(version)) => OnlyVersion(version),
        (_, second) => second,
    }
}
