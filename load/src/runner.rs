//! Sends a workload to a fleet, open loop, and checks every answer.

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
use crate::workload::{ACCOUNT_WEIGHTS, Arrival, Work, Workload};

/// Time that a caller waits.
const TIMEOUT_MS: u64 = 10_000;
/// Further tries of a caller whose call may not be repeated, with its ticket.
const TICKET_TRIES: u32 = 6;
/// Wait between those tries.
const TRY_WAIT: Duration = Duration::from_millis(300);

/// How a load is sent.
#[derive(Clone, Copy, Default)]
pub struct Sending {
    /// Shows progress.
    pub progress: bool,
    /// Arrivals before this time warm the fleet and are not measured.
    pub warm_ms: u64,
    /// Entry boxes are killed meanwhile, which breaks their callers' connections.
    pub boxes_die: bool,
}

/// API key of an account of a workload.
pub fn api_key(workload: &Workload, account: usize) -> String {
    format!("{}-{account}-key", workload.kind.name())
}

/// Creates a template and ten accounts for a workload; returns the revision.
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

struct Run {
    fleet: Arc<Fleet>,
    workload: Arc<Workload>,
    outcome: Arc<Mutex<Outcome>>,
    sending: Sending,
    tickets: Vec<Vec<String>>,
}

/// Sends all arrivals, waits for their ends and checks the service's runs.
pub async fn send(fleet: &Arc<Fleet>, workload: &Workload, sending: Sending) -> Outcome {
    let outcome = Arc::new(Mutex::new(Outcome::default()));
    let workload = Arc::new(workload.clone());
    let tickets = fetch_tickets(fleet, &workload).await;
    let run = Arc::new(Run {
        fleet: fleet.clone(),
        workload: workload.clone(),
        outcome: outcome.clone(),
        sending,
        tickets,
    });
    let begun_at = tokio::time::Instant::now();
    let mut tasks = Vec::new();
    let mut shown_s = 0;
    let mut warm = Usage::default();
    for (number, arrival) in workload.arrivals.iter().enumerate() {
        tokio::time::sleep_until(begun_at + Duration::from_millis(arrival.at_ms)).await;
        if arrival.at_ms >= sending.warm_ms && warm.prompt_tokens == 0 && sending.warm_ms > 0 {
            warm = Usage::read(fleet).await;
        }
        let second = arrival.at_ms / 1000;
        if sending.progress && second >= shown_s + 5 {
            shown_s = second;
            let so_far = outcome.lock().expect("outcome lock");
            eprintln!("  {second:>4} s: {} sent, {} whole", so_far.sent, so_far.whole);
        }
        outcome.lock().expect("outcome lock").sent += 1;
        let (run, arrival) = (run.clone(), arrival.clone());
        tasks.push(tokio::spawn(async move { run.serve(number, &arrival).await }));
    }
    let mut lost = 0;
    for task in tasks {
        lost += u64::from(task.await.is_err());
    }
    drop(run);
    let outcome = Arc::into_inner(outcome).expect("all tasks have ended");
    let mut outcome = outcome.into_inner().expect("outcome lock");
    outcome.lost += lost;
    outcome.usage = Usage::read(fleet).await.since(&warm);
    check_runs(fleet, &mut outcome).await;
    outcome
}

async fn fetch_tickets(fleet: &Fleet, workload: &Workload) -> Vec<Vec<String>> {
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

/// Compares the service's own record of runs with what callers were told.
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
        outcome.doubled += u64::from(count > 1);
        outcome.untrue += u64::from(*not_run && count > 0);
    }
}

/// How an answer was read.
enum Read {
    Whole { text: String, version: String },
    Refused(String),
    Broken,
}

impl Run {
    async fn serve(&self, number: usize, arrival: &Arrival) {
        match &arrival.work {
            Work::Completion { context, question, max_tokens } => {
                let prompt = self.workload.prompt(arrival.account, *context, *question);
                self.complete(number, arrival, &prompt, *max_tokens).await;
            }
            Work::CallOnce => self.call_once(number, arrival.account).await,
            Work::Call => {
                let call = self.request(number, arrival.account, "/app/scores/fixtures/today");
                let ended = call.send().await;
                self.call_ended(ended.ok()).await;
            }
        }
    }

    fn request(&self, number: usize, account: usize, path: &str) -> RequestBuilder {
        let at = number % self.fleet.boxes.len();
        let url = format!("{}{path}", self.fleet.boxes[at].process.url());
        let call = self.fleet.http.post(url).bearer_auth(api_key(&self.workload, account));
        call.header("x-timeout-ms", TIMEOUT_MS)
    }

