//! The clock goes on while the machine is suspended and the runtime's timers stand still.
//!
//! The story: a machine was suspended for seconds. Its steady clock had not moved, so what it believed of the
//! store seemed new, requests whose callers had given up were held on for as long as it had slept, and a planned
//! stop overran its grace.

use std::time::Duration;

use ryevalve::clock::{Clock, TimeSource};
use tokio::time::{self, Instant};

const SECOND: u64 = 1_000_000;

#[tokio::test(start_paused = true)]
async fn a_suspension_counts_though_the_runtime_stands_still() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(clock.now_us(), SECOND);
    source.suspend(Duration::from_secs(5));
    assert_eq!(clock.now_us(), 6 * SECOND);
    // One that starts later counts from its own start.
    let later = Clock::new(source);
    source.suspend(Duration::from_secs(2));
    assert_eq!((later.now_us(), clock.now_us()), (2 * SECOND, 8 * SECOND));
}

#[tokio::test(start_paused = true)]
async fn whoever_waits_for_a_time_is_woken_after_a_suspension_over_it() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    tokio::spawn(clock.watch_for_suspensions());
    let started = Instant::now();
    let waiting = tokio::spawn(async move { clock.sleep_until(10 * SECOND).await });
    time::sleep(Duration::from_secs(2)).await;
    source.suspend(Duration::from_secs(5));
    time::sleep(Duration::from_secs(1)).await;
    assert!(!waiting.is_finished(), "it is second 8 only");
    source.suspend(Duration::from_secs(5));
    waiting.await.unwrap();
    let awake = started.elapsed();
    assert!(
        awake < Duration::from_millis(3_300),
        "woken after {awake:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn what_came_meanwhile_is_taken_though_the_time_is_over() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    tokio::spawn(clock.watch_for_suspensions());
    let (sender, receiver) = tokio::sync::oneshot::channel();
    let waiting = tokio::spawn(async move { clock.timeout_at(SECOND, receiver).await });
    time::sleep(Duration::from_millis(10)).await;
    source.suspend(Duration::from_secs(5));
    sender.send("an answer").unwrap();
    assert_eq!(waiting.await.unwrap(), Some(Ok("an answer")));
    let nothing = clock.timeout_at(SECOND, std::future::pending::<()>()).await;
    assert_eq!(nothing, None);
}

#[tokio::test(start_paused = true)]
async fn a_question_open_over_a_suspension_is_given_up_and_known_to_be_young() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    tokio::spawn(clock.watch_for_suspensions());
    let asking = tokio::spawn(async move {
        let never = std::future::pending::<()>();
        clock.unless_suspended(never).await
    });
    time::sleep(Duration::from_secs(60)).await;
    assert!(!asking.is_finished() && !clock.has_just_resumed());
    source.suspend(Duration::from_secs(1));
    assert!(clock.has_just_resumed());
    assert_eq!(asking.await.unwrap(), None);
    time::sleep(Duration::from_millis(100)).await;
    assert!(!clock.has_just_resumed());
}

#[tokio::test]
async fn the_machines_clock_goes_as_fast_as_time() {
    let clock = Clock::default();
    let started = Instant::now();
    time::sleep(Duration::from_millis(50)).await;
    let (shown, passed) = (clock.now_us(), started.elapsed().as_micros() as u64);
    assert!(
        shown <= passed + 1_000 && shown + 20_000 >= passed,
        "{shown} of {passed}"
    );
    clock.sleep_until(clock.now_us() + 30_000).await;
    assert!(clock.now_us() >= shown + 30_000);
}
