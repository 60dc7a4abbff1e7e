//! An accepted change is in force at all boxes within seconds, is applied once and never
//! reverted.

mod common;

use std::time::Duration;

use common::{completion_request, start_fleet};
use coursestile::clock::now_ms;
use coursestile::configlog::{Change, ChangeProposal};
use coursestile::consul::Consul;
use coursestile::error::Error;
use coursestile::object::Object;
use coursestile::operator::{read_config, submit_proposal};
use coursestile_standins::fleet::{Fleet, HallPlan, Plan};
use serde_json::json;

async fn status_of(fleet: &Fleet, at: usize, key: &str) -> u16 {
    completion_request(fleet, at, key, "Who scored?", 2).send().await.unwrap().status().as_u16()
}

fn set_version(id: &str, expects_revision: u64, version: &str) -> ChangeProposal {
    let change = Change::SetModel { model: "summary".to_owned(), version: version.to_owned() };
    let (id, operator) = (id.to_owned(), "tester".to_owned());
    ChangeProposal { id, operator, at_ms: now_ms(), expects_revision, change }
}

#[tokio::test]
async fn answer_lost() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    fleet.set_fault(&fleet.platform, json!({ "lose_answers": 2 })).await;
    fleet.must_run_operator_tool(&["account", "set", "extra", "--template", "group"]);
    let history = fleet.must_run_operator_tool(&["history"]);
    assert_eq!(history.matches("name: \"extra\"").count(), 1, "{history}");
    let first = fleet.must_run_operator_tool(&["model", "set", "summary", "v1", "--id", "mine"]);
    let again = fleet.must_run_operator_tool(&["model", "set", "summary", "v1", "--id", "mine"]);
    assert_eq!(first, again, "the same change sent again applies once");
}

#[tokio::test]
async fn operators_race() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let platform = Consul::new(&fleet.platform.url());
    let (_, state) = read_config(&platform).await.unwrap();
    let expected_revision = state.object_revision(&Object::Model("summary".to_owned()));
    let (first, second) = (
        set_version("one", expected_revision, "v2"),
        set_version("other", expected_revision, "v3"),
    );
    let (first, second) =
        tokio::join!(submit_proposal(&platform, &first), submit_proposal(&platform, &second));
    let accepted = [&first, &second].iter().filter(|result| result.is_ok()).count();
    assert_eq!(accepted, 1, "{first:?} {second:?}");
    let rejection = first.err().or(second.err()).unwrap();
    assert!(matches!(rejection, Error::Conflict { .. }), "{rejection}");
}

#[tokio::test]
async fn key_revoked() {
    let halls = vec![HallPlan::new("north", 2, 1, 0), HallPlan::new("east", 2, 1, 0)];
    let fleet = start_fleet(&Plan::new(halls)).await;
    fleet.set_fault(&fleet.platform, json!({ "slow_ms": 300 })).await;
    fleet.must_run_operator_tool(&["account", "set", "sanam", "--drop-key", "sanam-key"]);
    fleet.must_run_operator_tool(&["account", "set", "petra", "--share", "0"]);
    tokio::time::sleep(Duration::from_secs(3)).await;
    for at in 0..4 {
        assert_eq!(status_of(&fleet, at, "sanam-key").await, 401, "box {at}");
        assert_eq!(status_of(&fleet, at, "petra-key").await, 403, "box {at}");
    }
}

#[tokio::test]
async fn platform_out() {
    let fleet = start_fleet(&Plan::one_hall(3, 1, 0)).await;
    fleet.set_fault(&fleet.platform, json!({ "outage": true })).await;
    // All boxes but one are restarted during the platform's outage.
    for at in [0, 1] {
        fleet.boxes[at].process.restart();
        fleet.wait_for_revision(&[&fleet.boxes[at]], 4, 3).await;
        assert_eq!(status_of(&fleet, at, "sanam-key").await, 200);
    }
    assert_ne!(fleet.run_operator_tool(&["model", "set", "summary", "v1"]).0, 0);
    fleet.set_fault(&fleet.platform, json!({ "outage": false })).await;
    fleet.must_run_operator_tool(&["account", "set", "sanam", "--drop-key", "sanam-key"]);
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 5, 3).await;
    assert_eq!(status_of(&fleet, 0, "sanam-key").await, 401);
}

#[tokio::test]
async fn box_frozen() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 0)).await;
    fleet.boxes[0].process.signal("-STOP");
    fleet.must_run_operator_tool(&["account", "set", "sanam", "--drop-key", "sanam-key"]);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.boxes[0].process.signal("-CONT");
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 5, 2).await;
    for _ in 0..20 {
        let revision = fleet.status(&fleet.boxes[0]).await.unwrap()["revision"].as_u64().unwrap();
        assert!(revision >= 5, "the revision went back to {revision}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(status_of(&fleet, 0, "sanam-key").await, 401);
}

#[tokio::test]
async fn head_compacted() {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 0)).await;
    let platform = Consul::new(&fleet.platform.url());
    for number in 0..90 {
        let (_, state) = read_config(&platform).await.unwrap();
        let expected_revision = state.object_revision(&Object::Model("summary".to_owned()));
        let version = if number == 89 { "v1" } else { "v2" };
        submit_proposal(&platform, &set_version(&number.to_string(), expected_revision, version))
            .await
            .unwrap();
        // The service accepts a hundred writes per second.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (head, state) = read_config(&platform).await.unwrap();
    assert!(head.base_revision > 0 && head.entries.len() <= 64);
    assert_eq!((state.revision, state.accounts.len()), (94, 2));
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 94, 2).await;
    let (code, text) = fleet.run_operator_tool(&["in-force", "94"]);
    assert_eq!(code, 0, "{text}");
}

#[tokio::test]
async fn change_refused() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let (code, text) = fleet.run_operator_tool(&["account", "set", "new", "--template", "none"]);
    assert_eq!((code, text.contains("no template 'none'")), (1, true), "{text}");
    let (code, text) = fleet.run_operator_tool(&["template", "remove", "group"]);
    assert_eq!((code, text.contains("account 'petra' uses")), (1, true), "{text}");
    let invalid_args = ["template", "set", "t!", "--share", "-1", "--priority", "9"];
    let (code, text) = fleet.run_operator_tool(&invalid_args);
    assert_eq!(code, 1);
    for message in ["'t!' is not a name", "share -1", "priority 9"] {
        assert!(text.contains(message), "{text}");
    }
    assert_eq!(fleet.run_operator_tool(&["account", "fly"]).0, 2);
}
