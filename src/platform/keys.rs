//! Keys of the metadata store, and the decoding of their values.

use crate::error::{Error, Result};
use crate::gateway::decisions::configuration::Configuration;
use crate::gateway::decisions::upstream::UpstreamEntry;
use crate::platform::{document, entry};

/// Prefix of all keys that operators write.
pub const OPERATOR_PREFIX: &str = "op/";
/// Prefix of the keys of upstreams' entries.
pub const UPSTREAM_PREFIX: &str = "servers/";
/// Key of the configuration.
const CONFIGURATION: &str = "op/config";
/// Prefix of the keys that name the weight version of a model.
const WEIGHTS_PREFIX: &str = "op/version/";
/// Prefix of the keys that exist while operators evacuate a data hall.
const EVACUATION_PREFIX: &str = "op/evacuate/";
/// Prefix of the keys that the gateway writes.
pub const OWN_PREFIX: &str = "coursestile/";

/// Kind of value that a key holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyKind<'a> {
    /// The configuration.
    Configuration,
    /// The weight version that operators have named for a model.
    Weights {
        /// Name of the model.
        model: &'a str,
    },
    /// Present while operators evacuate a data hall, whatever its value.
    Evacuation {
        /// Name of the hall.
        hall: &'a str,
    },
    /// An upstream's entry.
    Upstream {
        /// Id of the upstream.
        id: &'a str,
    },
    /// The list of box addresses.
    Members,
    /// The quarantined requests, which crash upstreams.
    Quarantine,
    /// The quarantined parts of prompts.
    QuarantinedParts,
    /// The versions of upstreams' software that may have begun streams.
    Software,
    /// Another key that the gateway writes.
    Own,
    /// A key that the gateway does not use.
    Other,
}

/// Returns what kind of value `key` holds.
#[must_use]
pub fn kind(key: &str) -> KeyKind<'_> {
    if key == CONFIGURATION {
        return KeyKind::Configuration;
    }
    if let Some(model) = key.strip_prefix(WEIGHTS_PREFIX) {
        return KeyKind::Weights { model };
    }
    if let Some(hall) = key.strip_prefix(EVACUATION_PREFIX) {
        return KeyKind::Evacuation { hall };
    }
    if key == members() {
        return KeyKind::Members;
    }
    if key == quarantine() {
        return KeyKind::Quarantine;
    }
    if key == quarantined_parts() {
        return KeyKind::QuarantinedParts;
    }
    if key == software() {
        return KeyKind::Software;
    }
    if key.starts_with(OWN_PREFIX) {
        return KeyKind::Own;
    }
    match key.strip_prefix(UPSTREAM_PREFIX) {
        Some(id) => KeyKind::Upstream { id },
        None => KeyKind::Other,
    }
}

/// The key of the configuration.
#[must_use]
pub fn configuration() -> &'static str {
    CONFIGURATION
}

/// The key of the list of box addresses.
#[must_use]
pub fn members() -> String {
    format!("{OWN_PREFIX}members")
}

/// The key of the quarantined requests.
#[must_use]
pub fn quarantine() -> String {
    format!("{OWN_PREFIX}quarantine")
}

/// The key of the quarantined parts of prompts.
#[must_use]
pub fn quarantined_parts() -> String {
    format!("{OWN_PREFIX}quarantined-parts")
}

/// The key of the versions of upstreams' software that may have begun streams.
#[must_use]
pub fn software() -> String {
    format!("{OWN_PREFIX}software")
}

/// The key of the item that the owner of a lease writes.
#[must_use]
pub fn lease(name: &str) -> String {
    format!("{OWN_PREFIX}lease/{name}")
}

/// The key of the claims of leaders on the targets of their orders.
#[must_use]
pub fn claims() -> String {
    format!("{OWN_PREFIX}claims")
}

/// The key that names the weight version of a model.
#[must_use]
pub fn weights(model: &str) -> String {
    format!("{WEIGHTS_PREFIX}{model}")
}

/// Decodes the configuration.
///
/// # Errors
/// Fails with the key and the position of the error.
pub fn read_configuration(bytes: &[u8]) -> Result<Configuration> {
    document::configuration(bytes).map_err(|error| decode_error(CONFIGURATION, &error))
}

/// Decodes a named weight version.
///
/// # Errors
/// Fails with the key and the position of the error.
pub fn read_weights(model: &str, bytes: &[u8]) -> Result<u64> {
    document::weights(bytes)
        .map_err(|error| decode_error(&format!("{WEIGHTS_PREFIX}{model}"), &error))
}

/// Decodes an upstream's entry.
///
/// # Errors
/// Fails with the key and the position of the error.
pub fn read_upstream(id: &str, bytes: &[u8]) -> Result<UpstreamEntry> {
    entry::entry(bytes).map_err(|error| decode_error(&format!("{UPSTREAM_PREFIX}{id}"), &error))
}

fn decode_error(key: &str, error: &serde_json::Error) -> Error {
    Error::PlatformValue(key.to_owned(), error.to_string())
}
