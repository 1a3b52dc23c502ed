//! The settings of `ryevalve serve`. Each is a flag and an environment variable, and is validated at start-up.

use std::{collections::BTreeMap, net::SocketAddr};

use snafu::Snafu;

use crate::prelude::Name;

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text.
    Plain,
}

/// A key that is never printed, logged or dumped.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Wraps a key.
    pub fn new(key: impl Into<String>) -> Self {
        Self(key.into())
    }

    /// Returns the key itself.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("<secret>")
    }
}

/// The addresses, peers, keys and limits of one instance.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The instance's name, unique among all instances.
    pub name: Name,
    /// The hall in which it runs.
    pub hall: Name,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// The address on which it listens for callers.
    pub caller_addr: SocketAddr,
    /// The address on which it listens for operators.
    pub operator_addr: SocketAddr,
    /// The address on which it listens for other instances, over UDP and TCP.
    pub peer_addr: SocketAddr,
    /// Peers to contact at start-up, in addition to those in the platform's instance list.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's object API.
    pub platform_addr: SocketAddr,
    /// Shared by all instances; authenticates the messages between them.
    pub cluster_key: Secret,
    /// An operator key that is valid even before a configuration is in force.
    pub operator_key: Secret,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// The maximum number of caller connections.
    pub max_connections: usize,
    /// The maximum length of a request body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for receiving a request's header, in milliseconds.
    pub header_timeout_ms: u64,
    /// The time limit for receiving a request's body, in milliseconds.
    pub body_timeout_ms: u64,
    /// The time for which a graceful shutdown waits for requests in progress, in milliseconds.
    pub stop_timeout_ms: u64,
    /// The number of finished requests that the recorder keeps.
    pub record_requests: usize,
}

/// An invalid, missing or unknown setting.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum SettingsError {
    /// The value is not valid for the setting.
    #[snafu(display(
        "--{name} (RYEVALVE_{}): `{value}` is not usable; expected {expected}",
        env_name(name)
    ))]
    Invalid {
        /// The flag.
        name: &'static str,
        /// The given value; for keys only their length.
        value: String,
        /// A description of valid values.
        expected: &'static str,
    },
    /// A required setting is missing.
    #[snafu(display(
        "--{name} (RYEVALVE_{}) is missing; expected {expected}",
        env_name(name)
    ))]
    Missing {
        /// The flag.
        name: &'static str,
        /// A description of valid values.
        expected: &'static str,
    },
    /// The flag does not exist.
    #[snafu(display("unknown flag --{name}; {hint}"))]
    Unknown {
        /// The given flag.
        name: String,
        /// A hint with the most similar existing flag.
        hint: String,
    },
}

/// One flag of `serve`: its name, default and valid values.
pub struct Flag {
    /// The flag without its dashes.
    pub name: &'static str,
    /// The default value; none if the flag is required.
    pub default: Option<&'static str>,
    /// A description of valid values, for help and error messages.
    pub expected: &'static str,
}

const fn flag(name: &'static str, default: Option<&'static str>, expected: &'static str) -> Flag {
    Flag {
        name,
        default,
        expected,
    }
}

/// Every flag of `serve`.
pub const FLAGS: [Flag; 17] = [
    flag(
        "name",
        None,
        "the instance's name, of letters, digits, `-`, `_` and `.`",
    ),
    flag("hall", None, "the name of the hall it stands in"),
    flag(
        "data-centre",
        None,
        "the name of the data centre it stands in",
    ),
    flag(
        "caller-addr",
        Some("127.0.0.1:8080"),
        "IP and port for callers",
    ),
    flag(
        "operator-addr",
        Some("127.0.0.1:8081"),
        "IP and port for operators",
    ),
    flag(
        "peer-addr",
        Some("127.0.0.1:8082"),
        "IP and port for the other instances",
    ),
    flag(
        "seeds",
        Some(""),
        "IP and port of some peers, separated by commas",
    ),
    flag(
        "platform-addr",
        None,
        "IP and port of the platform's object API",
    ),
    flag(
        "cluster-key",
        None,
        "at least 16 characters, the same on every instance",
    ),
    flag("operator-key", None, "at least 16 characters"),
    flag("log-format", Some("json"), "`json` or `plain`"),
    flag(
        "max-connections",
        Some("20000"),
        "a whole number from 1 to 1000000",
    ),
    flag(
        "max-body-bytes",
        Some("4000000"),
        "a whole number from 1024 to 100000000",
    ),
    flag(
        "header-timeout-ms",
        Some("5000"),
        "a whole number from 10 to 600000",
    ),
    flag(
        "body-timeout-ms",
        Some("20000"),
        "a whole number from 10 to 600000",
    ),
    flag(
        "stop-timeout-ms",
        Some("300000"),
        "a whole number from 0 to 3600000",
    ),
    flag(
        "record-requests",
        Some("20000"),
        "a whole number from 0 to 1000000",
    ),
];

