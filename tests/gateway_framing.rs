//! Answers without a length or chunks: a stream that its upstream broke off by closing the
//! connection reached its client with a last chunk, as a complete one.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::{GatewayFixture, start_fixture, start_fixture_on, wait_for_log, wait_ready};
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::http::Message;
use coursestile_standins::site::server::{Behavior, ConnectionEnd, Sent, Server, events_text};
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use rstest::rstest;
use serde_json::json;

/// Time in which boxes that have started hear from each other.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(700);

/// Fixture in which every upstream handles its first request in this way.
async fn start_fixture_with(servers: usize, sent: Sent, end: ConnectionEnd) -> GatewayFixture {
    let fixture = start_fixture(servers).await;
    for server in &fixture.servers {
        server.script(&[Behavior::CloseDelimited(sent, end)]);
    }
    fixture
}

/// Fixture with an upstream that handles its first request in this way, and a sound one in another
/// hall, which gets the requests that are sent again.
async fn start_pair_with(sent: Sent, end: ConnectionEnd) -> GatewayFixture {
    let mut fixture = start_fixture_with(1, sent, end).await;
    let sound = Server::start("s-sound").await;
    let mut entry = service_entry("plain", &sound.address, "ready");
    entry["zone"] = json!("south");
    fixture.site.register(&sound.id, &entry);
    fixture.servers.push(sound);
    wait_for_log(&fixture, "upstream=s-sound").await;
    fixture
}

/// A complete answer with a status of success.
fn is_success(answer: &Message) -> bool {
    answer.complete && answer.status() == 200
}

#[tokio::test]
async fn broken_stream_complete() {
    let fixture = start_fixture_with(2, Sent::Half, ConnectionEnd::Close).await;
    let answer = fixture.send("POST", "/stream/", "r-1").await;
    assert!(!is_success(&answer), "it ends within an event: {}", answer.text());
    assert_eq!(fixture.arrival_count("r-1"), 1);
}

/// A stream that may be resumed goes on elsewhere, whichever way its connection ended.
#[rstest]
#[case(ConnectionEnd::Close)]
#[case(ConnectionEnd::Reset)]
#[tokio::test]
async fn broken_stream_resumed(#[case] end: ConnectionEnd) {
    let fixture = start_pair_with(Sent::Half, end).await;
    let answer = fixture.send("POST", "/resume/", "r-1").await;
    assert!(is_success(&answer));
    assert_eq!(answer.text(), events_text("r-1", 0));
    assert_eq!(fixture.arrival_count("r-1"), 2);
}

/// A whole answer is delivered, and its request is not repeated.
#[rstest]
#[tokio::test]
async fn whole_delivered(#[values("/safe/", "/once/", "/stream/", "/resume/")] path: &str) {
    let fixture = start_fixture_with(2, Sent::Whole, ConnectionEnd::Close).await;
    let answer = fixture.send("POST", path, "r-1").await;
    assert!(is_success(&answer));
    assert!(answer.text().ends_with(if path.len() > 6 { "r-1\n\n" } else { "r-1: " }));
    assert_eq!(fixture.arrival_count("r-1"), 1);
}

/// A reset breaks off an answer, also between two events.
#[rstest]
#[case::stream("/stream/", Sent::Events(2))]
#[case::large_body("/once/", Sent::HalfOf(1 << 20))]
#[tokio::test]
async fn reset_incomplete(#[case] path: &str, #[case] sent: Sent) {
    let fixture = start_fixture_with(2, sent, ConnectionEnd::Reset).await;
    let answer = fixture.send("POST", path, "r-1").await;
    assert!(!is_success(&answer));
    assert_eq!(fixture.arrival_count("r-1"), 1);
}

/// An answer that has not been forwarded yet is repeated or failed.
#[rstest]
#[case("/safe/", 200, 2)]
#[case("/once/", 502, 1)]
#[tokio::test]
async fn reset_unforwarded(#[case] path: &str, #[case] status: u16, #[case] attempts: usize) {
    let fixture = start_pair_with(Sent::Half, ConnectionEnd::Reset).await;
    let answer = fixture.send("POST", path, "r-1").await;
    assert_eq!((answer.status(), fixture.arrival_count("r-1")), (status, attempts));
}

/// A client got a length or a last chunk for an end that the upstream had not marked: an answer that
/// was cut without a trace in its bytes was vouched for.
#[rstest]
#[case::body("/safe/", Sent::Half)]
#[case::large_body("/once/", Sent::HalfOf(1 << 20))]
#[case::stream("/stream/", Sent::Events(2))]
#[case::resumable_stream("/resume/", Sent::Events(2))]
#[tokio::test]
async fn end_vouched_for(#[case] path: &str, #[case] sent: Sent) {
    let fixture = start_fixture_with(2, sent, ConnectionEnd::Close).await;
    let answer = fixture.send("POST", path, "r-1").await;
    assert_eq!(answer.status(), 200);
    assert!(answer.is_close_delimited());
    assert!(answer.complete);
}

