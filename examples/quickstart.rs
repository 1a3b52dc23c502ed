//! Starts stand-in servers and two instances on loopback, and prints commands to try.
//!
//! Each instance is a separate process: this program runs its own executable again with the
//! arguments of `ryevalve serve`. Ctrl-C stops everything.

use std::{net::SocketAddr, process::ExitCode, time::Duration};

use ryevalve::{
    client,
    clock::unix_s,
    config::{self, Versioned},
    distribution::{CONFIG_KEY, StoredConfig},
    entry::parse::key_digest,
    operator::http::CommandBody,
    settings::Secret,
};
use standins::{
    engine::{Engine, Speed},
    plain::Plain,
    platform::{Listed, Platform},
};
use tokio::{
    process::{Child, Command},
    signal::unix::{SignalKind, signal},
    time,
};

const CALLER_KEY: &str = "quickstart-airline-key";
const OPERATOR_KEY: &str = "quickstart-operator-key";
const CLUSTER_KEY: &str = "quickstart-cluster-key";
const READY_ATTEMPTS: u32 = 100;

/// Name and listener addresses of one instance.
struct ListenAddrs {
    name: &'static str,
    callers: SocketAddr,
    operators: SocketAddr,
    peers: SocketAddr,
}

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1).peekable();
    if args.peek().is_some() {
        return ryevalve::cli::main(args);
    }
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    runtime.block_on(run())
}

async fn run() -> ExitCode {
    let platform = Platform::start().await;
    let engines = start_engines().await;
    let plain = Plain::start().await;
    put_config(&platform, &engines, &plain);
    let instances = [pick_addrs("one", 18_080), pick_addrs("two", 18_090)];
    platform.list(instances.iter().map(platform_entry).collect());
    let mut processes: Vec<Child> = instances
        .iter()
        .map(|addrs| start_instance(addrs, platform.addr()))
        .collect();
    if !wait_ready(&instances).await {
        eprintln!("the instances did not get ready");
        return ExitCode::FAILURE;
    }
    print_commands(&instances);
    wait_for_signal().await;
    println!("\nstopping");
    for child in &mut processes {
        stop(child).await;
    }
    ExitCode::SUCCESS
}

/// Starts four engines of different speeds.
async fn start_engines() -> Vec<Engine> {
    let mut engines = Vec::new();
    for (slots, prefill_tokens_per_s, step_ms) in [
        (16, 40_000.0, 3),
        (16, 30_000.0, 4),
        (8, 12_000.0, 8),
        (4, 6_000.0, 15),
    ] {
        let speed = Speed {
            slots,
            prefill_tokens_per_s,
            step: Duration::from_millis(step_ms),
            ..Speed::default()
        };
        engines.push(Engine::start(speed).await);
    }
    engines
}

fn put_config(platform: &Platform, engines: &[Engine], plain: &Plain) {
    let mut toml = format!(
        r#"
[[hall]]
name = "nord"
data_centre = "broye"

[[tier]]
name = "gate"
rank = 0
default_deadline_ms = 5000
max_deadline_ms = 60000

[[tier]]
name = "counter"
rank = 1
default_deadline_ms = 15000
max_deadline_ms = 120000

[[organisation]]
name = "airline"
key_sha256 = ["{}"]

[[pool]]
name = "agent"
kind = "model"

[[pool]]
name = "departure"
kind = "plain"

[[service]]
name = "agent-llm"
pool = "agent"

[[service]]
name = "departure-ctl"
pool = "departure"
not_repeatable_paths = ["/bag-tags"]

[[endpoint]]
name = "departure-1"
pool = "departure"
addr = "{}"
hall = "nord"
slots = 16

[[event]]
name = "morning-bank"
pool = "agent"
tier = "gate"
starts_at_s = {}
duration_s = 600
"#,
        hex::encode(key_digest(CALLER_KEY)),
        plain.addr(),
        unix_s() + 30,
    );
    for (index, engine) in engines.iter().enumerate() {
        toml.push_str(&format!(
            "[[endpoint]]\nname = \"agent-{}\"\npool = \"agent\"\naddr = \"{}\"\nhall = \"nord\"\n\
             slots = {}\ncache_tokens = 65536\nchecks_fences = true\n",
            index + 1,
            engine.addr(),
            [16, 16, 8, 4][index],
        ));
    }
    let config = config::parse(&toml).expect("the quickstart's configuration has no fault");
    let mut stored = StoredConfig::default();
    stored.set(&Versioned::from_config(1, config));
    platform.put(CONFIG_KEY, stored.write());
}

