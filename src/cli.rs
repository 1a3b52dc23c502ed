//! The command line: subcommands, their flags and exit codes.

use std::{
    collections::BTreeMap,
    ffi::OsString,
    fs,
    io::{self, BufRead, IsTerminal, Write},
    net::SocketAddr,
    process::ExitCode,
};

use lexopt::{Arg, Parser};
use snafu::Snafu;
use tokio::signal::unix::{SignalKind, signal};

use crate::{
    client::{self, ClientError},
    config::check::{self, suggestion},
    explain, instance, limit_history,
    logs::{self, LogTarget},
    operator::{
        http::{CommandBody, new_id},
        log::{Reply, Status},
        table,
    },
    platform::{self, edge::EdgeError, store::PlatformStore},
    replay::{
        expect::{Expectations, unmet},
        generate::{self, DEFAULT_REQUESTS, FAULTS, Fault, WORKLOADS, Workload},
        outcome::ReplayOutcome,
        run::{POLICIES, Policy, replay},
        trace::Trace,
    },
    settings::{FLAGS, LogFormat, Secret, Settings, env_name},
    summary,
};

const EXIT_FAILED: u8 = 1;
const EXIT_BAD_INPUT: u8 = 2;
const EXIT_UNKNOWN: u8 = 3;
const DEFAULT_OPERATOR_ADDR: &str = "127.0.0.1:8081";

const HELP: &str = "\
ryevalve: a request scheduler for engines of unlike speed

usage: ryevalve SUBCOMMAND [FLAGS]

  serve          run an instance
  edge           run an instance on the users' platform
  check FILE     validate a configuration, and report every fault with its place
  command TEXT   ask or order through an instance; without TEXT, read lines
  dump           print an instance's state as JSON
  explain ID     say from log lines what happened to a request
  limits ORG     show from log lines what an organisation used, and why it could
  summary        sum up from log lines how requests ended and why
  trace          print a trace, one JSON object a line
  replay FILE    replay a trace through policies, in virtual time
  help           print this
  version        print the version

`ryevalve SUBCOMMAND --help` lists its flags.
";

const EDGE_HELP: &str = "\
usage: ryevalve edge

Runs an instance on the users' platform until SIGTERM stops it as planned. The
environment variable RYEVALVE_CONFIG names the platform's settings file, which
is read again on SIGHUP and when it changes.

Exit 0: stopped, all requests answered. 1: not started, or stopped with requests
in progress. 2: settings that cannot be used.
";

const CHECK_HELP: &str = "\
usage: ryevalve check FILE

Validates a configuration. Prints every fault with its line, column and fix.
Exit 0: no fault. 1: faults. 2: FILE cannot be read.
";

const COMMAND_HELP: &str = "\
usage: ryevalve command ['TEXT'] [--at ADDR] [--key KEY] [--id ID] [--format table|json]

Gives a command to an instance. Without TEXT, reads one command a line from
standard input, with a prompt when that is a terminal (`history` lists what was
given, `!N` gives number N again). A TEXT of `-` reads one command of several
lines from standard input.

  --at ADDR      the instance's operator address (127.0.0.1:8081)
  --key KEY      an operator's key; also RYEVALVE_OPERATOR_KEY
  --id ID        the command's id; the same id again is not carried out twice
  --format F     `table` or `json` (table)

Exit 0: done. 1: refused, or not reached. 2: bad input. 3: outcome not known.
";

const DUMP_HELP: &str = "\
usage: ryevalve dump [--at ADDR] [--key KEY]

Prints an instance's state as JSON.
";

const EXPLAIN_HELP: &str = "\
usage: ryevalve explain ID [FILE...]

Collects a request's lines from logs of any number of instances (standard input
without FILE), in the order of their times, and says what happened and what
decided it. With the name of a service as ID, the same for its roll-outs.

Exit 0: explained. 1: no line is about it. 2: bad input.
";

const LIMITS_HELP: &str = "\
usage: ryevalve limits ORGANISATION FILE...

Shows by second what quota servers granted an organisation and how many requests
they denied, from which share of its limit (1 is all of it), by how many instances
limits were divided at the least, and each change of its limit. One FILE an
instance.

Exit 0: shown. 1: no line is about its limit. 2: bad input.
";

const SUMMARY_HELP: &str = "\
usage: ryevalve summary [FILE...]

