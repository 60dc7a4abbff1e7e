//! Admission: which engines have room for another request, and when a request that
//! was turned away may come back.
//!
//! An engine serves what it holds at once quickly, and everything late once more
//! waits for its memory: then it drops the context that sessions come back to, reads
//! it again, and each step takes longer. So a request is taken only by an engine that
//! can begin with it in time; when there is none, it is refused at once. The room is
//! judged by what is there already, not by the request's own size, so that large
//! prompts are refused as often as small ones.

use crate::gateway::sources::READ_TOKENS_PER_MS;
use crate::gateway::units::as_f64;
use crate::gateway::upstreams::Load;

/// Part of an engine's memory that requests may take, those of the most urgent rank.
const MEMORY_PART: f64 = 0.9;
/// Part that each less urgent rank leaves to those before it.
const RANK_PART: f64 = 0.1;
/// Ranks that leave room to those before them: the others are treated alike.
const MAX_RANKS: u8 = 3;
/// Part of that room that a request may take which is late already.
const LATE_PART: f64 = 0.5;
/// Part of a latency objective for which prompts read before may keep one waiting.
const READ_WAIT_PART: f64 = 0.25;
/// Least time after which a refused request is to come back.
const RETURN_LEAST_MS: u64 = 400;

/// What is asked of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Asked {
    /// Ranks of the service's routes that are more urgent.
    pub ranks_before: u8,
    /// Latency objective.
    pub objective_ms: u64,
    /// Whether the objective, counted from the first try, has passed.
    pub late: bool,
}

/// What an engine can take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Requests at once; 0 when unknown.
    pub slots: u32,
    /// Memory; 0 when unknown.
    pub memory_tokens: u32,
}

/// Whether an engine under `load` can begin in time with another request.
#[must_use]
pub fn has_room(load: Load, capacity: Capacity, asked: Asked) -> bool {
    let part = room_part(asked);
    let memory = f64::from(capacity.memory_tokens) * part;
    let memory_left = capacity.memory_tokens == 0 || f64::from(load.memory_tokens) < memory;
    let slots_left =
        capacity.slots == 0 || f64::from(load.requests) < f64::from(capacity.slots) * part;
    let read_ms = f64::from(load.unread_tokens) / READ_TOKENS_PER_MS;
    memory_left && slots_left && read_ms <= as_f64(asked.objective_ms) * READ_WAIT_PART
}

/// Part of an engine that must be taken before a request is refused there.
fn room_part(asked: Asked) -> f64 {
    let part = MEMORY_PART - RANK_PART * f64::from(asked.ranks_before.min(MAX_RANKS));
    if asked.late { part * LATE_PART } else { part }
}

/// When a refused request may come back: spread over as long again, so that those
/// refused at the same time do not come back at the same time.
#[must_use]
pub fn return_after_ms(seed: u64, left_ms: u64) -> u64 {
    let spread_ms = (left_ms / 3).saturating_sub(RETURN_LEAST_MS).max(1);
    RETURN_LEAST_MS + seed % spread_ms
}
