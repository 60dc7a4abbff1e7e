//! Reports of model engines, and the orders that change their weights.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::StatusCode;
use serde::{Deserialize, Serialize};

use crate::error::{Error, Result};
use crate::platform::caches::whole_ms;
use crate::platform::entry::Model;
use crate::platform::headers;

/// Time in which a report or an order must be answered.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// An engine's report, as of some hundred milliseconds earlier.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineReport {
    /// Models with the versions of their weights.
    pub models: Vec<(String, u64)>,
    /// Whether an order is under way.
    pub busy: bool,
    /// Orders taken since its start.
    pub orders_taken: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// The upstreams' clock, when it is told.
    pub clock_ms: Option<u64>,
}

/// An order to bring a model to a weight version.
#[derive(Clone, Debug)]
pub struct WeightsOrder<'a> {
    /// The only engine that may carry it out.
    pub engine_id: &'a str,
    /// Model.
    pub model: &'a str,
    /// Version to load.
    pub version: u64,
    /// Box that gives it.
    pub holder: &'a str,
    /// Fencing token of the lease under which it is given.
    pub fence: u64,
    /// Orders that the engine has taken so far; the order is void otherwise.
    pub orders_taken: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ordered {
    /// It is under way.
    Taken,
    /// The engine already has that version.
    AlreadyHolds,
    /// Another order is under way, or has come in between.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// Another engine has the address.
    OtherEngine,
}

#[derive(Deserialize)]
struct ReportBody {
    #[serde(default)]
    models: Vec<Model>,
    #[serde(default)]
    busy: bool,
    /// Orders taken.
    #[serde(default)]
    seq: u64,
    #[serde(default)]
    queued: u32,
    #[serde(default)]
    in_flight: u32,
    clock_ms: Option<f64>,
}

#[derive(Serialize)]
struct OrderBody<'a> {
    op: &'static str,
    model: &'a str,
    version: u64,
    /// What happens to runs: `queue` lets them end first.
    mode: &'static str,
    holder: &'a str,
    fence: u64,
    expected: u64,
}

/// Calls to model engines.
#[derive(Clone)]
pub struct Engines {
    http: reqwest::Client,
}

impl Engines {
    /// Calls over `http`.
    #[must_use]
    pub fn new(http: reqwest::Client) -> Self {
        Self { http }
    }

    /// Asks for an engine's report.
    ///
    /// # Errors
    /// Fails when the engine does not answer as it should.
    pub async fn report(&self, address: SocketAddr) -> Result<EngineReport> {
        let url = format!("http://{address}/coursestile/report");
        let request = self.http.get(&url).timeout(CALL_TIMEOUT);
        let answer = request.send().await.map_err(|error| failed(&url, &error))?;
        let answer = answer.error_for_status().map_err(|error| failed(&url, &error))?;
        let body: ReportBody = answer.json().await.map_err(|error| failed(&url, &error))?;
        Ok(EngineReport {
            models: body.models.into_iter().map(|model| (model.name, model.version)).collect(),
            busy: body.busy,
            orders_taken: body.seq,
            running: body.in_flight,
            waiting: body.queued,
            clock_ms: body.clock_ms.map(whole_ms),
        })
    }

    /// Gives an order.
    ///
    /// # Errors
    /// Fails when the engine does not answer as it should; it may have taken
    /// the order, or may carry it out later.
    pub async fn order(&self, address: SocketAddr, order: &WeightsOrder<'_>) -> Result<Ordered> {
        let url = format!("http://{address}/coursestile/order");
        let body = OrderBody {
            op: "version",
            model: order.model,
            version: order.version,
            mode: "queue",
            holder: order.holder,
            fence: order.fence,
            expected: order.orders_taken,
        };
        let request = self.http.post(&url).json(&body).timeout(CALL_TIMEOUT);
        let request = request.header(headers::UPSTREAM_ID, order.engine_id);
        let answer = request.send().await.map_err(|error| failed(&url, &error))?;
        match answer.status() {
            StatusCode::ACCEPTED => Ok(Ordered::Taken),
            StatusCode::OK => Ok(Ordered::AlreadyHolds),
            StatusCode::CONFLICT => Ok(Ordered::Conflict),
            StatusCode::PRECONDITION_FAILED => Ok(Ordered::Fenced),
            StatusCode::MISDIRECTED_REQUEST => Ok(Ordered::OtherEngine),
            status => Err(Error::Upstream(format!("{url}: {status}"))),
        }
    }
}

fn failed(url: &str, error: &reqwest::Error) -> Error {
    Error::Upstream(format!("{url}: {error}"))
}
