//! A client of the platform that writes any bytes.

use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use super::http::{Message, MessageReader};

/// A client's connection.
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

    /// Connects to a gateway that may not be there.
    ///
    /// # Errors
    /// Fails when it cannot be reached.
    pub async fn try_connect(address: &str) -> std::io::Result<Self> {
        let (read, write) = TcpStream::connect(address).await?.into_split();
        Ok(Self { reader: MessageReader::new(read), write })
    }

    /// Sends bytes and reads the next answer; `None` when the connection ends
    /// without one.
    pub async fn send(&mut self, bytes: &[u8]) -> Option<Message> {
        // A gateway may close early, and its answer still be there.
        let _ = self.write.write_all(bytes).await;
        self.reader.next(true).await
    }

    /// Sends bytes only.
    ///
    /// # Panics
    /// Panics when the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) {
        self.write.write_all(bytes).await.expect("write");
    }

    /// Reads the next answer.
    pub async fn read(&mut self) -> Option<Message> {
        self.reader.next(true).await
    }
}

/// The bytes of a request to `path` with `key-1`.
#[must_use]
pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: api.example\r\nX-Request-Id: {id}\r\n\
         X-Api-Key: key-1\r\nX-Deadline-Ms: 3000\r\nContent-Length: {}\r\n{extra}\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// Sends one request on a connection of its own.
pub async fn request_once(address: &str, method: &str, path: &str, id: &str) -> Option<Message> {
    Client::connect(address).await.send(&request(method, path, id, "", "")).await
}
