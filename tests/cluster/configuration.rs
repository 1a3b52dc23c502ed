//! Configuration versions are totally ordered: an accepted change applies on every instance, and no
//! instance returns to an older version.

use ryevalve::{
    distribution::{CONFIG_KEY, StoredConfig},
    operator::log::Status,
};

use crate::support::*;

fn three_instances() -> ClusterOptions {
    ClusterOptions {
        instances: 3,
        ..ClusterOptions::default()
    }
}

async fn config_versions(cluster: &Cluster) -> Vec<u64> {
    let mut versions = Vec::new();
    for instance in cluster.running() {
        versions.push(
            instance.dump().await["config_version"]
                .as_u64()
                .unwrap_or(0),
        );
    }
    versions
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_change_applies_on_every_instance() {
    let cluster = Cluster::start(three_instances()).await;
    for n in 0..5 {
        let text = format!("set endpoint {{ name = \"agent-1\", slots = {} }}", n + 2);
        let reply = cluster.instances[n % 3].command(&text).await;
        assert_eq!(reply.status, Status::Done, "{reply:?}");
        assert!(reply.message.contains("in force on 3 of 3"), "{reply:?}");
        assert_eq!(config_versions(&cluster).await, [n as u64 + 2; 3]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_changes_wins_and_the_refusals_name_its_author() {
    let cluster = Cluster::start(three_instances()).await;
    let send_command = |n: usize| {
        let text = format!(
            "set endpoint at version 1 {{ name = \"agent-1\", slots = {} }}",
            n + 2
        );
        let instance = &cluster.instances[n];
        async move { instance.command(&text).await }
    };
    let (a, b, c) = tokio::join!(send_command(0), send_command(1), send_command(2));
    let replies = [a, b, c];
    let accepted = replies.iter().filter(|r| r.status == Status::Done).count();
    assert_eq!(accepted, 1, "{replies:?}");
    for reply in replies.iter().filter(|r| r.status != Status::Done) {
        assert_eq!(reply.status, Status::Refused);
        assert!(
            reply.message.contains("version 2 was made by operator-key"),
            "{reply:?}"
        );
    }
    assert_eq!(config_versions(&cluster).await, [2; 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_whose_write_response_is_lost_applies_once_per_command_id() {
    let cluster = Cluster::start(three_instances()).await;
    cluster.platform.fault(|f| f.lose_write_answers = 1);
    let text = "set endpoint { name = \"agent-1\", slots = 5 }";
    let first = cluster.instances[0]
        .command_as(OPERATOR_KEY, text, Some("id-1"))
        .await
        .unwrap();
    assert_eq!(first.status, Status::Done, "{first:?}");
    let repeated = cluster.instances[1]
        .command_as(OPERATOR_KEY, text, Some("id-1"))
        .await
        .unwrap();
    assert_eq!(repeated.status, Status::Done);
    let (_, value) = cluster.platform.get(CONFIG_KEY).unwrap();
    let stored = StoredConfig::read(&value).unwrap();
    assert_eq!((stored.version, stored.history.len()), (2, 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_is_refused_with_the_reason_while_the_platform_is_down() {
    let cluster = Cluster::start(three_instances()).await;
    cluster.platform.fault(|f| f.down = true);
    let reply = cluster.instances[0]
        .command("remove endpoint agent-2")
        .await;
    assert_eq!(reply.status, Status::Refused);
    assert!(reply.message.contains("platform"), "{reply:?}");
    assert_eq!(config_versions(&cluster).await, [1; 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_stored_version_or_a_restart_in_an_outage_never_reverts_the_configuration() {
    let mut cluster = Cluster::start(three_instances()).await;
    let reply = cluster.instances[0]
        .command("set endpoint { name = \"agent-1\", slots = 3 }")
        .await;
    assert_eq!(reply.status, Status::Done);
    // An older version is written to the platform: no instance may apply it.
    let older = StoredConfig {
        version: 1,
        ..StoredConfig::read(&cluster.platform.get(CONFIG_KEY).unwrap().1).unwrap()
    };
    cluster.platform.put(CONFIG_KEY, older.write());
    cluster.platform.fault(|f| f.down = true);
    cluster.instances[1].kill();
    let seeds = format!(
        "{},{}",
        cluster.instances[0].peers, cluster.instances[2].peers
    );
    cluster.instances[1].add_flags(&["--seeds", &seeds]);
    cluster.instances[1].spawn();
    cluster.wait_for_membership().await;
    assert_eq!(config_versions(&cluster).await, [2; 3]);
    cluster.platform.fault(|f| f.down = false);
    tokio::time::sleep(std::time::Duration::from_millis(2_500)).await;
    assert_eq!(config_versions(&cluster).await, [2; 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_change_is_refused_with_all_its_errors() {
    let cluster = Cluster::start(ClusterOptions::default()).await;
    let text = "set endpoint { name = \"agent-1\", pool = \"agnet\", hall = \"nrod\" }";
    let reply = cluster.instances[0].command(text).await;
    assert_eq!(reply.status, Status::BadInput);
    assert!(reply.message.contains("did you mean `agent`?"), "{reply:?}");
    assert!(reply.message.contains("did you mean `nord`?"), "{reply:?}");
}
