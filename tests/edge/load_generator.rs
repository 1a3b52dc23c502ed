//! A load generator: sends requests to all instances of a site at a fixed rate, staggered over the instances.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tokio::{task::JoinSet, time};

use crate::{site::Site, support::CallerResponse};

/// The load on each instance.
#[derive(Clone, Copy)]
pub struct Demand {
    pub path: &'static str,
    pub every: Duration,
    pub lasts: Duration,
    /// How many instances, from the first on, get no requests.
    pub skipped_instances: usize,
}

/// Counts of the responses to requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub served: usize,
    pub refused: usize,
    pub other: usize,
}

impl Outcomes {
    fn count(&mut self, got: &CallerResponse) {
        match got.status {
            StatusCode::OK if got.is_whole => self.served += 1,
            StatusCode::SERVICE_UNAVAILABLE => {
                self.refused += 1;
                eprintln!("refused: {got:?}");
            }
            _ => {
                self.other += 1;
                eprintln!("not served: {got:?}");
            }
        }
    }

    pub fn total(self) -> usize {
        self.served + self.refused + self.other
    }
}

/// Sends requests to the instances, staggered over them, and waits for the responses.
pub async fn send_load(site: &Arc<Site>, demand: Demand) -> Outcomes {
    let mut calls = JoinSet::new();
    let instances = site.callers.len();
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < demand.lasts {
        for instance in demand.skipped_instances..instances {
            let site = site.clone();
            let (id, body) = (format!("r-{instance}-{number}"), format!("work {number}"));
            number += 1;
            let after = demand.every.mul_f64(instance as f64 / instances as f64);
            calls.spawn(async move {
                time::sleep(after).await;
                site.call(instance, demand.path, &id, &body).await
            });
        }
        time::sleep(demand.every).await;
    }
    let mut outcomes = Outcomes::default();
    while let Some(got) = calls.join_next().await {
        outcomes.count(&got.expect("no call panics"));
    }
    outcomes
}

/// Returns the instance to which a request was sent, by its id.
pub fn target_instance(request_id: &str) -> Option<usize> {
    request_id.split('-').nth(1)?.parse().ok()
}
