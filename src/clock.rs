//! The process's clock: microseconds since its start, and seconds since 1970 for what outlives it.
//!
//! The steady clock stands still while a machine is suspended. What is believed by its age, promised until a time or
//! counted over a window must not: an endpoint that left during a suspension has left for as long. So this clock
//! goes on, and whatever waits for a time of it is woken once a suspension is over. The runtime's own timers, which
//! stand still, are for how long others have had to answer while this process could hear them.

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

/// Less is no suspension that matters to any bound.
const LEAST_SUSPENDED_US: Micros = 50_000;
/// How often it is looked whether the machine was suspended, where nothing else is done as often.
const LOOK: Duration = Duration::from_millis(100);
/// What came in during a suspension is read before whoever waits for it gives up.
const READ_FIRST: Duration = Duration::from_millis(50);
/// And they have acted on it after some turns of the runtime.
const ACT_FIRST: Duration = Duration::from_millis(20);

static MACHINE: TimeSource = TimeSource::new(Reading::Machine);

/// What clocks read, and who is to be woken after a suspension.
#[derive(Debug)]
pub struct TimeSource {
    reading: Reading,
    /// How long the machine had been suspended in all when whoever waits was woken last.
    seen_us: AtomicU64,
    resumed: Notify,
}

#[derive(Debug)]
enum Reading {
    /// The machine's time since its start, its suspensions included.
    Machine,
    /// The runtime's time, which tests may pause, and suspensions that tests make up.
    Runtime { suspended_us: AtomicU64 },
}

impl TimeSource {
    const fn new(reading: Reading) -> Self {
        Self {
            reading,
            seen_us: AtomicU64::new(0),
            resumed: Notify::const_new(),
        }
    }

    /// Returns a source for tests that suspend the machine: it lives as long as the process.
    pub fn steered() -> &'static Self {
        let reading = Reading::Runtime {
            suspended_us: AtomicU64::new(0),
        };
        Box::leak(Box::new(Self::new(reading)))
    }

    /// Lets time pass in which the steady clock stands still. Does nothing to the machine's time.
    pub fn suspend(&self, time: Duration) {
        if let Reading::Runtime { suspended_us } = &self.reading {
            suspended_us.fetch_add(time.as_micros() as Micros, Ordering::Relaxed);
        }
    }

    /// Returns for how long the machine has been suspended in all.
    fn suspended_us(&self) -> Micros {
        match &self.reading {
            Reading::Machine => {
                // The steady clock is read last: a process that is held up between the readings sees less
                // than there was, and looks again, where the other way round it would see a suspension.
                let boot_us = read_us(ClockId::CLOCK_BOOTTIME);
                boot_us.saturating_sub(read_us(ClockId::CLOCK_MONOTONIC))
            }
            Reading::Runtime { suspended_us } => suspended_us.load(Ordering::Relaxed),
        }
    }
}

fn read_us(clock: ClockId) -> Micros {
    // Both clocks are there on every Linux since 2.6.39; elsewhere nothing of this builds.
    let time = clock_gettime(clock).map(Duration::from).unwrap_or_default();
    time.as_micros() as Micros
}

/// A clock that goes on while the machine is suspended; copies share their start.
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
        // What one reading misses would look like a suspension later.
        let readings = [
            source.suspended_us(),
            source.suspended_us(),
            source.suspended_us(),
        ];
        let suspended_us = readings.into_iter().fold(0, Micros::max);
        source.seen_us.fetch_max(suspended_us, Ordering::Relaxed);
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

    /// Returns the time since the clock's start.
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

    /// Returns the instant at which this clock shows `at_us`, if the machine is not suspended until then.
    fn instant(&self, at_us: Micros) -> Instant {
        let left_us = at_us.saturating_sub(self.now_us());
        Instant::now() + Duration::from_micros(left_us)
    }

    /// Waits until this clock shows `at_us`.
    pub async fn sleep_until(&self, at_us: Micros) {
        while self.now_us() < at_us {
            let resumed = self.source.resumed.notified();
            tokio::select! {
                () = time::sleep_until(self.instant(at_us)) => {}
                () = resumed => {}
            }
        }
    }

    /// Waits for something until this clock shows `at_us`; none if it has not come by then.
    pub async fn timeout_at<F: Future>(&self, at_us: Micros, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep_until(at_us) => None,
        }
    }

    /// Waits for something that is lost if the machine is suspended meanwhile: then none.
    pub async fn unless_suspended<F: Future>(&self, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.source.resumed.notified() => None,
        }
    }

    /// Returns whether the machine was suspended and whoever waits has not acted on that yet.
    pub fn has_just_resumed(&self) -> bool {
        let seen_us = self.source.seen_us.load(Ordering::Relaxed);
        self.source.suspended_us().saturating_sub(seen_us) >= LEAST_SUSPENDED_US
    }

    /// Wakes whoever waits for a time of this clock after each suspension of the machine, until dropped.
    pub async fn watch_for_suspensions(self) {
        let mut period = time::interval(LOOK);
        period.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            period.tick().await;
            self.look_for_suspension().await;
        }
    }

    /// Looks whether the machine was suspended since this was called last, and wakes whoever waits for a time
    /// of this clock if so. Called some times a second by one task.
    pub async fn look_for_suspension(&self) {
        let suspended_us = self.source.suspended_us();
        let slept_us = suspended_us.saturating_sub(self.source.seen_us.load(Ordering::Relaxed));
        if slept_us < LEAST_SUSPENDED_US {
            return;
        }
        time::sleep(READ_FIRST).await;
        self.source.resumed.notify_waiters();
        // Until then those that wait have not acted on it.
        time::sleep(ACT_FIRST).await;
        self.source.seen_us.store(suspended_us, Ordering::Relaxed);
        let suspended_ms = slept_us / 1_000;
        log::warn!(target: "ryevalve::process", suspended_ms; "resumed");
    }
}

/// Returns seconds since 1970, for what is kept beyond the process.
pub fn unix_s() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_secs())
}
