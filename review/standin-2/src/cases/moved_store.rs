//! The settings file names another address of the store, and SIGHUP says so.

use std::{thread, time::{Duration, Instant}};

use crate::{
    cases::config,
    runner::sound,
    site::{Call, Record, Site},
};

const INSTANCES: usize = 5;
/// Instances that get SIGHUP; the files of the others change without a signal.
const SIGNALLED: usize = 3;
/// Time between the signals, which are sent over 2 s.
const GAP: Duration = Duration::from_secs(1);
/// Both addresses serve the store for this long.
const OVERLAP: Duration = Duration::from_secs(12);
/// `contactMs`, and some more.
const CONTACT: Duration = Duration::from_millis(4_500);
/// `drainMs` and `configApplyMs`, and some more.
const BOUND: Duration = Duration::from_millis(2_500);
const REQUESTS: usize = 60;

pub fn play(record: Record, is_troubled: bool) -> Result<usize, String> {
    let services = [
        ("wuno96b", sound()),
        ("wuno96b", sound()),
        ("wuno96b", sound()),
        ("lehu44b", sound()),
        ("lehu44b", sound()),
    ];
    let site = Site::start(record, INSTANCES, &config(7, "wuno96b", 16_384), &services)?;
    call_all(&site, "before", "/cufi504/2f")?;
    if is_troubled {
        let ip = site.door.addr.ip().to_string();
        let new_door = site.store.open(&ip).map_err(|e| e.to_string())?;
        site.record.write(&format!("the store is served at {}, too", new_door.addr));
        for index in 0..INSTANCES {
            site.write_settings(index, INSTANCES, new_door.addr, false)?;
        }
        for index in 0..SIGNALLED {
            site.signal(index, "HUP")?;
            thread::sleep(GAP);
        }
        thread::sleep(OVERLAP);
        site.door.close();
        site.record.write(&format!("the store is not served at {} any more", site.door.addr));
    }
    thread::sleep(CONTACT);

    site.store.put("servers", "i-0", &site.runners[0].entry("wuno96b", "draining"));
    site.record.write("the store has taken that runner i-0 is draining");
    thread::sleep(BOUND);
    let drained_us = Instant::now();
    let refused = call_all(&site, "drained", "/cufi504/2f")?;
    site.record.write(&format!("{refused} of {REQUESTS} public requests were not answered with 200"));
    let at_drained = count(&site, drained_us, "drained", |runner| runner == "i-0");
    site.record.write(&format!("DRAIN: {at_drained} requests reached runner i-0"));

    site.store.put("config", "main", &config(9, "lehu44b", 16_384));
    site.record.write("the store has taken version 9, which leads /cufi504/ from wuno96b to lehu44b");
    thread::sleep(BOUND);
    let moved_us = Instant::now();
    call_all(&site, "moved", "/cufi504/2f")?;
    let by_old = count(&site, moved_us, "moved", |runner| !["i-3", "i-4"].contains(&runner));
    site.record.write(&format!("CONFIG: {by_old} requests were run by the old service"));

    let refused = call_all(&site, "keyed", "/puxa403/2f")?;
    site.record.write(&format!("{refused} of {REQUESTS} requests with a valid key were not answered with 200"));
    let ready = (0..INSTANCES).filter(|index| site.is_ready(*index)).count();
    site.record.write(&format!("{ready} of {INSTANCES} instances are ready"));
    site.record_runs();
    Ok(at_drained + by_old)
}

/// Sends requests to all instances in turn; returns how many are not answered with 200.
fn call_all(site: &Site, name: &str, path: &str) -> Result<usize, String> {
    let mut failed = 0;
    for number in 0..REQUESTS {
        let id = format!("{name}-{number}");
        let mut caller = site.connect(number % INSTANCES).map_err(|e| e.to_string())?;
        let call = Call { method: "POST", path, id: &id, deadline_ms: 1_500, lines: "", body: "{}" };
        caller.send(&call).map_err(|e| e.to_string())?;
        let status = caller.receive(Duration::from_secs(3)).map_or(0, |answer| answer.status());
        site.record.write(&format!("request {id} to instance {}: {status}", number % INSTANCES));
        failed += usize::from(status != 200);
    }
    Ok(failed)
}

/// Counts the runs of requests since a time, by their names, at some runners.
fn count(site: &Site, since: Instant, name: &str, is_counted: impl Fn(&str) -> bool) -> usize {
    let runs = site.runs.lock().unwrap();
    let runs = runs.iter().filter(|run| run.at >= since && run.id.starts_with(name));
    runs.filter(|run| is_counted(&run.runner)).count()
}
