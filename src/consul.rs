//! The platform's key-value service over Consul's HTTP interface.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reqwest::{RequestBuilder, Response, StatusCode};
use serde::Deserialize;

use crate::edge::{KeyValue, Value};
use crate::error::{Error, Result};

/// Time after which a call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time that a watch waits at the service.
const WATCH_WAIT_S: u64 = 20;

/// A client of the service.
pub struct Consul {
    url: String,
    http: reqwest::Client,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Found {
    value: Option<String>,
    modify_index: u64,
    lock_index: u64,
}

#[derive(Deserialize)]
struct Session {
    #[serde(rename = "ID")]
    id: String,
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Platform(error.to_string())
}

impl Consul {
    /// A client of the service at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self { url: url.to_owned(), http: reqwest::Client::new() }
    }

    async fn send(&self, request: RequestBuilder, timeout: Duration) -> Result<Response> {
        metrics::counter!("coursestile_platform_calls_total").increment(1);
        let response = request.timeout(timeout).send().await.map_err(failed)?;
        match response.status() {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(response),
            status => Err(failed(status)),
        }
    }

    async fn get(&self, query: &str, timeout: Duration) -> Result<Value> {
        let request = self.http.get(format!("{}/v1/kv/{query}", self.url));
        let response = self.send(request, timeout).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(Value::default());
        }
        let found: Vec<Found> = response.json().await.map_err(failed)?;
        let found = found.into_iter().next().ok_or_else(|| failed("an empty list"))?;
        let bytes = STANDARD.decode(found.value.unwrap_or_default()).map_err(failed)?;
        Ok(Value { bytes, index: found.modify_index, fence: found.lock_index })
    }

    async fn put(&self, path: &str, body: Vec<u8>) -> Result<Response> {
        let request = self.http.put(format!("{}/v1/{path}", self.url)).body(body);
        self.send(request, CALL_TIMEOUT).await
    }
}

impl KeyValue for Consul {
    async fn read(&self, key: &str) -> Result<Value> {
        self.get(key, CALL_TIMEOUT).await
    }

    async fn watch(&self, key: &str, index: u64) -> Result<Value> {
        let query = format!("{key}?index={index}&wait={WATCH_WAIT_S}s");
        self.get(&query, CALL_TIMEOUT + Duration::from_secs(WATCH_WAIT_S)).await
    }

    async fn compare_and_swap(&self, key: &str, index: u64, bytes: &[u8]) -> Result<bool> {
        let response = self.put(&format!("kv/{key}?cas={index}"), bytes.to_vec()).await?;
        response.json().await.map_err(failed)
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let request = self.http.delete(format!("{}/v1/kv/{key}", self.url));
        self.send(request, CALL_TIMEOUT).await.map(|_| ())
    }

    async fn open_session(&self, ttl_s: u64) -> Result<String> {
        let body = format!(r#"{{"TTL":"{ttl_s}s"}}"#);
        let request = self.http.put(format!("{}/v1/session/create", self.url));
        let request = request.header("content-type", "application/json").body(body);
        let response = self.send(request, CALL_TIMEOUT).await?;
        let session: Session = response.json().await.map_err(failed)?;
        Ok(session.id)
    }

    async fn renew_session(&self, session: &str) -> Result<bool> {
        let response = self.put(&format!("session/renew/{session}"), Vec::new()).await?;
        Ok(response.status() == StatusCode::OK)
    }

    async fn acquire(&self, key: &str, session: &str) -> Result<bool> {
        let response = self.put(&format!("kv/{key}?acquire={session}"), Vec::new()).await?;
        response.json().await.map_err(failed)
    }

    async fn release(&self, key: &str, session: &str) -> Result<bool> {
        let response = self.put(&format!("kv/{key}?release={session}"), Vec::new()).await?;
        response.json().await.map_err(failed)
    }
}
