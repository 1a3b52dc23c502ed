//! Operators' queries and commands, sent to any instance of a cluster.

use ryevalve::operator::log::Status;

use crate::support::*;

#[tokio::test(flavor = "multi_thread")]
async fn any_instance_queries_all_and_lists_those_that_did_not_answer() {
    let mut cluster = Cluster::start(ClusterOptions {
        instances: 3,
        engines: vec![slow_engine(1, 20)],
        ..ClusterOptions::default()
    })
    .await;
    let caller_addrs: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let calls = (0..9).map(|n| Call::completion("gate", &format!("p{n}"), 400, false));
    let sent = tokio::spawn(async move { send_all(calls.collect(), &caller_addrs).await });
    for instance in &cluster.instances {
        wait_until("three to be held", async || {
            let state = instance.dump().await;
            state["waiting"].as_u64().unwrap_or(0) + state["running"].as_u64().unwrap_or(0) == 3
        })
        .await;
    }
    wait_until("eight to wait", async || {
        let reply = cluster.instances[0].command("queued count").await;
        reply.rows[0]["count"] == 8
    })
    .await;
    let reply = cluster.instances[1]
        .command("queued where tier = gate group by instance count")
        .await;
    assert!(reply.missing.is_empty());
    let total: u64 = reply
        .rows
        .iter()
        .map(|r| r["count"].as_u64().unwrap())
        .sum();
    assert_eq!(total, 8);
    let reply = cluster.instances[1]
        .command("queued order by age_ms desc limit 2")
        .await;
    assert_eq!((reply.rows.len(), reply.left_out), (2, 6));
    let metrics = cluster.instances[0].get("/metrics").await;
    let line = metrics
        .lines()
        .find(|l| l.starts_with("ryevalve_waiting{tier=\"gate\"}"));
    assert!(line.is_some_and(|l| !l.ends_with(" 0")), "{line:?}");
    let id = reply.rows[0]["id"].as_str().unwrap().to_owned();
    // The entry instance counts a request as queued before the pool's leader has decided that it waits. Until then
    // `why` answers only that the entry instance holds it.
    wait_until("its leader to say why it waits", async || {
        let why = cluster.instances[0].command(&format!("why {id}")).await;
        format!("{why:?}").contains("endpoints have room")
    })
    .await;
    let cancelled = cluster.instances[2].command(&format!("cancel {id}")).await;
    assert_eq!(cancelled.status, Status::Done);
    wait_until("the cancelled one to be gone", async || {
        cluster.instances[0].command("queued count").await.rows[0]["count"] == 7
    })
    .await;
    cluster.instances[2].kill();
    let reply = cluster.instances[0].command("queued count").await;
    assert_eq!(reply.missing, ["i3"], "a partial answer was shown as whole");
    cluster.instances[0].kill();
    cluster.instances[1].kill();
    cluster.check_responses(&sent.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_can_query_but_not_change_and_wrong_keys_are_rejected() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let one = &cluster.instances[0];
    let queried = one
        .command_as(READER_KEY, "show instances", None)
        .await
        .unwrap();
    assert_eq!(queried.rows.len(), 2);
    let ordered = one
        .command_as(READER_KEY, "drain endpoint agent-1", None)
        .await
        .unwrap();
    assert_eq!(ordered.status, Status::Refused);
    let wrong = one.command_as("wrong", "show instances", None).await;
    assert!(wrong.unwrap_err().contains("key"));
    let callers = one.command_as(CALLER_KEY, "show instances", None).await;
    assert!(callers.is_err(), "a caller's key is no operator's");
    let dump = one.dump().await.to_string();
    for key in [
        CALLER_KEY,
        OPERATOR_KEY,
        READER_KEY,
        "cluster-key-of-the-tests",
    ] {
        assert!(!dump.contains(key), "a key is in the dump");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_orders_carry_increasing_fences_and_weight_loads_are_rate_limited() {
    let cluster = Cluster::start(ClusterOptions {
        extra_toml: "[policy]\nweight_loads_per_minute = 2\n".to_owned(),
        ..ClusterOptions::default()
    })
    .await;
    let order = "order endpoint agent-1 load model m1";
    let first = cluster.instances[0].command(order).await;
    assert_eq!(
        (first.status, first.message.contains("fence 1")),
        (Status::Done, true),
        "{first:?}"
    );
    let second = cluster.instances[1]
        .command("order endpoint agent-2 load adapter a")
        .await;
    assert_eq!(second.status, Status::Done);
    let third = cluster.instances[0].command(order).await;
    assert_eq!(
        third.status,
        Status::Refused,
        "over the weight store's rate"
    );
    let role = cluster.instances[1]
        .command("order endpoint agent-1 role prefill")
        .await;
    assert_eq!(
        (role.status, role.message.contains("fence 3")),
        (Status::Done, true),
        "{role:?}"
    );
    assert_eq!(
        cluster.engines[0].counts().orders,
        ["load model m1", "role prefill"]
    );
    cluster.platform.fault(|f| f.down = true);
    let down = cluster.instances[0]
        .command("order endpoint agent-1 role decode")
        .await;
    assert_eq!(down.status, Status::Refused);
    assert!(down.message.contains("nothing was ordered"), "{down:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn instance_can_be_stopped_through_another() {
    let mut cluster = Cluster::start(ClusterOptions::default()).await;
    let reply = cluster.instances[0].command("stop instance i2").await;
    assert_eq!(reply.status, Status::Done, "{reply:?}");
    assert_eq!(cluster.instances[1].wait_exit().await, Some(0));
    let unknown_instance = cluster.instances[0].command("stop instance i7").await;
    assert_eq!(unknown_instance.status, Status::Refused);
}
