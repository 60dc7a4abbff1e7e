//! Clients that read responses slowly or not at all, and upstreams that read requests so.

#[path = "common/site.rs"]
mod common;

use std::future::pending;
use std::time::{Duration, Instant};

use common::{GatewayFixture, start_fixture_on, wait_for_log};
use coursestile::gateway::decisions::slow_readers::{
    ACCOUNT_BYTES, BOX_BYTES, BufferedBytes, CONNECTION_BYTES, UNBOUNDED_BYTES, Wait,
};
use coursestile_standins::site::client::request;
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{Gateway, Site, config_document, service_entry};
use futures_util::future::join_all;
use rstest::rstest;
use serde_json::{Value, json};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

/// What the settings name.
const SLOW_READERS: Option<&str> = Some("pressure");
/// Clients that read slowly, bytes that they read at a time, and the pause after them.
const SLOW_CLIENTS: u32 = 300;
const SLOW_READ_BYTES: usize = 250;
const SLOW_READ_PAUSE: Duration = Duration::from_millis(250);
/// Time in which they connect, one after another.
const SLOW_START: Duration = Duration::from_secs(1);
/// Length of the bodies that they ask for.
const LARGE_BODY_BYTES: usize = 1 << 20;
/// Memory that a small box has, and a client's receive buffer.
const BOX_MEMORY_KB: u64 = 110 * 1024;
const RECEIVE_BUFFER_BYTES: u32 = 4096;
/// Time within which an upstream cuts off a response that stays unread.
const UPSTREAM_CUTS_AFTER: Duration = Duration::from_secs(3);
/// Time that other requests take at the upstream, and how many are sent in turn.
const WORK_MS: u64 = 50;
const OTHER_REQUESTS: usize = 30;

/// The configuration with a service `other`, whose requests take [`WORK_MS`], long request bodies
/// and an account for slow readers, on whose route responses may take 15 s.
fn document() -> Value {
    let mut document = config_document(8);
    for (route, name, service) in [(0, "other", "other"), (0, "long", "plain")] {
        let mut route = document["routes"][route].clone();
        route["name"] = json!(name);
        route["path_prefix"] = json!(format!("/{name}/"));
        route["service"] = json!(service);
        route["timeout_ms"] = json!(15_000);
        document["routes"].as_array_mut().expect("routes").push(route);
    }
    let mut other = document["services"][0].clone();
    other["name"] = json!("other");
    document["services"].as_array_mut().expect("services").push(other);
    document["services"][0]["max_conns"] = json!(2 * SLOW_CLIENTS);
    document["limits"]["max_body_bytes"] = json!(16 << 20);
    let slow = json!({ "name": "slow", "api_keys": ["key-2"], "priority": 1 });
    document["tenants"].as_array_mut().expect("tenants").push(slow);
    document
}

/// A site with a box and `servers` upstreams, whose settings name `slow_readers`.
async fn start(servers: usize, slow_readers: Option<&'static str>) -> GatewayFixture {
    let mut site = Site::start().await;
    site.slow_readers = slow_readers;
    let fixture = start_fixture_on(site, servers).await;
    fixture.site.configure(&document());
    wait_for_log(&fixture, "event=configuration_in_force version=8").await;
    fixture
}

/// Asks for a response as a client that buffers hardly anything itself.
async fn ask(gateway: &Gateway, id: &str) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a size");
    let address = gateway.clients.parse().expect("an address");
    let mut stream = socket.connect(address).await.expect("a connection");
    let request = String::from_utf8(request("GET", "/long/", id, "", "")).expect("text");
    let request = request.replace("key-1", "key-2").replace("Ms: 3000", "Ms: 15000");
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// Reads slowly until `until` or the end.
async fn read_slowly(gateway: &Gateway, number: u32, until: Instant) {
    // Clients read at moments of their own.
    sleep(SLOW_START / SLOW_CLIENTS * number).await;
    let mut stream = ask(gateway, &format!("r-slow-{number}")).await;
    let mut piece = [0; SLOW_READ_BYTES];
    while Instant::now() < until && stream.read(&mut piece).await.is_ok_and(|read| read > 0) {
        sleep(SLOW_READ_PAUSE).await;
    }
}

/// Sends requests in turn; returns how many were served, and the mean time that they took.
async fn send_others(fixture: &GatewayFixture, name: &str) -> (usize, Duration) {
    let (since, mut served) = (Instant::now(), 0);
    for number in 0..OTHER_REQUESTS {
        let work = format!("X-Work-Ms: {WORK_MS}\r\n");
        let answer = fixture.send_with("/other/", &format!("r-{name}-{number}"), &work, "").await;
        served += usize::from(answer.status() == 200);
    }
    (served, since.elapsed() / u32::try_from(OTHER_REQUESTS).expect("few"))
}

