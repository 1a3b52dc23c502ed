//! Runs streams beside processes that end:
//! `streams [--binary PATH] [--seed N] [--runs N] [--seconds S] [--instances N] [--endpoints N] [--callers N]
//! [--framing chunked|length|close|mixed] [--ends none|endpoints|instances|both|releases|stops|connections|freezes|all|losses|
//! replacements]
//! [--breaks CLOSED,RESET,UNFRAMED] [--http10 0|1] [--ids 0|1] [--restart-ms N]`.
//!
//! Exit code 0 if each stream was right for its caller and enough went on after losses of all instances, 1 if not, 2 for
//! bad arguments.
//! `streams endpoint ADDRESS ID VERSION FRAMING EVENTS BREAKS SEED` serves as an endpoint.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use standins::{
    broken_answer::BreakShares,
    streams::{self, Ends, Framing, Plan, Service},
};

/// Breaches shown of a run.
const SHOWN: usize = 5;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    if let [command, addr, id, version, framing, events, breaks, seed] = &args[..]
        && command == "endpoint"
    {
        let service = Service::from_args([framing, events, breaks, seed]);
        let (Ok(addr), Ok(service)) = (addr.parse(), service) else {
            return ExitCode::from(2);
        };
        runtime.block_on(streams::serve_endpoint(addr, id, version, service));
        return ExitCode::SUCCESS;
    }
    let (plan, runs) = match parse(&args) {
        Ok(parsed) => parsed,
        Err(error) => {
            eprintln!("streams: {error}");
            return ExitCode::from(2);
        }
    };
    let mut passed = true;
    for seed in plan.seed..plan.seed + runs {
        let plan = Plan {
            seed,
            ..plan.clone()
        };
        let report = runtime.block_on(streams::run(&plan));
        println!(
            "seed {seed}: {} streams, {} whole, {} answers broken, {} taken up, {} ended, {} unproven and short, breaches {:?}",
            report.streams,
            report.whole,
            report.broken,
            report.taken_up,
            report.ended,
            report.unproven,
            report.breach_counts()
        );
        for (route, breach) in report.breaches.iter().take(SHOWN) {
            println!("  {route}: {breach}");
        }
        let owed = report.taken_up_after_loss;
        if owed.streams > 0 {
            println!(
                "  after losses of all instances: {} joined of two versions, {} of {} whole whose version served, {} refused \
                 while served (the oldest {} ms old at the loss)",
                report.joined(),
                owed.whole,
                owed.streams,
                owed.refused,
                owed.oldest_refused_ms
            );
        }
        passed &= report.passes();
    }
    ExitCode::from(u8::from(!passed))
}

fn parse(args: &[String]) -> Result<(Plan, u64), String> {
    let current_exe = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut plan = Plan {
        binary: current_exe.with_file_name("ryevalve"),
        seed: 1,
        instances: 3,
        endpoints: 8,
        callers: 24,
        lasts: Duration::from_secs(12),
        framing: Framing::Mixed,
        ends: Ends::Endpoints,
        breaks: BreakShares::default(),
        http10: false,
        shares_ids: false,
        restart_after: Duration::from_millis(400),
    };
    let mut runs = 1;
    for pair in args.chunks(2) {
        let [flag, value] = pair else {
            return Err(format!("{} needs a value", pair[0]));
        };
        let number = || {
            let parsed = value.parse::<u64>();
            parsed.map_err(|_| format!("{flag} {value}: not a number"))
        };
        match flag.as_str() {
            "--binary" => plan.binary = PathBuf::from(value),
            "--seed" => plan.seed = number()?,
            "--runs" => runs = number()?,
            "--restart-ms" => plan.restart_after = Duration::from_millis(number()?),
            "--seconds" => plan.lasts = Duration::from_secs(number()?),
            "--instances" => plan.instances = number()?.clamp(1, 100) as usize,
            "--endpoints" => plan.endpoints = number()?.clamp(1, 100) as usize,
            "--callers" => plan.callers = number()?.clamp(1, 1_000) as usize,
            "--framing" => plan.framing = value.parse()?,
            "--ends" => plan.ends = value.parse()?,
            "--breaks" => plan.breaks = value.parse()?,
            "--http10" => plan.http10 = number()? > 0,
            "--ids" => plan.shares_ids = number()? > 0,
            _ => return Err(format!("{flag} is not known")),
        }
    }
    Ok((plan, runs))
}
