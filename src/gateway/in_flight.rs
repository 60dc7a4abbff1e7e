//! A request in flight at an upstream. Accounts for its load, and records what the response shows
//! of the upstream and of the stores that context is fetched from.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use log::info;
use tokio::time::timeout_at;

use crate::clock::{instant_at, now_ms};
use crate::gateway::check::AdmittedRequest;
use crate::gateway::connections::Path;
use crate::gateway::decisions::admission::{FirstTokenOutcome, Occupancy};
use crate::gateway::decisions::choose::Choice;
use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::engine_speed::EventGaps;
use crate::gateway::decisions::incarnation::Incarnation;
use crate::gateway::decisions::news_pace::Pace;
use crate::gateway::decisions::notice::{Notice, NoticeState};
use crate::gateway::decisions::run_lengths::CompletedRun;
use crate::gateway::decisions::store_speed::{FetchExpectation, FetchId};
use crate::gateway::decisions::units::{PREFILL_TOKENS_PER_MS, as_f64};
use crate::gateway::decisions::upstream::Upstream;
use crate::gateway::heads::ResponseHead;
use crate::gateway::kernel::{Gateway, State};
use crate::gateway::{rate_limits, silence};

/// An upstream that rejects a request within this time did not queue it. It is a few round trips.
const IMMEDIATE_REJECTION_MS: u64 = 100;
/// Time without bytes after which a direct connection of a box that is cut off counts as lost; a
/// shorter cut leaves connections usable.
const LOST_AFTER_MS: u64 = 600;
/// Prompts of this length occupy an engine for about 20 ms or more. Other boxes learn of them
/// at once, not only with the next periodic gossip, unless hardly any engine is busy.
const LONG_PROMPT_TOKENS: u32 = 1000;

/// A request in flight at an upstream, from its creation until it is dropped.
pub struct InFlight {
    pub(super) gateway: Arc<Gateway>,
    pub upstream: Incarnation,
    /// Address that the request was sent to.
    pub address: SocketAddr,
    pending_prefill_tokens: u32,
    memory_tokens: u32,
    /// Fetches from stores, by the names of the stores, until the prefill ends.
    fetches: Vec<(String, FetchId)>,
    begun_at_ms: u64,
    /// When the first bytes of a stream arrived.
    written_since_ms: Option<u64>,
    /// How the connection leads to the upstream, once there is one.
    path: Option<Path>,
    /// When bytes last arrived on it, or when it was taken into use.
    last_activity_ms: AtomicU64,
    /// When the first token is due. Set only at an engine that was nearly full, until the first
    /// token arrives.
    objective_at_ms: Option<u64>,
    /// Tokens queued at the engine and those to be prefilled after them, and the time by which fetches
    /// delay the first token. `None` if its time says nothing about the engine's speed.
    prefill: Option<((u32, u32), f64)>,
    /// Gaps between the events of its stream; `None` for services without model engines.
    gaps: Option<EventGaps>,
}

impl InFlight {
    /// Begins to account for a request. `None` if the upstream has a rate limit and this box has no
    /// permit: this is the only way to it.
    #[must_use]
    pub fn begin(gateway: &Arc<Gateway>, choice: &Choice, address: SocketAddr) -> Option<Self> {
        let context = choice.context.as_ref();
        let pending_prefill_tokens = context.map_or(0, |plan| plan.prefill_tokens);
        let planned_fetches = context.map(ContextPlan::store_fetches).unwrap_or_default();
        // A prompt that has to wait for the engine says nothing about the stores.
        let expected = choice.engine_wait_negligible.then(|| FetchExpectation {
            first_token_ms: choice.expected_first_token_ms,
            fetch_ms: context.map_or(0.0, |plan| plan.fetch_ms),
        });
        let begun_at_ms = now_ms();
        let mut state = gateway.state();
        let mut is_urgent =
            pending_prefill_tokens >= LONG_PROMPT_TOKENS && state.peers.news_pace() == Pace::Prompt;
        let State { upstreams, brittle, .. } = &mut *state;
        let mut slots = 0;
        if let Some(upstream) = upstreams.get_incarnation_mut(&choice.upstream) {
            slots = upstream.entry.slots;
            if !upstream.rate_limit.take_permit(begun_at_ms) {
                return None;
            }
            upstream.record_sent(begun_at_ms, pending_prefill_tokens, choice.memory_tokens);
            is_urgent |= brittle.max_rejections(begun_at_ms, &upstream.entry.service).is_some();
        }
        let mut fetches = Vec::new();
        for (name, tokens) in planned_fetches {
            if let Some((_, store)) = state.stores.get_mut(&name) {
                let id = store.speed.record_start(begun_at_ms, tokens, expected);
                fetches.push((name, id));
            }
        }
        drop(state);
        if is_urgent {
            gateway.load_changed.notify_one();
        }
        Some(Self {
            gateway: gateway.clone(),
            upstream: choice.upstream.clone(),
            address,
            pending_prefill_tokens,
            memory_tokens: choice.memory_tokens,
            fetches,
            begun_at_ms,
            written_since_ms: None,
            path: None,
            last_activity_ms: AtomicU64::new(begun_at_ms),
            objective_at_ms: choice
                .objective_at_ms
                .filter(|_| choice.occupancy == Occupancy::NearlyFull),
            prefill: prefill_sample(choice, slots),
            gaps: context.map(|_| EventGaps::default()),
        })
    }

