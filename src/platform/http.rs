//! HTTP client for all calls to the platform's metadata store, engines and context stores. Every
//! call ends in bounded time if there is no answer.
//!
//! When a call on one connection times out, the idle connections in the pool may be dead as
//! well. A client of a single server then discards all of them, so that the next call opens a
//! new connection.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::sync::locked;

/// Maximum time to establish a connection: many round trips of a few ms each.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unacknowledged data ends a connection, or silence while a probe is unanswered:
/// enough for some retransmissions.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1500);
/// Interval between probes of an idle connection: an interrupted connection is noticed within
/// this time plus [`UNACKNOWLEDGED_TIMEOUT`].
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes that end a connection where [`UNACKNOWLEDGED_TIMEOUT`] does not decide that, as
/// it does on Linux whatever their count.
const KEEPALIVE_PROBES: u32 = 1;

/// Longest body that is read: several times a listing of a context store that serves hundreds of boxes.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Most bytes of all bodies that are read at a time.
const MAX_ALL_BODIES_BYTES: usize = 24 << 20;

/// Which servers a client calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Servers {
    /// A single server: a timeout on one connection makes all of them suspect.
    Single,
    /// Many servers that are independent of each other.
    Many,
}

/// HTTP client; `to_error` converts the description of a failure to an error of the kind of
/// server that it calls.
#[derive(Clone)]
pub struct HttpClient {
    client: Arc<Mutex<Client>>,
    servers: Servers,
    to_error: fn(String) -> Error,
    /// Bytes of the bodies that are being read.
    body_bytes: Arc<AtomicUsize>,
}

/// What one body adds to the bytes that are being read, until it is dropped.
struct ReservedBytes<'a> {
    all: &'a AtomicUsize,
    bytes: usize,
}

impl ReservedBytes<'_> {
    /// Adds bytes; whether the body, and all of them together, are within their limits.
    fn add(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        let all = self.all.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes <= MAX_BODY_BYTES && all <= MAX_ALL_BODIES_BYTES
    }
}

impl Drop for ReservedBytes<'_> {
    fn drop(&mut self) {
        self.all.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

impl HttpClient {
    /// Creates a client for engines and context stores.
    ///
    /// # Errors
    /// Fails when the HTTP library cannot create a client.
    pub fn new() -> Result<Self> {
        let client = Arc::new(Mutex::new(build_client()?));
        Ok(Self {
            client,
            servers: Servers::Many,
            to_error: Error::Upstream,
            body_bytes: Arc::default(),
        })
    }

    /// Creates a client for the metadata store.
    ///
    /// # Errors
    /// Fails when the HTTP library cannot create a client.
    pub fn for_metadata_store() -> Result<Self> {
        let client = Arc::new(Mutex::new(build_client()?));
        Ok(Self {
            client,
            servers: Servers::Single,
            to_error: Error::Platform,
            body_bytes: Arc::default(),
        })
    }

    /// Creates a request.
    pub fn request(&self, method: Method, url: &str) -> RequestBuilder {
        locked(&self.client).request(method, url)
    }

    /// Creates a GET request.
    pub fn get(&self, url: &str) -> RequestBuilder {
        self.request(Method::GET, url)
    }

    /// Creates a POST request.
    pub fn post(&self, url: &str) -> RequestBuilder {
        self.request(Method::POST, url)
    }

    /// Sends a request; an answer of any status is returned.
    ///
    /// # Errors
    /// Fails when there is no answer in time.
    pub async fn send(&self, request: RequestBuilder) -> Result<Response> {
        request.send().await.map_err(|error| self.convert_error(&error))
    }

    /// Returns the answer unless its status is an error.
    ///
    /// # Errors
    /// Fails when the status is a client or server error.
    pub fn success(&self, answer: Response) -> Result<Response> {
        answer.error_for_status().map_err(|error| self.convert_error(&error))
    }

    /// Reads the raw body of an answer.
    ///
    /// # Errors
    /// Fails when it does not arrive completely, or is too long.
    pub async fn bytes(&self, mut answer: Response) -> Result<Bytes> {
        let mut body = Vec::new();
        let mut reserved = ReservedBytes { all: &self.body_bytes, bytes: 0 };
        while let Some(piece) = answer.chunk().await.map_err(|error| self.convert_error(&error))? {
            if !reserved.add(piece.len()) {
                let url = answer.url();
                return Err((self.to_error)(format!("the answer is too long: {url}")));
            }
            body.extend_from_slice(&piece);
        }
        Ok(body.into())
    }

    /// Reads and decodes the JSON body of an answer.
    ///
    /// # Errors
    /// Fails when it does not arrive completely, is too long or invalid.
    pub async fn body<T: DeserializeOwned>(&self, answer: Response) -> Result<T> {
        let body = self.bytes(answer).await?;
        serde_json::from_slice(&body).map_err(|error| (self.to_error)(error.to_string()))
    }

    /// Replaces the client, which discards the idle connections of its pool.
    fn discard_connections(&self) {
        match build_client() {
            Ok(client) => *locked(&self.client) = client,
            Err(error) => warn!(target: "http", "event=client_kept cause=\"{error}\""),
        }
    }

    /// Converts an error of the HTTP library, with all its causes; its text includes the URL.
    fn convert_error(&self, error: &reqwest::Error) -> Error {
        if error.is_timeout() && self.servers == Servers::Single {
            self.discard_connections();
        }
        let mut text = error.to_string();
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            text = format!("{text}: {cause}");
            source = cause.source();
        }
        // An error status is the store's own statement that it cannot serve; a broken connection
        // says nothing about the store.
        match (self.servers, error.status()) {
            (Servers::Single, Some(_)) => Error::PlatformUnable(text),
            _ => (self.to_error)(text),
        }
    }
}

fn build_client() -> Result<Client> {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(UNACKNOWLEDGED_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_PERIOD)
        .tcp_keepalive_interval(KEEPALIVE_PERIOD)
        .tcp_keepalive_retries(KEEPALIVE_PROBES)
        .build()
        .map_err(|error| Error::Upstream(error.to_string()))
}

/// Rounds milliseconds down; negative values become 0.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
pub(super) fn floor_ms(value_ms: f64) -> u64 {
    value_ms.max(0.0) as u64
}

/// Decodes the JSON body of an upstream's answer.
///
/// # Errors
/// Fails when it is invalid.
pub(super) fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Upstream(error.to_string()))
}
