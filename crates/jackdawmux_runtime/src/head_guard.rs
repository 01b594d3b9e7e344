//! Rejects requests with ambiguous framing before the HTTP library parses them, which protects
//! against request smuggling.
//!
//! The library ignores `Content-Length` when `Transfer-Encoding` is present and accepts lines that end
//! with a bare line feed, so a request that another party could frame differently would go undetected.
//! The guard tracks the message framing and passes a header section to the library only once it is
//! complete and unambiguous. It passes nothing on after a message that it or the library rejects.

use std::sync::Arc;
use std::task::Waker;

use axum::http::Uri;

/// Maximum number of header fields that the guard parses. The library rejects requests with more.
const MAX_HEADER_FIELDS: usize = 128;
/// Maximum length of a chunk-size line, including chunk extensions, and of a trailer section, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;
/// Maximum length of the chunk extensions of one body, in bytes. The library allows more.
const MAX_EXTENSION_BYTES: usize = 8 * 1024;
/// Maximum number of trailer fields. The library allows more.
const MAX_TRAILER_FIELDS: usize = 64;

/// Passed to the library in place of a rejected header section. It holds no request line, so the
/// library responds with 400 and closes the connection.
const REJECTED_HEAD: &[u8] = b"\0\r\n\r\n";
/// The same in a body: no line of chunked framing goes on like this.
const REJECTED_CHUNK: &[u8] = b"\r\0";

/// Reason for which a message is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    BothLengths,
    /// A transfer coding other than exactly `chunked`, more than one, or one in HTTP/1.0.
    UnknownCoding,
    /// `Content-Length` is repeated or not a number.
    BadLength,
    /// A line of a header section ends with a line feed alone, which readers disagree about.
    BareLineFeed,
    /// A line of chunked framing is malformed.
    BadChunk,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FramingState {
    Head,
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    /// The header section is malformed or too long. It was passed on for the library to reject, and
    /// nothing after it is.
    Ended,
}

/// Follows the requests of a connection.
pub trait HeadObserver: Send + Sync {
    /// Receives each complete header section that is accepted, in their order.
    fn receive(&self, head: &[u8]);

    /// Number of requests whose responses are complete. The library is given the next request only
    /// then, so that it keeps asking for bytes and further requests are received early.
    fn finished(&self) -> u64;

    /// Registers the task to wake when the number rises.
    fn register(&self, waker: &Waker);
}

/// Tracks the framing of the requests on one connection.
pub struct FramingTracker {
    state: FramingState,
    /// Bytes of a header section that is still incomplete.
    head: Vec<u8>,
    /// Bytes of the current line of chunked framing.
    line: Vec<u8>,
    /// Complete lines of the current trailer section.
    trailers: Vec<u8>,
    /// Bytes of chunk extensions in the current body.
    extension_bytes: usize,
    head_limit: usize,
    /// Number of complete header sections.
    pub(crate) heads: u64,
    /// Positions in the accepted bytes at which the latest header sections start.
    pub(crate) starts: Vec<usize>,
    pub(crate) observer: Option<Arc<dyn HeadObserver>>,
}

impl std::fmt::Debug for FramingTracker {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("FramingTracker").field("state", &self.state).finish_non_exhaustive()
    }
}

impl FramingTracker {
    /// Creates a tracker for a new connection. `head_limit` is the number of bytes from which on the
    /// library rejects a header section that is incomplete.
    #[must_use]
    pub const fn new(head_limit: usize) -> Self {
        Self {
            state: FramingState::Head,
            head: Vec::new(),
            line: Vec::new(),
            trailers: Vec::new(),
            extension_bytes: 0,
            head_limit,
            heads: 0,
            starts: Vec::new(),
            observer: None,
        }
    }

    /// Whether no further bytes are accepted.
    #[must_use]
    pub fn is_ended(&self) -> bool {
        self.state == FramingState::Ended
    }

