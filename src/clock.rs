//! The process's clock: microseconds since its start, and Unix seconds for data that outlives the process.
//!
//! `CLOCK_MONOTONIC` stops while the machine is suspended. Staleness, leases and counting windows must include that
//! time: an endpoint that left during a suspension has been gone for all of it. This clock therefore keeps counting
//! (`CLOCK_BOOTTIME`), and tasks that wait on it are woken after a suspension. The runtime's own timers, which stop,
//! are used for response timeouts: they count only the time in which this process could receive an answer.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};
use tokio::{
    sync::Notify,
    time::{self, Duration, Instant, MissedTickBehavior},
};

use crate::prelude::Micros;

/// Shorter suspensions are ignored: they matter to no time limit.
const MIN_SUSPENSION_US: Micros = 50_000;
/// How often to check for a suspension, where no other task runs as often and does it.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before waiting tasks are woken, so that data received during the suspension is read before they time out.
const READ_DELAY: Duration = Duration::from_millis(50);
/// Time for the woken tasks to react: a few turns of the runtime.
const REACTION_DELAY: Duration = Duration::from_millis(20);

static MACHINE: TimeSource = TimeSource::new(Reading::Machine);

/// The time that clocks read, and the wake-up of waiting tasks after a suspension.
#[derive(Debug)]
pub struct TimeSource {
    reading: Reading,
    /// Total suspended time when waiting tasks were last woken.
    handled_us: AtomicU64,
    resumed: Notify,
}

#[derive(Debug)]
enum Reading {
    /// The machine's time since boot, including suspensions.
    Machine,
    /// The runtime's time, which tests may pause, plus simulated suspensions.
    Runtime { suspended_us: AtomicU64 },
}

impl TimeSource {
    const fn new(reading: Reading) -> Self {
        Self {
            reading,
            handled_us: AtomicU64::new(0),
            resumed: Notify::const_new(),
        }
    }

    /// Returns a source for tests that simulate suspensions. It is leaked, so it lives as long as the process.
    pub fn simulated() -> &'static Self {
        let reading = Reading::Runtime {
            suspended_us: AtomicU64::new(0),
        };
        Box::leak(Box::new(Self::new(reading)))
    }

    /// Simulates a suspension of this length. Has no effect on the machine's time source.
    pub fn suspend(&self, time: Duration) {
        if let Reading::Runtime { suspended_us } = &self.reading {
            suspended_us.fetch_add(time.as_micros() as Micros, Ordering::Relaxed);
        }
    }

    /// Returns the total time for which the machine has been suspended.
    fn suspended_us(&self) -> Micros {
        match &self.reading {
            Reading::Machine => {
                // The monotonic clock is read last: a delay between the two readings then makes the result too
                // small, which the next check corrects. In the other order it would look like a suspension.
                let boot_us = read_us(ClockId::CLOCK_BOOTTIME);
                boot_us.saturating_sub(read_us(ClockId::CLOCK_MONOTONIC))
            }
            Reading::Runtime { suspended_us } => suspended_us.load(Ordering::Relaxed),
        }
    }
}

fn read_us(clock: ClockId) -> Micros {
    // Both clocks exist on Linux since 2.6.39; this module does not build on other systems.
    let time = clock_gettime(clock).map(Duration::from).unwrap_or_default();
    time.as_micros() as Micros
}

/// A clock that keeps counting while the machine is suspended. Copies share their start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    start_us: Micros,
    source: &'static TimeSource,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(&MACHINE)
    }
}

impl Clock {
    /// Starts a clock.
    pub fn new(source: &'static TimeSource) -> Self {
        // A reading may be too small, and the difference would look like a suspension later: use the largest of three.
        let readings = [
            source.suspended_us(),
            source.suspended_us(),
            source.suspended_us(),
        ];
        let suspended_us = readings.into_iter().fold(0, Micros::max);
        source.handled_us.fetch_max(suspended_us, Ordering::Relaxed);
        let start_us = match source.reading {
            Reading::Machine => read_us(ClockId::CLOCK_BOOTTIME),
            Reading::Runtime { .. } => suspended_us,
        };
        Self {
            start: Instant::now(),
            start_us,
            source,
        }
    }

    /// Returns the time since the clock's start, in microseconds.
    pub fn now_us(&self) -> Micros {
        match &self.source.reading {
            Reading::Machine => read_us(ClockId::CLOCK_BOOTTIME).saturating_sub(self.start_us),
            Reading::Runtime { suspended_us } => {
                let suspended_us = suspended_us.load(Ordering::Relaxed);
                let awake_us = self.start.elapsed().as_micros() as Micros;
                awake_us + suspended_us.saturating_sub(self.start_us)
            }
        }
    }

    /// Returns the instant at which this clock reaches `at_us` if the machine is not suspended before then.
    fn instant(&self, at_us: Micros) -> Instant {
        let left_us = at_us.saturating_sub(self.now_us());
        Instant::now() + Duration::from_micros(left_us)
    }

    /// Waits until this clock reaches `at_us`.
    pub async fn sleep_until(&self, at_us: Micros) {
        while self.now_us() < at_us {
            let resumed = self.source.resumed.notified();
            tokio::select! {
                () = time::sleep_until(self.instant(at_us)) => {}
                () = resumed => {}
            }
        }
    }

    /// Awaits a future until this clock reaches `at_us`. Returns none on timeout.
    pub async fn timeout_at<F: Future>(&self, at_us: Micros, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at_us) => None,
        }
    }

    /// Awaits a future whose result is lost if the machine is suspended. Returns none after a suspension.
    pub async fn unless_suspended<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.source.resumed.notified() => None,
        }
    }

    /// Returns whether the machine was suspended and waiting tasks have not reacted to that yet.
    pub fn has_just_resumed(&self) -> bool {
        let handled_us = self.source.handled_us.load(Ordering::Relaxed);
        self.source.suspended_us().saturating_sub(handled_us) >= MIN_SUSPENSION_US
    }

    /// Wakes the tasks that wait on this clock after each suspension of the machine. Runs until dropped.
    pub async fn watch_for_suspensions(self) {
        let mut period = time::interval(CHECK_INTERVAL);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            period.tick().await;
            self.check_for_suspension().await;
        }
    }

    /// Checks whether the machine was suspended since the last call, and if so wakes the tasks that wait on this
    /// clock. Must be called by one task only, several times a second.
    pub async fn check_for_suspension(&self) {
        let suspended_us = self.source.suspended_us();
        let suspension_us =
            suspended_us.saturating_sub(self.source.handled_us.load(Ordering::Relaxed));
        if suspension_us < MIN_SUSPENSION_US {
            return;
        }
        time::sleep(READ_DELAY).await;
        self.source.resumed.notify_waiters();
        // `has_just_resumed` stays true until the waiting tasks have had time to react.
        time::sleep(REACTION_DELAY).await;
        self.source
            .handled_us
            .store(suspended_us, Ordering::Relaxed);
        let suspended_ms = suspension_us / 1_000;
        log::warn!(target: "ryevalve::process", suspended_ms; "resumed");
    }
}

/// Returns Unix time in seconds, for data that outlives the process.
pub fn unix_s() -> u64 {
    unix_ms() / 1_000
}

/// Returns Unix time in milliseconds, for data that outlives the process.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}
