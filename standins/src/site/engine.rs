//! Stand-in for a model engine or a context store: its reports, orders, cache events and runs.
//!
//! A part is a unit of cached context, identified by its scope and name. An incarnation lasts
//! from one start of the engine to the next.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use futures_util::{StreamExt, future, stream};
use poem::http::StatusCode;
use poem::listener::{Acceptor, Listener, TcpListener};
use poem::web::{Data, Json, Query};
use poem::{
    Body, Endpoint, EndpointExt, IntoResponse, Request, Response, Route, Server, endpoint, get,
    handler, post,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

use crate::clock::now_ms;

/// Time that it takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(60);
/// Longest time that a call for events waits for new ones.
const MAX_EVENT_WAIT: Duration = Duration::from_millis(200);
/// Model that every engine serves.
pub const MODEL: &str = "model-a";

/// An order as it arrived.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Order {
    /// Operation.
    pub op: String,
    /// Weight version to load.
    pub version: u64,
    /// Box that gave the order as leader.
    #[serde(rename = "holder")]
    pub leader: String,
    /// Fencing token.
    pub fence: u64,
    /// Number of orders that the engine must have accepted before this one, if given.
    pub expected: Option<u64>,
    /// When it arrived, in Unix milliseconds.
    #[serde(skip)]
    pub at_ms: u64,
}

/// A load of weights that succeeded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedLoad {
    /// Weight version that was loaded.
    pub version: u64,
    /// When the load ended, in Unix milliseconds.
    pub at_ms: u64,
}

/// A request to run or resume an answer, as it arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Headers.
    pub headers: BTreeMap<String, String>,
    /// When it arrived, in Unix milliseconds.
    pub at_ms: u64,
    /// Weight version that it started on; `None` if it was refused, or if it arrived during a
    /// load, when real engines would refuse it.
    pub version: Option<u64>,
}

/// When a request arrived, in Unix milliseconds.
#[derive(Clone, Copy)]
struct ArrivedAtMs(u64);

/// How orders are handled.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum OrderHandling {
    /// Orders are carried out.
    #[default]
    Accept,
    /// Orders are answered with 409.
    Refuse,
    /// Neither orders nor requests for the report are answered.
    Ignore,
    /// Orders are accepted, but their loads never end.
    NeverFinish,
    /// Orders are not answered, but carried out after this time unless the engine has
    /// restarted or would refuse them by then.
    Delay(Duration),
}

/// Faults that a test has set.
#[derive(Default)]
struct Faults {
    omits_start_time: bool,
    stalls_streams: bool,
    queues_runs: bool,
    order_handling: OrderHandling,
    hangs_until_ms: u64,
    failing_listings: u32,
    clock_ms: Option<f64>,
}

#[derive(Default)]
struct State {
    version: u64,
    /// Start of this incarnation, in Unix milliseconds.
    started_at_ms: u64,
    /// Epoch of the event numbers; changes with each incarnation.
    boot_epoch: u64,
    orders: Vec<Order>,
    completed_loads: Vec<CompletedLoad>,
    accepted_orders: u64,
    busy: bool,
    held: Vec<(String, String, u32)>,
    partial: Vec<(String, String, u32, u32)>,
    /// Items that are listed in addition to the cached parts.
    extra_items: Vec<Value>,
    events: Vec<Value>,
    freed_parts: Vec<(String, String)>,
    runs: Vec<Run>,
    faults: Faults,
}

impl State {
    fn reported_start(&self) -> Option<u64> {
        (!self.faults.omits_start_time).then_some(self.started_at_ms)
    }

    fn clock(&self) -> Value {
        self.faults.clock_ms.map_or_else(|| json!(now_ms()), |clock_ms| json!(clock_ms))
    }

    /// The state of an incarnation that has just started.
    fn new_incarnation(version: u64) -> Self {
        let started_at_ms = now_ms();
        Self { version, started_at_ms, boot_epoch: started_at_ms, ..Self::default() }
    }
}

type Shared = Arc<Mutex<State>>;

/// An engine or a context store.
pub struct Engine {
    /// Address that it listens on.
    pub address: String,
    state: Shared,
    serving: JoinHandle<()>,
}

