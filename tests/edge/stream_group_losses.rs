//! Streams that are taken up after the loss of a part of a group, of a large group, or beside a silent store.

use std::time::Duration;

use tokio::time;

use crate::{
    site::Site,
    stream_losses::{
        ENDPOINTS, MIN_WHOLE, OLD, STREAMS, count_after_loss, count_taken_up, take_up_all,
    },
    stream_versions::{TWO_VERSIONS, begin_streams},
};

/// Time in which instances write the versions and the origins.
const WRITTEN: Duration = Duration::from_secs(1);

/// Loses a third of the instances beside two versions, of which the old one leaves or stays, and checks what is taken up.
async fn lose_data_centre(net: u8, instances: usize, leaves: bool) {
    let mut site = Site::start(net, instances, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    let begun = begin_streams(&site, 0, "centre", STREAMS).await;
    time::sleep(WRITTEN).await;
    site.kill_data_centre("a");
    if leaves {
        let old = OLD.map(|index| format!("e{index}-0"));
        for id in &old {
            site.platform.remove("servers", id);
        }
        site.until_gone(&old.each_ref().map(|id| &**id)).await;
    }
    let counts = count_taken_up(&site, "centre", begun).await;
    assert_eq!(counts.mixed, 0, "{instances} instances: {counts:?}");
    let min_whole = if leaves { STREAMS / 4 } else { MIN_WHOLE };
    assert!(
        counts.whole >= min_whole,
        "{instances} instances: {counts:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_are_not_joined_after_the_loss_of_a_data_centre_beside_two_versions() {
    for (net, instances) in [(223, 7), (224, 18)] {
        lose_data_centre(net, instances, false).await;
    }
    lose_data_centre(225, 7, true).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_large_group_are_not_joined_after_the_loss_of_a_data_centre() {
    lose_data_centre(226, 32, false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_large_group_are_not_joined_after_the_loss_of_all_instances() {
    let mut site = Site::start(227, 32, ENDPOINTS).await;
    site.set_versions(&TWO_VERSIONS).await;
    let counts = count_after_loss(&mut site, "large", &TWO_VERSIONS, |_| {}).await;
    assert_eq!(counts.mixed, 0, "{counts:?}");
    assert!(counts.whole >= MIN_WHOLE, "{counts:?}");
}

/// Guards against refusals by a whole group that cannot ask the store.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_while_the_store_is_silent() {
    for (net, instances) in [(228, 7), (229, 18)] {
        let mut site = Site::start(net, instances, ENDPOINTS).await;
        site.set_versions(&["v1"]).await;
        let begun = begin_streams(&site, 1, "silent", STREAMS).await;
        site.platform.fault(|faults| faults.silent = true);
        time::sleep(Duration::from_millis(200)).await;
        site.kill_first();
        let (_, whole) = take_up_all(&site, begun).await;
        assert!(whole >= MIN_WHOLE, "{instances} instances: {whole} whole");
    }
}

/// Guards against refusals by the few instances that are left of a group, though the store tells them the versions.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_the_only_version_go_on_at_the_two_instances_that_are_left() {
    let mut site = Site::start(231, 7, ENDPOINTS).await;
    site.set_versions(&["v1"]).await;
    let begun = begin_streams(&site, 6, "left", STREAMS).await;
    for _ in 0..5 {
        site.kill_first();
    }
    let (_, whole) = take_up_all(&site, begun).await;
    assert!(whole >= MIN_WHOLE, "{whole} whole");
}
