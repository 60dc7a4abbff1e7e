//! An upstream said in its answers that it leaves, and got seven more requests from the same
//! box, for the platform's store was silent; another turned requests away, wanted none for
//! three seconds, and got 23 in that time, as it looked the least loaded.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Scene, scene_at, wait_ready};
use coursestile::gateway::decisions::notice::{Notice, NoticeState};
use coursestile::platform::exchange::answer_head;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{Act, Server};
use coursestile_standins::site::{Gateway, Site, entry, eventually};
use hyper::{HeaderMap, StatusCode};
use rstest::rstest;
use serde_json::json;

/// Time for which an upstream wants no request.
const REST: Duration = Duration::from_secs(3);
/// Time by which that must be heeded.
const REST_BEGINS: Duration = Duration::from_millis(500);

async fn scene(servers: usize) -> Scene {
    scene_at(Site::start().await, servers).await
}

async fn send(gateway: &Gateway, path: &str, id: &str) -> Message {
    let bytes = request("POST", path, id, "", "");
    Client::connect(&gateway.clients).await.send(&bytes).await.expect("an answer")
}

/// The upstream that a box chooses while nothing speaks for another.
async fn favourite<'a>(scene: &'a Scene, gateway: &Gateway, path: &str) -> &'a Server {
    let before: Vec<usize> = scene.servers.iter().map(|server| server.arrived().len()).collect();
    send(gateway, path, &format!("{path}-favourite-{before:?}")).await;
    let mut servers = scene.servers.iter().zip(before);
    let found = servers.find(|(server, before)| server.arrived().len() > *before);
    found.expect("one got the request").0
}

/// Waits until a line has been logged so often.
async fn logged(gateway: &Gateway, line: &str, times: usize) {
    eventually(line, async || gateway.logged().matches(line).count() >= times).await;
}

/// Sends some requests; how many come to an upstream.
async fn come_to(scene: &Scene, gateway: &Gateway, path: &str, server: &Server) -> usize {
    let before = server.arrived().len();
    for number in 0..20 {
        let answer = send(gateway, path, &format!("{path}-{before}-{number}")).await;
        assert_eq!(answer.status(), 200, "{}", scene.gateway.logged());
    }
    server.arrived().len() - before
}

#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[tokio::test]
async fn leaving_heeded(#[case] path: &str) {
    let scene = scene(2).await;
    let leaver = favourite(&scene, &scene.gateway, path).await;
    leaver.then(&[Act::Leaving]);
    send(&scene.gateway, path, "told").await;
    assert_eq!(come_to(&scene, &scene.gateway, path, leaver).await, 0);
    // Its heartbeat says nothing of it, and its entry may lapse and come back.
    let mut written = entry("plain", &leaver.address, "ready");
    written["seq"] = json!(9);
    scene.site.enter(&leaver.id, &written);
    scene.site.leave(&leaver.id);
    logged(&scene.gateway, &format!("event=upstream_gone upstream={}", leaver.id), 1).await;
    scene.site.enter(&leaver.id, &written);
    logged(&scene.gateway, &format!("event=upstream_seen upstream={}", leaver.id), 2).await;
    assert_eq!(come_to(&scene, &scene.gateway, path, leaver).await, 0);
}

/// The other boxes hear of it, too.
#[tokio::test]
async fn leaving_told() {
    let mut scene = scene(1).await;
    let other = scene.site.gateway("north", &[&scene.gateway]);
    wait_ready(&other).await;
    scene.servers[0].then(&[Act::Leaving]);
    send(&scene.gateway, "/safe/", "told").await;
    eventually("the other box heeds it", async || {
        send(&other, "/safe/", "r-1").await.status() == 503
    })
    .await;
}

/// One that starts again under its id is another.
#[tokio::test]
async fn notices_end() {
    let scene = scene(1).await;
    let server = &scene.servers[0];
    server.then(&[Act::Leaving]);
    send(&scene.gateway, "/safe/", "told").await;
    assert_eq!(send(&scene.gateway, "/safe/", "r-1").await.status(), 503);
    let mut reborn = entry("plain", &server.address, "ready");
    reborn["born"] = json!(1_800_000_000_000_u64);
    scene.site.enter(&server.id, &reborn);
    eventually("it serves again", async || {
        send(&scene.gateway, "/safe/", "r-2").await.status() == 200
    })
    .await;
}

