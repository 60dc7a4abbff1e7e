//! Shares of what all boxes have together, at boxes that are cut off from each other.

use std::time::Duration;

use coursestile_soak::mesh::Mesh;
use coursestile_soak::plan::{LinkState, PeerDirection};
use coursestile_standins::site::client::{Client, request};
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use tokio::time::sleep;

/// Retries that all boxes together may have in a window beside those that requests earn.
const RETRY_EXTRA: u32 = 10;
/// Retries that a request earns.
const RETRY_RATIO: f64 = 0.2;
/// Window of the retry budget, and some time for all boxes to have started.
const FULL_SHARE_AFTER: Duration = Duration::from_secs(12);
/// Time after which boxes that are cut off from each other no longer count each other as live.
const MISSED_AFTER: Duration = Duration::from_secs(2);
/// Upstreams, so that some are left that have not failed.
const SERVERS: usize = 8;
/// Requests to each box.
const REQUESTS: usize = 12;

/// Boxes that did not hear from each other took themselves for the only ones, and each spent the retries
/// that all of them have together.
#[tokio::test]
async fn retries_while_cut() {
    let mut site = Site::start().await;
    site.distinct_peer_ports = true;
    site.retry_extra = RETRY_EXTRA;
    site.configure(&config_document(7));
    let mut boxes = Vec::<Gateway>::new();
    for hall in ["north", "south", "west"] {
        let seeds: Vec<&Gateway> = boxes.iter().take(2).collect();
        let gateway = site.gateway(hall, &seeds);
        boxes.push(gateway);
    }
    let peers: Vec<&str> = boxes.iter().map(|gateway| gateway.peers.as_str()).collect();
    let mesh = Mesh::start(&peers).await.unwrap();
    let mut servers = Vec::new();
    for index in 0..SERVERS {
        let id = format!("s-{index}");
        let server = Server::start(&id).await;
        site.register(&id, &service_entry("plain", &server.address, "ready"));
        servers.push(server);
    }
    for (index, gateway) in boxes.iter().enumerate() {
        eventually("the box serves", async || {
            let id = format!("first-{index}");
            status(gateway, &id).await == Some(200)
        })
        .await;
    }
    sleep(FULL_SHARE_AFTER).await;
    for index in 0..boxes.len() {
        mesh.separate(&[index], PeerDirection::Both, LinkState::Silent);
    }
    sleep(MISSED_AFTER).await;
    for server in &servers {
        server.script(&vec![Behavior::Status(500); boxes.len() * REQUESTS * 3]);
    }
    let (mut requests, mut arrivals) = (0_u32, 0_u32);
    for (index, gateway) in boxes.iter().enumerate() {
        for number in 0..REQUESTS {
            let id = format!("r-{index}-{number}");
            status(gateway, &id).await;
            requests += 1;
            let count = servers.iter().map(|server| server.count(&id)).sum::<usize>();
            arrivals += u32::try_from(count).unwrap();
        }
    }
    let allowed = RETRY_RATIO * f64::from(requests) + f64::from(RETRY_EXTRA);
    let retries = arrivals.saturating_sub(requests);
    assert!(arrivals >= requests, "{arrivals} arrivals of {requests} requests");
    assert!(f64::from(retries) <= allowed, "{retries} retries where {allowed} are allowed");
}

/// Sends a request that may run again; returns its status, if it is answered.
async fn status(gateway: &Gateway, id: &str) -> Option<u16> {
    let mut client = Client::try_connect(&gateway.clients).await.ok()?;
    let answer = client.send(&request("GET", "/safe/", id, "", "")).await?;
    Some(answer.status())
}
