//! Stored context is imported unchanged, and only for the account that it belongs to.

mod common;

use std::time::Duration;

use common::{check_completion, completion_request, context_text, start_fleet};
use coursestile_standins::fleet::{Fleet, Plan};
use serde_json::{Value, json};

/// An engine whose cache holds two contexts of 3,000 tokens, and one store.
fn small_cache_plan() -> Plan {
    let mut plan = Plan::one_hall(2, 1, 0);
    plan.stores = 1;
    plan.cache_tokens = 6400;
    plan
}

async fn send_prompt(fleet: &Fleet, key: &str, context_seed: &str) -> u64 {
    let prompt = format!("{}What now?", context_text(context_seed, 3000));
    let response = completion_request(fleet, 0, key, &prompt, 5).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    let expected = coursestile_standins::answer::full_answer("v1", &prompt, 5);
    assert_eq!(body["choices"][0]["text"], expected, "{body}");
    body["usage"]["prompt_tokens_details"]["cached_tokens"].as_u64().unwrap()
}

/// Uses a context often enough to be stored, then evicts it from the engine's cache.
async fn store_and_evict(fleet: &Fleet, key: &str, context_seed: &str) {
    for _ in 0..3 {
        send_prompt(fleet, key, context_seed).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for filler in 0..4 {
        send_prompt(fleet, "petra-key", &format!("other {filler}")).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
}

async fn stored_blocks(fleet: &Fleet) -> Vec<Value> {
    let blocks = fleet.get(&format!("{}/blocks", fleet.stores[0].url())).await.unwrap();
    blocks.as_array().unwrap().clone()
}

#[tokio::test]
async fn context_returns() {
    let fleet = start_fleet(&small_cache_plan()).await;
    store_and_evict(&fleet, "sanam-key", "rulebook").await;
    let cached = send_prompt(&fleet, "sanam-key", "rulebook").await;
    assert!(cached >= 2560, "only {cached} tokens came back");
    let load = fleet.get(&format!("{}/load", fleet.stores[0].url())).await.unwrap();
    assert!(load["link_bytes"].as_u64().unwrap() > 0);
}

#[tokio::test]
async fn accounts_apart() {
    let fleet = start_fleet(&small_cache_plan()).await;
    store_and_evict(&fleet, "sanam-key", "shared text").await;
    send_prompt(&fleet, "sanam-key", "shared text").await;
    assert_eq!(
        send_prompt(&fleet, "petra-key", "shared text").await,
        0,
        "equal text, nothing shared"
    );
}

#[tokio::test]
async fn content_checked() {
    let fleet = start_fleet(&small_cache_plan()).await;
    store_and_evict(&fleet, "sanam-key", "rulebook").await;
    // The store returns other bytes than were sealed.
    fleet.set_fault(&fleet.stores[0], json!({ "corrupt_reads": true })).await;
    for _ in 0..2 {
        assert_eq!(send_prompt(&fleet, "sanam-key", "rulebook").await % 3000, 0);
        store_and_evict(&fleet, "sanam-key", "pushed out").await;
    }
}

#[tokio::test]
async fn half_written() {
    let fleet = start_fleet(&small_cache_plan()).await;
    // The engine restarts in the middle of an export; the store also serves partial blocks.
    fleet.set_fault(&fleet.stores[0], json!({ "slowdown": 40, "serve_unsealed": true })).await;
    let prompt = format!("{}What now?", context_text("rulebook", 3000));
    for _ in 0..3 {
        check_completion(&fleet, 0, "sanam-key", &prompt, 5).await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.engines[0].restart();
    fleet.wait_for(&format!("{}/load", fleet.engines[0].url())).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(stored_blocks(&fleet).await.len(), 0, "nothing was sealed");
    for _ in 0..3 {
        check_completion(&fleet, 1, "sanam-key", &prompt, 5).await;
    }
}

#[tokio::test]
async fn block_freed() {
    let fleet = start_fleet(&small_cache_plan()).await;
    store_and_evict(&fleet, "sanam-key", "rulebook").await;
    // The blocks are deleted without the dispatcher's knowledge.
    for block in stored_blocks(&fleet).await {
        let id = block["id"].as_str().unwrap();
        let url = format!("{}/blocks/{id}?force=true", fleet.stores[0].url());
        fleet.http.delete(url).send().await.unwrap();
    }
    assert_eq!(send_prompt(&fleet, "sanam-key", "rulebook").await, 0, "recomputed, not read");
}

#[tokio::test]
async fn store_dead() {
    let fleet = start_fleet(&small_cache_plan()).await;
    store_and_evict(&fleet, "sanam-key", "rulebook").await;
    fleet.stores[0].signal("-STOP");
    for _ in 0..3 {
        send_prompt(&fleet, "sanam-key", "rulebook").await;
    }
    fleet.stores[0].signal("-CONT");
}

#[tokio::test]
async fn store_full() {
    let mut plan = small_cache_plan();
    plan.store_bytes = 100_000_000;
    let fleet = start_fleet(&plan).await;
    for number in 0..6 {
        for _ in 0..2 {
            send_prompt(&fleet, "sanam-key", &format!("book {number}")).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
    let load = fleet.get(&format!("{}/load", fleet.stores[0].url())).await.unwrap();
    assert!(load["used_bytes"].as_u64().unwrap() <= 100_000_000);
}

#[tokio::test]
async fn directory_rebuilt() {
    let fleet = start_fleet(&small_cache_plan()).await;
    store_and_evict(&fleet, "sanam-key", "rulebook").await;
    for at in 0..2 {
        fleet.boxes[at].process.restart();
    }
    let boxes: Vec<_> = fleet.boxes.iter().collect();
    fleet.wait_for_revision(&boxes, 4, 2).await;
    // On the first request, the new dispatcher reads the list of blocks from the store.
    check_completion(&fleet, 0, "sanam-key", "Wake up.", 2).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let cached = send_prompt(&fleet, "sanam-key", "rulebook").await;
    assert!(cached >= 2560, "only {cached} tokens came back");
}

#[tokio::test]
async fn start_shared() {
    let fleet = start_fleet(&small_cache_plan()).await;
    let prompt =
        |page: &str| format!("{}{}", context_text("style pack", 2048), context_text(page, 1024));
    for _ in 0..3 {
        check_completion(&fleet, 0, "sanam-key", &prompt("page one"), 5).await;
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    for filler in 0..4 {
        send_prompt(&fleet, "petra-key", &format!("other {filler}")).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    // The stored block and this prompt have the same beginning and different ends.
    let response =
        completion_request(&fleet, 0, "sanam-key", &prompt("page two"), 5).send().await.unwrap();
    let body: Value = response.json().await.unwrap();
    let expected = coursestile_standins::answer::full_answer("v1", &prompt("page two"), 5);
    assert_eq!(body["choices"][0]["text"], expected, "{body}");
    let cached = &body["usage"]["prompt_tokens_details"]["cached_tokens"];
    assert_eq!(cached.as_u64(), Some(2048), "just what both have in common");
    check_completion(&fleet, 0, "sanam-key", &prompt("page two"), 5).await;
}
