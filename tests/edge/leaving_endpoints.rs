//! An endpoint that says in an answer that it leaves is sent nothing more.
//!
//! The story: on a day of six instances an endpoint said in its answers that it leaves while the store was away, so
//! that its entry still was `ready`. For as long as the store did not have its word in the entry, 13 s, requests
//! reached it, from the instance that had passed such an answer on as well; their callers were served, and would not
//! have been had it ended meanwhile. The evidence: no part of the program read the word; with the word read and written
//! to the log, as now, each instance had been told, and each sent on as before.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;

use crate::{
    pressing::{Demand, press},
    site::Site,
};

/// How long an endpoint may be sent requests after its word; the others are told by then, too.
const TOLD: Duration = Duration::from_secs(2);

const PLAIN: Demand = Demand {
    path: "/again/w",
    every: Duration::from_millis(150),
    lasts: Duration::from_secs(4),
    spared: 0,
};

/// Returns how many requests reached an endpoint after a moment.
fn arrivals(site: &Site, endpoint: usize, from: Instant) -> usize {
    let seen = site.runners[endpoint].seen();
    seen.iter().filter(|s| s.at > from).count()
}

/// Seven instances, the store away: one endpoint of three leaves, the others get all, and no caller loses.
#[tokio::test(flavor = "multi_thread")]
async fn an_endpoint_that_says_that_it_leaves_is_sent_nothing_more_while_the_store_is_away() {
    let site = Arc::new(Site::start(50, 7, 3).await);
    press(&site, PLAIN).await;
    site.platform.fault(|f| f.down = true);
    site.runners[0].say_leaving(Some("1"));
    let said = Instant::now();
    let ended = press(&site, PLAIN).await;
    let late = arrivals(&site, 0, said + TOLD);
    assert_eq!(late, 0, "requests after {TOLD:?}");
    assert_eq!(ended.served, ended.all(), "{ended:?}");
    site.platform.fault(|f| f.down = false);
    time::sleep(Duration::from_secs(1)).await;
    press(&site, PLAIN).await;
    let late = arrivals(&site, 0, said + TOLD);
    assert_eq!(
        late, 0,
        "requests when the store is back, its entry `ready`"
    );
}
