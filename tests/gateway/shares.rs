//! Room shared among organisations: guards against small organisations being refused because a large one asks for
//! several times the room.
//!
//! Callers, instances and a pool of slots in virtual time. Requests take 100 ms of a slot; the targets are the users'.

use std::collections::{BinaryHeap, VecDeque};

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    prelude::{Incarnation, Name},
    shares::{
        admission::{Ask, Shares, Standing},
        demand::{DemandTable, Kind, MAX_ORGANISATIONS, OrganisationKey},
        level::{Claim, divide},
        picture::{MAX_NAMED, PackedRate, ServiceDemand, ServiceReport, sum_reports},
        return_order::{MIN_RETURN_US, ReturnOrder},
        room::Slots,
    },
};

const ROUND_US: u64 = 40_000;
const RUN_US: u64 = 100_000;
const TARGET_US: u64 = 400_000;
const TIMEOUT_US: u64 = 3_000_000;
const MAX_ATTEMPTS: u32 = 4;
/// Queueing at the endpoints, as a share of the target, up to which a request is placed.
const QUEUE_SHARE: f64 = 0.7;
/// The users' target: what a small organisation has in aim, and how much of the room is used.
const TARGET_SHARE: f64 = 0.95;

#[derive(Clone, Copy)]
struct Organisation {
    name: &'static str,
    per_s: f64,
    priority: Option<u8>,
    /// The instance that all its callers use; `None` for all instances.
    instance: Option<usize>,
}

fn organisation(name: &'static str, per_s: f64) -> Organisation {
    Organisation {
        name,
        per_s,
        priority: None,
        instance: None,
    }
}

/// One that asks for five times the room, and two that ask for little.
const FLOOD: [(&str, f64); 3] = [("large", 400.0), ("small-a", 10.0), ("small-b", 10.0)];

fn flood() -> Vec<Organisation> {
    FLOOD
        .map(|(name, per_s)| organisation(name, per_s))
        .to_vec()
}

#[derive(Clone)]
struct Scenario {
    organisations: Vec<Organisation>,
    instances: usize,
    slots: f64,
    report_delay_us: u64,
    seconds: u64,
    do_share: bool,
    do_return: bool,
    /// From when to when instances with even and odd numbers don't hear each other, in seconds.
    cut_s: Option<(u64, u64)>,
    /// How often one instance, each in turn, loses its state.
    restart_every_us: Option<u64>,
    seed: u64,
}

impl Scenario {
    fn new(organisations: Vec<Organisation>) -> Self {
        Self {
            organisations,
            instances: 1,
            slots: 8.0,
            report_delay_us: 200_000,
            seconds: 12,
            do_share: true,
            do_return: false,
            cut_s: None,
            restart_every_us: None,
            seed: 1,
        }
    }

