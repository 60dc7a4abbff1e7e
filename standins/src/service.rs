//! Stand-in for a worker of a plain service, some of whose calls must not be
//! repeated.
//!
//! Counts the runs of each call by its `x-call-id` header, so that `/runs` shows
//! whether a call ran more than once.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write as _;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::web::{Data, Json, Path};
use poem::{EndpointExt, Request, Route, get, handler};
use serde_json::{Value, json};

use crate::faults::{Faults, serve};

struct Service {
    runs: Mutex<BTreeMap<String, u64>>,
    record: Option<PathBuf>,
    work_ms: u64,
    faults: Faults,
}

impl Service {
    /// Appends a run to the record file, which is read again after a restart.
    fn append_to_record(&self, call: &str) {
        let Some(path) = &self.record else {
            return;
        };
        let file = File::options().create(true).append(true).open(path);
        let written = file.and_then(|mut file| writeln!(file, "{call}"));
        written.expect("record file is writable");
    }
}

fn read_record(record: Option<&PathBuf>) -> BTreeMap<String, u64> {
    let text = record.and_then(|path| std::fs::read_to_string(path).ok()).unwrap_or_default();
    let mut runs = BTreeMap::new();
    for call in text.lines() {
        *runs.entry(call.to_owned()).or_default() += 1;
    }
    runs
}

#[handler]
async fn run_call(
    request: &Request,
    Path(path): Path<String>,
    Data(service): Data<&Arc<Service>>,
) -> Json<Value> {
    service.faults.crash_if_triggered(&path);
    let call = request.header("x-call-id").unwrap_or("none").to_owned();
    let runs = {
        let mut runs = service.runs.lock().expect("runs lock");
        let count = runs.entry(call.clone()).or_default();
        *count += 1;
        service.append_to_record(&call);
        *count
    };
    let slowdown = service.faults.current().slowdown.max(1);
    tokio::time::sleep(Duration::from_millis(service.work_ms * slowdown)).await;
    Json(json!({ "call": call, "path": path, "run": runs }))
}

#[handler]
fn list_runs(Data(service): Data<&Arc<Service>>) -> Json<BTreeMap<String, u64>> {
    Json(service.runs.lock().expect("runs lock").clone())
}

/// Runs the service until the process ends.
///
/// # Errors
/// Fails when the address cannot be bound.
pub async fn run(listen: &str, work_ms: u64, record: Option<PathBuf>) -> std::io::Result<()> {
    let faults = Faults::default();
    let runs = Mutex::new(read_record(record.as_ref()));
    let service = Arc::new(Service { runs, record, work_ms, faults: faults.clone() });
    let calls = get(run_call).post(run_call).put(run_call).delete(run_call);
    let routes = Route::new()
        .at("/app/*path", calls.data(service.clone()))
        .at("/runs", get(list_runs.data(service)));
    serve(listen, routes, faults).await
}
