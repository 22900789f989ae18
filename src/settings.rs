//! Settings as the decision module receives them: dotted names and plain values, already validated by the host.

use std::collections::BTreeMap;

/// One plain value of the settings.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number; spans are in microseconds where the name ends in `-us`.
    Number(f64),
    /// A word or a free text.
    Text(String),
    /// A switch.
    Flag(bool),
}

/// Dotted names and their values, for example `workloads.0.start-target-us`; a list also has its `.count`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// The number of this name; none if it is absent or of another type.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// The text of this name; none if it is absent or of another type.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// The flag of this name; none if it is absent or of another type.
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.0.get(name) {
            Some(Value::Flag(flag)) => Some(*flag),
            _ => None,
        }
    }
}