/// Picks three free loopback ports: from the ten ports starting at `base`, then from `base + 1000` on.
fn pick_addrs(name: &'static str, base: u16) -> ListenAddrs {
    let is_free = |port: &u16| {
        std::net::TcpListener::bind(("127.0.0.1", *port)).is_ok()
            && std::net::UdpSocket::bind(("127.0.0.1", *port)).is_ok()
    };
    let mut free_ports = (base..base + 10).chain(base + 1_000..).filter(is_free);
    let mut next_addr =
        || SocketAddr::from(([127, 0, 0, 1], free_ports.next().expect("a free port")));
    ListenAddrs {
        name,
        callers: next_addr(),
        operators: next_addr(),
        peers: next_addr(),
    }
}

fn platform_entry(addrs: &ListenAddrs) -> Listed {
    Listed {
        name: addrs.name.to_owned(),
        peer_addr: addrs.peers,
        leaving: false,
    }
}

fn start_instance(addrs: &ListenAddrs, platform: SocketAddr) -> Child {
    let program = std::env::current_exe().expect("this program's path");
    Command::new(program)
        .args([
            "serve",
            "--name",
            addrs.name,
            "--hall",
            "nord",
            "--data-centre",
            "broye",
        ])
        .args(["--caller-addr", &addrs.callers.to_string()])
        .args(["--operator-addr", &addrs.operators.to_string()])
        .args(["--peer-addr", &addrs.peers.to_string()])
        .args(["--platform-addr", &platform.to_string()])
        .args(["--log-format", "plain"])
        .env("RYEVALVE_CLUSTER_KEY", CLUSTER_KEY)
        .env("RYEVALVE_OPERATOR_KEY", OPERATOR_KEY)
        .kill_on_drop(true)
        .spawn()
        .expect("start an instance")
}

async fn wait_ready(instances: &[ListenAddrs]) -> bool {
    let key = Secret::new(OPERATOR_KEY);
    let body = CommandBody {
        text: "show instances".to_owned(),
        id: None,
    };
    for _ in 0..READY_ATTEMPTS {
        time::sleep(Duration::from_millis(100)).await;
        let mut ready = 0;
        for addrs in instances {
            let instances_seen = client::command(addrs.operators, &key, &body).await;
            let state = client::dump(addrs.operators, &key).await;
            let sees_all = instances_seen.is_ok_and(|reply| reply.rows.len() == instances.len());
            ready += usize::from(sees_all && state.is_ok_and(|s| s["ready"] == true));
        }
        if ready == instances.len() {
            return true;
        }
    }
    false
}

fn print_commands(instances: &[ListenAddrs]) {
    let [one, two] = instances else { return };
    println!("\nTwo instances are ready. Try, in another terminal:\n");
    for (addrs, stream) in [(one, false), (two, true)] {
        println!(
            "curl -sN http://{}/v1/completions -H 'authorization: Bearer {CALLER_KEY}' \
             -H 'x-tier: gate' -d '{{\"model\":\"agent-llm\",\"prompt\":\"Rebook the family of \
             five\",\"max_tokens\":8,\"stream\":{stream}}}'\n",
            addrs.callers
        );
    }
    println!(
        "curl -s http://{}/v1/chat/completions -H 'authorization: Bearer {CALLER_KEY}' \
         -d '{{\"model\":\"agent-llm\",\"messages\":[{{\"role\":\"user\",\"content\":\"Which gate?\"}}],\
         \"max_tokens\":8}}'\n",
        one.callers
    );
    println!(
        "curl -s http://{}/v1/services/departure-ctl/bag-tags -H 'authorization: Bearer \
         {CALLER_KEY}' -H 'idempotency-key: tag-1' -d 'tag for seat 12A'   # a second time: 409\n",
        one.callers
    );
    // With arguments this example acts as the program itself, which `cargo run --example` does not build.
    let program = std::env::current_exe().expect("the path of this example");
    let program = program.display();
    println!("The program itself, here as the example that was just built:\n");
    let command = |addrs: &ListenAddrs, text: &str| {
        println!(
            "{program} command '{text}' --at {} --key {OPERATOR_KEY}",
            addrs.operators
        );
    };
    command(one, "show instances");
    command(one, "show endpoints");
    command(two, "ended group by tier, outcome count");
    command(two, "drain endpoint agent-4");
    command(one, "set endpoint {name = \"agent-3\", slots = 6}");
    command(two, "show history");
    command(one, "report event morning-bank");
    println!("{program} dump --at {} --key {OPERATOR_KEY}", one.operators);
    println!(
        "curl -s http://{}/metrics\n\nCtrl-C stops everything.",
        one.operators
    );
}

async fn wait_for_signal() {
    let mut interrupt = signal(SignalKind::interrupt()).expect("listen for SIGINT");
    let mut terminate = signal(SignalKind::terminate()).expect("listen for SIGTERM");
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

/// Shuts an instance down gracefully with SIGTERM and waits up to 10 s for it to exit.
async fn stop(child: &mut Child) {
    if let Some(id) = child.id() {
        let signalled = Command::new("kill").arg(id.to_string()).status().await;
        if signalled.is_ok() {
            let _ = time::timeout(Duration::from_secs(10), child.wait()).await;
        }
    }
}
