//! Which upstreams requests are routed to, and what of them is forwarded.

#[path = "common/site.rs"]
mod common;

use common::start_fixture;
use coursestile_standins::site::Site;
use coursestile_standins::site::client::{request, request_once};

#[tokio::test]
async fn passed_whole() {
    let fixture = start_fixture(1).await;
    let extra = "X-Tenant: thief\r\nPriority: 0\r\nHold: 7\r\nKv-From: 1.2.3.4:5/6\r\n\
                 Kv-Backup: 1.2.3.4:5\r\nPin-Ms: 9\r\nX-Own: kept\r\nConnection: x-hop\r\nX-Hop: 1\r\n";
    let answer = fixture.send_with("/safe/a/b?c=d", "r-1", extra, "the body").await;
    assert_eq!((answer.status(), answer.text().as_str()), (200, "answer to r-1: the body"));
    assert_eq!(answer.header("x-server-seal"), Some("seal-r-1"));
    let arrived = fixture.first_arrival("r-1");
    assert_eq!(arrived.start_line, "POST /safe/a/b?c=d HTTP/1.1");
    assert_eq!(arrived.text(), "the body");
    assert_eq!(arrived.header("x-own"), Some("kept"));
    assert_eq!(arrived.header("x-tenant"), Some("petra"));
    assert_eq!(arrived.header("x-target-instance"), Some("s-0"));
    assert_eq!(arrived.header("priority"), Some("1"));
    let remaining_ms: u64 = arrived.header("x-deadline-ms").unwrap().parse().unwrap();
    assert!(remaining_ms <= 3000);
    for dropped in ["x-api-key", "hold", "kv-from", "kv-backup", "pin-ms", "x-hop"] {
        assert_eq!(arrived.header(dropped), None, "{dropped}");
    }
}

#[tokio::test]
async fn nowhere_or_unknown() {
    let fixture = start_fixture(1).await;
    assert_eq!(fixture.send("GET", "/other/", "r-1").await.status(), 404);
    let bytes = request("GET", "/safe/", "r-2", "", "");
    let unknown_key_request = String::from_utf8(bytes).unwrap().replace("key-1", "key-9");
    assert_eq!(fixture.send_raw(unknown_key_request.as_bytes()).await.unwrap().status(), 401);
    assert_eq!(fixture.arrival_count("r-1") + fixture.arrival_count("r-2"), 0);
}

#[tokio::test]
async fn nothing_known() {
    let mut site = Site::start().await;
    let gateway = site.gateway("north", &[]);
    coursestile_standins::site::eventually("the gateway listens", async || {
        tokio::net::TcpStream::connect(&gateway.clients).await.is_ok()
    })
    .await;
    let answer = request_once(&gateway.clients, "GET", "/safe/", "r-1").await.unwrap();
    assert_eq!(answer.status(), 503);
    assert!(answer.header("retry-after").is_some());
    assert!(!common::is_ready(&gateway).await);
}

#[tokio::test]
async fn repeated_elsewhere() {
    use coursestile_standins::site::server::Behavior;
    let fixture = start_fixture(3).await;
    for server in &fixture.servers {
        server.script(&[Behavior::Close]);
    }
    // Three attempts are allowed, and the first connection to each upstream is closed.
    let answer = fixture.send("GET", "/safe/", "r-1").await;
    assert_eq!((fixture.arrival_count("r-1"), answer.status()), (3, 502));
    let answer = fixture.send("GET", "/safe/", "r-2").await;
    assert_eq!((fixture.arrival_count("r-2"), answer.status()), (1, 200));
}

/// Without retry budget, the client gets the upstream's own answer.
#[tokio::test]
async fn failure_unrepeated() {
    use coursestile_standins::site::server::Behavior;
    let mut site = Site::start().await;
    site.retry_extra = 0;
    let fixture = common::start_fixture_on(site, 2).await;
    for server in &fixture.servers {
        server.script(&[Behavior::Status(500)]);
    }
    let answer = fixture.send("GET", "/safe/", "r-1").await;
    assert_eq!((answer.status(), answer.header("x-server-seal")), (500, Some("seal-r-1")));
    assert_eq!(fixture.arrival_count("r-1"), 1);
}

#[tokio::test]
async fn long_answers() {
    use coursestile_standins::site::server::Behavior;
    let fixture = start_fixture(1).await;
    for (path, id) in [("/once/", "r-1"), ("/safe/", "r-2")] {
        fixture.servers[0].script(&[Behavior::LargeBody(700_000)]);
        let answer = fixture.send("POST", path, id).await;
        assert_eq!((answer.status(), answer.complete, answer.body.len()), (200, true, 700_000));
        assert_eq!(fixture.arrival_count(id), 1);
    }
    fixture.servers[0].script(&[Behavior::TruncatedLargeBody(700_000)]);
    let answer = fixture.send("POST", "/once/", "r-3").await;
    assert!(
        answer.status() == 200 && !answer.complete,
        "a truncated answer must not look complete"
    );
}

#[tokio::test]
async fn own_failure_kept() {
    use coursestile_standins::site::server::Behavior;
    let fixture = start_fixture(1).await;
    fixture.servers[0].script(&[Behavior::Status(500)]);
    let answer = fixture.send("POST", "/once/", "r-1").await;
    assert_eq!(answer.status(), 500);
    assert_eq!(answer.header("x-server-seal"), Some("seal-r-1"));
}