    /// Records the connection on which the request is sent.
    pub fn record_connected(&mut self, path: Path) {
        self.path = Some(path);
        self.last_activity_ms.store(now_ms(), Ordering::Relaxed);
    }

    /// Whether the box is cut off, and nothing arrives on the connection any more.
    #[must_use]
    pub fn is_lost(&self) -> bool {
        self.path == Some(Path::Direct)
            && *self.gateway.cut_off.borrow()
            && now_ms() >= self.lost_at_ms()
    }

    /// When the connection counts as lost if nothing arrives until then.
    fn lost_at_ms(&self) -> u64 {
        self.last_activity_ms.load(Ordering::Relaxed) + LOST_AFTER_MS
    }

    /// Waits until the box is cut off, and nothing arrives on the connection any more.
    pub async fn wait_until_lost(&self) {
        if self.path != Some(Path::Direct) {
            return pending().await;
        }
        let mut cut_off = self.gateway.cut_off.subscribe();
        while !self.is_lost() {
            // Cannot fail: the gateway owns the sender.
            let _ = cut_off.wait_for(|cut_off| *cut_off).await;
            let _ = timeout_at(instant_at(self.lost_at_ms()), cut_off.changed()).await;
        }
    }

    /// Records that bytes have arrived.
    pub fn record_activity(&self) {
        let now_ms = now_ms();
        self.last_activity_ms.store(now_ms, Ordering::Relaxed);
        if self.path == Some(Path::Direct) {
            self.gateway.last_receive_ms.store(now_ms, Ordering::Relaxed);
        }
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_receive(now_ms);
        }
    }

    /// When the request was sent.
    #[must_use]
    pub fn begun_at_ms(&self) -> u64 {
        self.begun_at_ms
    }

    /// Time for which a stream has been written.
    #[must_use]
    pub fn written_ms(&self) -> u64 {
        self.written_since_ms.map_or(0, |since_ms| now_ms().saturating_sub(since_ms))
    }

    /// Records that the prefill has ended, and how long fetching context took.
    pub fn record_first_bytes(&mut self) {
        self.written_since_ms.get_or_insert_with(now_ms);
        self.record_first_token();
        let fetches = std::mem::take(&mut self.fetches);
        let mut state = self.gateway.state();
        for (name, id) in fetches {
            if let Some((_, store)) = state.stores.get_mut(&name) {
                store.speed.record_first_token(now_ms(), id);
            }
        }
        drop(state);
        self.end_prefill();
    }

    /// Records an event of a stream, which was awaited since `awaited_since_ms`, as a sample of the speed
    /// of the engine.
    pub fn record_event(&mut self, awaited_since_ms: u64) {
        let now_ms = now_ms();
        let gap_ms = self.gaps.as_mut().and_then(|gaps| gaps.record(now_ms, awaited_since_ms));
        let prefill = self.prefill.take();
        if gap_ms.is_none() && prefill.is_none() {
            return;
        }
        let mut state = self.gateway.state();
        if let Some((tokens, fetch_ms)) = prefill {
            let time_ms = as_f64(now_ms.saturating_sub(self.begun_at_ms)) - fetch_ms;
            state.upstreams.record_first_token(now_ms, &self.upstream, tokens, time_ms);
        }
        if let Some(gap_ms) = gap_ms {
            state.upstreams.record_event_gap(now_ms, &self.upstream, gap_ms);
        }
    }

    /// Reports to the admission limits whether the first token came in time.
    pub(super) fn record_first_token(&mut self) {
        let Some(objective_at_ms) = self.objective_at_ms.take() else { return };
        let late = now_ms() > objective_at_ms;
        self.report_first_token(if late {
            FirstTokenOutcome::Late
        } else {
            FirstTokenOutcome::InTime
        });
    }

    /// Reports to the admission limits that no first token came in time. Nothing is reported before
    /// the objective has passed: a request that was rejected at once, or whose client left, says
    /// nothing about the load.
    fn record_missing_first_token(&mut self) {
        let objective_at_ms = self.objective_at_ms.take();
        let is_late = objective_at_ms.is_some_and(|objective_at_ms| now_ms() > objective_at_ms);
        if is_late && !self.is_on_missed_path() {
            self.report_first_token(FirstTokenOutcome::Late);
        }
    }

    fn report_first_token(&self, outcome: FirstTokenOutcome) {
        let mut state = self.gateway.state();
        let service = state
            .upstreams
            .get_incarnation(&self.upstream)
            .map(|upstream| upstream.entry.service.clone());
        if let Some(service) = service {
            state.admission_limits.record_first_token(now_ms(), &service, outcome);
        }
    }

    fn end_prefill(&mut self) {
        let tokens = std::mem::take(&mut self.pending_prefill_tokens);
        let mut state = self.gateway.state();
        if let Some(upstream) = state.upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_prefill_end(tokens);
        }
        for (name, id) in std::mem::take(&mut self.fetches) {
            if let Some((_, store)) = state.stores.get_mut(&name) {
                store.speed.record_abort(id);
            }
        }
    }

    /// Records a correct response.
    pub fn record_success(&self) {
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_success();
        }
    }

    /// Whether its connection was direct, and this box has found since that only peers reach the
    /// upstream. How such a request ends says nothing about the upstream.
    fn is_on_missed_path(&self) -> bool {
        let state = self.gateway.state();
        let upstream = state.upstreams.get_incarnation(&self.upstream);
        self.path == Some(Path::Direct) && upstream.is_some_and(Upstream::needs_tunnel)
    }

    /// Records a stream that has ended as it should, after `events`. One that another upstream began
    /// does not show how long a run is.
    pub fn record_run(&self, request: &AdmittedRequest, events: u32) {
        let now_ms = now_ms();
        let (Some(prompt), Some(since_ms)) = (&request.prompt, self.written_since_ms) else {
            return;
        };
        if request.may_have_run || request.outgoing.resumes {
            return;
        }
        let run = CompletedRun {
            events,
            max_output_tokens: prompt.max_output_tokens,
            memory_tokens: self.memory_tokens,
            held_ms: now_ms.saturating_sub(since_ms),
            resident_ms: now_ms.saturating_sub(self.begun_at_ms),
        };
        self.gateway.state().run_lengths.record(&request.service, &request.route.name, run);
    }

    /// Records a failure of the upstream.
    pub fn record_failure(&self) {
        if self.is_on_missed_path() {
            return;
        }
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_failure(now_ms());
        }
    }

    /// Whether the upstream owes responses and has sent nothing for so long that they are awaited no
    /// more.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        silence::is_abandoned(&self.gateway, &self.upstream)
    }

    /// Records that the upstream rejected the request at once. If it did so after queuing the
    /// request, it is full, which its load shows already. A brittle one queues none, so that its
    /// rejection was only late.
    pub fn record_rejection(&self) {
        let now_ms = now_ms();
        {
            let mut state = self.gateway.state();
            let State { upstreams, brittle, .. } = &mut *state;
            let Some(upstream) = upstreams.get_incarnation_mut(&self.upstream) else { return };
            let is_brittle = brittle.max_rejections(now_ms, &upstream.entry.service).is_some();
            if now_ms >= self.begun_at_ms + IMMEDIATE_REJECTION_MS && !is_brittle {
                return;
            }
            upstream.record_rejection(now_ms);
        }
        self.gateway.load_changed.notify_one();
    }

    /// Records that the upstream accepted the request.
    pub fn record_accepted(&self) {
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_acceptance();
        }
    }

    /// Records that the upstream, and thus its service, is brittle.
    pub fn record_brittleness(&self, max_rejections: u64) {
        let mut state = self.gateway.state();
        let Some(upstream) = state.upstreams.get_incarnation(&self.upstream) else { return };
        let service = upstream.entry.service.clone();
        if state.brittle.record_answer(now_ms(), &service, max_rejections) {
            info!(target: "serve",
                "event=service_brittle service={service} max_rejections={max_rejections}");
            self.gateway.gossip_now.notify_one();
        }
    }

    /// Records what a response to this request says of the upstream's rate limit. That of another
    /// incarnation says nothing of it.
    pub fn record_rate_limit(&self, response: &ResponseHead) {
        let is_other = response.upstream_id.as_ref().is_some_and(|id| *id != self.upstream.id);
        if !is_other {
            let named = response.rate_limit;
            rate_limits::record_answer(&self.gateway, &self.upstream, self.begun_at_ms, named);
        }
    }

    /// Applies a notice of the upstream, and gossips it.
    pub fn apply_notice(&self, notice: Notice) {
        let now_ms = now_ms();
        info!(target: "serve", "event=upstream_says upstream={} leaving={} rest_ms={}",
            self.upstream.id, notice.leaving, notice.backoff_ms.unwrap_or_default());
        let notices = NoticeState::from_notice(now_ms, notice);
        self.gateway.state().upstreams.apply_notices(now_ms, &self.upstream, notices);
        self.gateway.gossip_now.notify_one();
    }

    /// Whether the upstream is about to load weights, and gets no new requests.
    #[must_use]
    pub fn is_loading(&self) -> bool {
        let state = self.gateway.state();
        state
            .upstreams
            .get_incarnation(&self.upstream)
            .is_some_and(|upstream| upstream.is_loading(now_ms()))
    }

    /// Whether the requests that run at the upstream delay its load of weights beyond the time
    /// allowed.
    #[must_use]
    pub fn delays_weight_load(&self) -> bool {
        let (now_ms, apply_ms) = (now_ms(), self.gateway.settings.bounds.weights_apply_ms);
        let state = self.gateway.state();
        let Some(upstream) = state.upstreams.get_incarnation(&self.upstream) else { return false };
        state.weights.iter().any(|(model, named)| {
            let version = upstream.weight_version(model);
            version > 0 && named.is_load_overdue(now_ms, version, apply_ms)
        })
    }

    /// Records that no connection to the upstream could be established.
    pub fn record_unreachable(&self) {
        let own_hall = &self.gateway.settings.hall;
        self.gateway.state().upstreams.record_connect_timeout(now_ms(), &self.upstream, own_hall);
    }

    /// Records that another incarnation has taken over the upstream's address.
    pub fn record_superseded(&self) {
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            info!(target: "serve", "event=upstream_superseded upstream={}", self.upstream.id);
            upstream.mark_superseded();
        }
        self.gateway.load_changed.notify_one();
    }

    /// Records the weight version that the upstream was seen to have.
    pub fn record_version(&self, model: &str, version: u64) {
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_weight_version(model, version);
        }
    }
}

/// See [`InFlight::prefill`]. An engine that is short of memory or slots delays first tokens for other
/// reasons than its speed.
fn prefill_sample(choice: &Choice, slots: u32) -> Option<((u32, u32), f64)> {
    let plan = choice.context.as_ref()?;
    if choice.occupancy != Occupancy::Available || choice.load.requests >= slots {
        return None;
    }
    let queued = choice.load.pending_prefill_tokens;
    let fetch_ms = plan.fetch_ms - f64::from(queued) / PREFILL_TOKENS_PER_MS;
    Some(((queued, plan.prefill_tokens), fetch_ms.max(0.0)))
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.record_missing_first_token();
        self.end_prefill();
        if let Some(upstream) = self.gateway.state().upstreams.get_incarnation_mut(&self.upstream) {
            upstream.record_request_end(self.memory_tokens);
        }
        self.gateway.capacity_changed.notify_waiters();
    }
}
