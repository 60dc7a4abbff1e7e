//! A client of event streams that notes which version of software each event comes from.

use coursestile_standins::site::client::request;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response that is being read.
pub struct EventStream {
    connection: TcpStream,
    text: String,
}

/// Events of a response, by number and version.
pub type Events = Vec<(u32, String)>;

impl EventStream {
    /// Sends the first request of a stream.
    pub async fn begin(address: &str, id: &str) -> Self {
        Self::send(address, id, "").await
    }

    /// Sends a request that resumes the stream that `began_as` began, after `last_event`.
    pub async fn resume(address: &str, id: &str, began_as: &str, last_event: u32) -> Self {
        let extra = format!("Last-Event-Id: {last_event}\r\nResumes: {began_as}\r\n");
        Self::send(address, id, &extra).await
    }

    /// As `resume` after the second event, with another account's key.
    pub async fn resume_with_key(address: &str, id: &str, began_as: &str, key: &str) -> Self {
        let extra = format!("Last-Event-Id: 2\r\nResumes: {began_as}\r\n");
        let bytes = request("POST", "/resume/x", id, &extra, "");
        let text = String::from_utf8_lossy(&bytes).replace("key-1", key);
        Self::send_bytes(address, text.as_bytes()).await
    }

    /// Sends a request with additional headers.
    pub async fn send(address: &str, id: &str, extra: &str) -> Self {
        Self::send_bytes(address, &request("POST", "/resume/x", id, extra, "")).await
    }

    async fn send_bytes(address: &str, bytes: &[u8]) -> Self {
        let mut connection = TcpStream::connect(address).await.expect("connection");
        connection.write_all(bytes).await.expect("write");
        Self { connection, text: String::new() }
    }

    /// Reads until `count` events have arrived, or the connection has ended.
    pub async fn read_events(&mut self, count: usize) -> Events {
        while self.events().len() < count && self.read_more().await {}
        self.events()
    }

    /// Reads the whole response; returns its status and events.
    pub async fn read_all(mut self) -> (u16, Events) {
        while !self.is_complete() && self.read_more().await {}
        (self.status(), self.events())
    }

    /// Status of the response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Value of a header of the response.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.text.split("\r\n\r\n").next().unwrap_or_default().lines();
        let mut fields = lines.filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    async fn read_more(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.connection.read(&mut bytes).await {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.text.push_str(&String::from_utf8_lossy(&bytes[..length]));
                true
            }
        }
    }

    fn is_complete(&self) -> bool {
        let Some((head, body)) = self.text.split_once("\r\n\r\n") else { return false };
        let length = self.header("content-length").and_then(|length| length.parse::<usize>().ok());
        body.ends_with("0\r\n\r\n")
            || length.is_some_and(|length| self.text.len() >= head.len() + 4 + length)
    }

    /// The complete events that have arrived.
    fn events(&self) -> Events {
        let parts = self.text.split("id: ").skip(1).filter(|part| part.contains("\n\n"));
        let events = parts.filter_map(|part| {
            let (number, data) = part.split_once("\ndata: ")?;
            Some((number.parse().ok()?, data.split(' ').next()?.to_owned()))
        });
        events.collect()
    }
}

/// The versions in events, each once.
pub fn versions(events: &[(u32, String)]) -> Vec<&str> {
    let mut versions: Vec<&str> = events.iter().map(|(_, version)| version.as_str()).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Numbers of events.
pub fn numbers(events: &[(u32, String)]) -> Vec<u32> {
    events.iter().map(|(number, _)| *number).collect()
}
