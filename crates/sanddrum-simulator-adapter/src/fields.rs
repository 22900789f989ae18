//! Typed access to the fields of a message, which is a JSON array.

use crate::error::{DecodeError, ValueKind};
use serde_json::Value as Json;

/// The fields of a message, accessed by index. The name of a field is used in errors only. Absent fields are null.
#[derive(Clone, Copy)]
pub(crate) struct Fields<'a>(&'a [Json]);

impl<'a> Fields<'a> {
    /// The fields of a message; `None` if it is not an array.
    pub fn from_json(json: &'a Json) -> Option<Self> {
        json.as_array().map(|fields| Fields(fields))
    }

    /// A field of any type.
    pub fn get(&self, index: usize) -> &'a Json {
        self.0.get(index).unwrap_or(&Json::Null)
    }

    /// A string.
    pub fn text(&self, index: usize, name: &'static str) -> Result<&'a str, DecodeError> {
        let text = self.get(index).as_str();
        text.ok_or_else(|| wrong_type(name, ValueKind::String))
    }

    /// A number, or null.
    pub fn optional_number(
        &self,
        index: usize,
        name: &'static str,
    ) -> Result<Option<f64>, DecodeError> {
        match self.get(index) {
            Json::Null => Ok(None),
            value => match value.as_f64() {
                Some(number) => Ok(Some(number)),
                None => Err(wrong_type(name, ValueKind::Number)),
            },
        }
    }

    /// A number.
    pub fn number(&self, index: usize, name: &'static str) -> Result<f64, DecodeError> {
        let number = self.optional_number(index, name)?;
        number.ok_or_else(|| wrong_type(name, ValueKind::Number))
    }

    /// A number, or zero for null.
    pub fn number_or_zero(&self, index: usize, name: &'static str) -> Result<f64, DecodeError> {
        Ok(self.optional_number(index, name)?.unwrap_or(0.0))
    }

    /// A boolean.
    pub fn flag(&self, index: usize, name: &'static str) -> Result<bool, DecodeError> {
        let flag = self.get(index).as_bool();
        flag.ok_or_else(|| wrong_type(name, ValueKind::Bool))
    }

    /// An array.
    pub fn array(&self, index: usize, name: &'static str) -> Result<&'a [Json], DecodeError> {
        let array = self.get(index).as_array();
        array
            .map(Vec::as_slice)
            .ok_or_else(|| wrong_type(name, ValueKind::Array))
    }
}

/// The error for a field that is absent or of another type.
pub(crate) fn wrong_type(field: &'static str, expected: ValueKind) -> DecodeError {
    DecodeError::WrongType { field, expected }
}

/// The error for an unknown value.
pub(crate) fn unknown_value(field: &'static str, value: &str) -> DecodeError {
    DecodeError::UnknownValue {
        field,
        value: value.to_string(),
    }
}
