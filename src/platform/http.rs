//! The HTTP client of all calls to the platform's store, engines and stores of
//! context. Silence ends every call in bounded time.

use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response};
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};

/// Time in which a connection must come up: many round trips of some ms.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which unacknowledged bytes end a connection: some retransmissions.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between probes of an idle connection, so that a cut is seen within
/// [`SILENCE_TIMEOUT`] and this.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Makes calls; `fault` says whose failure theirs is.
#[derive(Clone)]
pub struct Http {
    client: Client,
    fault: fn(String) -> Error,
}

impl Http {
    /// A client.
    ///
    /// # Errors
    /// Fails when the library cannot make one.
    pub fn new() -> Result<Self> {
        let client = Client::builder()
            .no_proxy()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_user_timeout(SILENCE_TIMEOUT)
            .tcp_keepalive(KEEPALIVE_PERIOD)
            .tcp_keepalive_interval(KEEPALIVE_PERIOD)
            .build()
            .map_err(|error| Error::Upstream(error.to_string()))?;
        Ok(Self { client, fault: Error::Upstream })
    }

    /// The same client, for calls whose failures are the metadata store's.
    #[must_use]
    pub fn to_metadata_store(&self) -> Self {
        Self { client: self.client.clone(), fault: Error::Platform }
    }

    /// A request.
    pub fn request(&self, method: Method, url: &str) -> RequestBuilder {
        self.client.request(method, url)
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

    /// Decodes an answer's body.
    ///
    /// # Errors
    /// Fails when it is not what was expected.
    pub async fn body<T: DeserializeOwned>(&self, answer: Response) -> Result<T> {
        answer.json().await.map_err(|error| self.failed(&error))
    }

    /// Sends a request and decodes the body of its answer.
    ///
    /// # Errors
    /// Fails when any of that does.
    pub async fn json<T: DeserializeOwned>(&self, request: RequestBuilder) -> Result<T> {
        let answer = self.send(request).await?;
        self.body(self.success(answer)?).await
    }

    /// The error with its causes; the library names the call's address.
    fn failed(&self, error: &reqwest::Error) -> Error {
        let mut text = error.to_string();
        let mut source = std::error::Error::source(error);
        while let Some(cause) = source {
            text = format!("{text}: {cause}");
            source = cause.source();
        }
        (self.fault)(text)
    }
}

/// Milliseconds that are written with a fraction, rounded down.
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped before")]
pub(super) fn whole_ms(figure_ms: f64) -> u64 {
    figure_ms.max(0.0) as u64
}