Sums up logs of any number of instances (standard input without FILE): how many
requests of each route ended how and why, and how first events of streams were
expected and came. A line that stands for a sample counts for all of it. For each
roll-out, its last step and the evidence for it.
";

const TRACE_HELP: &str = "\
usage: ryevalve trace --workload broye|steppe [--seed N] [--requests N] [--fault FAULT]

Prints a trace: a header, then one request a line, as JSON.

  --workload W   broye or steppe
  --seed N       the same seed makes the same trace (1)
  --requests N   how many requests (4000)
  --fault FAULT  none, slow-engine, endpoint-death, stale-reports, burst,
                 leader-death or store-outage (none)
";

const REPLAY_HELP: &str = "\
usage: ryevalve replay FILE [--policy NAME,...|all] [--expect FILE] [--format table|json]

Replays a trace (`-` for standard input) through policies, in virtual time.

  --policy P     ryevalve, round-robin, random-two, least-load, fifo, or all (ryevalve)
  --expect FILE  outcomes stated beforehand, in TOML
  --format F     `table` or `json` (table)

Exit 0: done. 1: a property or a stated outcome does not hold. 2: bad input.
";

/// Why the program ended with an error.
#[derive(Debug, Snafu)]
enum CliError {
    /// The command line or the input is invalid.
    #[snafu(display("{message}"))]
    Usage { message: String },
    /// An operation failed, was refused or could not reach an instance.
    #[snafu(display("{message}"))]
    Failed { message: String },
    /// The outcome is unknown: the command may have been carried out.
    #[snafu(display("{message}"))]
    Unknown { message: String },
}

impl CliError {
    fn usage(message: impl Into<String>) -> Self {
        Self::Usage {
            message: message.into(),
        }
    }

    fn failed(message: impl Into<String>) -> Self {
        Self::Failed {
            message: message.into(),
        }
    }

    fn code(&self) -> u8 {
        match self {
            Self::Usage { .. } => EXIT_BAD_INPUT,
            Self::Failed { .. } => EXIT_FAILED,
            Self::Unknown { .. } => EXIT_UNKNOWN,
        }
    }
}

impl From<lexopt::Error> for CliError {
    fn from(error: lexopt::Error) -> Self {
        Self::usage(error.to_string())
    }
}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        let message = error.to_string();
        if error.is_unknown() {
            Self::Unknown { message }
        } else {
            Self::Failed { message }
        }
    }
}

/// Runs the program with its arguments, without the program name.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    match run(args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("ryevalve: {error}");
            ExitCode::from(error.code())
        }
    }
}

fn run(args: impl IntoIterator<Item = OsString>) -> Result<ExitCode, CliError> {
    let mut parser = Parser::from_args(args);
    let subcommand = match parser.next()? {
        None => return Err(CliError::usage(format!("no subcommand\n\n{HELP}"))),
        Some(Arg::Long("help") | Arg::Short('h')) => "help".to_owned(),
        Some(Arg::Long("version") | Arg::Short('V')) => "version".to_owned(),
        Some(Arg::Value(value)) => text(value)?,
        Some(other) => return Err(other.unexpected().into()),
    };
    match subcommand.as_str() {
        "serve" => serve(parser),
        "edge" => edge(parser),
        "check" => check_file(parser),
        "command" => command(parser),
        "dump" => dump(parser),
        "explain" => explain_request(parser),
        "limits" => show_limits(parser),
        "summary" => summarize_requests(parser),
        "trace" => trace(parser),
        "replay" => replay_file(parser),
        "help" => print(HELP),
        "version" => print(concat!("ryevalve ", env!("CARGO_PKG_VERSION"), "\n")),
        other => {
            let known = [
                "serve", "edge", "check", "command", "dump", "explain", "limits", "summary",
                "trace", "replay", "help", "version",
            ];
            let hint = suggestion(other, known);
            Err(CliError::usage(format!(
                "unknown subcommand `{other}`; {hint}"
            )))
        }
    }
}

fn print(text: &str) -> Result<ExitCode, CliError> {
    write_out(text)?;
    Ok(ExitCode::SUCCESS)
}

/// Writes to standard output and flushes it. A closed reader is an error, not a panic.
fn write_out(text: &str) -> Result<(), CliError> {
    let mut out = io::stdout().lock();
    let written = out.write_all(text.as_bytes()).and_then(|()| out.flush());
    written.map_err(|error| CliError::failed(format!("cannot write: {error}")))
}

