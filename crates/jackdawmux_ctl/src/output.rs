//! Text or JSON output, coloured only on a terminal.

use std::io::{IsTerminal, stdout};

use strum::{Display, EnumString};

/// Format of a command's output.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "lowercase")]
pub enum OutputFormat {
    /// Text for operators.
    #[default]
    Text,
    /// JSON for programs.
    Json,
}

/// Colour of a word on a terminal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WordColour {
    Good,
    Bad,
}

/// Returns the word, coloured if standard output is a terminal.
pub(crate) fn coloured(word: &str, colour: WordColour) -> String {
    if !stdout().is_terminal() {
        return word.to_owned();
    }
    let code = match colour {
        WordColour::Good => 32,
        WordColour::Bad => 31,
    };
    format!("\u{1b}[{code}m{word}\u{1b}[0m")
}

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &serde_json::Value) {
    println!("{value:#}");
}
