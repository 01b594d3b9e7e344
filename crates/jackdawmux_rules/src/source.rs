//! From bytes to text: size, encoding, byte-order mark and line ends.

use crate::diagnostic::DiagnosticSink;

/// Largest rules file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 4 * 1024 * 1024;

/// Decodes a file. A byte-order mark is skipped; CRLF line ends are left to `str::lines`.
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

fn report_encoding(bytes: &[u8], valid: usize, sink: &mut DiagnosticSink) {
    let text = String::from_utf8_lossy(&bytes[..valid]);
    let line = text.matches('\n').count() + 1;
    let before = text.rsplit('\n').next().unwrap_or_default();
    sink.enter_line(line, &format!("{before}\u{fffd}"));
    sink.report(
        before.len()..before.len() + '\u{fffd}'.len_utf8(),
        "the file is not valid UTF-8 here",
        "save the file as UTF-8",
    );
}
