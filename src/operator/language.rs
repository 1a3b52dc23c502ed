//! The operators' language: its grammar, its parser and its text form.
//!
//! The grammar is documented in docs/OPERATIONS.md. A parsed command formats to a text that parses to an equal command.

use std::fmt;

use winnow::{
    Parser,
    ascii::{alpha1, digit1, multispace0},
    combinator::{alt, opt, preceded, separated},
    error::{ContextError, ErrMode, StrContext, StrContextValue},
    token::{literal, rest, take_while},
};

use crate::{
    config::check::{SECTIONS, suggestion},
    prelude::RequestId,
};

/// What a query lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Requests that wait.
    Queued,
    /// Requests that were sent and have not ended.
    Running,
    /// Requests that were shed.
    Shed,
    /// Requests that ended, with any outcome.
    Ended,
    /// Endpoints, as their pools' leaders see them.
    Endpoints,
    /// Instances, in the membership view of the answering instance.
    Instances,
    /// Events.
    Events,
    /// Pools and their leaders.
    Pools,
    /// The objects of the configuration.
    Config,
    /// The accepted changes of the configuration.
    History,
    /// Drain orders.
    Drains,
    /// Commands that were given.
    Commands,
}

/// Names of the sources in the language.
pub const SOURCES: [(&str, Source); 12] = [
    ("queued", Source::Queued),
    ("running", Source::Running),
    ("shed", Source::Shed),
    ("ended", Source::Ended),
    ("endpoints", Source::Endpoints),
    ("instances", Source::Instances),
    ("events", Source::Events),
    ("pools", Source::Pools),
    ("config", Source::Config),
    ("history", Source::History),
    ("drains", Source::Drains),
    ("commands", Source::Commands),
];

/// Fields that rows may have.
pub const FIELDS: [&str; 37] = [
    "id",
    "organisation",
    "tier",
    "service",
    "pool",
    "endpoint",
    "hall",
    "instance",
    "event",
    "stage",
    "outcome",
    "reason",
    "age_ms",
    "left_ms",
    "waited_ms",
    "took_ms",
    "prompt_tokens",
    "output_tokens",
    "repeatable",
    "name",
    "running",
    "slots",
    "slowness",
    "draining",
    "liveness",
    "config_version",
    "leader",
    "version",
    "by",
    "at_s",
    "command",
    "what",
    "key",
    "value",
    "starts_at_s",
    "target",
    "waiting",
];

/// Comparison operator of a condition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `!=`
    Unequal,
    /// `<`
    Below,
    /// `<=`
    AtMost,
    /// `>`
    Above,
    /// `>=`
    AtLeast,
}

/// One condition on a row.
#[derive(Clone, Debug, PartialEq)]
pub struct Condition {
    /// The field.
    pub field: String,
    /// The operator.
    pub comparison: Comparison,
    /// The value to compare with, as written.
    pub value: String,
}

/// Aggregate over the rows of a group.
#[derive(Clone, Debug, PartialEq)]
pub enum Summary {
    /// Number of rows.
    Count,
    /// The sum of a field.
    Sum(String),
    /// Median, 90th, 95th and 99th percentile of a field.
    Percentiles(String),
}

/// A query.
#[derive(Clone, Debug, PartialEq)]
pub struct Query {
    /// What it lists.
    pub source: Source,
    /// Conditions on the rows; all must hold.
    pub conditions: Vec<Condition>,
    /// Fields to group by.
    pub group_by: Vec<String>,
    /// Aggregate for each group; without one the rows are listed.
    pub summary: Option<Summary>,
    /// Field to order by, and whether in descending order.
    pub order_by: Option<(String, bool)>,
    /// Maximum number of rows to show.
    pub limit: Option<usize>,
}

/// What a drain applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Place {
    /// One endpoint.
    Endpoint(String),
    /// A hall.
    Hall(String),
}

/// An order to an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointOrder {
    /// Load a model.
    LoadModel(String),
    /// Load an adapter.
    LoadAdapter(String),
    /// Load a version.
    LoadVersion(String),
    /// Change its role.
    Role(String),
}

