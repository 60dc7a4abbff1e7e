//! Minimal HTTP/1.1 parser for requests and answers, independent of the product's.

use tokio::io::{AsyncRead, AsyncReadExt};

/// A request or an answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    /// Request line or status line.
    pub start_line: String,
    /// Headers, with their names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body, with any chunked encoding removed.
    pub body: Vec<u8>,
    /// Whether the body was received completely, as far as its framing tells.
    pub complete: bool,
}

impl Message {
    /// Value of the first header with this name, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the start line: the path of a request or the status of an answer.
    #[must_use]
    pub fn path_or_status(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; 0 if it is no number.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.path_or_status().parse().unwrap_or_default()
    }

    /// Whether the body has neither a length nor chunks.
    #[must_use]
    pub fn is_close_delimited(&self) -> bool {
        self.header("content-length").is_none() && self.header("transfer-encoding").is_none()
    }

    /// Body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads messages from a connection.
pub struct MessageReader<S> {
    stream: S,
    buffer: Vec<u8>,
    /// Whether the connection was reset.
    reset: bool,
}

impl<S: AsyncRead + Unpin> MessageReader<S> {
    /// Reads from `stream`.
    pub fn new(stream: S) -> Self {
        Self { stream, buffer: Vec::new(), reset: false }
    }

    /// Reads the next message; `None` if the connection ends before its header does.
    /// With `until_eof`, a body without a length extends to the end of the connection.
    pub async fn next(&mut self, until_eof: bool) -> Option<Message> {
        let head_end = loop {
            if let Some(at) = position(&self.buffer, b"\r\n\r\n") {
                break at;
            }
            if !self.fill().await {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..head_end]).into_owned();
        self.buffer.drain(..head_end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            start_line: lines.next().unwrap_or_default().to_owned(),
            headers: lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_lowercase(), value.trim().to_owned()))
                .collect(),
            body: Vec::new(),
            complete: true,
        };
        if message.header("transfer-encoding").is_some() {
            message.complete = self.read_chunks(&mut message.body).await;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().unwrap_or(0);
            message.complete = self.read_exactly(length, &mut message.body).await;
        } else if until_eof {
            while self.fill().await {}
            message.body = std::mem::take(&mut self.buffer);
            message.complete = !self.reset;
        }
        Some(message)
    }

    /// Waits until the other side ends the connection.
    pub async fn wait_for_end(&mut self) {
        while self.fill().await {}
    }

    async fn read_chunks(&mut self, body: &mut Vec<u8>) -> bool {
        loop {
            let line_end = loop {
                if let Some(at) = position(&self.buffer, b"\r\n") {
                    break at;
                }
                if !self.fill().await {
                    return false;
                }
            };
            let line = String::from_utf8_lossy(&self.buffer[..line_end]).into_owned();
            self.buffer.drain(..line_end + 2);
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
                return false;
            };
            let mut chunk = Vec::new();
            if !self.read_exactly(length + 2, &mut chunk).await {
                chunk.truncate(length);
                body.extend_from_slice(&chunk);
                return false;
            }
            body.extend_from_slice(&chunk[..length]);
            if length == 0 {
                return true;
            }
        }
    }

    async fn read_exactly(&mut self, length: usize, into: &mut Vec<u8>) -> bool {
        while self.buffer.len() < length {
            if !self.fill().await {
                into.append(&mut self.buffer);
                return false;
            }
        }
        into.extend(self.buffer.drain(..length));
        true
    }

    async fn fill(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes).await {
            Ok(0) => false,
            Err(_) => {
                self.reset = true;
                false
            }
            Ok(count) => {
                self.buffer.extend_from_slice(&bytes[..count]);
                true
            }
        }
    }
}

fn position(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
