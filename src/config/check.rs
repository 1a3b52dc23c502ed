//! Parses and validates the TOML format. All faults are reported at once, each with its position and a fix.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
    net::SocketAddr,
    ops::Range,
};

use serde::{Deserialize, de::IntoDeserializer};
use toml::{
    Spanned,
    de::{DeTable, DeValue},
};

use crate::{
    config::model::{
        Config, Endpoint, Event, Hall, Operator, Organisation, Policy, Pool, PoolKind, Service,
        Tier,
    },
    core::shedding::MAX_TIERS,
    prelude::Name,
};

const SHA256_HEX_LEN: usize = 64;
const MAX_SLOTS: u32 = 4_096;
/// Maximum size of a configuration: the stored object also holds its history, and has to stay below the platform's
/// maximum value size.
pub const MAX_CONFIG_BYTES: usize = 900_000;

/// A fault in a configuration, with a suggested fix.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Line in the file, from 1.
    pub line: usize,
    /// Column in the line, from 1.
    pub column: usize,
    /// What is wrong.
    pub problem: String,
    /// How to fix it.
    pub fix: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            line,
            column,
            problem,
            fix,
        } = self;
        write!(f, "{line}:{column}: {problem}; {fix}")
    }
}

/// Parses and validates a configuration in TOML format.
///
/// # Errors
/// Returns all faults, in the order of the file.
pub fn parse(text: &str) -> Result<Config, Vec<Fault>> {
    let mut parser = Parser::new(text);
    let config = parser.parse_config();
    if parser.faults.is_empty() {
        return Ok(config);
    }
    parser.faults.sort();
    parser.faults.dedup();
    Err(parser.faults)
}

/// Validates a configuration that was not read from a file. Positions in faults refer to the output of [`render`].
///
/// # Errors
/// Returns all faults.
pub fn verify(config: &Config) -> Result<(), Vec<Fault>> {
    let text = toml::to_string(&Document::from(config)).unwrap_or_default();
    parse(&text).map(drop)
}

/// Formats a configuration as TOML that [`parse`] reads.
pub fn render(config: &Config) -> String {
    toml::to_string(&Document::from(config)).unwrap_or_default()
}

/// The layout of the TOML format.
#[derive(serde::Serialize)]
struct Document<'a> {
    policy: &'a Policy,
    hall: &'a [Hall],
    tier: &'a [Tier],
    organisation: &'a [Organisation],
    operator: &'a [Operator],
    pool: &'a [Pool],
    service: &'a [Service],
    endpoint: &'a [Endpoint],
    event: &'a [Event],
}

impl<'a> From<&'a Config> for Document<'a> {
    fn from(config: &'a Config) -> Self {
        Self {
            policy: &config.policy,
            hall: &config.halls,
            tier: &config.tiers,
            organisation: &config.organisations,
            operator: &config.operators,
            pool: &config.pools,
            service: &config.services,
            endpoint: &config.endpoints,
            event: &config.events,
        }
    }
}

/// The sections of the TOML format, which are also the kinds of objects.
pub const SECTIONS: [&str; 9] = [
    "policy",
    "hall",
    "tier",
    "organisation",
    "operator",
    "pool",
    "service",
    "endpoint",
    "event",
];

struct Parser<'t> {
    text: &'t str,
    line_starts: Vec<usize>,
    faults: Vec<Fault>,
    /// Byte ranges of the names of objects, by section.
    name_spans: BTreeMap<&'static str, Vec<Range<usize>>>,
}

impl<'t> Parser<'t> {
    fn new(text: &'t str) -> Self {
        let newlines = text.match_indices('\n').map(|(offset, _)| offset + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(newlines).collect(),
            faults: Vec::new(),
            name_spans: BTreeMap::new(),
        }
    }

    fn add_fault(
        &mut self,
        span: Range<usize>,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let line = self.line_starts.partition_point(|s| *s <= span.start);
        let column = span.start - self.line_starts[line - 1] + 1;
        self.faults.push(Fault {
            line,
            column,
            problem: problem.into(),
            fix: fix.into(),
        });
    }

