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
use coursestile_standins::site::server::Behavior;
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
/// Time within which a trial of a sound part ends, however slowly its stream is written.
const TRIAL_TIME: Duration = Duration::from_secs(5);
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
    /// Whether it was refused because of a part of its prompt.
    is_withheld: bool,
}

impl Fleet {
    async fn start(halls: &[&str], crashes: &[PartCrash]) -> Arc<Self> {
        Self::start_with(halls, crashes, EVENT_PAUSE).await
    }

    async fn start_with(halls: &[&str], crashes: &[PartCrash], event_pause: Duration) -> Arc<Self> {
        let mut site = Site::start().await;
        let pool = CrashingPool::start(&site, "plain", UPSTREAMS, crashes, event_pause).await;
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
        self.send_as("key-1", gateway, path, id, parts, &format!("body of {id}")).await
    }

    async fn send_as(
        &self,
        key: &str,
        gateway: usize,
        path: &str,
        id: &str,
        parts: &[&str],
        body: &str,
    ) -> Option<Message> {
        let mut all = parts.to_vec();
        let own = format!("{:x}", fastrand::u64(..));
        all.push(&own);
        let headers = prompt_headers(MODEL, &all);
        let bytes = request("POST", path, id, &headers, body);
        let text = String::from_utf8(bytes).unwrap().replace("key-1", key);
        Client::connect(&self.gateways[gateway].clients).await.send(text.as_bytes()).await
    }

    /// Sends a sound prompt, which must be served at the first attempt.
    async fn assert_served(&self, gateway: usize, path: &str, parts: &[&str]) {
        let id = format!("sound-{:x}", fastrand::u32(..));
        let answer = self.send(gateway, path, &id, parts).await.expect("an answer");
        assert_eq!(answer.status(), 200, "{parts:?}: {}", answer.text());
        assert!(answer.complete, "{parts:?}");
    }

    /// Sends prompts with `PART` and other parts, one after the other, until they are withheld.
    async fn crash_until_withheld(&self) {
        for number in 0..2 * CRASH_LIMIT {
            let (id, own) = (format!("d-{number}"), format!("d{number}"));
            self.send(number % self.gateways.len(), "/once/", &id, &["c0", PART, &own]).await;
        }
        assert!(self.pool.crashed_at().len() <= CRASH_LIMIT);
    }

    /// Sends a prompt with `PART` through each box; all must refuse it as not run.
    async fn assert_part_withheld(&self) {
        let arrived = self.pool.arrivals(PART).len();
        for gateway in 0..self.gateways.len() {
            let id = format!("w-{gateway}");
            let answer = self.send(gateway, "/once/", &id, &["c0", PART]).await.expect("an answer");
            assert_eq!(answer.status(), 503, "{}", answer.text());
            assert!(answer.header("retry-after").is_some());
        }
        assert_eq!(self.pool.arrivals(PART).len(), arrived);
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
        self.send_each(name, parts, Duration::from_millis(30), until).await
    }

    async fn send_each(
        self: Arc<Self>,
        name: String,
        parts: Vec<String>,
        pause: Duration,
        until: Instant,
    ) -> Vec<Sent> {
        let mut sent = Vec::new();
        let parts: Vec<&str> = parts.iter().map(String::as_str).collect();
        while Instant::now() < until {
            let (at, gateway) = (Instant::now(), fastrand::usize(..self.gateways.len()));
            let id = format!("{name}-{}", sent.len());
            let answer = self.send(gateway, "/stream/", &id, &parts).await;
            let status = answer.as_ref().map_or(0, Message::status);
            let text = answer.as_ref().map_or_else(String::new, Message::text);
            let is_withheld = status == 503 && text.contains("part of its prompt");
            let is_served = status == 200 && answer.is_some_and(|answer| answer.complete);
            sent.push(Sent { at, is_served, is_withheld });
            tokio::time::sleep(pause).await;
        }
        sent
    }

