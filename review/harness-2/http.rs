//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a request or a response, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the end of the body was marked.
    pub whole: bool,
    /// How a body ended whose end nothing but the connection marks.
    pub end: BodyEnd,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum BodyEnd {
    #[default]
    Delimited,
    Closed,
    Reset,
}

impl std::fmt::Display for BodyEnd {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Delimited => "delimited",
            Self::Closed => "closed in order",
            Self::Reset => "reset",
        })
    }
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| unescape(value))
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let escaped = (bytes[at] == b'%' && at + 2 < bytes.len())
            .then(|| u8::from_str_radix(&text[at + 1..at + 3], 16).ok())
            .flatten();
        if let Some(byte) = escaped {
            out.push(byte);
            at += 3;
        } else {
            out.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A connection with what was read too far.
pub struct Conn {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect_timeout(&address, Duration::from_secs(1)).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16384];
        let read = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(Some(line));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else { return Ok(None) };
        let mut message = Message { start, ..Message::default() };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(message)),
                Some(line) => {
                    let (name, value) = line.split_once(':').unwrap_or((&line, ""));
                    message.headers.push((name.to_owned(), value.trim().to_owned()));
                }
            }
        }
    }

    /// Reads the body that follows a head. `has_body` is true for responses.
    pub fn read_body(&mut self, message: &mut Message, has_body: bool) -> io::Result<()> {
        if message.header("transfer-encoding").is_some() {
            loop {
                let Some(line) = self.line()? else { return Ok(()) };
                let length =
                    usize::from_str_radix(line.split(';').next().unwrap_or("0").trim(), 16);
                let length = length.unwrap_or(0);
                if length == 0 {
                    while self.line()?.is_some_and(|line| !line.is_empty()) {}
                    message.whole = true;
                    return Ok(());
                }
                while self.buffer.len() < length + 2 {
                    if self.fill()? == 0 {
                        message.body.extend_from_slice(&self.buffer);
                        return Ok(());
                    }
                }
                message.body.extend(self.buffer.drain(..length));
                self.buffer.drain(..2);
            }
        }
        if let Some(length) = message.header("content-length").and_then(|text| text.parse().ok()) {
            let length: usize = length;
            while self.buffer.len() < length {
                if self.fill()? == 0 {
                    return Ok(());
                }
            }
            message.body = self.buffer.drain(..length).collect();
            message.whole = true;
            return Ok(());
        }
        if has_body {
            message.end = loop {
                match self.fill() {
                    Ok(0) => break BodyEnd::Closed,
                    Ok(_) => {}
                    Err(_) => break BodyEnd::Reset,
                }
            };
            message.body = std::mem::take(&mut self.buffer);
        }
        message.whole = !has_body || message.end == BodyEnd::Closed;
        Ok(())
    }

    pub fn read_request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, false)?;
        Ok(Some(message))
    }

    pub fn read_response(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        // A body that breaks off is returned as far as it came.
        let _ = self.read_body(&mut message, true);
        Ok(Some(message))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.write(head.as_bytes())
    }

    pub fn respond_json(&mut self, status: &str, body: &str) -> io::Result<()> {
        self.respond(status, "Content-Type: application/json\r\n", body)
    }
}

/// Sends a request on a new connection and reads the response; `None` if there is none in time.
pub fn call(address: SocketAddr, request: &[u8], timeout: Duration) -> Option<Message> {
    let mut conn = Conn::connect(address).ok()?;
    conn.stream.set_read_timeout(Some(timeout)).ok()?;
    conn.write(request).ok()?;
    conn.read_response().ok().flatten()
}

/// Waits until `check` holds; whether it did in time.
pub fn wait_until(timeout: Duration, mut check: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    false
}
