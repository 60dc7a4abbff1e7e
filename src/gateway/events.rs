//! Boundaries and ids of server-sent events.

use hyper::{HeaderMap, header};

const CONTENT_TYPE: &str = "text/event-stream";

/// What the line that is being scanned contains so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Line {
    #[default]
    Empty,
    /// A comment, which belongs to no event.
    Comment,
    Field,
}

/// Finds the ends of events in a stream that arrives in pieces. Lines end with LF, CR or both.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventScanner {
    line: Line,
    within_event: bool,
    /// Whether the last byte was a CR, to which an LF still belongs.
    after_cr: bool,
    /// Events that have ended.
    ended: u32,
}

impl EventScanner {
    /// Scans the next bytes of the stream. Returns the end of the last line among them that ends
    /// outside of any event.
    pub fn scan(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut boundary = None;
        for (position, &byte) in bytes.iter().enumerate() {
            let follows_cr = std::mem::replace(&mut self.after_cr, byte == b'\r');
            if !matches!(byte, b'\n' | b'\r') {
                if self.line == Line::Empty {
                    self.line = if byte == b':' { Line::Comment } else { Line::Field };
                    self.within_event |= self.line == Line::Field;
                }
                continue;
            }
            // An LF after a CR belongs to the same line end.
            if byte == b'\r' || !follows_cr {
                let was_within = self.within_event;
                self.within_event &= std::mem::take(&mut self.line) != Line::Empty;
                self.ended += u32::from(was_within && !self.within_event);
            }
            if !self.within_event {
                boundary = Some(position + 1);
            }
        }
        boundary
    }

    /// Number of events that have ended.
    #[must_use]
    pub fn ended(&self) -> u32 {
        self.ended
    }

    /// Whether the stream would end within an event if it ended now.
    #[must_use]
    pub fn is_within_event(&self) -> bool {
        self.within_event
    }
}

/// Whether a body on a streaming route consists of events; it does unless it says otherwise.
#[must_use]
pub fn has_events(headers: &HeaderMap) -> bool {
    let content_type = headers.get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    content_type.is_none_or(|content_type| content_type.trim_start().starts_with(CONTENT_TYPE))
}

/// Id of the last event that has one.
#[must_use]
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let mut lines = events.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
    let id = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    Some(String::from_utf8_lossy(id).trim().to_owned())
}
