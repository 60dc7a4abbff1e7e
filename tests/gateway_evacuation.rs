//! The upstreams of a hall that operators evacuate get no new requests.

#[path = "common/site.rs"]
mod common;

use common::{GatewayFixture, start_fixture, wait_for_log, wait_ready};
use coursestile::gateway::decisions::view::{MetadataView, Snapshot, VersionedValue, ViewChange};
use coursestile_standins::site::client::request_once;
use coursestile_standins::site::server::Behavior;
use coursestile_standins::site::{eventually, service_entry};

const SOUTH: &str = "op/evacuate/south";
const NORTH: &str = "op/evacuate/north";

/// A gateway with the upstream `s-0` in the hall `north` and `s-1` in `south`.
async fn two_halls() -> GatewayFixture {
    let fixture = start_fixture(2).await;
    let mut entry = service_entry("plain", &fixture.servers[1].address, "ready");
    entry["zone"] = "south".into();
    fixture.site.register("s-1", &entry);
    eventually("both halls are used", async || {
        reached(&fixture, 0, "before").await && reached(&fixture, 1, "before").await
    })
    .await;
    fixture
}

/// Sends enough requests for each upstream to be chosen, with connections that are closed, and
/// returns whether any of them arrived at the upstream.
async fn reached(fixture: &GatewayFixture, server: usize, prefix: &str) -> bool {
    let before = fixture.servers[server].received().len();
    // A request that its first upstream fails is sent to the other one.
    let other = &fixture.servers[1 - server];
    other.script(&[Behavior::Close]);
    fixture.send("GET", "/safe/", &format!("{prefix}-{server}-{before}")).await;
    other.script(&[]);
    fixture.servers[server].received().len() > before
}

#[tokio::test]
async fn no_new_requests() {
    let fixture = two_halls().await;
    fixture.site.metadata.put(SOUTH, b"{}", 0);
    wait_for_log(&fixture, "event=evacuation_began hall=south").await;
    for number in 0..20 {
        // Retries stay out of the hall, too.
        fixture.servers[0].script(&[Behavior::Close]);
        fixture.send("GET", "/safe/", &format!("during-{number}")).await;
        assert_eq!(fixture.servers[1].count(&format!("during-{number}")), 0);
    }
    fixture.servers[0].script(&[]);
    fixture.site.metadata.remove(SOUTH);
    wait_for_log(&fixture, "event=evacuation_ended hall=south").await;
    eventually("the hall is used again", async || reached(&fixture, 1, "after").await).await;
}

#[tokio::test]
async fn no_hall_left() {
    let fixture = two_halls().await;
    fixture.site.metadata.put(SOUTH, b"{}", 0);
    fixture.site.metadata.put(NORTH, b"{}", 0);
    wait_for_log(&fixture, "event=evacuation_began hall=north").await;
    wait_for_log(&fixture, "event=evacuation_began hall=south").await;
    let answer = fixture.send("POST", "/once/", "r-1").await;
    assert_eq!(answer.status(), 503);
    assert_eq!(answer.text(), "all halls are evacuated\n");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(fixture.arrival_count("r-1"), 0);
    wait_for_log(&fixture, "reason=\"all halls are evacuated\"").await;
}

#[tokio::test]
async fn box_started_during() {
    let mut fixture = two_halls().await;
    fixture.site.metadata.put(SOUTH, b"{}", 0);
    let late = fixture.site.gateway("north", &[&fixture.gateway]);
    wait_ready(&late).await;
    for number in 0..20 {
        let id = format!("late-{number}");
        fixture.servers[0].script(&[Behavior::Close]);
        request_once(&late.clients, "GET", "/safe/", &id).await;
        assert_eq!(fixture.servers[1].count(&id), 0, "{id}");
    }
}

/// A box that has just started may learn of the present state from a peer before its first listing
/// arrives, which may be seconds old.
#[test]
fn outdated_listing() {
    let item = |revision| VersionedValue { revision, value: b"{}".to_vec() };
    let snapshot = |at_revision, items: &[(&str, u64)]| Snapshot {
        at_revision,
        last_change_revision: at_revision,
        items: items.iter().map(|(key, revision)| ((*key).to_owned(), item(*revision))).collect(),
    };
    let mut view = MetadataView::new(1000);
    let config = ("op/config", 3);
    view.apply_snapshot(0, snapshot(20, &[config]), |_| true, |_| false);
    let outdated = snapshot(10, &[config, (SOUTH, 9)]);
    let changes = view.apply_snapshot(10, outdated, |_| true, |_| false);
    assert_eq!(changes, [], "the evacuation ended before revision 20");
    let changes =
        view.apply_snapshot(20, snapshot(20, &[config, (SOUTH, 21)]), |_| true, |_| false);
    assert_eq!(changes, [ViewChange::Put { key: SOUTH.to_owned(), value: b"{}".to_vec() }]);
}
