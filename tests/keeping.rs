//! Kept context: what is written, brought and given up, on pure state.

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

fn keeper(policy: RetentionPolicy, capacity_bytes: u64) -> ContextManager {
    let store = Store::new("http://s", capacity_bytes, RATE);
    let stores = BTreeMap::from([("s".to_owned(), store)]);
    ContextManager::new(policy, stores, 1000, TOKEN_BYTES, "box")
}

/// An ask for a prompt of 4,000 tokens; context is worth keeping until 1,000 s.
fn ask(account: &str, book: usize) -> SlotRequest {
    let (model, version) = ("m".to_owned(), "v1".to_owned());
    let scope = Scope { account: account.to_owned(), model, version };
    let prompt = format!("{book:<16000}");
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

/// Uses a prompt and has its context written; false when it is not worth it.
fn write(keeper: &mut ContextManager, now_ms: u64, ask: &SlotRequest) -> bool {
    let account = &ask.scope.account;
    keeper.directory.record_use(now_ms, account, &ask.prefix, ask.worthless_at_ms);
    let (engine_url, request) = ("http://e".to_owned(), "r".to_owned());
    let source = ExportSource {
        slot_request: ask.clone(),
        engine_url,
        request_id: request,
        prefill_ms_per_token: 0.03,
    };
    let Some(export) = keeper.plan_export(now_ms, source) else {
        return false;
    };
    let seal = Seal { len_bytes: 1, checksum: "c".to_owned() };
    let size_bytes = u64::from(ask.prefix.tokens()) * TOKEN_BYTES;
    keeper.record_export(now_ms, &export, ExportResult::Sealed(seal, size_bytes));
    true
}

#[test]
fn rate_recovers() {
    let mut keeper = keeper(RetentionPolicy::Worth, 1 << 40);
    let ask = ask("a", 1);
    assert!(write(&mut keeper, 1000, &ask));
    let (block, first) = keeper.best_import(10_000, &ask).unwrap();
    for _ in 0..20 {
        let (expected_ms, took_ms, result) = (40, 400, ImportResult::Done);
        let imported = ImportReport { block: block.clone(), expected_ms, took_ms, result };
        keeper.record_import(10_000, &ask.prefix, &imported);
    }
    let slow = keeper.best_import(10_000, &ask).unwrap().1;
    assert!(slow.link_ms > first.link_ms * 3.0, "{slow:?}");
    // Nothing is brought meanwhile, so nothing is measured either.
    for second in 11..60 {
        keeper.tick(second * 1000);
    }
    let later = keeper.best_import(60_000, &ask).unwrap().1;
    assert!(later.link_ms < first.link_ms * 1.5, "{later:?}");
}

#[rstest]
#[case(RetentionPolicy::Lru, 0)]
#[case(RetentionPolicy::Worth, 1)]
fn returning_stays(#[case] policy: RetentionPolicy, #[case] kept: usize) {
    let size_bytes = u64::from(ask("a", 0).prefix.tokens()) * TOKEN_BYTES;
    let mut keeper = keeper(policy, size_bytes * 10);
    let returning = ask("a", 1);
    for use_number in 0..10 {
        write(&mut keeper, 1000 + use_number * 1000, &returning);
    }
    // Ten prompts that never come back, used later.
    for book in 2..12 {
        write(&mut keeper, 20_000 + book as u64 * 1000, &ask("a", book));
        for delete in keeper.tick(20_500 + book as u64 * 1000) {
            keeper.record_deletion(&delete.block);
        }
    }
    assert_eq!(usize::from(keeper.best_import(60_000, &returning).is_some()), kept);
}

#[test]
fn share_caps() {
    let size_bytes = u64::from(ask("a", 0).prefix.tokens()) * TOKEN_BYTES;
    let mut keeper = keeper(RetentionPolicy::Worth, size_bytes * 10);
    let small = ask("small", 1);
    assert!(write(&mut keeper, 1000, &small));
    for book in 2..30 {
        for again in 0..3 {
            write(&mut keeper, 2000 + book as u64 * 1000 + again, &ask("large", book));
        }
        for delete in keeper.tick(2500 + book as u64 * 1000) {
            keeper.record_deletion(&delete.block);
        }
    }
    assert!(keeper.best_import(60_000, &small).is_some(), "a large account pushed out a small one");
}

#[test]
fn deadline_ends() {
    let mut keeper = keeper(RetentionPolicy::Worth, 1 << 40);
    let ask = ask("a", 1);
    assert!(write(&mut keeper, 1000, &ask));
    keeper.tick(999_999);
    assert!(keeper.best_import(999_999, &ask).is_some());
    keeper.tick(1_000_000);
    assert!(keeper.best_import(1_000_000, &ask).is_none());
    assert_eq!(keeper.tick(1_010_000).len(), 1, "it is deleted past every pin");
}