#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[tokio::test]
async fn rest_heeded(#[case] path: &str) {
    let scene = scene(2).await;
    let resting = favourite(&scene, &scene.gateway, path).await;
    resting.then(&[Act::Rest(REST)]);
    send(&scene.gateway, path, "told").await;
    let since = Instant::now();
    while since.elapsed() < REST.saturating_sub(REST_BEGINS) {
        assert_eq!(come_to(&scene, &scene.gateway, path, resting).await, 0);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    eventually("it gets requests again", async || {
        come_to(&scene, &scene.gateway, path, resting).await > 0
    })
    .await;
}

/// While all rest, requests are refused at once, with when to come back.
#[tokio::test]
async fn all_rest() {
    let scene = scene(2).await;
    for server in &scene.servers {
        server.then(&[Act::Rest(REST)]);
    }
    // A route of two attempts: the second upstream gets what the first has turned away.
    send(&scene.gateway, "/once/", "told").await;
    assert!(scene.servers.iter().all(|server| !server.arrived().is_empty()));
    let since = Instant::now();
    let before: usize = scene.servers.iter().map(|server| server.arrived().len()).sum();
    let mut sent = 0;
    while since.elapsed() < REST.saturating_sub(REST_BEGINS) {
        sent += 1;
        let answer = send(&scene.gateway, "/once/", &format!("r-{sent}")).await;
        assert_eq!(answer.status(), 503);
        let after_s: f64 = answer.header("retry-after").expect("a time").parse().expect("a number");
        let rest_left = REST.saturating_sub(since.elapsed()).as_secs_f64();
        assert!(after_s >= rest_left - 0.5, "{after_s} s, {rest_left} s left");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let arrived: usize = scene.servers.iter().map(|server| server.arrived().len()).sum();
    assert_eq!(arrived, before);
    let log = scene.gateway.logged();
    let held = log
        .lines()
        .filter(|line| line.contains("event=refused"))
        .filter_map(|line| line.rsplit_once("held_ms=")?.1.trim().parse::<u64>().ok());
    let mut held: Vec<u64> = held.collect();
    held.sort_unstable();
    assert!(held[held.len() / 2] < 50, "not held for the quarter of the objective: {held:?}");
    tokio::time::sleep(REST_BEGINS * 2).await;
    assert_eq!(send(&scene.gateway, "/once/", "last").await.status(), 200);
}

/// Other boxes leave one that rests alone as long as others serve.
#[tokio::test]
async fn rest_told() {
    let mut scene = scene(2).await;
    let other = scene.site.gateway("north", &[&scene.gateway]);
    wait_ready(&other).await;
    let resting = favourite(&scene, &other, "/safe/").await;
    let spare = scene.servers.iter().find(|server| server.id != resting.id).expect("two");
    // The first box has no other choice.
    scene.site.leave(&spare.id);
    logged(&scene.gateway, &format!("event=upstream_gone upstream={}", spare.id), 1).await;
    resting.then(&[Act::Rest(Duration::from_secs(20))]);
    send(&scene.gateway, "/safe/", "told").await;
    scene.site.enter(&spare.id, &entry("plain", &spare.address, "ready"));
    logged(&other, &format!("event=upstream_seen upstream={}", spare.id), 2).await;
    eventually("the other box heeds it", async || {
        come_to(&scene, &other, "/safe/", resting).await == 0
    })
    .await;
}

/// One that turns all away and names no time has the least load of all, and is tried seldom
/// all the same.
#[tokio::test]
async fn turned_away() {
    let scene = scene(2).await;
    let full = favourite(&scene, &scene.gateway, "/once/").await;
    full.then(&vec![Act::NotRun; 40]);
    let tried = come_to(&scene, &scene.gateway, "/once/", full).await;
    assert!((1..=4).contains(&tried), "{tried} of 20");
    full.then_nothing();
    eventually("it gets requests again", async || {
        come_to(&scene, &scene.gateway, "/once/", full).await > 0
    })
    .await;
}

/// Times that are none ask for nothing, and the longest rest is bounded.
#[rstest]
#[case("0.25", Some(250))]
#[case(" 3 ", Some(3000))]
#[case("0", Some(0))]
#[case("-1", Some(0))]
#[case("soon", None)]
#[case("NaN", None)]
#[case("1e999", None)]
#[case("Wed, 21 Oct 2026 07:28:00 GMT", None)]
fn times_read(#[case] text: &str, #[case] backoff_ms: Option<u64>) {
    let mut head = HeaderMap::new();
    head.insert("retry-after", text.parse().unwrap());
    let told = answer_head(StatusCode::SERVICE_UNAVAILABLE, &head);
    assert_eq!(told.notice, Notice { leaving: false, backoff_ms });
    let other = answer_head(StatusCode::INTERNAL_SERVER_ERROR, &head);
    assert!(other.notice.is_empty(), "it speaks of the request alone");
}

#[test]
fn longest_rest() {
    let asked =
        NoticeState::from_notice(1000, Notice { leaving: false, backoff_ms: Some(u64::MAX) });
    assert_eq!(asked.backoff_until_ms, 601_000);
    let nothing = NoticeState::from_notice(1000, Notice { leaving: false, backoff_ms: Some(0) });
    assert_eq!(nothing, NoticeState::default());
}
