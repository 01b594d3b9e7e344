//! Diagnostics for errors in a rules file, and their rendering.

use std::fmt::Write as _;

/// Maximum number of diagnostics reported for one file.
const MAX_DIAGNOSTICS: usize = 50;
/// Maximum length of the part of a source line shown with a diagnostic, in characters.
const MAX_SHOWN_CHARS: usize = 160;

/// An error in a rules file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleDiagnostic {
    /// Name of the file, as shown to the operator.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Number of characters that the error covers, at least 1.
    pub width: usize,
    /// Description of the error.
    pub message: String,
    /// How to fix the error.
    pub help: String,
    /// Source line that holds the error, without trailing white space.
    pub source: String,
}

/// Renders diagnostics with the source line, carets below the error and the help text, followed by
/// the number of errors.
#[must_use]
pub fn render_diagnostics(diagnostics: &[RuleDiagnostic]) -> String {
    let mut text = String::new();
    for diagnostic in diagnostics {
        render_one(&mut text, diagnostic);
    }
    let noun = if diagnostics.len() == 1 { "mistake" } else { "mistakes" };
    let _ = writeln!(text, "{} {noun}; nothing was accepted", diagnostics.len());
    text
}

fn render_one(text: &mut String, diagnostic: &RuleDiagnostic) {
    let RuleDiagnostic { file, line, column, message, .. } = diagnostic;
    let _ = writeln!(text, "{file}:{line}:{column}: error: {message}");
    if !diagnostic.source.is_empty() {
        let gutter = line.to_string().len();
        let shown: String = diagnostic.source.chars().take(MAX_SHOWN_CHARS).collect();
        let _ = writeln!(text, "{:gutter$} |", "");
        let _ = writeln!(text, "{line} | {shown}");
        if *column <= MAX_SHOWN_CHARS {
            let carets = "^".repeat(diagnostic.width.clamp(1, MAX_SHOWN_CHARS));
            let _ = writeln!(text, "{:gutter$} | {:indent$}{carets}", "", "", indent = column - 1);
        }
    }
    let _ = writeln!(text, "  help: {}\n", diagnostic.help);
}

/// Collects diagnostics while a file is parsed.
#[derive(Debug)]
pub(crate) struct DiagnosticSink {
    file: String,
    line: usize,
    source: String,
    diagnostics: Vec<RuleDiagnostic>,
}

impl DiagnosticSink {
    pub(crate) fn new(file: &str) -> Self {
        Self { file: file.to_owned(), line: 1, source: String::new(), diagnostics: Vec::new() }
    }

    /// Whether nothing has been reported.
    pub(crate) const fn is_empty(&self) -> bool {
        self.diagnostics.is_empty()
    }

    /// Sets the line to which the following diagnostics refer.
    pub(crate) fn enter_line(&mut self, line: usize, source: &str) {
        self.line = line;
        source.trim_end().clone_into(&mut self.source);
    }

    /// Reports an error at a byte range of the current line. Errors beyond the limit are dropped.
    pub(crate) fn report(
        &mut self,
        span: std::ops::Range<usize>,
        message: impl Into<String>,
        help: impl Into<String>,
    ) {
        if self.diagnostics.len() >= MAX_DIAGNOSTICS {
            return;
        }
        let preceding = self.source.get(..span.start).unwrap_or(&self.source);
        let covered = self.source.get(span.start..span.end).unwrap_or_default();
        self.diagnostics.push(RuleDiagnostic {
            file: self.file.clone(),
            line: self.line,
            column: preceding.chars().count() + 1,
            width: covered.chars().count().max(1),
            message: message.into(),
            help: help.into(),
            source: self.source.clone(),
        });
    }

    pub(crate) fn into_diagnostics(mut self) -> Vec<RuleDiagnostic> {
        self.diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        self.diagnostics
    }
}
