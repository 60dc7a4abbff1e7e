//! Tasks that must not end while the process runs.
//!
//! A panic ends a task, not the process: a box whose follower of the metadata store is gone would go on
//! saying that it is ready. Such a task is started again after a pause. A panic under a lock may
//! leave the state behind it inconsistent; then the process ends, so that the platform starts it again.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt as _;
use log::error;
use tokio::time::sleep;

/// Pause before a task is started again: it may panic again at once.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Spawns a task that is started again when it panics.
pub fn spawn<F: Future<Output = ()> + Send + 'static>(
    task: &'static str,
    start: impl FnMut() -> F + Send + 'static,
) {
    tokio::spawn(keep_running(task, start));
}

/// Spawns a task that cannot be started again: the process ends when it panics.
pub fn spawn_single(task: &'static str, run: impl Future<Output = ()> + Send + 'static) {
    tokio::spawn(async move {
        if let Err(cause) = AssertUnwindSafe(run).catch_unwind().await {
            log_panic(task, &*cause);
            end_process(task);
        }
    });
}

/// Runs a task until it ends without a panic.
pub async fn keep_running<F: Future<Output = ()>>(
    task: &'static str,
    mut start: impl FnMut() -> F,
) {
    while let Err(cause) = AssertUnwindSafe(async { start().await }).catch_unwind().await {
        log_panic(task, &*cause);
        sleep(RESTART_PAUSE).await;
    }
}

/// Ends the process because of `reason`, with the code of a failure.
pub fn end_process(reason: &str) -> ! {
    error!(target: "supervisor", "event=process_ends reason={reason}");
    log::logger().flush();
    std::process::exit(1)
}

/// Text of a panic, for a log line.
#[must_use]
pub fn panic_text(cause: &(dyn Any + Send)) -> &str {
    let text = cause.downcast_ref::<&str>().copied();
    text.or_else(|| cause.downcast_ref::<String>().map(String::as_str)).unwrap_or("unknown")
}

fn log_panic(task: &str, cause: &(dyn Any + Send)) {
    metrics::counter!("coursestile_task_panics_total").increment(1);
    error!(target: "supervisor", "event=task_panicked task={task} cause=\"{}\"", panic_text(cause));
}
