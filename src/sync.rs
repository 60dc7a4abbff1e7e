//! Locking of shared state.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`.
///
/// # Panics
/// Panics when another thread has panicked while holding the lock: the state that it left
/// may be inconsistent, and the box has to be replaced.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds a lock")
}