    /// Fails if requests with `part` reached upstreams too often after the fifth crash.
    fn assert_withheld(&self, part: &str) {
        let crashed_at = self.pool.crashed_under(part);
        let Some(fifth) = crashed_at.get(CRASH_LIMIT - 1) else { return };
        let arrivals = self.pool.arrivals(part);
        let late = arrivals.iter().filter(|(at, _)| *at > *fifth + CONTACT_TIME).count();
        assert!(
            late <= MAX_LATE_RUNS,
            "{late} requests with {part} reached upstreams later than {CONTACT_TIME:?} after the fifth \
             crash; {} ended in all",
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
/// On those that may send a request again, the first crashes three upstreams by itself, which tells
/// nothing of its parts, and the second one more.
#[rstest]
#[case("/safe/", 4)]
#[case("/once/", 3)]
#[case("/stream/", 3)]
#[case("/resume/", 4)]
#[tokio::test]
async fn one_after_the_other(#[case] path: &str, #[case] crashes: usize) {
    let crash = PartCrash::new(PART, Duration::from_millis(20));
    let fleet = Fleet::start(&["north", "north"], &[crash]).await;
    for number in 0..8 {
        let common = format!("c{number}");
        fleet.send(number % 2, path, &format!("d-{number}"), &["a", PART, &common]).await;
    }
    assert_eq!(fleet.pool.crashed_at().len(), crashes);
}

/// How sound prompts are sent beside those that crash upstreams.
#[derive(Clone, Copy)]
enum Traffic {
    /// One each second.
    Sparse,
    /// Streams that last longer than the runs that crash, one after the other.
    LongStreams,
}

/// Where no answer clears a part for seconds, sound prompts wait for one trial at most.
#[rstest]
#[case::sparse(Traffic::Sparse)]
#[case::long_streams(Traffic::LongStreams)]
#[tokio::test]
async fn few_answers(#[case] traffic: Traffic) {
    let event_pause = match traffic {
        Traffic::Sparse => EVENT_PAUSE,
        Traffic::LongStreams => Duration::from_millis(550),
    };
    let crash = PartCrash::new(PART, Duration::from_millis(50));
    let fleet = Fleet::start_with(&["north", "east"], &[crash], event_pause).await;
    let until = Instant::now() + Duration::from_secs(12);
    let replacing = tokio::spawn(fleet.clone().replace_crashed());
    let parts: Vec<String> = ["c0", "c1", PART].map(str::to_owned).into();
    let pause = Duration::from_millis(400);
    let crashing = tokio::spawn(fleet.clone().keep_sending("d".to_owned(), parts, pause));
    let mut sound = Vec::new();
    let (streams, pause) = match traffic {
        Traffic::Sparse => (1, Duration::from_secs(1)),
        Traffic::LongStreams => (6, Duration::from_millis(30)),
    };
    for number in 0..streams {
        let (name, parts) = (format!("s{number}"), vec!["c0".to_owned(), "c1".to_owned()]);
        sound.push(tokio::spawn(fleet.clone().send_each(name, parts, pause, until)));
    }
    let mut withheld = Vec::new();
    for task in sound {
        let sent = task.await.unwrap();
        withheld.extend(sent.into_iter().filter(|sent| sent.is_withheld).map(|sent| sent.at));
    }
    crashing.abort();
    replacing.abort();
    fleet.assert_withheld(PART);
    withheld.sort_unstable();
    let time = withheld.last().map(|last| *last - withheld[0]).unwrap_or_default();
    assert!(time < TRIAL_TIME, "{} withheld over {time:?}", withheld.len());
}

/// Two parts crash upstreams, in requests of their own.
#[tokio::test]
async fn two_parts() {
    let crashes = [PART, "dea2"].map(|part| PartCrash::new(part, Duration::from_millis(100)));
    let fleet = Fleet::start(&["north", "east", "west"], &crashes).await;
    let until = Instant::now() + Duration::from_secs(14);
    let replacing = tokio::spawn(fleet.clone().replace_crashed());
    let sound_parts = vec!["c0".to_owned(), "c1".to_owned()];
    let sound: Vec<_> = (0..4)
        .map(|number| {
            let name = format!("s{number}");
            tokio::spawn(fleet.clone().send_sound(name, sound_parts.clone(), until))
        })
        .collect();
    let crashing: Vec<_> = [PART, "dea2"]
        .into_iter()
        .map(|part| {
            let parts = ["c0", part, "c1"].map(str::to_owned).into();
            let pause = Duration::from_millis(500);
            tokio::spawn(fleet.clone().keep_sending(part.to_owned(), parts, pause))
        })
        .collect();
    let mut sent = Vec::new();
    for task in sound {
        sent.extend(task.await.unwrap());
    }
    crashing.iter().for_each(tokio::task::JoinHandle::abort);
    replacing.abort();
    fleet.assert_withheld(PART);
    fleet.assert_withheld("dea2");
    assert!(fleet.pool.crashed_at().len() <= 2 * CRASH_LIMIT);
    fleet.assert_sound_served(&sent);
}

/// Upstreams that crash by themselves, several at once and again, or drop connections, have no part
/// withheld.
#[tokio::test]
async fn crashes_without_cause() {
    let fleet = Fleet::start(&["north", "east"], &[]).await;
    let replacing = tokio::spawn(fleet.clone().replace_crashed());
    let until = Instant::now() + Duration::from_secs(6);
    let parts = vec!["c0".to_owned(), "c1".to_owned()];
    let sound: Vec<_> = (0..8)
        .map(|number| {
            let name = format!("s{number}");
            tokio::spawn(fleet.clone().send_sound(name, parts.clone(), until))
        })
        .collect();
    for _ in 0..4 {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.pool.crash(UPSTREAMS / 3);
    }
    for task in sound {
        let sent = task.await.unwrap();
        let withheld = sent.iter().filter(|sent| sent.is_withheld).count();
        assert_eq!(withheld, 0, "of {}", sent.len());
    }
    replacing.abort();
    for _ in 0..4 {
        fleet.pool.script(&[Behavior::Close]);
        let answer = fleet.send(0, "/once/", "reset", &["c0", "f0"]).await.expect("an answer");
        assert_eq!(answer.status(), 502);
        fleet.pool.clear_script();
    }
    fleet.assert_served(0, "/once/", &["c0", "f0"]).await;
}

/// What is withheld outlasts the restart of all boxes.
#[tokio::test]
async fn boxes_killed() {
    let crash = PartCrash::new(PART, Duration::from_millis(20));
    let fleet = Fleet::start(&["north", "east"], &[crash]).await;
    fleet.crash_until_withheld().await;
    eventually("the quarantine is stored", async || {
        let text = "event=quarantine_written key=coursestile/quarantined-parts";
        fleet.gateways.iter().any(|gateway| gateway.log_text().contains(text))
    })
    .await;
    for gateway in &fleet.gateways {
        gateway.signal("-9");
    }
    for gateway in &fleet.gateways {
        eventually("the box has ended", async || !gateway.is_alive()).await;
        gateway.restart_if_exited();
    }
    for gateway in &fleet.gateways {
        wait_ready(gateway).await;
    }
    fleet.assert_part_withheld().await;
    fleet.assert_served(0, "/stream/", &["c0", "c1"]).await;
}

/// One account sends a part along with something else that crashes upstreams. That does not withhold
/// the part from another, and what crashes under both is withheld for all.
#[tokio::test]
async fn other_account() {
    let crash = PartCrash::new(PART, Duration::from_millis(20));
    let fleet = Fleet::start(&["north", "north"], &[crash]).await;
    for number in 0..CRASH_LIMIT {
        let (id, body) = (format!("o-{number}"), format!("body {number}"));
        fleet.send_as("key-2", number % 2, "/once/", &id, &["b0b", PART], &body).await;
    }
    assert_eq!(fleet.pool.crashed_at().len(), 3);
    fleet.assert_served(0, "/once/", &["b0b"]).await;
    fleet.assert_served(1, "/stream/", &["b0b", "c1"]).await;
    fleet.send(0, "/once/", "first", &["c0", PART]).await;
    assert_eq!(fleet.pool.crashed_at().len(), 4, "another account has one trial of its own");
    fleet.assert_part_withheld().await;
}

/// One request that crashes upstreams by its body alone, sent again and again, does not have others
/// withheld that share all of its parts.
#[tokio::test]
async fn request_crashes_alone() {
    let fleet = Fleet::start(&["north", "north"], &[]).await;
    fleet.pool.crash_on("deadly");
    for number in 0..8 {
        let id = format!("d-{number}");
        fleet.send_as("key-1", number % 2, "/once/", &id, &["c0", "c1"], "deadly").await;
    }
    assert_eq!(fleet.pool.crashed_at().len(), 3);
    fleet.assert_served(0, "/once/", &["c0", "c1"]).await;
    fleet.assert_served(1, "/stream/", &["c0", "c1"]).await;
}
