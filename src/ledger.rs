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
enum Spent {
    Running,
    Answered(Answer),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Line {
    fingerprint: u64,
    expires_at_ms: u64,
    spent: Spent,
}

/// What to do with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begin {
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
    lines: HashMap<CallKey, Line>,
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
    ) -> Begin {
        if now_ms >= expires_at_ms {
            return Begin::Expired;
        }
        if let Some(line) = self.lines.get(key) {
            return line.begin_again(fingerprint);
        }
        if self.closed {
            return Begin::Closed;
        }
        let usage = self.usage.entry(key.account.clone()).or_default();
        if usage.keys >= MAX_KEYS_PER_ACCOUNT {
            return Begin::Full;
        }
        usage.keys += 1;
        let line = Line { fingerprint, expires_at_ms, spent: Spent::Running };
        self.lines.insert(key.clone(), line);
        Begin::Run
    }

    /// Records how a call that was told to run has ended.
    ///
    /// # Panics
    /// Panics when the call does not run: a key would be spent twice.
    pub fn finish(&mut self, key: &CallKey, outcome: &Outcome) {
        let line = self.lines.get_mut(key).expect("a running call has a line");
        assert_eq!(line.spent, Spent::Running, "a call ends once");
        let usage = self.usage.entry(key.account.clone()).or_default();
        match outcome {
            Outcome::NotRun => {
                usage.keys -= 1;
                self.lines.remove(key);
            }
            Outcome::Unknown => line.spent = Spent::Unknown,
            Outcome::Answered(answer) => {
                let bytes = answer.body.len();
                let fits = usage.answer_bytes + bytes <= MAX_ANSWER_BYTES_PER_ACCOUNT;
                usage.answer_bytes += if fits { bytes } else { 0 };
                line.spent = if fits { Spent::Answered(answer.clone()) } else { Spent::Unknown };
            }
        }
    }

    /// Forgets keys whose ticket has expired and that do not run.
    pub fn expire(&mut self, now_ms: u64) {
        let usage = &mut self.usage;
        self.lines.retain(|key, line| {
            let keep = line.spent == Spent::Running || line.expires_at_ms > now_ms;
            if let Some(usage) = usage.get_mut(&key.account).filter(|_| !keep) {
                usage.keys -= 1;
                usage.answer_bytes -= line.answer_bytes();
            }
            keep
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
        self.lines.values().any(|line| line.spent == Spent::Running)
    }

    /// The ledger as another box keeps it after this one has stopped.
    #[must_use]
    pub fn handover(&self) -> Self {
        let mut copy = self.clone();
        copy.closed = true;
        for line in copy.lines.values_mut().filter(|line| line.spent == Spent::Running) {
            line.spent = Spent::Unknown;
        }
        copy
    }

    /// Number of keys held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.lines.len()
    }

    /// Whether no key is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }
}

impl Line {
    fn begin_again(&self, fingerprint: u64) -> Begin {
        if self.fingerprint != fingerprint {
            return Begin::Mismatch;
        }
        match &self.spent {
            Spent::Running => Begin::Wait,
            Spent::Answered(answer) => Begin::Replay(answer.clone()),
            Spent::Unknown => Begin::Unknown,
        }
    }

    fn answer_bytes(&self) -> usize {
        match &self.spent {
            Spent::Answered(answer) => answer.body.len(),
            Spent::Running | Spent::Unknown => 0,
        }
    }
}
