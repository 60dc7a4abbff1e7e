//! One part of a prompt crashed every upstream that began to write an answer on it. No two requests
//! with the part were alike, so that no box related one to the next: 37 upstreams ended.

#[path = "common/site.rs"]
mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::crashing_pool::{
    CrashingPool, PartCrash, PartialFraming, prompt_headers,
};
use coursestile_standins::site::engine::MODEL;
use coursestile_standins::site::http::Message;
use coursestile_standins::site::{Gateway, Site, config_document, eventually};
use rstest::rstest;
use serde_json::json;

/// Crashes under one part after which requests with it may reach upstreams only `MAX_LATE_RUNS` more
/// times, from `CONTACT_TIME` on.
const CRASH_LIMIT: usize = 5;
const MAX_LATE_RUNS: usize = 3;
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Time after the last of these crashes from which sound requests must be served as before.
const SOUND_TIME: Duration = Duration::from_secs(6);
/// Share of the sound requests that must be served at the first attempt then.
const SOUND_SHARE: f64 = 0.9;
/// Upstreams that crash under requests which are sent one after the other.
const QUARANTINE_CRASHES: usize = 3;
/// Time after which a crashed upstream is replaced by another.
const REPLACE_TIME: Duration = Duration::from_secs(2);
/// Pause between two events of sound streams.
const EVENT_PAUSE: Duration = Duration::from_millis(20);
/// The part that crashes upstreams.
const PART: &str = "dead";
const UPSTREAMS: usize = 12;

/// Boxes in front of upstreams that crash under a part.
struct Fleet {
    gateways: Vec<Gateway>,
    pool: CrashingPool,
    site: Site,
}

/// A request that was sent, and whether it was served at the first attempt.
struct Sent {
    at: Instant,
    is_served: bool,
}

impl Fleet {
    async fn start(halls: &[&str], crashes: &[PartCrash]) -> Arc<Self> {
        let mut site = Site::start().await;
        let pool = CrashingPool::start(&site, "plain", UPSTREAMS, crashes, EVENT_PAUSE).await;
        let mut document = config_document(7);
        let accounts = document["tenants"].as_array_mut().unwrap();
        accounts.push(json!({ "name": "other", "api_keys": ["key-2"], "priority": 1 }));
        site.configure(&document);
        let mut gateways: Vec<Gateway> = Vec::new();
        for hall in halls {
            let seeds: Vec<&Gateway> = gateways.iter().collect();
            let gateway = site.gateway(hall, &seeds);
            gateways.push(gateway);
        }
        for gateway in &gateways {
            wait_ready(gateway).await;
        }
        let text = format!("event=members_written count={} ", gateways.len());
        eventually(&text, async || {
            gateways.len() == 1 || gateways.iter().any(|gateway| gateway.log_text().contains(&text))
        })
        .await;
        Arc::new(Self { gateways, pool, site })
    }

    async fn replace_crashed(self: Arc<Self>) {
        self.pool.replace_crashed(&self.site, REPLACE_TIME).await;
    }

    /// Sends a prompt through a box, under an id and with a body of its own.
    async fn send(&self, gateway: usize, path: &str, id: &str, parts: &[&str]) -> Option<Message> {
        let mut all = parts.to_vec();
        let own = format!("{:x}", fastrand::u64(..));
        all.push(&own);
        let headers = prompt_headers(MODEL, &all);
        let bytes = request("POST", path, id, &headers, &format!("body of {id}"));
        Client::connect(&self.gateways[gateway].clients).await.send(&bytes).await
    }

    /// Sends prompts with these parts, each to a random box, until the task is aborted.
    async fn keep_sending(self: Arc<Self>, name: String, parts: Vec<String>, pause: Duration) {
        for number in 0.. {
            let (fleet, parts) = (self.clone(), parts.clone());
            let id = format!("{name}-{number}");
            tokio::spawn(async move {
                let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
                let gateway = fastrand::usize(..fleet.gateways.len());
                fleet.send(gateway, "/stream/", &id, &parts).await;
            });
            tokio::time::sleep(pause).await;
        }
    }

