//! How boxes discover each other through the list of members in the metadata store.

#[path = "common/site.rs"]
mod common;

use std::collections::BTreeSet;
use std::net::IpAddr;

use common::{start_fixture, wait_ready};
use coursestile::gateway::members::{Members, next_list};
use coursestile_standins::site::eventually;

fn members(hosts: &[u8]) -> Members {
    hosts.iter().map(|host| IpAddr::from([10, 0, 0, *host])).collect()
}

#[test]
fn list_kept() {
    let listed = members(&[1, 2, 3]);
    assert_eq!(
        next_list(&listed, &members(&[1, 2]), false),
        None,
        "gossip of 3 may not have arrived yet"
    );
    assert_eq!(next_list(&listed, &members(&[1, 4]), false), Some(members(&[1, 2, 3, 4])));
    assert_eq!(next_list(&listed, &members(&[1, 2]), true), Some(members(&[1, 2])));
    assert_eq!(next_list(&listed, &listed, true), None);
}

#[tokio::test]
async fn unreadable_replaced() {
    let fixture = start_fixture(1).await;
    fixture.site.metadata.put("coursestile/members", &[0xff; 3], 0);
    eventually("the list is rewritten", async || {
        let value = fixture.site.metadata.value("coursestile/members").unwrap();
        postcard::from_bytes::<Members>(&value).is_ok_and(|members| members.len() == 1)
    })
    .await;
    assert!(fixture.gateway.log_text().contains("event=members_unreadable"));
}

#[tokio::test]
async fn found_without_seeds() {
    let mut fixture = start_fixture(1).await;
    let seeded = fixture.site.gateway("east", &[&fixture.gateway]);
    wait_ready(&seeded).await;
    let listed = || -> BTreeSet<IpAddr> {
        let value = fixture.site.metadata.value("coursestile/members");
        value.map(|value| postcard::from_bytes(&value).unwrap()).unwrap_or_default()
    };
    eventually("two boxes are listed", async || listed().len() == 2).await;
    let unseeded = fixture.site.gateway("west", &[]);
    wait_ready(&unseeded).await;
    let listed = || -> BTreeSet<IpAddr> {
        let value = fixture.site.metadata.value("coursestile/members").unwrap();
        postcard::from_bytes(&value).unwrap()
    };
    eventually("the third box is listed", async || listed().len() == 3).await;
}
