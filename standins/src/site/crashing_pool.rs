//! Upstreams that crash when they begin to write an answer to a prompt with a certain part, and are
//! soon replaced by others with new ids.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use super::http::Message;
use super::server::{Behavior, Server};
use super::{Site, service_entry};

/// How an upstream crashes under a part of a prompt.
#[derive(Clone, Debug)]
pub struct PartCrash {
    /// Id of the part, anywhere in the prompt.
    pub part: String,
    /// Events that it writes before.
    pub events: u32,
    /// How the end of its body would be marked.
    pub framing: PartialFraming,
    /// Time from the last of them to the crash.
    pub after: Duration,
}

/// How the end of a body would be marked that is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartialFraming {
    Chunks,
    Length,
    CloseDelimited,
}

impl PartCrash {
    /// Crashes after `after`, before any event.
    #[must_use]
    pub fn new(part: &str, after: Duration) -> Self {
        Self { part: part.to_owned(), events: 0, framing: PartialFraming::Chunks, after }
    }

    /// Whether a request's prompt has the part.
    #[must_use]
    pub fn concerns(&self, request: &Message) -> bool {
        has_part(request, &self.part)
    }
}

/// Whether a request's prompt has a part.
#[must_use]
pub fn has_part(request: &Message, part: &str) -> bool {
    let parts = request.header("x-prefix-hash").unwrap_or_default();
    parts.split(',').any(|listed| listed.split(':').next() == Some(part))
}

/// Header lines of a prompt that consists of `parts`, the last of which is the request's own.
#[must_use]
pub fn prompt_headers(model: &str, parts: &[&str]) -> String {
    let listed: Vec<String> = parts.iter().map(|part| format!("{part}:100")).collect();
    format!(
        "X-Model: {model}\r\nX-Token-Count: {},10\r\nX-Prefix-Hash: {}\r\n",
        100 * parts.len(),
        listed.join(",")
    )
}

/// Upstreams of one service, including those that have crashed.
pub struct CrashingPool {
    service: String,
    crashes: Vec<PartCrash>,
    /// Pause between two events of a stream.
    event_pause: Duration,
    servers: Mutex<Vec<Server>>,
}

impl CrashingPool {
    /// Starts `count` upstreams and registers them.
    pub async fn start(
        site: &Site,
        service: &str,
        count: usize,
        crashes: &[PartCrash],
        event_pause: Duration,
    ) -> Self {
        let service = service.to_owned();
        let pool =
            Self { service, crashes: crashes.to_vec(), event_pause, servers: Mutex::default() };
        for _ in 0..count {
            pool.add(site).await;
        }
        pool
    }

    async fn add(&self, site: &Site) {
        let number = self.servers().len();
        let server = Server::start(&format!("{}-{number}", self.service)).await;
        server.crash_on_parts(&self.crashes);
        server.slow_streams(self.event_pause);
        site.register(&server.id, &service_entry(&self.service, &server.address, "ready"));
        self.servers().push(server);
    }

    fn servers(&self) -> MutexGuard<'_, Vec<Server>> {
        self.servers.lock().expect("no task panics under the lock")
    }

    /// Replaces each upstream that crashed `pause` ago or earlier, until it is dropped.
    pub async fn replace_crashed(&self, site: &Site, pause: Duration) {
        let mut replaced = Vec::new();
        loop {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let due: Vec<String> = self
                .servers()
                .iter()
                .filter(|server| server.crashed_at().is_some_and(|at| at.elapsed() >= pause))
                .map(|server| server.id.clone())
                .filter(|id| !replaced.contains(id))
                .collect();
            for id in due {
                site.deregister(&id);
                self.add(site).await;
                replaced.push(id);
            }
        }
    }

    /// Crashes some of the upstreams that run.
    pub fn crash(&self, count: usize) {
        let servers = self.servers();
        servers.iter().filter(|server| !server.has_crashed()).take(count).for_each(Server::crash);
    }

    /// Crashes each upstream that now runs when it gets a request with this body.
    pub fn crash_on(&self, body: &str) {
        self.servers().iter().for_each(|server| server.crash_on(body));
    }

    /// Appends behaviors for the next requests of each upstream.
    pub fn script(&self, behaviors: &[Behavior]) {
        self.servers().iter().for_each(|server| server.script(behaviors));
    }

    /// Clears the script of each upstream.
    pub fn clear_script(&self) {
        self.servers().iter().for_each(Server::clear_script);
    }

    /// When upstreams crashed, in order.
    #[must_use]
    pub fn crashed_at(&self) -> Vec<Instant> {
        let mut crashed_at: Vec<Instant> =
            self.servers().iter().filter_map(Server::crashed_at).collect();
        crashed_at.sort_unstable();
        crashed_at
    }

    /// When upstreams crashed under a part, in order.
    #[must_use]
    pub fn crashed_under(&self, part: &str) -> Vec<Instant> {
        let servers = self.servers();
        let crashed =
            servers.iter().filter(|server| server.crashed_under().as_deref() == Some(part));
        let mut crashed_at: Vec<Instant> = crashed.filter_map(Server::crashed_at).collect();
        crashed_at.sort_unstable();
        crashed_at
    }

    /// When requests with a part arrived, in order, with their ids.
    #[must_use]
    pub fn arrivals(&self, part: &str) -> Vec<(Instant, String)> {
        let arrived = self.servers();
        let arrived = arrived.iter().flat_map(|server| {
            let handled = server.handled().into_iter().zip(server.received());
            handled.filter(|(_, request)| has_part(request, part)).map(|(handled, _)| handled)
        });
        let mut arrivals: Vec<_> =
            arrived.map(|handled| (handled.at, handled.request_id)).collect();
        arrivals.sort_unstable();
        arrivals
    }
}
