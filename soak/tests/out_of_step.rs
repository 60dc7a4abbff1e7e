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
use tokio::time::{sleep, sleep_until};

/// Time within which streams begin at a new version.
const BEGUN_WITHIN: Duration = Duration::from_secs(15);
/// Pause between two requests that are to begin a stream.
const BEGIN_PAUSE: Duration = Duration::from_millis(10);
/// More rejections than a test causes.
const ALL_REJECTED: usize = 3000;
/// Events that a client has received when it resumes its stream.
const RECEIVED: u32 = 2;
/// Times after a stream began at which clients resume it, while boxes stay out of step for longer than the lease on
/// what they know.
const THROUGH_LEASE_MS: &[u64] = &[200, 1000, 3000];
/// The same where the lease has ended, or boxes are in step again.
const SOON_MS: &[u64] = &[200, 1000];
/// Requests that wait in the socket of a stopped box.
const WAITING: usize = 6;

/// Boxes whose links to the metadata store and to each other can be cut.
struct Fleet {
    site: Site,
    boxes: Vec<Gateway>,
    store_links: Vec<Proxy>,
    mesh: Mesh,
}

/// What keeps boxes from being in step.
#[derive(Clone, Copy, Debug, Default)]
struct Cut {
    store: LinkState,
    peers: LinkState,
    /// Which datagrams and connections between them and the other boxes are affected.
    side: Option<PeerDirection>,
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

    fn apply(&self, group: &[usize], cut: Cut) {
        self.cut_store(group, cut.store);
        self.mesh.separate(group, cut.side.unwrap_or(PeerDirection::Both), cut.peers);
    }

    fn signal(&self, group: &[usize], name: &str) {
        for index in group {
            self.boxes[*index].signal(name);
        }
    }

    /// Kills a box and starts it again.
    async fn restart(&self, index: usize) {
        let gateway = &self.boxes[index];
        gateway.signal("-9");
        eventually("the box is gone", async || !gateway.is_alive()).await;
        gateway.restart_if_exited();
    }

    /// Begins a stream at `server`, where `other`, if it is another one, takes no requests meanwhile; returns the
    /// id of its request. The stream stays open.
    async fn begin(&self, index: usize, server: &Server, other: &Server) -> (String, EventStream) {
        server.script(&[Behavior::HeldEvents(RECEIVED)]);
        let is_other = server.id != other.id;
        if is_other {
            other.script(&vec![Behavior::NotRun; ALL_REJECTED]);
        }
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
        if is_other {
            other.clear_script();
        }
        begun
    }

    /// Has a client ask a box to resume the stream.
    async fn ask(&self, index: usize, began_as: &str, naming: Naming) -> EventStream {
        let headers = match naming {
            Naming::Named => resume_headers(began_as, RECEIVED),
            Naming::Unnamed => "Last-Event-Id: 2\r\n".to_owned(),
        };
        let id = format!("r-{}", fastrand::u32(..));
        EventStream::request(&self.boxes[index].clients, "/resume/x", &id, &headers).await.unwrap()
    }

    /// Checks that a response goes on with the stream at the version that began it, or refuses it; returns
    /// whether it goes on.
    async fn check_response(&self, index: usize, stream: EventStream, expected: &str) -> bool {
        let (status, events) = stream.read_all().await;
        let versions = versions(&events);
        assert!(
            status == 503 || (status, &versions[..]) == (200, &[expected]),
            "box {index}: {status} {versions:?}, not {expected}\n{}",
            self.boxes[index].log_text()
        );
        status == 200
    }

    /// Checks that boxes do not resume a stream at another version, however often they are asked.
    async fn check_not_mixed(
        &self,
        group: &[usize],
        began_as: &str,
        expected: &str,
        naming: Naming,
        times_ms: &[u64],
    ) {
        let since = Instant::now();
        for after_ms in times_ms {
            sleep_until((since + Duration::from_millis(*after_ms)).into()).await;
            for index in group {
                let stream = self.ask(*index, began_as, naming).await;
                self.check_response(*index, stream, expected).await;
            }
        }
    }

