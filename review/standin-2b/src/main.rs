//! Stand-ins and scripts of the cases: `case NAME FOLDER` plays one, `runner` is a runner that can be killed.

mod cases;
mod http;
mod json;
mod runner;
mod site;
mod store;

use std::{path::Path, process::exit, time::Duration};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["runner", addr, id, warmup_ms] => {
            let warmup_ms = warmup_ms.parse().unwrap_or(0);
            runner::run(addr, id, Duration::from_millis(warmup_ms));
        }
        ["case", name, folder] => {
            let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
            let result = cases::play(name, Path::new(folder), has_trouble);
            exit(match result {
                Ok(true) => 0,
                Ok(false) => 1,
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    2
                }
            });
        }
        _ => exit(2),
    }
}
