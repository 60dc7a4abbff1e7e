//! Roll-outs while a box is cut off for longer than others remember it.

use std::time::{Duration, Instant};

use coursestile_soak::mesh::Mesh;
use coursestile_soak::plan::{LinkState, PeerDirection};
use coursestile_soak::proxy::Proxy;
use coursestile_standins::site::engine::{Engine, MODEL};
use coursestile_standins::site::event_stream::{EventStream, numbers, resume_headers, versions};
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{
    Gateway, Site, config_document, engine_entry, engine_services, eventually, service_entry,
};
use rstest::rstest;
use tokio::time::sleep;

/// Longer than streams last, and than boxes take to write that a version has gone.
const ROLLED_OUT_AFTER: Duration = Duration::from_secs(37);
/// Time after which boxes forget a silent one.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(33);
/// Longer than it takes until old context is freed that no box may have read.
const FREED_AFTER: Duration = Duration::from_secs(12);
/// Time within which a stream begins.
const BEGUN_WITHIN: Duration = Duration::from_secs(15);
/// Events that a client has received when it resumes its stream.
const RECEIVED: u32 = 2;

/// Starts three boxes in two halls, each with a link of its own to the metadata store.
async fn start_boxes(site: &mut Site) -> (Vec<Gateway>, Vec<Proxy>) {
    let (mut boxes, mut store_links) = (Vec::<Gateway>::new(), Vec::new());
    for hall in ["north", "north", "south"] {
        let store_link = Proxy::start(&site.metadata.address).await.unwrap();
        let seeds: Vec<&Gateway> = boxes.iter().take(2).collect();
        let gateway = site.gateway_at(hall, &seeds, &store_link.address);
        boxes.push(gateway);
        store_links.push(store_link);
    }
    (boxes, store_links)
}

async fn wait_members(boxes: &[Gateway]) {
    eventually("all boxes are listed as members", async || {
        boxes.iter().any(|gateway| gateway.log_text().contains("event=members_written count=3 "))
    })
    .await;
}

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
    let (boxes, store_links) = start_boxes(&mut site).await;
    let peers: Vec<&str> = boxes.iter().map(|gateway| gateway.peers.as_str()).collect();
    let mesh = Mesh::start(&peers).await.unwrap();
    let old = upstream(&site, "s-0", "v1").await;
    for gateway in &boxes {
        begin(gateway, &old).await;
    }
    wait_members(&boxes).await;
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

/// Boxes in two halls, a context store, and engines, all at version 1 of the weights.
struct ContextFleet {
    site: Site,
    store: Engine,
    boxes: Vec<Gateway>,
    store_links: Vec<Proxy>,
    mesh: Mesh,
}

impl ContextFleet {
    async fn start(engines: &[&Engine]) -> Self {
        let mut site = Site::start().await;
        site.distinct_peer_ports = true;
        let store = Engine::start().await;
        let mut config = config_document(7);
        config["services"] = engine_services(Some(&store.address));
        site.configure(&config);
        site.set_weight_version(MODEL, 1);
        for (index, engine) in engines.iter().enumerate() {
            let entry = engine_entry("llm", &engine.address, MODEL, 1);
            site.register(&format!("e-{index}"), &entry);
        }
        let (boxes, store_links) = start_boxes(&mut site).await;
        let peers: Vec<&str> = boxes.iter().map(|gateway| gateway.peers.as_str()).collect();
        let mesh = Mesh::start(&peers).await.unwrap();
        wait_members(&boxes).await;
        store.cache_part("1.model-a", "aa", 100);
        Self { site, store, boxes, store_links, mesh }
    }

    /// Sets the links of the last box to the metadata store and to all other boxes.
    fn set_links(&self, link: LinkState) {
        self.store_links[2].set(link);
        self.mesh.separate(&[2], PeerDirection::Both, link);
    }

    async fn wait_freed(&self) {
        eventually("old parts are freed", async || !self.store.freed_parts().is_empty()).await;
    }
}

/// A new leader did not know of a box that had been cut off for longer than boxes remember each other, and
/// had context freed that this box may still have engines read.
#[tokio::test]
async fn context_freed_while_cut() {
    let engine = Engine::start().await;
    // Keeps its old weights, which the box that is cut off may ask for.
    engine.refuse_orders();
    let fleet = ContextFleet::start(&[&engine]).await;
    fleet.set_links(LinkState::Silent);
    sleep(FORGOTTEN_AFTER).await;
    let terms = |gateway: &Gateway| gateway.log_text().matches("event=leadership_taken").count();
    let leader = usize::from(terms(&fleet.boxes[1]) > 0);
    let (leader, other) = (&fleet.boxes[leader], &fleet.boxes[1 - leader]);
    let other_terms = terms(other);
    leader.signal("-KILL");
    // Restarted before that, it might lead again.
    eventually("another box leads", async || terms(other) > other_terms).await;
    leader.restart_if_exited();
    sleep(Duration::from_secs(2)).await;
    fleet.site.set_weight_version(MODEL, 2);
    sleep(FREED_AFTER).await;
    assert_eq!(fleet.store.freed_parts(), [], "box 2 may have it read at the engine");
    fleet.set_links(LinkState::Sound);
    fleet.wait_freed().await;
}

/// The leader took an engine whose entry had gone for one that does not run. A box that is cut off still
/// sends it requests, with context of its old weights.
#[tokio::test]
async fn unlisted_engine() {
    let (old, new) = (Engine::start().await, Engine::start().await);
    old.refuse_orders();
    let fleet = ContextFleet::start(&[&old, &new]).await;
    fleet.set_links(LinkState::Silent);
    fleet.site.set_weight_version(MODEL, 2);
    eventually("the other engine has the new weights", async || new.version() == 2).await;
    assert_eq!(old.version(), 1);
    fleet.site.deregister("e-0");
    sleep(FREED_AFTER).await;
    assert_eq!(fleet.store.freed_parts(), [], "box 2 may have it read at the engine");
    fleet.set_links(LinkState::Sound);
    fleet.wait_freed().await;
}
