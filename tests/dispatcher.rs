//! How the dispatcher of a model chooses engines and imports of stored context.

use std::collections::BTreeMap;

use coursestile::account::Weights;
use coursestile::blocks::{BlockId, Seal};
use coursestile::context::{PrefixChain, Scope};
use coursestile::context_manager::{BlockMeta, ContextManager, StoredBlock};
use coursestile::dispatcher::{Action, Dispatcher, Policies};
use coursestile::external::EngineReport;
use coursestile::fleet::Engine;
use coursestile::retention::RetentionPolicy;
use coursestile::slot_request::{SlotEnd, SlotReport, SlotRequest, SlotRequestId, SlotResponse};
use coursestile::store::Store;
use coursestile::ticket::BoxRef;
use coursestile::trace::TraceId;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;

fn dispatcher() -> Dispatcher {
    let engine = |name: &str| Engine::new(name, "http://127.0.0.1:1", 8, 65_536, 0.05);
    let store = Store::new("http://127.0.0.1:2", 4_000_000_000, 2e6);
    let stores = BTreeMap::from([("store1".to_owned(), store)]);
    let context_manager =
        ContextManager::new(RetentionPolicy::default(), stores, 100, 20_000, "b1");
    Dispatcher::new(Policies::default(), vec![engine("e1"), engine("e2")], context_manager)
}

/// Adds the context of a request to the store, whose link moves 2 GB/s.
fn add_stored_context(dispatcher: &mut Dispatcher, request: &SlotRequest) {
    let meta = BlockMeta {
        scope: request.scope.clone(),
        prefix: request.prefix.clone(),
        worthless_at_ms: request.worthless_at_ms,
    };
    let seal = Seal { len_bytes: 1, checksum: "c".to_owned() };
    let size_bytes = u64::from(request.prefix.tokens()) * 20_000;
    let stored_block = StoredBlock { id: BlockId("kept".to_owned()), size_bytes, seal, meta };
    dispatcher.context.adopt_block(NOW_MS, "store1", stored_block);
}

/// A slot request; the prompt is always the same.
fn slot_request(number: u64, excluded_engines: &[&str]) -> SlotRequest {
    let text = |text: &str| text.to_owned();
    let scope = Scope { account: text("sanam"), model: text("summary"), version: text("v1") };
    let entry = BoxRef { name: text("b1"), incarnation: 1 };
    SlotRequest {
        id: SlotRequestId { entry_box: entry, number },
        prefix: PrefixChain::new(&scope, &"A rule. ".repeat(1500)),
        scope,
        prompt_tokens: 3000,
        max_tokens: 5,
        share: 1.0,
        priority: 0,
        weights: Weights::default(),
        worthless_at_ms: NOW_MS + 1_000_000,
        deadline_ms: NOW_MS + 30_000,
        excluded_engines: excluded_engines.iter().map(|name| text(name)).collect(),
        no_wait: false,
        trace: TraceId(1),
    }
}

/// Has a request run to its end and returns the engine that ran it.
fn run_request(dispatcher: &mut Dispatcher, request: SlotRequest) -> String {
    let id = request.id.clone();
    let actions = dispatcher.request_slot(NOW_MS, request);
    let [Action::Respond { response: SlotResponse::Granted(grant), .. }] = actions.as_slice()
    else {
        panic!("not placed: {actions:?}");
    };
    let request = "r".to_owned();
    let done =
        SlotReport::Done { id, run_id: request, generated_tokens: 5, end: SlotEnd::Finished };
    dispatcher.record_slot_report(NOW_MS, &done);
    grant.engine.clone()
}

fn report_versions(dispatcher: &mut Dispatcher, version: &str) {
    for name in ["e1", "e2"] {
        let report = EngineReport { version: version.to_owned(), leaving: false, loading: false };
        dispatcher.record_engine_report(NOW_MS, name, Some(&report));
    }
}

// The first report of an engine must not clear the record of what it has cached. When it did,
// context was imported from a store to an engine that had it already; when the import took too
// long, the store counted as failed and the next prompt was recomputed.
#[rstest]
#[case::before(&[], "e2")]
#[case::reported(&["v1"], "e2")]
#[case::reported_twice(&["v1", "v1"], "e2")]
#[case::loaded_between(&["v1", "v2", "v1"], "e1")]
fn report_kept(#[case] versions: &[&str], #[case] expected: &str) {
    let mut dispatcher = dispatcher();
    assert_eq!(run_request(&mut dispatcher, slot_request(1, &["e1"])), "e2");
    for version in versions {
        report_versions(&mut dispatcher, version);
    }
    assert_eq!(run_request(&mut dispatcher, slot_request(2, &[])), expected);
}

// An import must not be abandoned before it is late by the time that recomputing the prompt
// takes. Abandoned 50 ms after it was due, it was followed by 140 ms of recomputation.
#[test]
fn import_patience() {
    let mut dispatcher = dispatcher();
    let request = slot_request(1, &[]);
    add_stored_context(&mut dispatcher, &request);
    let actions = dispatcher.request_slot(NOW_MS, request);
    let [Action::Respond { response: SlotResponse::Granted(grant), .. }] = actions.as_slice()
    else {
        panic!("not placed: {actions:?}");
    };
    let import = grant.import.as_ref().expect("bringing 56 MB takes 28 ms, reading 140");
    assert_eq!((import.tokens, import.expected_ms), (2816, 29));
    let reading_ms = 2816 * 50 / 1000;
    assert!(import.deadline_ms >= NOW_MS + 28 + reading_ms, "{}", import.deadline_ms - NOW_MS);
}