    fn of_group(instances: usize, report_delay_us: u64) -> Self {
        Self {
            instances,
            report_delay_us,
            ..Self::new(flood())
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    callers: f64,
    in_aim: f64,
    late: f64,
    refused_once: f64,
    refused_again: f64,
}

impl Outcome {
    fn share(&self) -> f64 {
        self.in_aim / self.callers.max(1.0)
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    at_us: std::cmp::Reverse<u64>,
    organisation: usize,
    first_us: u64,
    number: u32,
}

/// The reports of instances, by number.
type Told = Vec<(usize, Vec<ServiceReport>)>;

struct Group {
    scenario: Scenario,
    shares: Vec<Shares>,
    in_flight: VecDeque<(u64, Told)>,
    /// When each slot's work ends.
    slots_free_us: Vec<u64>,
    outcomes: Vec<Outcome>,
    used_us: u64,
    rng: ChaCha8Rng,
    service: Name,
}

impl Group {
    fn new(scenario: Scenario) -> Self {
        let shares = (0..scenario.instances).map(|_| configured(&scenario.organisations));
        Self {
            shares: shares.collect(),
            in_flight: VecDeque::new(),
            slots_free_us: vec![0; scenario.slots as usize],
            outcomes: vec![Outcome::default(); scenario.organisations.len()],
            used_us: 0,
            rng: ChaCha8Rng::seed_from_u64(scenario.seed),
            service: "svc".into(),
            scenario,
        }
    }

    /// From when on callers are counted: rates are averaged over a second, and are told with a delay.
    fn noticed_us(&self) -> u64 {
        1_000_000 + self.scenario.report_delay_us
    }

    /// Runs the scenario. Its start is not counted, until all instances can have noticed the shortage, nor the last
    /// second, whose callers have not come back.
    fn run(mut self) -> (Vec<Outcome>, f64) {
        let end_us = self.scenario.seconds * 1_000_000;
        let mut attempts = self.arrivals(end_us);
        let mut round_us = 0;
        while let Some(attempt) = attempts.pop() {
            let now_us = attempt.at_us.0;
            if now_us >= end_us {
                break;
            }
            while round_us <= now_us {
                self.round(round_us);
                round_us += ROUND_US;
            }
            if let Some(again) = self.attempt(now_us, attempt) {
                attempts.push(again);
            }
        }
        let used =
            self.used_us as f64 / (self.scenario.slots * (end_us - self.noticed_us()) as f64);
        (self.outcomes, used)
    }

    fn arrivals(&mut self, end_us: u64) -> BinaryHeap<Attempt> {
        let mut attempts = BinaryHeap::new();
        for (index, organisation) in self.scenario.organisations.iter().enumerate() {
            let mut at_us = 0.0;
            loop {
                let draw: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
                at_us += -draw.ln() / organisation.per_s * 1e6;
                if at_us >= end_us as f64 {
                    break;
                }
                attempts.push(Attempt {
                    at_us: std::cmp::Reverse(at_us as u64),
                    organisation: index,
                    first_us: at_us as u64,
                    number: 1,
                });
            }
        }
        attempts
    }

    fn round(&mut self, now_us: u64) {
        if let Some(every_us) = self.scenario.restart_every_us
            && now_us > 0
            && now_us.is_multiple_of(every_us)
        {
            let instance = (now_us / every_us) as usize % self.scenario.instances;
            self.shares[instance] = configured(&self.scenario.organisations);
        }
        let free = self.slots_free_us.iter().filter(|at_us| **at_us <= now_us);
        let slots = Slots {
            all: self.scenario.slots,
            free: free.count() as f64,
        };
        for shares in &mut self.shares {
            shares.refresh(now_us, |_| slots);
        }
        if now_us.is_multiple_of(200_000) {
            let told = self.shares.iter().enumerate();
            let told = told.map(|(index, s)| (index, s.reports(now_us))).collect();
            self.in_flight
                .push_back((now_us + self.scenario.report_delay_us, told));
        }
        while self
            .in_flight
            .front()
            .is_some_and(|(at_us, _)| *at_us <= now_us)
        {
            let (_, told) = self.in_flight.pop_front().expect("a report");
            self.deliver(now_us, &told);
        }
    }

    /// Delivers the sum of the reports, as an aggregator does.
    fn deliver(&mut self, now_us: u64, told: &[(usize, Vec<ServiceReport>)]) {
        let is_cut = self
            .scenario
            .cut_s
            .is_some_and(|(from, to)| (from * 1_000_000..to * 1_000_000).contains(&now_us));
        for half in 0..2 {
            let hears = |index: usize| !is_cut || index % 2 == half;
            let reports = told.iter().filter(|(index, _)| hears(*index));
            let sum = sum_reports(reports.flat_map(|(_, reports)| reports));
            for (index, own) in told.iter().filter(|(index, _)| index % 2 == half) {
                self.shares[*index].apply_reports(now_us, Incarnation(1), &sum, own);
            }
        }
    }

    /// Lets one attempt ask for room; returns when its caller comes back, if it does.
    fn attempt(&mut self, now_us: u64, attempt: Attempt) -> Option<Attempt> {
        let organisation = self.scenario.organisations[attempt.organisation];
        let instances = 0..self.scenario.instances;
        let instance = organisation
            .instance
            .unwrap_or_else(|| self.rng.random_range(instances));
        let waited_us = now_us - attempt.first_us;
        let left_us = TIMEOUT_US.saturating_sub(waited_us);
        let service = self.service.clone();
        let ask = Ask {
            service: &service,
            organisation: Some(organisation.name),
            engine_us: None,
            rank: 2,
            waited_us,
            target_us: TARGET_US,
            left_us,
            draw: self.rng.random_range(0.0..1.0),
        };
        let noticed_us = self.noticed_us();
        let is_counted = attempt.first_us >= noticed_us
            && attempt.first_us < (self.scenario.seconds - 1) * 1_000_000;
        let outcome = &mut self.outcomes[attempt.organisation];
        if is_counted && attempt.number == 1 {
            outcome.callers += 1.0;
        }
        let shares = &mut self.shares[instance];
        let admitted = match self.scenario.do_share {
            true => shares.admit(now_us, &ask).map_err(|r| r.retry_after_ms),
            false => Ok(Standing::Within),
        };
        let retry_after_ms = match admitted {
            Ok(standing) => {
                let free_us = self.slots_free_us.iter_mut().min().expect("a slot");
                let wait_us = free_us.saturating_sub(now_us);
                let factor = if standing == Standing::Limited {
                    0.5
                } else {
                    1.0
                };
                if wait_us as f64 <= TARGET_US as f64 * QUEUE_SHARE * factor {
                    *free_us = now_us + wait_us + RUN_US;
                    if now_us >= noticed_us {
                        self.used_us += RUN_US;
                    }
                    shares.note_placed(now_us, &ask, (wait_us == 0).then_some(RUN_US));
                    let is_in_aim = waited_us + wait_us + RUN_US <= TARGET_US;
                    outcome.in_aim += f64::from(u8::from(is_counted && is_in_aim));
                    outcome.late += f64::from(u8::from(is_counted && !is_in_aim));
                    return None;
                }
                let told_ms = shares.note_unplaced(now_us, &ask);
                let told_ms = told_ms.filter(|_| self.scenario.do_share);
                told_ms.unwrap_or(ryevalve::balance::balancer::retry_delay_ms(left_us))
            }
            Err(retry_after_ms) => retry_after_ms,
        };
        if is_counted {
            match attempt.number {
                1 => outcome.refused_once += 1.0,
                _ => outcome.refused_again += 1.0,
            }
        }
        let waits_us = (u64::from(retry_after_ms) * 1_000).min(left_us / 3);
        let comes_back = self.scenario.do_return
            && attempt.number < MAX_ATTEMPTS
            && waited_us + waits_us < TIMEOUT_US;
        comes_back.then_some(Attempt {
            at_us: std::cmp::Reverse(now_us + waits_us),
            number: attempt.number + 1,
            ..attempt
        })
    }
}

fn configured(organisations: &[Organisation]) -> Shares {
    let mut shares = Shares::default();
    let configured = organisations.iter().map(|o| (o.name, o.priority));
    shares.configure(configured, |_| true, 2);
    shares
}

fn run(scenario: Scenario) -> (Vec<Outcome>, f64) {
    let (outcomes, used) = Group::new(scenario.clone()).run();
    for (organisation, outcome) in scenario.organisations.iter().zip(&outcomes) {
        println!("{} {:.3} {outcome:?}", organisation.name, outcome.share());
    }
    println!("used {used:.3}");
    (outcomes, used)
}

/// Checks that the small organisations are served and the room is used.
fn check_small_ones(scenario: Scenario) {
    let (outcomes, used) = run(scenario);
    for small in &outcomes[1..] {
        assert!(small.share() >= TARGET_SHARE, "{small:?}");
    }
    assert!(used >= TARGET_SHARE, "{used}");
}

/// The load of a flood without shares: the small organisations are refused as often as the large one.
#[test]
fn without_shares_small_organisations_pay() {
    let scenario = Scenario::new(flood());
    let (outcomes, _) = run(Scenario {
        do_share: false,
        ..scenario
    });
    assert!(outcomes[1].share() < 0.5 && outcomes[2].share() < 0.5);
}

/// Guards against the refusal of organisations that ask for less than their share.
#[test]
fn small_organisations_are_served_beside_a_flood() {
    for seed in 1..=5 {
        check_small_ones(Scenario {
            seed,
            ..Scenario::new(flood())
        });
    }
}

/// Guards against refusals by shares while there is room for all.
#[test]
fn all_are_served_when_there_is_room() {
    let organisations = vec![
        organisation("large", 40.0),
        organisation("small-a", 10.0),
        organisation("small-b", 10.0),
    ];
    let (outcomes, _) = run(Scenario::new(organisations));
    for outcome in outcomes {
        assert!(outcome.share() >= TARGET_SHARE, "{outcome:?}");
    }
}

/// Guards against a priority that nobody heeds: who has 0 goes first, also with a demand above its equal share, and the
/// others keep a quarter of theirs.
#[test]
fn priority_zero_goes_first_and_starves_nobody() {
    let first = Organisation {
        priority: Some(0),
        ..organisation("first", 50.0)
    };
    let organisations = vec![
        organisation("large", 400.0),
        organisation("medium", 60.0),
        first,
    ];
    let (outcomes, used) = run(Scenario::new(organisations));
    assert!(outcomes[2].share() >= TARGET_SHARE);
    assert!(used >= TARGET_SHARE);
    // A quarter of the equal share is 80 / 3 / 4 requests a second.
    for other in &outcomes[..2] {
        assert!(other.in_aim / 10.0 >= 80.0 / 3.0 / 4.0 * 0.9, "{other:?}");
    }
}

/// Guards against shares that hold at one instance only: groups of several sizes, with pictures of several ages, and a
/// room in proportion.
#[test]
fn shares_hold_over_a_group() {
    for (instances, delay_us) in [
        (3, 200_000),
        (75, 200_000),
        (75, 1_200_000),
        (300, 1_200_000),
    ] {
        println!("{instances} instances, {delay_us} us");
        check_small_ones(Scenario::of_group(instances, delay_us));
    }
}

/// Guards against an advantage or a loss of an organisation whose callers all come to one instance.
#[test]
fn one_instance_or_all_makes_no_difference() {
    for instances in [3, 75] {
        let mut scenario = Scenario::of_group(instances, 400_000);
        scenario.organisations[1].instance = Some(0);
        check_small_ones(scenario.clone());
        scenario.organisations[0].instance = Some(1);
        check_small_ones(scenario);
    }
}

/// Guards against starvation in a group that is cut in two: both halves keep serving the small organisations.
#[test]
fn a_cut_group_serves_small_organisations() {
    let mut scenario = Scenario::of_group(6, 200_000);
    scenario.cut_s = Some((3, 9));
    check_small_ones(scenario);
}

/// Guards against the loss of shares when instances restart one after the other.
#[test]
fn restarts_keep_the_shares() {
    let mut scenario = Scenario::of_group(6, 200_000);
    scenario.restart_every_us = Some(1_000_000);
    check_small_ones(scenario);
}

/// Guards against memory that grows with the names that callers use, and against one flood hidden among the others.
#[test]
fn the_table_is_bounded() {
    let mut table = DemandTable::default();
    for number in 0..100_000_u32 {
        let now_us = u64::from(number) * 10;
        let name = format!("made-up-{number}");
        let entry = table.entry(now_us, OrganisationKey::of(Some(&name)));
        entry.note_asked(now_us, Kind::of(0, false), 1_000.0);
        table.expire(now_us);
    }
    assert!(table.organisations().count() <= MAX_ORGANISATIONS);
    let named = (0..1_800).map(|n| (OrganisationKey(n), f64::from(n)));
    let demand = ServiceDemand {
        organisations: named.collect(),
        ..ServiceDemand::default()
    };
    let report = demand.report(7);
    assert_eq!(report.organisations.len(), MAX_NAMED);
    let bytes = postcard::to_stdvec(&report).expect("bytes");
    assert!(bytes.len() <= 180, "{}", bytes.len());
}

/// Guards against a level that takes many small organisations beyond the table for one.
#[test]
fn organisations_beyond_the_table_keep_their_shares() {
    const SMALL: usize = 300;
    let names: Vec<&'static str> = (0..SMALL).map(|n| &*format!("small-{n}").leak()).collect();
    let mut organisations = vec![organisation("large", 4_000.0)];
    organisations.extend(names.iter().map(|name| organisation(name, 1.0)));
    let scenario = Scenario {
        slots: 80.0,
        ..Scenario::new(organisations)
    };
    let (outcomes, used) = Group::new(scenario).run();
    let (callers, in_aim) = outcomes[1..]
        .iter()
        .fold((0.0, 0.0), |(callers, in_aim), o| {
            (callers + o.callers, in_aim + o.in_aim)
        });
    assert!(in_aim / callers >= TARGET_SHARE, "{in_aim} of {callers}");
    assert!(used >= TARGET_SHARE, "{used}");
}

/// Guards against a return order that makes callers come back in vain: those refused twice or more are fewer than with
/// a delay from the caller's time alone, and no organisation has fewer answers in aim.
#[test]
fn refused_callers_come_back_into_room() {
    let scenario = Scenario {
        do_return: true,
        ..Scenario::new(flood())
    };
    let (today, _) = run(Scenario {
        do_share: false,
        ..scenario.clone()
    });
    let (ordered, used) = run(scenario);
    let again = |outcomes: &[Outcome]| outcomes.iter().map(|o| o.refused_again).sum::<f64>();
    assert!(
        again(&ordered) < again(&today),
        "{} {}",
        again(&ordered),
        again(&today)
    );
    assert!(ordered[0].in_aim >= today[0].in_aim);
    assert!(used >= TARGET_SHARE, "{used}");
    for small in &ordered[1..] {
        assert!(small.share() >= TARGET_SHARE, "{small:?}");
    }
}

/// Guards against returns all at once: places are spread over the refused callers, none is too soon, and one that would
/// come too late is not given.
#[test]
fn return_places_are_spread() {
    let mut order = ReturnOrder::default();
    // Room for ten requests a second, half of it for returns.
    let mut take = |now_us| order.take(now_us, 100_000.0, 1_000_000.0, 500_000);
    assert_eq!(take(0), Some(MIN_RETURN_US));
    assert_eq!(take(0), Some(MIN_RETURN_US + 200_000));
    assert_eq!(take(0), None);
    assert_eq!(take(100_000), Some(450_000));
    // Nobody came: the places passed.
    assert_eq!(take(10_000_000), Some(MIN_RETURN_US));
}

/// Guards against a message that distorts what it tells.
#[test]
fn rates_survive_the_message() {
    for rate in [0.0, 1.0, 1_000.0, 4.0e6, 1.0e10] {
        let told = PackedRate::new(rate).get();
        assert!((told - rate).abs() <= rate * 0.001, "{rate} {told}");
    }
}

fn claims() -> impl Strategy<Value = Vec<Claim>> {
    let claim = (0.0..1e3_f64, 0..3_u8).prop_map(|(asked, priority)| Claim {
        asked,
        weight: 1.0,
        priority,
    });
    prop::collection::vec(claim, 1..40)
}

proptest! {
    /// The sum stays within the room, nobody gets more than it asks for, and no room is idle while someone waits.
    #[test]
    fn division_uses_the_room(room in 0.0..1e4_f64, claims in claims()) {
        let given = divide(room, &claims);
        let sum: f64 = given.iter().sum();
        let asked: f64 = claims.iter().map(|c| c.asked).sum();
        prop_assert!(sum <= room + 1e-6);
        prop_assert!((sum - asked.min(room)).abs() < 1e-6);
        for (claim, given) in claims.iter().zip(&given) {
            prop_assert!(*given <= claim.asked + 1e-9);
        }
    }

    /// Within a priority it is max-min fair: who gets less than it asks for gets no less than any other. Each keeps a
    /// quarter of its equal share, and a lower priority gets no more than that before a higher one is served whole.
    #[test]
    fn division_is_fair(room in 0.0..1e4_f64, claims in claims()) {
        let given = divide(room, &claims);
        let sure = room / claims.len() as f64 / 4.0;
        for (a, got_a) in claims.iter().zip(&given) {
            prop_assert!(*got_a >= a.asked.min(sure) - 1e-6);
            if *got_a >= a.asked - 1e-6 {
                continue;
            }
            for (b, got_b) in claims.iter().zip(&given) {
                if b.priority == a.priority {
                    prop_assert!(*got_b <= got_a + 1e-6);
                }
                if b.priority > a.priority {
                    prop_assert!(*got_b <= sure + 1e-6);
                }
            }
        }
    }
}
