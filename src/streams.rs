//! Answers in progress: the text generated so far, and the number of readers.
//!
//! An answer is generated whether or not its caller is connected, so that a caller whose
//! connection broke can resume reading by the request's id. An answer without readers is
//! cancelled after [`UNREAD_TIMEOUT_MS`].

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use crate::clock::now_ms;
use crate::refusal::Refusal;
use crate::sync::locked;

/// Time for which an ended answer is kept for its readers.
const RETENTION_MS: u64 = 30_000;
/// Maximum number of ended answers kept.
const MAX_ENDED: usize = 512;
/// Time without a reader after which an answer is cancelled.
pub const UNREAD_TIMEOUT_MS: u64 = 15_000;

/// How an answer ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// It is complete, with the finish reason that the engine gave.
    Finished(String),
    /// The request was refused, or the answer broke off.
    Refused(Refusal),
}

#[derive(Default)]
struct Content {
    texts: Vec<String>,
    version: String,
    cached_tokens: u32,
    end: Option<StreamEnd>,
    ended_at_ms: u64,
    unread_since_ms: u64,
}

/// One answer and its readers.
pub struct AnswerStream {
    /// Id of the request.
    pub id: String,
    /// Client account that it belongs to.
    pub account: String,
    /// Model that the request names.
    pub model: String,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    content: Mutex<Content>,
    changed: watch::Sender<()>,
    cancelled: watch::Sender<bool>,
    readers: AtomicUsize,
}

/// What follows the pieces that a reader has read.
pub enum StreamUpdate {
    /// Texts of the next pieces.
    Texts(Vec<String>),
    /// The end of the answer.
    End(StreamEnd),
}

/// Counts as a reader of an answer until it is dropped.
pub struct ReaderGuard(Arc<AnswerStream>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.readers.fetch_sub(1, Ordering::AcqRel);
        self.0.content().unread_since_ms = now_ms();
    }
}

impl AnswerStream {
    fn content(&self) -> std::sync::MutexGuard<'_, Content> {
        locked(&self.content)
    }

    /// Appends a piece. `version` and `cached_tokens` are taken from the first piece only.
    pub fn push(&self, text: String, version: &str, cached_tokens: u32) {
        {
            let mut content = self.content();
            if content.texts.is_empty() {
                version.clone_into(&mut content.version);
                content.cached_tokens = cached_tokens;
            }
            content.texts.push(text);
        }
        self.changed.send_replace(());
    }

    /// Ends the answer; later calls have no effect.
    pub fn finish(&self, end: StreamEnd) {
        {
            let mut content = self.content();
            if content.end.is_some() {
                return;
            }
            content.end = Some(end);
            content.ended_at_ms = now_ms();
        }
        self.changed.send_replace(());
    }

    /// Weight version that ran and number of cached prompt tokens; empty and 0 before the
    /// first piece.
    #[must_use]
    pub fn version_and_cached_tokens(&self) -> (String, u32) {
        let content = self.content();
        (content.version.clone(), content.cached_tokens)
    }

    /// The text generated so far.
    #[must_use]
    pub fn text(&self) -> String {
        self.content().texts.concat()
    }

    /// Waits for pieces after the first `read` ones, or for the end.
    pub async fn next(&self, read: usize) -> StreamUpdate {
        let mut changed = self.changed.subscribe();
        loop {
            {
                let content = self.content();
                if content.texts.len() > read {
                    return StreamUpdate::Texts(content.texts[read..].to_vec());
                }
                if let Some(end) = &content.end {
                    return StreamUpdate::End(end.clone());
                }
            }
            // The sender lives as long as this stream.
            let _ = changed.changed().await;
        }
    }

    /// Adds a reader, which counts until the guard is dropped.
    pub fn add_reader(self: &Arc<Self>) -> ReaderGuard {
        self.readers.fetch_add(1, Ordering::AcqRel);
        ReaderGuard(self.clone())
    }

    /// Cancels the answer.
    pub fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    /// Waits until the answer is cancelled.
    pub async fn cancelled(&self) {
        let mut cancelled = self.cancelled.subscribe();
        // The sender lives as long as this stream.
        let _ = cancelled.wait_for(|cancelled| *cancelled).await;
    }

    /// When the answer ended; `None` while it is generated.
    fn ended_at_ms(&self) -> Option<u64> {
        let content = self.content();
        content.end.as_ref().map(|_| content.ended_at_ms)
    }

    fn is_unread_too_long(&self, now_ms: u64) -> bool {
        let unread_since_ms = self.content().unread_since_ms;
        self.readers.load(Ordering::Acquire) == 0 && now_ms >= unread_since_ms + UNREAD_TIMEOUT_MS
    }
}

/// All answers of this box, by request id.
#[derive(Default)]
pub struct AnswerStreams {
    by_id: Mutex<HashMap<String, Arc<AnswerStream>>>,
}

impl AnswerStreams {
    /// Creates an empty answer.
    pub fn open(
        &self,
        id: String,
        account: &str,
        model: &str,
        prompt_tokens: u32,
    ) -> Arc<AnswerStream> {
        let content = Content { unread_since_ms: now_ms(), ..Content::default() };
        let stream = Arc::new(AnswerStream {
            id: id.clone(),
            account: account.to_owned(),
            model: model.to_owned(),
            prompt_tokens,
            content: Mutex::new(content),
            changed: watch::Sender::new(()),
            cancelled: watch::Sender::new(false),
            readers: AtomicUsize::new(0),
        });
        locked(&self.by_id).insert(id, stream.clone());
        stream
    }

    /// The answer with this id, if it belongs to `account`.
    #[must_use]
    pub fn find(&self, account: &str, id: &str) -> Option<Arc<AnswerStream>> {
        let by_id = locked(&self.by_id);
        by_id.get(id).filter(|stream| stream.account == account).cloned()
    }

    /// Number of answers that have not ended.
    #[must_use]
    pub fn running_count(&self) -> usize {
        let by_id = locked(&self.by_id);
        by_id.values().filter(|stream| stream.ended_at_ms().is_none()).count()
    }

    /// Removes answers that ended more than the retention time ago, and cancels those that
    /// have had no reader for too long.
    pub fn remove_expired(&self, now_ms: u64) {
        let mut by_id = locked(&self.by_id);
        let ended = by_id.values().filter_map(|stream| stream.ended_at_ms());
        let mut ended: Vec<_> = ended.collect();
        ended.sort_unstable_by(|left, right| right.cmp(left));
        // At high request rates, only the `MAX_ENDED` newest answers are kept.
        let over_limit_ms = ended.get(MAX_ENDED).copied().unwrap_or(0);
        let remove_before_ms = over_limit_ms.max(now_ms.saturating_sub(RETENTION_MS));
        by_id.retain(|_, stream| stream.ended_at_ms().is_none_or(|at_ms| at_ms > remove_before_ms));
        for stream in by_id.values().filter(|stream| stream.is_unread_too_long(now_ms)) {
            stream.cancel();
        }
    }
}
