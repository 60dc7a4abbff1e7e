//! Fault injection, common to all stand-in programs.
//!
//! `POST /fault` takes a JSON object with fields of `FaultState`; fields that are
//! left out keep their value. `{"die": true}` ends the process immediately.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::http::StatusCode;
use poem::listener::TcpAcceptor;
use poem::web::{Data, Json};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, Server, get, handler, post,
};
use serde::{Deserialize, Serialize};
use tokio::net::TcpSocket;

/// Time for which a lost answer is held back; callers time out long before it ends.
const LOST_ANSWER_HOLD: Duration = Duration::from_secs(8);
/// Interval at which a frozen call checks whether it may continue.
const FREEZE_POLL_PERIOD: Duration = Duration::from_millis(20);

/// Faults that are set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[allow(clippy::struct_excessive_bools, reason = "each fault is switched independently")]
#[serde(default)]
pub struct FaultState {
    /// Delay before each call, in milliseconds.
    pub slow_ms: u64,
    /// Holds every call until this is reset.
    pub frozen: bool,
    /// Refuses every call with 503.
    pub outage: bool,
    /// `Retry-After` of answers during an outage, in seconds; 0 omits the header.
    pub outage_retry_s: u64,
    /// Number of following calls that are carried out but not answered in time.
    pub lose_answers: u64,
    /// Share of cache events that are dropped, in percent.
    pub drop_events_percent: u64,
    /// Factor by which work is slowed down; 0 and 1 mean not at all.
    pub slowdown: u64,
    /// Breaks streams off after this many events; 0 means never.
    pub break_after_pieces: u64,
    /// Reverses the order of stream events that are sent together.
    pub reorder: bool,
    /// Serves blocks that are not sealed, as a faulty store would.
    pub serve_unsealed: bool,
    /// Serves blocks with other bytes than were written.
    pub corrupt_reads: bool,
    /// Refuses every order.
    pub refuse_orders: bool,
    /// For TCP relays: increasing this silences the connections that are open.
    pub silences: u64,
    /// For TCP relays: drops all bytes.
    pub dark: bool,
    /// For TCP relays: delay of the bytes that arrive from now on, in milliseconds.
    pub delay_ms: u64,
    /// Ends the process.
    pub die: bool,
    /// Ends the process when it starts a request that contains this text.
    pub die_on: Option<String>,
    /// Time between the end of the connection and that of the process with `die_on`, in
    /// milliseconds.
    pub die_delay_ms: u64,
}

/// Shared handle to the faults that are set.
#[derive(Clone, Default)]
pub struct Faults {
    state: Arc<Mutex<FaultState>>,
    refused: Arc<AtomicU64>,
    dying: Arc<AtomicBool>,
}

impl Faults {
    /// Returns a copy of the faults that are set.
    ///
    /// # Panics
    /// Panics when another thread panicked while it held the lock.
    #[must_use]
    pub fn current(&self) -> FaultState {
        self.state.lock().expect("fault lock").clone()
    }

    /// Ends the process if the fault `die_on` is set and `text` contains its value. With
    /// `die_delay_ms`, breaks all answers off and ends the process later.
    pub fn crash_if_triggered(&self, text: &str) {
        let state = self.current();
        if !state.die_on.is_some_and(|trigger| text.contains(&trigger)) {
            return;
        }
        if state.die_delay_ms == 0 {
            std::process::exit(1);
        }
        self.dying.store(true, Ordering::Relaxed);
        std::thread::spawn(move || {
            std::thread::sleep(Duration::from_millis(state.die_delay_ms));
            std::process::exit(1);
        });
    }

    /// Number of completions and service calls refused during outages.
    #[must_use]
    pub fn refused_calls(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    fn set(&self, change: &serde_json::Value) -> Result<(), serde_json::Error> {
        let mut state = self.state.lock().expect("fault lock");
        let mut merged = serde_json::to_value(&*state)?;
        if let (Some(target), Some(fields)) = (merged.as_object_mut(), change.as_object()) {
            target.extend(fields.clone());
        }
        *state = serde_json::from_value(merged)?;
        Ok(())
    }

    /// Returns whether the next answer is to be lost, and counts it.
    fn take_lost_answer(&self) -> bool {
        let mut state = self.state.lock().expect("fault lock");
        let lose = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lose
    }
}

fn outage_response(retry_s: u64) -> Response {
    let response = Response::builder().status(StatusCode::SERVICE_UNAVAILABLE);
    if retry_s == 0 { response.finish() } else { response.header("retry-after", retry_s).finish() }
}

/// A response that is shorter than its head says; the server closes the connection after it.
fn broken_response() -> Response {
    let chunk = futures_util::stream::iter([Ok::<_, std::io::Error>(vec![b'.'])]);
    Response::builder().header("content-length", 2).body(Body::from_bytes_stream(chunk))
}

#[handler]
fn set_fault(Json(change): Json<serde_json::Value>, Data(faults): Data<&Faults>) -> Response {
    match faults.set(&change) {
        Ok(()) if faults.current().die => std::process::exit(9),
        Ok(()) => StatusCode::OK.into(),
        Err(error) => (StatusCode::BAD_REQUEST, error.to_string()).into_response(),
    }
}

#[handler]
fn report_refused(Data(faults): Data<&Faults>) -> Json<u64> {
    Json(faults.refused_calls())
}

async fn with_faults<E: Endpoint>(
    faults: Faults,
    endpoint: Arc<E>,
    request: Request,
) -> poem::Result<Response> {
    if matches!(request.uri().path(), "/fault" | "/counts" | "/runs") {
        return endpoint.call(request).await.map(IntoResponse::into_response);
    }
    while faults.current().frozen || faults.dying.load(Ordering::Relaxed) {
        tokio::time::sleep(FREEZE_POLL_PERIOD).await;
    }
    let state = faults.current();
    if state.outage {
        let path = request.uri().path();
        if path == "/v1/completions" || path.starts_with("/app/") {
            faults.refused.fetch_add(1, Ordering::Relaxed);
        }
        return Ok(outage_response(state.outage_retry_s));
    }
    tokio::time::sleep(Duration::from_millis(state.slow_ms)).await;
    let response = endpoint.call(request).await.map(IntoResponse::into_response);
    if faults.dying.load(Ordering::Relaxed) {
        return Ok(broken_response());
    }
    if faults.take_lost_answer() {
        tokio::time::sleep(LOST_ANSWER_HOLD).await;
        return Ok(StatusCode::GATEWAY_TIMEOUT.into());
    }
    response
}

/// Serves `routes`, `/fault` and `/refused` until the process ends.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn serve(listen: &str, routes: Route, faults: Faults) -> std::io::Result<()> {
    let layer_faults = faults.clone();
    let app = routes
        .at("/fault", post(set_fault))
        .at("/refused", get(report_refused))
        .data(faults)
        .around(move |endpoint, request| with_faults(layer_faults.clone(), endpoint, request));
    let address: SocketAddr = listen.parse().map_err(std::io::Error::other)?;
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit TCP_NODELAY, so that stream events are sent immediately.
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    let acceptor = TcpAcceptor::from_tokio(socket.listen(1024)?)?;
    Server::new_with_acceptor(acceptor).run(app).await
}
