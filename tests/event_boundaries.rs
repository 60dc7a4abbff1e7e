//! Where events of a stream end, whatever its line ends and the pieces in which it arrives.

use coursestile::gateway::events::{EventScanner, last_event_id};
use rstest::rstest;

/// Scans text in pieces of this many bytes. Returns whether it ends within an event, and its part
/// up to the last line that ends outside of events.
fn scan(text: &str, piece_bytes: usize) -> (bool, &str) {
    let (mut scanner, mut boundary) = (EventScanner::default(), 0);
    for (number, piece) in text.as_bytes().chunks(piece_bytes).enumerate() {
        if let Some(end) = scanner.scan(piece) {
            boundary = number * piece_bytes + end;
        }
    }
    (scanner.is_within_event(), &text[..boundary])
}

#[rstest]
#[case::empty("", false, "")]
#[case::whole("id: 1\ndata: a\n\n", false, "id: 1\ndata: a\n\n")]
#[case::cut_line("id: 1\ndata: a\n\nid: 2\nda", true, "id: 1\ndata: a\n\n")]
#[case::cut_before_blank_line("data: a\n\ndata: b\n", true, "data: a\n\n")]
#[case::comment(": ping\n", false, ": ping\n")]
#[case::cut_comment("data: a\n\n: pi", false, "data: a\n\n")]
#[case::comment_within("data: a\n: ping\n\n", false, "data: a\n: ping\n\n")]
#[case::crlf("data: a\r\n\r\n", false, "data: a\r\n\r\n")]
#[case::cut_crlf("data: a\r\n\r\ndata: b\r\n", true, "data: a\r\n\r\n")]
#[case::cr("data: a\r\rdata", true, "data: a\r\r")]
fn boundaries(#[case] text: &str, #[case] within_event: bool, #[case] whole: &str) {
    for piece_bytes in 1..=text.len().max(1) {
        assert_eq!(scan(text, piece_bytes), (within_event, whole), "pieces of {piece_bytes}");
    }
}

#[test]
fn ids() {
    assert_eq!(last_event_id(b"id: 1\n\nid: 2\r\ndata: a\r\n\r\n").as_deref(), Some("2"));
    assert_eq!(last_event_id(b"data: id: 1\n\n"), None);
}
