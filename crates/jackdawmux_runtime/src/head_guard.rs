//! Rejects requests with ambiguous framing before the HTTP library parses them, which protects
//! against request smuggling.
//!
//! The library ignores `Content-Length` when `Transfer-Encoding` is present, so a request that
//! another party could frame differently would go undetected. The guard tracks the message framing
//! and passes a header section to the library only once it is complete and unambiguous.

use std::sync::Arc;
use std::task::Waker;

/// Maximum number of header fields that the guard parses. The library rejects requests with more.
const MAX_HEADER_FIELDS: usize = 128;
/// Maximum length of a chunk-size line, including chunk extensions, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;

/// Reason for which a header section is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// Both `Content-Length` and `Transfer-Encoding` are present.
    BothLengths,
    /// A transfer coding other than exactly `chunked`, or more than one.
    UnknownCoding,
    /// `Content-Length` is repeated or not a number.
    BadLength,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FramingState {
    Head,
    Length(u64),
    ChunkSize,
    ChunkData(u64),
    ChunkEnd,
    Trailer,
    /// The framing is malformed. Further bytes are accepted without checks: the library rejects
    /// the message as well and reads no request after it.
    Malformed,
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
    /// Creates a tracker for a new connection. A header section above `head_limit` bytes is
    /// accepted without checks; the library rejects it.
    #[must_use]
    pub const fn new(head_limit: usize) -> Self {
        Self {
            state: FramingState::Head,
            head: Vec::new(),
            line: Vec::new(),
            head_limit,
            heads: 0,
            starts: Vec::new(),
            observer: None,
        }
    }

    /// Whether a header section is partly received.
    #[must_use]
    pub const fn is_in_head(&self) -> bool {
        !self.head.is_empty()
    }

    /// Processes bytes read from the connection and appends those that the library may parse to
    /// `accepted`.
    ///
    /// # Errors
    /// When a header section is ambiguous; no part of it is appended.
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
                    self.feed_line(rest, accepted)
                }
                FramingState::Malformed => {
                    accepted.extend_from_slice(rest);
                    &[]
                }
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
        let previous_len = self.head.len();
        self.head.extend_from_slice(bytes);
        let Some(end) = find_head_end(&self.head[search_start..]).map(|end| search_start + end)
        else {
            if self.head.len() > self.head_limit {
                accepted.append(&mut self.head);
                self.state = FramingState::Malformed;
            }
            return Ok(&[]);
        };
        self.state = check_head(&self.head[..end])?;
        accepted.extend_from_slice(&self.head[..end]);
        self.heads += 1;
        if let Some(observer) = &self.observer {
            self.starts.push(accepted.len() - end);
            if self.state != FramingState::Malformed {
                observer.receive(&self.head[..end]);
            }
        }
        self.head.clear();
        Ok(&bytes[end - previous_len..])
    }

    fn feed_line<'bytes>(&mut self, bytes: &'bytes [u8], accepted: &mut Vec<u8>) -> &'bytes [u8] {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            self.line.extend_from_slice(bytes);
            accepted.extend_from_slice(bytes);
            if self.line.len() > MAX_CHUNK_LINE_BYTES {
                self.state = FramingState::Malformed;
            }
            return &[];
        };
        let (line, rest) = bytes.split_at(end + 1);
        self.line.extend_from_slice(line);
        accepted.extend_from_slice(line);
        self.state = self.state_after_line();
        self.line.clear();
        rest
    }

    fn state_after_line(&self) -> FramingState {
        let is_empty = self.line == b"\r\n";
        match self.state {
            FramingState::ChunkSize => match parse_chunk_size(&self.line) {
                Some(0) => FramingState::Trailer,
                Some(size) => FramingState::ChunkData(size),
                None => FramingState::Malformed,
            },
            FramingState::ChunkEnd if is_empty => FramingState::ChunkSize,
            FramingState::Trailer if is_empty => FramingState::Head,
            FramingState::Trailer => FramingState::Trailer,
            _ => FramingState::Malformed,
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

fn parse_chunk_size(line: &[u8]) -> Option<u64> {
    let line = line.strip_suffix(b"\r\n")?;
    let digits = line.split(|byte| *byte == b';').next()?;
    let text = std::str::from_utf8(digits).ok()?.trim_end_matches([' ', '\t']);
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

fn check_head(head: &[u8]) -> Result<FramingState, HeadError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    if !matches!(request.parse(head), Ok(httparse::Status::Complete(_))) {
        // The library rejects it with the appropriate status.
        return Ok(FramingState::Malformed);
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
            let is_known = field.value.trim_ascii().eq_ignore_ascii_case(b"chunked");
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
