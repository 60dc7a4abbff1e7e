//! Requests and their context stay in the regions to which their route and account are restricted.

#[path = "common/site.rs"]
mod common;

use std::collections::BTreeMap;

use common::start_fixture_on;
use coursestile::gateway::decisions::regions::AllowedHalls;
use coursestile_standins::site::{Site, config_document, eventually, service_entry};
use rstest::rstest;
use serde_json::json;

#[rstest]
#[case::free(&[], &[], true)]
#[case::route_here(&["home"], &[], true)]
#[case::route_away(&["far"], &[], false)]
#[case::account_away(&[], &["far"], false)]
#[case::both_bind(&["home", "far"], &["far"], false)]
#[case::both_here(&["home", "far"], &["home"], true)]
fn restrictions(#[case] route: &[&str], #[case] account: &[&str], #[case] expected: bool) {
    let owned = |regions: &[&str]| regions.iter().map(ToString::to_string).collect::<Vec<_>>();
    let (route, account) = (owned(route), owned(account));
    let regions = BTreeMap::from([("north".to_owned(), "home".to_owned())]);
    let allowed = AllowedHalls { regions: &regions, route: &route, account: &account };
    assert_eq!(allowed.includes("north"), expected);
    assert_eq!(allowed.includes("elsewhere"), route.is_empty() && account.is_empty());
}

#[tokio::test]
async fn requests_at_home() {
    let mut site = Site::start().await;
    site.regions = "north:home,south:far".to_owned();
    let fixture = start_fixture_on(site, 2).await;
    let mut entry = service_entry("plain", &fixture.servers[1].address, "ready");
    entry["zone"] = "south".into();
    fixture.site.register("s-1", &entry);
    let mut document = config_document(8);
    document["routes"][0]["allowed_regions"] = json!(["far"]);
    fixture.site.configure(&document);
    eventually("requests run in the other region only", async || {
        let before = fixture.servers[0].received().len();
        for number in 0..5 {
            fixture.send("GET", "/safe/", &format!("r-{before}-{number}")).await;
        }
        fixture.servers[0].received().len() == before
    })
    .await;
    document["version"] = 9.into();
    document["tenants"][0]["allowed_regions"] = json!(["home"]);
    fixture.site.configure(&document);
    eventually("no region is left", async || {
        fixture.send("GET", "/safe/", "none").await.status() == 503
    })
    .await;
}
