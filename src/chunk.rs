//! Answers in the format sent to callers: JSON chunks, streamed as server-sent events.

use std::sync::Arc;

use futures_util::{Stream, StreamExt, stream};
use poem::web::sse::Event;
use serde::Serialize;

use crate::rejection::error_body;
use crate::streams::{AnswerStream, ReaderGuard, StreamEnd, StreamUpdate};

/// Data of the last event of a complete answer.
const END_MARK: &str = "[DONE]";

/// A chunk of an answer, as sent to callers.
#[derive(Serialize)]
pub struct Chunk<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a str,
    system_fingerprint: &'a str,
    seq: usize,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: usize,
    prompt_tokens_details: PromptDetails,
}

#[derive(Serialize)]
struct PromptDetails {
    cached_tokens: u32,
}

fn chunk<'a>(stream: &'a AnswerStream, version: &'a str, seq: usize, text: &'a str) -> Chunk<'a> {
    Chunk {
        id: &stream.id,
        object: "text_completion",
        model: &stream.model,
        system_fingerprint: version,
        seq,
        choices: [Choice { index: 0, text, finish_reason: None }],
        usage: None,
    }
}

/// The last chunk, which has the finish reason and the token usage.
pub fn last_chunk<'a>(
    stream: &'a AnswerStream,
    version: &'a str,
    seq: usize,
    text: &'a str,
    reason: &'a str,
) -> Chunk<'a> {
    let (prompt_tokens, (_, cached_tokens)) =
        (stream.prompt_tokens, stream.version_and_cached_tokens());
    let prompt_tokens_details = PromptDetails { cached_tokens };
    let usage = Usage { prompt_tokens, completion_tokens: seq, prompt_tokens_details };
    Chunk {
        choices: [Choice { index: 0, text, finish_reason: Some(reason) }],
        usage: Some(usage),
        ..chunk(stream, version, seq, text)
    }
}

fn event(chunk: &Chunk<'_>) -> Event {
    Event::message(serde_json::to_string(chunk).unwrap_or_default())
}

struct Cursor {
    stream: Arc<AnswerStream>,
    version: String,
    next: usize,
    ended: bool,
    _reader: ReaderGuard,
}

/// The events of an answer from piece `from` on, for one reader.
pub fn events(
    stream: Arc<AnswerStream>,
    reader: ReaderGuard,
    from: usize,
) -> impl Stream<Item = Event> {
    let version = String::new();
    let cursor = Cursor { stream, version, next: from, ended: false, _reader: reader };
    let batches = stream::unfold(cursor, |mut cursor| async move {
        if cursor.ended {
            return None;
        }
        let batch = cursor.next_batch().await;
        Some((stream::iter(batch), cursor))
    });
    batches.flatten()
}

impl Cursor {
    /// The next events. The end mark is sent only after a complete answer.
    async fn next_batch(&mut self) -> Vec<Event> {
        match self.stream.next(self.next).await {
            StreamUpdate::Texts(texts) => texts.iter().map(|text| self.chunk_event(text)).collect(),
            StreamUpdate::End(StreamEnd::Finished(reason)) => {
                self.ended = true;
                let last = last_chunk(&self.stream, &self.version, self.next, "", &reason);
                vec![event(&last), Event::message(END_MARK)]
            }
            StreamUpdate::End(StreamEnd::Refused(refusal)) => {
                self.ended = true;
                let detail = refusal.reason.to_string();
                vec![Event::message(error_body(&refusal, &detail).to_string())]
            }
        }
    }

    fn chunk_event(&mut self, text: &str) -> Event {
        if self.version.is_empty() {
            self.version = self.stream.version_and_cached_tokens().0;
        }
        let event = event(&chunk(&self.stream, &self.version, self.next, text));
        self.next += 1;
        event
    }
}
