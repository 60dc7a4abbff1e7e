//! The ledger of calls that run at most once.
//!
//! Only the incarnation that gave out a ticket spends it, here in memory and
//! before a byte of the call leaves for an upstream. A key that was spent is
//! never spent again: a call that comes again gets the answer of the first
//! one, or waits for it, or learns that the outcome is unknown. Keys are kept
//! until their ticket expires; after that they are refused, so that
//! forgetting them is safe.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Most keys that one client account may hold.
pub const MAX_KEYS_PER_ACCOUNT: usize = 20_000;
/// Most bytes of answers that one client account may hold.
pub const MAX_ANSWER_BYTES_PER_ACCOUNT: usize = 4 << 20;

/// A call's key: client account and `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// Client account that made the call.
    pub account: String,
    /// Key under a ticket prefix.
    pub key: String,
}

/// The answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type, if one was given.
    pub content_type: Option<String>,
    /// Body as it came.
    pub body: Vec<u8>,
}

/// How a spent call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It ran, and this is its answer.
    Answered(Answer),
    /// It may have run; nobody can tell.
    Unknown,
    /// No byte of it reached an upstream.
    NotRun,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum KeyState {
    Running,
    Answered(Answer),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LedgerEntry {
    fingerprint: u64,
    expires_at_ms: u64,
    state: KeyState,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Run it: the key is spent now.
    Run,
    /// The first call with this key still runs: wait for it.
    Wait,
    /// It ran before: give this answer.
    Replay(Answer),
    /// It may have run before: say so.
    Unknown,
    /// The key was used for another call: refuse, not run.
    Mismatch,
    /// The ticket has expired: the outcome of an earlier call is forgotten.
    Expired,
    /// The account holds too many keys: refuse, not run.
    Full,
    /// This process no longer spends: refuse, not run.
    Closed,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Usage {
    keys: usize,
    answer_bytes: usize,
}

/// All keys spent by one incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    entries: HashMap<CallKey, LedgerEntry>,
    usage: HashMap<String, Usage>,
    closed: bool,
}

impl Ledger {
    /// Decides on a call, and spends its key when it is to run.
    pub fn begin(
        &mut self,
        now_ms: u64,
        key: &CallKey,
        fingerprint: u64,
        expires_at_ms: u64,
    ) -> CallDecision {
        if now_ms >= expires_at_ms {
            return CallDecision::Expired;
        }
        if let Some(entry) = self.entries.get(key) {
            return entry.decide_repeat(fingerprint);
        }
        if self.closed {
            return CallDecision::Closed;
        }
        let usage = self.usage.entry(key.account.clone()).or_default();
        if usage.keys >= MAX_KEYS_PER_ACCOUNT {
            return CallDecision::Full;
        }
        usage.keys += 1;
        let entry = LedgerEntry { fingerprint, expires_at_ms, state: KeyState::Running };
        self.entries.insert(key.clone(), entry);
        CallDecision::Run
    }

    /// Records how a call that was told to run has ended.
    ///
    /// # Panics
    /// Panics when the call does not run: a key would be spent twice.
    pub fn record_outcome(&mut self, key: &CallKey, outcome: &Outcome) {
        let entry = self.entries.get_mut(key).expect("a running call has a ledger entry");
        assert_eq!(entry.state, KeyState::Running, "a call has one outcome");
        let usage = self.usage.entry(key.account.clone()).or_default();
        match outcome {
            Outcome::NotRun => {
                usage.keys -= 1;
                self.entries.remove(key);
            }
            Outcome::Unknown => entry.state = KeyState::Unknown,
            Outcome::Answered(answer) => {
                let bytes = answer.body.len();
                let is_stored = usage.answer_bytes + bytes <= MAX_ANSWER_BYTES_PER_ACCOUNT;
                usage.answer_bytes += if is_stored { bytes } else { 0 };
                entry.state =
                    if is_stored { KeyState::Answered(answer.clone()) } else { KeyState::Unknown };
            }
        }
    }

    /// Forgets keys whose ticket has expired and that do not run.
    pub fn expire(&mut self, now_ms: u64) {
        let usage = &mut self.usage;
        self.entries.retain(|key, entry| {
            let is_kept = entry.state == KeyState::Running || entry.expires_at_ms > now_ms;
            if let Some(usage) = usage.get_mut(&key.account).filter(|_| !is_kept) {
                usage.keys -= 1;
                usage.answer_bytes -= entry.answer_bytes();
            }
            is_kept
        });
        self.usage.retain(|_, usage| usage.keys > 0);
    }

    /// Stops spending for good.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether a call still runs.
    #[must_use]
    pub fn has_running(&self) -> bool {
        self.entries.values().any(|entry| entry.state == KeyState::Running)
    }

    /// The ledger as another box keeps it after this one has stopped.
    #[must_use]
    pub fn handover_copy(&self) -> Self {
        let mut copy = self.clone();
        copy.closed = true;
        for entry in copy.entries.values_mut().filter(|entry| entry.state == KeyState::Running) {
            entry.state = KeyState::Unknown;
        }
        copy
    }

    /// Number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

impl LedgerEntry {
    fn decide_repeat(&self, fingerprint: u64) -> CallDecision {
        if self.fingerprint != fingerprint {
            return CallDecision::Mismatch;
        }
        match &self.state {
            KeyState::Running => CallDecision::Wait,
            KeyState::Answered(answer) => CallDecision::Replay(answer.clone()),
            KeyState::Unknown => CallDecision::Unknown,
        }
    }

    fn answer_bytes(&self) -> usize {
        match &self.state {
            KeyState::Answered(answer) => answer.body.len(),
            KeyState::Running | KeyState::Unknown => 0,
        }
    }
}
