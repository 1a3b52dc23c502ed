//! Behaviour when instances are killed, paused or shut down, an endpoint closes or the platform is down.

use std::time::Duration;

use hyper::StatusCode;

use crate::support::*;

/// Engines so slow that a leader can be killed while requests are queued and running.
fn busy_cluster(instances: usize) -> ClusterOptions {
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

/// Runs `fail_leader` while requests are queued at the other instances, and checks that each of these
/// requests is answered completely.
async fn check_others_lose_nothing(fail_leader: impl AsyncFnOnce(&mut Cluster, usize)) {
    let mut cluster = Cluster::start(busy_cluster(3)).await;
    Call::completion("gate", "first", 1, false)
        .send(cluster.instances[0].callers)
        .await;
    let leader = cluster.leader_of("agent").await;
    let others: Vec<_> = (0..3).filter(|n| *n != leader).collect();
    let to: Vec<_> = others
        .iter()
        .map(|n| cluster.instances[*n].callers)
        .collect();
    let sending = tokio::spawn(async move { send_all(calls(60, 10), &to).await });
    for n in &others {
        wait_until("requests to be queued", async || {
            cluster.instances[*n].dump().await["waiting"].as_u64() > Some(10)
        })
        .await;
    }
    fail_leader(&mut cluster, leader).await;
    let responses = sending.await.unwrap();
    cluster.check_responses(&responses);
    for (_, response) in &responses {
        let response = response.as_ref().expect("a response");
        assert!(
            response.status == StatusCode::OK && response.complete,
            "lost when the leader failed: {response:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn killing_the_leader_loses_no_request_of_other_instances() {
    check_others_lose_nothing(async |cluster, leader| cluster.instances[leader].kill()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_leader_dispatches_no_request_twice() {
    check_others_lose_nothing(async |cluster, leader| {
        cluster.instances[leader].signal("STOP");
        let other = (leader + 1) % 3;
        wait_until("the paused leader to be seen as dead", async || {
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
async fn killing_the_leader_and_another_instance_leaves_the_others_serving() {
    let mut cluster = Cluster::start(busy_cluster(4)).await;
    Call::completion("gate", "first", 1, false)
        .send(cluster.instances[0].callers)
        .await;
    let leader = cluster.leader_of("agent").await;
    let entry = (leader + 1) % 4;
    let survivors: Vec<_> = (0..4).filter(|n| *n != leader && *n != entry).collect();
    let addrs: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let surviving_addrs: Vec<_> = survivors.iter().map(|n| addrs[*n]).collect();
    let killed_addrs = vec![addrs[leader], addrs[entry]];
    let killed_responses =
        tokio::spawn(async move { send_all(calls(30, 10), &killed_addrs).await });
    let surviving_responses =
        tokio::spawn(async move { send_all(calls(30, 10), &surviving_addrs).await });
    wait_until("requests to be queued", async || {
        cluster.instances[survivors[0]].dump().await["waiting"].as_u64() > Some(4)
    })
    .await;
    cluster.instances[leader].kill();
    cluster.instances[entry].kill();
    // Callers connected to a killed instance see a broken connection, never a response that looks complete.
    let killed_responses = killed_responses.await.unwrap();
    let surviving_responses = surviving_responses.await.unwrap();
    cluster.check_responses(&killed_responses);
    cluster.check_responses(&surviving_responses);
    for (_, response) in &surviving_responses {
        assert!(
            response
                .as_ref()
                .is_some_and(|r| r.status == StatusCode::OK && r.complete),
            "{response:?}"
        );
    }
    // New processes with the same names replace the killed instances.
    cluster.instances[leader].spawn();
    cluster.instances[entry].spawn();
    cluster.wait_for_membership().await;
    let response = Call::completion("gate", "again", 2, false)
        .send(addrs[leader])
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_accepted_requests() {
    let mut cluster = Cluster::start(busy_cluster(2)).await;
    let to = cluster.instances[0].callers;
    let sending = tokio::spawn(async move { send_all(calls(20, 20), &[to]).await });
    cluster.instances[0].wait_for_counts(16, 4).await;
    cluster.instances[0].signal("TERM");
    let operators = cluster.instances[0].operators;
    wait_until("the readiness probe to fail", async || {
        let probe = Call::new("/readyz", "");
        probe
            .send(operators)
            .await
            .is_none_or(|r| r.status != StatusCode::OK)
    })
    .await;
    let responses = sending.await.unwrap();
    cluster.check_responses(&responses);
    for (_, response) in &responses {
        let response = response.as_ref().expect("a response");
        assert!(
            response.status == StatusCode::OK && response.complete,
            "cut off by the shutdown: {response:?}"
        );
    }
    assert_eq!(cluster.instances[0].wait_exit().await, Some(0));
    let remaining = &cluster.instances[1];
    wait_until(
        "the stopped instance to be seen as having left",
        async || {
            let state = remaining.dump().await;
            state["peers"]["members"]
                .as_array()
                .unwrap()
                .iter()
                .any(|m| m["liveness"] == "Left")
        },
    )
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_applies_on_every_instance_while_the_platform_is_down() {
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
    let responses = send_all(calls(60, 3), &to).await;
    cluster.check_responses(&responses);
    assert!(
        responses
            .iter()
            .all(|(_, r)| r.as_ref().is_some_and(|r| r.status == StatusCode::OK))
    );
    assert_eq!(
        cluster.engines[0].counts().starts.len(),
        before,
        "requests were started on a drained endpoint"
    );
    let reply = cluster.instances[2]
        .command("undrain endpoint agent-1")
        .await;
    assert!(reply.message.contains("in force on 3 of 3"), "{reply:?}");
    let responses = send_all(calls(60, 3), &to).await;
    cluster.check_responses(&responses);
    assert!(
        cluster.engines[0].counts().starts.len() > before,
        "the endpoint is still drained"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn instances_join_and_leave_while_the_platform_is_down() {
    let mut cluster = Cluster::start(ClusterOptions {
        instances: 3,
        ..ClusterOptions::default()
    })
    .await;
    cluster.platform.fault(|f| f.down = true);
    cluster.instances[0].kill();
    let to = [cluster.instances[1].callers, cluster.instances[2].callers];
    let responses = send_all(calls(60, 3), &to).await;
    assert!(
        responses
            .iter()
            .all(|(_, r)| r.as_ref().is_some_and(|r| r.status == StatusCode::OK))
    );
    // The restarted instance gets its configuration from its peers, which it finds only through `--seeds`.
    let seeds = format!(
        "{},{}",
        cluster.instances[1].peers, cluster.instances[2].peers
    );
    cluster.instances[0].add_flags(&["--seeds", &seeds]);
    cluster.instances[0].spawn();
    cluster.wait_for_membership().await;
    let version = &cluster.instances[0].dump().await["config_version"];
    assert_eq!(*version, 1);
    let response = Call::completion("gate", "x", 2, false)
        .send(cluster.instances[0].callers)
        .await;
    assert_eq!(response.unwrap().status, StatusCode::OK);
    cluster.instances[1].signal("TERM");
    assert_eq!(cluster.instances[1].wait_exit().await, Some(0));
    cluster.check_responses(&responses);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_for_a_closed_endpoint_run_on_another() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    // The listener closes, so connecting fails before any request is sent and another endpoint can run it.
    drop(cluster.engines.remove(0));
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let responses = send_all(calls(40, 3), &to).await;
    cluster.check_responses(&responses);
    for (_, response) in &responses {
        assert!(
            response
                .as_ref()
                .is_some_and(|r| r.status == StatusCode::OK && r.complete),
            "{response:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_deadline_passes_in_the_queue_never_runs() {
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
    let response = short.send(to).await.unwrap();
    assert_eq!(
        (response.status.as_u16(), response.reason().as_str()),
        (504, "deadline_passed")
    );
    let long = long.await.unwrap();
    cluster.check_responses(&[
        (short, Some(response)),
        (Call::completion("gate", "long", 300, false), long),
    ]);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(cluster.starts().len(), 1);
}
