//! The error for settings that can't be used.

use std::fmt;

/// A position in a settings file, counted from one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// The line.
    pub line: usize,
    /// The column.
    pub column: usize,
}

/// What is wrong with a file, where, and how to fix it.
///
/// File system errors are stored as text, so that errors can be compared.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", Report(self))]
pub struct SettingsError {
    /// The file, or the command-line option that set the value.
    pub file: String,
    /// The position in the file; `None` if the error has no single position.
    pub position: Option<Position>,
    /// What is wrong.
    pub message: String,
    /// How to fix it; may be empty.
    pub remedy: String,
}

impl SettingsError {
    /// Creates an error that concerns a file as a whole, or a command-line option.
    pub fn new(file: &str, message: impl Into<String>, remedy: impl Into<String>) -> Self {
        SettingsError {
            file: file.into(),
            position: None,
            message: message.into(),
            remedy: remedy.into(),
        }
    }

    /// Creates the error for a file that can't be read.
    pub fn from_io(file: &str, error: &std::io::Error) -> Self {
        let remedy = "give the path of a readable settings file";
        SettingsError::new(file, error.to_string(), remedy)
    }

    /// The same error at a position in the file.
    pub(crate) fn at(self, position: impl Into<Option<Position>>) -> Self {
        SettingsError {
            position: position.into(),
            ..self
        }
    }
}

/// Displays an error as `file:line:column: message`, with the remedy on a line of its own.
struct Report<'a>(&'a SettingsError);

impl fmt::Display for Report<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error = self.0;
        write!(f, "{}", error.file)?;
        if let Some(position) = error.position {
            write!(f, ":{}:{}", position.line, position.column)?;
        }
        write!(f, ": {}", error.message)?;
        if !error.remedy.is_empty() {
            write!(f, "\n  {}", error.remedy)?;
        }
        Ok(())
    }
}
