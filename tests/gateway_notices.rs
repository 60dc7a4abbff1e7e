//! Notices in the answers of upstreams are followed at once. An upstream announced in its answers
//! that it was leaving, and got seven more requests from the same box, because the metadata store
//! was silent. Another rejected requests and asked for none for three seconds, but got 23 in that
//! time, because it looked least loaded.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{GatewayFixture, start_fixture_on, wait_ready};
use coursestile::gateway::decisions::notice::{Notice, NoticeState};
use coursestile::platform::exchange::answer_head;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{Gateway, Site, eventually, service_entry};
use hyper::{HeaderMap, StatusCode};
use rstest::rstest;
use serde_json::json;

/// Time for which an upstream asks for no requests.
const BACKOFF: Duration = Duration::from_secs(3);
/// Time within which boxes must stop sending to it.
const BACKOFF_APPLY: Duration = Duration::from_millis(500);

async fn start_fixture(servers: usize) -> GatewayFixture {
    start_fixture_on(Site::start().await, servers).await
}

async fn send(gateway: &Gateway, path: &str, id: &str) -> Message {
    let bytes = request("POST", path, id, "", "");
    Client::connect(&gateway.clients).await.send(&bytes).await.expect("an answer")
}

/// The upstream that a box chooses while the upstreams are alike.
async fn preferred_upstream<'a>(
    fixture: &'a GatewayFixture,
    gateway: &Gateway,
    path: &str,
) -> &'a Server {
    let before: Vec<usize> = fixture.servers.iter().map(|server| server.received().len()).collect();
    send(gateway, path, &format!("{path}-favourite-{before:?}")).await;
    let mut servers = fixture.servers.iter().zip(before);
    let found = servers.find(|(server, before)| server.received().len() > *before);
    found.expect("an upstream got the request").0
}

/// Waits until `line` has been logged `times` times.
async fn wait_logged(gateway: &Gateway, line: &str, times: usize) {
    eventually(line, async || gateway.log_text().matches(line).count() >= times).await;
}

/// Sends 20 requests, which must succeed, and returns how many of them reach `server`.
async fn count_reaching(
    fixture: &GatewayFixture,
    gateway: &Gateway,
    path: &str,
    server: &Server,
) -> usize {
    let before = server.received().len();
    for number in 0..20 {
        let answer = send(gateway, path, &format!("{path}-{before}-{number}")).await;
        assert_eq!(answer.status(), 200, "{}", fixture.gateway.log_text());
    }
    server.received().len() - before
}

#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[tokio::test]
async fn leaving_heeded(#[case] path: &str) {
    let fixture = start_fixture(2).await;
    let leaving_upstream = preferred_upstream(&fixture, &fixture.gateway, path).await;
    leaving_upstream.script(&[Behavior::Leaving]);
    send(&fixture.gateway, path, "told").await;
    assert_eq!(count_reaching(&fixture, &fixture.gateway, path, leaving_upstream).await, 0);
    // Its heartbeats do not announce that it leaves, and its entry may expire and come back.
    let mut same_entry = service_entry("plain", &leaving_upstream.address, "ready");
    same_entry["seq"] = json!(9);
    fixture.site.register(&leaving_upstream.id, &same_entry);
    fixture.site.deregister(&leaving_upstream.id);
    wait_logged(
        &fixture.gateway,
        &format!("event=upstream_gone upstream={}", leaving_upstream.id),
        1,
    )
    .await;
    fixture.site.register(&leaving_upstream.id, &same_entry);
    wait_logged(
        &fixture.gateway,
        &format!("event=upstream_seen upstream={}", leaving_upstream.id),
        2,
    )
    .await;
    assert_eq!(count_reaching(&fixture, &fixture.gateway, path, leaving_upstream).await, 0);
}

/// Peers learn that an upstream leaves.
#[tokio::test]
async fn leaving_told() {
    let mut fixture = start_fixture(1).await;
    let peer = fixture.site.gateway("north", &[&fixture.gateway]);
    wait_ready(&peer).await;
    fixture.servers[0].script(&[Behavior::Leaving]);
    send(&fixture.gateway, "/safe/", "told").await;
    eventually("the peer avoids the upstream", async || {
        send(&peer, "/safe/", "r-1").await.status() == 503
    })
    .await;
}

/// An upstream that restarts under the same id is another incarnation, for which earlier notices do
/// not count.
#[tokio::test]
async fn notices_end() {
    let fixture = start_fixture(1).await;
    let server = &fixture.servers[0];
    server.script(&[Behavior::Leaving]);
    send(&fixture.gateway, "/safe/", "told").await;
    assert_eq!(send(&fixture.gateway, "/safe/", "r-1").await.status(), 503);
    let mut restarted = service_entry("plain", &server.address, "ready");
    restarted["born"] = json!(1_800_000_000_000_u64);
    fixture.site.register(&server.id, &restarted);
    eventually("the upstream serves again", async || {
        send(&fixture.gateway, "/safe/", "r-2").await.status() == 200
    })
    .await;
}

