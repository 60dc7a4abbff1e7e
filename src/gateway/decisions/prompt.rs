//! A prompt as its client describes it: a list of parts.
//!
//! All parts but the last may be shared between requests. Cached context of a part is usable only
//! together with that of all earlier parts.

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hexadecimal id.
    pub id: String,
    /// Length.
    pub tokens: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prompt {
    pub model: String,
    /// Length of all parts.
    pub tokens: u32,
    /// Maximum number of generated tokens.
    pub max_output_tokens: u32,
    /// Parts, in order.
    pub parts: Vec<Part>,
}

impl Prompt {
    /// Parses a prompt from its model, its lengths (`input,output`) and its parts (`id:tokens`,
    /// separated by commas); `None` if they are malformed.
    #[must_use]
    pub fn parse(model: &str, lengths: &str, parts: &str) -> Option<Self> {
        let (tokens, output) = lengths.split_once(',')?;
        let parts: Option<Vec<Part>> = parts.split(',').map(parse_part).collect();
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
        let last = usize::from(!self.parts.is_empty());
        &self.parts[..self.parts.len() - last]
    }

    /// Length of the first of several shared parts, which most requests on an engine share.
    #[must_use]
    pub fn common_tokens(&self) -> u32 {
        let shared = self.shared_parts();
        shared.first().filter(|_| shared.len() > 1).map_or(0, |part| part.tokens)
    }

    /// Engine memory that a request occupies, in tokens: the prompt without the common part, and the
    /// maximum output.
    #[must_use]
    pub fn memory_tokens(&self) -> u32 {
        self.tokens.saturating_sub(self.common_tokens()).saturating_add(self.max_output_tokens)
    }
}

fn parse_part(text: &str) -> Option<Part> {
    let (id, tokens) = text.trim().split_once(':')?;
    let is_hex = !id.is_empty() && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    let tokens = tokens.parse().ok()?;
    is_hex.then(|| Part { id: id.to_owned(), tokens })
}
