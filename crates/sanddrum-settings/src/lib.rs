//! Settings as S-expressions: read with their places in the file, checked against a schema before anything starts,
//! and kept as dotted names with plain values, which is how the decision module asks for them.

#![allow(clippy::too_many_lines, missing_docs)] // unfinished: docs/ROADMAP.md

mod checks;
mod forms;
mod schema;
mod values;

pub use forms::SettingsError;
pub use schema::{key, Key, Occurrence, Section, ValueType, DEPLOYMENT};
pub use values::{LoadedSettings, Origin};

use std::path::Path;

/// Reads a deployment's settings from a file and checks them.
///
/// # Errors
/// The file can't be read, or something in it is wrong: the problem names the place, what is wrong and what to do.
pub fn load(path: &Path) -> Result<LoadedSettings, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|e| SettingsError::of_file(&path.display().to_string(), &e))?;
    read(&path.display().to_string(), &text)
}

/// Reads a deployment's settings from a text.
///
/// # Errors
/// As [`load`].
pub fn read(file: &str, text: &str) -> Result<LoadedSettings, SettingsError> {
    let loaded = values::read(file, text, DEPLOYMENT)?;
    checks::check(&loaded)?;
    Ok(loaded)
}

/// Reads a text that holds a deployment and more sections beside it.
///
/// # Errors
/// As [`load`].
pub fn read_with(
    file: &str,
    text: &str,
    more: &[Section],
) -> Result<LoadedSettings, SettingsError> {
    let schema = [DEPLOYMENT, more].concat();
    let loaded = values::read(file, text, &schema)?;
    checks::check(&loaded)?;
    Ok(loaded)
}

/// Checks a deployment again, after values were set from elsewhere.
///
/// # Errors
/// As [`load`].
pub fn check(loaded: &LoadedSettings) -> Result<(), SettingsError> {
    checks::check(loaded)
}
