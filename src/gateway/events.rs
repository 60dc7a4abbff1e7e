//! Boundaries and ids of server-sent events.

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// End of the last complete event in `bytes`.
#[must_use]
pub fn last_event_end(bytes: &[u8]) -> Option<usize> {
    let start = bytes.windows(EVENT_END.len()).rposition(|window| window == EVENT_END)?;
    Some(start + EVENT_END.len())
}

/// Id of the last event that has one.
#[must_use]
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| *byte == b'\n').rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
