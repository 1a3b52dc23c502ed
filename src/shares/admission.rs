//! Lets a request through to the endpoints, or refuses it because its organisation has its share.

use std::collections::HashMap;

use crate::{
    balance::balancer::retry_delay_ms,
    prelude::{Incarnation, Micros, Name, Rank, short_hash},
    shares::{
        demand::{DemandTable, Kind, OrganisationKey, Rate},
        level::{Claim, divide},
        picture::{Picture, ServiceDemand, ServiceReport, largest_services},
        return_order::{MIN_RETURN_US, ReturnOrder},
        room::{Room, Slots},
    },
};

/// A service is short of room for this long after a request was refused for want of it.
const SHORTAGE_US: Micros = 1_000_000;
/// How long the number of slots of a service without a shortage is used.
const SLOTS_TTL_US: Micros = 1_000_000;
/// Fewer organisations than this have nothing to share.
const MIN_ORGANISATIONS: usize = 2;
/// The part of its target by which a caller must be back: a later one queues behind others for up to a third of its
/// target, so its answer would be late, in place of one in time for a new caller.
const RETURN_BY_SHARE: f64 = 0.25;
/// The longest part of its remaining time that a caller waits before it comes back.
const MAX_RETURN_SHARE: f64 = 1.0 / 3.0;
/// How far beyond its time limit a caller is told to come back that cannot be served before.
const BEYOND_LIMIT_MS: u32 = 1_000;
/// Time of a unary request before any was answered, in microseconds.
const PRIOR_UNARY_US: f64 = 40_000.0;
/// Gain of one answer in the time of a unary request; about ten of them replace the previous estimate.
const UNARY_GAIN: f64 = 0.2;
/// A part from here on counts as the whole.
const WHOLE: f64 = 0.999;

/// A request that asks for room.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The service.
    pub service: &'a Name,
    /// The caller's organisation, if it has one.
    pub organisation: Option<&'a str>,
    /// The engine time that the request is expected to take, in microseconds; `None` for the service's mean time of a
    /// unary request.
    pub engine_us: Option<f64>,
    /// The rank of the request.
    pub rank: Rank,
    /// How long its caller waited in earlier attempts.
    pub waited_us: Micros,
    /// Time from the first attempt within which an answer has its full value.
    pub target_us: Micros,
    /// Time until the caller stops waiting.
    pub left_us: Micros,
    /// A random number from 0 to 1.
    pub draw: f64,
}

/// The standing of a request's organisation.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub enum Standing {
    /// It asks for no more than its share, or there is room for all.
    #[default]
    Within,
    /// It asks for more; this request is in the part that is let through.
    Limited,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRefusal {
    /// The engine time that the organisation asks for in all instances, in slots.
    pub asked_slots: f64,
    /// Its share of the room, in slots.
    pub share_slots: f64,
    /// The room of the service, in slots.
    pub room_slots: f64,
    /// Whether the answer would have been late, so that only room which is left would have served it.
    pub is_late: bool,
    /// Time after which the caller may come back.
    pub retry_after_ms: u32,
}

/// What an organisation asks for in all instances, and gets.
#[derive(Clone, Copy, Debug, Default)]
struct Share {
    asked: f64,
    given: f64,
}

impl Share {
    fn part(&self) -> f64 {
        let part = self.given / self.asked.max(f64::MIN_POSITIVE);
        if part >= WHOLE { 1.0 } else { part }
    }
}

#[derive(Debug, Default)]
struct Service {
    demand: DemandTable,
    late: Rate,
    placed: Rate,
    unplaced: Rate,
    /// When a request was last refused here for want of room.
    refused_us: Option<Micros>,
    /// The time of a unary request at an endpoint with a free slot.
    unary_us: Option<f64>,
    slots: Slots,
    slots_at_us: Option<Micros>,
    /// The corrected room; only in a shortage.
    room: Option<Room>,
    room_us: f64,
    shares: HashMap<OrganisationKey, Share>,
    others_share: Share,
    late_through: f64,
    late_credit_us: f64,
    returns: HashMap<OrganisationKey, ReturnOrder>,
    /// Only of organisations that are counted one by one, and only in a shortage.
    tallies: HashMap<OrganisationKey, Tally>,
}

impl Service {
    fn engine_us(&self, ask: &Ask<'_>) -> f64 {
        let unary_us = self.unary_us.unwrap_or(PRIOR_UNARY_US);
        ask.engine_us.unwrap_or(unary_us).max(1.0)
    }

