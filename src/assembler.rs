//! Reorders the pieces of an answer.
//!
//! A piece has the number of its attempt and its position in the answer. Pieces of older attempts
//! and repeated pieces are dropped. The answer is complete only when it has all pieces up to the
//! last one.

use std::collections::BTreeMap;

/// Maximum number of pieces buffered while an earlier one is missing.
pub const MAX_BUFFERED_PIECES: usize = 4096;

/// A piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Attempt that generated the piece.
    pub attempt: u32,
    /// Position in the answer.
    pub seq: u64,
    /// Generated text.
    pub text: String,
    /// Finish reason, on the last piece.
    pub finish: Option<String>,
}

/// Why a piece is dropped.
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

/// Orders the pieces of one answer.
#[derive(Debug, Default)]
pub struct Assembler {
    attempt: u32,
    next_seq: u64,
    buffered: BTreeMap<u64, Piece>,
    finish: Option<String>,
}

impl Assembler {
    /// Starts a new attempt, which continues at the first missing piece.
    pub fn start_attempt(&mut self) -> u32 {
        self.attempt += 1;
        self.buffered.clear();
        self.attempt
    }

    /// Position of the first missing piece.
    #[must_use]
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Finish reason, once all pieces are there.
    #[must_use]
    pub fn finish(&self) -> Option<&str> {
        self.finish.as_deref()
    }

    /// Adds a piece; returns the pieces that are now in order.
    ///
    /// # Errors
    /// Returns why the piece is dropped.
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
        if self.buffered.len() >= MAX_BUFFERED_PIECES {
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
