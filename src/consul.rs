//! Client of the platform's key-value store, which has Consul's HTTP API.
//!
//! A watch is a blocking query for key names: its response has the index and about
//! fifty bytes, whereas the value of the configuration's head key may have twenty
//! thousand. The service answers it within a second, so that a connection that has gone
//! silent is detected within two seconds.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use reqwest::{Method, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::error::{Error, Result};
use crate::external::{KeyValueEntry, KeyValueStore};
use crate::pool::ConnectionPool;

/// Timeout of all calls but watches.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time for which the service holds a watch open.
const WATCH_WAIT_S: u64 = 1;
/// Time allowed for a watch's response in addition to the wait. The service adds up to a
/// sixteenth to the wait.
const WATCH_SLACK: Duration = Duration::from_millis(750);
/// Response header with the index of the queried key.
const INDEX_HEADER: &str = "x-consul-index";

/// Client of the key-value store.
pub struct Consul {
    url: String,
    pool: Arc<ConnectionPool>,
}

struct Reply {
    status: StatusCode,
    index: Option<u64>,
    body: Vec<u8>,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct KeyRecord {
    value: Option<String>,
    modify_index: u64,
    lock_index: u64,
    session: Option<String>,
}

#[derive(Deserialize)]
struct Session {
    #[serde(rename = "ID")]
    id: String,
}

fn failed(error: impl std::fmt::Display) -> Error {
    Error::Platform(error.to_string())
}

impl Reply {
    async fn read(call: reqwest::RequestBuilder) -> reqwest::Result<Self> {
        let response = call.send().await?;
        let status = response.status();
        let index = response.headers().get(INDEX_HEADER).and_then(|value| value.to_str().ok());
        let index = index.and_then(|text| text.parse().ok());
        let body = response.bytes().await?.to_vec();
        Ok(Self { status, index, body })
    }

    fn json<T: DeserializeOwned>(&self) -> Result<T> {
        serde_json::from_slice(&self.body).map_err(failed)
    }
}

impl Consul {
    /// A client of the key-value store at `url`.
    #[must_use]
    pub fn new(url: &str) -> Self {
        Self { url: url.to_owned(), pool: Arc::default() }
    }

    /// Makes a call. After a timeout, all pooled connections are closed.
    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Reply> {
        metrics::counter!("coursestile_platform_calls_total").increment(1);
        let client = self.pool.client();
        let call = client.http.request(method, format!("{}/v1/{path}", self.url));
        let call = call.header("content-type", "application/json").body(body).timeout(timeout);
        let reply = Reply::read(call).await.inspect_err(|error| {
            if error.is_timeout() {
                client.report_silent();
            }
        });
        let reply = reply.map_err(failed)?;
        match reply.status {
            StatusCode::OK | StatusCode::NOT_FOUND => Ok(reply),
            status => Err(failed(status)),
        }
    }

    async fn put(&self, path: &str, body: Vec<u8>) -> Result<Reply> {
        self.send(Method::PUT, path, body, CALL_TIMEOUT).await
    }
}

impl KeyValueStore for Consul {
    async fn read(&self, key: &str) -> Result<KeyValueEntry> {
        let path = format!("kv/{key}");
        let reply = self.send(Method::GET, &path, Vec::new(), CALL_TIMEOUT).await?;
        if reply.status == StatusCode::NOT_FOUND {
            return Ok(KeyValueEntry::default());
        }
        let records: Vec<KeyRecord> = reply.json()?;
        let record = records.into_iter().next().ok_or_else(|| failed("no entry in response"))?;
        let bytes = STANDARD.decode(record.value.unwrap_or_default()).map_err(failed)?;
        let (index, fence) = (record.modify_index, record.lock_index);
        Ok(KeyValueEntry { bytes, index, fence, session: record.session })
    }

    async fn watch(&self, key: &str, index: u64) -> Result<u64> {
        let path = format!("kv/{key}?keys&index={index}&wait={WATCH_WAIT_S}s");
        let timeout = Duration::from_secs(WATCH_WAIT_S) + WATCH_SLACK;
        let reply = self.send(Method::GET, &path, Vec::new(), timeout).await?;
        reply.index.ok_or_else(|| failed("response to a watch without X-Consul-Index header"))
    }

    async fn compare_and_swap(&self, key: &str, index: u64, bytes: &[u8]) -> Result<bool> {
        self.put(&format!("kv/{key}?cas={index}"), bytes.to_vec()).await?.json()
    }

    async fn delete(&self, key: &str) -> Result<()> {
        let path = format!("kv/{key}");
        self.send(Method::DELETE, &path, Vec::new(), CALL_TIMEOUT).await.map(|_| ())
    }

    async fn open_session(&self, ttl_s: u64) -> Result<String> {
        let body = format!(r#"{{"TTL":"{ttl_s}s"}}"#).into_bytes();
        let session: Session = self.put("session/create", body).await?.json()?;
        Ok(session.id)
    }

    async fn renew_session(&self, session: &str) -> Result<bool> {
        let reply = self.put(&format!("session/renew/{session}"), Vec::new()).await?;
        Ok(reply.status == StatusCode::OK)
    }

    async fn acquire(&self, key: &str, session: &str, bytes: &[u8]) -> Result<bool> {
        self.put(&format!("kv/{key}?acquire={session}"), bytes.to_vec()).await?.json()
    }

    async fn release(&self, key: &str, session: &str) -> Result<bool> {
        self.put(&format!("kv/{key}?release={session}"), Vec::new()).await?.json()
    }
}