/// A command.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Lists or summarises rows.
    Query(Query),
    /// Explains why a request waits or how it ended.
    Why(RequestId),
    /// Reports on an event.
    ReportEvent(String),
    /// Returns the recorded traffic as a trace.
    Trace,
    /// Drains an endpoint or hall (`true`), or sends it new requests again (`false`).
    Drain(Place, bool),
    /// Stops an instance as planned.
    StopInstance(String),
    /// Cancels a request.
    Cancel(RequestId),
    /// Replaces the whole configuration.
    Apply {
        /// Only if this version is in force.
        at_version: Option<u64>,
        /// Its TOML form.
        toml: String,
    },
    /// Sets one object of the configuration.
    Set {
        /// Its kind, as `endpoint`.
        kind: String,
        /// Only if this version is in force.
        at_version: Option<u64>,
        /// Its fields, in TOML.
        toml: String,
    },
    /// Removes one object of the configuration.
    Remove {
        /// Its kind.
        kind: String,
        /// Its name.
        name: String,
        /// Only if this version is in force.
        at_version: Option<u64>,
    },
    /// Starts an event now.
    StartEvent(String),
    /// Moves an event's start, in seconds since 1970.
    MoveEvent(String, u64),
    /// Ends an event now.
    EndEvent(String),
    /// Sends an order to an endpoint.
    Order(String, EndpointOrder),
}

impl Command {
    /// Returns whether the command changes nothing, so that read permission suffices.
    pub fn is_read_only(&self) -> bool {
        matches!(
            self,
            Self::Query(_) | Self::Why(_) | Self::ReportEvent(_) | Self::Trace
        )
    }
}

/// Syntax error in a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// Position of the unexpected word, in bytes from the start.
    pub at: usize,
    /// The unexpected word; empty at the end of the text.
    pub word: String,
    /// What was expected.
    pub expected: String,
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { at, word, expected } = self;
        if word.is_empty() {
            write!(f, "the command ends too early; expected {expected}")
        } else {
            write!(f, "at {}: `{word}`; expected {expected}", at + 1)
        }
    }
}

type Parsed<T> = Result<T, ErrMode<ContextError>>;

/// Parses a command.
///
/// # Errors
/// Returns the position of the first unexpected word, with what was expected there.
///
/// ```
/// use ryevalve::operator::language::parse;
/// assert!(parse("queued where tier = gate group by organisation count").is_ok());
/// let error = parse("queued where teir = gate").unwrap_err();
/// assert_eq!((error.word.as_str(), error.at), ("teir", 13));
/// assert!(error.expected.contains("did you mean `tier`?"));
/// ```
pub fn parse(text: &str) -> Result<Command, SyntaxError> {
    let mut input = text;
    let parsed = preceded(multispace0, command).parse_next(&mut input);
    let error = match parsed {
        Ok(command) if input.trim().is_empty() => return Ok(command),
        Ok(_) => None,
        Err(ErrMode::Backtrack(error) | ErrMode::Cut(error)) => Some(error),
        Err(ErrMode::Incomplete(_)) => None,
    };
    let remaining = input.trim_start();
    let at = text.len() - remaining.len();
    let word: String = remaining
        .split_whitespace()
        .next()
        .unwrap_or_default()
        .to_owned();
    let expected = error.as_ref().and_then(expected_from);
    let expected = expected.unwrap_or("the end of the command, or `where`, `group by`, `count`, `sum`, `percentiles`, `order by`, `limit`");
    let expected = add_suggestion(&word, expected);
    Err(SyntaxError { at, word, expected })
}

fn expected_from(error: &ContextError) -> Option<&'static str> {
    error.context().find_map(|context| match context {
        StrContext::Expected(StrContextValue::Description(text)) => Some(*text),
        _ => None,
    })
}

const VERBS: [&str; 15] = [
    "show", "why", "report", "trace", "drain", "undrain", "stop", "cancel", "apply", "set",
    "remove", "start", "move", "end", "order",
];
const EXPECTED_COMMAND: &str = "a command";
const EXPECTED_FIELD: &str = "a field";
const EXPECTED_SOURCE: &str = "what to show";

fn add_suggestion(word: &str, expected: &'static str) -> String {
    let sources = || SOURCES.iter().map(|(name, _)| *name);
    match expected {
        EXPECTED_COMMAND => format!(
            "{expected}; {}",
            suggestion(word, VERBS.into_iter().chain(sources()))
        ),
        EXPECTED_FIELD => format!("{expected}; {}", suggestion(word, FIELDS)),
        EXPECTED_SOURCE => format!("{expected}; {}", suggestion(word, sources())),
        other => other.to_owned(),
    }
}

