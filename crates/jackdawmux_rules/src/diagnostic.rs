//! Mistakes in a rules file and how to show them.

use std::fmt::Write as _;

/// Most mistakes reported for one file.
const DIAGNOSTIC_LIMIT: usize = 50;
/// Longest source line shown with a mistake, in characters.
const SHOWN_CHARS: usize = 160;

/// One mistake in a rules file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RuleDiagnostic {
    /// Name of the file.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Characters that the mistake covers.
    pub width: usize,
    /// What is wrong.
    pub message: String,
    /// How to mend it.
    pub mend: String,
    /// The source line.
    pub source: String,
}

/// Renders mistakes with the source line, a caret and the mend.
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
        let shown: String = diagnostic.source.chars().take(SHOWN_CHARS).collect();
        let _ = writeln!(text, "{:gutter$} |", "");
        let _ = writeln!(text, "{line} | {shown}");
        if *column <= SHOWN_CHARS {
            let carets = "^".repeat(diagnostic.width.clamp(1, SHOWN_CHARS));
            let _ = writeln!(text, "{:gutter$} | {:indent$}{carets}", "", "", indent = column - 1);
        }
    }
    let _ = writeln!(text, "  mend: {}\n", diagnostic.mend);
}

/// Collects mistakes while a file is read.
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

    /// Sets the line that later mistakes point at.
    pub(crate) fn enter_line(&mut self, line: usize, source: &str) {
        self.line = line;
        source.trim_end().clone_into(&mut self.source);
    }

    /// Reports a mistake at a byte range of the current line.
    pub(crate) fn report(
        &mut self,
        span: std::ops::Range<usize>,
        message: impl Into<String>,
        mend: impl Into<String>,
    ) {
        if self.diagnostics.len() >= DIAGNOSTIC_LIMIT {
            return;
        }
        let prefix = self.source.get(..span.start).unwrap_or(&self.source);
        let covered = self.source.get(span.start..span.end).unwrap_or_default();
        self.diagnostics.push(RuleDiagnostic {
            file: self.file.clone(),
            line: self.line,
            column: prefix.chars().count() + 1,
            width: covered.chars().count().max(1),
            message: message.into(),
            mend: mend.into(),
            source: self.source.clone(),
        });
    }

    pub(crate) fn into_diagnostics(mut self) -> Vec<RuleDiagnostic> {
        self.diagnostics.sort_by_key(|diagnostic| (diagnostic.line, diagnostic.column));
        self.diagnostics
    }
}
