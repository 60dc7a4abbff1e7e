//! A task that panics is started again; before, it was gone while its process went on saying that it is
//! ready.

use std::cell::Cell;

use coursestile::supervisor::{keep_running, panic_text};

#[tokio::test]
async fn started_again() {
    let starts = Cell::new(0);
    keep_running("test", || {
        starts.set(starts.get() + 1);
        let start = starts.get();
        async move { assert!(start > 3, "start {start}") }
    })
    .await;
    assert_eq!(starts.get(), 4);
}

/// A panic may also come before the task's first wait.
#[tokio::test]
async fn failed_start() {
    let starts = Cell::new(0);
    keep_running("test", || {
        starts.set(starts.get() + 1);
        assert!(starts.get() > 1, "no start");
        async {}
    })
    .await;
    assert_eq!(starts.get(), 2);
}

#[test]
fn texts() {
    let panic = std::panic::catch_unwind(|| panic!("number {}", 7)).unwrap_err();
    assert_eq!(panic_text(&*panic), "number 7");
    assert_eq!(panic_text(&7), "unknown");
}
