//! Settings files as S-expressions: read with the positions of their values, checked against a schema and for
//! combinations that cannot work before anything starts, and kept as dotted names with plain values, which is how the
//! decision module queries them.

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

/// Reads a deployment's settings from a file and checks them.
///
/// # Errors
/// [`SettingsError`]: the file can't be read, or something in it is wrong.
pub fn load(path: &Path) -> Result<LoadedSettings, SettingsError> {
    let file = path.display().to_string();
    let text =
        std::fs::read_to_string(path).map_err(|error| SettingsError::of_file(&file, &error))?;
    read(&file, &text)
}

/// Reads a deployment's settings from the text of a file and checks them.
///
/// # Errors
/// [`SettingsError`]: something in the text is wrong.
pub fn read(file: &str, text: &str) -> Result<LoadedSettings, SettingsError> {
    read_with(file, text, &[])
}

/// Reads a text that has further sections beside a deployment's, and checks it.
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

/// Checks combinations of values, as reading does; for settings with overridden values.
///
/// # Errors
/// [`SettingsError`]: a combination cannot work.
pub fn check(settings: &LoadedSettings) -> Result<(), SettingsError> {
    checks::check(settings)
}
