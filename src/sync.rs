//! Locking of shared state.

use std::sync::{Mutex, MutexGuard};

use crate::supervisor::end_process;

/// Locks `mutex`. Ends the process when a task has panicked while holding the lock: the state that it
/// left may be inconsistent, and a box that only fails at each use of it would still be alive.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|_| end_process("panic_under_lock"))
}
