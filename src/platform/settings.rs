//! The settings file that the platform provides for each process.

use std::{collections::BTreeMap, fs, io, net::SocketAddr, path::PathBuf};

use serde::Deserialize;
use snafu::{ResultExt, Snafu};

/// Environment variable that holds the path of the settings file.
pub const PATH_VARIABLE: &str = "RYEVALVE_CONFIG";

/// Why the settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The environment variable is not set.
    #[snafu(display("{PATH_VARIABLE} is not set; expected the path of a settings file"))]
    NoPath,
    /// The file cannot be read.
    #[snafu(display("{} cannot be read: {source}", path.display()))]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The file is not valid TOML, or a field is missing or of the wrong type.
    #[snafu(display("{} is not a valid settings file: {source}", path.display()))]
    Malformed {
        /// The file.
        path: PathBuf,
        /// The error of the decoder, with the field and its line.
        #[snafu(source(from(toml::de::Error, Box::new)))]
        source: Box<toml::de::Error>,
    },
    /// Values are out of range.
    #[snafu(display("{} has invalid values: {faults}", path.display()))]
    OutOfRange {
        /// The file.
        path: PathBuf,
        /// Each fault with the field, its value and the expected range.
        faults: String,
    },
}

/// The settings that are used; unknown fields of the file are ignored.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct PlatformSettings {
    /// Name of the instance.
    #[serde(rename = "nodeName")]
    pub name: String,
    /// Hall of the instance, which the platform calls zone.
    #[serde(rename = "zone")]
    pub hall: String,
    /// Data centre of the instance, which the platform calls region.
    #[serde(rename = "region")]
    pub data_centre: String,
    /// First and last port of the range that is free for messages between instances.
    #[serde(rename = "internalPorts")]
    pub peer_ports: (u16, u16),
    /// Control addresses of up to three instances, which may no longer exist.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Region of each hall, by hall; the platform calls halls zones.
    #[serde(rename = "zones", default)]
    pub regions: BTreeMap<String, String>,
    /// Whether the deployment starts for the first time.
    #[serde(rename = "bootstrap", default)]
    pub is_first_start: bool,
    /// The addresses to listen on.
    pub listen: Listen,
    /// Resources that the process may use.
    #[serde(rename = "limits")]
    pub machine: MachineLimits,
    /// Parameters of the platform's rules.
    pub bounds: Bounds,
    /// The platform's store.
    #[serde(rename = "platform")]
    pub store: StoreSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct Listen {
    /// For requests of callers.
    #[serde(rename = "frontend")]
    pub callers: SocketAddr,
    /// For readiness probes.
    pub ready: SocketAddr,
    /// For messages of other instances.
    pub control: SocketAddr,
}

/// Resources that one process may use.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct MachineLimits {
    /// Maximum memory, in megabytes.
    #[serde(rename = "memoryMb")]
    pub memory_mb: u64,
    /// Maximum number of open file descriptors.
    #[serde(rename = "maxFds")]
    pub max_descriptors: usize,
    /// Bandwidth of the network link, in megabits a second.
    #[serde(rename = "linkMbps", default = "usual_link_mbps")]
    pub link_mbps: f64,
}

/// The slowest link of all described deployments, which is assumed if none is given.
fn usual_link_mbps() -> f64 {
    10.0
}

/// Parameters of the platform's rules.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
#[serde(rename_all = "camelCase", default)]
pub struct Bounds {
    /// Time from the signal of a planned stop to the kill, in seconds.
    pub grace_s: f64,
    /// How long after it announced its shutdown an endpoint may still be sent requests, in milliseconds.
    pub drain_ms: u64,
    /// How long after a change of the configuration an instance may act on the previous one, in milliseconds.
    pub config_apply_ms: u64,
    /// How long an API key may be used after its revocation, in milliseconds.
    pub revoke_ms: u64,
    /// Whether `revoke_ms` holds even while the configuration cannot be refreshed and callers have to be refused.
    /// Otherwise callers are served by the last known configuration while no newer one can be obtained.
    pub strict_revocation: bool,
    /// Permitted retries per request of a service.
    pub retry_budget_ratio: f64,
    /// Permitted retries per window on top of the ratio, over all instances.
    pub budget_slack: f64,
    /// Window of the retry budget, in seconds.
    pub budget_window_s: f64,
    /// Window of the limits of organisations, in seconds.
    pub quota_window_s: f64,
    /// How far an organisation may exceed its limit, as a share of the limit.
    pub quota_overage: f64,
    /// How far an organisation may exceed its limit on top of that, in units of the limit.
    pub quota_slack: f64,
    /// How long after an evacuation the endpoints of the data centre may still be sent requests, in milliseconds; none
    /// if the platform has no evacuations.
    pub evacuate_ms: Option<u64>,
    /// Maximum share of a service's requests that endpoints of a bad version may get during its roll-out; none if the
    /// platform has no roll-outs.
    pub exposure_share: Option<f64>,
    /// Requests that those endpoints may get on top of the share.
    pub exposure_slack: f64,
    /// How long after the 50th bad answer of a bad version an instance may send requests to its endpoints, in
    /// milliseconds; none if the platform has no roll-outs.
    pub rollback_ms: Option<u64>,
    /// Whether the organisations of the configuration share the room of a service that is short of it.
    pub share_room: bool,
    /// Permitted requests a second to an endpoint that warms up, as a multiple of its warm-up rate.
    pub warmup_overage: f64,
    /// Permitted requests on top of that.
    pub warmup_slack: f64,
}

