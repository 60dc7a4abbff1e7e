//! Small stand-ins for the systems around coursestile.
//!
//! Each stand-in is one process that speaks the published protocol of the
//! system whose place it takes, and that takes faults by command at `/fault`.
//! They exist for tests, the demo and measurements, and share no code with
//! the product.

pub mod answer;
pub mod args;
pub mod clock;
pub mod engine;
pub mod faults;
pub mod fleet;
pub mod kv;
pub mod loopback;
pub mod service;
pub mod site;
pub mod store;
pub mod wire;
