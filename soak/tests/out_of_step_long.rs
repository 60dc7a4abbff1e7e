//! A roll-out that ends while a box is cut off for longer than streams last.

use std::time::{Duration, Instant};

use coursestile_soak::mesh::Mesh;
use coursestile_soak::plan::{LinkState, PeerDirection};
use coursestile_soak::proxy::Proxy;
use coursestile_standins::site::event_stream::{EventStream, numbers, resume_headers, versions};
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use rstest::rstest;
use tokio::time::sleep;

/// Longer than streams last, and than boxes take to write that a version has gone.
const ROLLED_OUT_AFTER: Duration = Duration::from_secs(37);
/// Time within which a stream begins.
const BEGUN_WITHIN: Duration = Duration::from_secs(15);
/// Events that a client has received when it resumes its stream.
const RECEIVED: u32 = 2;

async fn upstream(site: &Site, id: &str, version: &str) -> Server {
    let server = Server::start(id).await;
    server.set_software(version);
    let mut entry = service_entry("plain", &server.address, "ready");
    entry["version"] = version.into();
    site.register(id, &entry);
    server
}

/// Begins a stream at a box, which stays open; returns the id of its request.
async fn begin(gateway: &Gateway, server: &Server) -> (String, EventStream) {
    server.script(&[Behavior::HeldEvents(RECEIVED)]);
    let until = Instant::now() + BEGUN_WITHIN;
    loop {
        assert!(Instant::now() < until, "no stream begins");
        let id = format!("r-{}", fastrand::u32(..));
        if let Ok(mut stream) = EventStream::request(&gateway.clients, "/resume/x", &id, "").await
            && numbers(&stream.read_events(2).await) == [1, RECEIVED]
        {
            return (id, stream);
        }
        sleep(Duration::from_millis(50)).await;
    }
}

/// The leader removed a version whose upstreams it no longer found listed, while a box that was cut off
/// still began streams there. Boxes in touch took the new version for the only one that may have begun them.
#[rstest]
#[case::named_silent(true, LinkState::Silent)]
#[case::unnamed_silent(false, LinkState::Silent)]
#[tokio::test]
async fn removed_while_cut(#[case] is_named: bool, #[case] link: LinkState) {
    let mut site = Site::start().await;
    site.distinct_peer_ports = true;
    site.configure(&config_document(7));
    let (mut boxes, mut store_links) = (Vec::<Gateway>::new(), Vec::new());
    for hall in ["north", "north", "south"] {
        let store_link = Proxy::start(&site.metadata.address).await.unwrap();
        let seeds: Vec<&Gateway> = boxes.iter().take(2).collect();
        let gateway = site.gateway_at(hall, &seeds, &store_link.address);
        boxes.push(gateway);
        store_links.push(store_link);
    }
    let peers: Vec<&str> = boxes.iter().map(|gateway| gateway.peers.as_str()).collect();
    let mesh = Mesh::start(&peers).await.unwrap();
    let old = upstream(&site, "s-0", "v1").await;
    for gateway in &boxes {
        begin(gateway, &old).await;
    }
    eventually("all boxes are listed as members", async || {
        boxes.iter().any(|gateway| gateway.log_text().contains("event=members_written count=3 "))
    })
    .await;
    store_links[2].set(link);
    mesh.separate(&[2], PeerDirection::Both, link);
    let _new = upstream(&site, "s-1", "v2").await;
    sleep(Duration::from_secs(2)).await;
    site.deregister("s-0");
    sleep(ROLLED_OUT_AFTER).await;
    let (began_as, _stream) = begin(&boxes[2], &old).await;
    let headers = if is_named {
        resume_headers(&began_as, RECEIVED)
    } else {
        format!("Last-Event-Id: {RECEIVED}\r\n")
    };
    for gateway in &boxes[..2] {
        let id = format!("r-{}", fastrand::u32(..));
        let stream = EventStream::request(&gateway.clients, "/resume/x", &id, &headers).await;
        let (status, events) = stream.unwrap().read_all().await;
        let versions = versions(&events);
        assert!(
            status == 503 || (status == 200 && versions == ["v1"]),
            "{status} {versions:?}\n{}",
            gateway.log_text()
        );
    }
}
