//! A prompt as its client describes it: a list of parts.
//!
//! Parts are shared among requests, but for the last. A part's context counts
//! only when that of every part before it is there too.

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Id, in hex.
    pub id: String,
    /// Length.
    pub tokens: u32,
}

/// A prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Model.
    pub model: String,
    /// Length of all parts.
    pub tokens: u32,
    /// Most tokens to generate.
    pub max_output_tokens: u32,
    /// Parts, in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Reads a prompt from the texts of its model, its lengths (`in,out`) and
    /// its parts (`id:tokens`, separated by commas); `None` when they are no
    /// prompt.
    #[must_use]
    pub fn parse(model: &str, lengths: &str, parts: &str) -> Option<Self> {
        let (tokens, output) = lengths.split_once(',')?;
        let parts: Option<Vec<Part>> = parts.split(',').map(part).collect();
        Some(Self {
            model: model.to_owned(),
            tokens: tokens.trim().parse().ok()?,
            max_output_tokens: output.trim().parse().ok()?,
            parts: parts?,
        })
    }

    /// The parts that other requests may share.
    #[must_use]
    pub fn shared_parts(&self) -> &[Part] {
        let own = usize::from(!self.parts.is_empty());
        &self.parts[..self.parts.len() - own]
    }

    /// Tokens of an engine's memory that a request takes while it is there: all
    /// but the part that most requests there share.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        let shared = self.shared_parts();
        let common = shared.first().filter(|_| shared.len() > 1).map_or(0, |part| part.tokens);
        self.tokens.saturating_sub(common).saturating_add(self.max_output_tokens)
    }
}

fn part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    let hex = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    let tokens = tokens.parse().ok()?;
    hex.then(|| Part { id: id.to_owned(), tokens })
}
