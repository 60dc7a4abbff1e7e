//! Upstreams in need that name in their answers how many requests a second they take from all boxes
//! together.

#[path = "common/site.rs"]
mod common;

use std::time::{Duration, Instant};

use common::wait_ready;
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Gateway, Site, config_document, service_entry};
use futures_util::future::join_all;
use rstest::rstest;
use tokio::time::{sleep, sleep_until};

/// Time in which boxes hear from each other.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(900);
/// Time over which the requests to an upstream are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// How often the named rate is allowed in such a time, and how many requests beside that.
const TOLERATED_RATIO: f64 = 1.5;
const TOLERATED_EXTRA: f64 = 5.0;
/// Time after an upstream named a limit from which requests count.
const NEWS_TIME: Duration = Duration::from_millis(500);
/// Part of the limits that is used while requests are refused.
const USED_PART: f64 = 0.9;
/// Time by which a request is refused that cannot be served: a quarter of the route's objective of
/// 400 ms, and as much for a busy machine.
const REFUSAL_TIME: Duration = Duration::from_millis(200);
const WORK: &str = "X-Work-Ms: 20\r\n";

/// Boxes of one hall in front of upstreams.
struct LimitedFleet {
    /// Keeps the platform running while the boxes run.
    _site: Site,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
}

/// What clients saw of a time.
#[derive(Default)]
struct Seen {
    served: usize,
    refused: usize,
    /// Refusals without a time to retry.
    untimed: usize,
    slowest_refusal: Duration,
}

impl LimitedFleet {
    async fn start(boxes: usize, upstreams: usize) -> Self {
        let mut site = Site::start().await;
        let mut servers = Vec::new();
        for number in 0..upstreams {
            let server = Server::start(&format!("s-{number}")).await;
            let mut entry = service_entry("plain", &server.address, "ready");
            entry["slots"] = 64.into();
            site.register(&server.id, &entry);
            servers.push(server);
        }
        site.configure(&config_document(7));
        let first = site.gateway("north", &[]);
        let others = (1..boxes).map(|_| site.gateway("north", &[&first])).collect::<Vec<_>>();
        let gateways: Vec<Gateway> = others.into_iter().chain([first]).collect();
        for gateway in &gateways {
            wait_ready(gateway).await;
        }
        sleep(ACQUAINTANCE_TIME).await;
        Self { _site: site, gateways, servers }
    }

    /// Sends `per_s` requests a second to a box for some time, at even intervals.
    async fn load(&self, gateway: &Gateway, path: &str, per_s: u32, time: Duration) -> Seen {
        let start = tokio::time::Instant::now();
        let count = (time.as_secs_f64() * f64::from(per_s)).round();
        let requests =
            (0..).take_while(|number| f64::from(*number) < count).map(|number| async move {
                sleep_until(start + Duration::from_secs(1) * number / per_s).await;
                let sent_at = Instant::now();
                let id = format!("r-{:016x}", fastrand::u64(..));
                let bytes = request("POST", path, &id, WORK, &id);
                // The box may have been killed.
                let answer = match Client::try_connect(&gateway.clients).await {
                    Ok(mut client) => client.send(&bytes).await,
                    Err(_) => None,
                };
                (answer, sent_at.elapsed())
            });
        let mut seen = Seen::default();
        for (answer, took) in join_all(requests).await {
            match answer {
                Some(answer) if answer.status() == 200 => seen.served += 1,
                Some(answer) if answer.status() == 503 => {
                    seen.refused += 1;
                    seen.untimed += usize::from(answer.header("retry-after").is_none());
                    seen.slowest_refusal = seen.slowest_refusal.max(took);
                }
                Some(_) | None => {}
            }
        }
        seen
    }

    /// Sends `per_s` requests a second to each box for some time.
    async fn load_all(&self, path: &str, per_s: u32, time: Duration) -> Seen {
        let loads = self.gateways.iter().map(|gateway| self.load(gateway, path, per_s, time));
        let seen = join_all(loads).await;
        seen.into_iter().fold(Seen::default(), |all, one| Seen {
            served: all.served + one.served,
            refused: all.refused + one.refused,
            untimed: all.untimed + one.untimed,
            slowest_refusal: all.slowest_refusal.max(one.slowest_refusal),
        })
    }
}