    fn refused_recently(&self, now_us: Micros) -> bool {
        self.refused_us
            .is_some_and(|at_us| now_us.saturating_sub(at_us) < SHORTAGE_US)
    }

    fn own_demand(&self, now_us: Micros) -> ServiceDemand {
        let named = self.demand.organisations();
        let (others, others_count) = self.demand.others(now_us);
        ServiceDemand {
            organisations: named.map(|(key, d)| (key, d.asked(now_us))).collect(),
            others,
            others_count,
            late: self.late.get(now_us),
            placed: self.placed.get(now_us),
            unplaced: self.unplaced.get(now_us),
            is_short: self.refused_recently(now_us),
        }
    }

    fn share_of(&self, key: OrganisationKey) -> Share {
        self.shares.get(&key).copied().unwrap_or(self.others_share)
    }

    /// Ends a shortage: all are let through.
    fn end_shortage(&mut self, now_us: Micros) {
        self.room = None;
        self.shares.clear();
        self.returns.clear();
        self.tallies.clear();
        self.demand.set_through(now_us, |_| 1.0);
    }

    /// Works out the level from the demand of all instances.
    fn set_level(&mut self, now_us: Micros, total: &ServiceDemand, priorities: &Priorities) {
        let room = self.room.get_or_insert_with(|| Room::new(now_us));
        self.room_us = room.update(now_us, self.slots, total.placed, total.unplaced);
        let mut claims: Vec<Claim> = total
            .organisations
            .iter()
            .map(|(key, asked)| Claim {
                asked: *asked,
                weight: 1.0,
                priority: priorities.of(*key),
            })
            .collect();
        let unnamed = priorities.count.saturating_sub(claims.len()) as f64;
        claims.push(Claim {
            asked: total.others,
            weight: total.others_count.min(unnamed).max(1.0),
            priority: priorities.default,
        });
        if total.others <= 0.0 {
            claims.pop();
        }
        let given = divide(self.room_us, &claims);
        let left = (self.room_us - given.iter().sum::<f64>()).max(0.0);
        let shares = claims.iter().zip(&given);
        let mut shares = shares.map(|(claim, given)| Share {
            asked: claim.asked,
            given: *given,
        });
        self.shares = total
            .organisations
            .keys()
            .copied()
            .zip(shares.by_ref())
            .collect();
        self.others_share = shares.next().unwrap_or(Share {
            asked: 1.0,
            given: 1.0,
        });
        self.late_through = (left / total.late.max(f64::MIN_POSITIVE)).min(1.0);
        let (shares, others) = (&self.shares, self.others_share);
        self.demand.set_through(now_us, |key| {
            let share = key.and_then(|key| shares.get(&key));
            share.unwrap_or(&others).part()
        });
    }

    fn take_late(&mut self, engine_us: f64) -> bool {
        self.late_credit_us += self.late_through * engine_us;
        let is_through = self.late_through >= 1.0 || self.late_credit_us >= engine_us;
        if is_through {
            self.late_credit_us = (self.late_credit_us - engine_us).max(0.0);
        }
        is_through
    }

    fn tally(&mut self, key: OrganisationKey) -> Option<&mut Tally> {
        let is_counted = self.room.is_some() && self.shares.contains_key(&key);
        is_counted.then(|| self.tallies.entry(key).or_default())
    }

    /// Counts a refusal, and returns when its caller may come back.
    fn refuse(&mut self, now_us: Micros, ask: &Ask<'_>) -> u32 {
        self.refused_us = Some(now_us);
        let engine_us = self.engine_us(ask);
        let retry_after_ms = self.retry_after_ms(now_us, ask, engine_us);
        if let Some(tally) = self.tally(OrganisationKey::of(ask.organisation)) {
            tally.refused += 1;
            tally.return_ms += u64::from(retry_after_ms);
        }
        retry_after_ms
    }

    /// Returns when a refused caller may come back.
    fn retry_after_ms(&mut self, now_us: Micros, ask: &Ask<'_>, engine_us: f64) -> u32 {
        let key = OrganisationKey::of(ask.organisation);
        let in_time_us = (ask.target_us as f64 * RETURN_BY_SHARE) as Micros;
        let patience_us = (ask.left_us as f64 * MAX_RETURN_SHARE) as Micros;
        let latest_us = in_time_us.saturating_sub(ask.waited_us).min(patience_us);
        let part = self.share_of(key).part();
        let demand = self.demand.known(key);
        let own_share = demand.left_for_rank(now_us, demand.asked(now_us) * part, ask.rank);
        // A caller that was refused again though it went before others finds no room in time.
        if ask.waited_us < MIN_RETURN_US {
            let returns = self.returns.entry(key).or_default();
            if let Some(delay_us) = returns.take(now_us, engine_us, own_share, latest_us) {
                return (delay_us / 1_000) as u32;
            }
        }
        if self.late_through > 0.0 {
            return retry_delay_ms(ask.left_us);
        }
        let left_ms = u32::try_from(ask.left_us / 1_000).unwrap_or(u32::MAX);
        left_ms.saturating_add(BEYOND_LIMIT_MS)
    }
}

