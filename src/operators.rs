//! The HTTP interface towards operators and the balancer.

use std::sync::Arc;

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
use crate::listen::server;
use crate::member::Member;
use crate::prometheus::render;
use crate::stopping::stop;
use crate::trace::Span;

inventory::submit! {
    Plugin { name: "operators", start, receive: None }
}

/// What a box says of itself.
#[derive(Debug, Serialize)]
pub struct Status {
    /// The box and its incarnation.
    pub name: String,
    /// Data hall.
    pub hall: String,
    /// Whether it takes requests.
    pub ready: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// Time since the platform answered last; none when it never did.
    pub platform_silent_ms: Option<u64>,
    /// Boxes as this one sees them.
    pub members: Vec<Member>,
    /// Dispatchers that act here.
    pub dispatchers: Vec<DispatcherStatus>,
    /// Answers under way.
    pub streams: usize,
    /// Keys in the ledger.
    pub ledger_keys: usize,
    /// Invariants that were violated.
    pub violations: u64,
}

fn status_of(kernel: &Kernel) -> Status {
    let heard_at_ms = kernel.configuration.platform_answered_at_ms();
    Status {
        name: kernel.box_id.to_string(),
        hall: kernel.settings.hall.clone(),
        ready: ready(kernel),
        revision: kernel.configuration.revision(),
        platform_silent_ms: (heard_at_ms > 0).then(|| now_ms().saturating_sub(heard_at_ms)),
        members: kernel.membership().view().members().cloned().collect(),
        dispatchers: kernel.dispatchers.status(),
        streams: kernel.streams.running_count(),
        ledger_keys: kernel.calls.key_count(),
        violations: violations(),
    }
}

fn ready(kernel: &Kernel) -> bool {
    kernel.phase() == BoxPhase::Serving && kernel.configuration.revision() > 0
}

#[handler]
fn live() -> StatusCode {
    StatusCode::OK
}

#[handler]
fn is_ready(Data(kernel): Data<&Arc<Kernel>>) -> StatusCode {
    if ready(kernel) { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

#[handler]
fn status(Data(kernel): Data<&Arc<Kernel>>) -> Json<Status> {
    Json(status_of(kernel))
}

#[handler]
fn trace(Path(id): Path<String>, Data(kernel): Data<&Arc<Kernel>>) -> Json<Vec<Span>> {
    Json(kernel.traces.spans(&id))
}

#[handler]
fn metrics_page() -> String {
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
    tokio::spawn(async move {
        let app = Route::new()
            .at("/live", get(live))
            .at("/ready", get(is_ready))
            .at("/status", get(status))
            .at("/metrics", get(metrics_page))
            .at("/traces/:id", get(trace))
            .at("/drain", post(drain))
            .data(kernel.clone());
        let address = kernel.settings.operators;
        let served = match server(address) {
            Ok(server) => server.run(app).await,
            Err(error) => Err(error),
        };
        if let Err(error) = served {
            error!(target: "operators", "Cannot serve {address}: {error}.");
            std::process::exit(1);
        }
    });
}
