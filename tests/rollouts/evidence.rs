//! Reports of instances and their sums at a watcher.

use proptest::prelude::*;
use ryevalve::{
    balance::load::EndpointKey,
    prelude::Incarnation,
    rollouts::{
        AnswerQuality, BadReason, Evidence, EvidenceReport, EvidenceSum, Verdict, VersionGroup,
        judge,
    },
};

const SECOND_US: u64 = 1_000_000;

fn quality(number: u8) -> AnswerQuality {
    [
        AnswerQuality::Good,
        AnswerQuality::Failed,
        AnswerQuality::Slow,
    ][usize::from(number % 3)]
}

proptest! {
    /// Fails if a sum differs from what the instances saw when reports are lost, repeated or out of order.
    #[test]
    fn sum_is_what_the_instances_saw(
        answers in prop::collection::vec((0..4_u64, 0..40_u32, any::<bool>(), 0..9_u32, any::<u8>()), 1..200),
        deliveries in prop::collection::vec((0..4_u64, any::<prop::sample::Index>()), 0..50),
    ) {
        let mut evidence = vec![Evidence::default(); 4];
        let mut reports: Vec<Vec<EvidenceReport>> = vec![Vec::new(); 4];
        let (mut total, mut bad) = (0_u32, 0_u32);
        for (instance, route, is_target, endpoint, number) in answers {
            let group = if is_target { VersionGroup::Target } else { VersionGroup::Others };
            let of = &mut evidence[instance as usize];
            of.note_answer(route, group, EndpointKey(endpoint), quality(number));
            reports[instance as usize].push(of.report(0, false));
            total += 1;
            bad += u32::from(quality(number) != AnswerQuality::Good);
        }
        let mut sum = EvidenceSum::default();
        let mut now_us = 0;
        for (instance, index) in deliveries {
            now_us += SECOND_US / 5;
            let sent = &reports[instance as usize];
            if !sent.is_empty() {
                sum.apply(now_us, Incarnation(instance), sent[index.index(sent.len())].clone());
            }
        }
        for (instance, sent) in reports.iter().enumerate() {
            if let Some(last) = sent.last() {
                sum.apply(now_us, Incarnation(instance as u64), last.clone());
            }
        }
        let seen = sum.answers();
        prop_assert_eq!(seen.target.total + seen.others.total, total);
        prop_assert_eq!(seen.target.bad() + seen.others.bad(), bad);
    }
}

/// Fails if a report grows with the numbers of routes and endpoints, so that it no longer fits a datagram.
#[test]
fn report_stays_small() {
    let mut evidence = Evidence::default();
    for number in 0..10_000_u32 {
        for group in [VersionGroup::Target, VersionGroup::Others] {
            let route = u32::MAX - number % 500;
            evidence.note_answer(route, group, EndpointKey(number), quality(number as u8));
        }
    }
    let report = evidence.report(1_000, true);
    let bytes = postcard::to_stdvec(&report).expect("serialised");
    assert!(bytes.len() <= 500, "{}", bytes.len());
    let total: u32 = report
        .routes
        .iter()
        .map(|(_, a)| a.target.total + a.others.total)
        .sum();
    assert_eq!(total, 20_000);
}

/// Fails if an instance counts as drained that runs requests at the old versions, may still send some there, or was not
/// heard of for long.
#[test]
fn only_recent_reports_of_idle_instances_count_as_drained() {
    let mut sum = EvidenceSum::default();
    let evidence = Evidence::default();
    for (from, in_flight_others, has_shifted) in [(1, 0, true), (2, 1, true), (3, 0, false)] {
        let report = evidence.report(in_flight_others, has_shifted);
        sum.apply(0, Incarnation(from), report);
    }
    assert_eq!(sum.drained_instances(SECOND_US), 1);
    assert_eq!(sum.drained_instances(10 * SECOND_US), 0);
}

/// Returns the verdict on 240 answers of each of four endpoints, where the first `bad` endpoints of the target version
/// give a bad answer to each second request.
fn verdict_with_bad_endpoints(bad: u32, quality: AnswerQuality) -> Verdict {
    let mut evidence = Evidence::default();
    let mut sum = EvidenceSum::default();
    sum.note_target_endpoints(4);
    for number in 0..960_u32 {
        let endpoint = EndpointKey(number % 4);
        let is_bad = endpoint.0 < bad && number / 4 % 2 == 0;
        let given = if is_bad { quality } else { AnswerQuality::Good };
        evidence.note_answer(1, VersionGroup::Target, endpoint, given);
        evidence.note_answer(1, VersionGroup::Others, endpoint, AnswerQuality::Good);
        let now_us = u64::from(number) * SECOND_US / 100;
        sum.apply(now_us, Incarnation(1), evidence.report(0, false));
    }
    judge(&sum)
}

/// Fails if the trouble of one endpoint counts as the version's, or that of all endpoints does not.
#[test]
fn one_bad_endpoint_is_not_the_versions_fault() {
    for (quality, reason) in [
        (AnswerQuality::Failed, BadReason::Failures),
        (AnswerQuality::Slow, BadReason::Slowness),
    ] {
        assert_eq!(verdict_with_bad_endpoints(0, quality), Verdict::Good);
        assert_eq!(verdict_with_bad_endpoints(1, quality), Verdict::Good);
        let bad = Verdict::Bad(reason);
        assert_eq!(verdict_with_bad_endpoints(4, quality), bad);
    }
}
