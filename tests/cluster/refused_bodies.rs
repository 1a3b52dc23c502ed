//! Refusals that are decided from the head of a request while its body arrives.

use std::time::Duration;

use standins::upload::{Caller, Framing, Upload, read_answer, send};
use tokio::{net::TcpStream, task::JoinSet};

use crate::support::{Cluster, ClusterOptions};

const KEY: &str = "Bearer caller-key-of-the-airline";
const SIZES_BYTES: [usize; 3] = [80_000, 800_000, 4_000_000];
/// Uploads of each size, framing and refusal; they are sent at once.
const UPLOADS: usize = 20;

async fn start() -> Cluster {
    let flags = ["--max-body-bytes", "4096"].map(str::to_owned);
    Cluster::start(ClusterOptions {
        instances: 1,
        flags: flags.to_vec(),
        ..ClusterOptions::default()
    })
    .await
}

/// Refuses uploads of every size and framing, all of which must be answered.
async fn check_refusals(caller: Caller, pause: Duration, sizes_bytes: &[usize]) {
    let cluster = start().await;
    let to = cluster.instances[0].callers;
    let refusals = [
        ("/v1/nothing", KEY, 404),
        ("/v1/completions", "Bearer wrong", 401),
        ("/v1/completions", KEY, 413),
    ];
    let (mut sent, mut unanswered) = (0, 0);
    for (path, key, status) in refusals {
        for &bytes in sizes_bytes {
            for framing in [Framing::Length, Framing::Chunked] {
                let upload = Upload {
                    pause,
                    ..Upload::new(path, key, bytes, framing)
                };
                let calls: JoinSet<_> = (0..UPLOADS).map(|_| send(caller, to, upload)).collect();
                for answer in calls.join_all().await {
                    assert!(answer.is_none_or(|got| got == status), "{answer:?}");
                    sent += 1;
                    unanswered += usize::from(answer.is_none());
                }
            }
        }
    }
    println!("{unanswered} of {sent} without an answer");
    assert_eq!(unanswered, 0, "of {sent}");
    assert!(cluster.starts().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_caller_that_reads_while_it_writes() {
    check_refusals(Caller::WritesAndReads, Duration::ZERO, &SIZES_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_caller_that_reads_after_it_has_written() {
    check_refusals(Caller::WritesThenReads, Duration::ZERO, &SIZES_BYTES).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn refusal_reaches_a_slow_caller_that_reads_after_it_has_written() {
    let pause = Duration::from_millis(20);
    check_refusals(Caller::WritesThenReads, pause, &[80_000, 800_000]).await;
}

#[tokio::test]
async fn connection_serves_the_next_request_after_a_refused_body() {
    let cluster = start().await;
    let mut stream = TcpStream::connect(cluster.instances[0].callers)
        .await
        .expect("connected");
    for (path, status) in [
        ("/v1/nothing", 404),
        ("/v1/completions", 413),
        ("/v1/nothing", 404),
    ] {
        let upload = Upload::new(path, KEY, 80_000, Framing::Chunked);
        upload.write(&mut stream).await.expect("written");
        assert_eq!(read_answer(&mut stream).await, Some(status));
    }
}