fn text(value: OsString) -> Result<String, CliError> {
    value
        .into_string()
        .map_err(|value| CliError::usage(format!("{value:?} is not text")))
}

/// The parsed arguments of a subcommand.
#[derive(Default)]
struct Args {
    flags: BTreeMap<String, String>,
    values: Vec<String>,
    help: bool,
}

impl Args {
    fn read(mut parser: Parser, known: &[&str]) -> Result<Self, CliError> {
        let mut args = Self::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("help") | Arg::Short('h') => args.help = true,
                Arg::Long(name) => {
                    let name = name.to_owned();
                    if !known.contains(&name.as_str()) {
                        let hint = suggestion(&name, known.iter().copied());
                        let message = format!("unknown flag --{name}; {hint}");
                        return Err(CliError::usage(message));
                    }
                    let value = text(parser.value()?)?;
                    args.flags.insert(name, value);
                }
                Arg::Value(value) => args.values.push(text(value)?),
                Arg::Short(_) => return Err(arg.unexpected().into()),
            }
        }
        Ok(args)
    }

    fn one_value(&self, what: &str) -> Result<&str, CliError> {
        match self.values.as_slice() {
            [value] => Ok(value),
            [] => Err(CliError::usage(format!("{what} is missing"))),
            [_, extra, ..] => Err(CliError::usage(format!("`{extra}` is one too many"))),
        }
    }

    fn no_values(&self) -> Result<(), CliError> {
        match self.values.first() {
            None => Ok(()),
            Some(value) => Err(CliError::usage(format!("`{value}` is one too many"))),
        }
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.flags.get(name).map(String::as_str)
    }

    fn json(&self) -> Result<bool, CliError> {
        match self.get("format") {
            None | Some("table") => Ok(false),
            Some("json") => Ok(true),
            Some(other) => {
                let message = format!("--format: `{other}` is not usable; expected table or json");
                Err(CliError::usage(message))
            }
        }
    }

    fn at(&self) -> Result<SocketAddr, CliError> {
        let value = self.get("at").unwrap_or(DEFAULT_OPERATOR_ADDR);
        value.parse().map_err(|_| {
            CliError::usage(format!(
                "--at: `{value}` is not usable; expected IP and port"
            ))
        })
    }

    fn key(&self) -> Secret {
        let given = self.get("key").map(str::to_owned);
        let found = given.or_else(|| std::env::var("RYEVALVE_OPERATOR_KEY").ok());
        Secret::new(found.unwrap_or_default())
    }
}

fn serve_help() -> String {
    let mut help = "usage: ryevalve serve [FLAGS]\n\nRuns an instance until SIGTERM, SIGINT or a \
                    command stops it as planned.\nEach flag is also an environment variable.\n\n"
        .to_owned();
    for flag in &FLAGS {
        let default = match flag.default {
            None => "needed".to_owned(),
            Some("") => "none".to_owned(),
            Some(value) => format!("default {value}"),
        };
        let env = env_name(flag.name);
        help.push_str(&format!(
            "  --{:<20} RYEVALVE_{env}\n      {} ({default})\n",
            flag.name, flag.expected
        ));
    }
    help
}

fn serve(parser: Parser) -> Result<ExitCode, CliError> {
    let known: Vec<&str> = FLAGS.iter().map(|f| f.name).collect();
    let args = Args::read(parser, &known)?;
    if args.help {
        return print(&serve_help());
    }
    args.no_values()?;
    let env = |name: &str| std::env::var(name).ok();
    let settings = Settings::merge(&args.flags, env).map_err(|e| CliError::usage(e.to_string()))?;
    logs::start(settings.log_format, LogTarget::Stdout);
    runtime()?.block_on(serve_until_stopped(settings))
}

fn edge(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &[])?;
    if args.help {
        return print(EDGE_HELP);
    }
    args.no_values()?;
    logs::start(LogFormat::Json, LogTarget::Stdout);
    // Single-threaded, as the platform gives an instance only a fraction of one core.
    let built = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = built.map_err(|error| CliError::failed(format!("cannot start: {error}")))?;
    let ended = runtime.block_on(platform::edge::run());
    log::logger().flush();
    match ended {
        Ok(true) => Ok(ExitCode::SUCCESS),
        Ok(false) => Err(CliError::failed(
            "stopped with requests in progress: the time for it ran out",
        )),
        Err(EdgeError::Settings { source }) => Err(CliError::usage(source.to_string())),
        Err(error) => Err(CliError::failed(error.to_string())),
    }
}

