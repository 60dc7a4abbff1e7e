//! An HTTP client that sends arbitrary bytes, well-formed or not.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::http::{Message, MessageReader};

/// A client connection to a gateway.
pub struct Client {
    reader: MessageReader<OwnedReadHalf>,
    write: OwnedWriteHalf,
}

impl Client {
    /// Connects to a gateway.
    ///
    /// # Panics
    /// Panics when it cannot be reached.
    pub async fn connect(address: &str) -> Self {
        Self::try_connect(address).await.expect("connection")
    }

    /// Connects to a gateway that may be down.
    ///
    /// # Errors
    /// Fails when it cannot be reached.
    pub async fn try_connect(address: &str) -> std::io::Result<Self> {
        let (read, write) = TcpStream::connect(address).await?.into_split();
        Ok(Self { reader: MessageReader::new(read), write })
    }

    /// Sends bytes and reads the next answer; `None` if the connection ends
    /// before the header of one is complete.
    pub async fn send(&mut self, bytes: &[u8]) -> Option<Message> {
        // The write can fail because the gateway closed early; its answer can still be read.
        let _ = self.write.write_all(bytes).await;
        self.reader.next(true).await
    }

    /// Sends bytes without waiting for an answer.
    ///
    /// # Panics
    /// Panics when the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) {
        self.write.write_all(bytes).await.expect("write");
    }

    /// Reads the next answer; `None` if the connection ends before one.
    pub async fn read(&mut self) -> Option<Message> {
        self.reader.next(true).await
    }
}

/// Bytes of a request with the API key `key-1`; `extra` holds further header lines.
#[must_use]
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {id}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends a single request without a body on a new connection.
pub async fn request_once(address: &str, method: &str, path: &str, id: &str) -> Option<Message> {
    Client::connect(address).await.send(&request(method, path, id, "", "")).await
}
