//! A client of event streams that notes which version of software each event comes from.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::client::request;

/// A response that is being read.
pub struct EventStream {
    connection: TcpStream,
    text: String,
    /// Whether the server has closed the connection, not reset it.
    closed: bool,
}

/// Events of a response, by number and version.
pub type Events = Vec<(u32, String)>;

/// Header lines by which a client resumes a stream that the response to `began_as` began.
#[must_use]
pub fn resume_headers(began_as: &str, last_event: u32) -> String {
    format!("Last-Event-Id: {last_event}\r\nResumes: {began_as}\r\n")
}

impl EventStream {
    /// Connects and sends a request.
    ///
    /// # Errors
    /// Fails when the gateway cannot be reached.
    pub async fn send(address: &str, bytes: &[u8]) -> std::io::Result<Self> {
        let mut connection = TcpStream::connect(address).await?;
        connection.write_all(bytes).await?;
        Ok(Self { connection, text: String::new(), closed: false })
    }

    /// Sends a request on a connection that an earlier response has left open.
    ///
    /// # Errors
    /// Fails when the gateway has reset the connection.
    pub async fn send_on(mut connection: TcpStream, bytes: &[u8]) -> std::io::Result<Self> {
        connection.write_all(bytes).await?;
        Ok(Self { connection, text: String::new(), closed: false })
    }

    /// The connection, if the whole response has arrived and has left it open.
    #[must_use]
    pub fn into_open_connection(self) -> Option<TcpStream> {
        (self.is_complete() && self.header("connection") != Some("close"))
            .then_some(self.connection)
    }

    /// Sends a request without a body to `path`, with additional headers.
    ///
    /// # Errors
    /// Fails when the gateway cannot be reached.
    pub async fn request(
        address: &str,
        path: &str,
        id: &str,
        extra: &str,
    ) -> std::io::Result<Self> {
        Self::send(address, &request("POST", path, id, extra, "")).await
    }

    /// Reads until `count` events have arrived, or the response has ended.
    pub async fn read_events(&mut self, count: usize) -> Events {
        while self.events().len() < count && !self.is_complete() && self.read_more().await {}
        self.events()
    }

    /// Reads the whole response; returns its status and events.
    pub async fn read_all(mut self) -> (u16, Events) {
        while !self.is_complete() && self.read_more().await {}
        (self.status(), self.events())
    }

    /// Status of the response; 0 if there is none.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.text.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Value of a header of the response.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.text.split("\r\n\r\n").next().unwrap_or_default().lines();
        let mut fields = lines.filter_map(|line| line.split_once(": "));
        fields.find(|(field, _)| field.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    async fn read_more(&mut self) -> bool {
        let mut bytes = [0; 4096];
        match self.connection.read(&mut bytes).await {
            Ok(0) => {
                self.closed = true;
                false
            }
            Err(_) => false,
            Ok(length) => {
                self.text.push_str(&String::from_utf8_lossy(&bytes[..length]));
                true
            }
        }
    }

    /// Whether the whole response has arrived.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        let Some((head, body)) = self.text.split_once("\r\n\r\n") else { return false };
        let length = self.header("content-length").and_then(|length| length.parse::<usize>().ok());
        body.ends_with("0\r\n\r\n")
            || length.is_some_and(|length| self.text.len() >= head.len() + 4 + length)
    }

    /// Whether the response looks complete to a client, which takes the close of the connection for the
    /// end of one without a length or chunks.
    #[must_use]
    pub fn looks_complete(&self) -> bool {
        let has_end =
            ["content-length", "transfer-encoding"].map(|name| self.header(name).is_some());
        self.is_complete() || self.closed && has_end == [false; 2]
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
#[must_use]
pub fn versions(events: &[(u32, String)]) -> Vec<&str> {
    let mut versions: Vec<&str> = events.iter().map(|(_, version)| version.as_str()).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// Numbers of events.
#[must_use]
pub fn numbers(events: &[(u32, String)]) -> Vec<u32> {
    events.iter().map(|(number, _)| *number).collect()
}
