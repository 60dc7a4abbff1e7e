//! Boxes of a large fleet that start together, as after a loss of power: how many of them read all
//! items from the metadata store, and that all of them serve whatever becomes of those.

#[path = "common/site.rs"]
mod common;

use common::{is_ready, wait_ready};
use coursestile::gateway::members::Members;
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};

/// More boxes than a small fleet has.
const BOXES: usize = 16;
const UPSTREAMS: u64 = 60;
/// Items on a page of the stand-in.
const PAGE_ITEMS: u64 = 3;

/// A fleet of one hall that has written its list of members, and whose boxes were then all killed.
async fn killed_fleet() -> (Site, Vec<Gateway>) {
    let mut site = Site::start().await;
    for number in 0..UPSTREAMS {
        let address = format!("127.0.0.1:{}", 20_000 + number);
        site.register(&format!("s-{number:02}"), &service_entry("plain", &address, "ready"));
    }
    site.configure(&config_document(7));
    let mut gateways: Vec<Gateway> = Vec::new();
    for _ in 0..BOXES {
        let seeds: Vec<&Gateway> = gateways.iter().take(3).collect();
        gateways.push(site.gateway("north", &seeds));
    }
    eventually("all boxes are listed", async || {
        let listed = site.metadata.value("coursestile/members").unwrap_or_default();
        postcard::from_bytes::<Members>(&listed).is_ok_and(|members| members.len() == BOXES)
    })
    .await;
    for gateway in &gateways {
        gateway.signal("-9");
    }
    eventually("all boxes have ended", async || gateways.iter().all(|gateway| !gateway.is_alive()))
        .await;
    (site, gateways)
}

async fn restart_all(gateways: &[Gateway]) {
    for gateway in gateways {
        gateway.restart_if_exited();
    }
    for gateway in gateways {
        wait_ready(gateway).await;
    }
}

/// How often all entries of upstreams were read from the store.
fn listings(site: &Site) -> u64 {
    site.metadata.page_count("servers/") / (UPSTREAMS / PAGE_ITEMS)
}

/// All boxes of a fleet read all entries at once, 2.3 GB over the store's link, and served late.
#[tokio::test]
async fn listed_by_few() {
    let (site, gateways) = killed_fleet().await;
    let before = listings(&site);
    restart_all(&gateways).await;
    let listings = listings(&site) - before;
    assert!(listings <= BOXES as u64 / 4, "{listings} listings by {BOXES} boxes");
}

/// The store answers nobody while the boxes start.
#[tokio::test]
async fn listed_after_outage() {
    let (site, gateways) = killed_fleet().await;
    site.metadata.set_fault(StoreFault::Unavailable);
    for gateway in &gateways {
        gateway.restart_if_exited();
    }
    tokio::time::sleep(std::time::Duration::from_secs(2)).await;
    assert!(!is_ready(&gateways[0]).await, "it knows no configuration");
    let before = listings(&site);
    site.metadata.set_fault(StoreFault::None);
    restart_all(&gateways).await;
    let listings = listings(&site) - before;
    assert!(listings <= BOXES as u64 / 4, "{listings} listings by {BOXES} boxes");
}
