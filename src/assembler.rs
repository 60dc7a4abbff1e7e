//! Puts the pieces of an answer in order.
//!
//! A piece names the attempt it belongs to and its place in the answer.
//! Pieces of an older attempt are dropped, a repeated piece is dropped, and
//! the answer counts as whole only when every place up to the last is filled.

use std::collections::BTreeMap;

/// Most pieces held back while an earlier one is missing.
pub const MAX_HELD_PIECES: usize = 4096;

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Attempt that generated it.
    pub attempt: u32,
    /// Place in the whole answer.
    pub seq: u64,
    /// Generated text.
    pub text: String,
    /// Why the answer ends here, on the last piece.
    pub finish: Option<String>,
}

/// Why a piece was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Dropped {
    /// piece of an older attempt
    OldAttempt,
    /// piece seen before
    Repeated,
    /// piece after the last one
    AfterEnd,
    /// too many pieces held for a missing one
    TooManyHeld,
}

/// The ordered pieces of one answer.
#[derive(Debug, Default)]
pub struct Assembler {
    attempt: u32,
    next_seq: u64,
    buffered: BTreeMap<u64, Piece>,
    finish: Option<String>,
}

impl Assembler {
    /// Starts a new attempt, which goes on at the first missing piece.
    pub fn start_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.buffered.clear();
        self.attempt
    }

    /// Place of the first missing piece.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Why the answer ended, once every piece is there.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.finish.as_deref()
    }

    /// Takes a piece; returns those that are now in order.
    ///
    /// # Errors
    /// Says why the piece was dropped.
    pub fn take(&mut self, piece: Piece) -> Result<Vec<Piece>, Dropped> {
        if piece.attempt != self.attempt {
            return Err(Dropped::OldAttempt);
        }
        if self.finish.is_some() {
            return Err(Dropped::AfterEnd);
        }
        if piece.seq < self.next_seq || self.buffered.contains_key(&piece.seq) {
            return Err(Dropped::Repeated);
        }
        if self.buffered.len() >= MAX_HELD_PIECES {
            return Err(Dropped::TooManyHeld);
        }
        self.buffered.insert(piece.seq, piece);
        Ok(self.take_ready())
    }

    fn take_ready(&mut self) -> Vec<Piece> {
        let mut ready = Vec::new();
        while self.finish.is_none() {
            let Some(piece) = self.buffered.remove(&self.next_seq) else {
                break;
            };
            self.next_seq += 1;
            self.finish.clone_from(&piece.finish);
            ready.push(piece);
        }
        ready
    }
}
