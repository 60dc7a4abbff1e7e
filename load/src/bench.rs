//! Benchmarks of the daemon: the time it adds to the first token, its relay rate, its memory
//! with many prompts, and the time until a configuration change is in force.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use coursestile::configlog::ConfigHead;
use coursestile::configuration::{BASE_KEY_PREFIX, HEAD_KEY};
use coursestile::consul::Consul;
use coursestile::external::KeyValueStore;
use coursestile_standins::fleet::{Fleet, Plan};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::control::{cpu_ticks, resident_mb};
use crate::decide::state_with_all_accounts;
use crate::figures::{quantile_ms, ratio};

/// Number of requests whose time to first token is measured, for each prompt length and target.
const FIRST_TOKEN_REQUESTS: usize = 400;
/// Number of streams that are open at the same time.
const OPEN_STREAMS: usize = 500;
/// Number of prompts that the dispatcher has recorded.
const RECORDED_PROMPTS: usize = 10_000;
/// Number of configuration changes that are timed.
const CHANGES: usize = 20;
/// API key of the first account in `state_with_all_accounts`.
const API_KEY: &str = "0";

/// Runs all benchmarks.
pub async fn run() -> ExitCode {
    first_token().await;
    relay().await;
    configuration_changes().await;
    ExitCode::SUCCESS
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("bounds are in order")
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn options(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(name, value)| ((*name).to_owned(), (*value).to_owned())).collect()
}

/// Starts a fleet whose platform stores a configuration with 1,300 accounts.
async fn start_fleet_with_accounts(plan: &Plan) -> Arc<Fleet> {
    let fleet = Arc::new(Fleet::start(plan).await);
    let state = state_with_all_accounts();
    let platform = Consul::new(&fleet.platform.url());
    let base = serde_json::to_vec(&state).expect("a configuration can be serialized");
    let key = format!("{BASE_KEY_PREFIX}{}", state.revision);
    platform.compare_and_swap(&key, 0, &base).await.expect("the platform answers");
    let head = ConfigHead { base_revision: state.revision, entries: Vec::new() };
    let head = serde_json::to_vec(&head).expect("a configuration head can be serialized");
    platform.compare_and_swap(HEAD_KEY, 0, &head).await.expect("the platform answers");
    fleet.must_run_operator_tool(&["model", "set", "summary", "v1"]);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, state.revision + 1, boxes.len()).await;
    fleet
}

async fn time_first_token(fleet: &Fleet, url: &str, body: &Value) -> u64 {
    let started_at = Instant::now();
    let call = fleet.http.post(format!("{url}/v1/completions")).bearer_auth(API_KEY).json(body);
    let response = call.send().await.expect("an answer");
    let mut events = Box::pin(response.bytes_stream().eventsource());
    let mut took_us = 0;
    while let Some(Ok(event)) = events.next().await {
        if took_us == 0 && event.data.contains("\"text\"") {
            took_us = micros(started_at.elapsed());
        }
    }
    took_us
}

/// Compares the time to first token through the daemon with that of the engine itself, with
/// alternating requests.
async fn first_token() {
    let mut plan = Plan::one_hall(2, 1, 0);
    plan.cache_tokens = 1_000_000;
    plan.engine_args = options(&[("step-us", "500")]);
    let fleet = start_fleet_with_accounts(&plan).await;
    println!("\nfirst token, {FIRST_TOKEN_REQUESTS} requests each, in turn, two boxes");
    println!("{:<28} {:>10} {:>10} {:>10}", "way", "p50 ms", "p95 ms", "p99 ms");
    for (name, length) in [("short prompt", 40), ("prompt of 6,000 tokens", 24_000)] {
        let (mut direct, mut proxied) = (histogram(), histogram());
        for number in 0..FIRST_TOKEN_REQUESTS {
            let prompt = format!("{}{number}", "x".repeat(length));
            let id = format!("direct-{length}-{number}");
            let body = json!({
                "model": "summary", "prompt": prompt, "max_tokens": 2, "stream": true,
                "request_id": id,
            });
            let url = fleet.engines[0].url();
            let direct_us = time_first_token(&fleet, &url, &body).await;
            let url = fleet.boxes[number % 2].process.url();
            let proxied_us = time_first_token(&fleet, &url, &body).await;
            // The first requests fill the caches and are not counted.
            if number >= 20 {
                direct.saturating_record(direct_us);
                proxied.saturating_record(proxied_us);
            }
        }
        for (target, times) in [("engine", &direct), ("daemon", &proxied)] {
            println!(
                "{:<28} {:>10.2} {:>10.2} {:>10.2}",
                format!("{name}, {target}"),
                quantile_ms(times, 0.5),
                quantile_ms(times, 0.95),
                quantile_ms(times, 0.99)
            );
        }
    }
}

