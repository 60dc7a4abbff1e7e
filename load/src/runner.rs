//! Sends a workload to a fleet in an open loop and checks every answer.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use coursestile_standins::answer::full_answer;
use coursestile_standins::fleet::Fleet;
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::{RequestBuilder, Response};
use serde_json::{Value, json};

use crate::outcome::{Outcome, Usage, histogram};
use crate::workload::{ACCOUNT_WEIGHTS, Arrival, RequestKind, Workload};

/// Time limit that clients set for their requests.
const REQUEST_TIMEOUT_MS: u64 = 10_000;
/// Number of attempts for a call that must run at most once, all with the same idempotency key.
const MAX_TICKET_ATTEMPTS: u32 = 6;
/// Delay between two such attempts.
const TICKET_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Options for sending a load.
#[derive(Clone, Copy, Default)]
pub struct SendOptions {
    /// Whether to print progress.
    pub progress: bool,
    /// Arrivals before this time fill the caches and are not measured.
    pub warmup_ms: u64,
    /// Whether entry boxes are killed during the load, so that connections to them may break.
    pub kills_boxes: bool,
}

/// API key of an account of a workload.
pub fn api_key(workload: &Workload, account: usize) -> String {
    format!("{}-{account}-key", workload.kind.name())
}

/// Creates a template and ten accounts for a workload. Returns the resulting configuration
/// revision.
pub fn create_accounts(fleet: &Fleet, workload: &Workload) -> u64 {
    let template = workload.kind.name();
    let weights = workload.kind.weights();
    fleet.must_run_operator_tool(&[
        "template",
        "set",
        template,
        "--models",
        "summary",
        "--weights",
        weights,
    ]);
    let mut text = fleet.must_run_operator_tool(&["model", "set", "summary", "v1", "--json"]);
    for (account, weight) in ACCOUNT_WEIGHTS.iter().enumerate() {
        let (name, key) = (format!("{template}-{account}"), api_key(workload, account));
        let share = weight.to_string();
        text = fleet.must_run_operator_tool(&[
            "account",
            "set",
            &name,
            "--template",
            template,
            "--add-key",
            &key,
            "--share",
            &share,
            "--json",
        ]);
    }
    let last: Value = serde_json::from_str(&text).unwrap_or_default();
    last["revision"].as_u64().unwrap_or(0)
}

struct LoadRun {
    fleet: Arc<Fleet>,
    workload: Arc<Workload>,
    outcome: Arc<Mutex<Outcome>>,
    options: SendOptions,
    ticket_prefixes: Vec<Vec<String>>,
}

/// Sends all arrivals, waits until they have ended and checks the services' records of their
/// runs.
pub async fn send_load(fleet: &Arc<Fleet>, workload: &Workload, options: SendOptions) -> Outcome {
    let outcome = Arc::new(Mutex::new(Outcome::default()));
    let workload = Arc::new(workload.clone());
    let ticket_prefixes = fetch_ticket_prefixes(fleet, &workload).await;
    let run = Arc::new(LoadRun {
        fleet: fleet.clone(),
        workload: workload.clone(),
        outcome: outcome.clone(),
        options,
        ticket_prefixes,
    });
    let started_at = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    let mut last_progress_s = 0;
    let mut usage_at_warmup_end = Usage::default();
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        tokio::time::sleep_until(started_at + Duration::from_millis(arrival.at_ms)).await;
        if arrival.at_ms >= options.warmup_ms
            && usage_at_warmup_end.prompt_tokens == 0
            && options.warmup_ms > 0
        {
            usage_at_warmup_end = Usage::read(fleet).await;
        }
        let second = arrival.at_ms / 1000;
        if options.progress && second >= last_progress_s + 5 {
            last_progress_s = second;
            let so_far = outcome.lock().expect("no task panics under the lock");
            eprintln!("  {second:>4} s: {} sent, {} whole", so_far.sent, so_far.whole);
        }
        outcome.lock().expect("no task panics under the lock").sent += 1;
        let (run, arrival) = (run.clone(), arrival.clone());
        tasks.push(tokio::spawn(async move { run.send_arrival(number, &arrival).await }));
    }
    let mut lost = 0;
    for task in tasks {
        lost += u64::from(task.await.is_err());
    }
    drop(run);
    let outcome = Arc::into_inner(outcome).expect("all tasks have ended");
    let mut outcome = outcome.into_inner().expect("no task panics under the lock");
    outcome.lost += lost;
    outcome.usage = Usage::read(fleet).await.since(&usage_at_warmup_end);
    check_runs(fleet, &mut outcome).await;
    outcome
}

