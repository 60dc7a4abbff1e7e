//! Errors of the library.

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
    /// the platform's key-value service does not answer: {0}
    Platform(String),
    /// the platform's key-value service does not serve: {0}
    PlatformUnable(String),
    /// the platform's value of '{0}' cannot be read: {1}
    PlatformValue(String, String),
    /// other operators were faster each time; try again
    Contended,
    /// an upstream does not answer as it should: {0}
    Upstream(String),
    /// an upstream takes no more calls for now: {0}
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
