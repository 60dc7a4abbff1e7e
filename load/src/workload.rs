//! Arrivals of the two users' workloads, determined by a seed.
//!
//! A prompt consists of a long context, which many requests of one account share, and a short
//! question. Contexts are used again after pauses in which engines evict them.

use std::fmt::Write as _;

use crate::figures::ratio;

/// The user whose workload is simulated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkloadKind {
    /// Match summaries from rulebooks, and short questions from fans.
    Sanam,
    /// Page checks against style packs that are used again after a long time.
    Petra,
}

impl WorkloadKind {
    /// Name of the workload in tables and account names.
    pub fn name(self) -> &'static str {
        match self {
            Self::Sanam => "sanam",
            Self::Petra => "petra",
        }
    }

    /// Number of contexts of all accounts together.
    fn contexts(self) -> usize {
        match self {
            Self::Sanam => 120,
            Self::Petra => 260,
        }
    }

    fn context_tokens(self) -> usize {
        match self {
            Self::Sanam => 4000,
            Self::Petra => 6000,
        }
    }

    /// Percentage of requests that go to the plain service.
    fn call_percent(self) -> u64 {
        match self {
            Self::Sanam => 20,
            Self::Petra => 15,
        }
    }

    /// Percentage of completions that are short questions without a context.
    fn question_percent(self) -> u64 {
        match self {
            Self::Sanam => 30,
            Self::Petra => 0,
        }
    }

    /// Exponent by which requests concentrate on few contexts; 0 means that they are spread
    /// evenly.
    fn skew(self) -> f64 {
        match self {
            Self::Sanam => 0.9,
            Self::Petra => 0.3,
        }
    }

    /// Value of `--weights` in `template set` that reflects this user's priorities.
    pub fn weights(self) -> &'static str {
        match self {
            Self::Sanam => "1,0.1,0.1",
            Self::Petra => "0.5,1,0.5",
        }
    }
}

/// Relative request rates of the accounts, a few of which are large.
pub const ACCOUNT_WEIGHTS: [f64; 10] = [6.0, 4.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0];

/// Kind of request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A completion, with or without a context.
    Completion {
        /// Number of the context.
        context: Option<usize>,
        /// Number of the question.
        question: u64,
        /// Tokens to generate.
        max_tokens: u32,
    },
    /// A call that must run at most once.
    CallOnce,
    /// A call that may be retried.
    Call,
}

/// A request and its time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at_ms: u64,
    /// Account that sends the request.
    pub account: usize,
    pub request: RequestKind,
}

impl Arrival {
    fn context_use(&self) -> Option<(u64, usize)> {
        match self.request {
            RequestKind::Completion { context: Some(context), .. } => Some((self.at_ms, context)),
            RequestKind::Completion { .. } | RequestKind::CallOnce | RequestKind::Call => None,
        }
    }
}

/// Accounts from this one on use each context only once in the Petra workload.
const FIRST_ONE_OFF_ACCOUNT: usize = 6;
/// Contexts that are used only once are numbered from here.
const FIRST_ONE_OFF_CONTEXT: usize = 1 << 20;
/// Requests per second of the warm-up.
const WARMUP_RATE_PER_S: usize = 60;

/// A workload.
#[derive(Clone)]
pub struct Workload {
    /// The user whose workload this is.
    pub kind: WorkloadKind,
    /// End of the warm-up; 0 if there is none.
    pub warmup_ms: u64,
    /// All arrivals in order of time.
    pub arrivals: Vec<Arrival>,
}

impl Workload {
    /// Arrivals at random times with a mean rate of `rate_per_s`.
    pub fn new(kind: WorkloadKind, seed: u64, rate_per_s: f64, seconds: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut arrivals = Vec::new();
        let mut at_s = 0.0;
        let end_s = u32::try_from(seconds).map_or(0.0, f64::from);
        loop {
            at_s += -(1.0 - rng.f64()).ln() / rate_per_s;
            if at_s >= end_s {
                return Self { kind, warmup_ms: 0, arrivals };
            }
            let account = weighted_index(&mut rng, &ACCOUNT_WEIGHTS);
            let request = random_request(&mut rng, kind, account);
            arrivals.push(Arrival { at_ms: to_ms(at_s), account, request });
        }
    }

