//! Answers that an endpoint breaks off while it lives on must not look complete, and whole ones must arrive.

use std::{net::SocketAddr, ops::Range, sync::Arc, time::Duration};

use futures::{StreamExt, future::join_all, stream};
use standins::{
    engine::prompt_text,
    raw_caller::{self, AnswerEnd, RawAnswer},
    received_request::ReceivedRequest,
    scripted_answer::{ConnectionEnd, ScriptedAnswer},
    scripted_endpoint::ScriptedEndpoint,
};
use tokio::time;

use crate::support::*;

const ENDS: [ConnectionEnd; 2] = [ConnectionEnd::Closed, ConnectionEnd::Reset];
const FRAMINGS: [Framing; 4] = [
    Framing::Length,
    Framing::Chunked,
    Framing::Unframed11,
    Framing::Unframed10,
];
const UNFRAMED: [Framing; 2] = [Framing::Unframed11, Framing::Unframed10];
const CALLS_AT_ONCE: usize = 8;
const JSON: &str = "application/json";
const TEXT: &str = "text/plain";
const JSON_BODY: &str = r#"{"number":7,"tag":"x"}"#;
/// An engine's answer to those who ask for the rest of a run that it does not have.
const LOST_RUN: &str = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
/// An answer of a run that brings nothing.
const EMPTY_RUN: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";
const TEXT_BODY: &str = "gate 7, seat 12, boards";

/// How an endpoint delimits its answer.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunked,
    Unframed11,
    Unframed10,
}

impl Framing {
    /// Returns a head and a body in the form in which they are sent.
    fn parts(self, status: &str, media_type: &str, body: &str) -> (String, String) {
        let version = match self {
            Self::Unframed10 => "1.0",
            _ => "1.1",
        };
        let framing = match self {
            Self::Length => format!("content-length: {}\r\n", body.len()),
            Self::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Self::Unframed11 | Self::Unframed10 => String::new(),
        };
        let head =
            format!("HTTP/{version} {status}\r\ncontent-type: {media_type}\r\n{framing}\r\n");
        let sent = match self {
            Self::Chunked => format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
            _ => body.to_owned(),
        };
        (head, sent)
    }
}

/// A scripted answer and what a caller may see of it.
#[derive(Clone, Debug)]
struct Case {
    name: String,
    script: ScriptedAnswer,
}

/// Returns an answer of these bytes, and a pause before its connection is reset: that discards what has not been read.
fn scripted(bytes: impl Into<Vec<u8>>, end: ConnectionEnd) -> ScriptedAnswer {
    let pause = match end {
        ConnectionEnd::Reset => Duration::from_millis(20),
        _ => Duration::ZERO,
    };
    let answer = ScriptedAnswer::new(bytes, end);
    let all_bytes = answer.bytes.len();
    answer.paused_after(all_bytes, pause)
}

/// Breaks an answer at each of these bytes from its head's beginning on.
fn breaks(name: &str, answer: &str, at: Range<usize>) -> Vec<Case> {
    let cut = |bytes: usize, end| Case {
        name: format!("{name}, {end:?} after {bytes} of {} bytes", answer.len()),
        script: scripted(&answer.as_bytes()[..bytes], end),
    };
    at.flat_map(|bytes| ENDS.map(|end| cut(bytes, end)))
        .collect()
}

/// Returns an answer of these bytes that ends with its connection.
fn closed(bytes: impl Into<Vec<u8>>) -> ScriptedAnswer {
    scripted(bytes, ConnectionEnd::Closed)
}

fn json(body: &str) -> ScriptedAnswer {
    let (head, body) = Framing::Length.parts("200 OK", JSON, body);
    closed(head + &body)
}

