//! A gateway's view of the configuration and of upstreams never goes back to an older state, and
//! outlasts outages of the metadata store.

#[path = "common/site.rs"]
mod common;

use std::time::Duration;

use common::{is_ready, start_fixture, wait_ready};
use coursestile_standins::site::client::request_once;
use coursestile_standins::site::metadata::StoreFault;
use coursestile_standins::site::server::Server;
use coursestile_standins::site::{Site, config_document, eventually, service_entry};
use serde_json::json;

#[tokio::test]
async fn never_back() {
    let fixture = start_fixture(1).await;
    let mut older_config = config_document(6);
    older_config["routes"] = json!([]);
    fixture.site.configure(&older_config);
    eventually("the older configuration is logged", async || {
        fixture.gateway.log_text().contains("configuration_older")
    })
    .await;
    assert_eq!(fixture.send("GET", "/safe/", "r-1").await.status(), 200);
    fixture.site.metadata.put("op/config", b"{ no document", 0);
    eventually("the unreadable configuration is logged", async || {
        fixture.gateway.log_text().contains("configuration_unreadable")
    })
    .await;
    assert_eq!(fixture.send("GET", "/safe/", "r-2").await.status(), 200);
}

#[tokio::test]
async fn key_revoked() {
    let fixture = start_fixture(1).await;
    let mut newer_config = config_document(9);
    newer_config["tenants"][0]["api_keys"] = json!(["key-2"]);
    let mut open_client =
        coursestile_standins::site::client::Client::connect(&fixture.gateway.clients).await;
    let request_bytes =
        |id: &str| coursestile_standins::site::client::request("GET", "/safe/", id, "", "");
    assert_eq!(open_client.send(&request_bytes("r-1")).await.unwrap().status(), 200);
    fixture.site.configure(&newer_config);
    eventually("the key is refused", async || {
        open_client.send(&request_bytes("r-2")).await.unwrap().status() == 401
    })
    .await;
}

#[tokio::test]
async fn history_lost() {
    let fixture = start_fixture(1).await;
    fixture.site.metadata.set_fault(StoreFault::Unavailable);
    eventually("the outage is noticed", async || {
        fixture.gateway.log_text().contains("dependency_lost")
    })
    .await;
    let mut newer_config = config_document(9);
    newer_config["routes"][0]["path_prefix"] = json!("/moved/");
    fixture.site.configure(&newer_config);
    fixture.site.metadata.compact();
    fixture.site.metadata.set_fault(StoreFault::None);
    eventually("the configuration is in force", async || {
        fixture.send("GET", "/moved/", "r-1").await.status() == 200
    })
    .await;
    assert!(fixture.gateway.log_text().contains("history_lost"));
}

#[tokio::test]
async fn told_by_peer() {
    let mut fixture = start_fixture(1).await;
    fixture.site.metadata.set_fault(StoreFault::Unresponsive);
    let late_box = fixture.site.gateway("east", &[&fixture.gateway]);
    wait_ready(&late_box).await;
    let answer = request_once(&late_box.clients, "GET", "/safe/", "r-1").await.unwrap();
    assert_eq!(answer.status(), 200);
}

#[tokio::test]
async fn peer_no_store() {
    let mut fixture = start_fixture(1).await;
    let store_access = fixture.site.metadata.open_endpoint().await;
    let cut_box = fixture.site.gateway_at("east", &[&fixture.gateway], &store_access.address);
    wait_ready(&cut_box).await;
    store_access.refuse_calls();
    for version in 8..12 {
        fixture.site.configure(&config_document(version));
        let in_force = format!("event=configuration_in_force version={version}");
        eventually("the configuration is in force", async || {
            cut_box.log_text().contains(&in_force)
        })
        .await;
    }
    let logged = cut_box.log_text();
    let after = logged.split("event=dependency_lost").nth(1).expect("the store rejects the box");
    assert!(
        !after.contains("event=dependency_regained"),
        "only an answer of the store may end the outage: {after}"
    );
    store_access.accept_calls();
    eventually("the store is available again", async || {
        let logged = cut_box.log_text();
        let after = logged.split("event=dependency_lost").nth(1).unwrap_or_default();
        after.contains("event=dependency_regained")
    })
    .await;
}

#[tokio::test]
async fn bad_entry() {
    let fixture = start_fixture(1).await;
    fixture.site.metadata.put("servers/s-bad", b"[1, 2", 0);
    eventually("the unreadable entry is logged", async || {
        fixture.gateway.log_text().contains("upstream_unreadable")
    })
    .await;
    assert_eq!(fixture.send("GET", "/safe/", "r-1").await.status(), 200);
    assert!(is_ready(&fixture.gateway).await);
}

#[tokio::test]
async fn leaving_upstream() {
    let fixture = start_fixture(2).await;
    let leaving = &fixture.servers[0];
    fixture.site.register(&leaving.id, &service_entry("plain", &leaving.address, "draining"));
    eventually("the departure is known", async || {
        fixture.gateway.log_text().contains("upstream=s-0 service=plain hall=north leaving=true")
    })
    .await;
    for number in 0..10 {
        fixture.send("GET", "/safe/", &format!("r-{number}")).await;
    }
    assert_eq!(leaving.received().len(), 0);
    assert_eq!(fixture.servers[1].received().len(), 10);
}

#[tokio::test]
async fn lapsed_in_trouble() {
    let mut site = Site::start().await;
    let server = Server::start("s-0").await;
    site.register("s-0", &service_entry("plain", &server.address, "ready"));
    site.register("s-1", &service_entry("plain", "127.0.0.1:9", "ready"));
    site.configure(&config_document(7));
    let gateway = site.gateway("north", &[]);
    wait_ready(&gateway).await;
    site.metadata.set_fault(StoreFault::Unavailable);
    eventually("the outage is noticed", async || gateway.log_text().contains("dependency_lost"))
        .await;
    // Both entries expire while the store is unavailable, but one of the upstreams still runs.
    site.deregister("s-0");
    site.deregister("s-1");
    site.metadata.set_fault(StoreFault::None);
    eventually("the store is available again", async || {
        gateway.log_text().contains("dependency_regained")
    })
    .await;
    let answer = request_once(&gateway.clients, "GET", "/safe/", "r-1").await.unwrap();
    assert_eq!(answer.status(), 200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.register("s-0", &service_entry("plain", &server.address, "ready"));
    eventually("the other upstream is removed", async || {
        gateway.log_text().contains("event=upstream_gone upstream=s-1")
    })
    .await;
    assert!(!gateway.log_text().contains("event=upstream_gone upstream=s-0"));
    let answer = request_once(&gateway.clients, "GET", "/safe/", "r-2").await.unwrap();
    assert_eq!(answer.status(), 200);
}
