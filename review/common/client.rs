//! Stand-in for a client: one request on a new or a kept channel.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use super::http::{Channel, Message};
use super::record::Record;

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// What a client sends.
pub struct Request<'text> {
    pub method: &'text str,
    pub path: &'text str,
    pub affinity: &'text str,
    pub deadline: Duration,
    pub body: &'text [u8],
}

/// A sent request with its outcome.
pub struct Outcome {
    pub attempt: String,
    pub sent_at: f64,
    pub ended_at: f64,
    pub answer: io::Result<Message>,
}

impl Outcome {
    /// Status of the answer; zero without one.
    pub fn status(&self) -> u16 {
        self.answer.as_ref().map_or(0, Message::status)
    }
}

pub struct Client {
    pub name: String,
    pub host: String,
    record: Arc<Record>,
    address: SocketAddr,
    channel: Option<Channel>,
}

impl Client {
    pub fn new(name: &str, host: &str, address: SocketAddr, record: &Arc<Record>) -> Self {
        let (name, host) = (name.to_owned(), host.to_owned());
        Self { name, host, record: Arc::clone(record), address, channel: None }
    }

    /// Sends a request on the kept channel, or on a new one if there is none.
    pub fn send(&mut self, request: &Request<'_>) -> Outcome {
        let attempt =
            format!("{:016x}", 0x9c41_0000_0000_0000 + NEXT_ATTEMPT.fetch_add(1, Ordering::SeqCst));
        let Request { method, path, affinity, deadline, body } = request;
        let length = if *method == "GET" {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", body.len())
        };
        let mut bytes = format!(
            "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Affinity-Key: {affinity}\r\nX-Deadline-Ms: {}\r\n{length}\r\n",
            self.host,
            deadline.as_millis()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        let sent_at = self.record.now();
        self.record.add(format!(
            "client {} sends {attempt} {method} {path} to {}",
            self.name, self.address
        ));
        let channel = match self.channel.take() {
            Some(channel) => Ok(channel),
            None => Channel::connect(self.address, Duration::from_secs(1)),
        };
        // A second beyond its time limit shows whether an answer comes at all.
        let answer = channel.and_then(|mut channel| {
            let answer = channel.exchange(&bytes, *deadline + Duration::from_secs(1))?;
            if !answer.header("connection").eq_ignore_ascii_case("close") {
                self.channel = Some(channel);
            }
            Ok(answer)
        });
        let ended_at = self.record.now();
        let text = match &answer {
            Ok(answer) => {
                let stamp =
                    if answer.header("x-response-stamp").is_empty() { "no stamp" } else { "stamp" };
                format!("client {} gets {} for {attempt} ({stamp})", self.name, answer.status())
            }
            Err(error) => format!("client {} gets no answer for {attempt}: {error}", self.name),
        };
        self.record.add(text);
        Outcome { attempt, sent_at, ended_at, answer }
    }
}
