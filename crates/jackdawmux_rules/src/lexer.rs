//! Splits a line into words and its comment.

use std::ops::Range;

use smallvec::SmallVec;

/// One word of a rule and its position in the line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct RuleWord<'line> {
    /// Text of the word.
    pub(crate) text: &'line str,
    /// Byte range in the line.
    pub(crate) span: Range<usize>,
}

/// A line split into words and a comment.
#[derive(Clone, Debug)]
pub(crate) struct LexedLine<'line> {
    /// Words before the comment.
    pub(crate) words: SmallVec<[RuleWord<'line>; 12]>,
    /// Trimmed text of the comment, if the line has one.
    pub(crate) comment: Option<&'line str>,
    /// Byte range of the comment, or the empty range at the line's end.
    pub(crate) comment_span: Range<usize>,
}

/// Splits `line` at white space; `#` at the start of a word begins the comment.
pub(crate) fn lex_line(line: &str) -> LexedLine<'_> {
    let body_end = comment_start(line).unwrap_or(line.len());
    let mut words = SmallVec::new();
    let mut start = None;
    for (index, character) in line[..body_end].char_indices() {
        match (character.is_whitespace(), start) {
            (true, Some(word_start)) => {
                words.push(RuleWord { text: &line[word_start..index], span: word_start..index });
                start = None;
            }
            (false, None) => start = Some(index),
            (true, None) | (false, Some(_)) => {}
        }
    }
    if let Some(word_start) = start {
        words.push(RuleWord { text: &line[word_start..body_end], span: word_start..body_end });
    }
    let comment = line.get(body_end + 1..).map(str::trim);
    let comment_end = line.trim_end().len();
    LexedLine { words, comment, comment_span: body_end.min(comment_end)..comment_end }
}

fn comment_start(line: &str) -> Option<usize> {
    line.char_indices()
        .scan(true, |after_space, (index, character)| {
            let starts_comment = *after_space && character == '#';
            *after_space = character.is_whitespace();
            Some((index, starts_comment))
        })
        .find(|(_, starts_comment)| *starts_comment)
        .map(|(index, _)| index)
}