/// Starts a cluster whose plain service and model engine play the cases.
async fn start_cluster(
    cases: &Arc<Vec<Case>>,
    resumption: &str,
) -> (Cluster, Vec<ScriptedEndpoint>) {
    let options = ClusterOptions {
        instances: 1,
        engines: vec![fast_engine()],
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(options.clone()).await;
    let mut endpoints = Vec::new();
    let mut toml = cluster.toml(&options);
    for addr in [cluster.plain.addr(), cluster.engines[0].addr()] {
        let (played, resumption) = (cases.clone(), resumption.to_owned());
        let answer = move |request: &ReceivedRequest| script(&played, &resumption, request);
        let endpoint = ScriptedEndpoint::start(answer).await;
        toml = toml.replace(&format!("\"{addr}\""), &format!("\"{}\"", endpoint.addr));
        endpoints.push(endpoint);
    }
    cluster.put_config(2, &toml);
    wait_until("the configuration to be in force", async || {
        cluster.instances[0].dump().await["config_version"] == 2
    })
    .await;
    (cluster, endpoints)
}

/// Returns the answer to a request, which names its case by number, or to that for the rest of a stream.
fn script(cases: &[Case], resumption: &str, request: &ReceivedRequest) -> ScriptedAnswer {
    match request.path() {
        "/load" => return json(r#"{"running":0,"waiting":0,"age_ms":0}"#),
        "/cache/events" => return json("[]"),
        _ if !request.line.starts_with("POST ") => return closed(resumption),
        _ => {}
    }
    let body = serde_json::from_slice(&request.body).unwrap_or_default();
    let is_chat = request.line.contains("/chat/");
    let number = match request.line.contains("/completions ") {
        true => prompt_text(&body, is_chat),
        false => String::from_utf8_lossy(&request.body).into_owned(),
    };
    cases[number.parse::<usize>().expect("the number of a case")]
        .script
        .clone()
}

/// The call for a case at the plain service.
fn plain_call(number: usize) -> Call {
    Call::new("/v1/services/departure-ctl/x", &number.to_string())
}

/// The call for a case at the model.
fn model_call(number: usize, is_chat: bool, streams: bool) -> Call {
    let prompt = number.to_string();
    let body = serde_json::json!({
        "model": "agent-llm", "max_tokens": 20, "stream": streams, "prompt": prompt,
        "messages": [{"role": "user", "content": prompt}],
    });
    let path = match is_chat {
        true => "/v1/chat/completions",
        false => "/v1/completions",
    };
    Call::new(path, &body.to_string()).with_header("x-tier", "gate")
}

async fn send(addr: SocketAddr, call: Call) -> RawAnswer {
    let headers = call.headers.iter();
    let headers: String = headers.map(|(n, v)| format!("{n}: {v}\r\n")).collect();
    let request = format!(
        "POST {} HTTP/1.1\r\nhost: test\r\n{headers}content-length: {}\r\n\r\n{}",
        call.path,
        call.body.len(),
        call.body
    );
    let answer = raw_caller::exchange(addr, &request).await;
    answer.expect("the head of an answer")
}

/// Plays all cases with a call for each; returns what the callers got. The runs of streams are lost at a break.
async fn play(cases: Vec<Case>, call: impl Fn(usize) -> Call) -> Vec<(Case, RawAnswer)> {
    play_resumed(cases, LOST_RUN, call).await
}

/// As [`play`], with this answer to those who ask for the rest of a stream.
async fn play_resumed(
    cases: Vec<Case>,
    resumption: &str,
    call: impl Fn(usize) -> Call,
) -> Vec<(Case, RawAnswer)> {
    let cases = Arc::new(cases);
    let (cluster, endpoints) = start_cluster(&cases, resumption).await;
    let addr = cluster.instances[0].callers;
    let calls = (0..cases.len()).map(|number| send(addr, call(number)));
    let answers: Vec<_> = stream::iter(calls).buffered(CALLS_AT_ONCE).collect().await;
    drop(endpoints);
    cases.iter().cloned().zip(answers).collect()
}

/// Checks all answers, and prints the bad ones.
fn check(what: &str, played: &[(Case, RawAnswer)], is_good: impl Fn(&RawAnswer) -> bool) {
    let refused_unsent = |got: &RawAnswer| got.text.contains("\"not_run\"");
    let unsent = played.iter().filter(|(_, got)| refused_unsent(got)).count();
    assert_eq!(unsent, 0, "requests that did not reach the endpoint");
    let bad: Vec<_> = played.iter().filter(|(_, got)| !is_good(got)).collect();
    for (case, got) in bad.iter().take(3) {
        println!("{}: {got:?}", case.name);
    }
    println!("{what}: {} of {} bad", bad.len(), played.len());
    assert!(
        bad.is_empty(),
        "{what}: {} of {} bad",
        bad.len(),
        played.len()
    );
}

fn is_success(got: &RawAnswer) -> bool {
    got.status().is_some_and(|s| (200..300).contains(&s))
}

/// Whether a length or a last chunk states that the answer is whole.
fn is_framed_as_whole(got: &RawAnswer) -> bool {
    got.end == AnswerEnd::Marked
}

/// Breaks of an answer at each byte, from its first one or from the end of its head on.
fn breaks_of(framing: Framing, media_type: &str, body: &str, from_head_end: bool) -> Vec<Case> {
    let (head, sent) = framing.parts("200 OK", media_type, body);
    let from = if from_head_end { head.len() } else { 0 };
    let name = format!("{framing:?} {media_type}");
    breaks(
        &name,
        &(head.clone() + &sent),
        from..head.len() + sent.len(),
    )
}

#[tokio::test(flavor = "multi_thread")]
async fn json_answer_broken_off_at_any_byte_is_no_success() {
    let cases = FRAMINGS.map(|framing| breaks_of(framing, JSON, JSON_BODY, false));
    let played = play(cases.concat(), plain_call).await;
    check("JSON", &played, |got| {
        !is_success(got) || !got.is_complete()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn text_answer_broken_off_at_any_byte_is_not_framed_as_whole() {
    let cases = FRAMINGS.map(|framing| breaks_of(framing, TEXT, TEXT_BODY, false));
    let played = play(cases.concat(), plain_call).await;
    check("text", &played, |got| {
        !is_success(got) || !is_framed_as_whole(got)
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_reset_at_any_byte_is_no_success() {
    let cases = FRAMINGS.map(|framing| breaks_of(framing, TEXT, TEXT_BODY, false));
    let mut cases = cases.concat();
    cases.retain(|case| case.script.end == ConnectionEnd::Reset);
    let played = play(cases, plain_call).await;
    check("resets", &played, |got| {
        !is_success(got) || !got.is_complete()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn success_without_framing_and_without_body_is_no_success() {
    let empty = |(framing, media_type): (Framing, &str)| {
        let (head, _) = framing.parts("200 OK", media_type, "");
        breaks(
            &format!("{framing:?} {media_type}"),
            &head,
            head.len()..head.len() + 1,
        )
    };
    let kinds = UNFRAMED.map(|f| [(f, JSON), (f, TEXT)]).concat();
    let played = play(kinds.into_iter().flat_map(empty).collect(), plain_call).await;
    check("empty", &played, |got| {
        !is_success(got) && got.text.contains("\"outcome_unknown\"")
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn error_without_framing_is_not_framed_as_whole_where_it_breaks() {
    let errors = UNFRAMED.map(|framing| {
        let (head, sent) = framing.parts("500 Internal Server Error", TEXT, TEXT_BODY);
        let name = format!("{framing:?} error");
        breaks(
            &name,
            &(head.clone() + &sent),
            head.len()..head.len() + sent.len(),
        )
    });
    let played = play(errors.concat(), plain_call).await;
    check("errors", &played, |got| {
        got.status() != Some(500) || !is_framed_as_whole(got)
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn json_error_without_framing_is_cut_visibly_where_it_breaks() {
    let errors = UNFRAMED.map(|framing| {
        let (head, sent) = framing.parts("500 Internal Server Error", JSON, JSON_BODY);
        let answer = head.clone() + &sent;
        let name = format!("{framing:?} JSON error");
        breaks(&name, &answer, head.len() + 1..answer.len())
    });
    let played = play(errors.concat(), plain_call).await;
    check("JSON errors", &played, |got| {
        got.status() == Some(500) && !got.is_complete()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_without_framing_is_reset_where_its_instance_is_killed() {
    let (head, sent) = Framing::Unframed11.parts("200 OK", TEXT, TEXT_BODY);
    let answer = head + &sent;
    let script = closed(&*answer).paused_after(answer.len(), Duration::from_secs(4));
    let name = "an answer that does not end".to_owned();
    let cases = Arc::new(vec![Case { name, script }]);
    let (mut cluster, _endpoints) = start_cluster(&cases, LOST_RUN).await;
    let calling = tokio::spawn(send(cluster.instances[0].callers, plain_call(0)));
    time::sleep(Duration::from_secs(1)).await;
    cluster.instances[0].kill();
    let got = calling.await.expect("an answer");
    assert!(got.is_delimited_by_close(), "{got:?}");
    assert_eq!((got.end, &*got.text), (AnswerEnd::Reset, TEXT_BODY));
}

/// The question is that of docs/OPERATIONS.md.
#[tokio::test(flavor = "multi_thread")]
async fn operators_find_the_service_whose_answers_break_off() {
    let (head, _) = Framing::Unframed11.parts("200 OK", JSON, "");
    let cut = |body: &str| Case {
        name: body.to_owned(),
        script: closed(head.clone() + body),
    };
    let cases = Arc::new(vec![cut(""), cut("{\"a\":"), cut("{}")]);
    let (cluster, _endpoints) = start_cluster(&cases, LOST_RUN).await;
    let instance = &cluster.instances[0];
    for number in 0..cases.len() {
        send(instance.callers, plain_call(number)).await;
    }
    let question = "ended where reason = answer_cut group by endpoint, service count";
    let reply = instance.command(question).await;
    assert_eq!(reply.rows.len(), 1, "{reply:?}");
    let row = &reply.rows[0];
    assert_eq!(row["count"], 2, "{reply:?}");
    assert_eq!(
        (&row["endpoint"], &row["service"]),
        (&"departure-1".into(), &"departure-ctl".into())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn success_that_has_no_body_by_its_status_is_delivered() {
    let status = "205 Reset Content";
    let played = play(whole_answers(status, TEXT, ""), plain_call).await;
    check(status, &played, |got| {
        got.status() == Some(205) && got.is_complete() && got.text.is_empty()
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn long_json_answer_is_judged_by_its_content_up_to_a_megabyte() {
    const LENGTHS_BYTES: [usize; 3] = [1 << 10, 1_000_000, 3 << 20];
    let case = |(len, is_cut): (usize, bool)| {
        let body = format!(r#"{{"text":"{}"}}"#, "x".repeat(len));
        let (head, sent) = Framing::Unframed11.parts("200 OK", JSON, &body);
        let answer = head + &sent;
        Case {
            name: format!("{len} bytes, cut {is_cut}"),
            script: closed(&answer.as_bytes()[..answer.len() - usize::from(is_cut)]),
        }
    };
    let cases = LENGTHS_BYTES
        .map(|len| [(len, false), (len, true)])
        .concat();
    let played = play(cases.into_iter().map(case).collect(), plain_call).await;
    check("long JSON", &played, |got| {
        let is_long = got.text.len() > 1 << 20;
        is_success(got) && got.is_complete() == (is_long || got.text.ends_with('}'))
    });
    let complete = played.iter().filter(|(_, got)| got.is_complete());
    assert_eq!(
        complete.count(),
        4,
        "3 whole ones, and one that is too long to be read"
    );
}

/// Whole answers without framing, 24 of each kind.
fn whole_answers(status: &str, media_type: &str, body: &str) -> Vec<Case> {
    let whole = |framing: Framing| {
        let (head, sent) = framing.parts(status, media_type, body);
        Case {
            name: format!("whole, {framing:?}"),
            script: closed(head + &sent),
        }
    };
    (0..24).map(|n| whole(UNFRAMED[n % 2])).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_without_framing_are_delivered() {
    for (media_type, body) in [(JSON, JSON_BODY), (JSON, "7"), (TEXT, TEXT_BODY)] {
        let played = play(whole_answers("200 OK", media_type, body), plain_call).await;
        check(media_type, &played, |got| {
            is_success(got) && got.is_complete() && got.text == body
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_json_answers_of_an_endpoint_that_has_closed_its_port_are_delivered() {
    const PAUSE: Duration = Duration::from_millis(800);
    let mut cases = whole_answers("200 OK", JSON, JSON_BODY);
    cases.truncate(CALLS_AT_ONCE);
    for case in &mut cases {
        case.script = case
            .script
            .clone()
            .paused_after(case.script.bytes.len(), PAUSE);
    }
    let cases = Arc::new(cases);
    let (cluster, endpoints) = start_cluster(&cases, LOST_RUN).await;
    let addr = cluster.instances[0].callers;
    let calls = (0..cases.len()).map(|number| send(addr, plain_call(number)));
    let closing = async {
        time::sleep(PAUSE / 2).await;
        drop(endpoints);
    };
    let (answers, ()) = tokio::join!(join_all(calls), closing);
    let played: Vec<_> = cases.iter().cloned().zip(answers).collect();
    check(JSON, &played, |got| {
        is_success(got) && got.is_complete() && got.text == JSON_BODY
    });
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_errors_without_framing_are_delivered() {
    let bodies = [(JSON, JSON_BODY), (TEXT, TEXT_BODY), (JSON, ""), (TEXT, "")];
    for (media_type, body) in bodies {
        let played = play(whole_answers("404 Not Found", media_type, body), plain_call).await;
        check(media_type, &played, |got| {
            got.status() == Some(404) && got.is_complete() && got.text == body
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_without_framing_end_with_their_connection_for_the_caller() {
    for (media_type, body) in [(JSON, JSON_BODY), (TEXT, TEXT_BODY)] {
        let played = play(whole_answers("200 OK", media_type, body), plain_call).await;
        check(media_type, &played, |got| {
            got.is_delimited_by_close() && got.end == AnswerEnd::Closed
        });
    }
}

/// The events of a stream of a model of two tokens.
fn model_events(is_chat: bool) -> Vec<String> {
    let text = |text: &str| match is_chat {
        true => format!(r#""delta":{{"content":"{text}"}}"#),
        false => format!(r#""text":"{text}""#),
    };
    let token = |n: u32| {
        let text = text(&format!("t{n}"));
        format!("id: {n}\ndata: {{\"choices\":[{{{text},\"finish_reason\":null}}]}}\n\n")
    };
    let last = text("");
    vec![
        token(1),
        token(2),
        format!("id: 3\ndata: {{\"choices\":[{{{last},\"finish_reason\":\"stop\"}}]}}\n\n"),
        "data: [DONE]\n\n".to_owned(),
    ]
}

/// Breaks of a model's stream: at its head's end, and in and after each event but the last.
fn breaks_of_stream(framing: Framing, is_chat: bool) -> Vec<Case> {
    let events = model_events(is_chat);
    let (head, sent) = framing.parts("200 OK", "text/event-stream", &events.concat());
    let answer = head.clone() + &sent;
    let start = answer.find("id: 1").expect("the first event");
    let mut places = vec![head.len(), start];
    let mut at = start;
    for event in &events {
        places.extend([at + 1, at + event.len() / 2, at + event.len() - 1]);
        at += event.len();
        places.push(at);
    }
    // All events have arrived there, so nothing is missing.
    places.pop();
    let name = format!("{framing:?}, chat {is_chat}");
    let cases = places
        .into_iter()
        .map(|at| breaks(&name, &answer, at..at + 1));
    cases.flatten().collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_model_that_breaks_off_is_no_success() {
    for (is_chat, streams) in [(false, false), (false, true), (true, false), (true, true)] {
        let cases = FRAMINGS.map(|framing| breaks_of_stream(framing, is_chat));
        let call = |number| model_call(number, is_chat, streams);
        let played = play(cases.concat(), call).await;
        check(
            &format!("chat {is_chat}, stream {streams}"),
            &played,
            |got| !is_success(got) || !got.is_complete(),
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_of_a_model_whose_resumptions_bring_nothing_is_no_success() {
    for streams in [false, true] {
        let mut cases = breaks_of_stream(Framing::Unframed11, false);
        cases.retain(|case| case.script.end == ConnectionEnd::Closed);
        let call = |number| model_call(number, false, streams);
        let played = play_resumed(cases, EMPTY_RUN, call).await;
        check(&format!("stream {streams}"), &played, |got| {
            !is_success(got) || !got.is_complete()
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_stream_of_a_model_without_framing_is_delivered() {
    for (is_chat, streams) in [(false, false), (false, true), (true, false), (true, true)] {
        let body = model_events(is_chat).concat();
        let cases = whole_answers("200 OK", "text/event-stream", &body);
        let call = |number| model_call(number, is_chat, streams);
        let played = play(cases, call).await;
        check(
            &format!("chat {is_chat}, stream {streams}"),
            &played,
            |got| {
                let has_text = match streams {
                    true => got.text.ends_with("[DONE]\n\n"),
                    false => got.text.contains("t1t2"),
                };
                is_success(got) && got.is_complete() && has_text
            },
        );
    }
}

/// Breaks of an error of a model, which is JSON, from its head's first byte on.
fn breaks_of_model_error(framing: Framing) -> Vec<Case> {
    let (head, sent) = framing.parts("400 Bad Request", JSON, JSON_BODY);
    let answer = head + &sent;
    breaks(&format!("{framing:?} error"), &answer, 0..answer.len())
}

#[tokio::test(flavor = "multi_thread")]
async fn error_of_a_model_that_breaks_off_is_not_relayed_as_whole() {
    for streams in [false, true] {
        let cases = FRAMINGS.map(breaks_of_model_error);
        let played = play(cases.concat(), |n| model_call(n, false, streams)).await;
        check(&format!("stream {streams}"), &played, |got| {
            got.status() != Some(400) || !got.is_complete()
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_error_of_a_model_without_framing_is_relayed() {
    for (media_type, body) in [(JSON, JSON_BODY), (TEXT, TEXT_BODY)] {
        let cases = whole_answers("400 Bad Request", media_type, body);
        let played = play(cases, |n| model_call(n, false, true)).await;
        check(media_type, &played, |got| {
            got.status() == Some(400) && got.is_complete() && got.text == body
        });
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn text_error_of_a_model_that_breaks_off_is_not_framed_as_whole() {
    let errors = UNFRAMED.map(|framing| {
        let (head, sent) = framing.parts("400 Bad Request", TEXT, TEXT_BODY);
        let name = format!("{framing:?} error");
        breaks(
            &name,
            &(head.clone() + &sent),
            head.len()..head.len() + sent.len(),
        )
    });
    let played = play(errors.concat(), |n| model_call(n, false, true)).await;
    check("errors of a model", &played, |got| {
        got.status() != Some(400) || !is_framed_as_whole(got)
    });
}

/// Statuses that are this product's promise that a request did not run and never will.
const PROMISES: [&str; 4] = [
    "408 Request Timeout",
    "421 Misdirected Request",
    "429 Too Many Requests",
    "503 Service Unavailable",
];

fn failures(statuses: &[&str]) -> Vec<Case> {
    let failure = |status: &&str| {
        let (head, body) = Framing::Length.parts(status, JSON, JSON_BODY);
        Case {
            name: (*status).to_owned(),
            script: closed(head + &body),
        }
    };
    statuses.iter().map(failure).collect()
}

/// Guards against callers that repeat a request which has run: the endpoint runs it, and answers with such a status.
#[tokio::test(flavor = "multi_thread")]
async fn status_of_an_endpoint_does_not_promise_that_a_request_did_not_run() {
    let unknown =
        |got: &RawAnswer| got.status() == Some(502) && got.text.contains("outcome_unknown");
    check(
        "plain",
        &play(failures(&PROMISES), plain_call).await,
        unknown,
    );
    for (is_chat, streams) in [(false, false), (false, true), (true, false), (true, true)] {
        let call = |number| model_call(number, is_chat, streams);
        let what = format!("model, chat {is_chat}, streams {streams}");
        check(&what, &play(failures(&PROMISES), call).await, unknown);
    }
}

/// Guards against failures that are hidden although their status is no promise.
#[tokio::test(flavor = "multi_thread")]
async fn other_failures_of_a_plain_service_are_passed_on() {
    let passed = [
        "400 Bad Request",
        "409 Conflict",
        "500 Internal Server Error",
    ];
    let played = play(failures(&passed), plain_call).await;
    for (case, got) in &played {
        let status = got.status().expect("a status").to_string();
        assert!(case.name.starts_with(&status), "{}: {got:?}", case.name);
    }
}

/// Guards against callers that get a status of no final answer, with which they can do nothing.
#[tokio::test(flavor = "multi_thread")]
async fn status_of_no_final_answer_is_not_passed_on() {
    let statuses = [
        "000",
        "099",
        "abc",
        "101 Switching Protocols",
        "199",
        "600",
        "999",
    ];
    let unknown = |got: &RawAnswer| got.status() == Some(502);
    check(
        "plain",
        &play(failures(&statuses), plain_call).await,
        unknown,
    );
    let call = |number| model_call(number, false, false);
    check("model", &play(failures(&statuses), call).await, unknown);
    let call = |number| model_call(number, false, true);
    check("stream", &play(failures(&statuses), call).await, unknown);
}
