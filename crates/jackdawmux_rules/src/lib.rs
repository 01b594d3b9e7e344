//! Parser for the rules file: one rule per line, each with a comment naming who asked for it.
//!
//! [`parse_rules`] turns the bytes of a file into a checked [`RulesFile`] or into diagnostics with
//! file, line, column and a hint how to fix the error. A file is accepted or rejected as a whole:
//! one error is enough to reject it.

mod check;
mod diagnostic;
mod fleet;
mod lexer;
mod operand;
mod rule;
mod source;
mod statement;

pub use diagnostic::{RuleDiagnostic, render_diagnostics};
pub use fleet::FleetRules;
pub use rule::{RuleKind, RuleLine, RulesFile};
pub use source::MAX_FILE_BYTES;

use diagnostic::DiagnosticSink;

/// Parses and checks a whole file; `name` is the file name shown in diagnostics.
///
/// # Errors
/// When the file has errors: the diagnostics in the order of their lines and columns.
pub fn parse_rules(name: &str, bytes: &[u8]) -> Result<RulesFile, Vec<RuleDiagnostic>> {
    let mut sink = DiagnosticSink::new(name);
    let Some(text) = source::decode(bytes, &mut sink) else {
        return Err(sink.into_diagnostics());
    };
    let mut lines = Vec::new();
    for (index, line) in text.lines().enumerate() {
        sink.enter_line(index + 1, line);
        source::check_characters(line, &mut sink);
        if let Some(parsed) = statement::parse_line(line, index + 1, &mut sink) {
            lines.push(parsed);
        }
    }
    let file = RulesFile { lines };
    check::check_rules(&file, text, &mut sink);
    let diagnostics = sink.into_diagnostics();
    if diagnostics.is_empty() { Ok(file) } else { Err(diagnostics) }
}
