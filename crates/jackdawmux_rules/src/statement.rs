//! Reads one line into a rule.

use std::ops::Range;
use std::time::Duration;

use jackdawmux_policy::fleet::record::{self, CallerLimits, RouteRecord, ServiceRecord};
use jackdawmux_policy::shift::ShiftPlan;
use jackdawmux_policy::table::{RepeatRule, RequestPriority};
use smallvec::SmallVec;
use strum::{EnumString, IntoStaticStr, VariantNames};

use crate::diagnostic::DiagnosticSink;
use crate::lexer::{RuleWord, lex_line};
use crate::operand::{
    OperandError, read_addresses, read_bandwidth, read_bytes, read_count, read_duration,
    read_names, read_percent, read_rate, read_targets, read_time,
};
use crate::rule::{RuleKind, RuleLine};

/// Longest timeout of an operation.
const TIMEOUT_LONGEST: Duration = Duration::from_secs(60);
/// HTTP methods that an operation may name.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

#[derive(Clone, Copy, Debug, EnumString, VariantNames, IntoStaticStr)]
#[strum(serialize_all = "lowercase")]
enum RuleKeyword {
    Region,
    Link,
    Upstream,
    Operation,
    Route,
    Service,
    Limits,
    Shift,
    Drain,
}

/// Reads a line; blank lines and lines of comment alone hold no rule.
pub(crate) fn parse_line(line: &str, number: usize, sink: &mut DiagnosticSink) -> Option<RuleLine> {
    let lexed = lex_line(line);
    let first = lexed.words.first()?;
    let mut cursor = WordCursor { words: &lexed.words, next: 1, end: line.trim_end().len(), sink };
    let Ok(keyword) = first.text.parse::<RuleKeyword>() else {
        let known = RuleKeyword::VARIANTS.join(", ");
        cursor.report(
            first.span.clone(),
            format!("`{}` is not a rule", first.text),
            format!("begin the line with one of: {known}"),
        );
        return None;
    };
    let kind = match keyword {
        RuleKeyword::Region => parse_region(&mut cursor),
        RuleKeyword::Link => parse_link(&mut cursor),
        RuleKeyword::Upstream => parse_upstream(&mut cursor),
        RuleKeyword::Operation => parse_operation(&mut cursor),
        RuleKeyword::Route => parse_route(&mut cursor),
        RuleKeyword::Service => parse_service(&mut cursor),
        RuleKeyword::Limits => parse_limits(&mut cursor),
        RuleKeyword::Shift => parse_shift(&mut cursor),
        RuleKeyword::Drain => parse_drain(&mut cursor),
    }?;
    cursor.expect_end()?;
    match lexed.comment {
        Some(comment) if !comment.is_empty() => {
            Some(RuleLine { line: number, kind, comment: comment.to_owned() })
        }
        Some(_) | None => {
            sink.report(
                lexed.comment_span,
                "the rule has no comment naming who asked for it",
                "end the line with `# NAME: reason`",
            );
            None
        }
    }
}

/// Walks over the words of one rule.
struct WordCursor<'walk, 'line> {
    words: &'walk [RuleWord<'line>],
    next: usize,
    end: usize,
    sink: &'walk mut DiagnosticSink,
}

impl<'line> WordCursor<'_, 'line> {
    fn report(&mut self, span: Range<usize>, message: String, mend: String) {
        self.sink.report(span, message, mend);
    }

    fn word(&mut self, what: &str) -> Option<RuleWord<'line>> {
        let Some(word) = self.words.get(self.next).cloned() else {
            let end = self.words.last().map_or(self.end, |word| word.span.end);
            self.report(
                end..end,
                format!("{what} is missing here"),
                format!("add {what} before the comment"),
            );
            return None;
        };
        self.next += 1;
        Some(word)
    }

    fn name(&mut self, what: &str) -> Option<String> {
        let word = self.word(what)?;
        let is_name = word.text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !is_name || word.text == "v1" {
            self.report(
                word.span,
                format!("`{}` cannot be {what}", word.text),
                "use ASCII letters, digits, `-`, `_` and `.`; `v1` is reserved".to_owned(),
            );
            return None;
        }
        Some(word.text.to_owned())
    }

    fn keyword(&mut self, keyword: &str) -> Option<()> {
        let word = self.word(&format!("`{keyword}`"))?;
        if word.text == keyword {
            return Some(());
        }
        self.report(
            word.span,
            format!("expected `{keyword}`, found `{}`", word.text),
            format!("write `{keyword}` here"),
        );
        None
    }

    fn value<T>(
        &mut self,
        what: &str,
        read: impl Fn(&str) -> Result<T, OperandError>,
    ) -> Option<T> {
        let word = self.word(what)?;
        match read(word.text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(word.span, error.message, error.mend);
                None
            }
        }
    }

    fn take_if(&mut self, keyword: &str) -> bool {
        let is_next = self.words.get(self.next).is_some_and(|word| word.text == keyword);
        self.next += usize::from(is_next);
        is_next
    }

    fn expect_end(&mut self) -> Option<()> {
        let Some(extra) = self.words.get(self.next).cloned() else {
            return Some(());
        };
        self.report(
            extra.span,
            format!("`{}` is not expected here", extra.text),
            "remove it, or put `#` before the comment".to_owned(),
        );
        None
    }
}

