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

/// Why a message could not be decoded. Fields are named as in the simulator's protocol.
#[derive(Debug, thiserror::Error)]
pub enum DecodeError {
    /// The line is not valid JSON.
    #[error("{0}")]
    Syntax(#[from] serde_json::Error),
    /// The message is not a JSON array.
    #[error("expected an array")]
    NotAnArray,
    /// A field is absent or of another type.
    #[error("{field}: expected {expected}")]
    WrongType {
        /// The field.
        field: &'static str,
        /// The expected type.
        expected: ValueKind,
    },
    /// A field has an unknown value.
    #[error("{field}: unknown value {value:?}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// The value.
        value: String,
    },
    /// The settings of an instance are invalid.
    #[error("boot-info: {0}")]
    Settings(#[from] PlatformSettingsError),
    /// A message is addressed to an instance that is not running.
    #[error("i: unknown instance {0:?}")]
    UnknownInstance(String),
    /// A message refers to an endpoint list that has not been sent.
    #[error("ref: endpoint list {0} has not been sent")]
    UnknownList(u64),
    /// The payload of a gossip message is not valid base64.
    #[error("content: {0}")]
    Payload(#[from] base64::DecodeError),
}

/// The type of a message field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// A string.
    String,
    /// A number.
    Number,
    /// A number without a fractional part.
    Integer,
    /// True or false.
    Bool,
    /// An array.
    Array,
    /// An object.
    Object,
}

impl fmt::Display for ValueKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            ValueKind::String => "a string",
            ValueKind::Number => "a number",
            ValueKind::Integer => "an integer",
            ValueKind::Bool => "a boolean",
            ValueKind::Array => "an array",
            ValueKind::Object => "an object",
        })
    }
}
