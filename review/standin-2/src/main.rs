//! Plays the cases of `review/` that are scripts: `standin-2 CASE RECORD`. Exit code 0 if the rule held, 1 if it was
//! broken, 2 if the case could not run. Without the disruption if the variable `TROUBLE` is 0.

mod cases;
mod http;
mod runner;
mod site;
mod store;

use std::process::ExitCode;

use site::Record;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, record] = &args[..] else {
        eprintln!("standin-2: expected CASE RECORD");
        return ExitCode::from(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = Record::create(record)
        .map_err(|e| e.to_string())
        .and_then(|record| cases::play(case, record, is_troubled));
    match played {
        Ok(0) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(breaches) => {
            println!("the rule was broken: {breaches} requests");
            ExitCode::from(1)
        }
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