    /// Returns bytes that make the library reject what it has been given so far, for after an error.
    pub(crate) const fn rejection(&self) -> &'static [u8] {
        match self.state {
            FramingState::ChunkSize | FramingState::ChunkEnd | FramingState::Trailer => {
                REJECTED_CHUNK
            }
            _ => REJECTED_HEAD,
        }
    }

    /// Whether a header section is partly received.
    #[must_use]
    pub const fn is_in_head(&self) -> bool {
        !self.head.is_empty()
    }

    /// Whether a body is partly received.
    pub(crate) fn is_in_body(&self) -> bool {
        !matches!(self.state, FramingState::Head | FramingState::Ended)
    }

    /// Processes bytes read from the connection and appends those that the library may parse to
    /// `accepted`.
    ///
    /// # Errors
    /// When a header section is ambiguous; no part of it is appended. When a line of chunked framing is
    /// malformed; its end is not appended.
    pub fn feed(&mut self, bytes: &[u8], accepted: &mut Vec<u8>) -> Result<(), HeadError> {
        let mut rest = bytes;
        while !rest.is_empty() {
            rest = match self.state {
                FramingState::Head => self.feed_head(rest, accepted)?,
                FramingState::Length(remaining) => {
                    let (taken, remaining) = split_body(rest, remaining);
                    accepted.extend_from_slice(taken);
                    self.state = if remaining == 0 {
                        FramingState::Head
                    } else {
                        FramingState::Length(remaining)
                    };
                    &rest[taken.len()..]
                }
                FramingState::ChunkData(remaining) => {
                    let (taken, remaining) = split_body(rest, remaining);
                    accepted.extend_from_slice(taken);
                    self.state = if remaining == 0 {
                        FramingState::ChunkEnd
                    } else {
                        FramingState::ChunkData(remaining)
                    };
                    &rest[taken.len()..]
                }
                FramingState::ChunkSize | FramingState::ChunkEnd | FramingState::Trailer => {
                    self.feed_line(rest, accepted)?
                }
                FramingState::Ended => &[],
            };
        }
        Ok(())
    }

    /// Takes the bytes of an incomplete header section, for the end of the connection.
    pub fn take_unfinished(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.head)
    }

    fn feed_head<'bytes>(
        &mut self,
        bytes: &'bytes [u8],
        accepted: &mut Vec<u8>,
    ) -> Result<&'bytes [u8], HeadError> {
        // The terminator may be split over two reads.
        let search_start = self.head.len().saturating_sub(3);
        self.head.extend_from_slice(bytes);
        // Empty lines before a request line have no meaning.
        while self.head.starts_with(b"\r\n") {
            self.head.drain(..2);
        }
        let search_start = search_start.min(self.head.len());
        let end = find_head_end(&self.head[search_start..]).map(|end| search_start + end);
        if has_bare_line_feed(&self.head[..end.unwrap_or(self.head.len())], search_start) {
            return Err(HeadError::BareLineFeed);
        }
        let Some(end) = end else {
            if self.head.len() > self.head_limit {
                accepted.append(&mut self.head);
                self.state = FramingState::Ended;
            }
            return Ok(&[]);
        };
        self.state = check_head(&self.head[..end])?;
        accepted.extend_from_slice(&self.head[..end]);
        self.heads += 1;
        if let Some(observer) = &self.observer {
            self.starts.push(accepted.len() - end);
            if self.state != FramingState::Ended {
                observer.receive(&self.head[..end]);
            }
        }
        let rest = self.head.len() - end;
        self.head.clear();
        Ok(&bytes[bytes.len() - rest..])
    }

    fn feed_line<'bytes>(
        &mut self,
        bytes: &'bytes [u8],
        accepted: &mut Vec<u8>,
    ) -> Result<&'bytes [u8], HeadError> {
        let line_end = bytes.iter().position(|byte| *byte == b'\n');
        let (line, rest) = bytes.split_at(line_end.map_or(bytes.len(), |end| end + 1));
        self.line.extend_from_slice(line);
        if self.line.len() > MAX_CHUNK_LINE_BYTES {
            return Err(HeadError::BadChunk);
        }
        if line_end.is_some() {
            self.state = self.state_after_line().ok_or(HeadError::BadChunk)?;
            self.line.clear();
        }
        accepted.extend_from_slice(line);
        Ok(rest)
    }

    /// Returns the state after a complete line of chunked framing; none if it is malformed.
    fn state_after_line(&mut self) -> Option<FramingState> {
        let line = self.line.strip_suffix(b"\r\n").filter(|line| !line.contains(&b'\r'))?;
        match (self.state, line.is_empty()) {
            (FramingState::ChunkSize, _) => {
                let (size, extension_bytes) = parse_chunk_size(line)?;
                self.extension_bytes += extension_bytes;
                let state = match size {
                    0 => FramingState::Trailer,
                    size => FramingState::ChunkData(size),
                };
                (self.extension_bytes <= MAX_EXTENSION_BYTES).then_some(state)
            }
            (FramingState::ChunkEnd, true) => Some(FramingState::ChunkSize),
            (FramingState::Trailer, is_end) => {
                self.trailers.extend_from_slice(&self.line);
                let is_short = self.trailers.len() <= MAX_CHUNK_LINE_BYTES;
                if !is_end {
                    return is_short.then_some(FramingState::Trailer);
                }
                self.extension_bytes = 0;
                let trailers = std::mem::take(&mut self.trailers);
                (is_short && are_fields(&trailers)).then_some(FramingState::Head)
            }
            _ => None,
        }
    }
}

