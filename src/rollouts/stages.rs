//! The stages of a roll-out: how a watcher decides on them, and what they mean for a request.

use serde::{Deserialize, Serialize};

use super::{
    BadReason, EvidenceReport, EvidenceSum, ExposureCredit, RolloutOrder, Verdict, VersionChoice,
    VersionGroup,
    judge::{is_doubtful, is_good_over_all, judge, leans_to_bad},
};
use crate::prelude::{Incarnation, Micros};

/// A step of [`Stage::Shifting`].
struct ShiftStep {
    /// Share of the requests that the target version gets.
    share: f64,
    /// How long it lasts, as a part of the duration.
    duration_part: f64,
    /// It lasts no longer unless a test leans to bad.
    max_us: Micros,
}

/// The first step shows the version under load, also when a sixth of the requests comes through instances that are cut
/// off, and lasts until its answers have been judged: a load builds up within a second, answers take up to a second,
/// and reports and stages another one. A version that fails under load then gets the requests of this step alone. The
/// others let the endpoints' load rise gradually.
const SHIFT_STEPS: [ShiftStep; 3] = [
    ShiftStep {
        share: 0.33,
        duration_part: 0.2,
        max_us: 3_000_000,
    },
    ShiftStep {
        share: 0.55,
        duration_part: 0.025,
        max_us: 1_000_000,
    },
    ShiftStep {
        share: 0.75,
        duration_part: 0.025,
        max_us: 1_000_000,
    },
];
/// The longest that a request runs at an endpoint: streams take up to 15 s.
const MAX_DRAIN_US: Micros = 15_000_000;
/// Part of the duration that is left for requests at the old versions to end.
const DRAIN_PART: f64 = 0.3;
/// The least time for that when evidence comes late.
const MIN_DRAIN_US: Micros = 1_000_000;
/// The longest that the shift waits for evidence on the rarer routes.
const MAX_RARE_WAIT_US: Micros = 1_500_000;
/// Part of the duration for that.
const RARE_WAIT_PART: f64 = 1.0 / 30.0;
/// Time for the status to be recorded before the duration ends, with one repeated call.
const MAX_RESERVE_US: Micros = 1_000_000;
const RESERVE_PART: f64 = 0.1;
/// Time for which the endpoints of a group are to be missing before that counts: an update may be on its way.
const MISSING_US: Micros = 2_000_000;
/// Time in which a watcher that has just learned of an order gets the stage and the reports of the others. Until then, the
/// lack of evidence shows nothing.
const FIRST_REPORTS_US: Micros = 1_000_000;

/// The stage of a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The target version gets the share that limits exposure.
    #[default]
    Canary,
    /// Judged good: the target version gets a share that rises by steps, from 0.
    Shifting(u8),
    /// The target version gets all new requests; requests at the other versions end.
    Draining,
    /// The other versions can stop.
    Completed,
    /// The target version gets no more requests.
    RolledBack,
}

impl Stage {
    /// Returns the share of requests that the target version gets, for a share in [`Stage::Canary`].
    pub fn target_share(self, canary_share: f64) -> f64 {
        match self {
            Self::Canary => canary_share,
            Self::Shifting(step) => {
                let step = SHIFT_STEPS.get(usize::from(step));
                step.map_or(1.0, |step| step.share).max(canary_share)
            }
            Self::Draining | Self::Completed => 1.0,
            Self::RolledBack => 0.0,
        }
    }

    /// Returns whether no further stage follows.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    fn rank(self) -> u16 {
        match self {
            Self::Canary => 0,
            Self::Shifting(step) => 1 + u16::from(step),
            Self::Draining => 300,
            Self::Completed => 301,
            Self::RolledBack => 302,
        }
    }
}

/// Returns the stage that a process follows after it was told another one of the same order: it never goes back,
/// except to [`Stage::RolledBack`], which is final. Updates may so come in any order, and from several watchers. For a
/// process that knows no final status of the store: that one stands above what is told.
pub fn followed_stage(known: Stage, told: Stage) -> Stage {
    if told.rank() > known.rank() {
        told
    } else {
        known
    }
}

