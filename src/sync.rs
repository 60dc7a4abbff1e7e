//! Locks of shared state.

use std::sync::{Mutex, MutexGuard};

/// Locks `mutex`.
///
/// # Panics
/// Panics when another thread panicked while it held the lock: what it left
/// behind is not to be trusted, and the box is replaced.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread panics while it holds a lock")
}