    fn parse_config(&mut self) -> Config {
        if self.text.len() > MAX_CONFIG_BYTES {
            let problem = format!("the file has {} bytes", self.text.len());
            let fix = format!("keep it within {MAX_CONFIG_BYTES}, the platform's limit on values");
            self.add_fault(0..0, problem, fix);
        }
        let (table, errors) = DeTable::parse_recoverable(self.text);
        for error in errors {
            let span = error.span().unwrap_or(0..0);
            self.add_fault(span, error.message().to_owned(), "correct the TOML syntax");
        }
        let table = table.into_inner();
        self.check_sections(&table);
        let config = Config {
            policy: self.parse_policy(&table),
            halls: self.parse_section(&table, "hall"),
            tiers: self.parse_section(&table, "tier"),
            organisations: self.parse_section(&table, "organisation"),
            operators: self.parse_section(&table, "operator"),
            pools: self.parse_section(&table, "pool"),
            services: self.parse_section(&table, "service"),
            endpoints: self.parse_section(&table, "endpoint"),
            events: self.parse_section(&table, "event"),
        };
        self.check(&config);
        config
    }

    fn check_sections(&mut self, table: &DeTable<'_>) {
        for key in table.keys() {
            if !SECTIONS.contains(&&**key.get_ref()) {
                let problem = format!("unknown section `{}`", key.get_ref());
                self.add_fault(key.span(), problem, suggestion(key.get_ref(), SECTIONS));
            }
        }
    }

    fn parse_policy(&mut self, table: &DeTable<'_>) -> Policy {
        let Some(value) = table.get("policy") else {
            return Policy::default();
        };
        self.parse_object(value).unwrap_or_default()
    }