/// Relays many open streams through one daemon that has recorded many prompts.
async fn relay() {
    let mut plan = Plan::one_hall(1, 8, 0);
    plan.slots = 128;
    plan.cache_tokens = 1_000_000;
    plan.engine_args = options(&[
        ("step-us", "18000"),
        ("prefill-token-us", "0"),
        ("chunk-tokens", "1000000"),
        ("batch-slots", "128"),
    ]);
    let fleet = start_fleet_with_accounts(&plan).await;
    let pid = fleet.boxes[0].process.pid();
    let idle_mb = resident_mb(pid);
    fill_prompts(&fleet).await;
    let filled_mb = resident_mb(pid);
    let status = fleet.status(&fleet.boxes[0]).await.unwrap_or_default();
    let prompts = status["dispatchers"][0]["prompts"].as_u64().unwrap_or(0);
    println!("\ndaemon {idle_mb:.1} MB idle, {filled_mb:.1} MB with its prompts");
    println!("relay: {OPEN_STREAMS} open streams, {prompts} recorded prompts, 1,300 accounts");
    let (started_at, ticks) = (Instant::now(), cpu_ticks(pid));
    let streams: Vec<_> = (0..OPEN_STREAMS)
        .map(|number| {
            let fleet = fleet.clone();
            tokio::spawn(async move { read_stream(&fleet, number).await })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(5)).await;
    let memory_mb = resident_mb(pid);
    let mut inter_token = histogram();
    let mut tokens = 0;
    for stream in streams {
        let (count, times) = stream.await.expect("the task does not panic");
        tokens += count;
        inter_token.add(times).expect("histograms have the same bounds");
    }
    let elapsed = started_at.elapsed();
    let cpu_percent = ratio(cpu_ticks(pid) - ticks, 1) / elapsed.as_secs_f64();
    println!(
        "{:.0} tokens/s; between tokens p50 {:.1} ms, p95 {:.1} ms, p99 {:.1} ms; \
         daemon {memory_mb:.1} MB, {cpu_percent:.0}% of a core",
        ratio(tokens, 1) / elapsed.as_secs_f64(),
        quantile_ms(&inter_token, 0.5),
        quantile_ms(&inter_token, 0.95),
        quantile_ms(&inter_token, 0.99)
    );
}

/// Sends many prompts, which the dispatcher records.
async fn fill_prompts(fleet: &Arc<Fleet>) {
    let prompts = futures_util::stream::iter(0..RECORDED_PROMPTS).map(|number| {
        let fleet = fleet.clone();
        async move {
            let prompt = format!("{number:<6000}");
            let body = json!({ "model": "summary", "prompt": prompt, "max_tokens": 1 });
            let url = format!("{}/v1/completions", fleet.boxes[0].process.url());
            let answer = fleet.http.post(url).bearer_auth(API_KEY).json(&body).send().await;
            assert!(answer.is_ok_and(|answer| answer.status().is_success()));
        }
    });
    prompts.buffer_unordered(200).collect::<Vec<()>>().await;
}

async fn read_stream(fleet: &Fleet, number: usize) -> (u64, Histogram<u64>) {
    let prompt = format!("stream {number}");
    let body = json!({ "model": "summary", "prompt": prompt, "max_tokens": 500, "stream": true });
    let url = format!("{}/v1/completions", fleet.boxes[0].process.url());
    let response = fleet.http.post(url).bearer_auth(API_KEY).json(&body).send().await;
    let mut events = Box::pin(response.expect("an answer").bytes_stream().eventsource());
    let (mut tokens, mut times) = (0, histogram());
    let mut last_at = None;
    while let Some(Ok(event)) = events.next().await {
        if !event.data.contains("\"text\"") {
            continue;
        }
        tokens += 1;
        if let Some(last_at) = last_at.replace(Instant::now()) {
            times.saturating_record(micros(last_at.elapsed()));
        }
    }
    (tokens, times)
}

/// Measures the time from the acceptance of a configuration change until all nine boxes serve
/// it.
async fn configuration_changes() {
    let fleet = start_fleet_with_accounts(&Plan::full_size()).await;
    let mut times = histogram();
    for number in 0..CHANGES {
        let share = (1 + number % 3).to_string();
        let text = fleet.must_run_operator_tool(&[
            "account",
            "set",
            "account-1",
            "--share",
            &share,
            "--json",
        ]);
        let accepted_at = Instant::now();
        let result: Value = serde_json::from_str(&text).unwrap_or_default();
        let revision = result["revision"].as_u64().expect("a revision");
        let waits = fleet.boxes.iter().map(|entry_box| async {
            while fleet.status(entry_box).await.unwrap_or_default()["revision"].as_u64()
                < Some(revision)
            {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
        futures_util::future::join_all(waits).await;
        times.saturating_record(micros(accepted_at.elapsed()));
    }
    println!(
        "\nchange in force on 9 boxes, {CHANGES} changes: p50 {:.1} ms, slowest {:.1} ms",
        quantile_ms(&times, 0.5),
        quantile_ms(&times, 1.0)
    );
}
