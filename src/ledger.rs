//! Ledger of the idempotency keys of calls that run at most once.
//!
//! Only the incarnation that issued a ticket spends its keys. It does so in memory, before a byte
//! of the call is sent to an upstream. A spent key is never spent again: a repeated call gets the
//! answer of the first one, waits for it, or is refused because the outcome is unknown. Keys are
//! kept until their ticket expires. Calls under an expired ticket are refused, so that it is safe
//! to drop its keys.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Maximum number of keys per client account.
pub const MAX_KEYS_PER_ACCOUNT: usize = 20_000;
/// Maximum total size of stored answers per client account, in bytes.
pub const MAX_ANSWER_BYTES_PER_ACCOUNT: usize = 4 << 20;

/// Identifies a call by its client account and `Idempotency-Key`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// Client account that made the call.
    pub account: String,
    /// The `Idempotency-Key`, which starts with a ticket prefix.
    pub key: String,
}

/// Answer of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Media type, if the upstream sent one.
    pub content_type: Option<String>,
    /// Body as received.
    pub body: Vec<u8>,
}

/// Outcome of a call whose key was spent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The upstream has answered.
    Answered(Answer),
    /// The call may have run.
    Unknown,
    /// No byte of the call has reached an upstream.
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

/// How to proceed with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallDecision {
    /// Run it; its key is spent now.
    Run,
    /// Wait for the first call with this key, which is still running.
    Wait,
    /// Return the answer of the first call.
    Replay(Answer),
    /// Report that an earlier call may have run.
    Unknown,
    /// Refuse it, not run: the key was used for a different call.
    Mismatch,
    /// Refuse it: the ticket has expired, and the outcome of an earlier call may have been dropped.
    Expired,
    /// Refuse it, not run: the account has reached its limit of keys.
    Full,
    /// Refuse it, not run: the ledger is closed, and spends no more keys.
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
    /// Spends the key of a call if the call may run; returns how to proceed with it.
    pub fn try_spend_key(
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

    /// Records the outcome of a call for which [`CallDecision::Run`] was returned.
    ///
    /// # Panics
    /// Panics if the call is not running, since its key could then be spent twice.
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

    /// Drops keys with an expired ticket, except those of running calls.
    pub fn expire(&mut self, now_ms: u64) {
        let usage = &mut self.usage;
        self.entries.retain(|key, entry| {
            let is_retained = entry.state == KeyState::Running || entry.expires_at_ms > now_ms;
            if let Some(usage) = usage.get_mut(&key.account).filter(|_| !is_retained) {
                usage.keys -= 1;
                usage.answer_bytes -= entry.answer_bytes();
            }
            is_retained
        });
        self.usage.retain(|_, usage| usage.keys > 0);
    }

    /// Stops spending keys, irrevocably.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Whether a call is running.
    #[must_use]
    pub fn has_running(&self) -> bool {
        self.entries.values().any(|entry| entry.state == KeyState::Running)
    }

    /// The copy for the heir, the box that takes over the ledger of a stopping box: the outcome of
    /// running calls is unknown in it.
    #[must_use]
    pub fn handover_copy(&self) -> Self {
        let mut copy = self.clone();
        copy.closed = true;
        for entry in copy.entries.values_mut().filter(|entry| entry.state == KeyState::Running) {
            entry.state = KeyState::Unknown;
        }
        copy
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no keys.
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