impl Engine {
    /// Starts an engine with weight version 1.
    ///
    /// # Panics
    /// Panics when no port can be bound.
    pub async fn start() -> Self {
        let state: Shared = Arc::new(Mutex::new(State::new_incarnation(1)));
        let hanging = state.clone();
        let app = Route::new()
            .at("/coursestile/report", get(report))
            .at("/coursestile/kv-events", get(events))
            .at("/coursestile/kv-list", get(list))
            .at("/coursestile/kv-free", post(free))
            .nest("/run", runs(state.clone()))
            .nest("/resume", runs(state.clone()))
            .around(move |app, mut request| {
                let hanging = hanging.clone();
                async move {
                    request.set_data(ArrivedAtMs(now_ms()));
                    wait_while_hung(&hanging).await;
                    app.call(request).await
                }
            });
        let app =
            Route::new().at("/coursestile/order", post(order)).nest("/", app).data(state.clone());
        let acceptor = TcpListener::bind("127.0.0.1:0").into_acceptor().await.expect("address");
        let address = acceptor.local_addr()[0].as_socket_addr().expect("address").to_string();
        let serving = tokio::spawn(async move {
            let result = Server::new_with_acceptor(acceptor).run(app).await;
            drop(result);
        });
        Self { address, state, serving }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no task panics under the lock")
    }