/// The most memory that the process of a box has held.
fn peak_memory_kb(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.pid()));
    let status = status.expect("the box runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM")).expect("peak");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

/// What the system holds of a box's data in queues of sockets: sent to clients and not acknowledged,
/// and received from upstreams and not read.
fn socket_memory_kb(clients: &str, upstream: &str) -> u64 {
    let port =
        |address: &str| address.rsplit_once(':').expect("a port").1.parse::<u16>().expect("u16");
    let octets = clients.split_once(':').expect("a port").0.split('.');
    let listening = octets.rev().fold(String::new(), |text, octet| {
        text + &format!("{:02X}", octet.parse::<u8>().expect("an octet"))
    }) + &format!(":{:04X}", port(clients));
    let upstream = format!(":{:04X}", port(upstream));
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
    let queues = table.lines().filter_map(|line| {
        let columns: Vec<_> = line.split_whitespace().collect();
        let (unacknowledged, unread) = columns.get(4)?.split_once(':')?;
        let held = if columns[1] == listening {
            unacknowledged
        } else if columns[2].ends_with(&upstream) {
            unread
        } else {
            return None;
        };
        u64::from_str_radix(held, 16).ok()
    });
    queues.sum::<u64>() / 1024
}

/// Responses kept for slow clients took the memory of the box, and others were not served meanwhile.
#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn slow_clients() {
    let fixture = start(1, SLOW_READERS).await;
    let other = Server::start("other").await;
    fixture.site.register("other", &service_entry("other", &other.address, "ready"));
    let slow_server = &fixture.servers[0];
    slow_server.script(&vec![Behavior::LargeBody(LARGE_BODY_BYTES); 300]);
    wait_for_log(&fixture, "event=upstream_seen upstream=other").await;
    let before_kb = peak_memory_kb(&fixture.gateway);
    let (served_before, before) = send_others(&fixture, "before").await;
    let until = Instant::now() + Duration::from_secs(6);
    let slow =
        join_all((0..SLOW_CLIENTS).map(|number| read_slowly(&fixture.gateway, number, until)));
    let (clients, upstream) = (fixture.gateway.clients.clone(), slow_server.address.clone());
    // Reading the table takes long, so a thread of its own does.
    let sockets = std::thread::spawn(move || {
        let mut most_kb = 0;
        while Instant::now() < until {
            most_kb = most_kb.max(socket_memory_kb(&clients, &upstream));
            std::thread::sleep(Duration::from_millis(200));
        }
        most_kb
    });
    let others = async {
        sleep(SLOW_START).await;
        send_others(&fixture, "beside").await
    };
    let (_, (served, beside)) = tokio::join!(slow, others);
    let sockets_kb = sockets.join().expect("the measurement");
    let memory_kb = peak_memory_kb(&fixture.gateway);
    println!(
        "{before_kb} to {memory_kb} KB and {sockets_kb} KB in sockets; {beside:?}, {before:?} before"
    );
    assert!(memory_kb + sockets_kb < BOX_MEMORY_KB, "{memory_kb} KB, {sockets_kb} KB in sockets");
    assert_eq!((served_before, served), (OTHER_REQUESTS, OTHER_REQUESTS));
    assert!(beside < before.mul_f64(1.1), "{beside:?}, {before:?} before");
}

/// A client that read hardly anything more kept an upstream busy until that cut the response off.
/// Without the key the system alone ends it.
#[rstest]
#[case::stops(SLOW_READERS, None)]
#[case::trickles(SLOW_READERS, Some(Duration::from_millis(100)))]
#[case::without_key(None, Some(Duration::from_millis(100)))]
#[tokio::test]
async fn reads_too_little(
    #[case] slow_readers: Option<&'static str>,
    #[case] read_pause: Option<Duration>,
) {
    let fixture = start(1, slow_readers).await;
    let server = &fixture.servers[0];
    server.script(&[Behavior::LargeBody(64 * LARGE_BODY_BYTES)]);
    let mut stream = ask(&fixture.gateway, "r-1").await;
    let mut piece = [0; 200];
    stream.read_exact(&mut piece).await.expect("the start of the response");
    let until = Instant::now() + UPSTREAM_CUTS_AFTER;
    while server.running() > 0 && Instant::now() < until {
        sleep(read_pause.unwrap_or(Duration::from_millis(10))).await;
        if read_pause.is_some() {
            let _ = stream.read(&mut piece).await;
        }
    }
    let is_aborted = slow_readers.is_some();
    assert_eq!(fixture.gateway.log_text().contains("slow_reader_aborted request=r-1"), is_aborted);
    if is_aborted {
        assert_eq!(server.running(), 0);
        let error = stream.read_to_end(&mut Vec::new()).await.expect_err("the connection is reset");
        assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
    }
}

