//! Streams that begin at a new version while boxes are out of step with the metadata store and their
//! peers, and that clients resume at these boxes.

use std::time::{Duration, Instant};

use coursestile_soak::mesh::Mesh;
use coursestile_soak::plan::{LinkState, PeerDirection};
use coursestile_soak::proxy::Proxy;
use coursestile_standins::site::event_stream::{EventStream, numbers, resume_headers, versions};
use coursestile_standins::site::server::{Behavior, Server};
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use rstest::rstest;
use tokio::time::sleep;

/// Time within which streams begin at a new version.
const BEGUN_WITHIN: Duration = Duration::from_secs(15);
/// Pause between two requests that are to begin a stream.
const BEGIN_PAUSE: Duration = Duration::from_millis(10);
/// More rejections than a test causes.
const ALL_REJECTED: usize = 3000;
/// Events that a client has received when it resumes its stream.
const RECEIVED: u32 = 2;

/// Boxes whose links to the metadata store and to each other can be cut.
struct Fleet {
    site: Site,
    boxes: Vec<Gateway>,
    store_links: Vec<Proxy>,
    mesh: Mesh,
}

/// Whether a client names the request that began its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    Named,
    Unnamed,
}

impl Fleet {
    /// Starts a box for each of `halls` and an upstream of v1, and waits until all boxes are sure that
    /// there is no other version.
    async fn start(halls: &[&str]) -> (Self, Server) {
        let mut site = Site::start().await;
        site.distinct_peer_ports = true;
        site.configure(&config_document(7));
        let (mut boxes, mut store_links) = (Vec::<Gateway>::new(), Vec::new());
        for hall in halls {
            let store_link = Proxy::start(&site.metadata.address).await.unwrap();
            let seeds: Vec<&Gateway> = boxes.iter().take(2).collect();
            let gateway = site.gateway_at(hall, &seeds, &store_link.address);
            boxes.push(gateway);
            store_links.push(store_link);
        }
        let peers: Vec<&str> = boxes.iter().map(|gateway| gateway.peers.as_str()).collect();
        let mesh = Mesh::start(&peers).await.unwrap();
        let fleet = Self { site, boxes, store_links, mesh };
        let first = fleet.upstream("s-0", "v1").await;
        for index in 0..halls.len() {
            fleet.wait_certain(index).await;
        }
        let text = format!("event=members_written count={} ", halls.len());
        eventually(&text, async || {
            fleet.boxes.iter().any(|gateway| gateway.log_text().contains(&text))
        })
        .await;
        (fleet, first)
    }

    async fn upstream(&self, id: &str, version: &str) -> Server {
        let server = Server::start(id).await;
        server.set_software(version);
        let mut entry = service_entry("plain", &server.address, "ready");
        entry["version"] = version.into();
        self.site.register(id, &entry);
        server
    }

    /// Waits until a box resumes a stream of unknown origin.
    async fn wait_certain(&self, index: usize) {
        eventually("the version is certain", async || {
            let id = format!("r-{}", fastrand::u32(..));
            let headers = "Last-Event-Id: 2\r\n";
            let stream =
                EventStream::request(&self.boxes[index].clients, "/resume/x", &id, headers);
            match stream.await {
                Ok(stream) => stream.read_all().await.0 == 200,
                Err(_) => false,
            }
        })
        .await;
    }

    /// Cuts `group` off from the metadata store and all other boxes; its boxes see each other.
    fn cut(&self, group: &[usize], link: LinkState) {
        self.cut_store(group, link);
        self.mesh.separate(group, PeerDirection::Both, link);
    }

    fn cut_store(&self, group: &[usize], link: LinkState) {
        for index in group {
            self.store_links[*index].set(link);
        }
    }

    /// Begins a stream at `server`, where `other` takes no requests meanwhile; returns the id of its
    /// request. The stream stays open.
    async fn begin(&self, index: usize, server: &Server, other: &Server) -> (String, EventStream) {
        server.script(&[Behavior::HeldEvents(RECEIVED)]);
        other.script(&vec![Behavior::NotRun; ALL_REJECTED]);
        let until = Instant::now() + BEGUN_WITHIN;
        let begun = loop {
            assert!(Instant::now() < until, "no stream begins at the new version");
            let id = format!("r-{}", fastrand::u32(..));
            let address = &self.boxes[index].clients;
            let mut stream = EventStream::request(address, "/resume/x", &id, "").await.unwrap();
            if numbers(&stream.read_events(2).await) == [1, RECEIVED] {
                break (id, stream);
            }
            sleep(BEGIN_PAUSE).await;
        };
        other.clear_script();
        begun
    }

    /// Has a box resume the stream; returns the status and the versions that have written its events.
    async fn resume(&self, index: usize, began_as: &str, naming: Naming) -> (u16, Vec<String>) {
        let headers = match naming {
            Naming::Named => resume_headers(began_as, RECEIVED),
            Naming::Unnamed => "Last-Event-Id: 2\r\n".to_owned(),
        };
        let id = format!("r-{}", fastrand::u32(..));
        let stream = EventStream::request(&self.boxes[index].clients, "/resume/x", &id, &headers)
            .await
            .unwrap();
        let (status, events) = stream.read_all().await;
        (status, versions(&events).into_iter().map(str::to_owned).collect())
    }

    /// Checks that a box does not resume a stream of v2 at another version, however often it is asked.
    async fn check_not_mixed(&self, index: usize, began_as: &str, naming: Naming) {
        for _ in 0..3 {
            let (status, versions) = self.resume(index, began_as, naming).await;
            assert!(
                status == 503 || (status, &versions[..]) == (200, &["v2".to_owned()]),
                "box {index}: {status} {versions:?}\n{}",
                self.boxes[index].log_text()
            );
            sleep(Duration::from_millis(100)).await;
        }
    }
}

/// A box that was cut off took the only version that it knew for the one that began a stream.
#[rstest]
#[case::one_of_three(&["north"; 3], &[2], 400)]
#[case::only_one_of_its_hall(&["north", "north", "south"], &[2], 400)]
#[case::hall_of_two(&["north", "north", "south", "south"], &[2, 3], 400)]
#[case::hall_of_two_later(&["north", "north", "south", "south"], &[2, 3], 3000)]
#[tokio::test]
async fn guessed_while_cut(
    #[case] halls: &[&str],
    #[case] cut: &[usize],
    #[case] after_ms: u64,
    #[values(Naming::Named, Naming::Unnamed)] naming: Naming,
) {
    let (fleet, old) = Fleet::start(halls).await;
    fleet.cut(cut, LinkState::Silent);
    sleep(Duration::from_millis(after_ms)).await;
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    for index in cut {
        fleet.check_not_mixed(*index, &began_as, naming).await;
    }
}

/// A new version began a stream before another box, whose link to the metadata store is slow, knew of it.
#[rstest]
#[case::delayed(LinkState::Delayed)]
#[case::one_way(LinkState::OneWay)]
#[case::silent(LinkState::Silent)]
#[tokio::test]
async fn begun_before_known(#[case] link: LinkState) {
    let (fleet, old) = Fleet::start(&["north"; 2]).await;
    fleet.cut_store(&[1], link);
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    fleet.check_not_mixed(1, &began_as, Naming::Unnamed).await;
}