const MIN_KEY_LEN: usize = 16;

/// Returns the environment variable of a flag, without the prefix `RYEVALVE_`.
pub fn env_name(flag: &str) -> String {
    flag.to_uppercase().replace('-', "_")
}

impl Settings {
    /// Reads each setting from the flags, else from the environment, else from the defaults, and validates it.
    ///
    /// # Errors
    /// The first setting that is unknown, missing or invalid.
    pub fn merge(
        flags: &BTreeMap<String, String>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        for name in flags.keys() {
            if !FLAGS.iter().any(|f| f.name == name) {
                let known = FLAGS.iter().map(|f| f.name);
                let hint = crate::config::check::suggestion(name, known);
                let name = name.clone();
                return Err(SettingsError::Unknown { name, hint });
            }
        }
        let values = Values { flags, env: &env };
        Ok(Self {
            name: values.name("name")?,
            hall: values.name("hall")?,
            data_centre: values.name("data-centre")?,
            caller_addr: values.addr("caller-addr")?,
            operator_addr: values.addr("operator-addr")?,
            peer_addr: values.addr("peer-addr")?,
            seeds: values.addrs("seeds")?,
            platform_addr: values.addr("platform-addr")?,
            cluster_key: values.key("cluster-key")?,
            operator_key: values.key("operator-key")?,
            log_format: values.log_format("log-format")?,
            max_connections: values.number("max-connections", 1, 1_000_000)? as usize,
            max_body_bytes: values.number("max-body-bytes", 1_024, 100_000_000)? as usize,
            header_timeout_ms: values.number("header-timeout-ms", 10, 600_000)?,
            body_timeout_ms: values.number("body-timeout-ms", 10, 600_000)?,
            stop_timeout_ms: values.number("stop-timeout-ms", 0, 3_600_000)?,
            record_requests: values.number("record-requests", 0, 1_000_000)? as usize,
        })
    }
}

struct Values<'a, E> {
    flags: &'a BTreeMap<String, String>,
    env: &'a E,
}

impl<E: Fn(&str) -> Option<String>> Values<'_, E> {
    fn raw(&self, name: &'static str) -> Result<String, SettingsError> {
        let flag = find_flag(name);
        self.flags
            .get(name)
            .cloned()
            .or_else(|| (self.env)(&format!("RYEVALVE_{}", env_name(name))))
            .or_else(|| flag.default.map(str::to_owned))
            .ok_or(SettingsError::Missing {
                name,
                expected: flag.expected,
            })
    }

    fn name(&self, name: &'static str) -> Result<Name, SettingsError> {
        let value = self.raw(name)?;
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if value.is_empty() || !value.chars().all(plain) {
            return Err(invalid(name, value));
        }
        Ok(value.into())
    }

    fn addr(&self, name: &'static str) -> Result<SocketAddr, SettingsError> {
        let value = self.raw(name)?;
        value.parse().map_err(|_| invalid(name, value))
    }

    fn addrs(&self, name: &'static str) -> Result<Vec<SocketAddr>, SettingsError> {
        let value = self.raw(name)?;
        let parts = value.split(',').map(str::trim).filter(|p| !p.is_empty());
        let parsed: Result<Vec<SocketAddr>, _> = parts.map(str::parse).collect();
        parsed.map_err(|_| invalid(name, value))
    }

    fn key(&self, name: &'static str) -> Result<Secret, SettingsError> {
        let value = self.raw(name)?;
        if value.len() < MIN_KEY_LEN {
            let shown = format!("<{} characters>", value.len());
            return Err(invalid(name, shown));
        }
        Ok(Secret::new(value))
    }

    fn log_format(&self, name: &'static str) -> Result<LogFormat, SettingsError> {
        let value = self.raw(name)?;
        match value.as_str() {
            "json" => Ok(LogFormat::Json),
            "plain" => Ok(LogFormat::Plain),
            _ => Err(invalid(name, value)),
        }
    }

    fn number(&self, name: &'static str, min: u64, max: u64) -> Result<u64, SettingsError> {
        let value = self.raw(name)?;
        match value.parse() {
            Ok(number) if (min..=max).contains(&number) => Ok(number),
            _ => Err(invalid(name, value)),
        }
    }
}

fn find_flag(name: &'static str) -> &'static Flag {
    // Every name that `merge` uses is in the table, which the settings test checks.
    FLAGS.iter().find(|f| f.name == name).unwrap_or(&FLAGS[0])
}

fn invalid(name: &'static str, value: String) -> SettingsError {
    SettingsError::Invalid {
        name,
        value,
        expected: find_flag(name).expected,
    }
}