fn runtime() -> Result<tokio::runtime::Runtime, CliError> {
    let built = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    built.map_err(|error| CliError::failed(format!("cannot start: {error}")))
}

async fn serve_until_stopped(settings: Settings) -> Result<ExitCode, CliError> {
    let failed = |error: io::Error| CliError::failed(format!("cannot listen for signals: {error}"));
    let mut terminate = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(failed)?;
    let store = PlatformStore::new(settings.platform_addr);
    let running = instance::start(settings, store).await;
    let running = running.map_err(|error| {
        let source = std::error::Error::source(&error).map(ToString::to_string);
        CliError::failed(format!("{error}: {}", source.unwrap_or_default()))
    })?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = running.stop_requested() => {}
    }
    if running.stop().await {
        Ok(ExitCode::SUCCESS)
    } else {
        Err(CliError::failed(
            "stopped with requests in progress: the time for it ran out",
        ))
    }
}

fn read_file(path: &str) -> Result<String, CliError> {
    if path == "-" {
        return io::read_to_string(io::stdin())
            .map_err(|error| CliError::usage(format!("standard input: {error}")));
    }
    fs::read_to_string(path).map_err(|error| CliError::usage(format!("{path}: {error}")))
}

fn explain_request(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &[])?;
    if args.help {
        return print(EXPLAIN_HELP);
    }
    let Some((id, files)) = args.values.split_first() else {
        return Err(CliError::usage("expected a request's ID".to_owned()));
    };
    let text = read_logs(files)?;
    match explain::explain(&text, id) {
        Some(explanation) => print(&explanation),
        None => Err(CliError::failed(format!("no line is about request {id}"))),
    }
}

fn show_limits(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &[])?;
    if args.help {
        return print(LIMITS_HELP);
    }
    let Some((organisation, files)) = args.values.split_first() else {
        return Err(CliError::usage("expected an ORGANISATION".to_owned()));
    };
    let logs: Result<Vec<String>, CliError> = files.iter().map(|file| read_file(file)).collect();
    let logs = logs?;
    let logs: Vec<&str> = logs.iter().map(String::as_str).collect();
    match limit_history::history(&logs, organisation) {
        Some(history) => print(&history.to_string()),
        None => Err(CliError::failed(format!(
            "no line is about the limit of organisation {organisation}"
        ))),
    }
}

fn summarize_requests(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &[])?;
    if args.help {
        return print(SUMMARY_HELP);
    }
    let text = read_logs(&args.values)?;
    print(&summary::summarize(&text).to_string())
}

/// Reads and concatenates the given files, or reads standard input if there are none.
fn read_logs(files: &[String]) -> Result<String, CliError> {
    if files.is_empty() {
        return read_file("-");
    }
    let mut text = String::new();
    for file in files {
        text.push_str(&read_file(file)?);
        text.push('\n');
    }
    Ok(text)
}

fn check_file(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &[])?;
    if args.help {
        return print(CHECK_HELP);
    }
    let path = args.one_value("FILE")?;
    match check::parse(&read_file(path)?) {
        Ok(config) => {
            write_out(&format!(
                "{path}: no fault; {} organisations, {} pools, {} endpoints, {} events\n",
                config.organisations.len(),
                config.pools.len(),
                config.endpoints.len(),
                config.events.len()
            ))?;
            Ok(ExitCode::SUCCESS)
        }
        Err(faults) => {
            let lines: Vec<String> = faults.iter().map(|f| format!("{path}:{f}\n")).collect();
            write_out(&lines.concat())?;
            Err(CliError::failed(format!("{path}: {} faults", faults.len())))
        }
    }
}

fn command(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &["at", "key", "id", "format"])?;
    if args.help {
        return print(COMMAND_HELP);
    }
    let command_client = CommandClient {
        at: args.at()?,
        key: args.key(),
        json: args.json()?,
        runtime: runtime()?,
    };
    match args.values.as_slice() {
        [] => command_client.read_lines(),
        [text] if text == "-" => command_client.send(&read_file("-")?, args.get("id")),
        [text] => command_client.send(text, args.get("id")),
        _ => Err(CliError::usage(
            "quote the command, so that it is one argument",
        )),
    }
}