/// Returns which endpoints the next request may be sent to if it is one on a route, given by its hash. `is_fresh` says
/// whether the instance's knowledge of the orders is young enough for the target version to be used.
pub fn version_choice(
    stage: Stage,
    credit: &ExposureCredit,
    route: u32,
    is_fresh: bool,
) -> VersionChoice {
    match stage {
        // The other endpoints stop or have stopped.
        Stage::Completed => VersionChoice::PreferTarget,
        Stage::RolledBack => VersionChoice::Only(VersionGroup::Others),
        _ if !is_fresh => VersionChoice::Only(VersionGroup::Others),
        Stage::Draining => VersionChoice::Only(VersionGroup::Target),
        Stage::Canary | Stage::Shifting(_) if credit.allows_target(route) => {
            VersionChoice::PreferTarget
        }
        Stage::Canary | Stage::Shifting(_) => VersionChoice::Only(VersionGroup::Others),
    }
}

/// What a watcher knows of the group and of the service's endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupFacts {
    /// Ready endpoints of the target version.
    pub target_ready: u32,
    /// Known endpoints of other versions, in any state.
    pub others_known: u32,
    /// Instances in the group; 0 if their number is not known.
    pub instances_known: usize,
    /// The store answers, so that a status can be recorded.
    pub is_store_answering: bool,
}

/// When the stages begin, as times since the start of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Schedule {
    /// The shift begins then if the version was judged good. Not sooner: until then a version that turns bad has had
    /// no more than the canary's share.
    shift_us: Micros,
    /// The shift begins at the latest then; for streams to end there is [`MIN_DRAIN_US`].
    latest_shift_us: Micros,
    rare_wait_us: Micros,
    /// A step of the shift is held until then while a test leans to bad.
    latest_hold_us: Micros,
    /// How long each step of the shift lasts.
    steps_us: [Micros; SHIFT_STEPS.len()],
    /// The status is recorded at the latest then.
    last_us: Micros,
}

impl Schedule {
    fn new(duration_us: Micros) -> Self {
        let part = |part: f64| (duration_us as f64 * part) as Micros;
        let reserve_us = part(RESERVE_PART).min(MAX_RESERVE_US);
        let drain_us = part(DRAIN_PART).min(MAX_DRAIN_US);
        let rare_wait_us = part(RARE_WAIT_PART).min(MAX_RARE_WAIT_US);
        let steps_us = SHIFT_STEPS.map(|step| part(step.duration_part).min(step.max_us));
        let last_us = duration_us.saturating_sub(reserve_us);
        let shifted_us = steps_us.iter().sum::<Micros>();
        Self {
            shift_us: last_us.saturating_sub(drain_us + shifted_us),
            latest_shift_us: last_us.saturating_sub(drain_us.min(MIN_DRAIN_US) + shifted_us),
            rare_wait_us,
            latest_hold_us: last_us.saturating_sub(drain_us.min(MIN_DRAIN_US)),
            steps_us,
            last_us,
        }
    }
}

/// Decides on the stages of one order, at a watcher.
///
/// The shift begins as late as the duration allows, because a version that turns bad after it has had more than the
/// share that limits exposure. Requests at the other versions have 30% of the duration to end: with durations of 50 s
/// and more that is the 15 s of the longest streams; with 40 s streams that run for more than 12 s can be cut, with
/// 20 s those of more than 6 s, with 12 s those of more than 3.6 s.
#[derive(Clone, Debug)]
pub struct RolloutDecider {
    order: RolloutOrder,
    schedule: Schedule,
    /// When this watcher learned of the order.
    known_since_us: Micros,
    /// The part of the duration that had passed by then.
    elapsed_before_us: Micros,
    stage: Stage,
    stage_since_us: Micros,
    /// The stage is final and in the store.
    is_recorded: bool,
    reason: Option<BadReason>,
    sum: EvidenceSum,
    target_seen_us: Micros,
    others_seen_us: Micros,
}