/// Most requests that arrived within [`WINDOW`], from `from` on.
fn most_in_window(server: &Server, from: Instant) -> usize {
    let arrived: Vec<Instant> =
        server.handled().iter().map(|handled| handled.at).filter(|at| *at >= from).collect();
    let in_window = |start: &Instant| {
        arrived.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    arrived.iter().map(in_window).max().unwrap_or(0)
}

/// Requests that may arrive within [`WINDOW`].
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
fn allowed(per_s: f64) -> usize {
    (TOLERATED_RATIO * per_s * WINDOW.as_secs_f64() + TOLERATED_EXTRA).floor() as usize
}

/// Boxes went on sending an upstream what it had said that it does not take.
#[rstest]
#[case::a_request_a_second("/safe/", "1.2", 1.2)]
#[case::less("/once/", ".3", 0.3)]
#[case::more("/safe/", "10", 10.0)]
#[case::none("/safe/", "0", 0.0)]
#[case::streams("/resume/", "1.2", 1.2)]
#[tokio::test]
async fn exceeded_limit(#[case] path: &str, #[case] limit: &str, #[case] per_s: f64) {
    let fleet = LimitedFleet::start(3, 3).await;
    fleet.servers[0].name_limit(Some(limit));
    let from = Instant::now() + NEWS_TIME;
    let seen = fleet.load_all(path, 40, Duration::from_secs(6)).await;
    let most = most_in_window(&fleet.servers[0], from);
    assert!(most <= allowed(per_s), "{most} in a window, {} allowed", allowed(per_s));
    // The others have room for all.
    assert_eq!(seen.refused, 0, "{} served", seen.served);
}

/// When all upstreams named limits, boxes sent them all that came; now and then the limits would have
/// been left unused, or requests were held that could not be served.
#[rstest]
#[case::one_box(1)]
#[case::four_boxes(4)]
#[tokio::test]
async fn all_limited(#[case] boxes: usize) {
    let fleet = LimitedFleet::start(boxes, 3).await;
    for server in &fleet.servers {
        server.name_limit(Some("5"));
    }
    // Lets all boxes hear of the limits.
    fleet.load_all("/safe/", 10, Duration::from_secs(1)).await;
    let (from, time) = (Instant::now(), Duration::from_secs(6));
    let per_box = 45 / u32::try_from(boxes).unwrap();
    let seen = fleet.load_all("/safe/", per_box, time).await;
    for server in &fleet.servers {
        let most = most_in_window(server, from);
        assert!(most <= allowed(5.0), "{most} in a window, {} allowed", allowed(5.0));
    }
    assert_used(&seen, 15.0, time);
}

/// Nearly all clients turned to one box, then to another, which had no part in the limit.
#[tokio::test]
async fn crowded_box_starved() {
    let fleet = LimitedFleet::start(3, 1).await;
    fleet.servers[0].name_limit(Some("10"));
    fleet.load_all("/safe/", 10, Duration::from_secs(1)).await;
    let (from, time) = (Instant::now(), Duration::from_secs(4));
    for crowded in 0..2 {
        let loads = fleet.gateways.iter().enumerate().map(|(number, gateway)| {
            fleet.load(gateway, "/safe/", if number == crowded { 60 } else { 3 }, time)
        });
        let seen = join_all(loads).await;
        assert_used(&seen[crowded], 10.0 - 2.0 * 3.0, time);
        let all = seen.iter().map(|seen| seen.served).sum::<usize>();
        assert!(is_used(all, 10.0, time), "{all} served");
    }
    let most = most_in_window(&fleet.servers[0], from);
    assert!(most <= allowed(10.0), "{most} in a window, {} allowed", allowed(10.0));
}

/// Boxes that were killed one after the other, and came back, forgot what had been sent.
#[tokio::test]
async fn forgot_in_restart() {
    let fleet = LimitedFleet::start(3, 3).await;
    for server in &fleet.servers {
        server.name_limit(Some("4"));
    }
    let restarts = async {
        for number in 0..6 {
            let gateway = &fleet.gateways[number % fleet.gateways.len()];
            sleep(Duration::from_millis(900)).await;
            gateway.signal("-KILL");
            sleep(Duration::from_millis(300)).await;
            gateway.restart_if_exited();
        }
    };
    let from = Instant::now() + NEWS_TIME;
    let loads = fleet
        .gateways
        .iter()
        .map(|gateway| fleet.load(gateway, "/safe/", 20, Duration::from_secs(8)));
    tokio::join!(restarts, join_all(loads));
    // The platform's rule would not count the boxes that restart.
    for server in &fleet.servers {
        let most = most_in_window(server, from);
        assert!(most <= allowed(4.0), "{most} in a window, {} allowed", allowed(4.0));
    }
}

/// A limit that was withdrawn, or named again lower, was not followed within half a second.
#[tokio::test]
async fn outdated_limit() {
    let fleet = LimitedFleet::start(3, 1).await;
    let server = &fleet.servers[0];
    for _ in 0..2 {
        server.name_limit(Some("4"));
        let from = Instant::now() + NEWS_TIME;
        fleet.load_all("/safe/", 20, Duration::from_secs(5)).await;
        let most = most_in_window(server, from);
        assert!(most <= allowed(4.0), "{most} in a window, {} allowed", allowed(4.0));
        server.name_limit(None);
        // At four a second, the next answer that shows it comes within a quarter of a second.
        fleet.load_all("/safe/", 20, Duration::from_millis(500)).await;
        let seen = fleet.load_all("/safe/", 20, Duration::from_secs(1)).await;
        assert_eq!(seen.refused, 0, "{} served", seen.served);
    }
}

/// Checks that the limits were used as far as they go, and that all other requests were refused at once
/// with a time to retry.
fn assert_used(seen: &Seen, per_s: f64, time: Duration) {
    let Seen { served, refused, untimed, slowest_refusal } = *seen;
    assert!(is_used(served, per_s, time), "{served} served, {refused} refused");
    assert_eq!(untimed, 0, "of {refused} refusals");
    assert!(slowest_refusal < REFUSAL_TIME, "refused after {slowest_refusal:?}");
}

fn is_used(served: usize, per_s: f64, time: Duration) -> bool {
    f64::from(u32::try_from(served).unwrap()) >= USED_PART * per_s * time.as_secs_f64()
}