    /// Adds a warm-up before the arrivals, which uses each context once.
    pub fn with_warmup(mut self, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut contexts: Vec<_> = (0..self.kind.contexts()).collect();
        rng.shuffle(&mut contexts);
        let warmup = contexts.into_iter().enumerate().map(|(number, context)| Arrival {
            at_ms: (number * 1000 / WARMUP_RATE_PER_S) as u64,
            account: context % ACCOUNT_WEIGHTS.len(),
            request: RequestKind::Completion {
                context: Some(context),
                question: rng.u64(..),
                max_tokens: 8,
            },
        });
        let warmup: Vec<_> = warmup.collect();
        // The last requests of the warm-up get one second to complete.
        self.warmup_ms = warmup.last().map_or(0, |arrival| arrival.at_ms + 1000);
        for arrival in &mut self.arrivals {
            arrival.at_ms += self.warmup_ms;
        }
        self.arrivals.splice(0..0, warmup);
        self
    }

    /// Lowest possible percentage of prompts whose context has to be recomputed if at most
    /// `capacity_tokens` of context are kept and all arrivals are known in advance. The context
    /// whose next use is furthest away is evicted first.
    pub fn optimal_recompute_percent(&self, capacity_tokens: usize) -> f64 {
        let capacity = capacity_tokens / self.kind.context_tokens();
        let uses: Vec<_> = self.arrivals.iter().filter_map(Arrival::context_use).collect();
        let mut cached: Vec<usize> = Vec::new();
        let (mut prompts, mut missed) = (0, 0);
        for (index, (at_ms, context)) in uses.iter().enumerate() {
            let measured = *at_ms >= self.warmup_ms;
            prompts += usize::from(measured);
            if cached.contains(context) {
                continue;
            }
            missed += usize::from(measured);
            cached.push(*context);
            if cached.len() > capacity {
                let next_use = |cached_context: &usize| {
                    let later = uses[index + 1..].iter();
                    later
                        .clone()
                        .position(|(_, later)| later == cached_context)
                        .unwrap_or(usize::MAX)
                };
                let last = (0..cached.len()).max_by_key(|index| next_use(&cached[*index]));
                cached.swap_remove(last.unwrap_or(0));
            }
        }
        100.0 * ratio(missed as u64, prompts as u64)
    }

    /// Adds requests of one account with a mean rate of `rate_per_s`.
    pub fn add_requests(&mut self, account: usize, seed: u64, rate_per_s: f64, seconds: u64) {
        let added = Self::new(self.kind, seed, rate_per_s, seconds);
        let added = added.arrivals.into_iter().map(|arrival| Arrival { account, ..arrival });
        self.arrivals.extend(added);
        self.arrivals.sort_by_key(|arrival| arrival.at_ms);
    }

    /// The prompt of a completion.
    pub fn prompt(&self, account: usize, context: Option<usize>, question: u64) -> String {
        let name = self.kind.name();
        let mut prompt = String::new();
        if let Some(context) = context {
            let bytes = self.kind.context_tokens() * 4;
            let mut line = 0;
            while prompt.len() < bytes {
                line += 1;
                let _ = write!(prompt, "{name} {account} book {context} rule {line}. ");
            }
            prompt.truncate(bytes);
        }
        let _ = write!(prompt, "{name} {account} question {question}: what happened, and why?");
        prompt
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "times are small")]
fn to_ms(seconds: f64) -> u64 {
    (seconds * 1000.0) as u64
}

fn weighted_index(rng: &mut fastrand::Rng, weights: &[f64]) -> usize {
    let mut remaining = rng.f64() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

fn random_request(rng: &mut fastrand::Rng, kind: WorkloadKind, account: usize) -> RequestKind {
    if rng.u64(0..100) < kind.call_percent() {
        return if rng.bool() { RequestKind::CallOnce } else { RequestKind::Call };
    }
    let question = rng.u64(..);
    if rng.u64(0..100) < kind.question_percent() {
        return RequestKind::Completion { context: None, question, max_tokens: rng.u32(8..24) };
    }
    if kind == WorkloadKind::Petra && account >= FIRST_ONE_OFF_ACCOUNT {
        let context = Some(FIRST_ONE_OFF_CONTEXT + rng.usize(..1 << 40));
        return RequestKind::Completion { context, question, max_tokens: rng.u32(16..48) };
    }
    let accounts = ACCOUNT_WEIGHTS.len();
    let account_contexts: Vec<_> = (account..kind.contexts()).step_by(accounts).collect();
    let ranks = 1..=u32::try_from(account_contexts.len()).unwrap_or(1);
    let weights: Vec<_> = ranks.map(|rank| f64::from(rank).powf(-kind.skew())).collect();
    let context = account_contexts[weighted_index(rng, &weights)];
    RequestKind::Completion { context: Some(context), question, max_tokens: rng.u32(16..48) }
}
