//! The engines of one model in one data hall, as their dispatcher sees them.

use crate::cache::CacheModel;
use crate::external::EngineReport;
use crate::route::EngineCandidate;
use crate::slot_request::SlotRequest;

/// Cooldown after a first failure.
const FIRST_COOLDOWN_MS: u64 = 500;
/// Cooldown after a refusal.
const REFUSED_COOLDOWN_MS: u64 = 250;
/// Upper bound of the cooldown after repeated failures.
const MAX_COOLDOWN_MS: u64 = 15_000;
/// Weight of a new measurement in the moving average of the prefill time per token.
const PREFILL_TIME_WEIGHT: f64 = 0.1;
/// Minimum number of prefilled tokens for a measurement to count.
const MIN_MEASURED_TOKENS: u32 = 512;
/// Time for which requests wait for engines to load a new weight version.
const LOAD_WAIT_MS: u64 = 15_000;

/// An engine and what the dispatcher knows of it.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Name in the settings.
    pub name: String,
    /// URL of the engine.
    pub url: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Estimated contents of its prefix cache.
    pub cache: CacheModel,
    /// Weight version in its latest report.
    pub version: Option<String>,
    /// It reports that it is leaving.
    pub leaving: bool,
    /// It is loading weights.
    pub loading: bool,
    /// Operators have marked it as leaving.
    pub marked_leaving: bool,
    /// Requests that hold one of its slots.
    pub outstanding: u32,
    /// Prompt tokens of granted requests that are not prefilled yet.
    pub pending_tokens: u64,
    /// Time to prefill one token, in milliseconds, as a moving average.
    pub prefill_ms_per_token: f64,
    /// It gets no requests until then, in Unix milliseconds.
    pub cooldown_until_ms: u64,
    failures: u32,
}

impl Engine {
    /// Creates an engine that has not reported yet.
    #[must_use]
    pub fn new(
        name: &str,
        url: &str,
        slots: u32,
        cache_tokens: u64,
        prefill_ms_per_token: f64,
    ) -> Self {
        Self {
            name: name.to_owned(),
            url: url.to_owned(),
            slots,
            cache: CacheModel::new(cache_tokens),
            version: None,
            leaving: false,
            loading: false,
            marked_leaving: false,
            outstanding: 0,
            pending_tokens: 0,
            prefill_ms_per_token,
            cooldown_until_ms: 0,
            failures: 0,
        }
    }

    /// Whether the engine may get new work at all.
    #[must_use]
    pub fn accepts_work(&self) -> bool {
        !self.leaving && !self.marked_leaving
    }

    /// Whether a request for `version` may run here.
    #[must_use]
    pub fn serves(&self, version: &str) -> bool {
        self.accepts_work() && self.version.as_deref().is_none_or(|reported| reported == version)
    }

    /// Whether the engine can take a request now.
    #[must_use]
    pub fn has_capacity(&self, now_ms: u64) -> bool {
        !self.loading && self.outstanding < self.slots && now_ms >= self.cooldown_until_ms
    }

    /// Whether the slot request can be granted here now.
    #[must_use]
    pub fn can_run(&self, now_ms: u64, slot_request: &SlotRequest) -> bool {
        let is_allowed = self.serves(&slot_request.scope.version)
            && !slot_request.excluded_engines.contains(&self.name);
        is_allowed && self.has_capacity(now_ms)
    }

    /// The engine at `index` in the fleet as a routing candidate, with `cached_tokens` of the prompt
    /// in its cache.
    #[must_use]
    pub fn candidate(&self, index: usize, cached_tokens: u32) -> EngineCandidate {
        #[expect(clippy::cast_precision_loss, reason = "token counts stay far below 2^52")]
        let wait_ms = self.pending_tokens as f64 * self.prefill_ms_per_token;
        let (outstanding, prefill_ms_per_token) = (self.outstanding, self.prefill_ms_per_token);
        EngineCandidate { engine: index, outstanding, wait_ms, prefill_ms_per_token, cached_tokens }
    }

    /// Records a failure, which starts a cooldown.
    pub fn record_failure(&mut self, now_ms: u64) {
        let cooldown_ms = FIRST_COOLDOWN_MS << self.failures.min(5);
        self.failures += 1;
        self.cooldown_until_ms = now_ms + cooldown_ms.min(MAX_COOLDOWN_MS);
    }

    /// Records that the engine refused a request; its next report gives the reason.
    pub fn record_refusal(&mut self, now_ms: u64) {
        self.cooldown_until_ms = self.cooldown_until_ms.max(now_ms + REFUSED_COOLDOWN_MS);
    }

