//! Objects of the configuration.

/// An object of the configuration that an operator can change.
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
