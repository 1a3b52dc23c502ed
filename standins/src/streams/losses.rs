//! Losses of all instances at once, beside endpoints of two versions that stay or are replaced.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{
    stream_check,
    streams::{Ends, World, caller::StreamRead},
};

/// Pause before the first loss, in milliseconds.
const FIRST_PAUSE_MS: std::ops::Range<u64> = 600..2_000;
/// Pause from the return to the next loss, in milliseconds; the attempts to take up streams fit in.
const PAUSE_MS: std::ops::Range<u64> = 4_500..6_000;
/// How long all instances are down.
const DOWNTIME: Duration = Duration::from_millis(1_200);
/// Time between the starts of two instances, in milliseconds.
const START_PAUSE_MS: std::ops::Range<u64> = 0..80;
/// Time from the first endpoint that leaves to the loss, in milliseconds.
const LEAVE_BEFORE_MS: std::ops::Range<u64> = 0..1_000;
/// Time from the loss to the first endpoint that leaves, in milliseconds.
const LEAVE_AFTER_MS: std::ops::Range<u64> = 0..800;
/// Of ten streams whose version serves, so many go on at least.
const MIN_WHOLE_OF_TEN: usize = 9;

/// A loss of all instances.
#[derive(Clone, Copy, Debug)]
struct Loss {
    killed_at: Instant,
    /// When the last instance was started again.
    back_at: Instant,
}

/// What the losses of a run coincided with.
#[derive(Debug, Default)]
pub(super) struct Losses {
    losses: Vec<Loss>,
    /// When the first endpoint of a version left that was replaced.
    left_at: HashMap<String, Instant>,
}

/// Streams that began before a loss of all instances and were taken up after it, whose version served from the return of
/// the instances until the last attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct TakenUp {
    pub streams: usize,
    pub whole: usize,
    /// Streams whose last attempt was refused.
    pub refused: usize,
    /// How long the oldest of these had run at the loss, in milliseconds.
    pub oldest_refused_ms: u128,
}

impl TakenUp {
    /// Returns whether enough streams went on.
    pub fn holds(&self) -> bool {
        self.whole * 10 >= self.streams * MIN_WHOLE_OF_TEN
    }

    pub(super) fn add(&mut self, read: &StreamRead, is_right: bool, age: Duration) {
        let is_complete = read.answers.last().is_some_and(|a| a.is_complete);
        self.streams += 1;
        self.whole += usize::from(is_complete && is_right);
        if read.was_refused {
            self.refused += 1;
            self.oldest_refused_ms = self.oldest_refused_ms.max(age.as_millis());
        }
    }
}

impl Losses {
    /// Returns how long a stream had run at a loss, if it was taken up after it while its version served and instances
    /// ran.
    pub(super) fn age_if_owed(&self, read: &StreamRead) -> Option<Duration> {
        let began_at = read.began_at?;
        let mut losses = self.losses.iter().rev();
        let last = losses.find(|loss| loss.killed_at < read.ended_at)?;
        let left_at = stream_check::began_version(&read.answers)
            .and_then(|version| self.left_at.get(&version));
        let served = left_at.is_none_or(|left_at| *left_at > read.ended_at);
        let is_owed = began_at < last.killed_at && last.back_at < read.ended_at && served;
        is_owed.then(|| last.killed_at - began_at)
    }
}

/// A replacement of one version by another beside a loss.
#[derive(Clone, Debug)]
struct Replacement {
    old: String,
    new: String,
    is_before_loss: bool,
}

impl World {
    /// Kills all instances at once and starts them again until the time is over.
    pub(super) async fn lose_instances(self: &Arc<Self>, rng: &mut ChaCha8Rng) {
        let until = Instant::now() + self.plan.lasts;
        pause(rng, FIRST_PAUSE_MS).await;
        for number in 0.. {
            let replacement = (self.plan.ends == Ends::Replacements).then(|| Replacement {
                old: self.version_of(number % 2),
                new: format!("v1.{}", number + 2),
                is_before_loss: rng.random(),
            });
            self.lose_all(rng, replacement).await;
            if Instant::now() >= until {
                return;
            }
            pause(rng, PAUSE_MS).await;
        }
    }

    async fn lose_all(self: &Arc<Self>, rng: &mut ChaCha8Rng, replacement: Option<Replacement>) {
        let mut replacing = JoinSet::new();
        let (before, meanwhile) = match replacement {
            Some(replacement) if replacement.is_before_loss => (Some(replacement), None),
            other => (None, other),
        };
        if let Some(replacement) = before {
            self.replace(&replacement, &mut replacing);
            pause(rng, LEAVE_BEFORE_MS).await;
        }
        let killed_at = Instant::now();
        let back_at = killed_at + DOWNTIME;
        self.kill_all();
        if let Some(replacement) = meanwhile {
            pause(rng, LEAVE_AFTER_MS).await;
            self.replace(&replacement, &mut replacing);
        }
        time::sleep_until(back_at).await;
        self.start_all(rng).await;
        let back_at = Instant::now();
        let loss = Loss { killed_at, back_at };
        self.losses().losses.push(loss);
        replacing.join_all().await;
    }

    /// Replaces all endpoints of a version: planned if instances run, and else at once.
    fn replace(self: &Arc<Self>, replacement: &Replacement, replacing: &mut JoinSet<()>) {
        let Replacement { old, new, .. } = replacement;
        self.losses().left_at.insert(old.clone(), Instant::now());
        for index in (0..self.plan.endpoints).filter(|index| self.version_of(*index) == *old) {
            let (world, new, is_planned) = (self.clone(), new.clone(), replacement.is_before_loss);
            replacing.spawn(async move { world.end_endpoint(index, &new, is_planned).await });
        }
    }

    fn version_of(&self, endpoint: usize) -> String {
        let endpoints = self.endpoints.lock().expect("no holder panics");
        endpoints[endpoint % endpoints.len()].version.clone()
    }

    fn kill_all(&self) {
        let mut instances = self.instances.lock().expect("no holder panics");
        instances
            .iter_mut()
            .for_each(|instance| instance.begin_kill());
        instances.iter_mut().for_each(|instance| instance.kill());
        self.report().ended += instances.len();
    }

    async fn start_all(&self, rng: &mut ChaCha8Rng) {
        for index in 0..self.plan.instances {
            pause(rng, START_PAUSE_MS).await;
            let mut instances = self.instances.lock().expect("no holder panics");
            instances[index].restart();
        }
    }
}

async fn pause(rng: &mut ChaCha8Rng, range_ms: std::ops::Range<u64>) {
    time::sleep(Duration::from_millis(rng.random_range(range_ms))).await;
}