/// The priorities of the organisations in the configuration.
#[derive(Debug, Default)]
struct Priorities {
    by_key: HashMap<OrganisationKey, Rank>,
    default: Rank,
    count: usize,
}

impl Priorities {
    fn of(&self, key: OrganisationKey) -> Rank {
        self.by_key.get(&key).copied().unwrap_or(self.default)
    }
}

/// What became of one organisation's requests at this instance.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Requests that found a place at an endpoint.
    pub served: u32,
    /// Requests refused because the organisation has its share, or for want of room.
    pub refused: u32,
    /// The sum of the delays after which refused callers were told to come back, in milliseconds.
    pub return_ms: u64,
}

/// An organisation's share of a service, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareState {
    /// The organisation.
    pub organisation: OrganisationKey,
    /// The engine time that it asks for in all instances, in slots.
    pub asked_slots: f64,
    /// Its share, in slots.
    pub share_slots: f64,
    /// What became of its requests here since the last state.
    pub tally: Tally,
}

/// A service that is short of room, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceState {
    /// The service.
    pub service: Name,
    /// Its room, in slots.
    pub room_slots: f64,
    /// The engine time that all organisations ask for in all instances, in slots.
    pub asked_slots: f64,
    /// The organisations that ask for most, in that order.
    pub organisations: Vec<ShareState>,
}

/// The shares of all services.
#[derive(Debug, Default)]
pub struct Shares {
    priorities: Priorities,
    services: HashMap<Name, Service>,
    picture: Picture,
}

impl Shares {
    /// Takes over the organisations of a configuration, with their priorities. Those without one have `default`.
    pub fn configure<'a>(
        &mut self,
        organisations: impl Iterator<Item = (&'a str, Option<Rank>)>,
        services: impl Fn(&str) -> bool,
        default: Rank,
    ) {
        let mut priorities = Priorities {
            default,
            ..Priorities::default()
        };
        for (name, priority) in organisations {
            priorities.count += 1;
            if let Some(priority) = priority {
                priorities
                    .by_key
                    .insert(OrganisationKey::of(Some(name)), priority);
            }
        }
        self.priorities = priorities;
        self.services.retain(|name, _| services(name));
    }

    /// Returns whether the configuration has organisations that could share.
    pub fn is_enabled(&self) -> bool {
        self.priorities.count >= MIN_ORGANISATIONS
    }

    /// Counts a request, and lets it through or refuses it.
    ///
    /// # Errors
    /// The organisation has its share, or the request will be late and no room is left.
    pub fn admit(&mut self, now_us: Micros, ask: &Ask<'_>) -> Result<Standing, ShareRefusal> {
        if !self.is_enabled() {
            return Ok(Standing::Within);
        }
        let key = OrganisationKey::of(ask.organisation);
        let service = self.services.entry(ask.service.clone()).or_default();
        let engine_us = service.engine_us(ask);
        let is_late = ask.waited_us >= ask.target_us;
        if is_late {
            service.late.add(now_us, engine_us);
            if service.room.is_none() {
                return Ok(Standing::Within);
            }
            if service.take_late(engine_us) {
                return Ok(Standing::Limited);
            }
        } else {
            let kind = Kind::of(ask.rank, ask.waited_us >= MIN_RETURN_US);
            let demand = service.demand.entry(now_us, key);
            demand.note_asked(now_us, kind, engine_us);
            if demand.take(kind, engine_us, ask.draw) {
                let is_limited = service.room.is_some() && service.share_of(key).part() < 1.0;
                return Ok(if is_limited {
                    Standing::Limited
                } else {
                    Standing::Within
                });
            }
        }
        let share = service.share_of(key);
        Err(ShareRefusal {
            asked_slots: share.asked / 1e6,
            share_slots: share.given / 1e6,
            room_slots: service.room_us / 1e6,
            is_late,
            retry_after_ms: service.refuse(now_us, ask),
        })
    }