fn expect(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

/// Parses one whole word that must equal `word`; restores the input otherwise.
fn keyword<'i>(word: &'static str) -> impl FnMut(&mut &'i str) -> Parsed<()> {
    move |input: &mut &'i str| {
        let start = *input;
        let found: Parsed<&str> = alpha1.parse_next(input);
        if found == Ok(word) {
            multispace0.parse_next(input)?;
            return Ok(());
        }
        *input = start;
        Err(ErrMode::Backtrack(ContextError::new()))
    }
}

fn fail<T>(expected: &'static str) -> Parsed<T> {
    let mut error = ContextError::new();
    error.extend([expect(expected)]);
    Err(ErrMode::Cut(error))
}

/// Returns the next word of letters and underscores without consuming it.
fn peek_word<'i>(input: &&'i str) -> &'i str {
    let end = input.find(|c: char| !c.is_ascii_alphabetic() && c != '_');
    &input[..end.unwrap_or(input.len())]
}

fn consume_word<'i>(input: &mut &'i str) -> Parsed<&'i str> {
    let word = peek_word(input);
    *input = &input[word.len()..];
    multispace0.parse_next(input)?;
    Ok(word)
}

fn command(input: &mut &str) -> Parsed<Command> {
    let verb = peek_word(input);
    if let Some((_, source)) = SOURCES.iter().find(|(name, _)| *name == verb) {
        consume_word(input)?;
        return query(input, *source).map(Command::Query);
    }
    if !VERBS.contains(&verb) {
        return fail(EXPECTED_COMMAND);
    }
    consume_word(input)?;
    match verb {
        "show" => show(input),
        "why" => id(input).map(Command::Why),
        "report" => {
            require_keyword(input, "event", "`event` and its name")?;
            name(input).map(Command::ReportEvent)
        }
        "trace" => Ok(Command::Trace),
        "drain" => place(input).map(|p| Command::Drain(p, true)),
        "undrain" => place(input).map(|p| Command::Drain(p, false)),
        "stop" => {
            require_keyword(input, "instance", "`instance` and its name")?;
            name(input).map(Command::StopInstance)
        }
        "cancel" => id(input).map(Command::Cancel),
        "apply" => apply(input),
        "set" => set(input),
        "remove" => remove(input),
        "start" => {
            require_keyword(input, "event", "`event` and its name")?;
            name(input).map(Command::StartEvent)
        }
        "move" => move_event(input),
        "end" => {
            require_keyword(input, "event", "`event` and its name")?;
            name(input).map(Command::EndEvent)
        }
        _ => endpoint_order(input),
    }
}

fn require_keyword(input: &mut &str, word: &'static str, expected: &'static str) -> Parsed<()> {
    match keyword(word).parse_next(input) {
        Ok(()) => Ok(()),
        Err(_) => fail(expected),
    }
}

fn show(input: &mut &str) -> Parsed<Command> {
    let word = peek_word(input);
    let Some((_, source)) = SOURCES.iter().find(|(name, _)| *name == word) else {
        return fail(EXPECTED_SOURCE);
    };
    consume_word(input)?;
    query(input, *source).map(Command::Query)
}

fn query(input: &mut &str, source: Source) -> Parsed<Query> {
    let mut query = Query {
        source,
        conditions: Vec::new(),
        group_by: Vec::new(),
        summary: None,
        order_by: None,
        limit: None,
    };
    if opt(keyword("where")).parse_next(input)?.is_some() {
        query.conditions.push(condition(input)?);
        while opt(keyword("and")).parse_next(input)?.is_some() {
            query.conditions.push(condition(input)?);
        }
    }
    if opt(keyword("group")).parse_next(input)?.is_some() {
        require_keyword(input, "by", "`by` and a field")?;
        query.group_by = separated(1.., field, (literal(","), multispace0)).parse_next(input)?;
        query.summary = Some(Summary::Count);
    }
    if let Some(summary) = opt(summary).parse_next(input)? {
        query.summary = Some(summary);
    }
    if opt(keyword("order")).parse_next(input)?.is_some() {
        require_keyword(input, "by", "`by` and a field")?;
        let field = field(input)?;
        let descending = opt(keyword("desc")).parse_next(input)?.is_some();
        if !descending {
            opt(keyword("asc")).parse_next(input)?;
        }
        query.order_by = Some((field, descending));
    }
    if opt(keyword("limit")).parse_next(input)?.is_some() {
        query.limit = Some(number(input)? as usize);
    }
    Ok(query)
}

