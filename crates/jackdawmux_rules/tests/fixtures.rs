//! Snapshots of the parser's output for every fixture in `resources/`, and its behaviour on
//! oversized and arbitrary input.

use std::fmt::Write as _;
use std::path::Path;

use jackdawmux_rules::{MAX_FILE_BYTES, parse_rules, render_diagnostics};
use proptest::prelude::{any, proptest};

fn render_outcome(name: &str, bytes: &[u8]) -> String {
    match parse_rules(name, bytes) {
        Ok(file) => format!("{} rules\n", file.lines.len()),
        Err(diagnostics) => render_diagnostics(&diagnostics),
    }
}

#[test]
fn fixtures() {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources");
    let mut names: Vec<_> = std::fs::read_dir(&directory)
        .expect("the directory of fixtures is read")
        .map(|entry| {
            entry
                .expect("the entry is read")
                .file_name()
                .into_string()
                .expect("the file name is UTF-8")
        })
        .collect();
    names.sort();
    let mut text = String::new();
    for name in names {
        let bytes = std::fs::read(directory.join(&name)).expect("the fixture is read");
        let _ = writeln!(text, "== {name}\n{}", render_outcome(&name, &bytes));
    }
    insta::assert_snapshot!("fixtures", text);
}

#[test]
fn file_above_size_limit_is_rejected() {
    let line = "region north domains north-a  # team: site\n";
    let bytes = line.repeat(MAX_FILE_BYTES / line.len() + 1);
    assert!(render_outcome("big.rules", bytes.as_bytes()).contains("more than the"));
}

#[test]
fn number_of_diagnostics_is_bounded() {
    let bytes = "nonsense  # nobody\n".repeat(100_000);
    let diagnostics =
        parse_rules("many.rules", bytes.as_bytes()).expect_err("the rules have errors");
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
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..400)) {
        render_outcome("any.rules", &bytes);
    }

    #[test]
    fn arbitrary_words_do_not_panic(
        words in proptest::collection::vec("(region|domains|link|upstream|operation|shift|drain|route|service|limits|host|path|to|once|é|[0-9.:-]{1,12}|#|\n|[a-z%/]{0,6})", 0..60)
    ) {
        render_outcome("any.rules", words.join(" ").as_bytes());
    }
}

#[test]
fn routes_compile_to_front_configuration() {
    let bytes = include_bytes!("../resources/good-routes.rules");
    let rules =
        parse_rules("good-routes.rules", bytes).expect("the rules are valid").fleet_rules(7);
    insta::assert_debug_snapshot!("fleet", rules);
}
