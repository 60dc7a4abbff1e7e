//! Keys of the metadata store, and what each holds.

use crate::error::{Error, Result};
use crate::gateway::decisions::site::Site;
use crate::gateway::decisions::upstream::UpstreamEntry;
use crate::platform::document;
use crate::platform::entry;

/// Start of all keys that operators write.
pub const OPERATOR_PREFIX: &str = "op/";
/// Start of the keys of upstreams.
pub const UPSTREAM_PREFIX: &str = "servers/";
/// Key of the configuration.
const CONFIGURATION: &str = "op/config";
/// Start of the keys that name weight versions.
const WEIGHTS_PREFIX: &str = "op/version/";
/// Start of our own keys.
pub const OWN_PREFIX: &str = "coursestile/";

/// What a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind<'a> {
    /// The configuration.
    Configuration,
    /// The weight version that a model is to have.
    Weights {
        /// Model.
        model: &'a str,
    },
    /// An upstream.
    Upstream {
        /// Its id.
        id: &'a str,
    },
    /// Addresses of our boxes.
    Members,
    /// Requests under which upstreams crash.
    Quarantine,
    /// Another one of ours.
    Own,
    /// Nothing that concerns us.
    Other,
}

/// What `key` holds.
#[must_use]
pub fn kind(key: &str) -> Kind<'_> {
    if key == CONFIGURATION {
        return Kind::Configuration;
    }
    if let Some(model) = key.strip_prefix(WEIGHTS_PREFIX) {
        return Kind::Weights { model };
    }
    if key == members() {
        return Kind::Members;
    }
    if key == quarantine() {
        return Kind::Quarantine;
    }
    if key.starts_with(OWN_PREFIX) {
        return Kind::Own;
    }
    match key.strip_prefix(UPSTREAM_PREFIX) {
        Some(id) => Kind::Upstream { id },
        None => Kind::Other,
    }
}

/// The key of the list of our boxes.
#[must_use]
pub fn members() -> String {
    format!("{OWN_PREFIX}members")
}

/// The key of the requests that are quarantined.
#[must_use]
pub fn quarantine() -> String {
    format!("{OWN_PREFIX}quarantine")
}

/// The key of a lease that one box holds.
#[must_use]
pub fn lease(name: &str) -> String {
    format!("{OWN_PREFIX}lease/{name}")
}

/// The key of the engines that leaders may have ordered.
#[must_use]
pub fn claims() -> String {
    format!("{OWN_PREFIX}claims")
}

/// The key that names a model's weight version.
#[must_use]
pub fn weights(model: &str) -> String {
    format!("{WEIGHTS_PREFIX}{model}")
}

/// Reads the configuration.
///
/// # Errors
/// Fails with what cannot be read and where.
pub fn read_site(bytes: &[u8]) -> Result<Site> {
    document::site(bytes).map_err(|fault| unreadable(CONFIGURATION, &fault))
}

/// Reads a named weight version.
///
/// # Errors
/// Fails with what cannot be read and where.
pub fn read_weights(model: &str, bytes: &[u8]) -> Result<u64> {
    document::weights(bytes)
        .map_err(|fault| unreadable(&format!("{WEIGHTS_PREFIX}{model}"), &fault))
}

/// Reads an upstream's entry.
///
/// # Errors
/// Fails with what cannot be read and where.
pub fn read_upstream(id: &str, bytes: &[u8]) -> Result<UpstreamEntry> {
    entry::entry(bytes).map_err(|fault| unreadable(&format!("{UPSTREAM_PREFIX}{id}"), &fault))
}

fn unreadable(key: &str, fault: &serde_json::Error) -> Error {
    Error::PlatformValue(key.to_owned(), fault.to_string())
}