    /// Records a success, which ends the cooldown.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.cooldown_until_ms = 0;
    }

    /// Adds a measured prefill to the moving average.
    pub fn record_prefill(&mut self, tokens: u32, took_ms: f64) {
        if tokens >= MIN_MEASURED_TOKENS {
            self.prefill_ms_per_token +=
                PREFILL_TIME_WEIGHT * (took_ms / f64::from(tokens) - self.prefill_ms_per_token);
        }
    }
}

/// All engines, and the weight version that operators want.
#[derive(Debug)]
pub struct Fleet {
    /// The engines; the index of an engine does not change.
    pub engines: Vec<Engine>,
    wanted: Option<WantedVersion>,
}

/// The version that operators want for new requests.
#[derive(Debug)]
struct WantedVersion {
    name: String,
    /// Requests for the version wait for engines to load it until then.
    load_wait_until_ms: u64,
}

impl Fleet {
    /// Creates a fleet of these engines.
    #[must_use]
    pub fn new(engines: Vec<Engine>) -> Self {
        Self { engines, wanted: None }
    }

    /// Processes an engine's status report, `None` when it did not answer. Returns the engine's
    /// index if its version has changed.
    pub fn record_engine_report(
        &mut self,
        now_ms: u64,
        name: &str,
        report: Option<&EngineReport>,
    ) -> Option<usize> {
        let index = self.engines.iter().position(|engine| engine.name == name)?;
        let engine = &mut self.engines[index];
        let Some(report) = report else {
            engine.record_failure(now_ms);
            return None;
        };
        engine.record_success();
        engine.leaving = report.leaving;
        engine.loading = report.loading;
        // The first report is not a change of version: requests granted before it ran on that
        // version.
        let changed = engine.version.as_ref().is_some_and(|reported| *reported != report.version);
        if changed {
            engine.cache.clear();
        }
        engine.version = Some(report.version.clone());
        changed.then_some(index)
    }

    /// Sets the version that operators want, which engines will load soon.
    pub fn set_version(&mut self, now_ms: u64, version: Option<&str>) {
        if self.wanted.as_ref().map(|wanted| wanted.name.as_str()) != version {
            let name = version.map(str::to_owned);
            let load_wait_until_ms = now_ms + LOAD_WAIT_MS;
            self.wanted = name.map(|name| WantedVersion { name, load_wait_until_ms });
        }
    }

    /// Whether an engine is loading weights or has another version than operators want.
    #[must_use]
    pub fn awaits_load(&self) -> bool {
        let Some(wanted) = &self.wanted else {
            return false;
        };
        let differs = |engine: &Engine| engine.version.as_ref() != Some(&wanted.name);
        self.engines.iter().any(|engine| engine.loading || differs(engine))
    }

    /// Whether the request can be served, now or after a load that is expected soon.
    #[must_use]
    pub fn can_serve(&self, now_ms: u64, slot_request: &SlotRequest) -> bool {
        let is_load_expected = self.wanted.as_ref().is_some_and(|wanted| {
            wanted.name == slot_request.scope.version && now_ms < wanted.load_wait_until_ms
        });
        let is_allowed = |engine: &Engine| !slot_request.excluded_engines.contains(&engine.name);
        let mut engines = self.engines.iter().filter(|engine| is_allowed(engine));
        engines.any(|engine| {
            engine.serves(&slot_request.scope.version)
                || (is_load_expected && engine.accepts_work())
        })
    }

    /// Sets which engines operators have marked as leaving.
    pub fn set_marked_leaving(&mut self, is_marked: impl Fn(&str) -> bool) {
        for engine in &mut self.engines {
            engine.marked_leaving = is_marked(&engine.name);
        }
    }

    /// Whether an engine has a free slot for the request now.
    #[must_use]
    pub fn has_free_slot(&self, now_ms: u64, slot_request: &SlotRequest) -> bool {
        self.engines.iter().any(|engine| engine.can_run(now_ms, slot_request))
    }

    /// Engines with a free slot for the request; `cached_tokens` returns the estimate for
    /// an engine.
    #[must_use]
    pub fn candidates(
        &self,
        now_ms: u64,
        slot_request: &SlotRequest,
        cached_tokens: impl Fn(usize) -> u32,
    ) -> Vec<EngineCandidate> {
        let all = self.engines.iter().enumerate();
        let with_free_slot = all.filter(|(_, engine)| engine.can_run(now_ms, slot_request));
        with_free_slot
            .map(|(index, engine)| engine.candidate(index, cached_tokens(index)))
            .collect()
    }
}
