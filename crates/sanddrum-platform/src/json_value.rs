//! Builds a JSON value from its tokens.

use crate::json_stream::{JsonError, Token};
use serde_json::{Map, Value as Json};

/// A container whose end has not been received.
enum Container {
    Array(Vec<Json>),
    /// An object, and the name of the field whose value is received next.
    Object(Map<String, Json>, String),
}

/// Builds one value after another.
#[derive(Default)]
pub(crate) struct ValueBuilder {
    containers: Vec<Container>,
}

impl ValueBuilder {
    /// Whether part of a value has been received.
    pub fn is_active(&self) -> bool {
        !self.containers.is_empty()
    }

    /// Takes the next token. Returns the value once it is complete.
    ///
    /// # Errors
    /// A number is out of range.
    pub fn push(&mut self, token: Token<'_>) -> Result<Option<Json>, JsonError> {
        let value = match token {
            Token::StartObject => {
                let object = Container::Object(Map::new(), String::new());
                self.containers.push(object);
                return Ok(None);
            }
            Token::StartArray => {
                self.containers.push(Container::Array(Vec::new()));
                return Ok(None);
            }
            Token::Key(name) => {
                if let Some(Container::Object(_, key)) = self.containers.last_mut() {
                    *key = name.to_string();
                }
                return Ok(None);
            }
            Token::EndObject | Token::EndArray => self.end_container(),
            Token::Text(text) => Json::from(text),
            Token::Number(text) => {
                serde_json::from_str(text).map_err(|_| JsonError::Syntax(text.len()))?
            }
            Token::Bool(value) => Json::from(value),
            Token::Null => Json::Null,
        };
        Ok(self.add(value))
    }

    fn end_container(&mut self) -> Json {
        match self.containers.pop() {
            Some(Container::Array(values)) => Json::Array(values),
            Some(Container::Object(fields, _)) => Json::Object(fields),
            None => Json::Null,
        }
    }

    /// Adds a value to the container that it belongs to, or returns it if there is none.
    fn add(&mut self, value: Json) -> Option<Json> {
        match self.containers.last_mut() {
            Some(Container::Array(values)) => values.push(value),
            Some(Container::Object(fields, key)) => {
                fields.insert(std::mem::take(key), value);
            }
            None => return Some(value),
        }
        None
    }
}