    /// Weight version that is loaded.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.state().version
    }

    /// Start of its current incarnation, in Unix milliseconds.
    #[must_use]
    pub fn started_at_ms(&self) -> u64 {
        self.state().started_at_ms
    }

    /// Restarts the engine with the given weights. Its cache and events are lost, the count of
    /// accepted orders starts at 0, and faults are cleared, apart from an omitted start time.
    /// The records of orders, loads and runs stay, for the test to read.
    pub fn restart(&self, version: u64) {
        let mut state = self.state();
        let (orders, runs) = (state.orders.clone(), state.runs.clone());
        let completed_loads = state.completed_loads.clone();
        let faults =
            Faults { omits_start_time: state.faults.omits_start_time, ..Faults::default() };
        let started_at_ms = now_ms().max(state.started_at_ms + 1);
        *state = State {
            started_at_ms,
            boot_epoch: started_at_ms,
            faults,
            orders,
            completed_loads,
            runs,
            ..State::new_incarnation(version)
        };
    }

    /// Orders that have arrived, refused ones included.
    #[must_use]
    pub fn orders(&self) -> Vec<Order> {
        self.state().orders.clone()
    }

    /// Loads that have succeeded, oldest first.
    #[must_use]
    pub fn completed_loads(&self) -> Vec<CompletedLoad> {
        self.state().completed_loads.clone()
    }

    /// Requests for runs that have arrived, refused ones included.
    #[must_use]
    pub fn runs(&self) -> Vec<Run> {
        self.state().runs.clone()
    }

    /// Scope and name of the parts that were freed by call.
    #[must_use]
    pub fn freed_parts(&self) -> Vec<(String, String)> {
        self.state().freed_parts.clone()
    }

    /// Caches a part and publishes an event about it.
    pub fn cache_part(&self, scope: &str, part: &str, tokens: u32) {
        let mut state = self.state();
        let number = state.events.len() + 1;
        state.held.push((scope.to_owned(), part.to_owned(), tokens));
        state.events.push(json!([number, "+", scope, part, tokens, MODEL]));
    }

    /// Makes new streams stall after their first event; resumed streams don't stall.
    pub fn stall_streams(&self) {
        self.state().faults.stalls_streams = true;
    }

    /// Leaves new runs waiting for ever, without an answer.
    pub fn queue_runs(&self) {
        self.state().faults.queues_runs = true;
    }

    /// Omits the start time from its answers, as upstreams with older software do.
    pub fn omit_start_time(&self) {
        self.state().faults.omits_start_time = true;
    }

    /// Refuses orders from now on.
    pub fn refuse_orders(&self) {
        self.state().faults.order_handling = OrderHandling::Refuse;
    }

    /// Carries out orders again.
    pub fn accept_orders(&self) {
        self.state().faults.order_handling = OrderHandling::Accept;
    }

    /// Answers neither orders nor requests for the report from now on; runs are still served.
    pub fn ignore_orders(&self) {
        self.state().faults.order_handling = OrderHandling::Ignore;
    }

    /// Accepts orders from now on, but never ends their loads.
    pub fn never_finish_loads(&self) {
        self.state().faults.order_handling = OrderHandling::NeverFinish;
    }

    /// Doesn't answer orders, but carries them out after `delay` unless the engine has
    /// restarted or would refuse them by then; `None` restores the usual handling.
    pub fn delay_orders(&self, delay: Option<Duration>) {
        self.state().faults.order_handling =
            delay.map_or(OrderHandling::Accept, OrderHandling::Delay);
    }

    /// Holds all calls until a time, in Unix milliseconds.
    pub fn hang_until(&self, until_ms: u64) {
        self.state().faults.hangs_until_ms = until_ms;
    }

    /// Fails the next calls that list the cached parts.
    pub fn fail_listings(&self, count: u32) {
        self.state().faults.failing_listings = count;
    }

    /// Adds an arbitrary item, such as a malformed one, to the list of cached parts.
    pub fn list_extra_item(&self, item: Value) {
        self.state().extra_items.push(item);
    }

    /// Publishes an arbitrary event, such as a malformed one.
    pub fn publish_raw_event(&self, change: Value) {
        self.state().events.push(change);
    }

    /// Sends this as the time on its clock with events, in Unix milliseconds.
    pub fn set_clock(&self, clock_ms: f64) {
        self.state().faults.clock_ms = Some(clock_ms);
    }

    /// Adds a part whose write was interrupted.
    pub fn add_incomplete_part(&self, scope: &str, part: &str) {
        self.state().partial.push((scope.to_owned(), part.to_owned(), 16, 500));
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

/// Waits for ever if orders are ignored.
async fn wait_if_ignoring(shared: &Shared) {
    let orders = shared.lock().expect("state").faults.order_handling;
    if orders == OrderHandling::Ignore {
        future::pending::<()>().await;
    }
}

#[handler]
async fn report(Data(state): Data<&Shared>) -> Json<Value> {
    wait_if_ignoring(state).await;
    let state = state.lock().expect("state");
    Json(json!({ "stage": "both", "busy": state.busy, "seq": state.accepted_orders, "queued": 0,
        "in_flight": 0, "kv_used": 0, "kv_total": 100_000, "handles": 0, "clock_ms": now_ms(),
        "born": state.reported_start(),
        "models": [{ "name": MODEL, "version": state.version, "adapters": [] }] }))
}

/// Waits while all calls are held.
async fn wait_while_hung(shared: &Shared) {
    while now_ms() < shared.lock().expect("state").faults.hangs_until_ms {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[handler]
async fn order(Data(shared): Data<&Shared>, Json(order): Json<Order>) -> StatusCode {
    let (order, started_at_ms, orders) = {
        let mut state = shared.lock().expect("state");
        let order = Order { at_ms: now_ms(), ..order };
        state.orders.push(order.clone());
        (order, state.started_at_ms, state.faults.order_handling)
    };
    let OrderHandling::Delay(delay) = orders else {
        wait_if_ignoring(shared).await;
        wait_while_hung(shared).await;
        return carry_out(shared, &order, started_at_ms);
    };
    let later = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        carry_out(&later, &order, started_at_ms);
    });
    future::pending().await
}

/// Carries out an order, unless the engine has restarted since it arrived.
fn carry_out(shared: &Shared, given: &Order, started_at_ms: u64) -> StatusCode {
    let mut state = shared.lock().expect("state");
    if state.started_at_ms != started_at_ms {
        return StatusCode::MISDIRECTED_REQUEST;
    }
    if given.version == state.version {
        return StatusCode::OK;
    }
    if state.faults.order_handling == OrderHandling::Refuse
        || state.busy
        || given.expected.is_some_and(|expected| expected != state.accepted_orders)
    {
        return StatusCode::CONFLICT;
    }
    state.busy = true;
    state.accepted_orders += 1;
    if state.faults.order_handling == OrderHandling::NeverFinish {
        return StatusCode::ACCEPTED;
    }
    let (later, version) = (shared.clone(), given.version);
    tokio::spawn(async move {
        tokio::time::sleep(LOAD_TIME).await;
        let mut state = later.lock().expect("state");
        // The engine has restarted since, so that this load is void.
        if state.started_at_ms != started_at_ms {
            return;
        }
        state.version = version;
        state.completed_loads.push(CompletedLoad { version, at_ms: now_ms() });
        state.busy = false;
    });
    StatusCode::ACCEPTED
}

#[derive(Deserialize)]
struct Since {
    since: u64,
}

#[handler]
async fn events(Data(shared): Data<&Shared>, Query(query): Query<Since>) -> Json<Value> {
    let deadline = tokio::time::Instant::now() + MAX_EVENT_WAIT;
    let since = usize::try_from(query.since).unwrap_or_default();
    while shared.lock().expect("state").events.len() <= since
        && tokio::time::Instant::now() < deadline
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let state = shared.lock().expect("state");
    let events: Vec<Value> = state.events.iter().skip(since).cloned().collect();
    Json(json!({ "boot_epoch": state.boot_epoch, "next_token": state.events.len(), "lost": false,
        "events": events, "clock_ms": state.clock(), "born": state.reported_start() }))
}

#[handler]
fn list(Data(shared): Data<&Shared>) -> poem::Result<Json<Value>> {
    let mut state = shared.lock().expect("state");
    if state.faults.failing_listings > 0 {
        state.faults.failing_listings -= 1;
        return Err(StatusCode::INTERNAL_SERVER_ERROR.into());
    }
    let held: Vec<Value> = state
        .held
        .iter()
        .map(|(scope, part, tokens)| json!([scope, part, tokens, MODEL]))
        .chain(state.extra_items.iter().cloned())
        .collect();
    Ok(Json(
        json!({ "boot_epoch": state.boot_epoch, "next_token": state.events.len(), "held": held,
        "partial": state.partial, "born": state.reported_start() }),
    ))
}

#[derive(Deserialize)]
struct Free {
    parts: Vec<(String, String)>,
    boot_epoch: u64,
    until_ms: u64,
}

#[handler]
fn free(Data(shared): Data<&Shared>, Json(free): Json<Free>) -> StatusCode {
    let mut state = shared.lock().expect("state");
    if free.boot_epoch != state.boot_epoch || free.until_ms < now_ms() {
        return StatusCode::CONFLICT;
    }
    state.held.retain(|(scope, part, _)| !free.parts.contains(&(scope.clone(), part.clone())));
    state.freed_parts.extend(free.parts);
    StatusCode::OK
}

/// The events of a run; a stream that stalls never ends.
fn stream_body(stalls: bool, resumed: bool) -> Body {
    let event = if resumed { "id: 2\ndata: end\n\n" } else { "id: 1\ndata: piece\n\n" };
    let first = stream::once(async move { std::io::Result::Ok(event) });
    if stalls { Body::from_bytes_stream(first.chain(stream::pending())) } else { event.into() }
}

fn runs(shared: Shared) -> impl Endpoint<Output = Response> {
    endpoint::make(move |request: Request| {
        let shared = shared.clone();
        async move {
            if shared.lock().expect("state").faults.queues_runs {
                std::future::pending::<()>().await;
            }
            run(&shared, &request)
        }
    })
}

fn run(shared: &Shared, request: &Request) -> Response {
    let headers: BTreeMap<String, String> = request
        .headers()
        .iter()
        .map(|(name, value)| (name.to_string(), value.to_str().unwrap_or("").to_owned()))
        .collect();
    let mut state = shared.lock().expect("state");
    let id = headers.get("x-request-id").cloned().unwrap_or_default();
    let expected = headers.get("expect-version").and_then(|text| text.parse::<u64>().ok());
    let resumed = headers.contains_key("last-event-id");
    let stalls = state.faults.stalls_streams && !resumed;
    let version = state.version;
    let refused = expected.is_some_and(|expected| expected != version);
    let started_version = (!refused && !state.busy).then_some(version);
    let at_ms = request.data::<ArrivedAtMs>().map_or_else(now_ms, |arrived| arrived.0);
    state.runs.push(Run { headers, at_ms, version: started_version });
    if refused {
        return StatusCode::MISDIRECTED_REQUEST.into_response();
    }
    Response::builder()
        .header("x-request-id", id)
        .header("x-server-seal", "seal")
        .header("versions", version.to_string())
        .header("content-type", "text/event-stream")
        .body(stream_body(stalls, resumed))
}
