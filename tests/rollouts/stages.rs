//! The stages of a roll-out, and what they mean for requests.

use proptest::prelude::*;
use ryevalve::{
    balance::load::EndpointKey,
    prelude::Incarnation,
    rollouts::{
        AnswerQuality, BadReason, Evidence, ExposureCredit, GroupFacts, OrderId, RolloutDecider,
        RolloutOrder, Stage, VersionChoice, VersionGroup, followed_stage, version_choice,
    },
};

const MS_US: u64 = 1_000;
const SECOND_US: u64 = 1_000_000;
const FACTS: GroupFacts = GroupFacts {
    target_ready: 4,
    others_known: 4,
    instances_known: 1,
    is_store_answering: true,
};

fn order(duration_us: u64) -> RolloutOrder {
    RolloutOrder {
        id: OrderId(1),
        service: "service".into(),
        target_version: "2".into(),
        duration_us,
    }
}

fn decider(duration_us: u64) -> RolloutDecider {
    RolloutDecider::new(order(duration_us), 0)
}

fn answers(evidence: &mut Evidence, group: VersionGroup, quality: AnswerQuality, number: u32) {
    for endpoint in 0..number {
        evidence.note_answer(1, group, EndpointKey(endpoint % 4), quality);
    }
}

/// Steps a decider every 100 ms, with reports of one instance that answers well; returns when each stage began.
fn run_good(decider: &mut RolloutDecider, facts: impl Fn(u64) -> GroupFacts) -> Vec<(u64, Stage)> {
    let mut stages = vec![(0, Stage::Canary)];
    let mut evidence = Evidence::default();
    for now_us in (0..25 * SECOND_US).step_by(100_000) {
        answers(&mut evidence, VersionGroup::Target, AnswerQuality::Good, 1);
        answers(&mut evidence, VersionGroup::Others, AnswerQuality::Good, 9);
        let is_draining = decider.stage() == Stage::Draining;
        decider.apply(now_us, Incarnation(1), evidence.report(0, is_draining));
        let stage = decider.step(now_us, facts(now_us));
        if stages.last().is_some_and(|(_, last)| *last != stage) {
            stages.push((now_us, stage));
        }
    }
    stages
}

fn stage() -> impl Strategy<Value = Stage> {
    prop_oneof![
        Just(Stage::Canary),
        any::<u8>().prop_map(Stage::Shifting),
        Just(Stage::Draining),
        Just(Stage::Completed),
        Just(Stage::RolledBack),
    ]
}

proptest! {
    /// Fails if what a process follows depends on the order in which it was told, or goes back but for a roll-back.
    #[test]
    fn followed_stage_never_goes_back(told in prop::collection::vec(stage(), 1..20)) {
        let mut known = Stage::Canary;
        let mut share = 0.0;
        for &stage in &told {
            known = followed_stage(known, stage);
            let new_share = known.target_share(0.1);
            prop_assert!(new_share >= share || known == Stage::RolledBack);
            share = new_share;
        }
        let reversed = told.iter().rev().copied().fold(Stage::Canary, followed_stage);
        prop_assert_eq!(known, reversed);
        prop_assert_eq!(known == Stage::RolledBack, told.contains(&Stage::RolledBack));
    }

    /// Fails if an instance whose knowledge is old uses the target version before the roll-out is completed, or any
    /// instance does after a roll-back.
    #[test]
    fn target_version_is_not_used_on_old_knowledge(stage in stage(), sent in 0..100_u32) {
        let mut credit = ExposureCredit::new(0.5);
        (0..sent).for_each(|_| credit.note_sent(VersionGroup::Others, 1));
        let only_others = VersionChoice::Only(VersionGroup::Others);
        prop_assert_eq!(version_choice(stage, &credit, 1, false) == only_others, stage != Stage::Completed);
        prop_assert_eq!(version_choice(Stage::RolledBack, &credit, 1, true), only_others);
    }
}

