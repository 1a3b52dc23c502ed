//! Parser of the operators' language: no input makes it panic, and parsed commands survive formatting.

use proptest::prelude::*;
use ryevalve::operator::language::{FIELDS, SOURCES, parse};

fn name() -> impl Strategy<Value = String> {
    "[a-z][a-z0-9-]{0,8}"
}

fn field() -> impl Strategy<Value = String> {
    prop::sample::select(FIELDS.to_vec()).prop_map(str::to_owned)
}

fn command() -> impl Strategy<Value = String> {
    let source = prop::sample::select(SOURCES.to_vec()).prop_map(|(n, _)| n);
    let operator = prop::sample::select(vec!["=", "!=", "<", "<=", ">", ">="]);
    let condition = (field(), operator, name()).prop_map(|(f, c, v)| format!("{f} {c} {v}"));
    let conditions = prop::collection::vec(condition, 0..3);
    let summary = prop_oneof![
        Just(String::new()),
        Just(" count".to_owned()),
        field().prop_map(|f| format!(" sum {f}")),
        field().prop_map(|f| format!(" percentiles {f}")),
    ];
    let query = (
        source,
        conditions,
        prop::option::of(field()),
        summary,
        prop::option::of(0..99_u32),
    )
        .prop_map(|(source, conditions, group, summary, limit)| {
            let filter = if conditions.is_empty() {
                String::new()
            } else {
                format!(" where {}", conditions.join(" and "))
            };
            let group = group.map_or(String::new(), |g| format!(" group by {g}"));
            let limit = limit.map_or(String::new(), |l| format!(" limit {l}"));
            format!("{source}{filter}{group}{summary}{limit}")
        });
    let place = prop::sample::select(vec!["endpoint", "hall"]);
    prop_oneof![
        query,
        (place, name()).prop_map(|(p, n)| format!("drain {p} {n}")),
        name().prop_map(|n| format!("stop instance {n}")),
        any::<u64>().prop_map(|n| format!("cancel {n:016x}-{}", n % 100)),
        (name(), any::<u32>()).prop_map(|(n, t)| format!("move event {n} to {t}")),
        (name(), name()).prop_map(|(e, m)| format!("order endpoint {e} load model {m}")),
        (name(), any::<u32>()).prop_map(|(n, v)| format!("remove pool {n} at version {v}")),
        name().prop_map(|n| format!("set event {{ name = \"{n}\" }}")),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, rng_seed: proptest::test_runner::RngSeed::Fixed(3), failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn parsing_arbitrary_text_does_not_panic(text in "\\PC{0,80}") {
        let _ = parse(&text);
    }

    #[test]
    fn formatted_command_parses_to_an_equal_command(text in command()) {
        let parsed = parse(&text).map_err(|e| TestCaseError::fail(format!("{text}: {e}")))?;
        prop_assert_eq!(parse(&parsed.to_string()), Ok(parsed));
    }

    #[test]
    fn truncated_command_gives_a_position_and_an_expectation(text in command(), at in 0..60_usize) {
        let truncated: String = text.chars().take(at).collect();
        if let Err(error) = parse(&truncated) {
            prop_assert!(error.at <= truncated.len() && !error.expected.is_empty());
        }
    }
}

#[test]
fn syntax_errors_name_the_unexpected_word_and_what_was_expected() {
    let table = [
        ("queud count", "queud", "did you mean `queued`?"),
        ("drain endpont e", "endpont", "`endpoint` or `hall`"),
        ("queued where tier gate", "gate", "one of `=`"),
        ("queued group tier", "tier", "`by` and a field"),
        ("cancel 12", "12", "a request's id"),
        ("show", "", "what to show"),
    ];
    for (text, word, expected) in table {
        let error = parse(text).expect_err(text);
        assert_eq!(error.word, word, "{text}");
        assert!(error.expected.contains(expected), "{text}: {error}");
    }
}
