//! Decodes a rules file: size, encoding, byte-order mark and invisible characters.

use crate::diagnostic::DiagnosticSink;

/// Largest rules file that is accepted, in bytes.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

/// Decodes a file as UTF-8. A byte-order mark is skipped; `str::lines` handles CRLF line ends.
pub(crate) fn decode<'bytes>(
    bytes: &'bytes [u8],
    sink: &mut DiagnosticSink,
) -> Option<&'bytes str> {
    if bytes.len() > MAX_FILE_BYTES {
        sink.report(
            0..0,
            format!("the file has {} bytes, more than the {MAX_FILE_BYTES} allowed", bytes.len()),
            "split address lists into ranges, or remove rules that are no longer needed",
        );
        return None;
    }
    let bytes = bytes.strip_prefix(b"\xef\xbb\xbf").unwrap_or(bytes);
    match std::str::from_utf8(bytes) {
        Ok(text) => Some(text),
        Err(error) => {
            report_encoding(bytes, error.valid_up_to(), sink);
            None
        }
    }
}

/// Reports characters that are invisible or that change the display order of a line: the active
/// rule could differ from the rule that an operator sees.
pub(crate) fn check_characters(line: &str, sink: &mut DiagnosticSink) {
    for (index, character) in line.char_indices() {
        if is_hidden(character) {
            sink.report(
                index..index + character.len_utf8(),
                format!("the character U+{:04X} is invisible", u32::from(character)),
                "remove it, or retype the line",
            );
            return;
        }
    }
}

/// Whether a character is a control character other than the tab, a zero-width character or a
/// bidirectional formatting character.
const fn is_hidden(character: char) -> bool {
    matches!(
        character,
        '\0'..='\u{8}'
            | '\u{a}'..='\u{1f}'
            | '\u{7f}'..='\u{9f}'
            | '\u{ad}'
            | '\u{61c}'
            | '\u{180e}'
            | '\u{200b}'..='\u{200f}'
            | '\u{202a}'..='\u{202e}'
            | '\u{2060}'..='\u{2069}'
            | '\u{feff}'
    )
}

fn report_encoding(bytes: &[u8], valid_up_to: usize, sink: &mut DiagnosticSink) {
    let text = String::from_utf8_lossy(&bytes[..valid_up_to]);
    let line = text.matches('\n').count() + 1;
    let line_start = text.rsplit('\n').next().unwrap_or_default();
    sink.enter_line(line, &format!("{line_start}\u{fffd}"));
    sink.report(
        line_start.len()..line_start.len() + '\u{fffd}'.len_utf8(),
        "the file is not valid UTF-8 here",
        "save the file as UTF-8",
    );
}
