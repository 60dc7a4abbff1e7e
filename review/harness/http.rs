//! HTTP/1.1 messages over a TCP connection.

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has arrived as its framing announces.
    pub complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Path of a request, or status of an answer.
    pub fn word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.word().parse().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let query = self.word().split_once('?')?.1;
        query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    }
}

/// A connection, with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn open(address: &str) -> Option<Self> {
        let address = address.parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        Some(Self::new(stream))
    }

    pub fn write(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    fn fill(&mut self) -> bool {
        let mut piece = [0; 16384];
        loop {
            match self.stream.read(&mut piece) {
                Ok(0) => return false,
                Ok(count) => {
                    self.buffer.extend_from_slice(&piece[..count]);
                    return true;
                }
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
    }

    /// Reads the head of the next message.
    pub fn head(&mut self) -> Option<Message> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                break at;
            }
            if !self.fill() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let start = lines.next()?.to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Some(Message { start, headers, ..Message::default() })
    }

    /// Reads the next message. A body without a length or chunks is empty for a request, and ends
    /// with the connection for an answer.
    pub fn message(&mut self) -> Option<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").is_some() {
            message.complete = self.chunks(&mut message.body);
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().ok()?;
            while self.buffer.len() < length && self.fill() {}
            let length = self.buffer.len().min(length);
            message.complete = message.header("content-length") == Some(&length.to_string());
            message.body = self.buffer.drain(..length).collect();
        } else if message.start.starts_with("HTTP/") {
            while self.fill() {}
            message.body = std::mem::take(&mut self.buffer);
            message.complete = true;
        } else {
            message.complete = true;
        }
        Some(message)
    }

    fn chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let end = loop {
                if let Some(at) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                    break at;
                }
                if !self.fill() {
                    return false;
                }
            };
            let size = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(size.trim(), 16) else { return false };
            while self.buffer.len() < end + 2 + size + 2 {
                if !self.fill() {
                    return false;
                }
            }
            body.extend_from_slice(&self.buffer[end + 2..end + 2 + size]);
            self.buffer.drain(..end + 2 + size + 2);
            if size == 0 {
                return true;
            }
        }
    }

    /// Takes bytes that were read ahead.
    pub fn take_buffer(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

/// An answer with a JSON body.
pub fn json_answer(status: u16, body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
