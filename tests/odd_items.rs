//! Odd values of the keys that boxes follow in the platform's key-value store: no box ends or stops
//! following, and a sound value that is written later is in force.

mod common;

use std::time::Duration;

use common::{check_completion, start_fleet};
use coursestile::configuration::{BASE_KEY_PREFIX, HEAD_KEY};
use coursestile_standins::fleet::{Fleet, Plan};
use rstest::rstest;
use serde_json::{Value, json};

const KEY: &str = "sanam-key";

async fn write(fleet: &Fleet, key: &str, value: Vec<u8>) {
    let url = format!("{}/v1/kv/{key}", fleet.platform.url());
    let response = fleet.http.put(url).body(value).send().await.unwrap();
    assert!(response.status().is_success(), "{}", response.status());
}

async fn read_head(fleet: &Fleet) -> Vec<u8> {
    let url = format!("{}/v1/kv/{HEAD_KEY}?raw", fleet.platform.url());
    let records: Value = fleet.http.get(url).send().await.unwrap().json().await.unwrap();
    let text = records[0]["Value"].as_str().unwrap();
    base64::Engine::decode(&base64::prelude::BASE64_STANDARD, text).unwrap()
}

/// A change of a weight version as an entry of the head.
fn entry(revision: u64) -> Value {
    let change = json!({ "SetModel": { "model": "other", "version": "v1" } });
    json!({ "revision": revision, "proposal": { "id": format!("odd-{revision}"), "operator": "tester",
        "at_ms": u64::MAX, "expects_revision": 0, "change": change } })
}

/// A head on the base 9 with one entry, and a base state of the revision `base`.
fn head_on_base(entry_revision: u64) -> Vec<u8> {
    json!({ "base_revision": 9, "entries": [entry(entry_revision)] }).to_string().into_bytes()
}

fn base(revision: u64) -> Vec<u8> {
    let empty = json!({});
    json!({ "revision": revision, "templates": empty, "accounts": empty, "leaving": [],
        "models": empty, "changed_at": empty, "applied": [] })
    .to_string()
    .into_bytes()
}

#[rstest]
#[case::nested("[".repeat(100_000).into_bytes(), None)]
#[case::no_text(vec![0xff; 300], None)]
#[case::null(b"null".to_vec(), None)]
#[case::too_large(br#"{"base_revision":1e999,"entries":[]}"#.to_vec(), None)]
#[case::negative(br#"{"base_revision":-1,"entries":[]}"#.to_vec(), None)]
#[case::no_base(br#"{"base_revision":18446744073709551615,"entries":[]}"#.to_vec(), None)]
#[case::gap(json!({ "base_revision": 0, "entries": [entry(u64::MAX)] }).to_string().into_bytes(), None)]
#[case::nested_base(head_on_base(10), Some(format!("{{\"revision\":{}", "[".repeat(100_000)).into_bytes()))]
#[case::other_base(head_on_base(10), Some(base(3)))]
#[case::gap_after_base(head_on_base(12), Some(base(9)))]
#[case::last_base(head_on_base(10), Some(base(u64::MAX)))]
#[tokio::test]
async fn odd_head(#[case] head: Vec<u8>, #[case] base: Option<Vec<u8>>) {
    let fleet = start_fleet(&Plan::one_hall(2, 1, 0)).await;
    let sound = read_head(&fleet).await;
    if let Some(base) = base {
        write(&fleet, &format!("{BASE_KEY_PREFIX}9"), base).await;
    }
    write(&fleet, HEAD_KEY, head).await;
    // Longer than a watch and a pause after a failure.
    tokio::time::sleep(Duration::from_millis(2500)).await;
    check_completion(&fleet, 0, KEY, "Still there?", 3).await;
    fleet.boxes[1].process.kill();
    fleet.boxes[1].process.restart();
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 4, boxes.len()).await;
    check_completion(&fleet, 1, KEY, "Back again?", 3).await;
    write(&fleet, HEAD_KEY, sound).await;
    fleet.must_run_operator_tool(&["model", "set", "other", "v1"]);
    fleet.wait_for_revision(&boxes, 5, boxes.len()).await;
    check_completion(&fleet, 0, KEY, "Still there?", 3).await;
}

/// Terms that were not checked by the operators' tool: a time that overflowed made each request of the
/// account fail.
#[tokio::test]
async fn odd_terms() {
    let fleet = start_fleet(&Plan::one_hall(1, 1, 0)).await;
    let mut head: Value = serde_json::from_slice(&read_head(&fleet).await).unwrap();
    let entries = head["entries"].as_array_mut().unwrap();
    let mut odd = entries[0].clone();
    odd["revision"] = json!(5);
    odd["proposal"]["id"] = json!("odd");
    let terms = &mut odd["proposal"]["change"]["SetTemplate"]["terms"];
    terms["keep_for_s"] = json!(u64::MAX);
    terms["share"] = json!(1e308);
    terms["priority"] = json!(-128);
    terms["weights"] = json!({ "first_token": 1e308, "recompute": -1e308, "link": 1e308 });
    entries.push(odd);
    write(&fleet, HEAD_KEY, head.to_string().into_bytes()).await;
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 5, boxes.len()).await;
    for key in [KEY, "petra-key", KEY] {
        let answered = check_completion(&fleet, 0, key, "Who scored?", 3);
        tokio::time::timeout(Duration::from_secs(20), answered).await.expect("an answer");
    }
}
