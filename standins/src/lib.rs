//! Small stand-ins for the systems around coursestile, for tests, the demo and
//! measurements.
//!
//! Each program of this crate speaks the published protocol of the system that it
//! replaces, and accepts faults at `/fault`. `fleet` starts these programs and the
//! product's boxes; `site` runs stand-ins for the gateway's platform within the
//! test process. Nothing here shares code with the product.

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
pub mod usage;
pub mod wire;
