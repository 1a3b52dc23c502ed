//! Shedding follows the order of tiers across instances: a tier is shed only while no instance keeps a waiting
//! request of a lower one.

use hyper::StatusCode;

use crate::support::*;

/// One slow engine and a low limit on waiting requests.
fn overloaded(instances: usize) -> ClusterOptions {
    ClusterOptions {
        instances,
        engines: vec![slow_engine(1, 5)],
        max_waiting: 10,
        ..ClusterOptions::default()
    }
}

fn calls_of_tier(tier: &str, count: usize) -> Vec<Call> {
    (0..count)
        .map(|n| Call::completion(tier, &format!("{tier} {n}"), 4, false).deadline_ms(100_000))
        .collect()
}

fn shed_count(answers: &[(Call, Option<Response>)]) -> usize {
    let was_shed = |g: &Response| matches!(g.reason().as_str(), "queue_full" | "tier_shed");
    answers
        .iter()
        .filter(|(_, g)| g.as_ref().is_some_and(was_shed))
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_lowest_tier_is_shed_first_and_gets_a_retry_after() {
    let cluster = Cluster::start(overloaded(2)).await;
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let (kiosk, gate) = tokio::join!(
        send_all(calls_of_tier("kiosk", 40), &to),
        send_all(calls_of_tier("gate", 8), &to),
    );
    cluster.check_responses(&kiosk);
    cluster.check_responses(&gate);
    assert!(shed_count(&kiosk) > 0);
    assert_eq!(
        shed_count(&gate),
        0,
        "a higher tier was shed while a lower one was kept"
    );
    assert!(
        gate.iter()
            .all(|(_, g)| g.as_ref().unwrap().status == StatusCode::OK)
    );
    let refused = kiosk
        .iter()
        .filter_map(|(_, g)| g.as_ref())
        .filter(|g| g.error_type() == "not_run");
    assert!(refused.clone().count() > 0);
    for got in refused {
        assert!(got.retry_after.is_some(), "{got:?}");
        assert!(got.json()["error"]["retry_after_ms"].as_u64() > Some(0));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_higher_tier_is_shed_once_no_instance_keeps_a_lower_one() {
    let cluster = Cluster::start(overloaded(3)).await;
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let gate = send_all(calls_of_tier("gate", 60), &to).await;
    cluster.check_responses(&gate);
    assert!(
        shed_count(&gate) > 0,
        "no request was shed, although the limit was exceeded and no lower tier was waiting"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn while_an_instance_is_unreachable_only_the_lowest_tier_is_shed() {
    let cluster = Cluster::start(overloaded(3)).await;
    Call::completion("gate", "first", 1, false)
        .send(cluster.instances[0].callers)
        .await;
    let leader = cluster.leader_of("agent").await;
    let paused = (leader + 1) % 3;
    let entry = (leader + 2) % 3;
    // While a long request occupies the engine, the instance at `paused` holds a waiting request of the lowest
    // tier; then it is stopped and cannot answer the leader.
    let busy_at = cluster.instances[leader].callers;
    let long = vec![Call::completion("gate", "long", 600, false)];
    let busy = tokio::spawn(async move { send_all(long, &[busy_at]).await });
    cluster.instances[leader].wait_for_counts(0, 1).await;
    let kept_at = cluster.instances[paused].callers;
    let kept = tokio::spawn(async move { send_all(calls_of_tier("kiosk", 1), &[kept_at]).await });
    cluster.instances[paused].wait_for_counts(1, 0).await;
    cluster.instances[paused].signal("STOP");
    let to = cluster.instances[entry].callers;
    let gate = send_all(calls_of_tier("gate", 50), &[to]).await;
    assert_eq!(
        shed_count(&gate),
        0,
        "a higher tier was shed while an unreachable instance kept a lower one"
    );
    cluster.instances[paused].signal("CONT");
    let kept = kept.await.unwrap();
    let busy = busy.await.unwrap();
    for answers in [&gate, &kept, &busy] {
        cluster.check_responses(answers);
    }
}