/// A response that fits kept its upstream busy until the client had read it.
#[tokio::test]
async fn read_ahead() {
    let fixture = start(1, SLOW_READERS).await;
    let server = &fixture.servers[0];
    server.script(&[Behavior::LargeBody(LARGE_BODY_BYTES / 5)]);
    let mut stream = ask(&fixture.gateway, "r-1").await;
    wait_for_log(&fixture, "event=answered request=r-1").await;
    sleep(UPSTREAM_CUTS_AFTER).await;
    let mut response = vec![0; LARGE_BODY_BYTES / 5];
    stream.read_exact(&mut response).await.expect("the whole response");
}

/// A box whose only upstream accepts connections and reads nothing.
async fn start_unread() -> GatewayFixture {
    let fixture = start(1, SLOW_READERS).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("an address");
    SockRef::from(&listener).set_recv_buffer_size(4096).expect("a size");
    let address = listener.local_addr().expect("an address").to_string();
    tokio::spawn(async move {
        let _listener = listener;
        pending::<()>().await;
    });
    fixture.site.register("unread", &service_entry("plain", &address, "ready"));
    fixture.site.deregister(&fixture.servers[0].id);
    wait_for_log(&fixture, "event=upstream_gone").await;
    fixture
}

/// An upstream that read a request's body slowly kept its client waiting.
#[tokio::test]
async fn unread_request() {
    let fixture = start_unread().await;
    let body = "x".repeat(8 << 20);
    let since = Instant::now();
    let answer = fixture.send_with("/once/", "r-1", "", &body).await;
    println!("{} after {:?}", answer.status(), since.elapsed());
    assert_eq!(answer.status(), 502);
    assert!(since.elapsed() < Duration::from_millis(1800), "{:?}", since.elapsed());
}

/// One connection, or one account, took all that is read ahead, and those that read got nothing.
#[test]
fn bounds_kept() {
    let mut buffered = BufferedBytes::default();
    assert!(buffered.may_read(1, CONNECTION_BYTES - 1));
    assert!(!buffered.may_read(1, CONNECTION_BYTES));
    buffered.add(1, ACCOUNT_BYTES);
    assert!(!buffered.may_read(1, UNBOUNDED_BYTES) && buffered.may_read(1, UNBOUNDED_BYTES - 1));
    assert!(buffered.may_read(2, UNBOUNDED_BYTES));
    buffered.add(3, BOX_BYTES - ACCOUNT_BYTES);
    assert!(!buffered.may_read(2, UNBOUNDED_BYTES) && buffered.may_read(2, 0));
    buffered.remove(3, BOX_BYTES - ACCOUNT_BYTES);
    buffered.remove(1, 1);
    assert!(buffered.may_read(1, UNBOUNDED_BYTES));
}

/// Clients that accept a few bytes now and then held their upstreams for as long as they liked.
#[rstest]
#[case::nothing_accepted(Wait { stopped_at_ms: 1000, ..Wait::default() }, 2500)]
#[case::accepted(Wait { stopped_at_ms: 1000, accepted_at_ms: 1200, ..Wait::default() }, 2700)]
#[case::few(Wait { stopped_at_ms: 1000, accepted_at_ms: 2400, ..Wait::default() }, 3000)]
#[case::in_all(
    Wait { stopped_at_ms: 5000, waited_ms: 3000, accepted_at_ms: 4900, accepted_bytes: 64_000 },
    6000
)]
#[case::reads(
    Wait { stopped_at_ms: 9000, waited_ms: 4000, accepted_at_ms: 9900, accepted_bytes: 320_000 },
    11_000
)]
fn aborted_at(#[case] wait: Wait, #[case] expected_ms: u64) {
    assert_eq!(wait.abort_at_ms(), expected_ms);
}

/// Bodies of requests that their upstreams did not read took the memory of the box.
#[tokio::test]
async fn unread_requests_bounded() {
    let fixture = start_unread().await;
    let body = "x".repeat(LARGE_BODY_BYTES);
    let requests = (0..12).map(|number| {
        let (fixture, body) = (&fixture, &body);
        async move { fixture.send_with("/once/", &format!("r-{number}"), "", body).await }
    });
    let answers = join_all(requests).await;
    let not_run = answers.iter().filter(|answer| answer.status() == 503);
    assert!(not_run.clone().all(|answer| answer.header("retry-after").is_some()));
    let held_at_once = ACCOUNT_BYTES / LARGE_BODY_BYTES;
    println!("{} refused", not_run.clone().count());
    assert!(not_run.count() >= answers.len() - 2 * held_at_once);
}
