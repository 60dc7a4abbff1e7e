//! What operators change.

/// The object that a change touches.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Object {
    /// template {0}
    Template(String),
    /// account {0}
    Account(String),
    /// upstream {0}
    Upstream(String),
    /// model {0}
    Model(String),
}