/// Fails if a good version is completed late, or takes all requests long before that is necessary.
#[test]
fn good_version_is_completed_in_steps() {
    let mut decider = decider(20 * SECOND_US);
    let stages = run_good(&mut decider, |_| FACTS);
    let expected = [
        Stage::Canary,
        Stage::Shifting(0),
        Stage::Shifting(1),
        Stage::Shifting(2),
        Stage::Draining,
        Stage::Completed,
    ];
    let order: Vec<Stage> = stages.iter().map(|(_, stage)| *stage).collect();
    assert_eq!(order, expected);
    assert!(stages[1].0 >= 8 * SECOND_US, "{stages:?}");
    assert!(stages[5].0 < 20 * SECOND_US, "{stages:?}");
}

/// Fails if a roll-out is recorded as completed while an instance runs requests at the old versions and there is time
/// left, or if it waits for that instance beyond the duration.
#[test]
fn completing_waits_for_requests_at_the_old_versions() {
    let mut decider = decider(20 * SECOND_US);
    let stages = run_good(&mut decider, |_| GroupFacts {
        instances_known: 2,
        ..FACTS
    });
    let last = stages[stages.len() - 1];
    assert_eq!(last.1, Stage::Completed);
    assert!(
        (18 * SECOND_US..20 * SECOND_US).contains(&last.0),
        "{stages:?}"
    );
}

/// Fails if a watcher that learns of the order later counts the duration anew.
#[test]
fn duration_counts_from_the_beginning_of_the_order() {
    let elapsed_us = 10 * SECOND_US;
    let mut decider = RolloutDecider::with_elapsed(order(20 * SECOND_US), 0, elapsed_us);
    let stages = run_good(&mut decider, |_| FACTS);
    let last = stages[stages.len() - 1];
    assert_eq!(last.1, Stage::Completed);
    assert!(last.0 < 10 * SECOND_US, "{stages:?}");
}

/// Fails if a watcher that learns of the order at the end of its duration rolls it back before it can know the stage.
#[test]
fn late_watcher_waits_for_the_stage_of_the_others() {
    let elapsed_us = 20 * SECOND_US;
    let late = || RolloutDecider::with_elapsed(order(20 * SECOND_US), 0, elapsed_us);
    let mut told = late();
    assert_eq!(told.step(100 * MS_US, FACTS), Stage::Canary);
    told.follow(500 * MS_US, Stage::Draining);
    assert_eq!(told.step(600 * MS_US, FACTS), Stage::Completed);
    let mut alone = late();
    assert_eq!(alone.step(100 * MS_US, FACTS), Stage::Canary);
    assert_eq!(alone.step(1_100 * MS_US, FACTS), Stage::RolledBack);
    assert_eq!(alone.reason(), Some(BadReason::TooLittleEvidence));
}

/// Fails if a watcher takes the lack of answers since its own start for a service without requests.
#[test]
fn late_watcher_does_not_complete_a_version_without_evidence() {
    let elapsed_us = 15 * SECOND_US;
    let mut late = RolloutDecider::with_elapsed(order(20 * SECOND_US), 0, elapsed_us);
    let steps = (0..6 * SECOND_US).step_by(100_000);
    let stages: Vec<Stage> = steps.map(|now_us| late.step(now_us, FACTS)).collect();
    assert!(
        stages
            .iter()
            .all(|s| [Stage::Canary, Stage::RolledBack].contains(s))
    );
    assert_eq!(late.stage(), Stage::RolledBack);
}

/// Fails if the stage says completed before the store can record it.
#[test]
fn completing_waits_for_the_store() {
    let mut decider = decider(20 * SECOND_US);
    let stages = run_good(&mut decider, |now_us| GroupFacts {
        is_store_answering: now_us > 23 * SECOND_US,
        ..FACTS
    });
    let last = stages[stages.len() - 1];
    assert_eq!(last.1, Stage::Completed);
    assert!(last.0 > 23 * SECOND_US, "{stages:?}");
}

