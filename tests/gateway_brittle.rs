//! Upstreams that say that they are brittle: each falls over when it has to reject more than a number
//! of requests within a second, whichever boxes they come from.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::{start_fixture, wait_ready};
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::{Brittleness, Server};
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use futures_util::future::join_all;
use rstest::rstest;

/// Requests that each upstream takes: fewer than its entry says, since it lets none wait.
const CAPACITY: usize = 4;
const UPSTREAMS: usize = 3;
/// Requests that an upstream may reject within a second.
const MAX_REJECTIONS: usize = 4;
/// Falls that are allowed: two and a tenth of the upstreams.
const MAX_FALLS: usize = 2 + UPSTREAMS / 10;
/// Time in which boxes hear from each other.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(700);
/// Time between the waves of a burst.
const WAVE_PERIOD: Duration = Duration::from_millis(100);
const WAVES: usize = 20;
/// Time that a rejection takes on a busy machine.
const LATE_REJECTION_TIME: Duration = Duration::from_millis(150);

/// What boxes learn of rejections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Rejections {
    Prompt,
    /// They arrive late, and boxes do not hear from each other.
    LateAndUnknown,
}

/// Boxes in front of brittle upstreams.
struct BrittleFleet {
    /// Keeps the platform running while the boxes run.
    _site: Site,
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
}

impl BrittleFleet {
    async fn start(boxes: usize, rejections: Rejections) -> Self {
        let mut site = Site::start().await;
        let mut servers = Vec::new();
        for number in 0..UPSTREAMS {
            let server = Server::start(&format!("s-{number}")).await;
            let mut entry = service_entry("plain", &server.address, "ready");
            entry["slots"] = CAPACITY.into();
            site.register(&server.id, &entry);
            server.set_brittle(Brittleness {
                capacity: CAPACITY,
                max_rejections: MAX_REJECTIONS,
                crashes: false,
                rejects_after: match rejections {
                    Rejections::Prompt => Duration::ZERO,
                    Rejections::LateAndUnknown => LATE_REJECTION_TIME,
                },
            });
            servers.push(server);
        }
        site.configure(&config_document(7));
        let first = site.gateway("north", &[]);
        let others = (1..boxes).map(|_| match rejections {
            Rejections::Prompt => site.gateway("north", &[&first]),
            Rejections::LateAndUnknown => site.gateway("north", &[]),
        });
        let others = others.collect::<Vec<_>>();
        let gateways: Vec<Gateway> = others.into_iter().chain([first]).collect();
        for gateway in &gateways {
            wait_ready(gateway).await;
        }
        tokio::time::sleep(ACQUAINTANCE_TIME).await;
        Self { _site: site, gateways, servers }
    }

    /// Sends requests to each box at once; returns how many are served.
    async fn send_wave(&self, path: &str, wave: usize, per_box: usize) -> usize {
        let requests = self.gateways.iter().enumerate().flat_map(|(number, gateway)| {
            (0..per_box).map(move |place| async move {
                let id = format!("r-{wave}-{number}-{place}");
                let bytes = request("POST", path, &id, "X-Work-Ms: 60\r\n", "");
                Client::connect(&gateway.clients).await.send(&bytes).await
            })
        });
        let answers = join_all(requests).await;
        answers.into_iter().flatten().filter(|answer| answer.status() == 200).count()
    }

    fn falls(&self) -> usize {
        self.servers.iter().map(Server::falls).sum()
    }
}

/// All boxes together sent brittle upstreams more than they could take, and each fell over again and
/// again; also after rejections that arrived late.
#[rstest]
#[case::few_boxes("/safe/", 3, 12, Rejections::Prompt)]
#[case::once("/once/", 3, 12, Rejections::Prompt)]
#[case::more_boxes_than_rejections("/safe/", 6, 6, Rejections::Prompt)]
#[case::late_rejections("/safe/", 2, 12, Rejections::LateAndUnknown)]
#[tokio::test]
async fn fell_over(
    #[case] path: &str,
    #[case] boxes: usize,
    #[case] per_box: usize,
    #[case] rejections: Rejections,
) {
    let fleet = BrittleFleet::start(boxes, rejections).await;
    // One after the other, so that each box hears of it.
    for gateway in &fleet.gateways {
        let bytes = request("POST", path, "r-first", "", "");
        Client::connect(&gateway.clients).await.send(&bytes).await;
    }
    let waves = (0..WAVES).map(|wave| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(WAVE_PERIOD * u32::try_from(wave).unwrap()).await;
            fleet.send_wave(path, wave, per_box).await
        }
    });
    let served: usize = join_all(waves).await.into_iter().sum();
    assert!(fleet.falls() <= MAX_FALLS, "{} falls, {served} served", fleet.falls());
    // Half of what the upstreams can do in the time of the burst.
    let possible = WAVES * UPSTREAMS * CAPACITY;
    assert!(2 * served >= possible, "{served} of {possible} served");
}

/// A request that ran at upstreams that fell over was taken for the one that crashes them, and
/// quarantined.
#[tokio::test]
async fn fall_called_crash() {
    let mut fixture = start_fixture(4).await;
    for number in 0..3 {
        let id = format!("r-{number}");
        let long = request("POST", "/once/", &id, "X-Work-Ms: 2000\r\n", "same");
        let mut client = Client::connect(&fixture.gateway.clients).await;
        client.write(&long).await;
        eventually("the request runs", async || fixture.arrival_count(&id) == 1).await;
        let at = fixture.servers.iter().position(|server| server.count(&id) == 1).unwrap();
        let server = fixture.servers.remove(at);
        server.set_brittle(Brittleness {
            capacity: 1,
            max_rejections: 0,
            crashes: true,
            rejects_after: Duration::ZERO,
        });
        eventually("its upstream falls over", async || {
            let others = (0..8).map(|place| {
                let id = format!("r-{number}-{place}-{}", server.received().len());
                let (fixture, work) = (&fixture, "X-Work-Ms: 50\r\n");
                async move { fixture.send_with("/safe/", &id, work, "other").await }
            });
            join_all(others).await;
            server.has_crashed()
        })
        .await;
        assert_eq!(client.read().await.expect("an answer").status(), 502);
    }
    let answer = fixture.send_with("/once/", "r-last", "", "same").await;
    assert_eq!(answer.status(), 200, "{}", answer.text());
}
