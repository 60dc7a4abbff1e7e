//! HTTP interface for operators and the load balancer.

use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use log::error;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Route, get, handler, post};
use serde::Serialize;

use crate::box_phase::BoxPhase;
use crate::clock::now_ms;
use crate::dispatch_state::DispatcherStatus;
use crate::invariant::violations;
use crate::kernel::{Kernel, Plugin};
use crate::listen::serve_until;
use crate::member::Member;
use crate::prometheus::render;
use crate::stopping::stop;
use crate::supervisor;
use crate::trace::Span;

/// Time in which the head of a request arrives, also on an idle connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(120);
/// Most connections that wait to be accepted.
const MAX_QUEUED: u32 = 128;

inventory::submit! {
    Plugin { name: "operators", start, receive: None }
}

/// Status of this box.
#[derive(Debug, Serialize)]
pub struct Status {
    /// The box and its incarnation.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Whether the box accepts requests.
    pub ready: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// Time since the last answer of the platform; none if it never answered.
    pub platform_silent_ms: Option<u64>,
    /// All boxes in this box's membership view.
    pub members: Vec<Member>,
    /// Dispatchers that run on this box.
    pub dispatchers: Vec<DispatcherStatus>,
    /// Number of answers in progress.
    pub streams: usize,
    /// Number of keys in the ledger.
    pub ledger_keys: usize,
    /// Number of invariant violations since the start.
    pub violations: u64,
}

fn status_of(kernel: &Kernel) -> Status {
    let last_answer_at_ms = kernel.configuration.platform_answered_at_ms();
    Status {
        name: kernel.box_id.to_string(),
        hall: kernel.settings.hall.clone(),
        ready: accepts_requests(kernel),
        revision: kernel.configuration.revision(),
        platform_silent_ms: (last_answer_at_ms > 0)
            .then(|| now_ms().saturating_sub(last_answer_at_ms)),
        members: kernel.membership().view().members().cloned().collect(),
        dispatchers: kernel.dispatchers.status(),
        streams: kernel.streams.running_count(),
        ledger_keys: kernel.calls.key_count(),
        violations: violations(),
    }
}

fn accepts_requests(kernel: &Kernel) -> bool {
    let is_informed = kernel.configuration.revision() > 0 && kernel.crashes.is_informed();
    kernel.phase() == BoxPhase::Serving && is_informed
}

#[handler]
fn live() -> StatusCode {
    StatusCode::OK
}

#[handler]
fn ready(Data(kernel): Data<&Arc<Kernel>>) -> StatusCode {
    if accepts_requests(kernel) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

#[handler]
fn status(Data(kernel): Data<&Arc<Kernel>>) -> Json<Status> {
    Json(status_of(kernel))
}

#[handler]
fn trace_spans(Path(id): Path<String>, Data(kernel): Data<&Arc<Kernel>>) -> Json<Vec<Span>> {
    Json(kernel.traces.spans(&id))
}

#[handler]
fn render_metrics() -> String {
    render()
}

#[handler]
fn drain(Data(kernel): Data<&Arc<Kernel>>) -> StatusCode {
    let kernel = kernel.clone();
    tokio::spawn(async move { stop(&kernel).await });
    StatusCode::ACCEPTED
}

fn start(kernel: &Arc<Kernel>) {
    let kernel = kernel.clone();
    supervisor::spawn_single("operators", async move {
        let app = Route::new()
            .at("/live", get(live))
            .at("/ready", get(ready))
            .at("/status", get(status))
            .at("/metrics", get(render_metrics))
            .at("/traces/:id", get(trace_spans))
            .at("/drain", post(drain))
            .data(kernel.clone());
        let address = kernel.settings.operators;
        let connections = kernel.operators.clone();
        let served = serve_until(
            address,
            app,
            connections,
            MAX_QUEUED,
            IDLE_TIMEOUT,
            pending(),
            Duration::ZERO,
        )
        .await;
        if let Err(error) = served {
            error!(target: "operators", "Cannot serve {address}: {error}.");
            std::process::exit(1);
        }
    });
}