    fn parse_section<T: for<'de> Deserialize<'de>>(
        &mut self,
        table: &DeTable<'_>,
        name: &'static str,
    ) -> Vec<T> {
        let Some(value) = table.get(name) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            let fix = format!("write each one under its own `[[{name}]]`");
            self.add_fault(value.span(), format!("`{name}` is not a list"), fix);
            return Vec::new();
        };
        let mut objects = Vec::new();
        for item in array.iter() {
            if let Some(object) = self.parse_object(item) {
                objects.push(object);
                let name_span = item.get_ref().get("name").map_or(item.span(), |n| n.span());
                self.name_spans.entry(name).or_default().push(name_span);
            }
        }
        objects
    }

    fn parse_object<T: for<'de> Deserialize<'de>>(
        &mut self,
        value: &Spanned<DeValue<'_>>,
    ) -> Option<T> {
        let deserializer = value.clone().into_deserializer();
        match T::deserialize(deserializer) {
            Ok(object) => Some(object),
            Err(error) => {
                let span = error.span().unwrap_or(value.span());
                let problem = error.message().to_owned();
                self.add_fault(span, problem, "see docs/CONFIGURATION.md for the fields");
                None
            }
        }
    }

    fn name_span(&self, section: &'static str, index: usize) -> Range<usize> {
        let spans = self.name_spans.get(section);
        spans.and_then(|s| s.get(index)).cloned().unwrap_or(0..0)
    }

    fn check(&mut self, config: &Config) {
        self.check_policy(&config.policy);
        self.check_names("hall", config.halls.iter().map(|o| &o.name));
        self.check_names("tier", config.tiers.iter().map(|o| &o.name));
        self.check_names("organisation", config.organisations.iter().map(|o| &o.name));
        self.check_names("operator", config.operators.iter().map(|o| &o.name));
        self.check_names("pool", config.pools.iter().map(|o| &o.name));
        self.check_names("service", config.services.iter().map(|o| &o.name));
        self.check_names("endpoint", config.endpoints.iter().map(|o| &o.name));
        self.check_names("event", config.events.iter().map(|o| &o.name));
        self.check_tiers(config);
        self.check_keys(config);
        self.check_organisations(config);
        self.check_services(config);
        self.check_endpoints(config);
        self.check_events(config);
    }

    fn check_policy(&mut self, policy: &Policy) {
        for weight in [policy.goodput_weight, policy.wasted_prefill_weight] {
            if !(0.0..=1.0).contains(&weight) {
                let problem = format!("policy weight {weight} is out of range");
                self.add_fault(0..0, problem, "use a number from 0 to 1");
            }
        }
        if policy.block_tokens == 0 {
            self.add_fault(0..0, "block_tokens is 0", "use the engines' block size");
        }
        if !(60..=86_400).contains(&policy.remember_keys_s) {
            let problem = format!("remember_keys_s {} is out of range", policy.remember_keys_s);
            self.add_fault(0..0, problem, "use 60 to 86400 seconds");
        }
    }

    fn check_names<'n>(&mut self, section: &'static str, names: impl Iterator<Item = &'n Name>) {
        let mut seen = BTreeSet::new();
        for (index, name) in names.enumerate() {
            let span = self.name_span(section, index);
            if name.is_empty() || !name.chars().all(is_name_char) {
                let problem = format!("{section} name `{name}` is not usable");
                let fix = "use letters, digits, `-`, `_` and `.`";
                self.add_fault(span.clone(), problem, fix);
            }
            if !seen.insert(name) {
                let problem = format!("{section} `{name}` is declared twice");
                self.add_fault(span, problem, "remove or rename one of them");
            }
        }
    }

    fn check_tiers(&mut self, config: &Config) {
        if config.tiers.is_empty() {
            self.add_fault(
                0..0,
                "no tier is declared",
                "declare at least one `[[tier]]`",
            );
        }
        if config.tiers.len() > MAX_TIERS {
            let problem = format!("{} tiers are declared", config.tiers.len());
            self.add_fault(0..0, problem, format!("keep to {MAX_TIERS}"));
        }
        let mut ranks = BTreeSet::new();
        for (index, tier) in config.tiers.iter().enumerate() {
            let span = self.name_span("tier", index);
            if !ranks.insert(tier.rank) || usize::from(tier.rank) >= config.tiers.len() {
                let problem = format!("tier `{}` has rank {}", tier.name, tier.rank);
                let last = config.tiers.len() - 1;
                let fix = format!("use each rank from 0 to {last} once");
                self.add_fault(span.clone(), problem, fix);
            }
            if tier.default_deadline_ms == 0 || tier.default_deadline_ms > tier.max_deadline_ms {
                let problem = format!(
                    "tier `{}` has default_deadline_ms {} and max_deadline_ms {}",
                    tier.name, tier.default_deadline_ms, tier.max_deadline_ms
                );
                self.add_fault(
                    span,
                    problem,
                    "make the default at least 1 and at most the maximum",
                );
            }
        }
    }

    fn check_keys(&mut self, config: &Config) {
        let organisations = config.organisations.iter().enumerate();
        let organisation_keys = organisations.flat_map(|(index, o)| {
            let keys = o.key_sha256.iter();
            keys.map(move |key| ("organisation", index, &o.name, key))
        });
        let operators = config.operators.iter().enumerate();
        let operator_keys = operators.map(|(index, o)| ("operator", index, &o.name, &o.key_sha256));
        let mut owners: BTreeMap<String, &Name> = BTreeMap::new();
        for (section, index, name, key) in organisation_keys.chain(operator_keys) {
            let span = self.name_span(section, index);
            if key.len() != SHA256_HEX_LEN || hex::decode(key).is_err() {
                let problem = format!("{section} `{name}` has a key_sha256 that is no SHA-256");
                let fix = "use 64 hexadecimal digits, as `printf KEY | sha256sum` prints";
                self.add_fault(span.clone(), problem, fix);
            }
            if let Some(owner) = owners.insert(key.to_lowercase(), name) {
                let problem = format!("{section} `{name}` has the same key as `{owner}`");
                self.add_fault(span, problem, "give each its own key");
            }
        }
    }

    fn check_organisations(&mut self, config: &Config) {
        let tiers = names(config.tiers.iter().map(|t| &t.name));
        for (index, organisation) in config.organisations.iter().enumerate() {
            let span = self.name_span("organisation", index);
            let subject = format!("organisation `{}`", organisation.name);
            if organisation.key_sha256.is_empty() {
                let problem = format!("{subject} has no key");
                self.add_fault(
                    span.clone(),
                    problem,
                    "add the SHA-256 of one to key_sha256",
                );
            }
            for tier in &organisation.tiers {
                self.check_reference(&span, &subject, "tier", tier, &tiers);
            }
            if !(organisation.weight > 0.0 && organisation.weight <= 1_000.0) {
                let problem = format!("{subject} has weight {}", organisation.weight);
                self.add_fault(span.clone(), problem, "use more than 0 and at most 1000");
            }
            if organisation.max_running == Some(0) {
                let problem = format!("{subject} may run nothing");
                self.add_fault(span, problem, "use at least 1, or leave max_running out");
            }
        }
    }

    fn check_services(&mut self, config: &Config) {
        let pools = names(config.pools.iter().map(|p| &p.name));
        for (index, service) in config.services.iter().enumerate() {
            let span = self.name_span("service", index);
            let subject = format!("service `{}`", service.name);
            self.check_reference(&span, &subject, "pool", &service.pool, &pools);
            for path in &service.not_repeatable_paths {
                if !path.starts_with('/') {
                    let problem = format!("{subject} has the path `{path}`");
                    self.add_fault(span.clone(), problem, "begin it with `/`");
                }
            }
        }
        for (index, pool) in config.pools.iter().enumerate() {
            let span = self.name_span("pool", index);
            if pool.max_waiting == 0 {
                let problem = format!("pool `{}` has max_waiting 0", pool.name);
                self.add_fault(span.clone(), problem, "use at least 1");
            }
            if !config.endpoints.iter().any(|e| e.pool == pool.name) {
                let problem = format!("pool `{}` has no endpoint", pool.name);
                self.add_fault(span, problem, "declare one, or remove the pool");
            }
        }
    }

    fn check_endpoints(&mut self, config: &Config) {
        let pools = names(config.pools.iter().map(|p| &p.name));
        let halls = names(config.halls.iter().map(|h| &h.name));
        let mut names_by_addr = BTreeMap::new();
        for (index, endpoint) in config.endpoints.iter().enumerate() {
            let span = self.name_span("endpoint", index);
            let subject = format!("endpoint `{}`", endpoint.name);
            self.check_reference(&span, &subject, "pool", &endpoint.pool, &pools);
            self.check_reference(&span, &subject, "hall", &endpoint.hall, &halls);
            if endpoint.addr.parse::<SocketAddr>().is_err() {
                let problem = format!("{subject} has the address `{}`", endpoint.addr);
                self.add_fault(
                    span.clone(),
                    problem,
                    "use IP and port, as in 10.0.0.7:8000",
                );
            }
            if let Some(other) = names_by_addr.insert(&endpoint.addr, &endpoint.name) {
                let problem = format!("{subject} has the address of `{other}`");
                self.add_fault(span.clone(), problem, "give each its own");
            }
            if !(1..=MAX_SLOTS).contains(&endpoint.slots) {
                let problem = format!("{subject} has {} slots", endpoint.slots);
                self.add_fault(span.clone(), problem, format!("use 1 to {MAX_SLOTS}"));
            }
            let pool = config.pool(&endpoint.pool);
            let is_model = pool.is_some_and(|p| p.kind == PoolKind::Model);
            let speeds = [endpoint.prefill_tokens_per_s, endpoint.decode_step_us];
            if is_model && !speeds.iter().all(|s| s.is_finite() && *s > 0.0) {
                let problem = format!("{subject} has a speed that is not above 0");
                self.add_fault(span, problem, "set prefill_tokens_per_s and decode_step_us");
            }
        }
    }

    fn check_events(&mut self, config: &Config) {
        let pools = names(config.pools.iter().map(|p| &p.name));
        let tiers = names(config.tiers.iter().map(|t| &t.name));
        for (index, event) in config.events.iter().enumerate() {
            let span = self.name_span("event", index);
            let subject = format!("event `{}`", event.name);
            self.check_reference(&span, &subject, "pool", &event.pool, &pools);
            self.check_reference(&span, &subject, "tier", &event.tier, &tiers);
            if event.duration_s == 0 {
                let problem = format!("{subject} lasts 0 s");
                self.add_fault(span.clone(), problem, "give it a duration_s");
            }
            if !(0.0..=0.9).contains(&event.keep_share) {
                let problem = format!("{subject} has keep_share {}", event.keep_share);
                self.add_fault(span, problem, "use a number from 0 to 0.9");
            }
        }
    }

    fn check_reference(
        &mut self,
        span: &Range<usize>,
        subject: &str,
        section: &str,
        name: &Name,
        known: &BTreeSet<&str>,
    ) {
        if !known.contains(&**name) {
            let problem = format!("{subject} names the unknown {section} `{name}`");
            let fix = suggestion(name, known.iter().copied());
            self.add_fault(span.clone(), problem, fix);
        }
    }
}

fn names<'n>(names: impl Iterator<Item = &'n Name>) -> BTreeSet<&'n str> {
    names.map(|n| &**n).collect()
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.')
}

/// Returns a hint with the known name that is most similar to `name`, or else with some of the known names.
pub fn suggestion<'k>(name: &str, known: impl IntoIterator<Item = &'k str>) -> String {
    let mut known: Vec<&str> = known.into_iter().collect();
    known.sort_by_key(|k| edit_distance(name, k));
    match known.first() {
        Some(best) if edit_distance(name, best) <= 1 + name.len() / 3 => {
            format!("did you mean `{best}`?")
        }
        Some(_) => format!("known are: {}", known[..known.len().min(8)].join(", ")),
        None => "none is declared".to_owned(),
    }
}

/// Returns the Levenshtein distance of two strings.
fn edit_distance(a: &str, b: &str) -> usize {
    let b: Vec<char> = b.chars().collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.chars().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let substitution = diagonal + usize::from(x != *y);
            diagonal = row[j + 1];
            row[j + 1] = substitution.min(row[j] + 1).min(row[j + 1] + 1);
        }
    }
    row[b.len()]
}