fn parse_region(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let name = cursor.name("the region's name")?;
    cursor.keyword("domains")?;
    let word = cursor.word("the list of failure domains")?;
    let domains: SmallVec<[String; 4]> = word.text.split(',').map(str::to_owned).collect();
    if domains.iter().any(String::is_empty) {
        cursor.report(
            word.span,
            "a failure domain's name is empty".to_owned(),
            "separate names by single commas, such as `north-a,north-b`".to_owned(),
        );
        return None;
    }
    Some(RuleKind::Region { name, domains })
}

fn parse_link(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let regions = [cursor.name("the first region")?, cursor.name("the second region")?];
    cursor.keyword("bandwidth")?;
    let bits_per_second = cursor.value("the bandwidth", read_bandwidth)?;
    cursor.keyword("delay")?;
    let delay = cursor.value("the delay", read_duration)?;
    Some(RuleKind::Link { regions, bits_per_second, delay })
}

fn parse_upstream(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let service = cursor.name("the service")?;
    let addresses = cursor.value("the address", read_addresses)?;
    cursor.keyword("domain")?;
    let domain = cursor.name("the failure domain")?;
    cursor.keyword("slots")?;
    let slots = cursor.value("the number of slots", read_count)?;
    cursor.keyword("connections")?;
    let connections = cursor.value("the number of connections", read_count)?;
    Some(RuleKind::Upstream { service, addresses, domain, slots, connections })
}

fn parse_operation(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let service = cursor.name("the service")?;
    let method = cursor.value("the method", read_method)?;
    let prefix = cursor.value("the path prefix", read_prefix)?;
    cursor.keyword("priority")?;
    let priority = cursor.value("the priority", read_priority)?;
    let repeat = if cursor.take_if("once") { RepeatRule::Once } else { RepeatRule::Repeatable };
    cursor.keyword("timeout")?;
    let timeout = cursor.value("the timeout", read_timeout)?;
    Some(RuleKind::Operation { service, method, prefix, priority, repeat, timeout })
}

fn parse_route(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let name = cursor.name("the route's name")?;
    cursor.keyword("host")?;
    let host = cursor.name("the host")?;
    cursor.keyword("path")?;
    let prefix = cursor.value("the path prefix", read_whole_prefix)?;
    cursor.keyword("to")?;
    let targets = cursor.value("the services", read_targets)?;
    cursor.keyword("priority")?;
    let priority = cursor.value("the priority", read_priority)?;
    let is_once = cursor.take_if("once");
    cursor.keyword("attempts")?;
    let max_attempts = cursor.value("the number of attempts", read_count)?;
    let is_sticky = cursor.take_if("sticky");
    let homes = if cursor.take_if("homes") {
        cursor.value("the home regions", read_names)?
    } else {
        SmallVec::new()
    };
    cursor.keyword("target")?;
    let target_latency = cursor.value("the target latency", read_timeout)?;
    cursor.keyword("timeout")?;
    let timeout = cursor.value("the timeout", read_timeout)?;
    Some(RuleKind::Route(RouteRecord {
        name,
        host,
        prefix,
        repeat: if is_once { record::RepeatRule::Once } else { record::RepeatRule::Idempotent },
        timeout,
        target_latency,
        priority: priority as u32,
        max_attempts,
        is_sticky,
        homes,
        targets,
    }))
}

