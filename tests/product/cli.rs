//! Tests of the command line: errors name the invalid setting, and exit codes are as documented.

use std::process::{Command, Output};

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ryevalve"));
    command
        .env_clear()
        .args(args)
        .output()
        .expect("run ryevalve")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const VALID_ARGS: [&str; 13] = [
    "serve",
    "--name",
    "a",
    "--hall",
    "h",
    "--data-centre",
    "d",
    "--platform-addr",
    "127.0.0.1:1",
    "--cluster-key",
    "0123456789abcdef",
    "--operator-key",
    "0123456789abcdef",
];

#[test]
fn errors_name_the_invalid_setting_and_its_valid_values() {
    let table = [
        ("--name", "a b", "letters, digits"),
        ("--caller-addr", "localhost:1", "IP and port"),
        ("--seeds", "127.0.0.1", "separated by commas"),
        ("--log-format", "xml", "`json` or `plain`"),
        ("--max-connections", "0", "1 to 1000000"),
        ("--max-body-bytes", "12", "1024 to"),
        ("--header-timeout-ms", "soon", "10 to 600000"),
        ("--body-timeout-ms", "1", "10 to 600000"),
        ("--stop-timeout-ms", "-1", "0 to 3600000"),
        ("--record-requests", "x", "0 to 1000000"),
    ];
    for (flag, value, expected) in table {
        let equals = format!("{flag}={value}");
        let output = run(&[VALID_ARGS.as_slice(), &[&equals]].concat());
        let text = stderr(&output);
        assert_eq!(output.status.code(), Some(2), "{flag}: {text}");
        let name = flag.trim_start_matches("--");
        let env = format!("RYEVALVE_{}", name.to_uppercase().replace('-', "_"));
        assert!(
            text.contains(flag) && text.contains(&env) && text.contains(value),
            "{text}"
        );
        assert!(text.contains(expected), "{text}");
    }
    let short = run(&[VALID_ARGS.as_slice(), &["--cluster-key", "short"]].concat());
    assert_eq!(short.status.code(), Some(2));
    assert!(
        !stderr(&short).contains("short`"),
        "a key was shown: {}",
        stderr(&short)
    );
    let missing = run(&["serve"]);
    assert_eq!(missing.status.code(), Some(2));
    assert!(stderr(&missing).contains("--name (RYEVALVE_NAME) is missing"));
}

#[test]
fn subcommands_print_help_and_reject_unknown_flags() {
    for subcommand in ["serve", "check", "command", "dump", "trace", "replay"] {
        let help = run(&[subcommand, "--help"]);
        assert!(help.status.success());
        assert!(String::from_utf8_lossy(&help.stdout).contains("usage: ryevalve"));
        let unknown = run(&[subcommand, "--nonsense", "1"]);
        assert_eq!(unknown.status.code(), Some(2), "{subcommand}");
    }
    assert!(run(&["help"]).status.success());
    assert!(run(&["version"]).status.success());
    let typo = run(&["replya"]);
    assert_eq!(typo.status.code(), Some(2));
    assert!(stderr(&typo).contains("did you mean `replay`?"));
    assert_eq!(run(&["check", "/nonexistent"]).status.code(), Some(2));
    assert_eq!(
        run(&["command", "show pools", "--at", "127.0.0.1:1"])
            .status
            .code(),
        Some(1)
    );
    assert_eq!(
        run(&["trace", "--workload", "broyes"]).status.code(),
        Some(2)
    );
}