/// A box that is killed during such an answer leaves its client with a reset, not with an end.
#[tokio::test]
async fn box_killed() {
    let fixture = start_fixture_with(1, Sent::Events(2), ConnectionEnd::CloseLater).await;
    let mut client = Client::connect(&fixture.gateway.clients).await;
    client.write(&request("POST", "/stream/", "r-1", "", "")).await;
    wait_for_log(&fixture, "event=begun request=r-1").await;
    fixture.gateway.signal("-KILL");
    let answer = client.read().await;
    assert!(answer.is_none_or(|answer| !answer.complete));
}

/// A length that an upstream named beside its chunks was forwarded, so that the client took a part of the
/// body for the whole, and the rest for its next answer.
#[rstest]
#[tokio::test]
async fn length_beside_chunks(
    #[values("/safe/", "/once/", "/stream/", "/resume/")] path: &str,
    #[values(5, 5000)] named: usize,
) {
    let fixture = start_fixture(1).await;
    fixture.servers[0].script(&[Behavior::ChunkedWithLength(named)]);
    let mut client = Client::connect(&fixture.gateway.clients).await;
    let first = client.send(&request("POST", path, "r-1", "", "")).await.expect("an answer");
    assert!(is_success(&first));
    let whole = if path.len() > 6 { events_text("r-1", 0) } else { "answer to r-1: ".to_owned() };
    assert_eq!(first.text(), whole);
    let second = client.send(&request("POST", path, "r-2", "", "")).await.expect("an answer");
    assert_eq!(second.header("x-request-id"), Some("r-2"));
}

/// A client of HTTP/1.0 takes no chunks; a break resets its connection.
#[rstest]
#[case(Sent::Half, false)]
#[case(Sent::Whole, true)]
#[tokio::test]
async fn old_client(#[case] sent: Sent, #[case] complete: bool) {
    let fixture = start_fixture_with(1, sent, ConnectionEnd::Close).await;
    let bytes = String::from_utf8(request("POST", "/stream/", "r-1", "", "")).unwrap();
    let answer = fixture.send_raw(bytes.replace("HTTP/1.1", "HTTP/1.0").as_bytes()).await.unwrap();
    assert!(answer.is_close_delimited());
    assert_eq!(answer.complete, complete);
}

/// A crash closes the connections of an upstream. What it cut off there was taken for complete.
#[rstest]
#[case::failed("/once/", Sent::Half, Some(502))]
#[case::large_body("/once/", Sent::HalfOf(1 << 20), None)]
#[case::stream("/stream/", Sent::Events(2), None)]
#[tokio::test]
async fn crash_taken_for_end(#[case] path: &str, #[case] sent: Sent, #[case] status: Option<u16>) {
    let fixture = start_pair_with(sent, ConnectionEnd::Crash).await;
    let answer = fixture.send("POST", path, "r-1").await;
    assert_eq!(answer.complete.then(|| answer.status()), status);
}

/// All upstreams of a hall crashed at the same moment. No box reached another one there, so that each
/// took its own links for cut, and what it had received for complete.
#[rstest]
#[case::boxes_of_the_hall("north")]
#[case::boxes_of_another_hall("east")]
#[tokio::test]
async fn hall_crash_taken_for_end(#[case] box_hall: &str) {
    let mut site = Site::start().await;
    let mut servers = Vec::new();
    for (number, hall) in ["north", "north", "north", "south", "south"].into_iter().enumerate() {
        let server = Server::start(&format!("s-{number}")).await;
        let mut entry = service_entry("plain", &server.address, "ready");
        entry["zone"] = json!(hall);
        site.register(&server.id, &entry);
        server
            .script(&vec![Behavior::CloseDelimited(Sent::Events(2), ConnectionEnd::CloseLater); 6]);
        servers.push(server);
    }
    site.configure(&config_document(7));
    let first = site.gateway(box_hall, &[]);
    let boxes = [site.gateway(box_hall, &[&first]), first];
    for gateway in &boxes {
        wait_ready(gateway).await;
    }
    tokio::time::sleep(ACQUAINTANCE_TIME).await;
    let mut clients = Vec::new();
    for number in 0..6 {
        let (id, gateway) = (format!("r-{number}"), &boxes[number % 2]);
        let mut client = Client::connect(&gateway.clients).await;
        client.write(&request("POST", "/stream/", &id, "", "")).await;
        let begun = format!("event=begun request={id} ");
        eventually("the stream runs", async || gateway.log_text().contains(&begun)).await;
        clients.push((id, client));
    }
    for server in &servers[..3] {
        server.crash();
    }
    let mut broken = 0;
    for (id, mut client) in clients {
        if servers[..3].iter().any(|server| server.has_received(&id)) {
            broken += 1;
            let answer = client.read().await;
            let logs = boxes.each_ref().map(Gateway::log_text).concat();
            let checks: Vec<&str> =
                logs.lines().filter(|line| line.contains("end_not_confirmed")).collect();
            assert!(
                answer.is_none_or(|answer| !answer.complete),
                "{id} looks complete; the boxes logged {checks:#?}"
            );
        }
    }
    assert!(broken > 0, "no stream ran in the hall");
}

