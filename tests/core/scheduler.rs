//! Tests of `core::scheduler`: changes of registration, late orders, and the order of tiers.

use ryevalve::{
    core::{
        endpoint::EndpointSpec,
        scheduler::{Action, Input, PolicySettings, PoolSpec, Scheduler},
    },
    prelude::*,
};

const LEADER: Incarnation = Incarnation(9);
const ENTRY: Incarnation = Incarnation(1);

fn registration(epoch: u64) -> Registration {
    Registration {
        entry: ENTRY,
        epoch,
    }
}

fn scheduler(slots: u32, max_waiting: usize) -> Scheduler {
    let policy = PolicySettings {
        max_waiting,
        prior_output_tokens: 10,
        ..PolicySettings::default()
    };
    let mut scheduler = Scheduler::new(LEADER, policy);
    scheduler.configure(PoolSpec {
        tiers: 3,
        endpoints: vec![EndpointSpec {
            name: "e".into(),
            hall: "h".into(),
            slots,
            prefill_tokens_per_s: 10_000.0,
            decode_step_us: 1_000.0,
            cache_tokens: 0,
            draining: false,
        }],
        ..PoolSpec::default()
    });
    scheduler.set_confirming_instances(vec![ENTRY]);
    scheduler.handle(0, Input::Attach(registration(1)));
    scheduler
}

fn meta(seq: u64, rank: Rank, remaining_us: Micros) -> RequestMeta {
    RequestMeta {
        id: RequestId { entry: ENTRY, seq },
        organisation: "o".into(),
        rank,
        service: "s".into(),
        prompt_tokens: 100,
        prefix: Vec::new(),
        max_output_tokens: None,
        repeatable: true,
        waited_us: 0,
        remaining_us,
    }
}

fn add(scheduler: &mut Scheduler, epoch: u64, seq: u64, rank: Rank) {
    scheduler.handle(
        0,
        Input::Add(registration(epoch), meta(seq, rank, 60_000_000)),
    );
}

fn decide(scheduler: &mut Scheduler, now_us: Micros) -> Vec<Action> {
    let mut actions = Vec::new();
    scheduler.decide(now_us, &mut actions);
    actions
}

fn granted(actions: &[Action]) -> Vec<u64> {
    let grants = actions.iter().filter_map(|a| match a {
        Action::Grant { id, .. } => Some(id.seq),
        _ => None,
    });
    grants.collect()
}

fn shed(actions: &[Action]) -> Vec<u64> {
    let sheds = actions.iter().filter_map(|a| match a {
        Action::Shed { id, .. } => Some(id.seq),
        _ => None,
    });
    sheds.collect()
}

#[test]
fn rejected_order_of_earlier_registration_loses_no_request() {
    let mut scheduler = scheduler(1, 100);
    add(&mut scheduler, 1, 1, 0);
    assert_eq!(granted(&decide(&mut scheduler, 0)), [1]);
    // The entry registers again while the grant is in flight. The request still waits when the grant arrives.
    scheduler.handle(1, Input::Attach(registration(2)));
    add(&mut scheduler, 2, 1, 0);
    let id = RequestId {
        entry: ENTRY,
        seq: 1,
    };
    scheduler.handle(2, Input::OrderRejected(registration(1), id, false));
    assert_eq!(granted(&decide(&mut scheduler, 3)), [1]);
    scheduler.handle(4, Input::OrderRejected(registration(2), id, false));
    assert_eq!(scheduler.waiting_by_tier(), [0, 0, 0]);
    assert!(scheduler.endpoints().all(|e| e.running == 0));
}

#[test]
fn higher_tiers_are_granted_first() {
    let mut scheduler = scheduler(1, 100);
    for (seq, rank) in [(1, 2), (2, 1), (3, 0)] {
        add(&mut scheduler, 1, seq, rank);
    }
    assert_eq!(granted(&decide(&mut scheduler, 0)), [3]);
}

#[test]
fn over_limit_lowest_tier_is_shed_and_higher_tier_needs_a_level() {
    let mut scheduler = scheduler(1, 2);
    for seq in 1..=6 {
        add(&mut scheduler, 1, seq, if seq > 4 { 2 } else { 0 });
    }
    let actions = decide(&mut scheduler, 0);
    assert_eq!(granted(&actions).len(), 1);
    let mut shed_first = shed(&actions);
    shed_first.sort_unstable();
    assert_eq!(
        shed_first,
        [5, 6],
        "only the lowest tier without a confirmed level"
    );
    let mut latest = actions;
    for now_us in 1.. {
        let Some(Action::RequestLevel(request)) =
            latest.iter().find(|a| matches!(a, Action::RequestLevel(_)))
        else {
            break;
        };
        scheduler.handle(now_us, Input::LevelReply(ENTRY, *request, true));
        latest = decide(&mut scheduler, now_us);
    }
    assert_eq!(shed(&latest).len(), 1, "{latest:?}");
    assert_eq!(scheduler.waiting_by_tier(), [2, 0, 0]);
}

#[test]
fn infeasible_request_of_higher_tier_is_kept_while_lower_tier_waits() {
    let mut scheduler = scheduler(1, 100);
    add(&mut scheduler, 1, 1, 2);
    assert_eq!(granted(&decide(&mut scheduler, 0)), [1]);
    add(&mut scheduler, 1, 2, 2);
    scheduler.handle(0, Input::Add(registration(1), meta(3, 0, 1_000)));
    scheduler.tick(20_000);
    assert_eq!(shed(&decide(&mut scheduler, 20_000)), [] as [u64; 0]);
    assert_eq!(scheduler.waiting_by_tier(), [1, 0, 1]);
}

#[test]
fn infeasible_request_of_lowest_tier_is_shed_at_once() {
    let mut scheduler = scheduler(1, 100);
    scheduler.handle(0, Input::Add(registration(1), meta(1, 2, 1_000)));
    assert_eq!(shed(&decide(&mut scheduler, 0)), [1]);
}

#[test]
fn draining_endpoint_gets_no_grant_and_its_running_requests_still_count() {
    let mut scheduler = scheduler(2, 100);
    add(&mut scheduler, 1, 1, 0);
    assert_eq!(granted(&decide(&mut scheduler, 0)), [1]);
    scheduler.configure(PoolSpec {
        tiers: 3,
        ..PoolSpec::default()
    });
    add(&mut scheduler, 1, 2, 0);
    assert_eq!(granted(&decide(&mut scheduler, 1)), [] as [u64; 0]);
    assert_eq!(scheduler.endpoints().map(|e| e.running).sum::<u32>(), 1);
}
