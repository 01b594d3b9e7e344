//! Blocking HTTP/1.1 over a stream: reads and writes single messages.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A parsed message: request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    /// Header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A stream with the bytes that were read beyond the last message.
pub struct Channel {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Channel {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, timeout).map(Self::new)
    }

    fn more(&mut self) -> io::Result<()> {
        let mut buffer = [0; 16 * 1024];
        match self.stream.read(&mut buffer)? {
            0 => Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed")),
            count => {
                self.rest.extend_from_slice(&buffer[..count]);
                Ok(())
            }
        }
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.rest.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.more()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < count {
            self.more()?;
        }
        Ok(self.rest.drain(..count).collect())
    }

    /// Reads one message with its whole body. Fails on a channel that ends before.
    pub fn read(&mut self) -> io::Result<Message> {
        let line = self.line()?;
        let mut message = Message { line, ..Message::default() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let size = self.line()?;
                let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "chunk size"))?;
                let chunk = self.exactly(size + 2)?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&chunk[..size]);
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.exactly(length)?;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Sends a request and reads the response, waiting for it until the deadline.
    pub fn exchange(&mut self, request: &[u8], wait: Duration) -> io::Result<Message> {
        let deadline = Instant::now() + wait;
        self.stream.set_write_timeout(Some(wait))?;
        self.write(request)?;
        let left = deadline.saturating_duration_since(Instant::now());
        self.stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
        self.read()
    }
}