    /// Ends all faults, and checks that boxes then resume streams that begin at `server`, and take no other
    /// version for the one that began them.
    async fn check_healed(
        &self,
        group: &[usize],
        beginner: usize,
        (server, expected): (&Server, &str),
        other: &Server,
    ) {
        self.cut_store(group, LinkState::Sound);
        self.mesh.end_faults();
        for index in group.iter().filter(|index| **index != beginner) {
            eventually("a healed box resumes a stream", async || {
                let (began_as, _stream) = self.begin(beginner, server, other).await;
                let unnamed = self.ask(*index, &began_as, Naming::Unnamed).await;
                self.check_response(*index, unnamed, expected).await;
                let named = self.ask(*index, &began_as, Naming::Named).await;
                self.check_response(*index, named, expected).await
            })
            .await;
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
async fn guessed_while_cut(#[case] halls: &[&str], #[case] cut: &[usize], #[case] after_ms: u64) {
    let (fleet, old) = Fleet::start(halls).await;
    fleet.cut(cut, LinkState::Silent);
    sleep(Duration::from_millis(after_ms)).await;
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    let unnamed = fleet.check_not_mixed(cut, &began_as, "v2", Naming::Unnamed, THROUGH_LEASE_MS);
    let named = fleet.check_not_mixed(cut, &began_as, "v2", Naming::Named, THROUGH_LEASE_MS);
    tokio::join!(unnamed, named);
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
    fleet.check_not_mixed(&[1], &began_as, "v2", Naming::Unnamed, SOON_MS).await;
}

const SILENT: Cut = Cut { store: LinkState::Silent, peers: LinkState::Silent, side: None };

const fn store(link: LinkState) -> Cut {
    Cut { store: link, peers: LinkState::Sound, side: None }
}

const fn peers(link: LinkState, side: PeerDirection) -> Cut {
    Cut { store: LinkState::Sound, peers: link, side: Some(side) }
}

const fn both(link: LinkState, side: PeerDirection) -> Cut {
    Cut { store: link, peers: link, side: Some(side) }
}

/// Boxes whose links to the store, to each other or both are slow, cut or open in one direction took the only
/// version that they knew for the one that began a stream, during the fault or once it had ended.
#[rstest]
#[case::store_silent(&[2], store(LinkState::Silent))]
#[case::store_one_way(&[1, 2], store(LinkState::OneWay))]
#[case::store_slow(&[1, 2], store(LinkState::Delayed))]
#[case::peers_silent(&[2], peers(LinkState::Silent, PeerDirection::Both))]
#[case::peers_silent_from(&[1, 2], peers(LinkState::Silent, PeerDirection::From))]
#[case::peers_slow(&[2], peers(LinkState::Delayed, PeerDirection::Both))]
#[case::all_slow(&[2], both(LinkState::Delayed, PeerDirection::Both))]
#[case::all_one_way(&[2], both(LinkState::OneWay, PeerDirection::Both))]
#[case::all_silent_from(&[2], both(LinkState::Silent, PeerDirection::From))]
#[case::all_silent_to(&[2], both(LinkState::Silent, PeerDirection::To))]
#[case::all_but_one(&[1, 2], SILENT)]
#[tokio::test]
async fn disrupted_links(#[case] group: &[usize], #[case] cut: Cut) {
    let (fleet, old) = Fleet::start(&["north"; 3]).await;
    fleet.apply(group, cut);
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    let unnamed = fleet.check_not_mixed(group, &began_as, "v2", Naming::Unnamed, THROUGH_LEASE_MS);
    let named = fleet.check_not_mixed(group, &began_as, "v2", Naming::Named, THROUGH_LEASE_MS);
    tokio::join!(unnamed, named);
    fleet.check_healed(group, 0, (&new, "v2"), &old).await;
}

/// A box that was cut off before the new version had settled, or just before the fault ended.
#[rstest]
#[case::before_cut(Some(0), None)]
#[case::settling_before_cut(Some(1000), None)]
#[case::cut_ends(None, Some(300))]
#[case::cut_ended(None, Some(0))]
#[tokio::test]
async fn joined_around_cut(
    #[case] joined_before_ms: Option<u64>,
    #[case] joined_until_end_ms: Option<u64>,
) {
    let (fleet, old) = Fleet::start(&["north", "north", "south", "south"]).await;
    let group = &[2, 3];
    let new = if let Some(before_ms) = joined_before_ms {
        let new = fleet.upstream("s-1", "v2").await;
        sleep(Duration::from_millis(before_ms)).await;
        fleet.apply(group, SILENT);
        new
    } else {
        fleet.apply(group, SILENT);
        sleep(Duration::from_millis(1500)).await;
        fleet.upstream("s-1", "v2").await
    };
    if let Some(end_ms) = joined_until_end_ms {
        sleep(Duration::from_millis(end_ms)).await;
        fleet.apply(group, Cut::default());
    }
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    fleet.check_not_mixed(group, &began_as, "v2", Naming::Unnamed, SOON_MS).await;
    fleet.check_healed(group, 0, (&new, "v2"), &old).await;
}

/// Boxes that were stopped took what they had known before for what is the case now. Requests wait in their
/// sockets meanwhile, or come right after they go on.
#[rstest]
#[case::one_of_three(&["north"; 3], &[2])]
#[case::two_of_four(&["north", "north", "south", "south"], &[2, 3])]
#[tokio::test]
async fn stopped_boxes(#[case] halls: &[&str], #[case] group: &[usize]) {
    let (fleet, old) = Fleet::start(halls).await;
    fleet.signal(group, "-STOP");
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    let mut waiting = Vec::new();
    for number in 0..WAITING * group.len() {
        let index = group[number % group.len()];
        let naming = if number < WAITING { Naming::Unnamed } else { Naming::Named };
        waiting.push((index, fleet.ask(index, &began_as, naming).await));
    }
    fleet.signal(group, "-CONT");
    for (index, stream) in waiting {
        fleet.check_response(index, stream, "v2").await;
    }
    fleet.check_not_mixed(group, &began_as, "v2", Naming::Unnamed, SOON_MS).await;
    fleet.check_healed(group, 0, (&new, "v2"), &old).await;
}

/// A box that was stopped while a version settles began streams of it too early, or took the other one for the
/// only one.
#[tokio::test]
async fn stopped_while_settling() {
    let (fleet, old) = Fleet::start(&["north"; 3]).await;
    fleet.apply(&[2], SILENT);
    let new = fleet.upstream("s-1", "v2").await;
    sleep(Duration::from_millis(500)).await;
    fleet.boxes[0].signal("-STOP");
    sleep(Duration::from_secs(1)).await;
    fleet.boxes[0].signal("-CONT");
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    fleet.check_not_mixed(&[1, 2], &began_as, "v2", Naming::Unnamed, SOON_MS).await;
    fleet.check_healed(&[1, 2], 0, (&new, "v2"), &old).await;
}

/// In a larger fleet most boxes learn of the store from peers only. One of these took what it was last told for
/// what is the case now.
#[rstest]
#[case::one(&[15], SILENT)]
#[case::smaller_hall(&[11, 12, 13, 14, 15], SILENT)]
#[case::store_alone(&[15], store(LinkState::Silent))]
#[tokio::test]
async fn sixteen_boxes(#[case] group: &[usize], #[case] cut: Cut) {
    let halls = [&["north"; 11][..], &["south"; 5]].concat();
    let (fleet, old) = Fleet::start(&halls).await;
    fleet.apply(group, cut);
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    fleet.check_not_mixed(group, &began_as, "v2", Naming::Unnamed, THROUGH_LEASE_MS).await;
    fleet.check_healed(group, 0, (&new, "v2"), &old).await;
}

/// The box that began the stream was killed, so that only keepers know where it began.
#[rstest]
#[case::one_of_three(&["north"; 3], &[2])]
#[case::hall_of_two(&["north", "north", "south", "south"], &[2, 3])]
#[tokio::test]
async fn beginner_killed(#[case] halls: &[&str], #[case] group: &[usize]) {
    let (fleet, old) = Fleet::start(halls).await;
    fleet.apply(group, SILENT);
    let new = fleet.upstream("s-1", "v2").await;
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    fleet.boxes[0].signal("-9");
    let all: Vec<usize> = (1..halls.len()).collect();
    fleet.check_not_mixed(&all, &began_as, "v2", Naming::Named, SOON_MS).await;
    fleet.check_healed(&all, 1, (&new, "v2"), &old).await;
}

/// A box that started while a version settles began streams of it too early, or took the other one for the only
/// one; another one is cut off.
#[rstest]
#[case::beginner(&[0])]
#[case::other(&[1])]
#[case::all_in_touch(&[0, 1])]
#[tokio::test]
async fn restarted_while_settling(#[case] restarted: &[usize]) {
    let (fleet, old) = Fleet::start(&["north"; 3]).await;
    fleet.apply(&[2], SILENT);
    let new = fleet.upstream("s-1", "v2").await;
    sleep(Duration::from_millis(500)).await;
    for index in restarted {
        fleet.restart(*index).await;
    }
    for index in restarted {
        eventually("the box answers", async || {
            let id = format!("r-{}", fastrand::u32(..));
            EventStream::request(&fleet.boxes[*index].clients, "/resume/x", &id, "").await.is_ok()
        })
        .await;
    }
    let (began_as, _stream) = fleet.begin(0, &new, &old).await;
    fleet.check_not_mixed(&[1, 2], &began_as, "v2", Naming::Unnamed, SOON_MS).await;
    fleet.check_healed(&[1, 2], 0, (&new, "v2"), &old).await;
}

/// A version that follows soon after another one, which a cut box may know or not.
#[rstest]
#[case::before_both(0)]
#[case::between(500)]
#[tokio::test]
async fn two_roll_outs(#[case] cut_after_ms: u64) {
    let (fleet, old) = Fleet::start(&["north", "north", "south", "south"]).await;
    let group = &[2, 3];
    if cut_after_ms == 0 {
        fleet.apply(group, SILENT);
    }
    let _second = fleet.upstream("s-1", "v2").await;
    sleep(Duration::from_millis(cut_after_ms)).await;
    fleet.apply(group, SILENT);
    fleet.site.deregister("s-1");
    let third = fleet.upstream("s-2", "v3").await;
    let (began_as, _stream) = fleet.begin(0, &third, &old).await;
    fleet.check_not_mixed(group, &began_as, "v3", Naming::Unnamed, SOON_MS).await;
    fleet.check_healed(group, 0, (&third, "v3"), &old).await;
}

/// A version that replaces another one, and is replaced by it again: a stream of the one that is gone in between
/// went on at the other one.
#[tokio::test]
async fn back_again() {
    let (fleet, old) = Fleet::start(&["north", "north", "south", "south"]).await;
    let group = &[2, 3];
    let (began_as, _stream) = fleet.begin(0, &old, &old).await;
    let new = fleet.upstream("s-1", "v2").await;
    let (_, _new_stream) = fleet.begin(0, &new, &old).await;
    fleet.site.deregister("s-0");
    fleet.apply(group, SILENT);
    fleet.check_not_mixed(&[0, 1, 2, 3], &began_as, "v1", Naming::Unnamed, SOON_MS).await;
    let again = fleet.upstream("s-2", "v1").await;
    fleet.check_not_mixed(&[0, 1, 2, 3], &began_as, "v1", Naming::Unnamed, SOON_MS).await;
    fleet.check_healed(group, 0, (&again, "v1"), &new).await;
}

/// A hall that is cut off refused streams that boxes inside know to have begun at its version.
#[rstest]
#[tokio::test]
async fn cut_hall_knows_its_streams(
    #[values(0, 2)] beginner: usize,
    #[values(400, 1800)] after_ms: u64,
) {
    let (fleet, old) = Fleet::start(&["north", "north", "south", "south"]).await;
    let (began_as, _stream) = fleet.begin(beginner, &old, &old).await;
    fleet.apply(&[2, 3], SILENT);
    fleet.boxes[beginner].signal("-9");
    let _new = fleet.upstream("s-1", "v2").await;
    sleep(Duration::from_millis(after_ms)).await;
    let stream = fleet.ask(3, &began_as, Naming::Named).await;
    assert!(fleet.check_response(3, stream, "v1").await, "{}", fleet.boxes[3].log_text());
}

/// A box that had been cut off for longer than its lease did not become certain again.
#[tokio::test]
async fn certain_after_cut() {
    let (fleet, _old) = Fleet::start(&["north", "north", "south", "south"]).await;
    let group = &[2, 3];
    fleet.apply(group, SILENT);
    for index in group {
        eventually("the lease ends", async || {
            let stream = fleet.ask(*index, "r-unknown", Naming::Unnamed).await;
            !fleet.check_response(*index, stream, "v1").await
        })
        .await;
    }
    fleet.apply(group, Cut::default());
    for index in group {
        fleet.wait_certain(*index).await;
    }
}
