//! Tests that the clock keeps counting while the machine is suspended and the runtime's timers stop.
//!
//! They guard against a failure after a suspension of some seconds: the monotonic clock had not advanced, so cached
//! state from the store seemed fresh, requests whose callers had given up were held for as long as the suspension
//! had lasted, and a graceful shutdown overran its grace period.

use std::time::Duration;

use ryevalve::clock::{Clock, TimeSource};
use tokio::time::{self, Instant};

const SECOND: u64 = 1_000_000;

#[tokio::test(start_paused = true)]
async fn clock_includes_suspensions() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(clock.now_us(), SECOND);
    source.suspend(Duration::from_secs(5));
    assert_eq!(clock.now_us(), 6 * SECOND);
    // A clock that starts later counts from its own start.
    let later = Clock::new(source);
    source.suspend(Duration::from_secs(2));
    assert_eq!((later.now_us(), clock.now_us()), (2 * SECOND, 8 * SECOND));
}

#[tokio::test(start_paused = true)]
async fn sleep_until_wakes_after_a_suspension_past_its_time() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    tokio::spawn(clock.watch_for_suspensions());
    let started = Instant::now();
    let waiting = tokio::spawn(async move { clock.sleep_until(10 * SECOND).await });
    time::sleep(Duration::from_secs(2)).await;
    source.suspend(Duration::from_secs(5));
    time::sleep(Duration::from_secs(1)).await;
    assert!(!waiting.is_finished(), "only 8 s have passed");
    source.suspend(Duration::from_secs(5));
    waiting.await.unwrap();
    let awake = started.elapsed();
    assert!(
        awake < Duration::from_millis(3_300),
        "woken after {awake:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_result_received_during_a_suspension_wins_over_the_timeout() {
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
async fn a_call_open_during_a_suspension_is_abandoned_and_the_resumption_is_recent() {
    let source = TimeSource::simulated();
    let clock = Clock::new(source);
    tokio::spawn(clock.watch_for_suspensions());
    let call = tokio::spawn(async move {
        let never = std::future::pending::<()>();
        clock.unless_suspended(never).await
    });
    time::sleep(Duration::from_secs(60)).await;
    assert!(!call.is_finished() && !clock.has_just_resumed());
    source.suspend(Duration::from_secs(1));
    assert!(clock.has_just_resumed());
    assert_eq!(call.await.unwrap(), None);
    time::sleep(Duration::from_millis(100)).await;
    assert!(!clock.has_just_resumed());
}

#[tokio::test]
async fn the_machine_clock_matches_elapsed_time() {
    let clock = Clock::default();
    let started = Instant::now();
    time::sleep(Duration::from_millis(50)).await;
    let (clock_us, elapsed_us) = (clock.now_us(), started.elapsed().as_micros() as u64);
    assert!(
        clock_us <= elapsed_us + 1_000 && clock_us + 20_000 >= elapsed_us,
        "{clock_us} of {elapsed_us} us"
    );
    clock.sleep_until(clock.now_us() + 30_000).await;
    assert!(clock.now_us() >= clock_us + 30_000);
}
