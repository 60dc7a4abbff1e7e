//! The text that a stand-in engine generates.
//!
//! Each word is a function of the weight version and all preceding text, as
//! with a real model at temperature zero. Continuing from a prompt and the
//! words generated so far therefore yields the same words as an uninterrupted
//! run, and an answer that is wrong, truncated or mixed from several versions
//! or prompts differs from the expected one.

/// Generates an answer word by word.
#[derive(Clone)]
pub struct Generator {
    hasher: blake3::Hasher,
}

impl Generator {
    /// Starts an answer to `prompt` under weight version `version`.
    #[must_use]
    pub fn new(version: &str, prompt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(version.as_bytes());
        hasher.update(b"\0");
        hasher.update(prompt.as_bytes());
        Self { hasher }
    }

    /// Generates the next word.
    pub fn next_word(&mut self) -> String {
        let digest = self.hasher.finalize().to_hex();
        let word = format!("{} ", &digest.as_str()[..4]);
        self.hasher.update(word.as_bytes());
        word
    }
}

/// Returns the complete answer of `tokens` words.
#[must_use]
pub fn full_answer(version: &str, prompt: &str, tokens: usize) -> String {
    let mut generator = Generator::new(version, prompt);
    (0..tokens).map(|_| generator.next_word()).collect()
}
