//! Adapters for the protocol of the platform on which the gateway runs.
//!
//! This module holds the names, formats and calls of that protocol: incoming data is decoded
//! into the types of the gateway, and outgoing data is encoded from them. It makes no decisions,
//! and no other module uses the platform's names. docs/GLOSSARY.md maps the platform's terms to
//! those of this project.

pub mod caches;
pub mod document;
pub mod engine;
pub mod entry;
pub mod exchange;
pub mod headers;
pub mod http;
pub mod keys;
pub mod metadata;

/// The contract of deployments whose clients and upstreams may read slowly.
pub const SLOW_READERS_CONTRACT: &str = "pressure";
