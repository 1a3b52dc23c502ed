//! Work that must not grow faster than the fleet does. Times are compared with each other, never with a clock's figure.

use std::time::{Duration, Instant};

use ryevalve::{
    balance::{balancer::Balancer, discovery::Discovery},
    gateway::{line_budget::LineBudget, pace::Pace},
    limits::quota::{Message, Node},
    prelude::Incarnation,
};

use crate::{
    quota_model::TOLERANCE,
    support::{MS, SECOND, entry},
};

/// Eight times as many may take this many times as long: a square takes sixty-four.
const MOST_TIMES: f64 = 24.0;
const SMALL: usize = 500;
const LARGE: usize = 4_000;

/// Returns the shortest of some tries.
fn shortest(mut work: impl FnMut() -> usize) -> Duration {
    let tries = (0..5).map(|_| {
        let started = Instant::now();
        assert!(work() > 0);
        started.elapsed()
    });
    tries.min().unwrap_or_default()
}

fn check(what: &str, work: impl Fn(usize) -> usize) {
    let (small, large) = (shortest(|| work(SMALL)), shortest(|| work(LARGE)));
    let times = large.as_secs_f64() / small.as_secs_f64();
    println!("{what}: {small:?} and {large:?}, {times:.0} times");
    assert!(
        times < MOST_TIMES,
        "{what}: {times:.0} times for 8 times as many"
    );
}

fn listed(count: usize) -> Balancer {
    let mut balancer = Balancer::new("a".into());
    for number in 0..count {
        let id = format!("i-{number:05}");
        let hall = ["a", "b", "c"][number % 3];
        balancer.upsert_endpoint(entry(&id, hall, 8), number as u64 + 1);
    }
    balancer
}

/// Guards against a list of endpoints that takes the square of their number, at each process that reads it.
#[test]
fn the_work_of_taking_a_list_of_endpoints_grows_as_the_list_does() {
    check("a list", |count| listed(count).endpoint_count());
}

/// Guards against the same where a whole copy comes from another instance.
#[test]
fn the_work_of_taking_a_copy_of_the_endpoints_grows_as_the_copy_does() {
    check("a copy", |count| {
        let mut giver = Discovery::default();
        for number in 0..count {
            giver.upsert(entry(&format!("i-{number:05}"), "a", 8), number as u64 + 1);
        }
        giver.advance_to(count as u64 + 1);
        let mut taker = Discovery::default();
        taker.upsert(entry("i-gone", "a", 8), 1);
        taker.apply_delta(0, giver.delta_since(0));
        assert!(taker.get("i-gone").is_none());
        taker.len()
    });
}

/// Guards against the loss of a data centre that takes the square of its endpoints.
#[test]
fn the_work_of_dropping_endpoints_grows_as_their_number_does() {
    check("a loss", |count| {
        let mut balancer = listed(count);
        for number in 0..count {
            let id = format!("i-{number:05}");
            balancer.remove_endpoint(0, &id, (2 * count) as u64);
        }
        assert_eq!(balancer.endpoint_count(), 0);
        count
    });
}

/// Guards against an aggregator whose datagrams grow with its data centre until its processor is full.
#[test]
fn an_aggregators_datagrams_a_second_are_bounded_whatever_its_data_centre() {
    for instances in [1, 12, 49, 164, 656, 2_624] {
        let pace = Pace { instances };
        let a_second = |each_us: u64| instances as f64 * 1e6 / each_us as f64;
        let (least, most) = (a_second(pace.quiet_us()), a_second(pace.report_us()));
        assert!(
            least <= 340.0 && most <= 1_010.0,
            "{least} to {most} reports: {instances}"
        );
        let sent = a_second(pace.summary_us());
        assert!(sent <= 410.0, "{sent} summaries: {instances}");
    }
}

/// Returns the messages that a quota server gets a second, once all in a group of `count` lease to it.
fn leases_a_second(count: u32) -> f64 {
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

/// Guards against quota servers whose processors are full of renewals.
#[test]
fn a_quota_servers_renewals_a_second_are_few_up_to_twice_the_fleet() {
    for count in [7, 78, 295, 985, 1_970] {
        let leases = leases_a_second(count);
        assert!(leases <= 520.0, "{leases} a second: {count}");
    }
}

/// Guards against a log line for each of thousands of endpoints at each process that starts.
#[test]
fn lines_on_endpoints_are_bounded_and_those_left_out_are_counted() {
    let mut budget = LineBudget::default();
    let written = (0..3_000).filter(|n| budget.admit(SECOND + n * 10).is_written);
    assert_eq!(written.count(), 200);
    let next = budget.admit(3 * SECOND);
    assert!(next.is_written);
    assert_eq!(next.left_out, 2_800);
}