fn split_body(bytes: &[u8], remaining: u64) -> (&[u8], u64) {
    let available = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
    let count = available.min(remaining);
    let taken = usize::try_from(count).unwrap_or(bytes.len());
    (&bytes[..taken], remaining - count)
}

/// Returns the position after the empty line that ends a header section.
fn find_head_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4)
}

/// Whether a line from `start` on ends with a line feed alone.
fn has_bare_line_feed(head: &[u8], start: usize) -> bool {
    let mut feeds = (start..head.len()).filter(|index| head[*index] == b'\n');
    feeds.any(|index| index == 0 || head[index - 1] != b'\r')
}

/// Returns the size that a chunk-size line states, and the length of its extensions.
fn parse_chunk_size(line: &[u8]) -> Option<(u64, usize)> {
    let digits = line.split(|byte| *byte == b';').next()?;
    let text = std::str::from_utf8(digits).ok()?.trim_end_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    Some((u64::from_str_radix(text, 16).ok()?, line.len() - digits.len()))
}

/// Whether a trailer section consists of header fields.
fn are_fields(trailers: &[u8]) -> bool {
    let mut fields = [httparse::EMPTY_HEADER; MAX_TRAILER_FIELDS];
    let parsed = httparse::parse_headers(trailers, &mut fields);
    matches!(parsed, Ok(httparse::Status::Complete((end, _))) if end == trailers.len())
}

fn check_head(head: &[u8]) -> Result<FramingState, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    let is_parsed =
        matches!(request.parse(head), Ok(httparse::Status::Complete(end)) if end == head.len());
    let has_target = request.path.is_some_and(|path| path.parse::<Uri>().is_ok());
    if !is_parsed || !has_target {
        // The library rejects it with the appropriate status.
        return Ok(FramingState::Ended);
    }
    let mut length = None;
    let mut is_chunked = false;
    for field in request.headers.iter() {
        if field.name.eq_ignore_ascii_case("content-length") {
            let value = std::str::from_utf8(field.value).ok().map(str::trim);
            let digits = value.filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
            let value = digits.and_then(|text| text.parse::<u64>().ok());
            let value = value.ok_or(HeadError::BadLength)?;
            if length.replace(value).is_some() {
                return Err(HeadError::BadLength);
            }
        } else if field.name.eq_ignore_ascii_case("transfer-encoding") {
            let is_known = request.version == Some(1)
                && field.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
            if !is_known || std::mem::replace(&mut is_chunked, true) {
                return Err(HeadError::UnknownCoding);
            }
        }
    }
    match (length, is_chunked) {
        (Some(_), true) => Err(HeadError::BothLengths),
        (None, true) => Ok(FramingState::ChunkSize),
        (None | Some(0), false) => Ok(FramingState::Head),
        (Some(length), false) => Ok(FramingState::Length(length)),
    }
}