/// After a crash, what may run again does so.
#[rstest]
#[case("/safe/", Sent::Half, "answer to r-1: ".to_owned())]
#[case("/resume/", Sent::Events(2), events_text("r-1", 0))]
#[tokio::test]
async fn crash_made_up_for(#[case] path: &str, #[case] sent: Sent, #[case] text: String) {
    let fixture = start_pair_with(sent, ConnectionEnd::Crash).await;
    let answer = fixture.send("POST", path, "r-1").await;
    assert!(is_success(&answer));
    assert_eq!(answer.text(), text);
}

/// An upstream that leaves may end right after its last answer, which stays one, once it has served for as
/// long as it has to.
#[tokio::test]
async fn left_after_answer() {
    let mut site = Site::start().await;
    site.departure_apply_ms = 200;
    let fixture = start_fixture_on(site, 1).await;
    fixture.servers[0].script(&[Behavior::CloseDelimited(Sent::Whole, ConnectionEnd::Crash)]);
    let mut client = Client::connect(&fixture.gateway.clients).await;
    client.write(&request("POST", "/once/", "r-1", "X-Work-Ms: 800\r\n", "")).await;
    wait_for_log(&fixture, "event=routed request=r-1").await;
    let entry = service_entry("plain", &fixture.servers[0].address, "draining");
    fixture.site.register(&fixture.servers[0].id, &entry);
    wait_for_log(&fixture, "leaving=true").await;
    let answer = client.read().await.expect("an answer");
    assert_eq!((answer.status(), answer.text().as_str()), (200, "answer to r-1: "));
}

/// The end of an upstream that was about to leave cut its answer off, which counted as complete. A whole
/// one is not affected.
#[rstest]
#[case::body("/safe/", Sent::Half)]
#[case::stream("/resume/", Sent::Events(2))]
#[case::whole_stream("/resume/", Sent::Whole)]
#[tokio::test]
async fn cut_off_by_departure(#[case] path: &str, #[case] sent: Sent) {
    let fixture = start_pair_with(sent, ConnectionEnd::Crash).await;
    let mut client = Client::connect(&fixture.gateway.clients).await;
    client.write(&request("POST", path, "r-1", "X-Work-Ms: 800\r\n", "")).await;
    wait_for_log(&fixture, "event=routed request=r-1").await;
    let entry = service_entry("plain", &fixture.servers[0].address, "draining");
    fixture.site.register(&fixture.servers[0].id, &entry);
    wait_for_log(&fixture, "leaving=true").await;
    let answer = client.read().await.expect("an answer");
    let whole = if path == "/safe/" { "answer to r-1: ".to_owned() } else { events_text("r-1", 0) };
    assert!(is_success(&answer));
    assert_eq!(answer.text(), whole);
}

/// A request that crashes upstreams in the middle of such an answer was recorded as answered, and
/// crashed one upstream after the other.
#[rstest]
#[case("/safe/", Sent::Half)]
#[case("/once/", Sent::HalfOf(1 << 20))]
#[case("/stream/", Sent::Events(2))]
#[tokio::test]
async fn crash_recorded_as_answer(
    #[case] path: &str,
    #[case] sent: Sent,
    #[values(0, 100)] port_delay_ms: u64,
) {
    let fixture = start_fixture_with(6, sent, ConnectionEnd::Crash).await;
    for server in &fixture.servers {
        server.close_port_after(Duration::from_millis(port_delay_ms));
    }
    for number in 0..12 {
        fixture.send_raw(&request("POST", path, &format!("r-{number}"), "", "deadly")).await;
        // A box learns of a crash when the port is closed.
        tokio::time::sleep(Duration::from_millis(3 * port_delay_ms)).await;
    }
    let crashed = fixture.servers.iter().filter(|server| server.has_crashed()).count();
    assert_eq!(crashed, 3);
}
