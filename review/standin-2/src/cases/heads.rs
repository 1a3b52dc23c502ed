//! A configuration allows longer heads while channels rest.

use std::{thread, time::Duration};

use crate::{
    cases::config,
    runner::sound,
    site::{Call, Caller, Record, Site},
};

const CHANNELS: usize = 40;
/// `configApplyMs`, and some more.
const BOUND: Duration = Duration::from_millis(3_000);
const BEFORE_BYTES: u64 = 16_384;
const AFTER_BYTES: u64 = 65_536;
/// Bytes of the headers of a request, less than the second of these limits.
const HEAD_BYTES: usize = 24_000;

pub fn play(record: Record, is_troubled: bool) -> Result<usize, String> {
    let services = [("wuno96b", sound()), ("wuno96b", sound())];
    // Without the change, the longer heads are allowed from the start.
    let first_bytes = if is_troubled { BEFORE_BYTES } else { AFTER_BYTES };
    let site = Site::start(record, 1, &config(7, "wuno96b", first_bytes), &services)?;
    let mut channels = Vec::new();
    for number in 0..CHANNELS {
        let mut channel = site.connect(0).map_err(|e| e.to_string())?;
        let status = call(&site.record, &mut channel, &format!("before-{number}"), "");
        if status != 200 {
            return Err(format!("a short request was answered with {status}"));
        }
        channels.push(channel);
    }
    if is_troubled {
        site.store.put("config", "main", &config(9, "wuno96b", AFTER_BYTES));
        site.record.write(&format!("the store has taken version 9, with maxHeaderBytes {AFTER_BYTES}"));
    }
    thread::sleep(BOUND);
    let padding = format!("Prefix-Hash: {}\r\n", "5c1e07a2:800,".repeat(HEAD_BYTES / 13));
    let mut refused = 0;
    for (number, channel) in channels.iter_mut().enumerate() {
        let status = call(&site.record, channel, &format!("kept-{number}"), &padding);
        refused += usize::from((400..500).contains(&status) && ![408, 421, 429].contains(&status));
    }
    let mut new = site.connect(0).map_err(|e| e.to_string())?;
    let status = call(&site.record, &mut new, "new", &padding);
    site.record.write(&format!("the same request on a new channel: {status}"));
    site.record_runs();
    let sent = 2 * CHANNELS + 1;
    site.record.write(&format!("DENIED: {refused} of {sent} requests, allowed are {}", 5 + sent / 500));
    Ok(if refused > 5 + sent / 500 { refused } else { 0 })
}

/// Sends a request on a channel; returns the status of its answer, or 0.
fn call(record: &Record, channel: &mut Caller, id: &str, lines: &str) -> u16 {
    let call = Call { method: "POST", path: "/mino21/2f", id, deadline_ms: 1_500, lines, body: "{}" };
    let answer = channel.send(&call).and_then(|()| channel.receive(Duration::from_secs(3)));
    let status = answer.map_or(0, |answer| answer.status());
    record.write(&format!("request {id}, {} bytes of further headers: {status}", lines.len()));
    status
}