impl Default for Bounds {
    /// The strictest values of all known platforms, for a platform that states none.
    fn default() -> Self {
        Self {
            grace_s: 8.0,
            drain_ms: 2_000,
            config_apply_ms: 2_000,
            revoke_ms: 5_000,
            strict_revocation: true,
            retry_budget_ratio: 0.2,
            budget_slack: 50.0,
            budget_window_s: 10.0,
            quota_window_s: 8.0,
            quota_overage: 0.1,
            quota_slack: 0.0,
            share_room: false,
            evacuate_ms: None,
            exposure_share: None,
            exposure_slack: 0.0,
            rollback_ms: None,
            warmup_overage: 1.0,
            warmup_slack: 0.0,
        }
    }
}

/// How to reach the platform's store.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
}

impl PlatformSettings {
    /// Reads the file whose path is in the environment variable [`PATH_VARIABLE`].
    ///
    /// # Errors
    /// The variable is not set, or the file cannot be read or is invalid.
    pub fn load() -> Result<Self, SettingsError> {
        let path = std::env::var_os(PATH_VARIABLE).map(PathBuf::from);
        let Some(path) = path else {
            return NoPathSnafu.fail();
        };
        let text = fs::read_to_string(&path).context(UnreadableSnafu { path: &path })?;
        let settings: Self = toml::from_str(&text).context(MalformedSnafu { path: &path })?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            let faults = faults.join("; ");
            OutOfRangeSnafu { path, faults }.fail()
        }
    }

    /// Returns a message for each value that is out of range, with its field and the expected range.
    pub fn faults(&self) -> Vec<String> {
        let bounds = &self.bounds;
        let checks = [
            (
                0 < self.peer_ports.0 && self.peer_ports.0 < self.peer_ports.1,
                format!(
                    "internalPorts = {:?}: expected two different ports, the lower one first",
                    self.peer_ports
                ),
            ),
            (
                self.machine.memory_mb > 0,
                "limits.memoryMb = 0: expected more than 0".into(),
            ),
            (
                self.machine.max_descriptors >= 300,
                format!(
                    "limits.maxFds = {}: expected 300 or more",
                    self.machine.max_descriptors
                ),
            ),
            (
                self.machine.link_mbps > 0.0,
                format!(
                    "limits.linkMbps = {}: expected more than 0",
                    self.machine.link_mbps
                ),
            ),
            (
                bounds.grace_s > 0.0,
                format!("bounds.graceS = {}: expected more than 0", bounds.grace_s),
            ),
            (
                bounds.drain_ms > 0,
                format!("bounds.drainMs = {}: expected more than 0", bounds.drain_ms),
            ),
            (
                bounds.evacuate_ms != Some(0),
                "bounds.evacuateMs = 0: expected more than 0".into(),
            ),
            (
                bounds
                    .exposure_share
                    .is_none_or(|share| share > 0.0 && share < 1.0),
                format!(
                    "bounds.exposureShare = {}: expected more than 0 and less than 1",
                    bounds.exposure_share.unwrap_or_default()
                ),
            ),
            (
                bounds.exposure_slack >= 0.0,
                format!(
                    "bounds.exposureSlack = {}: expected 0 or more",
                    bounds.exposure_slack
                ),
            ),
            (
                bounds.rollback_ms != Some(0),
                "bounds.rollbackMs = 0: expected more than 0".into(),
            ),
            (
                bounds.config_apply_ms > 0,
                format!(
                    "bounds.configApplyMs = {}: expected more than 0",
                    bounds.config_apply_ms
                ),
            ),
            (
                bounds.budget_window_s > 0.0,
                format!(
                    "bounds.budgetWindowS = {}: expected more than 0",
                    bounds.budget_window_s
                ),
            ),
            (
                bounds.retry_budget_ratio >= 0.0,
                format!(
                    "bounds.retryBudgetRatio = {}: expected 0 or more",
                    bounds.retry_budget_ratio
                ),
            ),
        ];
        let wrong = checks.into_iter().filter(|(holds, _)| !holds);
        wrong.map(|(_, fault)| fault).collect()
    }
}
