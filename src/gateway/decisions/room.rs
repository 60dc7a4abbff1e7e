//! Admission control by the request: whether a nearly full engine can take one more so that it and
//! those admitted before finish in time.
//!
//! Load pattern: a burst of long prompts, of which an engine has memory for a few only, while it has
//! slots for ten times as many. Counted by load alone, prompts are sent to engines until their memory
//! is exceeded. Engines then preempt runs and compute them again, which takes time from all others.
//!
//! Dozens of boxes decide at the same time on reports that are some hundred milliseconds old, so
//! that each adds what the others are expected to have sent since.

use crate::gateway::decisions::admission::{AdmissionCriteria, Capacity, Occupancy, occupancy};
use crate::gateway::decisions::context::ContextPlan;
use crate::gateway::decisions::engine_speed::Speed;
use crate::gateway::decisions::prompt::Prompt;
use crate::gateway::decisions::run_lengths::ExpectedRun;
use crate::gateway::decisions::units::as_f64;
use crate::gateway::decisions::upstream::{Load, Upstream};

/// Margin on the predicted output: runs of one route differ in length.
const OUTPUT_MARGIN: f64 = 1.25;

/// What is known of a request and its service beyond its prompt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomInputs {
    pub expected: ExpectedRun,
    /// When its client stops waiting.
    pub deadline_ms: u64,
    /// When the load reports of other boxes were received, on average.
    pub reports_at_ms: u64,
}

impl RoomInputs {
    /// The load on an engine for a request with `needs`, with what other boxes are expected to have sent
    /// since they reported. Only a request that is larger than the mean run there needs that room: for
    /// a smaller one, the runs that have ended since make up for it.
    #[must_use]
    pub fn expected_load(&self, now_ms: u64, upstream: &Upstream, needs: &Needs) -> Load {
        let (mut load, peers) = (upstream.total_load(), upstream.peer_load);
        let needed_by_as_many = needs.memory_tokens.saturating_mul(load.requests);
        if needed_by_as_many > load.memory_tokens {
            let age_ms = as_f64(now_ms.saturating_sub(self.reports_at_ms));
            let unseen_part = (age_ms / self.expected.others_resident_ms.max(1.0)).min(1.0);
            load.requests = load.requests.saturating_add(scaled(peers.requests, unseen_part));
            load.memory_tokens =
                load.memory_tokens.saturating_add(scaled(peers.memory_tokens, unseen_part));
        }
        load.memory_tokens = scaled(load.memory_tokens, self.expected.others_memory_part);
        load
    }
}

/// What a request needs of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Needs {
    /// Tokens that the engine has to compute.
    pub prefill_tokens: u32,
    /// Memory up to its end.
    pub memory_tokens: u32,
    /// Time from the first token to the end.
    pub held_ms: f64,
    /// Time for which other runs on the engine occupy memory.
    pub others_resident_ms: f64,
    /// Time left until the deadline.
    pub left_ms: f64,
}

impl Needs {
    /// The needs of a request with `prompt`. All requests of a route count like their mean once that is
    /// known: smaller ones would fill the gaps in which larger ones have no room, and larger ones would
    /// be refused more often.
    #[must_use]
    pub fn new(now_ms: u64, prompt: &Prompt, plan: &ContextPlan, inputs: &RoomInputs) -> Self {
        let expected = inputs.expected;
        let output_part = (expected.output_part * OUTPUT_MARGIN).min(1.0);
        let spared_tokens = scaled(prompt.max_output_tokens, 1.0 - output_part);
        let memory_tokens = prompt.memory_tokens().saturating_sub(spared_tokens);
        Self {
            prefill_tokens: plan.prefill_tokens,
            memory_tokens: match scaled(1, expected.mean_memory_tokens) {
                0 => memory_tokens,
                mean_tokens => mean_tokens,
            },
            held_ms: expected.held_ms,
            others_resident_ms: expected.others_resident_ms,
            left_ms: as_f64(inputs.deadline_ms.saturating_sub(now_ms)),
        }
    }
}

/// Why an engine cannot take a request. The texts are logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Limit {
    /// load
    Load,
    /// memory
    Memory,
    /// deadline
    Deadline,
}

/// What is expected of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Time until the engine starts on the prompt.
    pub wait_ms: f64,
    /// Time to the first token, without transfers.
    pub first_token_ms: f64,
    /// Time to the end.
    pub end_ms: f64,
    pub occupancy: Occupancy,
    /// Why the engine is full, if it is.
    pub limit: Option<Limit>,
}

/// Forecasts a request at an engine of known memory under `load`. Memory and slots are freed at the
/// rate at which the runs there end.
#[must_use]
pub fn forecast(
    load: Load,
    capacity: Capacity,
    speed: Speed,
    needs: Needs,
    criteria: AdmissionCriteria,
) -> Forecast {
    let freed_ms = |missing: f64, used: u32| {
        missing.max(0.0) / f64::from(used.max(1)) * needs.others_resident_ms
    };
    let needed_tokens = load.memory_tokens.saturating_add(needs.memory_tokens);
    let missing_tokens = f64::from(needed_tokens) - f64::from(capacity.memory_tokens);
    let missing_slots = match capacity.slots {
        0 => 0.0,
        slots => f64::from(load.requests) + 1.0 - f64::from(slots),
    };
    let prefill_wait_ms = f64::from(load.pending_prefill_tokens) / speed.prefill_tokens_per_ms;
    let wait_ms = prefill_wait_ms
        .max(freed_ms(missing_tokens, load.memory_tokens))
        .max(freed_ms(missing_slots, load.requests));
    let first_token_ms = wait_ms + f64::from(needs.prefill_tokens) / speed.prefill_tokens_per_ms;
    let end_ms = first_token_ms + needs.held_ms;
    let by_load = occupancy(load, capacity, speed, criteria);
    let limit = if missing_tokens > 0.0 {
        Some(Limit::Memory)
    } else if end_ms > needs.left_ms {
        Some(Limit::Deadline)
    } else {
        (by_load == Occupancy::Full).then_some(Limit::Load)
    };
    let occupancy = if limit.is_some() { Occupancy::Full } else { by_load };
    Forecast { wait_ms, first_token_ms, end_ms, occupancy, limit }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the cast saturates, and no part is negative"
)]
fn scaled(count: u32, part: f64) -> u32 {
    (f64::from(count) * part) as u32
}