    /// Notes that a request that was let through found a place at an endpoint. `ran_us` is how long it ran, if it was
    /// sent to a free slot.
    pub fn note_placed(&mut self, now_us: Micros, ask: &Ask<'_>, ran_us: Option<Micros>) {
        if let Some(service) = self.services.get_mut(ask.service) {
            if let (None, Some(ran_us)) = (ask.engine_us, ran_us) {
                let unary_us = service.unary_us.get_or_insert(ran_us as f64);
                *unary_us += (ran_us as f64 - *unary_us) * UNARY_GAIN;
            }
            let engine_us = service.engine_us(ask);
            service.placed.add(now_us, engine_us);
            if let Some(tally) = service.tally(OrganisationKey::of(ask.organisation)) {
                tally.served += 1;
            }
        }
    }

    /// Notes that a request that was let through was refused for want of room. Returns when its caller may come back,
    /// in milliseconds, if that is known better than from the caller's time alone.
    pub fn note_unplaced(&mut self, now_us: Micros, ask: &Ask<'_>) -> Option<u32> {
        let service = self.services.get_mut(ask.service)?;
        let engine_us = service.engine_us(ask);
        let Some(room) = service.room else {
            service.refused_us = Some(now_us);
            return None;
        };
        if room.is_settled(now_us) {
            service.unplaced.add(now_us, engine_us);
        }
        Some(service.refuse(now_us, ask))
    }

    /// Works out the levels of the services that are short of room. Called some times a second.
    pub fn refresh(&mut self, now_us: Micros, slots: impl Fn(&str) -> Slots) {
        self.picture.expire(now_us);
        for (name, service) in &mut self.services {
            let told: Vec<&ServiceDemand> = self.picture.of_service(short_hash(name)).collect();
            let is_short = service.refused_recently(now_us) || told.iter().any(|d| d.is_short);
            let age_us = service
                .slots_at_us
                .map(|at_us| now_us.saturating_sub(at_us));
            if is_short || age_us.is_none_or(|age_us| age_us >= SLOTS_TTL_US) {
                service.slots = slots(name);
                service.slots_at_us = Some(now_us);
                service.demand.expire(now_us);
            }
            if !is_short {
                if service.room.is_some() {
                    service.end_shortage(now_us);
                }
                continue;
            }
            let mut total = service.own_demand(now_us);
            for demand in told {
                add(&mut total, demand);
            }
            service.set_level(now_us, &total, &self.priorities);
        }
    }

    /// Returns the demand to tell other instances of: that of the services that are short of room.
    pub fn reports(&self, now_us: Micros) -> Vec<ServiceReport> {
        let short = self
            .services
            .iter()
            .filter(|(_, service)| service.room.is_some());
        let reports = short.map(|(name, s)| s.own_demand(now_us).report(short_hash(name)));
        largest_services(reports.collect())
    }

    /// Applies the demand that another instance or hall tells of. `own` is what this instance contributed to it.
    pub fn apply_reports(
        &mut self,
        now_us: Micros,
        from: Incarnation,
        reports: &[ServiceReport],
        own: &[ServiceReport],
    ) {
        if !reports.is_empty() || !self.picture.is_empty() {
            self.picture.replace(now_us, from, reports, own);
        }
    }

    /// Returns the services that are short of room, each with the `most` organisations that ask for most, and begins
    /// to count anew.
    pub fn take_states(&mut self, most: usize) -> Vec<ServiceState> {
        let services = self.services.iter_mut();
        let short = services.filter(|(_, service)| service.room.is_some());
        let states = short.map(|(name, service)| {
            let tallies = std::mem::take(&mut service.tallies);
            let shares = service.shares.iter().map(|(key, share)| ShareState {
                organisation: *key,
                asked_slots: share.asked / 1e6,
                share_slots: share.given / 1e6,
                tally: tallies.get(key).copied().unwrap_or_default(),
            });
            let mut organisations: Vec<ShareState> = shares.collect();
            organisations.sort_by(|a, b| b.asked_slots.total_cmp(&a.asked_slots));
            let asked_slots = organisations.iter().map(|o| o.asked_slots).sum();
            organisations.truncate(most);
            ServiceState {
                service: name.clone(),
                room_slots: service.room_us / 1e6,
                asked_slots,
                organisations,
            }
        });
        states.collect()
    }
}

fn add(total: &mut ServiceDemand, other: &ServiceDemand) {
    for (key, asked) in &other.organisations {
        *total.organisations.entry(*key).or_default() += asked;
    }
    total.others += other.others;
    total.others_count = total.others_count.max(other.others_count);
    total.late += other.late;
    total.placed += other.placed;
    total.unplaced += other.unplaced;
}
