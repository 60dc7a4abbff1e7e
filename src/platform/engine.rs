//! Calls to model engines: to fetch their reports, and to order a change of their weights.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::gateway::decisions::orders::{EngineReport, OrderOutcome, WeightsOrder};
use crate::platform::entry::Model;
use crate::platform::headers;
use crate::platform::http::{HttpClient, decode};

/// Time in which an engine must answer a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    models: Vec<Model>,
    #[serde(default)]
    busy: bool,
    /// Number of orders that the engine has accepted.
    #[serde(default)]
    seq: u64,
    /// Start of the engine's process, in Unix milliseconds.
    born: Option<u64>,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    op: &'static str,
    model: &'a str,
    version: u64,
    /// What happens to running requests: `queue` lets them finish first.
    mode: &'static str,
    holder: &'a str,
    fence: u64,
    expected: u64,
}

/// HTTP client for model engines.
#[derive(Clone)]
pub struct EngineClient {
    http: HttpClient,
}

impl EngineClient {
    /// Creates a client that uses `http`.
    #[must_use]
    pub fn new(http: HttpClient) -> Self {
        Self { http }
    }

    /// Fetches an engine's report.
    ///
    /// # Errors
    /// Fails when the engine does not answer in time, or not with a valid report.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport> {
        let url = format!("http://{address}/coursestile/report");
        let answer = self.http.send(self.http.get(&url).timeout(CALL_TIMEOUT)).await?;
        read_report(&self.http.bytes(self.http.success(answer)?).await?)
    }

    /// Orders an engine to change its weights.
    ///
    /// # Errors
    /// Fails when the engine does not answer in time, or with an unexpected status; it may have
    /// accepted the order, or may still execute it later.
    pub async fn order(
        &self,
        address: SocketAddr,
        order: &WeightsOrder<'_>,
    ) -> Result<OrderOutcome> {
        let url = format!("http://{address}/coursestile/order");
        let body = OrderBody {
            op: "version",
            model: order.model,
            version: order.version,
            mode: "queue",
            holder: order.leader,
            fence: order.fence,
            expected: order.orders_taken,
        };
        let request = self.http.post(&url).json(&body).timeout(CALL_TIMEOUT);
        let request = request.header(headers::UPSTREAM_ID, order.engine_id);
        let answer = self.http.send(request).await?;
        match answer.status() {
            StatusCode::ACCEPTED => Ok(OrderOutcome::Accepted),
            StatusCode::OK => Ok(OrderOutcome::AlreadyLoaded),
            StatusCode::CONFLICT => Ok(OrderOutcome::Conflict),
            StatusCode::PRECONDITION_FAILED => Ok(OrderOutcome::Fenced),
            StatusCode::MISDIRECTED_REQUEST => Ok(OrderOutcome::WrongEngine),
            status => Err(Error::Upstream(format!("{url}: {status}"))),
        }
    }
}

/// Decodes an engine's report.
///
/// # Errors
/// Fails when the body is invalid.
pub fn read_report(body: &[u8]) -> Result<EngineReport> {
    let body: ReportBody = decode(body)?;
    Ok(EngineReport {
        models: body.models.into_iter().map(|model| (model.name, model.version)).collect(),
        busy: body.busy,
        orders_taken: body.seq,
        started_at_ms: body.born,
    })
}
