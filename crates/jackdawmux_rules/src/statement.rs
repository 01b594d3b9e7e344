//! Parses one line into a rule.

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
    OperandError, parse_addresses, parse_bandwidth, parse_bytes, parse_count, parse_duration,
    parse_names, parse_percent, parse_rate, parse_targets, parse_time,
};
use crate::rule::{RuleKind, RuleLine};

/// Maximum timeout or target latency that a rule may set.
const MAX_TIMEOUT: Duration = Duration::from_secs(60);
/// HTTP methods that an operation may use.
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

/// Parses a line. Blank lines and lines with only a comment hold no rule.
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

/// Cursor over the words of one rule.
struct WordCursor<'rule, 'line> {
    words: &'rule [RuleWord<'line>],
    next: usize,
    end: usize,
    sink: &'rule mut DiagnosticSink,
}

impl<'line> WordCursor<'_, 'line> {
    fn report(&mut self, span: Range<usize>, message: String, help: String) {
        self.sink.report(span, message, help);
    }

    fn expect_word(&mut self, operand: &str) -> Option<RuleWord<'line>> {
        let Some(word) = self.words.get(self.next).cloned() else {
            let end = self.words.last().map_or(self.end, |word| word.span.end);
            self.report(
                end..end,
                format!("{operand} is missing here"),
                format!("add {operand} before the comment"),
            );
            return None;
        };
        self.next += 1;
        Some(word)
    }

    fn expect_name(&mut self, operand: &str) -> Option<String> {
        let word = self.expect_word(operand)?;
        let is_name = word.text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        if !is_name || word.text == "v1" {
            self.report(
                word.span,
                format!("`{}` cannot be {operand}", word.text),
                "use ASCII letters, digits, `-`, `_` and `.`; `v1` is reserved".to_owned(),
            );
            return None;
        }
        Some(word.text.to_owned())
    }

    fn expect_keyword(&mut self, keyword: &str) -> Option<()> {
        let word = self.expect_word(&format!("`{keyword}`"))?;
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

    fn expect_value<T>(
        &mut self,
        operand: &str,
        parse: impl Fn(&str) -> Result<T, OperandError>,
    ) -> Option<T> {
        let word = self.expect_word(operand)?;
        match parse(word.text) {
            Ok(value) => Some(value),
            Err(error) => {
                self.report(word.span, error.message, error.help);
                None
            }
        }
    }

    fn take_keyword(&mut self, keyword: &str) -> bool {
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
            format!("unexpected `{}`", extra.text),
            "remove it, or put `#` before the comment".to_owned(),
        );
        None
    }
}

fn parse_region(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let name = cursor.expect_name("the region's name")?;
    cursor.expect_keyword("domains")?;
    let word = cursor.expect_word("the list of failure domains")?;
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
    let regions =
        [cursor.expect_name("the first region")?, cursor.expect_name("the second region")?];
    cursor.expect_keyword("bandwidth")?;
    let bits_per_second = cursor.expect_value("the bandwidth", parse_bandwidth)?;
    cursor.expect_keyword("delay")?;
    let delay = cursor.expect_value("the delay", parse_duration)?;
    Some(RuleKind::Link { regions, bits_per_second, delay })
}

fn parse_upstream(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let service = cursor.expect_name("the service")?;
    let addresses = cursor.expect_value("the address", parse_addresses)?;
    cursor.expect_keyword("domain")?;
    let domain = cursor.expect_name("the failure domain")?;
    cursor.expect_keyword("slots")?;
    let slots = cursor.expect_value("the number of slots", parse_count)?;
    cursor.expect_keyword("connections")?;
    let connections = cursor.expect_value("the number of connections", parse_count)?;
    Some(RuleKind::Upstream { service, addresses, domain, slots, connections })
}

fn parse_operation(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let service = cursor.expect_name("the service")?;
    let method = cursor.expect_value("the method", parse_method)?;
    let prefix = cursor.expect_value("the path prefix", parse_path_prefix)?;
    cursor.expect_keyword("priority")?;
    let priority = cursor.expect_value("the priority", parse_priority)?;
    let repeat =
        if cursor.take_keyword("once") { RepeatRule::Once } else { RepeatRule::Repeatable };
    cursor.expect_keyword("timeout")?;
    let timeout = cursor.expect_value("the timeout", parse_timeout)?;
    Some(RuleKind::Operation { service, method, prefix, priority, repeat, timeout })
}

fn parse_route(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let name = cursor.expect_name("the route's name")?;
    cursor.expect_keyword("host")?;
    let host = cursor.expect_name("the host")?;
    cursor.expect_keyword("path")?;
    let prefix = cursor.expect_value("the path prefix", parse_route_prefix)?;
    cursor.expect_keyword("to")?;
    let targets = cursor.expect_value("the services", parse_targets)?;
    cursor.expect_keyword("priority")?;
    let priority = cursor.expect_value("the priority", parse_priority)?;
    let is_once = cursor.take_keyword("once");
    cursor.expect_keyword("attempts")?;
    let max_attempts = cursor.expect_value("the number of attempts", parse_count)?;
    let is_sticky = cursor.take_keyword("sticky");
    let homes = if cursor.take_keyword("homes") {
        cursor.expect_value("the home regions", parse_names)?
    } else {
        SmallVec::new()
    };
    cursor.expect_keyword("target")?;
    let target_latency = cursor.expect_value("the target latency", parse_timeout)?;
    cursor.expect_keyword("timeout")?;
    let timeout = cursor.expect_value("the timeout", parse_timeout)?;
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
        is_public: false,
    }))
}

