//! Open connections that go silent: the other side lives and takes new ones, but
//! nothing moves on the old, and nothing says so.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Scene, scene};
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::{Server, WORK_HEADER};
use coursestile_standins::site::silencer::Silencer;
use coursestile_standins::site::{entry, eventually};
use futures_util::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// A path whose open connections are silenced passes nothing on them, shows a
/// probe no answer, and takes new ones.
#[tokio::test]
async fn path_silences() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("address");
    let target = listener.local_addr().expect("address").to_string();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                tokio::io::copy(&mut read, &mut write).await
            });
        }
    });
    let path = Silencer::start(&target).await;
    let mut old = TcpStream::connect(&path.address).await.expect("connection");
    assert!(echoes(&mut old).await);
    let limit = Some(Duration::from_millis(500));
    socket2::SockRef::from(&old).set_tcp_user_timeout(limit).expect("option");
    path.silence_open();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let since = Instant::now();
    assert!(!echoes(&mut old).await);
    // The system itself gives up: no byte was acknowledged.
    let ended = old.read(&mut [0; 1]).await;
    assert!(ended.is_err(), "{ended:?}");
    assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    let mut new = TcpStream::connect(&path.address).await.expect("connection");
    assert!(echoes(&mut new).await);
    assert_eq!(path.opened(), 2);
    path.reset_open();
    assert!(new.read(&mut [0; 1]).await.is_err());
}

async fn echoes(stream: &mut TcpStream) -> bool {
    stream.write_all(b"ping").await.expect("write");
    let mut answer = [0; 4];
    let read = timeout(Duration::from_millis(300), stream.read_exact(&mut answer));
    matches!(read.await, Ok(Ok(_)))
}

/// A scene whose upstreams are reached by paths that can be silenced.
struct Paths {
    scene: Scene,
    paths: Vec<Silencer>,
}

impl Paths {
    async fn start(upstreams: usize) -> Self {
        let scene = scene(0).await;
        Self::lead(scene, upstreams).await
    }

    async fn lead(mut scene: Scene, upstreams: usize) -> Self {
        let mut paths = Vec::new();
        for number in 0..upstreams {
            let server = Server::start(&format!("s-{number}")).await;
            let path = Silencer::start(&server.address).await;
            scene.site.enter(&server.id, &entry("plain", &path.address, "ready"));
            let seen = format!("upstream_seen upstream={}", server.id);
            eventually("it is known", async || scene.gateway.logged().contains(&seen)).await;
            scene.servers.push(server);
            paths.push(path);
        }
        Self { scene, paths }
    }

    /// Has some connections to each upstream open and idle.
    async fn warm(&self) {
        let requests = (0..4 * self.paths.len()).map(async |number| {
            let id = format!("w-{number}");
            self.send("GET", "/safe/", &id, "100").await
        });
        assert!(join_all(requests).await.iter().all(|status| *status == 200));
        assert!(self.paths.iter().all(|path| path.opened() > 1));
    }

    fn silence(&self) {
        for path in &self.paths {
            path.silence_open();
        }
    }

    async fn send(&self, method: &str, path: &str, id: &str, work_ms: &str) -> u16 {
        let extra = format!("{WORK_HEADER}: {work_ms}\r\n");
        let bytes = request(method, path, id, &extra, "");
        self.scene.raw(&bytes).await.expect("an answer").status()
    }
}

/// All connections to upstreams went silent at once. A request that may run only
/// once was lost on the first; the box then sent others on idle connections to the
/// other upstreams, which were as silent, though it had seen the first one's silence.
#[tokio::test]
async fn idle_suspected() {
    let paths = Paths::start(3).await;
    paths.warm().await;
    paths.silence();
    let lost = paths.send("POST", "/once/", "r-lost", "0");
    let later = async {
        // Long enough for the silence of the first to be seen, and less than the
        // time for which idle connections are kept.
        tokio::time::sleep(Duration::from_millis(1400)).await;
        let requests = (0..9).map(async |number| {
            let id = format!("r-{number}");
            paths.send("POST", "/once/", &id, "50").await
        });
        join_all(requests).await
    };
    let (lost, later) = tokio::join!(lost, later);
    assert_eq!(lost, 502, "it may have run");
    assert_eq!(later, [200; 9]);
}

/// A request that may run again met a silent connection. It was sent to another
/// upstream after 800 ms, on an idle connection that was silent too, and so on.
#[tokio::test]
async fn repeat_on_new() {
    let paths = Paths::start(3).await;
    paths.warm().await;
    paths.silence();
    let since = Instant::now();
    assert_eq!(paths.send("GET", "/safe/", "r-1", "0").await, 200);
    assert!(since.elapsed() < Duration::from_millis(1400), "{:?}", since.elapsed());
}

/// No request was under way when the connections went silent: the box finds out by
/// probes within two seconds, and what comes then goes by new ones.
#[tokio::test]
async fn probes_find_silence() {
    let paths = Paths::start(2).await;
    paths.warm().await;
    paths.silence();
    tokio::time::sleep(Duration::from_millis(2500)).await;
    let requests = (0..6).map(async |number| {
        let id = format!("r-{number}");
        paths.send("POST", "/once/", &id, "50").await
    });
    assert_eq!(join_all(requests).await, [200; 6]);
}

/// A caller's connection went silent while its request ran. Its place and the run at
/// the upstream were held until probes showed the silence.
#[tokio::test]
async fn silent_caller_freed() {
    let held = held_by_caller(Silencer::silence_open).await;
    assert!(held < Duration::from_millis(2500), "{held:?}");
}

/// A caller's connection was reset while its request ran.
#[tokio::test]
async fn reset_caller_freed() {
    let held = held_by_caller(Silencer::reset_open).await;
    assert!(held < Duration::from_millis(500), "{held:?}");
}

/// How long the connection to an upstream is held after a caller's connection met
/// with `fault`.
async fn held_by_caller(fault: fn(&Silencer)) -> Duration {
    let scene = scene(0).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("address");
    let address = listener.local_addr().expect("address").to_string();
    scene.site.enter("s-0", &entry("plain", &address, "ready"));
    let known = async || scene.gateway.logged().contains("upstream_seen upstream=s-0");
    eventually("it is known", known).await;
    let callers = Silencer::start(&scene.gateway.clients).await;
    let mut client = Client::connect(&callers.address).await;
    let patient = "X-Deadline-Ms: 20000\r\n";
    client.write(&request("POST", "/once/", "r-1", patient, "")).await;
    let (mut upstream, _) = listener.accept().await.expect("connection");
    let mut bytes = [0; 4096];
    assert!(upstream.read(&mut bytes).await.expect("request") > 0);
    fault(&callers);
    let since = Instant::now();
    // A read ends when the gateway closes.
    while upstream.read(&mut bytes).await.is_ok_and(|count| count > 0) {}
    since.elapsed()
}
