//! Odd items in the metadata store, and odd numbers in answers: no box ends, hangs or stops following
//! the store because of them, and sound items beside them are in force, also after a restart of all boxes.

#[path = "common/site.rs"]
mod common;

use common::wait_ready;
use coursestile_standins::site::client::request_once;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Gateway, Site, config_document, eventually, service_entry};
use rstest::rstest;

/// Depth of nesting that would overflow the stack of a decoder that recurses.
const DEPTH: usize = 100_000;

/// An item that another writer left.
#[derive(Clone, Debug)]
enum Odd {
    /// An upstream's entry in which a field has this JSON text as its value.
    Field(&'static str, String),
    /// An item with this value.
    Value(String, Vec<u8>),
    /// An item that the store sends as this JSON text, in which `$key` stands for its key.
    Raw(String, String),
}

fn field(name: &'static str, text: &str) -> Odd {
    Odd::Field(name, text.to_owned())
}

fn value(key: &str, value: &[u8]) -> Odd {
    Odd::Value(key.to_owned(), value.to_vec())
}

fn raw(key: &str, text: &str) -> Odd {
    Odd::Raw(key.to_owned(), text.to_owned())
}

fn nested() -> String {
    format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH))
}

/// Writes an odd item; an entry names `address` unless it has an odd one.
fn write(site: &Site, odd: &Odd, address: &str) {
    match odd {
        Odd::Field(name, text) => {
            let mut entry = service_entry("plain", address, "ready");
            entry[*name] = "ODD".into();
            let entry = entry.to_string().replace("\"ODD\"", text);
            site.metadata.put("servers/s-00", entry.as_bytes(), 0);
        }
        Odd::Value(key, value) => site.metadata.put(key, value, 0),
        Odd::Raw(key, text) => site.metadata.put_raw(key, &text.replace("$key", key)),
    }
}

/// Boxes and upstreams of the service `plain`.
struct Fleet {
    gateways: Vec<Gateway>,
    servers: Vec<Server>,
    site: Site,
}

impl Fleet {
    async fn start() -> Self {
        let mut site = Site::start().await;
        let mut servers = Vec::new();
        for number in 0..2 {
            servers.push(register(&site, number).await);
        }
        site.configure(&config_document(7));
        let first = site.gateway("north", &[]);
        let second = site.gateway("north", &[&first]);
        let fleet = Self { gateways: vec![first, second], servers, site };
        fleet.wait_ready().await;
        fleet
    }

    async fn wait_ready(&self) {
        for gateway in &self.gateways {
            wait_ready(gateway).await;
        }
    }

    /// Adds a sound upstream, and checks that each box learns of it.
    async fn add_upstream(&mut self) {
        let number = self.servers.len();
        self.servers.push(register(&self.site, number).await);
        for gateway in &self.gateways {
            eventually("a later upstream is known", async || {
                gateway.log_text().contains(&format!("event=upstream_seen upstream=s-{number} "))
            })
            .await;
        }
    }

    /// Checks that each box answers requests from sound upstreams, and that none has panicked.
    async fn assert_sound(&self, name: &str) {
        for gateway in &self.gateways {
            for number in 0..10 {
                let id = format!("{name}-{number}");
                let answer = request_once(&gateway.clients, "GET", "/safe/", &id).await;
                let log = gateway.log_text();
                let panic = log.lines().find(|line| line.contains("panicked"));
                assert_eq!(panic, None, "{name}");
                assert_eq!(answer.expect("an answer").status(), 200, "{name}");
            }
        }
    }

    async fn restart_all(&self) {
        self.gateways.iter().for_each(|gateway| gateway.signal("-9"));
        for gateway in &self.gateways {
            eventually("it has ended", async || !gateway.is_alive()).await;
            gateway.restart_if_exited();
        }
        self.wait_ready().await;
    }
}

async fn register(site: &Site, number: usize) -> Server {
    let server = Server::start(&format!("s-{number}")).await;
    site.register(&server.id, &service_entry("plain", &server.address, "ready"));
    server
}

#[rstest]
#[case(field("cold_left_ms", "1e300"))]
#[case(field("cold_left_ms", "18446744073709551615"))]
#[case(field("cold_left_ms", "1e999"))]
#[case(field("cold_left_ms", &nested()))]
#[case(field("slots", "4294967295"))]
#[case(field("slots", "0"))]
#[case(field("born", "18446744073709551615"))]
#[case(field("addr", "\"0.0.0.0:0\""))]
#[case(field("addr", "\"127.0.0.1:99999\""))]
#[case(field("a_later_field", &nested()))]
#[case(field("models", r#"[{"name":"m","version":18446744073709551615}]"#))]
#[case(field("version", &format!("\"{}\"", "v".repeat(300_000))))]
#[tokio::test]
async fn beside_sound_entries(#[case] odd: Odd) {
    check(&[odd]).await;
}

/// Writes odd items, and checks that what is written later is in force, before and after a restart.
async fn check(items: &[Odd]) {
    let mut fleet = Fleet::start().await;
    let odd_server = Server::start("s-00").await;
    for odd in items {
        write(&fleet.site, odd, &odd_server.address);
    }
    fleet.add_upstream().await;
    fleet.assert_sound("before").await;
    fleet.restart_all().await;
    fleet.assert_sound("after").await;
    fleet.add_upstream().await;
}
