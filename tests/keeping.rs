//! Which context is exported to stores, imported from them and deleted.

use std::collections::BTreeMap;

use coursestile::account::Weights;
use coursestile::blocks::Seal;
use coursestile::context::{PrefixChain, Scope};
use coursestile::context_manager::{ContextManager, ExportResult, ExportSource};
use coursestile::retention::RetentionPolicy;
use coursestile::slot_request::{ImportReport, ImportResult, SlotRequest, SlotRequestId};
use coursestile::store::Store;
use coursestile::ticket::BoxRef;
use coursestile::trace::TraceId;
use rstest::rstest;

const TOKEN_BYTES: u64 = 20_000;
const RATE: f64 = 2e6;

fn context_manager(policy: RetentionPolicy, capacity_bytes: u64) -> ContextManager {
    let store = Store::new("http://s", capacity_bytes, RATE);
    let stores = BTreeMap::from([("s".to_owned(), store)]);
    ContextManager::new(policy, stores, 1000, TOKEN_BYTES, "box")
}

/// A slot request with one of several prompts of 4,000 tokens, whose context is worth storing
/// until 1,000 s.
fn slot_request(account: &str, prompt_number: usize) -> SlotRequest {
    let (model, version) = ("m".to_owned(), "v1".to_owned());
    let scope = Scope { account: account.to_owned(), model, version };
    let prompt = format!("{prompt_number:<16000}");
    SlotRequest {
        id: SlotRequestId { entry_box: BoxRef { name: "b".to_owned(), incarnation: 1 }, number: 1 },
        prefix: PrefixChain::new(&scope, &prompt),
        scope,
        prompt_tokens: 4000,
        max_tokens: 10,
        share: 1.0,
        priority: 0,
        weights: Weights::default(),
        worthless_at_ms: 1_000_000,
        deadline_ms: u64::MAX,
        excluded_engines: Vec::new(),
        no_wait: false,
        trace: TraceId(1),
    }
}

/// Records the use of a prompt and exports its context; returns false if it is not worth it.
fn export(manager: &mut ContextManager, now_ms: u64, request: &SlotRequest) -> bool {
    let account = &request.scope.account;
    manager.directory.record_use(now_ms, account, &request.prefix, request.worthless_at_ms);
    let (engine_url, id) = ("http://e".to_owned(), "r".to_owned());
    let source = ExportSource {
        slot_request: request.clone(),
        engine_url,
        run_id: id,
        prefill_ms_per_token: 0.03,
    };
    let Some(export) = manager.plan_export(now_ms, source) else {
        return false;
    };
    let seal = Seal { len_bytes: 1, checksum: "c".to_owned() };
    let size_bytes = u64::from(request.prefix.tokens()) * TOKEN_BYTES;
    manager.record_export(now_ms, &export, ExportResult::Sealed(seal, size_bytes));
    true
}

#[test]
fn rate_recovers() {
    let mut manager = context_manager(RetentionPolicy::Worth, 1 << 40);
    let request = slot_request("a", 1);
    assert!(export(&mut manager, 1000, &request));
    let (block, first) = manager.best_import(10_000, &request).unwrap();
    for _ in 0..20 {
        let (expected_ms, took_ms, result) = (40, 400, ImportResult::Done);
        let imported = ImportReport { block: block.clone(), expected_ms, took_ms, result };
        manager.record_import(10_000, &request.prefix, &imported);
    }
    let slowed_down = manager.best_import(10_000, &request).unwrap().1;
    assert!(slowed_down.link_ms > first.link_ms * 3.0, "{slowed_down:?}");
    // Without imports the rate is not measured, and must recover by itself.
    for second in 11..60 {
        manager.tick(second * 1000);
    }
    let recovered = manager.best_import(60_000, &request).unwrap().1;
    assert!(recovered.link_ms < first.link_ms * 1.5, "{recovered:?}");
}

#[rstest]
#[case(RetentionPolicy::Lru, 0)]
#[case(RetentionPolicy::Worth, 1)]
fn returning_stays(#[case] policy: RetentionPolicy, #[case] expected_imports: usize) {
    let size_bytes = u64::from(slot_request("a", 0).prefix.tokens()) * TOKEN_BYTES;
    let mut manager = context_manager(policy, size_bytes * 10);
    let returning = slot_request("a", 1);
    for use_number in 0..10 {
        export(&mut manager, 1000 + use_number * 1000, &returning);
    }
    // Ten prompts that are used once, all of them later.
    for prompt_number in 2..12 {
        export(
            &mut manager,
            20_000 + prompt_number as u64 * 1000,
            &slot_request("a", prompt_number),
        );
        for delete in manager.tick(20_500 + prompt_number as u64 * 1000) {
            manager.record_deletion(&delete.block);
        }
    }
    assert_eq!(usize::from(manager.best_import(60_000, &returning).is_some()), expected_imports);
}

#[test]
fn share_caps() {
    let size_bytes = u64::from(slot_request("a", 0).prefix.tokens()) * TOKEN_BYTES;
    let mut manager = context_manager(RetentionPolicy::Worth, size_bytes * 10);
    let small_account = slot_request("small", 1);
    assert!(export(&mut manager, 1000, &small_account));
    for prompt_number in 2..30 {
        for repetition in 0..3 {
            export(
                &mut manager,
                2000 + prompt_number as u64 * 1000 + repetition,
                &slot_request("large", prompt_number),
            );
        }
        for delete in manager.tick(2500 + prompt_number as u64 * 1000) {
            manager.record_deletion(&delete.block);
        }
    }
    assert!(
        manager.best_import(60_000, &small_account).is_some(),
        "a large account pushed out a small one"
    );
}

#[test]
fn deadline_ends() {
    let mut manager = context_manager(RetentionPolicy::Worth, 1 << 40);
    let request = slot_request("a", 1);
    assert!(export(&mut manager, 1000, &request));
    manager.tick(999_999);
    assert!(manager.best_import(999_999, &request).is_some());
    manager.tick(1_000_000);
    assert!(manager.best_import(1_000_000, &request).is_none());
    assert_eq!(manager.tick(1_010_000).len(), 1, "it is deleted past every pin");
}