fn summary(input: &mut &str) -> Parsed<Summary> {
    match peek_word(input) {
        "count" => consume_word(input).map(|_| Summary::Count),
        "sum" => {
            consume_word(input)?;
            field(input).map(Summary::Sum)
        }
        "percentiles" => {
            consume_word(input)?;
            field(input).map(Summary::Percentiles)
        }
        _ => Err(ErrMode::Backtrack(ContextError::new())),
    }
}

fn condition(input: &mut &str) -> Parsed<Condition> {
    let field = field(input)?;
    let comparison = opt(alt((
        literal("!=").value(Comparison::Unequal),
        literal("<=").value(Comparison::AtMost),
        literal(">=").value(Comparison::AtLeast),
        literal("=").value(Comparison::Equal),
        literal("<").value(Comparison::Below),
        literal(">").value(Comparison::Above),
    )))
    .parse_next(input)?;
    let Some(comparison) = comparison else {
        return fail("one of `=`, `!=`, `<`, `<=`, `>`, `>=`");
    };
    multispace0.parse_next(input)?;
    let value = name(input)?;
    Ok(Condition {
        field,
        comparison,
        value,
    })
}

fn field(input: &mut &str) -> Parsed<String> {
    let word = peek_word(input);
    if !FIELDS.contains(&word) {
        return fail(EXPECTED_FIELD);
    }
    consume_word(input).map(str::to_owned)
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/' | '@' | ':')
}

fn name(input: &mut &str) -> Parsed<String> {
    let found: Parsed<&str> = take_while(1.., is_name_char).parse_next(input);
    let Ok(found) = found else {
        return fail("a name");
    };
    multispace0.parse_next(input)?;
    Ok(found.to_owned())
}

fn number(input: &mut &str) -> Parsed<u64> {
    let start = *input;
    let found: Parsed<&str> = digit1.parse_next(input);
    let number = found.ok().and_then(|digits| digits.parse().ok());
    let Some(number) = number else {
        *input = start;
        return fail("a whole number");
    };
    multispace0.parse_next(input)?;
    Ok(number)
}

fn id(input: &mut &str) -> Parsed<RequestId> {
    let start = *input;
    let text = name(input)?;
    match text.parse() {
        Ok(id) => Ok(id),
        Err(_) => {
            *input = start;
            fail("a request's id, as in 00c0ffee00c0ffee-17")
        }
    }
}

fn place(input: &mut &str) -> Parsed<Place> {
    match peek_word(input) {
        "endpoint" => {
            consume_word(input)?;
            name(input).map(Place::Endpoint)
        }
        "hall" => {
            consume_word(input)?;
            name(input).map(Place::Hall)
        }
        _ => fail("`endpoint` or `hall`, and its name"),
    }
}

fn at_version(input: &mut &str) -> Parsed<Option<u64>> {
    if opt(keyword("at")).parse_next(input)?.is_none() {
        return Ok(None);
    }
    require_keyword(input, "version", "`version` and a number")?;
    number(input).map(Some)
}

fn toml_text(input: &mut &str) -> Parsed<String> {
    let text: &str = rest.parse_next(input)?;
    if text.trim().is_empty() {
        return fail("a configuration in TOML");
    }
    Ok(text.trim().to_owned())
}

fn apply(input: &mut &str) -> Parsed<Command> {
    let at_version = at_version(input)?;
    let toml = toml_text(input)?;
    Ok(Command::Apply { at_version, toml })
}

fn set(input: &mut &str) -> Parsed<Command> {
    let kind = kind(input)?;
    let at_version = at_version(input)?;
    let toml = toml_text(input)?;
    Ok(Command::Set {
        kind,
        at_version,
        toml,
    })
}

fn remove(input: &mut &str) -> Parsed<Command> {
    let kind = kind(input)?;
    let name = name(input)?;
    let at_version = at_version(input)?;
    Ok(Command::Remove {
        kind,
        name,
        at_version,
    })
}

fn kind(input: &mut &str) -> Parsed<String> {
    if !SECTIONS.contains(&peek_word(input)) {
        return fail(
            "one of policy, hall, tier, organisation, operator, pool, service, endpoint, event",
        );
    }
    consume_word(input).map(str::to_owned)
}

