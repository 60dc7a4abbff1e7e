//! Error type of the library.

use crate::object::Object;

/// An error.
#[derive(Debug, displaydoc::Display)]
pub enum Error {
    /// {0} findings in the settings: {1}
    Settings(usize, String),
    #[displaydoc(
        "{object} was changed since it was read: at revision {found_revision}, not {expected_revision}"
    )]
    Conflict { object: Object, expected_revision: u64, found_revision: u64 },
    /// the change is refused: {0:?}
    BadChange(Vec<String>),
    /// call to the platform's key-value store failed: {0}
    Platform(String),
    /// the platform's key-value store is unable to serve the call: {0}
    PlatformUnable(String),
    /// invalid value of '{0}' in the platform's key-value store: {1}
    PlatformValue(String, String),
    /// concurrent changes by other operators won each attempt; try again
    Contended,
    /// unexpected response from an upstream: {0}
    Upstream(String),
    /// an upstream accepts no more calls for now: {0}
    Busy(String),
    /// cannot listen on {0}: {1}
    Listen(String, String),
    /// message between boxes: {0}
    Message(String),
    /// {0}
    Usage(String),
}

impl std::error::Error for Error {}

/// Result with the library's error.
pub type Result<T> = std::result::Result<T, Error>;