impl RolloutDecider {
    /// Begins at [`Stage::Canary`] with an order whose duration counts from `now_us`.
    pub fn new(order: RolloutOrder, now_us: Micros) -> Self {
        Self::with_elapsed(order, now_us, 0)
    }

    /// Begins at [`Stage::Canary`] with an order of whose duration `elapsed_us` have passed.
    pub fn with_elapsed(order: RolloutOrder, now_us: Micros, elapsed_us: Micros) -> Self {
        Self {
            schedule: Schedule::new(order.duration_us),
            order,
            known_since_us: now_us,
            elapsed_before_us: elapsed_us,
            stage: Stage::Canary,
            stage_since_us: now_us,
            is_recorded: false,
            reason: None,
            sum: EvidenceSum::default(),
            target_seen_us: now_us,
            others_seen_us: now_us,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Returns the stage as of the last step.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns why the version was rolled back.
    pub fn reason(&self) -> Option<BadReason> {
        self.reason
    }

    /// Returns the evidence so far.
    pub fn evidence(&self) -> &EvidenceSum {
        &self.sum
    }

    /// Takes in a report of an instance.
    pub fn apply(&mut self, now_us: Micros, from: Incarnation, report: EvidenceReport) {
        self.sum.apply(now_us, from, report);
    }

    /// Takes in the status that the store has: it stands above what any watcher tells, because the other versions'
    /// endpoints stop once the roll-out is recorded as completed.
    pub fn note_recorded(&mut self, now_us: Micros, recorded: Stage) {
        if recorded.is_final() {
            self.is_recorded = true;
            self.enter(now_us, recorded);
        }
    }

    /// Takes in the stage that another watcher told, so that the stages of a watcher that begins later go on from there.
    pub fn follow(&mut self, now_us: Micros, told: Stage) {
        if self.is_recorded {
            return;
        }
        let stage = followed_stage(self.stage, told);
        self.enter(now_us, stage);
    }

    /// Decides on the stage. To be called some times a second.
    pub fn step(&mut self, now_us: Micros, facts: GroupFacts) -> Stage {
        self.sum.note_target_endpoints(facts.target_ready);
        if facts.target_ready > 0 {
            self.target_seen_us = now_us;
        }
        if facts.others_known > 0 {
            self.others_seen_us = now_us;
        }
        if !self.stage.is_final() {
            let stage = self.next_stage(now_us, facts);
            self.enter(now_us, stage);
        }
        self.stage
    }

    fn enter(&mut self, now_us: Micros, stage: Stage) {
        if stage != self.stage {
            self.stage = stage;
            self.stage_since_us = now_us;
        }
    }

    /// Returns the part of the duration that has passed.
    fn elapsed_us(&self, now_us: Micros) -> Micros {
        let known_for_us = now_us.saturating_sub(self.known_since_us);
        self.elapsed_before_us.saturating_add(known_for_us)
    }

    fn next_stage(&mut self, now_us: Micros, facts: GroupFacts) -> Stage {
        let verdict = judge(&self.sum);
        if let Verdict::Bad(reason) = verdict {
            return self.roll_back(reason);
        }
        if self.are_others_gone(now_us, facts) {
            return self.complete(facts);
        }
        match self.stage {
            Stage::Canary => self.after_canary(now_us, verdict),
            _ if now_us.saturating_sub(self.target_seen_us) >= MISSING_US => {
                self.roll_back(BadReason::NoEndpoint)
            }
            _ if self.elapsed_us(now_us) >= self.schedule.last_us => self.at_end(facts),
            Stage::Shifting(step) => self.after_shift_step(now_us, step),
            _ => self.after_draining(now_us, facts),
        }
    }

    fn roll_back(&mut self, reason: BadReason) -> Stage {
        self.reason = Some(reason);
        Stage::RolledBack
    }

    /// Completed is for the record: without the store the stage stays as it is.
    fn complete(&self, facts: GroupFacts) -> Stage {
        if facts.is_store_answering {
            Stage::Completed
        } else {
            self.stage
        }
    }

    /// All endpoints have the target version already.
    fn are_others_gone(&self, now_us: Micros, facts: GroupFacts) -> bool {
        facts.target_ready > 0 && now_us.saturating_sub(self.others_seen_us) >= MISSING_US
    }

    fn after_canary(&mut self, now_us: Micros, verdict: Verdict) -> Stage {
        if self.elapsed_us(now_us) < self.schedule.shift_us || self.awaits_reports(now_us) {
            return Stage::Canary;
        }
        let is_target_ready = self.target_seen_us == now_us;
        if is_target_ready && self.may_shift(now_us, verdict) {
            return Stage::Shifting(0);
        }
        if self.elapsed_us(now_us) < self.schedule.last_us {
            return Stage::Canary;
        }
        self.roll_back(match is_target_ready {
            true => BadReason::TooLittleEvidence,
            false => BadReason::NoEndpoint,
        })
    }

    /// Waits one step for rare routes, and longer only for the service as a whole.
    fn may_shift(&self, now_us: Micros, verdict: Verdict) -> bool {
        if verdict == Verdict::Good {
            return true;
        }
        let elapsed_us = self.elapsed_us(now_us);
        if elapsed_us
            < self
                .schedule
                .shift_us
                .saturating_add(self.schedule.rare_wait_us)
        {
            return false;
        }
        let is_late = elapsed_us >= self.schedule.latest_shift_us;
        is_good_over_all(&self.sum) || (is_late && self.is_service_idle(now_us))
    }

    /// Returns whether the order began before this watcher learned of it, and that is so short ago that the others have
    /// not told it what they know.
    fn awaits_reports(&self, now_us: Micros) -> bool {
        let known_for_us = now_us.saturating_sub(self.known_since_us);
        self.elapsed_before_us >= FIRST_REPORTS_US && known_for_us < FIRST_REPORTS_US
    }

    /// Returns whether the service gets no requests, as far as this watcher has known the order for long enough to say.
    fn is_service_idle(&self, now_us: Micros) -> bool {
        let answers = self.sum.answers();
        let known_for_us = now_us.saturating_sub(self.known_since_us);
        let is_without_answers = answers.target.total == 0 && answers.others.total == 0;
        is_without_answers && known_for_us >= self.schedule.shift_us / 2
    }

    /// Goes on to the next step, but not while a test leans to bad and there is time.
    fn after_shift_step(&self, now_us: Micros, step: u8) -> Stage {
        let step_us = self.schedule.steps_us.get(usize::from(step));
        let elapsed_us = self.elapsed_us(now_us);
        let latest_us = self.schedule.latest_hold_us;
        let is_over = now_us.saturating_sub(self.stage_since_us) >= step_us.copied().unwrap_or(0);
        if !is_over || (elapsed_us < latest_us && leans_to_bad(&self.sum)) {
            return self.stage;
        }
        let next = step.saturating_add(1);
        if usize::from(next) < SHIFT_STEPS.len() {
            Stage::Shifting(next)
        } else {
            Stage::Draining
        }
    }

    fn after_draining(&self, now_us: Micros, facts: GroupFacts) -> Stage {
        let drained = self.sum.drained_instances(now_us);
        let are_all_drained = facts.instances_known > 0 && drained >= facts.instances_known;
        if are_all_drained && !leans_to_bad(&self.sum) {
            self.complete(facts)
        } else {
            self.stage
        }
    }

    /// The time is over for a version that was judged good.
    fn at_end(&mut self, facts: GroupFacts) -> Stage {
        if is_doubtful(&self.sum) {
            self.roll_back(BadReason::TooLittleEvidence)
        } else {
            self.complete(facts)
        }
    }
}