#[rstest]
#[case("/safe/")]
#[case("/once/")]
#[tokio::test]
async fn rest_heeded(#[case] path: &str) {
    let fixture = start_fixture(2).await;
    let backing_off = preferred_upstream(&fixture, &fixture.gateway, path).await;
    backing_off.script(&[Behavior::RetryAfter(BACKOFF)]);
    send(&fixture.gateway, path, "told").await;
    let since = Instant::now();
    while since.elapsed() < BACKOFF.saturating_sub(BACKOFF_APPLY) {
        assert_eq!(count_reaching(&fixture, &fixture.gateway, path, backing_off).await, 0);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    eventually("the upstream gets requests again", async || {
        count_reaching(&fixture, &fixture.gateway, path, backing_off).await > 0
    })
    .await;
}

/// While all upstreams ask for no requests, requests are refused at once, with the time after which
/// to retry.
#[tokio::test]
async fn all_rest() {
    let fixture = start_fixture(2).await;
    for server in &fixture.servers {
        server.script(&[Behavior::RetryAfter(BACKOFF)]);
    }
    // The route allows two attempts: the second upstream gets what the first one has rejected.
    send(&fixture.gateway, "/once/", "told").await;
    assert!(fixture.servers.iter().all(|server| !server.received().is_empty()));
    let since = Instant::now();
    let before: usize = fixture.servers.iter().map(|server| server.received().len()).sum();
    let mut sent = 0;
    while since.elapsed() < BACKOFF.saturating_sub(BACKOFF_APPLY) {
        sent += 1;
        let answer = send(&fixture.gateway, "/once/", &format!("r-{sent}")).await;
        assert_eq!(answer.status(), 503);
        let after_s: f64 = answer
            .header("retry-after")
            .expect("a Retry-After header")
            .parse()
            .expect("a number of seconds");
        let backoff_left = BACKOFF.saturating_sub(since.elapsed()).as_secs_f64();
        assert!(after_s >= backoff_left - 0.5, "{after_s} s, {backoff_left} s left");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let arrived: usize = fixture.servers.iter().map(|server| server.received().len()).sum();
    assert_eq!(arrived, before);
    let log = fixture.gateway.log_text();
    let held_ms = log
        .lines()
        .filter(|line| line.contains("event=refused"))
        .filter_map(|line| line.rsplit_once("held_ms=")?.1.trim().parse::<u64>().ok());
    let mut held_ms: Vec<u64> = held_ms.collect();
    held_ms.sort_unstable();
    assert!(
        held_ms[held_ms.len() / 2] < 50,
        "requests must not be held for a quarter of the objective: {held_ms:?}"
    );
    tokio::time::sleep(BACKOFF_APPLY * 2).await;
    assert_eq!(send(&fixture.gateway, "/once/", "last").await.status(), 200);
}

/// Peers, too, avoid an upstream that asks for no requests as long as others serve.
#[tokio::test]
async fn rest_told() {
    let mut fixture = start_fixture(2).await;
    let peer = fixture.site.gateway("north", &[&fixture.gateway]);
    wait_ready(&peer).await;
    let backing_off = preferred_upstream(&fixture, &peer, "/safe/").await;
    let other_upstream =
        fixture.servers.iter().find(|server| server.id != backing_off.id).expect("two");
    // Without this entry, the first box can only send to `backing_off`.
    fixture.site.deregister(&other_upstream.id);
    // The peer must have noticed that, too: it would not log the entry's return otherwise.
    for gateway in [&fixture.gateway, &peer] {
        let line = format!("event=upstream_gone upstream={}", other_upstream.id);
        wait_logged(gateway, &line, 1).await;
    }
    backing_off.script(&[Behavior::RetryAfter(Duration::from_secs(20))]);
    send(&fixture.gateway, "/safe/", "told").await;
    fixture
        .site
        .register(&other_upstream.id, &service_entry("plain", &other_upstream.address, "ready"));
    wait_logged(&peer, &format!("event=upstream_seen upstream={}", other_upstream.id), 2).await;
    eventually("the peer avoids the upstream", async || {
        count_reaching(&fixture, &peer, "/safe/", backing_off).await == 0
    })
    .await;
}

/// An upstream that rejects all requests without a `Retry-After` has the lowest load, and must
/// still be tried seldom.
#[tokio::test]
async fn turned_away() {
    let fixture = start_fixture(2).await;
    let refusing = preferred_upstream(&fixture, &fixture.gateway, "/once/").await;
    refusing.script(&vec![Behavior::NotRun; 40]);
    let tried = count_reaching(&fixture, &fixture.gateway, "/once/", refusing).await;
    assert!((1..=4).contains(&tried), "{tried} of 20");
    refusing.clear_script();
    eventually("the upstream gets requests again", async || {
        count_reaching(&fixture, &fixture.gateway, "/once/", refusing).await > 0
    })
    .await;
}

/// Invalid times are ignored, and the longest backoff is bounded.
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
    let unavailable = answer_head(StatusCode::SERVICE_UNAVAILABLE, &head);
    assert_eq!(unavailable.notice, Notice { leaving: false, backoff_ms });
    let server_error = answer_head(StatusCode::INTERNAL_SERVER_ERROR, &head);
    assert!(
        server_error.notice.is_empty(),
        "the header of a 500 answer says nothing about other requests"
    );
}

#[test]
fn longest_rest() {
    let long_backoff =
        NoticeState::from_notice(1000, Notice { leaving: false, backoff_ms: Some(u64::MAX) });
    assert_eq!(long_backoff.backoff_until_ms, 601_000);
    let no_backoff = NoticeState::from_notice(1000, Notice { leaving: false, backoff_ms: Some(0) });
    assert_eq!(no_backoff, NoticeState::default());
}
