//! Errors of the adapter.

use sanddrum_platform_config::PlatformSettingsError;
use std::fmt;
use std::io;

/// Why the adapter stopped.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input could not be read.
    #[error("line {line}: {source}")]
    Read {
        /// The line, counted from one.
        line: usize,
        /// The cause.
        source: io::Error,
    },
    /// A message could not be decoded.
    #[error("line {line}: {source}")]
    Decode {
        /// The line, counted from one.
        line: usize,
        /// The cause.
        source: DecodeError,
    },
    /// The decisions on a batch could not be written.
    #[error("reply after line {line}: {source}")]
    Write {
        /// The last line of the batch, counted from one.
        line: usize,
        /// The cause.
        source: io::Error,
    },
}

/// Why a message could not be decoded. Fields have the names of the simulator's wire.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The line is no JSON.
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
    /// The message is no list.
    #[error("a list is wanted")]
    NoList,
    /// A field is absent or of another type.
    #[error("{field}: {expected} is wanted")]
    WrongType {
        /// The field.
        field: &'static str,
        /// The type that it should have.
        expected: ValueKind,
    },
    /// A field has a value that the adapter does not know.
    #[error("{field}: unknown {value:?}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
    },
    /// The settings of an instance can't be used.
    #[error("boot-info: {0}")]
    Settings(#[from] PlatformSettingsError),
    /// A message names an instance that was not started.
    #[error("i: no instance {0:?}")]
    UnknownInstance(String),
    /// A message refers to an endpoint list that was not sent.
    #[error("ref: no list {0}")]
    UnknownList(u64),
    /// The payload of a gossip message is no base64.
    #[error("content: {0}")]
    Payload(#[from] base64::DecodeError),
}

/// The type of a message's field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A string.
    Text,
    /// A number.
    Number,
    /// A number without a fraction.
    Integer,
    /// True or false.
    Bool,
    /// An array.
    List,
    /// An object.
    Object,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ValueKind::Text => "a text",
            ValueKind::Number => "a number",
            ValueKind::Integer => "a whole number",
            ValueKind::Bool => "a bool",
            ValueKind::List => "a list",
            ValueKind::Object => "an object",
        })
    }
}