fn parse_service(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let name = cursor.expect_name("the service's name")?;
    cursor.expect_keyword("connections")?;
    let max_connections = cursor.expect_value("the number of connections", parse_count)?;
    cursor.expect_keyword("cold")?;
    let cold_rate = cursor.expect_value("the rate of cold endpoints", parse_rate)?;
    cursor.expect_keyword("for")?;
    let cold_start =
        cursor.expect_value("the duration for which endpoints are cold", parse_duration)?;
    Some(RuleKind::Service(ServiceRecord { name, max_connections, cold_start, cold_rate }))
}

fn parse_limits(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    cursor.expect_keyword("header")?;
    let header_bytes = cursor.expect_value("the largest header section", parse_bytes)?;
    cursor.expect_keyword("body")?;
    let max_body_bytes = cursor.expect_value("the largest body", parse_bytes)?;
    cursor.expect_keyword("header-time")?;
    let header_timeout = cursor.expect_value("the time for a header section", parse_timeout)?;
    cursor.expect_keyword("idle-time")?;
    let idle_timeout = cursor.expect_value("the idle time of a connection", parse_duration)?;
    let max_header_bytes = usize::try_from(header_bytes).unwrap_or(usize::MAX);
    Some(RuleKind::Limits(CallerLimits {
        max_header_bytes,
        max_body_bytes,
        header_timeout,
        idle_timeout,
    }))
}

fn parse_shift(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    let service = cursor.expect_name("the service")?;
    cursor.expect_keyword("from")?;
    let from = cursor.expect_name("the region to leave")?;
    cursor.expect_keyword("to")?;
    let to = cursor.expect_name("the region to enter")?;
    cursor.expect_keyword("cap")?;
    let cap_percent = cursor.expect_value("the cap", parse_percent)?;
    cursor.expect_keyword("start")?;
    let start_ms = cursor.expect_value("the start", parse_time)?;
    cursor.expect_keyword("end")?;
    let end_word = cursor.words.get(cursor.next).cloned();
    let end_ms = cursor.expect_value("the end", parse_time)?;
    if end_ms <= start_ms {
        let span = end_word.map_or(0..0, |word| word.span);
        cursor.report(
            span,
            "the shift ends before it starts".to_owned(),
            "write an end that is after the start".to_owned(),
        );
        return None;
    }
    Some(RuleKind::Shift(ShiftPlan { service, from, to, cap_percent, start_ms, end_ms }))
}

fn parse_drain(cursor: &mut WordCursor<'_, '_>) -> Option<RuleKind> {
    if cursor.take_keyword("domain") {
        let domain = cursor.expect_name("the failure domain")?;
        return Some(RuleKind::DrainDomain { domain });
    }
    cursor.expect_keyword("upstream")?;
    let addresses = cursor.expect_value("the address", parse_addresses)?;
    Some(RuleKind::DrainUpstream { addresses })
}

fn parse_method(text: &str) -> Result<String, OperandError> {
    if METHODS.contains(&text) {
        return Ok(text.to_owned());
    }
    Err(OperandError {
        message: format!("`{text}` is not a method"),
        help: format!("write one of: {}", METHODS.join(", ")),
    })
}

fn parse_path_prefix(text: &str) -> Result<String, OperandError> {
    if text.starts_with('/') {
        return Ok(text.to_owned());
    }
    Err(OperandError {
        message: format!("the path prefix `{text}` does not begin with `/`"),
        help: format!("write `/{text}`"),
    })
}

/// Parses the path prefix of a route. It ends with a slash, so that it matches whole path segments.
fn parse_route_prefix(text: &str) -> Result<String, OperandError> {
    let prefix = parse_path_prefix(text)?;
    if prefix.ends_with('/') {
        return Ok(prefix);
    }
    Err(OperandError {
        message: format!("the path prefix `{text}` does not end with `/`"),
        help: format!("write `{text}/`"),
    })
}

fn parse_priority(text: &str) -> Result<RequestPriority, OperandError> {
    text.parse().map_err(|_unknown| OperandError {
        message: format!("`{text}` is not a priority"),
        help: "write `high`, `normal` or `low`".to_owned(),
    })
}

fn parse_timeout(text: &str) -> Result<Duration, OperandError> {
    let timeout = parse_duration(text)?;
    if timeout <= MAX_TIMEOUT {
        return Ok(timeout);
    }
    Err(OperandError {
        message: format!("a timeout of {text} is too long"),
        help: format!("write at most {}s", MAX_TIMEOUT.as_secs()),
    })
}