    /// Sends sound prompts one after the other until `until`.
    async fn send_sound(
        self: Arc<Self>,
        name: String,
        parts: Vec<String>,
        until: Instant,
    ) -> Vec<Sent> {
        let mut sent = Vec::new();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        while Instant::now() < until {
            let (at, gateway) = (Instant::now(), fastrand::usize(..self.gateways.len()));
            let id = format!("{name}-{}", sent.len());
            let answer = self.send(gateway, "/stream/", &id, &parts).await;
            let is_served = answer.is_some_and(|answer| answer.status() == 200 && answer.complete);
            sent.push(Sent { at, is_served });
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        sent
    }

    /// Fails if requests with `part` reached upstreams too often after the fifth crash.
    fn assert_withheld(&self, part: &str) {
        let crashed_at = self.pool.crashed_at();
        let Some(fifth) = crashed_at.get(CRASH_LIMIT - 1) else { return };
        let arrivals = self.pool.arrivals(part);
        let late = arrivals.iter().filter(|(at, _)| *at > *fifth + CONTACT_TIME).count();
        assert!(
            late <= MAX_LATE_RUNS,
            "{late} requests reached upstreams later than {CONTACT_TIME:?} after the fifth crash; {} ended in all",
            crashed_at.len()
        );
    }

    /// Fails if sound requests were withheld beside those that crash upstreams.
    fn assert_sound_served(&self, sent: &[Sent]) {
        let crashed_at = self.pool.crashed_at();
        let from = crashed_at[crashed_at.len().min(CRASH_LIMIT) - 1] + SOUND_TIME;
        let judged: Vec<&Sent> = sent.iter().filter(|sent| sent.at > from).collect();
        let served = judged.iter().filter(|sent| sent.is_served).count();
        assert!(judged.len() >= 20, "too few: {}", judged.len());
        #[expect(clippy::cast_precision_loss, reason = "small numbers")]
        let share = served as f64 / judged.len() as f64;
        assert!(share >= SOUND_SHARE, "{served} of {} sound requests were served", judged.len());
    }
}

/// Parts of a prompt with `PART` in one place and common parts in all others.
fn parts_with(place: usize, count: usize) -> Vec<String> {
    let mut parts: Vec<String> = (0..count).map(|number| format!("c{number}")).collect();
    PART.clone_into(&mut parts[place]);
    parts
}

/// The parts that sound prompts share with these.
fn sound_parts(parts: &[String]) -> Vec<String> {
    parts.iter().filter(|part| *part != PART).cloned().collect()
}

/// Requests with the part come at any box, beside sound ones with the same account and other parts.
#[rstest]
#[case::first_of_two(0, 2, 0, PartialFraming::Chunks)]
#[case::middle_of_three(1, 3, 1, PartialFraming::Length)]
#[case::last_of_three(2, 3, 0, PartialFraming::Chunks)]
#[case::last_of_seven(6, 7, 2, PartialFraming::CloseDelimited)]
#[tokio::test]
async fn never_alike(
    #[case] place: usize,
    #[case] count: usize,
    #[case] events: u32,
    #[case] framing: PartialFraming,
) {
    let parts = parts_with(place, count);
    let crash = PartCrash { events, framing, ..PartCrash::new(PART, Duration::from_millis(150)) };
    let fleet = Fleet::start(&["north", "east", "west"], &[crash]).await;
    let until = Instant::now() + Duration::from_secs(14);
    let mut sound = Vec::new();
    for number in 0..4 {
        let name = format!("s{number}");
        sound.push(tokio::spawn(fleet.clone().send_sound(name, sound_parts(&parts), until)));
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    let replacing = tokio::spawn(fleet.clone().replace_crashed());
    let pause = Duration::from_millis(300);
    let crashing = tokio::spawn(fleet.clone().keep_sending("d".to_owned(), parts, pause));
    let mut sent = Vec::new();
    for task in sound {
        sent.extend(task.await.unwrap());
    }
    crashing.abort();
    replacing.abort();
    fleet.assert_withheld(PART);
    fleet.assert_sound_served(&sent);
}

/// Requests with the part come one after the other, at another box each time, on routes of each kind.
#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[case("/stream/")]
#[case("/resume/")]
#[tokio::test]
async fn one_after_the_other(#[case] path: &str) {
    let crash = PartCrash::new(PART, Duration::from_millis(20));
    let fleet = Fleet::start(&["north", "north"], &[crash]).await;
    for number in 0..8 {
        let common = format!("c{number}");
        fleet.send(number % 2, path, &format!("d-{number}"), &["a", PART, &common]).await;
    }
    assert_eq!(fleet.pool.crashed_at().len(), QUARANTINE_CRASHES);
}
