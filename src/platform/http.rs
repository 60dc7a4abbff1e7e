//! The HTTP client of all calls to the platform's store, engines and stores of
//! context. Silence ends every call in bounded time.
//!
//! Connections that wait for the next call may have gone silent together with one on
//! which a call was not answered in time. A client of one place gives all of them up
//! then, so that the next call opens a new one.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use log::warn;
use reqwest::{Client, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::sync::locked;

/// Time in which a connection must come up: many round trips of some ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unacknowledged bytes end a connection: some retransmissions.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between probes of an idle connection, so that a cut is seen within
/// [`SILENCE_TIMEOUT`] and this.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Probes that may be lost until an idle connection ends: each takes another
/// [`KEEPALIVE_PERIOD`].
const KEEPALIVE_PROBES: u32 = 1;

/// Whom a client calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Called {
    /// One place, so that silence on one connection speaks against all.
    One,
    /// Many, which have nothing to do with each other.
    Many,
}

/// Makes calls; `fault` says whose failure theirs is.
#[derive(Clone)]
pub struct HttpClient {
    client: Arc<Mutex<Client>>,
    called: Called,
    fault: fn(String) -> Error,
}

impl HttpClient {
    /// A client of many places.
    ///
    /// # Errors
    /// Fails when the library cannot make one.
    pub fn new() -> Result<Self> {
        let client = Arc::new(Mutex::new(build()?));
        Ok(Self { client, called: Called::Many, fault: Error::Upstream })
    }

    /// A client of the metadata store.
    ///
    /// # Errors
    /// Fails when the library cannot make one.
    pub fn for_metadata_store() -> Result<Self> {
        let client = Arc::new(Mutex::new(build()?));
        Ok(Self { client, called: Called::One, fault: Error::Platform })
    }

    /// A request.
    pub fn request(&self, method: Method, url: &str) -> RequestBuilder {
        locked(&self.client).request(method, url)
    }

    /// A request to read.
    pub fn get(&self, url: &str) -> RequestBuilder {
        self.request(Method::GET, url)
    }

    /// A request to write.
    pub fn post(&self, url: &str) -> RequestBuilder {
        self.request(Method::POST, url)
    }

    /// Sends a request; any status is an answer.
    ///
    /// # Errors
    /// Fails when there is no answer in time.
    pub async fn send(&self, request: RequestBuilder) -> Result<Response> {
        request.send().await.map_err(|error| self.failed(&error))
    }

    /// Lets an answer through when its status says that the call succeeded.
    ///
    /// # Errors
    /// Fails with any other status.
    pub fn success(&self, answer: Response) -> Result<Response> {
        answer.error_for_status().map_err(|error| self.failed(&error))
    }

    /// An answer's body as it is.
    ///
    /// # Errors
    /// Fails when it does not arrive whole.
    pub async fn bytes(&self, answer: Response) -> Result<Bytes> {
        answer.bytes().await.map_err(|error| self.failed(&error))
    }

    /// Decodes an answer's body.
    ///
    /// # Errors
    /// Fails when it is not what was expected.
    pub async fn body<T: DeserializeOwned>(&self, answer: Response) -> Result<T> {
        answer.json().await.map_err(|error| self.failed(&error))
    }

    /// Gives up the connections that wait for a call.
    fn renew(&self) {
        match build() {
            Ok(client) => *locked(&self.client) = client,
            Err(error) => warn!(target: "http", "event=client_kept cause=\"{error}\""),
        }
    }

    /// The error with its causes; the library names the call's address.
    fn failed(&self, error: &reqwest::Error) -> Error {
        if error.is_timeout() && self.called == Called::One {
            self.renew();
        }
        let mut text = error.to_string();
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            text = format!("{text}: {cause}");
            source = cause.source();
        }
        // A store that answers, though with a failure, speaks of itself; a connection that
        // breaks does not.
        match (self.called, error.status()) {
            (Called::One, Some(_)) => Error::PlatformUnable(text),
            _ => (self.fault)(text),
        }
    }
}

fn build() -> Result<Client> {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_user_timeout(SILENCE_TIMEOUT)
        .tcp_keepalive(KEEPALIVE_PERIOD)
        .tcp_keepalive_interval(KEEPALIVE_PERIOD)
        .tcp_keepalive_retries(KEEPALIVE_PROBES)
        .build()
        .map_err(|error| Error::Upstream(error.to_string()))
}

/// Milliseconds that are written with a fraction, rounded down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
pub(super) fn whole_ms(figure_ms: f64) -> u64 {
    figure_ms.max(0.0) as u64
}

/// Decodes what an upstream tells.
///
/// # Errors
/// Fails when it is not what was expected.
pub(super) fn decoded<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|error| Error::Upstream(error.to_string()))
}