fn parse_service(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let name = cursor.name("the service's name")?;
    cursor.keyword("connections")?;
    let max_connections = cursor.value("the number of connections", read_count)?;
    cursor.keyword("cold")?;
    let cold_rate = cursor.value("the rate of cold endpoints", read_rate)?;
    cursor.keyword("for")?;
    let cold_start = cursor.value("the time for which endpoints are cold", read_duration)?;
    Some(RuleKind::Service(ServiceRecord { name, max_connections, cold_start, cold_rate }))
}

fn parse_limits(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    cursor.keyword("header")?;
    let header_bytes = cursor.value("the largest header section", read_bytes)?;
    cursor.keyword("body")?;
    let max_body_bytes = cursor.value("the largest body", read_bytes)?;
    cursor.keyword("header-time")?;
    let header_timeout = cursor.value("the time for a header section", read_timeout)?;
    cursor.keyword("idle-time")?;
    let idle_timeout = cursor.value("the idle time of a connection", read_duration)?;
    let max_header_bytes = usize::try_from(header_bytes).unwrap_or(usize::MAX);
    Some(RuleKind::Limits(CallerLimits {
        max_header_bytes,
        max_body_bytes,
        header_timeout,
        idle_timeout,
    }))
}

fn parse_shift(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let service = cursor.name("the service")?;
    cursor.keyword("from")?;
    let from = cursor.name("the region to leave")?;
    cursor.keyword("to")?;
    let to = cursor.name("the region to enter")?;
    cursor.keyword("cap")?;
    let cap_percent = cursor.value("the cap", read_percent)?;
    cursor.keyword("start")?;
    let start_ms = cursor.value("the start", read_time)?;
    cursor.keyword("end")?;
    let end_word = cursor.words.get(cursor.next).cloned();
    let end_ms = cursor.value("the end", read_time)?;
    if end_ms <= start_ms {
        let span = end_word.map_or(0..0, |word| word.span);
        cursor.report(
            span,
            "the shift ends before it starts".to_owned(),
            "write an end that lies after the start".to_owned(),
        );
        return None;
    }
    Some(RuleKind::Shift(ShiftPlan { service, from, to, cap_percent, start_ms, end_ms }))
}

fn parse_drain(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    if cursor.take_if("domain") {
        let domain = cursor.name("the failure domain")?;
        return Some(RuleKind::DrainDomain { domain });
    }
    cursor.keyword("upstream")?;
    let addresses = cursor.value("the address", read_addresses)?;
    Some(RuleKind::DrainUpstream { addresses })
}

fn read_method(text: &str) -> Result<String, OperandError> {
    if METHODS.contains(&text) {
        return Ok(text.to_owned());
    }
    Err(OperandError {
        message: format!("`{text}` is not a method"),
        mend: format!("write one of: {}", METHODS.join(", ")),
    })
}

fn read_prefix(text: &str) -> Result<String, OperandError> {
    if text.starts_with('/') {
        return Ok(text.to_owned());
    }
    Err(OperandError {
        message: format!("the path prefix `{text}` does not begin with `/`"),
        mend: format!("write `/{text}`"),
    })
}

/// Reads the prefix of a route, which ends with a slash so that it takes whole parts of a path.
fn read_whole_prefix(text: &str) -> Result<String, OperandError> {
    let prefix = read_prefix(text)?;
    if prefix.ends_with('/') {
        return Ok(prefix);
    }
    Err(OperandError {
        message: format!("the path prefix `{text}` does not end with `/`"),
        mend: format!("write `{text}/`"),
    })
}

fn read_priority(text: &str) -> Result<RequestPriority, OperandError> {
    text.parse().map_err(|_unknown| OperandError {
        message: format!("`{text}` is not a priority"),
        mend: "write `high`, `normal` or `low`".to_owned(),
    })
}

fn read_timeout(text: &str) -> Result<Duration, OperandError> {
    let timeout = read_duration(text)?;
    if timeout <= TIMEOUT_LONGEST {
        return Ok(timeout);
    }
    Err(OperandError {
        message: format!("a timeout of {text} is too long"),
        mend: format!("write at most {}s", TIMEOUT_LONGEST.as_secs()),
    })
}
