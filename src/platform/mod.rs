//! The users' platform, met through its published protocol.
//!
//! Everything here is names, formats and calls: what arrives is decoded once
//! into the product's types, and what leaves is encoded from them. Nothing
//! here decides, and nothing outside this folder knows the platform's names.
//! docs/GLOSSARY.md maps its words onto ours.

pub mod caches;
pub mod document;
pub mod engine;
pub mod entry;
pub mod exchange;
pub mod headers;
pub mod http;
pub mod keys;
pub mod metadata;
