//! Instances die, are paused or stopped; endpoints leave; the platform is away.

use std::time::Duration;

use hyper::StatusCode;

use crate::support::*;

/// Long enough that a leader can be killed while requests wait and run.
fn busy_plan(instances: usize) -> ClusterOptions {
    ClusterOptions {
        instances,
        engines: vec![slow_engine(2, 10), slow_engine(2, 10)],
        ..ClusterOptions::default()
    }
}

fn calls(count: usize, tokens: u32) -> Vec<Call> {
    let tiers = ["gate", "counter", "kiosk"];
    (0..count)
        .map(|n| Call::completion(tiers[n % 3], &format!("p{n}"), tokens, n % 2 == 0))
        .collect()
}

/// Kills or pauses the leader while requests wait at the others; all of those are answered.
async fn others_lose_nothing(act: impl AsyncFnOnce(&mut Cluster, usize)) {
    let mut cluster = Cluster::start(busy_plan(3)).await;
    Call::completion("gate", "first", 1, false)
        .send(cluster.instances[0].callers)
        .await;
    let leader = cluster.leader_of("agent").await;
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    let to: Vec<_> = others
        .iter()
        .map(|n| cluster.instances[*n].callers)
        .collect();
    let sent = tokio::spawn(async move { send_all(calls(60, 10), &to).await });
    for n in &others {
        wait_until("requests to wait", async || {
            cluster.instances[*n].dump().await["waiting"].as_u64() > Some(10)
        })
        .await;
    }
    act(&mut cluster, leader).await;
    let answers = sent.await.unwrap();
    cluster.check_answers(&answers);
    for (_, got) in &answers {
        let got = got.as_ref().expect("an answer");
        assert!(
            got.status == StatusCode::OK && got.complete,
            "lost with the leader: {got:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_leader_loses_no_request_of_the_others() {
    others_lose_nothing(async |cluster, leader| cluster.instances[leader].kill()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_leader_that_goes_on_sends_nothing_twice() {
    others_lose_nothing(async |cluster, leader| {
        cluster.instances[leader].signal("STOP");
        let other = (leader + 1) % 3;
        wait_until("another leader", async || {
            let state = cluster.instances[other].dump().await;
            let members = state["peers"]["members"]
                .as_array()
                .cloned()
                .unwrap_or_default();
            members.iter().any(|m| m["liveness"] == "Dead")
        })
        .await;
        cluster.instances[leader].signal("CONT");
        cluster.wait_for_membership().await;
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_entry_and_leader_at_once_leave_the_rest_serving() {
    let mut cluster = Cluster::start(busy_plan(4)).await;
    Call::completion("gate", "first", 1, false)
        .send(cluster.instances[0].callers)
        .await;
    let leader = cluster.leader_of("agent").await;
    let entry = (leader + 1) % 4;
    let rest: Vec<_> = (0..4).filter(|n| *n != leader && *n != entry).collect();
    let all: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let to_rest: Vec<_> = rest.iter().map(|n| all[*n]).collect();
    let to_dying = vec![all[leader], all[entry]];
    let dying = tokio::spawn(async move { send_all(calls(30, 10), &to_dying).await });
    let living = tokio::spawn(async move { send_all(calls(30, 10), &to_rest).await });
    wait_until("requests to wait", async || {
        cluster.instances[rest[0]].dump().await["waiting"].as_u64() > Some(4)
    })
    .await;
    cluster.instances[leader].kill();
    cluster.instances[entry].kill();
    // Those who held a connection to the dead see it broken, never a finished answer.
    let dying = dying.await.unwrap();
    let living = living.await.unwrap();
    cluster.check_answers(&dying);
    cluster.check_answers(&living);
    for (_, got) in &living {
        assert!(
            got.as_ref()
                .is_some_and(|g| g.status == StatusCode::OK && g.complete),
            "{got:?}"
        );
    }
    // A fresh start under the same name takes its place.
    cluster.instances[leader].spawn();
    cluster.instances[entry].spawn();
    cluster.wait_for_membership().await;
    let got = Call::completion("gate", "again", 2, false)
        .send(all[leader])
        .await
        .unwrap();
    assert_eq!(got.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut cluster = Cluster::start(busy_plan(2)).await;
    let to = cluster.instances[0].callers;
    let sent = tokio::spawn(async move { send_all(calls(20, 20), &[to]).await });
    cluster.instances[0].wait_for_counts(16, 4).await;
    cluster.instances[0].signal("TERM");
    let operators = cluster.instances[0].operators;
    wait_until("not ready to be seen", async || {
        let raw = Call::new("/readyz", "");
        raw.send(operators)
            .await
            .is_none_or(|g| g.status != StatusCode::OK)
    })
    .await;
    let answers = sent.await.unwrap();
    cluster.check_answers(&answers);
    for (_, got) in &answers {
        let got = got.as_ref().expect("an answer");
        assert!(
            got.status == StatusCode::OK && got.complete,
            "cut off by the stop: {got:?}"
        );
    }
    assert_eq!(cluster.instances[0].wait_exit().await, Some(0));
    let left = &cluster.instances[1];
    wait_until("the one that left to be known as gone", async || {
        let state = left.dump().await;
        state["peers"]["members"]
            .as_array()
            .unwrap()
            .iter()
            .any(|m| m["liveness"] == "Left")
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_holds_everywhere_with_the_platform_down() {
    let cluster = Cluster::start(ClusterOptions {
        instances: 3,
        ..ClusterOptions::default()
    })
    .await;
    cluster.platform.fault(|f| f.down = true);
    let reply = cluster.instances[1].command("drain endpoint agent-1").await;
    assert!(reply.message.contains("in force on 3 of 3"), "{reply:?}");
    let before = cluster.engines[0].counts().starts.len();
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let answers = send_all(calls(60, 3), &to).await;
    cluster.check_answers(&answers);
    assert!(
        answers
            .iter()
            .all(|(_, g)| g.as_ref().is_some_and(|g| g.status == StatusCode::OK))
    );
    assert_eq!(
        cluster.engines[0].counts().starts.len(),
        before,
        "new work on a drained endpoint"
    );
    let reply = cluster.instances[2]
        .command("undrain endpoint agent-1")
        .await;
    assert!(reply.message.contains("in force on 3 of 3"), "{reply:?}");
    let answers = send_all(calls(60, 3), &to).await;
    cluster.check_answers(&answers);
    assert!(
        cluster.engines[0].counts().starts.len() > before,
        "still drained"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn serving_goes_on_while_the_platform_is_away_and_instances_come_and_go() {
    let mut cluster = Cluster::start(ClusterOptions {
        instances: 3,
        ..ClusterOptions::default()
    })
    .await;
    cluster.platform.fault(|f| f.down = true);
    cluster.instances[0].kill();
    let to = [cluster.instances[1].callers, cluster.instances[2].callers];
    let answers = send_all(calls(60, 3), &to).await;
    assert!(
        answers
            .iter()
            .all(|(_, g)| g.as_ref().is_some_and(|g| g.status == StatusCode::OK))
    );
    // A fresh instance learns everything from its peers; only its seeds say where they are.
    let seeds = format!(
        "{},{}",
        cluster.instances[1].peers, cluster.instances[2].peers
    );
    cluster.instances[0].add_flags(&["--seeds", &seeds]);
    cluster.instances[0].spawn();
    cluster.wait_for_membership().await;
    let version = &cluster.instances[0].dump().await["config_version"];
    assert_eq!(*version, 1);
    let got = Call::completion("gate", "x", 2, false)
        .send(cluster.instances[0].callers)
        .await;
    assert_eq!(got.unwrap().status, StatusCode::OK);
    cluster.instances[1].signal("TERM");
    assert_eq!(cluster.instances[1].wait_exit().await, Some(0));
    cluster.check_answers(&answers);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_is_gone_gets_what_was_not_sent_elsewhere() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    // Its listener closes: connects fail, so nothing was sent, and the requests go elsewhere.
    drop(cluster.engines.remove(0));
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let answers = send_all(calls(40, 3), &to).await;
    cluster.check_answers(&answers);
    for (_, got) in &answers {
        assert!(
            got.as_ref()
                .is_some_and(|g| g.status == StatusCode::OK && g.complete),
            "{got:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_expired_request_did_not_run() {
    let cluster = Cluster::start(ClusterOptions {
        instances: 1,
        engines: vec![slow_engine(1, 20)],
        ..ClusterOptions::default()
    })
    .await;
    let to = cluster.instances[0].callers;
    let long =
        tokio::spawn(async move { Call::completion("gate", "long", 300, false).send(to).await });
    cluster.instances[0].wait_for_counts(0, 1).await;
    let short = Call::completion("gate", "short", 1, false).deadline_ms(200);
    let got = short.send(to).await.unwrap();
    assert_eq!(
        (got.status.as_u16(), got.reason().as_str()),
        (504, "deadline_passed")
    );
    let long = long.await.unwrap();
    cluster.check_answers(&[
        (short, Some(got)),
        (Call::completion("gate", "long", 300, false), long),
    ]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(cluster.starts().len(), 1);
}
