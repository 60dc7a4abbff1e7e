//! Execution of a request in the engine.

use std::sync::Mutex;

use tokio::sync::watch;

use super::cache::{BLOCK_TOKENS, ChainHash, TOKEN_BYTES, chain};
use crate::answer::Generator;

struct Progress {
    prefill_left: usize,
    cached: usize,
    prefilled: bool,
    completion_taken: bool,
    generator: Generator,
    words: Vec<String>,
    cancelled: bool,
}

/// A run of a request, with its progress and the words generated so far.
pub struct Run {
    pub version: String,
    pub priority: i64,
    pub chain: Vec<ChainHash>,
    pub prompt_tokens: usize,
    pub max_tokens: usize,
    progress: Mutex<Progress>,
    changed: watch::Sender<usize>,
}

impl Run {
    pub fn new(prompt: &str, salt: &str, version: &str, max_tokens: usize, priority: i64) -> Self {
        let prompt_tokens = prompt.len().div_ceil(TOKEN_BYTES).max(1);
        let progress = Progress {
            prefill_left: prompt_tokens,
            cached: 0,
            prefilled: false,
            completion_taken: false,
            generator: Generator::new(version, prompt),
            words: Vec::new(),
            cancelled: false,
        };
        Self {
            version: version.to_owned(),
            priority,
            chain: chain(salt, version, prompt),
            prompt_tokens,
            max_tokens,
            progress: Mutex::new(progress),
            changed: watch::Sender::new(0),
        }
    }

    pub fn set_cached(&self, cached: usize) {
        let mut progress = self.progress.lock().expect("run lock");
        progress.cached = cached.min(self.prompt_tokens);
        progress.prefill_left = self.prompt_tokens - progress.cached;
    }

    pub fn cached(&self) -> usize {
        self.progress.lock().expect("run lock").cached
    }

    pub fn prefill_left(&self) -> usize {
        self.progress.lock().expect("run lock").prefill_left
    }

    /// Prefills up to `budget` tokens; returns the number of prefilled tokens.
    pub fn prefill(&self, budget: usize) -> usize {
        let mut progress = self.progress.lock().expect("run lock");
        let tokens = progress.prefill_left.min(budget);
        progress.prefill_left -= tokens;
        progress.prefilled = progress.prefill_left == 0;
        tokens
    }

    /// Returns true at the first call after the prefill has completed, and false otherwise.
    pub fn take_prefill_completion(&self) -> bool {
        let mut progress = self.progress.lock().expect("run lock");
        let first = progress.prefilled && !progress.completion_taken;
        progress.completion_taken |= first;
        first
    }

    /// Generates a word if the prefill has completed; returns whether the run has ended.
    pub fn decode(&self) -> bool {
        let mut progress = self.progress.lock().expect("run lock");
        if progress.prefilled && !progress.cancelled {
            let word = progress.generator.next_word();
            progress.words.push(word);
        }
        let ended = progress.cancelled || progress.words.len() >= self.max_tokens;
        self.changed.send_replace(progress.words.len());
        ended
    }

    pub fn cancel(&self) {
        self.progress.lock().expect("run lock").cancelled = true;
        self.changed.send_replace(usize::MAX);
    }

    /// Corrupts the rest of the answer, as reading the cached context of another prompt would.
    pub fn corrupt(&self) {
        let mut progress = self.progress.lock().expect("run lock");
        progress.generator = Generator::new("corrupt", "context");
    }

    /// Waits for words from index `from` on; returns those that exist, or `None` if the run
    /// ends before that index.
    pub async fn words_from(&self, from: usize) -> Option<Vec<String>> {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let progress = self.progress.lock().expect("run lock");
                if progress.words.len() > from {
                    return Some(progress.words[from..].to_vec());
                }
                if progress.cancelled || from >= self.max_tokens {
                    return None;
                }
            }
            if changed.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Number of tokens in the complete blocks of the prompt.
    pub fn block_tokens(&self) -> usize {
        self.chain.len() * BLOCK_TOKENS
    }
}
