//! Queries to peers by datagram that wait for their answers.

use std::collections::HashMap;
use std::sync::Mutex;

use tokio::sync::oneshot;

use crate::sync::locked;

/// Queries of this box that wait for answers of type `T`, by their numbers.
#[derive(Debug)]
pub struct OpenQueries<T> {
    waiting: Mutex<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> Default for OpenQueries<T> {
    fn default() -> Self {
        Self { waiting: Mutex::default() }
    }
}

/// A query that waits for its answer, until it is dropped.
pub struct OpenQuery<'a, T> {
    queries: &'a OpenQueries<T>,
    number: u64,
    answer: oneshot::Receiver<T>,
}

impl<T> OpenQuery<'_, T> {
    /// The answer, once it arrives.
    pub async fn answer(mut self) -> Option<T> {
        (&mut self.answer).await.ok()
    }
}

impl<T> Drop for OpenQuery<'_, T> {
    fn drop(&mut self) {
        locked(&self.queries.waiting).remove(&self.number);
    }
}

impl<T> OpenQueries<T> {
    /// Begins to wait for the answer to a query.
    pub fn open(&self, number: u64) -> OpenQuery<'_, T> {
        let (sender, answer) = oneshot::channel();
        locked(&self.waiting).insert(number, sender);
        OpenQuery { queries: self, number, answer }
    }

    /// Passes a peer's answer to the query that waits for it.
    pub fn receive_answer(&self, number: u64, answer: T) {
        if let Some(query) = locked(&self.waiting).remove(&number) {
            // The query may have ended.
            let _ = query.send(answer);
        }
    }
}
