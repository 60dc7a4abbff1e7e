//! Boxes that are cut off from upstreams while clients, the metadata store and other boxes reach
//! them: every request to such a box was refused or ran into its deadline.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::wait_ready;
use coursestile_standins::site::client::request_once;
use coursestile_standins::site::fault_proxy::{FaultProxy, Link};
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Gateway, Site, config_document, service_entry};
use futures_util::future::join_all;
use rstest::rstest;

/// Time in which boxes that have started hear from each other.
const ACQUAINTANCE_TIME: Duration = Duration::from_millis(700);
/// Time from the start of a cut until requests to the box are served.
const SERVED_AFTER: Duration = Duration::from_secs(1);
/// Methods and paths of requests of each kind.
const KINDS: [(&str, &str); 4] =
    [("GET", "/safe/"), ("POST", "/once/"), ("POST", "/stream/"), ("POST", "/resume/")];

/// Upstreams behind proxies through which one box reaches them, and boxes that reach them directly.
struct CutFleet {
    _servers: Vec<Server>,
    links: Vec<FaultProxy>,
    /// The box behind the proxies.
    cut_box: Gateway,
    /// The other boxes.
    _others: Vec<Gateway>,
    /// Keeps the platform running while the boxes run.
    _site: Site,
}

impl CutFleet {
    /// Starts upstreams and boxes, which know each other when it returns.
    async fn start(servers: usize, others: usize) -> Self {
        let mut site = Site::start().await;
        let (mut started, mut links, mut routes) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..servers {
            let server = Server::start(&format!("s-{number}")).await;
            let link = FaultProxy::start(&server.address).await;
            site.register(&server.id, &service_entry("plain", &server.address, "ready"));
            routes.push(format!("{}>{}", server.address, link.address));
            started.push(server);
            links.push(link);
        }
        site.configure(&config_document(7));
        site.routes = routes.join(",");
        let cut_box = site.gateway("north", &[]);
        site.routes.clear();
        let others: Vec<Gateway> =
            (0..others).map(|_| site.gateway("north", &[&cut_box])).collect();
        for gateway in others.iter().chain([&cut_box]) {
            wait_ready(gateway).await;
        }
        tokio::time::sleep(ACQUAINTANCE_TIME).await;
        Self { _servers: started, links, cut_box, _others: others, _site: site }
    }

    fn set_link(&self, link: Link) {
        for proxy in &self.links {
            proxy.set_link(link);
        }
    }

    /// Sends a request to the box behind the proxies; returns the status of the answer.
    async fn send(&self, method: &str, path: &str, id: &str) -> Option<u16> {
        let answer = request_once(&self.cut_box.clients, method, path, id).await?;
        answer.complete.then(|| answer.status())
    }
}

impl CutFleet {
    /// Sends requests of each kind at the same time; returns how many are served.
    async fn count_served(&self, name: &str, of_each_kind: usize) -> usize {
        let requests = (0..of_each_kind).flat_map(|number| {
            KINDS.map(|(method, path)| {
                let id = format!("{name}-{number}{}", path.replace('/', "-"));
                async move { self.send(method, path, &id).await }
            })
        });
        join_all(requests).await.into_iter().filter(|status| *status == Some(200)).count()
    }
}

/// Nine tenths of the requests that come from a second after the cut on are served.
#[rstest]
#[case::reset(Link::Refused)]
#[case::hanging(Link::Dropped)]
#[case::new_refused(Link::NewRefused)]
#[tokio::test]
async fn cut_box_refuses(#[case] link: Link) {
    let fleet = CutFleet::start(4, 2).await;
    assert_eq!(fleet.count_served("before", 2).await, 8);
    fleet.set_link(link);
    tokio::time::sleep(SERVED_AFTER).await;
    let served = fleet.count_served("cut", 5).await;
    assert!(10 * served >= 9 * 20, "{served} of 20 served");
}