    /// Sends a completion; through another box when the first cannot be
    /// reached, as the balancer would.
    async fn complete(&self, number: usize, arrival: &Arrival, prompt: &str, max_tokens: u32) {
        let body = json!({
            "model": "summary", "prompt": prompt, "max_tokens": max_tokens, "stream": true,
        });
        let begun_at = Instant::now();
        for attempt in 0..self.fleet.boxes.len() {
            let call = self.request(number + attempt, arrival.account, "/v1/completions");
            match call.json(&body).send().await {
                Ok(response) if response.status().is_success() => {
                    let read = self.read(response, arrival, begun_at).await;
                    return self.check(arrival, read, prompt, max_tokens);
                }
                Ok(response) => return self.refused(response).await,
                Err(error) if error.is_connect() => {}
                Err(_) => break,
            }
        }
        self.check(arrival, Read::Broken, prompt, max_tokens);
    }

    async fn read(&self, response: Response, arrival: &Arrival, begun_at: Instant) -> Read {
        let trace = response.headers().get("x-trace-id").cloned();
        let mut events = Box::pin(response.bytes_stream().eventsource());
        let (mut text, mut version) = (String::new(), String::new());
        let mut last_at = None;
        while let Some(Ok(event)) = events.next().await {
            if event.data == "[DONE]" {
                return Read::Whole { text, version };
            }
            let Ok(chunk) = serde_json::from_str::<Value>(&event.data) else {
                break;
            };
            if let Some(kind) = chunk["error"]["type"].as_str() {
                return Read::Refused(format!("broke off: {kind}"));
            }
            let piece = chunk["choices"][0]["text"].as_str().unwrap_or_default();
            if piece.is_empty() {
                continue;
            }
            text.push_str(piece);
            chunk["system_fingerprint"].as_str().unwrap_or_default().clone_into(&mut version);
            let mut outcome = self.outcome.lock().expect("outcome lock");
            let now = Instant::now();
            match last_at.replace(now) {
                Some(last_at) => outcome.between_us.saturating_record(micros(now - last_at)),
                None if arrival.at_ms < self.sending.warm_ms => {}
                None => {
                    let took_us = micros(now - begun_at);
                    outcome.first_token_us.saturating_record(took_us);
                    outcome.by_account_us[arrival.account].saturating_record(took_us);
                    let second = outcome.by_second_us.entry(arrival.at_ms / 1000);
                    second.or_insert_with(histogram).saturating_record(took_us);
                    outcome.trace = trace
                        .as_ref()
                        .and_then(|id| id.to_str().ok())
                        .map(str::to_owned)
                        .or(outcome.trace.take());
                }
            }
        }
        Read::Broken
    }

    fn check(&self, arrival: &Arrival, read: Read, prompt: &str, max_tokens: u32) {
        let mut outcome = self.outcome.lock().expect("outcome lock");
        match read {
            Read::Whole { text, version } => {
                let right = text == full_answer(&version, prompt, max_tokens as usize);
                outcome.whole += u64::from(right);
                outcome.wrong += u64::from(!right);
                outcome.whole_by_account[arrival.account] += u64::from(right);
            }
            Read::Refused(end) => outcome.refused(&end),
            Read::Broken if self.sending.boxes_die => outcome.refused("connection broke"),
            Read::Broken => outcome.lost += 1,
        }
    }

    async fn refused(&self, response: Response) {
        let body: Value = response.json().await.unwrap_or_default();
        let mut outcome = self.outcome.lock().expect("outcome lock");
        match body["error"]["type"].as_str() {
            Some(kind) => {
                let ran = body["error"]["ran"].as_str().unwrap_or("unsaid");
                outcome.refused(&format!("{ran}: {kind}"));
            }
            None => outcome.lost += 1,
        }
    }

    async fn call_ended(&self, response: Option<Response>) {
        let ours = |response: &Response| response.headers().contains_key("x-coursestile-ran");
        match response {
            Some(response) if !response.status().is_success() && !ours(&response) => {
                let answer = format!("worker answered {}", response.status().as_u16());
                self.outcome.lock().expect("outcome lock").refused(&answer);
            }
            Some(response) if response.status().is_success() => {
                self.outcome.lock().expect("outcome lock").whole += 1;
            }
            Some(response) => self.refused(response).await,
            None => {
                // A call without a key: its caller knows that it cannot know.
                self.outcome.lock().expect("outcome lock").refused("connection broke");
            }
        }
    }

    /// Sends a call under a ticket, again through other boxes until its
    /// outcome is known.
    async fn call_once(&self, number: usize, account: usize) {
        let at = number % self.fleet.boxes.len();
        let key = format!("{}/{number}", self.tickets[account][at]);
        let mut said_not_run = false;
        let mut last = None;
        for attempt in 0..TICKET_TRIES {
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
            tokio::time::sleep(TRY_WAIT).await;
        }
        self.outcome.lock().expect("outcome lock").once_keys.push((key, said_not_run));
        self.call_ended(last).await;
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
