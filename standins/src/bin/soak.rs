//! Runs soaks: `soak [--seed N] [--runs N] [--seconds S] [--instances N] [--endpoints N] [--callers N]
//! [--http10 0|1]`.
//!
//! Exit code 0 if no check failed, 1 if one did (the seed is printed), 2 for bad arguments.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use standins::soak::{self, Plan};

fn main() -> ExitCode {
    let plan = match arguments() {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("soak: {error}");
            return ExitCode::from(2);
        }
    };
    let (plan, runs) = plan;
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let mut passed = true;
    for seed in plan.seed..plan.seed + runs {
        let plan = Plan {
            seed,
            ..plan.clone()
        };
        let report = runtime.block_on(soak::run(&plan));
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} of {} streams whole after a loss of all ({} refused), {} \
             breaches",
            report.requests,
            report.served,
            report.faults,
            report.taken_up_after_loss.whole,
            report.taken_up_after_loss.streams,
            report.taken_up_after_loss.refused,
            report.breaches.len()
        );
        for breach in &report.breaches {
            println!("  {breach}");
        }
        if let Some(logs) = &report.logs {
            println!("  logs: {}", logs.display());
        }
        passed &= report.breaches.is_empty();
    }
    ExitCode::from(u8::from(!passed))
}

fn arguments() -> Result<(Plan, u64), String> {
    let current_exe = std::env::current_exe().map_err(|e| e.to_string())?;
    let mut plan = Plan {
        binary: current_exe.with_file_name("ryevalve"),
        seed: 1,
        faults_for: Duration::from_secs(12),
        instances: 5,
        endpoints: 6,
        callers: 24,
        http10: false,
    };
    let mut runs = 1;
    let mut args = std::env::args().skip(1);
    while let Some(flag) = args.next() {
        let value = args.next().ok_or(format!("{flag} needs a value"))?;
        let number = || {
            value
                .parse::<u64>()
                .map_err(|_| format!("{flag} {value}: not a number"))
        };
        match flag.as_str() {
            "--seed" => plan.seed = number()?,
            "--runs" => runs = number()?,
            "--seconds" => plan.faults_for = Duration::from_secs(number()?),
            "--instances" => plan.instances = number()?.clamp(1, 200) as usize,
            "--endpoints" => plan.endpoints = number()?.clamp(1, 500) as usize,
            "--callers" => plan.callers = number()?.clamp(1, 5_000) as usize,
            "--http10" => plan.http10 = number()? > 0,
            "--binary" => plan.binary = PathBuf::from(&value),
            _ => return Err(format!("{flag} is not known")),
        }
    }
    if !plan.binary.exists() {
        let path = plan.binary.display();
        return Err(format!(
            "{path} is missing; build it: cargo build --release"
        ));
    }
    Ok((plan, runs))
}
