//! A request that may not be repeated runs at most once, whichever instance receives it again.

use hyper::StatusCode;

use crate::support::*;

fn three_instances() -> ClusterOptions {
    ClusterOptions {
        instances: 3,
        ..ClusterOptions::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_sent_through_all_instances_at_once_runs_once() {
    let cluster = Cluster::start(three_instances()).await;
    let to: Vec<_> = cluster.instances.iter().map(|i| i.callers).collect();
    let calls =
        (0..60).map(|n| Call::bag_tag(&format!("key-{}", n / 6), &format!("tag {}", n / 6)));
    let answers = send_all(calls.collect(), &to).await;
    cluster.check_responses(&answers);
    assert_eq!(cluster.plain.executions().len(), 10);
    let ok = answers
        .iter()
        .filter(|(_, g)| g.as_ref().unwrap().status == StatusCode::OK)
        .count();
    assert_eq!(ok, 10);
    for (_, got) in answers
        .iter()
        .filter(|(_, g)| g.as_ref().unwrap().status != StatusCode::OK)
    {
        assert_eq!(got.as_ref().unwrap().reason(), "duplicate_key");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_different_organisations_are_independent() {
    let cluster = Cluster::start(three_instances()).await;
    let to = cluster.instances[0].callers;
    let first = Call::bag_tag("same", "of the airline")
        .send(to)
        .await
        .unwrap();
    let other = Call::bag_tag("same", "of the other")
        .with_header("authorization", &format!("Bearer {OTHER_KEY}"));
    let second = other.send(to).await.unwrap();
    assert_eq!(
        (first.status, second.status),
        (StatusCode::OK, StatusCode::OK)
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_whose_write_answer_was_lost_is_found_by_reading() {
    let cluster = Cluster::start(three_instances()).await;
    for n in 0..6 {
        cluster.platform.fault(|f| f.lose_write_answers = 1);
        let to = cluster.instances[n % 3].callers;
        let call = Call::bag_tag(&format!("k{n}"), &format!("t{n}"));
        let got = call.send(to).await.unwrap();
        assert_eq!(
            got.status,
            StatusCode::OK,
            "a claim that took effect was not found: {got:?}"
        );
        let again = call
            .send(cluster.instances[(n + 1) % 3].callers)
            .await
            .unwrap();
        assert_eq!(again.reason(), "duplicate_key");
        cluster.check_responses(&[(call, Some(got))]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn while_the_platform_is_down_keys_are_refused_and_tickets_work() {
    let mut cluster = Cluster::start(three_instances()).await;
    cluster.platform.fault(|f| f.down = true);
    let to = cluster.instances[0].callers;
    let refused = Call::bag_tag("key", "with a key").send(to).await.unwrap();
    assert_eq!(
        (refused.error_type().as_str(), refused.reason().as_str()),
        ("not_run", "claim_unavailable")
    );
    assert!(refused.retry_after.is_some());
    let ticket = Call::new("/v1/tickets", "").send(to).await.unwrap().json();
    let ticket = ticket["ticket"].as_str().unwrap().to_owned();
    // Sends the ticket many times at once, through its issuer and through other instances.
    let others = [
        cluster.instances[1].callers,
        cluster.instances[2].callers,
        to,
    ];
    let calls = vec![Call::bag_tag(&ticket, "with a ticket"); 9];
    let answers = send_all(calls, &others).await;
    cluster.check_responses(&answers);
    let ok = answers
        .iter()
        .filter(|(_, g)| g.as_ref().unwrap().status == StatusCode::OK)
        .count();
    assert_eq!(ok, 1);
    // Without the issuer it cannot be determined whether a ticket was used, so the outcome is unknown and the
    // request does not run.
    let fresh = Call::new("/v1/tickets", "").send(to).await.unwrap().json();
    let fresh = fresh["ticket"].as_str().unwrap().to_owned();
    cluster.instances[0].kill();
    let got = Call::bag_tag(&fresh, "late").send(others[0]).await.unwrap();
    assert_eq!(got.error_type(), "outcome_unknown");
    assert!(!cluster.plain.executions().contains_key("late"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_whose_entry_crashed_is_not_run_again() {
    let mut cluster = Cluster::start(three_instances()).await;
    cluster
        .plain
        .fault(|f| f.delay = std::time::Duration::from_secs(2));
    let to = cluster.instances[0].callers;
    let call = Call::bag_tag("key", "tag");
    let first = tokio::spawn({
        let call = call.clone();
        async move { call.send(to).await }
    });
    wait_until("the request to be executed", async || {
        cluster.plain.executions().contains_key("tag")
    })
    .await;
    cluster.instances[0].kill();
    assert!(
        first.await.unwrap().is_none(),
        "the killed instance answered"
    );
    let again = call.send(cluster.instances[1].callers).await.unwrap();
    assert_eq!(
        (again.error_type().as_str(), again.reason().as_str()),
        ("outcome_unknown", "duplicate_key")
    );
    cluster.check_responses(&[(call, Some(again))]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_paused_and_resumed_claim_holder_runs_the_request_at_most_once() {
    let cluster = Cluster::start(three_instances()).await;
    // The platform is slow, so that the holder is paused while its claim is being written.
    cluster
        .platform
        .fault(|f| f.delay = std::time::Duration::from_millis(400));
    let call = Call::bag_tag("key", "tag");
    let to = cluster.instances[0].callers;
    let first = tokio::spawn({
        let call = call.clone();
        async move { call.send(to).await }
    });
    cluster.instances[0].wait_for_counts(1, 0).await;
    cluster.instances[0].signal("STOP");
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    let again = call.send(cluster.instances[1].callers).await.unwrap();
    cluster.instances[0].signal("CONT");
    let first = first.await.unwrap().expect("an answer");
    cluster.check_responses(&[
        (call.clone(), Some(first.clone())),
        (call, Some(again.clone())),
    ]);
    let ran = [&first, &again]
        .iter()
        .filter(|g| g.status == StatusCode::OK)
        .count();
    assert!(ran <= 1, "{first:?} {again:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_lost_after_the_request_ran_has_unknown_outcome() {
    let cluster = Cluster::start(three_instances()).await;
    cluster.plain.fault(|f| f.lose_answers = 1);
    let call = Call::bag_tag("key", "tag");
    let got = call.send(cluster.instances[0].callers).await.unwrap();
    assert_eq!(got.error_type(), "outcome_unknown");
    let again = call.send(cluster.instances[1].callers).await.unwrap();
    assert_eq!(again.reason(), "duplicate_key");
    cluster.plain.fault(|f| f.cut_answers = 1);
    let cut = Call::bag_tag("key-2", "tag-2");
    let got = cut.send(cluster.instances[0].callers).await;
    assert!(
        got.is_none_or(|g| !g.complete),
        "a cut answer looked complete"
    );
    cluster.check_responses(&[(call, Some(again))]);
}
