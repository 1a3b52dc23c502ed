//! Work that must not grow faster than the fleet. Durations are compared with each other, never with absolute values.

use std::time::Duration;

use nix::time::{ClockId, clock_gettime};
use ryevalve::{
    balance::{balancer::Balancer, discovery::Discovery},
    gateway::{line_budget::LineBudget, report_intervals::ReportIntervals},
    limits::quota::{Message, Node},
    prelude::{Incarnation, StorePosition},
};

use crate::{
    quota_model::TOLERANCE,
    support::{MS, SECOND, at, entry},
};

/// Maximum ratio of the durations for eight times as many items; quadratic work has a ratio of 64.
const MAX_RATIO: f64 = 24.0;
const SMALL: usize = 500;
const LARGE: usize = 4_000;

/// Returns the processor time that this thread has used: unlike the time of day, it leaves out the time for which other
/// processes run.
fn processor_time() -> Duration {
    let time = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    time.expect("a clock of the thread").into()
}

/// Returns the shortest processor time of several runs.
fn shortest(mut work: impl FnMut() -> usize) -> Duration {
    let runs = (0..5).map(|_| {
        let started = processor_time();
        assert!(work() > 0);
        processor_time() - started
    });
    runs.min().unwrap_or_default()
}

fn check(what: &str, work: impl Fn(usize) -> usize) {
    let (small, large) = (shortest(|| work(SMALL)), shortest(|| work(LARGE)));
    let ratio = large.as_secs_f64() / small.as_secs_f64();
    println!("{what}: {small:?} and {large:?}, ratio {ratio:.0}");
    assert!(
        ratio < MAX_RATIO,
        "{what}: ratio {ratio:.0} for 8 times as many"
    );
}

fn balancer_with(count: usize) -> Balancer {
    let mut balancer = Balancer::new("a".into());
    for number in 0..count {
        let id = format!("i-{number:05}");
        let hall = ["a", "b", "c"][number % 3];
        balancer.upsert_endpoint(entry(&id, hall, 8), at(number as u64 + 1));
    }
    balancer
}

/// Guards against quadratic work in every process that reads a list of endpoints.
#[test]
fn reading_a_list_of_endpoints_takes_linear_time() {
    check("a list", |count| balancer_with(count).endpoint_count());
}

/// Guards against quadratic work when a whole copy is fetched from another instance.
#[test]
fn applying_a_copy_of_the_endpoints_takes_linear_time() {
    check("a copy", |count| {
        let mut source = Discovery::default();
        for number in 0..count {
            source.upsert(
                entry(&format!("i-{number:05}"), "a", 8),
                at(number as u64 + 1),
            );
        }
        source.advance_to(at(count as u64 + 1));
        let mut target = Discovery::default();
        target.upsert(entry("i-gone", "a", 8), at(1));
        target.apply_delta(0, source.delta_since(0, StorePosition::START));
        assert!(target.get("i-gone").is_none());
        target.len()
    });
}

/// Guards against quadratic work when all endpoints of a data centre are lost.
#[test]
fn removing_endpoints_takes_linear_time() {
    check("a loss", |count| {
        let mut balancer = balancer_with(count);
        for number in 0..count {
            let id = format!("i-{number:05}");
            balancer.remove_endpoint(0, &id, at((2 * count) as u64));
        }
        assert_eq!(balancer.endpoint_count(), 0);
        count
    });
}

/// Guards against datagrams that grow with the hall until an aggregator's processor is saturated.
#[test]
fn an_aggregators_datagrams_per_second_are_bounded_for_any_hall_size() {
    for instances in [1, 12, 49, 164, 656, 2_624] {
        let intervals = ReportIntervals { instances };
        let per_second = |interval_us: u64| instances as f64 * 1e6 / interval_us as f64;
        let (least, most) = (
            per_second(intervals.max_report_us()),
            per_second(intervals.min_report_us()),
        );
        assert!(
            least <= 340.0 && most <= 1_010.0,
            "{least} to {most} reports: {instances}"
        );
        let sent = per_second(intervals.min_summary_us());
        assert!(sent <= 410.0, "{sent} summaries: {instances}");
    }
}

/// Returns the leases that a quota server gets per second if all of `count` instances lease to it.
fn leases_per_second(count: u32) -> f64 {
    let mut node = Node::new(0, Incarnation(1), TOLERANCE);
    node.join(Incarnation(1), 0);
    node.mark_first_start();
    node.set_instances(count as usize);
    node.set_members(0, &[Incarnation(2), Incarnation(1)]);
    let mut leases = 0;
    for now_us in (0..40 * SECOND).step_by(40 * MS as usize) {
        node.tick(now_us);
        for outgoing in node.take_outgoing() {
            if let Message::Lease(lease) = outgoing.message {
                leases += 1;
                let leased = Message::Leased {
                    seq: lease.seq,
                    stamp_us: now_us,
                    count: lease.count,
                };
                node.receive(now_us, Incarnation(2), 1, leased);
            }
        }
    }
    f64::from(count) * f64::from(leases) / 40.0
}

/// Guards against quota servers whose processors are saturated by renewals.
#[test]
fn a_quota_servers_renewals_per_second_are_bounded_up_to_twice_the_fleet() {
    for count in [7, 78, 295, 985, 1_970] {
        let leases = leases_per_second(count);
        assert!(leases <= 520.0, "{leases} per second: {count}");
    }
}

/// Guards against thousands of log lines, one per endpoint, in every process that starts.
#[test]
fn endpoint_log_lines_are_bounded_and_omitted_ones_counted() {
    let mut budget = LineBudget::default();
    let written = (0..3_000).filter(|n| budget.admit(SECOND + n * 10).is_written);
    assert_eq!(written.count(), 200);
    let next = budget.admit(3 * SECOND);
    assert!(next.is_written);
    assert_eq!(next.left_out, 2_800);
}