/// Fails if a version that turns bad in any stage stays in use.
#[test]
fn each_stage_is_rolled_back() {
    for bad_from in [Stage::Canary, Stage::Shifting(1), Stage::Draining] {
        let mut decider = decider(20 * SECOND_US);
        let mut evidence = Evidence::default();
        let mut is_bad = false;
        for now_us in (0..20 * SECOND_US).step_by(100_000) {
            is_bad |= decider.stage() == bad_from;
            let quality = if is_bad {
                AnswerQuality::Failed
            } else {
                AnswerQuality::Good
            };
            answers(&mut evidence, VersionGroup::Target, quality, 4);
            answers(&mut evidence, VersionGroup::Others, AnswerQuality::Good, 9);
            decider.apply(now_us, Incarnation(1), evidence.report(1, true));
            decider.step(now_us, FACTS);
        }
        assert_eq!(decider.stage(), Stage::RolledBack, "{bad_from:?}");
        assert_eq!(decider.reason(), Some(BadReason::Failures));
    }
}

/// Fails if a service without requests never gets its version, or one with too little evidence gets it.
#[test]
fn too_little_evidence_rolls_back_unless_there_are_no_requests() {
    for (answers_of_others, expected) in [(0, Stage::Completed), (3, Stage::RolledBack)] {
        let mut decider = decider(12 * SECOND_US);
        let mut evidence = Evidence::default();
        answers(
            &mut evidence,
            VersionGroup::Others,
            AnswerQuality::Good,
            answers_of_others,
        );
        for now_us in (0..12 * SECOND_US).step_by(100_000) {
            decider.apply(now_us, Incarnation(1), evidence.report(0, true));
            decider.step(now_us, FACTS);
        }
        assert_eq!(decider.stage(), expected);
    }
}

/// Fails if an order for a version without endpoints moves requests, or one for the version that all endpoints have
/// isn't completed.
#[test]
fn missing_endpoints_decide_the_roll_out() {
    let no_target = GroupFacts {
        target_ready: 0,
        ..FACTS
    };
    let mut without_target = decider(12 * SECOND_US);
    let stages = run_good(&mut without_target, |_| no_target);
    assert_eq!(stages[1].1, Stage::RolledBack, "{stages:?}");
    assert!((10 * SECOND_US..12 * SECOND_US).contains(&stages[1].0));
    assert_eq!(without_target.reason(), Some(BadReason::NoEndpoint));

    let no_others = GroupFacts {
        others_known: 0,
        ..FACTS
    };
    let mut without_others = decider(12 * SECOND_US);
    let stages = run_good(&mut without_others, |_| no_others);
    assert_eq!(stages[1].1, Stage::Completed, "{stages:?}");
    assert!(stages[1].0 < 3 * SECOND_US);
}

/// Fails if a watcher's late roll-back stands above a recorded status, or a watcher that rolled back before doesn't take
/// that over: the endpoints of the other versions have stopped by then.
#[test]
fn recorded_status_stands_above_a_later_roll_back() {
    for known in [Stage::Canary, Stage::Completed, Stage::RolledBack] {
        let mut decider = decider(20 * SECOND_US);
        decider.follow(0, known);
        decider.note_recorded(SECOND_US, Stage::Completed);
        decider.follow(2 * SECOND_US, Stage::RolledBack);
        assert_eq!(decider.step(3 * SECOND_US, FACTS), Stage::Completed);
    }
    let mut running = decider(20 * SECOND_US);
    running.note_recorded(0, Stage::Canary);
    running.follow(0, Stage::RolledBack);
    assert_eq!(running.step(SECOND_US, FACTS), Stage::RolledBack);
}

/// Fails if a duration of any length breaks the schedule.
#[test]
fn any_duration_ends() {
    for duration_us in [0, 1, MS_US, SECOND_US, 3_600 * SECOND_US, u64::MAX] {
        let mut decider = decider(duration_us);
        let stage = decider.step(duration_us, FACTS);
        let is_over = !matches!(stage, Stage::Canary | Stage::Draining);
        assert!(is_over, "{duration_us}: {stage:?}");
    }
}
