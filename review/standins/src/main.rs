//! Plays the cases of the review: `review-standins CASE DIR`, from the repository's root.
//!
//! Exit code 0 if the rule held, 1 if it was broken, 2 if the case could not run.

mod callers_that_leave;
mod deployment;
mod http;
mod record;
mod requester;
mod runner;
mod store;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        eprintln!("review-standins: expected CASE DIR");
        return ExitCode::from(2);
    };
    if case == "requester" {
        return run_requester(&dir, args.next(), args.next());
    }
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    let played = match &*case {
        "callers-that-leave" => callers_that_leave::play(&record, has_trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    if let Err(error) = record.write(&PathBuf::from(dir).join("record.txt")) {
        eprintln!("review-standins: cannot write the record: {error}");
        return ExitCode::from(2);
    }
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("review-standins: the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Runs the process of a requester.
fn run_requester(addr: &str, wave: Option<String>, leaves: Option<String>) -> ExitCode {
    let addr = addr.parse().ok();
    let wave = wave.and_then(|wave| wave.parse().ok());
    let (Some(addr), Some(wave)) = (addr, wave) else {
        return ExitCode::from(2);
    };
    match callers_that_leave::run_requester(addr, wave, leaves.as_deref() == Some("true")) {
        Ok(()) => ExitCode::SUCCESS,
        Err(_) => ExitCode::from(2),
    }
}
