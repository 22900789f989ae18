//! Settings files, written as S-expressions. They are parsed with the positions of their values, checked against a
//! schema and for combinations that cannot work before anything starts, and stored as dotted names with scalar values,
//! the form in which the decision module queries them.

mod checks;
mod deployment;
mod error;
mod loaded;
mod reader;
mod schema;
mod suggestion;
mod syntax;
mod value;

pub use deployment::DEPLOYMENT;
pub use error::{Position, SettingsError};
pub use loaded::{LoadedSettings, Origin};
pub use schema::{key, Key, Occurrence, Section, ValueType};

use std::path::Path;

/// Writes a text as a string in a settings file. Reading it yields the same text, whatever characters it has; the quotes
/// and escapes of other languages may differ.
pub fn quote(text: &str) -> String {
    syntax::quote(text)
}

/// Reads and checks a deployment's settings in a file.
///
/// # Errors
/// [`SettingsError`]: the file can't be read, or its content is invalid.
pub fn load(path: &Path) -> Result<LoadedSettings, SettingsError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| SettingsError::from_io(&file, &error))?;
    read(&file, &text)
}

/// Reads and checks a deployment's settings in the text of a file.
///
/// # Errors
/// [`SettingsError`]: the text is invalid.
pub fn read(file: &str, text: &str) -> Result<LoadedSettings, SettingsError> {
    read_with(file, text, &[])
}

/// Reads and checks a text that has further sections in addition to those of a deployment.
///
/// # Errors
/// As [`read`].
pub fn read_with(
    file: &str,
    text: &str,
    further_sections: &[Section],
) -> Result<LoadedSettings, SettingsError> {
    let schema = [DEPLOYMENT, further_sections].concat();
    let settings = reader::read(file, text, &schema)?;
    check(&settings)?;
    Ok(settings)
}

/// Checks combinations of values again, after values have been overridden. Reading checks them as well.
///
/// # Errors
/// [`SettingsError`]: a combination of values cannot work.
pub fn check(settings: &LoadedSettings) -> Result<(), SettingsError> {
    checks::check(settings)
}