struct CommandClient {
    at: SocketAddr,
    key: Secret,
    json: bool,
    runtime: tokio::runtime::Runtime,
}

impl CommandClient {
    fn send(&self, text: &str, id: Option<&str>) -> Result<ExitCode, CliError> {
        let id = id.map_or_else(new_id, str::to_owned);
        let body = CommandBody {
            text: text.to_owned(),
            id: Some(id.clone()),
        };
        let sent = self
            .runtime
            .block_on(client::command(self.at, &self.key, &body));
        let reply = sent.map_err(|error| match CliError::from(error) {
            CliError::Unknown { message } => CliError::Unknown {
                message: format!("{message}; give it again with --id {id}"),
            },
            other => other,
        })?;
        self.show(&reply)?;
        Ok(ExitCode::from(match reply.status {
            Status::Done => 0,
            Status::Refused => EXIT_FAILED,
            Status::BadInput => EXIT_BAD_INPUT,
            Status::Unknown => EXIT_UNKNOWN,
        }))
    }

    fn show(&self, reply: &Reply) -> Result<(), CliError> {
        if self.json {
            let text = serde_json::to_string(reply).unwrap_or_default();
            return write_out(&format!("{text}\n"));
        }
        write_out(&table::render(reply))
    }

    fn read_lines(&self) -> Result<ExitCode, CliError> {
        let is_interactive = io::stdin().is_terminal();
        let mut history: Vec<String> = Vec::new();
        let mut last = ExitCode::SUCCESS;
        loop {
            if is_interactive {
                write_out("ryevalve> ")?;
            }
            let mut line = String::new();
            let read = io::stdin().lock().read_line(&mut line);
            let read = read.map_err(|e| CliError::usage(format!("standard input: {e}")))?;
            if read == 0 {
                return Ok(last);
            }
            let Some(text) = expand_line(line.trim(), &history)? else {
                continue;
            };
            history.push(text.clone());
            last = match self.send(&text, None) {
                Ok(code) => code,
                Err(error) => {
                    eprintln!("ryevalve: {error}");
                    ExitCode::from(error.code())
                }
            };
        }
    }
}

/// Returns the command to run for an input line, with `!N` replaced by command N of the history. Returns none if the
/// line is empty, is `history!` (which prints the history) or names no command.
fn expand_line(line: &str, history: &[String]) -> Result<Option<String>, CliError> {
    if line.is_empty() {
        return Ok(None);
    }
    // Ends in `!` because `history where ...` is a query.
    if line == "history!" {
        for (index, text) in history.iter().enumerate() {
            write_out(&format!("{:>4}  {text}\n", index + 1))?;
        }
        return Ok(None);
    }
    let number = line.strip_prefix('!').map(str::parse::<usize>);
    match number {
        None => Ok(Some(line.to_owned())),
        Some(Ok(number)) if (1..=history.len()).contains(&number) => {
            Ok(Some(history[number - 1].clone()))
        }
        Some(_) => {
            eprintln!("ryevalve: there is no command {line}; `history!` lists them");
            Ok(None)
        }
    }
}

fn dump(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &["at", "key"])?;
    if args.help {
        return print(DUMP_HELP);
    }
    args.no_values()?;
    let state = runtime()?.block_on(client::dump(args.at()?, &args.key()))?;
    let text = serde_json::to_string_pretty(&state).unwrap_or_default();
    print(&format!("{text}\n"))
}

fn trace(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &["workload", "seed", "requests", "fault"])?;
    if args.help {
        return print(TRACE_HELP);
    }
    args.no_values()?;
    let Some(name) = args.get("workload") else {
        return Err(CliError::usage(
            "--workload is missing; expected broye or steppe",
        ));
    };
    let workload: Workload = name.parse().map_err(|()| {
        let hint = suggestion(name, WORKLOADS.map(|(known, _)| known));
        CliError::usage(format!("--workload: `{name}` is not usable; {hint}"))
    })?;
    let fault = args.get("fault").unwrap_or("none");
    let fault: Fault = fault.parse().map_err(|()| {
        let hint = suggestion(fault, FAULTS.map(|(known, _)| known));
        CliError::usage(format!("--fault: `{fault}` is not usable; {hint}"))
    })?;
    let seed = number(&args, "seed", 1, u64::MAX)?;
    let requests = number(&args, "requests", DEFAULT_REQUESTS as u64, 1_000_000)?;
    let trace = generate::generate(workload, seed, requests as usize, fault);
    let out = io::BufWriter::new(io::stdout().lock());
    let written = trace.write(out);
    written.map_err(|error| CliError::failed(format!("cannot write: {error}")))?;
    Ok(ExitCode::SUCCESS)
}

