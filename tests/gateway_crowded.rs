//! The load balancer hands most new connections to one box. It read more requests than it could
//! serve, so that nearly all of them failed, while the boxes to which their clients could have turned
//! were idle.

#[path = "common/site.rs"]
mod common;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Gateway, Site, config_document, service_entry};

const BOXES: usize = 4;
/// Time for which each box runs and then stands still, again and again, as one with a part of a core.
const RUN_TIME: Duration = Duration::from_millis(10);
const STILL_TIME: Duration = Duration::from_millis(30);
/// Length of each phase.
const PHASE_TIME: Duration = Duration::from_secs(6);
/// Clients that send one request after the other to find out how many a box can serve.
const MEASURING_CLIENTS: usize = 40;
/// Length of that phase.
const MEASURING_TIME: Duration = Duration::from_secs(2);
/// Requests of the later phases, as compared with what one box can serve.
const SPREAD_LOAD: f64 = 0.5;
const CROWD_LOAD: f64 = 2.0;
/// Length of a request's body; long ones take longer to serve.
const BODY_BYTES: usize = 18_000;
/// Time limit of a client, in which it also retries.
const CLIENT_LIMIT: Duration = Duration::from_secs(3);
const MAX_TRIES: usize = 3;
/// Share of the requests that were read, as compared with before, that must be served at the first
/// attempt.
const SERVED_SHARE: f64 = 0.75;

/// How one try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Served,
    /// The connection was refused, or closed with the request unread.
    Unread,
    Failed,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    sent: usize,
    /// Requests that the box of their first try read.
    read: usize,
    served_at_first: usize,
    /// Requests that were not read at their first try, and by another box then.
    read_later: usize,
    served: usize,
}

impl Counts {
    fn share(self) -> f64 {
        let count = |count: usize| f64::from(u32::try_from(count).unwrap());
        count(self.served_at_first) / count(self.read.max(1))
    }
}

struct Fleet {
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    _site: Site,
}

impl Fleet {
    async fn start() -> Arc<Self> {
        let mut site = Site::start().await;
        let mut servers = Vec::new();
        for number in 0..6 {
            let server = Server::start(&format!("s-{number}")).await;
            site.register(&server.id, &service_entry("plain", &server.address, "ready"));
            servers.push(server);
        }
        site.configure(&config_document(7));
        let mut gateways: Vec<Gateway> = Vec::new();
        for _ in 0..BOXES {
            let gateway = site.gateway("north", &gateways.iter().collect::<Vec<_>>());
            gateways.push(gateway);
        }
        for gateway in &gateways {
            wait_ready(gateway).await;
        }
        Arc::new(Self { gateways, servers, _site: site })
    }

    /// Has all boxes run for a part of the time until `stop` is set.
    fn throttle(self: &Arc<Self>, stop: &Arc<AtomicBool>) -> std::thread::JoinHandle<()> {
        let (fleet, stop) = (self.clone(), stop.clone());
        std::thread::spawn(move || {
            while !stop.load(Ordering::Relaxed) {
                for (signal, time) in [("-STOP", STILL_TIME), ("-CONT", RUN_TIME)] {
                    fleet.gateways.iter().for_each(|gateway| gateway.try_signal(signal));
                    std::thread::sleep(time);
                }
            }
        })
    }

    async fn try_box(&self, gateway: usize, id: &str) -> End {
        let bytes = request("POST", "/safe/", id, "X-Work-Ms: 5\r\n", &"x".repeat(BODY_BYTES));
        let Ok(mut client) = Client::try_connect(&self.gateways[gateway].clients).await else {
            return End::Unread;
        };
        match client.send(&bytes).await {
            Some(answer) if answer.status() == 200 && answer.complete => End::Served,
            Some(_) => End::Failed,
            None if self.servers.iter().any(|server| server.has_received(id)) => End::Failed,
            None => End::Unread,
        }
    }

    /// Sends a request to a box, and to others while it is not read.
    async fn send(self: Arc<Self>, first: usize, id: String) -> Vec<End> {
        let until = Instant::now() + CLIENT_LIMIT;
        let mut ends = Vec::new();
        for number in 0..MAX_TRIES {
            let gateway = (first + number) % BOXES;
            let left = until.saturating_duration_since(Instant::now());
            let try_id = format!("{id}-{number}");
            let trying = self.try_box(gateway, &try_id);
            ends.push(tokio::time::timeout(left, trying).await.unwrap_or(End::Failed));
            if ends.last() != Some(&End::Unread) {
                break;
            }
        }
        ends
    }

    /// Time in which a box can serve one request.
    async fn service_time(self: &Arc<Self>) -> Duration {
        let until = Instant::now() + MEASURING_TIME;
        let mut clients = Vec::new();
        for client in 0..MEASURING_CLIENTS {
            let fleet = self.clone();
            clients.push(tokio::spawn(async move {
                let mut served = 0;
                while Instant::now() < until {
                    let id = format!("m-{client}-{served}");
                    served += u32::from(fleet.try_box(0, &id).await == End::Served);
                }
                served
            }));
        }
        let mut served = 0;
        for client in clients {
            served += client.await.unwrap();
        }
        MEASURING_TIME / served.max(1)
    }

    async fn run_phase(
        self: &Arc<Self>,
        name: &str,
        pause: Duration,
        pick_box: fn(usize) -> usize,
    ) -> Counts {
        let mut sending = Vec::new();
        let until = Instant::now() + PHASE_TIME;
        let mut ticks = tokio::time::interval(pause);
        while Instant::now() < until {
            ticks.tick().await;
            let number = sending.len();
            let id = format!("{name}-{number}");
            sending.push(tokio::spawn(self.clone().send(pick_box(number), id)));
        }
        let mut counts = Counts::default();
        for sent in sending {
            let ends = sent.await.unwrap();
            let is_read = ends[0] != End::Unread;
            counts.sent += 1;
            counts.read += usize::from(is_read);
            counts.served_at_first += usize::from(ends[0] == End::Served);
            counts.read_later += usize::from(!is_read && ends.last() != Some(&End::Unread));
            counts.served += usize::from(ends.last() == Some(&End::Served));
        }
        counts
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_box_crowded() {
    let fleet = Fleet::start().await;
    let stop = Arc::new(AtomicBool::new(false));
    let throttling = fleet.throttle(&stop);
    let service_time = fleet.service_time().await;
    let spread_pause = service_time.div_f64(SPREAD_LOAD);
    let spread = fleet.run_phase("a", spread_pause, |number| number % BOXES).await;
    let crowded = fleet.run_phase("b", service_time.div_f64(CROWD_LOAD), |_| 0).await;
    stop.store(true, Ordering::Relaxed);
    throttling.join().unwrap();
    println!("{service_time:?} a request; spread: {spread:?}, crowded: {crowded:?}");
    assert!(crowded.share() >= SERVED_SHARE * spread.share(), "{spread:?}, {crowded:?}");
    assert!(crowded.read > 0);
}
