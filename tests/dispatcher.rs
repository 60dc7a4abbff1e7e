//! Where the dispatcher of a model sends its requests.

use std::collections::BTreeMap;

use coursestile::account::Weights;
use coursestile::ask::{Ask, AskId, End, Report, Verdict};
use coursestile::context::{Course, Scope};
use coursestile::dispatcher::{Action, Dispatcher, Policies};
use coursestile::edge::EngineReport;
use coursestile::fleet::Engine;
use coursestile::keep::KeepPolicy;
use coursestile::keeper::Keeper;
use coursestile::ticket::BoxRef;
use coursestile::trace::TraceId;
use rstest::rstest;

const NOW_MS: u64 = 1_000_000;

fn dispatcher() -> Dispatcher {
    let engine = |name: &str| Engine::new(name, "http://127.0.0.1:1", 8, 65_536, 0.05);
    let keeper = Keeper::new(KeepPolicy::default(), BTreeMap::new(), 100, 20_000, "b1");
    Dispatcher::new(Policies::default(), vec![engine("e1"), engine("e2")], keeper)
}

/// An ask with always the same prompt.
fn ask(number: u64, avoid: &[&str]) -> Ask {
    let text = |text: &str| text.to_owned();
    let scope = Scope { account: text("sanam"), model: text("summary"), version: text("v1") };
    let entry = BoxRef { name: text("b1"), incarnation: 1 };
    Ask {
        id: AskId { entry, number },
        course: Course::new(&scope, &"A rule. ".repeat(1500)),
        scope,
        prompt_tokens: 3000,
        max_tokens: 5,
        share: 1.0,
        priority: 0,
        weights: Weights::default(),
        worthless_at_ms: NOW_MS + 1_000_000,
        deadline_ms: NOW_MS + 30_000,
        avoid: avoid.iter().map(|name| text(name)).collect(),
        no_wait: false,
        trace: TraceId(1),
    }
}

/// Runs an ask to its end; the engine that ran it.
fn run(dispatcher: &mut Dispatcher, ask: Ask) -> String {
    let id = ask.id.clone();
    let actions = dispatcher.ask(NOW_MS, ask);
    let [Action::Answer { verdict: Verdict::Run(grant), .. }] = actions.as_slice() else {
        panic!("not placed: {actions:?}");
    };
    let request = "r".to_owned();
    let done = Report::Done { id, request, generated_tokens: 5, end: End::Finished };
    dispatcher.report(NOW_MS, &done);
    grant.engine.clone()
}

fn report(dispatcher: &mut Dispatcher, version: &str) {
    for name in ["e1", "e2"] {
        let report = EngineReport { version: version.to_owned(), leaving: false, loading: false };
        dispatcher.engine_report(NOW_MS, name, Some(&report));
    }
}

// A request that ran before its engine had reported for the first time was forgotten
// with that report. Its context was brought from a store to the engine that held it
// already; when that took too long, the store counted as failed and the next prompt
// was read again.
#[rstest]
#[case::before(&[], "e2")]
#[case::reported(&["v1"], "e2")]
#[case::reported_twice(&["v1", "v1"], "e2")]
#[case::loaded_between(&["v1", "v2", "v1"], "e1")]
fn report_kept(#[case] versions: &[&str], #[case] expected: &str) {
    let mut dispatcher = dispatcher();
    assert_eq!(run(&mut dispatcher, ask(1, &["e1"])), "e2");
    for version in versions {
        report(&mut dispatcher, version);
    }
    assert_eq!(run(&mut dispatcher, ask(2, &[])), expected);
}