fn number(args: &Args, name: &str, default: u64, max: u64) -> Result<u64, CliError> {
    let Some(value) = args.get(name) else {
        return Ok(default);
    };
    match value.parse() {
        Ok(number) if (1..=max).contains(&number) => Ok(number),
        _ => {
            let message = format!("--{name}: `{value}` is not usable; expected 1 to {max}");
            Err(CliError::usage(message))
        }
    }
}

fn replay_file(parser: Parser) -> Result<ExitCode, CliError> {
    let args = Args::read(parser, &["policy", "expect", "format"])?;
    if args.help {
        return print(REPLAY_HELP);
    }
    let json = args.json()?;
    let path = args.one_value("FILE")?;
    let policies = policies(args.get("policy").unwrap_or("ryevalve"))?;
    let expectations = match args.get("expect") {
        None => Expectations::default(),
        Some(file) => toml::from_str(&read_file(file)?)
            .map_err(|error| CliError::usage(format!("{file}: {error}")))?,
    };
    let trace = Trace::read(&read_file(path)?);
    let trace = trace.map_err(|error| CliError::usage(format!("{path}: {error}")))?;
    let outcome = replay(&trace, &policies);
    if json {
        let text = serde_json::to_string(&outcome).unwrap_or_default();
        write_out(&format!("{text}\n"))?;
    } else {
        write_out(&outcome_table(&outcome))?;
    }
    let mut failures = unmet(&expectations, &outcome);
    for policy in outcome.policies.iter().filter(|p| p.violations > 0) {
        let first = policy.breaches.first().cloned().unwrap_or_default();
        failures.push(format!(
            "{}: {} breaches, first: {first}",
            policy.policy, policy.violations
        ));
    }
    if failures.is_empty() {
        return Ok(ExitCode::SUCCESS);
    }
    Err(CliError::failed(format!(
        "does not hold:\n{}",
        failures.join("\n")
    )))
}

fn policies(names: &str) -> Result<Vec<Policy>, CliError> {
    let names: Vec<&str> = if names == "all" {
        POLICIES.to_vec()
    } else {
        names.split(',').collect()
    };
    let parsed = names.into_iter().map(|name| {
        name.parse().map_err(|()| {
            let hint = suggestion(name, POLICIES);
            CliError::usage(format!("--policy: `{name}` is not usable; {hint}"))
        })
    });
    parsed.collect()
}

fn outcome_table(outcome: &ReplayOutcome) -> String {
    let mut out = String::new();
    for policy in &outcome.policies {
        out.push_str(&format!(
            "{}: prefill {} tokens, wasted {}, violations {}, decision {:.1} us (p99 {:.1})\n",
            policy.policy,
            policy.prefill_tokens,
            policy.wasted_prefill_tokens,
            policy.violations,
            policy.decision_us_p50,
            policy.decision_us_p99
        ));
        for tier in &policy.tiers {
            out.push_str(&format!(
                "  {:<12} offered {:>6}  in time {:>6} ({:>5.1}%)  late {:>5}  shed {:>5}  \
                 expired {:>5}  refused {:>4}  unknown {:>4}\n",
                tier.tier,
                tier.offered,
                tier.in_time,
                tier.goodput * 100.0,
                tier.late,
                tier.shed,
                tier.expired,
                tier.refused,
                tier.unknown
            ));
        }
    }
    out.push_str("bound:");
    for tier in &outcome.bound.tiers {
        out.push_str(&format!(" {} {}", tier.tier, tier.in_time));
    }
    out.push_str(&format!(
        ", together {}, prefill at least {}\n",
        outcome.bound.in_time_sum, outcome.bound.prefill_tokens_min
    ));
    out
}
