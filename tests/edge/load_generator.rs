//! Callers that send requests to all instances of a site, each at its own moments.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use hyper::StatusCode;
use tokio::{task::JoinSet, time};

use crate::{site::Site, support::Got};

/// When callers send requests to each instance.
#[derive(Clone, Copy)]
pub struct Demand {
    pub path: &'static str,
    pub every: Duration,
    pub lasts: Duration,
    /// Instances that get none, from the first on.
    pub skipped_instances: usize,
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcomes {
    pub served: usize,
    pub refused: usize,
    pub other: usize,
}

impl Outcomes {
    fn note(&mut self, got: &Got) {
        match got.status {
            StatusCode::OK if got.is_whole => self.served += 1,
            StatusCode::SERVICE_UNAVAILABLE => self.refused += 1,
            _ => self.other += 1,
        }
    }

    pub fn all(self) -> usize {
        self.served + self.refused + self.other
    }
}

/// Sends requests to all instances, each at its own moments, and waits for their answers.
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
    let mut ended = Outcomes::default();
    while let Some(got) = calls.join_next().await {
        ended.note(&got.expect("no call panics"));
    }
    ended
}

/// Returns the instance to which a request was sent, by its id.
pub fn target_instance(request_id: &str) -> Option<usize> {
    request_id.split('-').nth(1)?.parse().ok()
}
