//! Settings in the form that the decision module receives: dotted names and plain values, validated by the host.

use std::collections::BTreeMap;

/// The value of a setting.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// A number. If the setting's name ends in `-us`, a duration in microseconds.
    Number(f64),
    /// A keyword or free text.
    Text(String),
    /// A boolean.
    Flag(bool),
}

/// Values by dotted name, for example `workloads.0.start-target-us`. The length of a list is its `.count`.
#[derive(Clone, Debug, Default)]
pub struct Settings(pub BTreeMap<String, Value>);

impl Settings {
    /// The number with this name; `None` if it is absent or of another type.
    pub fn number(&self, name: &str) -> Option<f64> {
        match self.0.get(name) {
            Some(Value::Number(number)) => Some(*number),
            _ => None,
        }
    }

    /// The text with this name; `None` if it is absent or of another type.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.0.get(name) {
            Some(Value::Text(text)) => Some(text),
            _ => None,
        }
    }

    /// The flag with this name; `None` if it is absent or of another type.
    pub fn flag(&self, name: &str) -> Option<bool> {
        match self.0.get(name) {
            Some(Value::Flag(flag)) => Some(*flag),
            _ => None,
        }
    }
}