fn move_event(input: &mut &str) -> Parsed<Command> {
    require_keyword(input, "event", "`event` and its name")?;
    let event = name(input)?;
    require_keyword(input, "to", "`to` and seconds since 1970")?;
    let at_s = number(input)?;
    Ok(Command::MoveEvent(event, at_s))
}

fn endpoint_order(input: &mut &str) -> Parsed<Command> {
    require_keyword(input, "endpoint", "`endpoint` and its name")?;
    let endpoint = name(input)?;
    let order = match consume_word(input)? {
        "load" => match consume_word(input)? {
            "model" => EndpointOrder::LoadModel(name(input)?),
            "adapter" => EndpointOrder::LoadAdapter(name(input)?),
            "version" => EndpointOrder::LoadVersion(name(input)?),
            _ => return fail("`model`, `adapter` or `version`, and its name"),
        },
        "role" => EndpointOrder::Role(name(input)?),
        _ => return fail("`load model`, `load adapter`, `load version` or `role`, and a name"),
    };
    Ok(Command::Order(endpoint, order))
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = SOURCES.iter().find(|(_, source)| source == self);
        f.write_str(named.map_or("queued", |(name, _)| name))
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Equal => "=",
            Self::Unequal => "!=",
            Self::Below => "<",
            Self::AtMost => "<=",
            Self::Above => ">",
            Self::AtLeast => ">=",
        })
    }
}

impl fmt::Display for Query {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.source)?;
        for (index, condition) in self.conditions.iter().enumerate() {
            let word = if index == 0 { "where" } else { "and" };
            let Condition {
                field,
                comparison,
                value,
            } = condition;
            write!(f, " {word} {field} {comparison} {value}")?;
        }
        if !self.group_by.is_empty() {
            write!(f, " group by {}", self.group_by.join(", "))?;
        }
        match &self.summary {
            Some(Summary::Count) => f.write_str(" count")?,
            Some(Summary::Sum(field)) => write!(f, " sum {field}")?,
            Some(Summary::Percentiles(field)) => write!(f, " percentiles {field}")?,
            None => {}
        }
        if let Some((field, descending)) = &self.order_by {
            write!(
                f,
                " order by {field}{}",
                if *descending { " desc" } else { "" }
            )?;
        }
        if let Some(limit) = self.limit {
            write!(f, " limit {limit}")?;
        }
        Ok(())
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Endpoint(name) => write!(f, "endpoint {name}"),
            Self::Hall(name) => write!(f, "hall {name}"),
        }
    }
}

impl fmt::Display for EndpointOrder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel(name) => write!(f, "load model {name}"),
            Self::LoadAdapter(name) => write!(f, "load adapter {name}"),
            Self::LoadVersion(name) => write!(f, "load version {name}"),
            Self::Role(name) => write!(f, "role {name}"),
        }
    }
}

struct AtVersion(Option<u64>);

impl fmt::Display for AtVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(version) => write!(f, " at version {version}"),
            None => Ok(()),
        }
    }
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Query(query) => query.fmt(f),
            Self::Why(id) => write!(f, "why {id}"),
            Self::ReportEvent(name) => write!(f, "report event {name}"),
            Self::Trace => f.write_str("trace"),
            Self::Drain(place, true) => write!(f, "drain {place}"),
            Self::Drain(place, false) => write!(f, "undrain {place}"),
            Self::StopInstance(name) => write!(f, "stop instance {name}"),
            Self::Cancel(id) => write!(f, "cancel {id}"),
            Self::Apply { at_version, toml } => {
                write!(f, "apply{} {toml}", AtVersion(*at_version))
            }
            Self::Set {
                kind,
                at_version,
                toml,
            } => write!(f, "set {kind}{} {toml}", AtVersion(*at_version)),
            Self::Remove {
                kind,
                name,
                at_version,
            } => write!(f, "remove {kind} {name}{}", AtVersion(*at_version)),
            Self::StartEvent(name) => write!(f, "start event {name}"),
            Self::MoveEvent(name, at_s) => write!(f, "move event {name} to {at_s}"),
            Self::EndEvent(name) => write!(f, "end event {name}"),
            Self::Order(endpoint, order) => write!(f, "order endpoint {endpoint} {order}"),
        }
    }
}