async fn fetch_ticket_prefixes(fleet: &Fleet, workload: &Workload) -> Vec<Vec<String>> {
    let mut all = Vec::new();
    for account in 0..ACCOUNT_WEIGHTS.len() {
        let mut prefixes = Vec::new();
        for entry_box in &fleet.boxes {
            let call = fleet.http.post(format!("{}/v1/tickets", entry_box.process.url()));
            let answer = call.bearer_auth(api_key(workload, account)).send().await;
            let body: Value = match answer {
                Ok(answer) => answer.json().await.unwrap_or_default(),
                Err(_) => Value::Null,
            };
            prefixes.push(body["prefix"].as_str().unwrap_or_default().to_owned());
        }
        all.push(prefixes);
    }
    all
}

/// Compares the services' records of their runs with the answers that clients got.
async fn check_runs(fleet: &Fleet, outcome: &mut Outcome) {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for worker in &fleet.workers {
        let page = fleet.get(&format!("{}/runs", worker.url())).await.unwrap_or_default();
        for (key, count) in page.as_object().into_iter().flatten() {
            *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    for (key, not_run) in &outcome.once_keys {
        let count = runs.get(key).copied().unwrap_or(0);
        outcome.run_repeatedly += u64::from(count > 1);
        outcome.false_not_run += u64::from(*not_run && count > 0);
    }
}

/// What a client received for a streaming completion.
enum Received {
    Whole { text: String, version: String },
    Refused(String),
    Broken,
}

impl LoadRun {
    async fn send_arrival(&self, number: usize, arrival: &Arrival) {
        match &arrival.request {
            RequestKind::Completion { context, question, max_tokens } => {
                let prompt = self.workload.prompt(arrival.account, *context, *question);
                self.send_completion(number, arrival, &prompt, *max_tokens).await;
            }
            RequestKind::CallOnce => self.send_call_once(number, arrival.account).await,
            RequestKind::Call => {
                let call = self.request(number, arrival.account, "/app/scores/fixtures/today");
                let ended = call.send().await;
                self.record_call(ended.ok()).await;
            }
        }
    }

    fn request(&self, number: usize, account: usize, path: &str) -> RequestBuilder {
        let at = number % self.fleet.boxes.len();
        let url = format!("{}{path}", self.fleet.boxes[at].process.url());
        let call = self.fleet.http.post(url).bearer_auth(api_key(&self.workload, account));
        call.header("x-timeout-ms", REQUEST_TIMEOUT_MS)
    }

    /// Sends a completion. If a box cannot be reached, tries the next one as a load balancer
    /// would.
    async fn send_completion(
        &self,
        number: usize,
        arrival: &Arrival,
        prompt: &str,
        max_tokens: u32,
    ) {
        let body = json!({
            "model": "summary", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let started_at = Instant::now();
        for attempt in 0..self.fleet.boxes.len() {
            let call = self.request(number + attempt, arrival.account, "/v1/completions");
            match call.json(&body).send().await {
                Ok(response) if response.status().is_success() => {
                    let result = self.read_stream(response, arrival, started_at).await;
                    return self.record_completion(arrival, result, prompt, max_tokens);
                }
                Ok(response) => return self.record_refused_response(response).await,
                Err(error) if error.is_connect() => {}
                Err(_) => break,
            }
        }
        self.record_completion(arrival, Received::Broken, prompt, max_tokens);
    }

    async fn read_stream(
        &self,
        response: Response,
        arrival: &Arrival,
        started_at: Instant,
    ) -> Received {
        let trace = response.headers().get("x-trace-id").cloned();
        let mut events = Box::pin(response.bytes_stream().eventsource());
        let (mut text, mut version) = (String::new(), String::new());
        let mut last_at = None;
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                return Received::Whole { text, version };
            }
            let Ok(chunk) = serde_json::from_str::<Value>(&event.data) else {
                break;
            };
            if let Some(kind) = chunk["error"]["type"].as_str() {
                return Received::Refused(format!("broke off: {kind}"));
            }
            let piece = chunk["choices"][0]["text"].as_str().unwrap_or_default();
            if piece.is_empty() {
                continue;
            }
            text.push_str(piece);
            chunk["system_fingerprint"].as_str().unwrap_or_default().clone_into(&mut version);
            let mut outcome = self.outcome.lock().expect("no task panics under the lock");
            let now = Instant::now();
            match last_at.replace(now) {
                Some(last_at) => outcome.inter_token_us.saturating_record(micros(now - last_at)),
                None if arrival.at_ms < self.options.warmup_ms => {}
                None => {
                    let took_us = micros(now - started_at);
                    outcome.first_token_us.saturating_record(took_us);
                    outcome.first_token_by_account_us[arrival.account].saturating_record(took_us);
                    let second = outcome.first_token_by_second_us.entry(arrival.at_ms / 1000);
                    second.or_insert_with(histogram).saturating_record(took_us);
                    outcome.trace = trace
                        .as_ref()
                        .and_then(|id| id.to_str().ok())
                        .map(str::to_owned)
                        .or(outcome.trace.take());
                }
            }
        }
        Received::Broken
    }

    fn record_completion(
        &self,
        arrival: &Arrival,
        result: Received,
        prompt: &str,
        max_tokens: u32,
    ) {
        let mut outcome = self.outcome.lock().expect("no task panics under the lock");
        match result {
            Received::Whole { text, version } => {
                let right = text == full_answer(&version, prompt, max_tokens as usize);
                outcome.whole += u64::from(right);
                outcome.wrong += u64::from(!right);
                outcome.whole_by_account[arrival.account] += u64::from(right);
            }
            Received::Refused(end) => outcome.add_refusal(&end),
            Received::Broken if self.options.kills_boxes => outcome.add_refusal("connection broke"),
            Received::Broken => outcome.lost += 1,
        }
    }

    async fn record_refused_response(&self, response: Response) {
        let body: Value = response.json().await.unwrap_or_default();
        let mut outcome = self.outcome.lock().expect("no task panics under the lock");
        match body["error"]["type"].as_str() {
            Some(kind) => {
                let ran = body["error"]["ran"].as_str().unwrap_or("unsaid");
                outcome.add_refusal(&format!("{ran}: {kind}"));
            }
            None => outcome.lost += 1,
        }
    }

    async fn record_call(&self, response: Option<Response>) {
        let is_from_gateway =
            |response: &Response| response.headers().contains_key("x-coursestile-ran");
        match response {
            Some(response) if !response.status().is_success() && !is_from_gateway(&response) => {
                let answer = format!("worker answered {}", response.status().as_u16());
                self.outcome.lock().expect("no task panics under the lock").add_refusal(&answer);
            }
            Some(response) if response.status().is_success() => {
                self.outcome.lock().expect("no task panics under the lock").whole += 1;
            }
            Some(response) => self.record_refused_response(response).await,
            None => {
                // Without an idempotency key, a client cannot find out whether the call has run.
                self.outcome
                    .lock()
                    .expect("no task panics under the lock")
                    .add_refusal("connection broke");
            }
        }
    }

    /// Sends a call with an idempotency key, and repeats it through other boxes until it
    /// succeeds or the attempts are used up.
    async fn send_call_once(&self, number: usize, account: usize) {
        let at = number % self.fleet.boxes.len();
        let key = format!("{}/{number}", self.ticket_prefixes[account][at]);
        let mut said_not_run = false;
        let mut last = None;
        for attempt in 0..MAX_TICKET_ATTEMPTS {
            let call = self.request(number + attempt as usize, account, "/app/scores/orders/1");
            let answer = call.header("idempotency-key", &key).send().await;
            let ran = answer.as_ref().ok().and_then(|answer| {
                let ran = answer.headers().get("x-coursestile-ran")?;
                ran.to_str().ok().map(str::to_owned)
            });
            let done = answer.as_ref().is_ok_and(|answer| answer.status().is_success());
            said_not_run = ran.as_deref() == Some("not run");
            last = answer.ok();
            if done {
                break;
            }
            tokio::time::sleep(TICKET_RETRY_DELAY).await;
        }
        self.outcome
            .lock()
            .expect("no task panics under the lock")
            .once_keys
            .push((key, said_not_run));
        self.record_call(last).await;
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
