//! Every fixture in `resources/` with what the parser says of it.

use std::fmt::Write as _;
use std::path::Path;

use jackdawmux_rules::{MAX_FILE_BYTES, parse_rules, render_diagnostics};
use proptest::prelude::{any, proptest};

fn outcome(name: &str, bytes: &[u8]) -> String {
    match parse_rules(name, bytes) {
        Ok(file) => format!("{} rules\n", file.lines.len()),
        Err(diagnostics) => render_diagnostics(&diagnostics),
    }
}

#[test]
fn fixtures() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources");
    let mut names: Vec<_> = std::fs::read_dir(&directory)
        .expect("the fixtures")
        .map(|entry| entry.expect("a fixture").file_name().into_string().expect("a name"))
        .collect();
    names.sort();
    let mut text = String::new();
    for name in names {
        let bytes = std::fs::read(directory.join(&name)).expect("a fixture");
        let _ = writeln!(text, "== {name}\n{}", outcome(&name, &bytes));
    }
    insta::assert_snapshot!("fixtures", text);
}

#[test]
fn a_file_above_the_limit_is_refused_whole() {
    let line = "region north domains north-a  # team: site\n";
    let bytes = line.repeat(MAX_FILE_BYTES / line.len() + 1);
    assert!(outcome("big.rules", bytes.as_bytes()).contains("more than the"));
}

#[test]
fn a_large_file_of_many_mistakes_reports_a_bounded_number() {
    let bytes = "nonsense  # nobody\n".repeat(100_000);
    let diagnostics = parse_rules("many.rules", bytes.as_bytes()).expect_err("mistakes");
    assert!(diagnostics.len() <= 50);
}

proptest! {
    #![proptest_config(proptest::prelude::ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        failure_persistence: None,
        cases: 300,
        ..proptest::prelude::ProptestConfig::default()
    })]

    #[test]
    fn any_bytes_have_a_clear_outcome(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        outcome("any.rules", &bytes);
    }

    #[test]
    fn any_words_have_a_clear_outcome(
        words in proptest::collection::vec("(region|domains|link|upstream|operation|shift|drain|route|service|limits|host|path|to|once|é|[0-9.:-]{1,12}|#|\n|[a-z%/]{0,6})", 0..60)
    ) {
        outcome("any.rules", words.join(" ").as_bytes());
    }
}

#[test]
fn routes_become_the_configuration_of_fronts() {
    let bytes = include_bytes!("../resources/good-routes.rules");
    let rules = parse_rules("good-routes.rules", bytes).expect("they are sound").fleet_rules(7);
    insta::assert_debug_snapshot!("fleet", rules);
}
