//! Reads the forms of a settings file into plain values, as a schema describes them.

use crate::error::{Position, SettingsError};
use crate::loaded::{LoadedSettings, Origin};
use crate::schema::{Key, Occurrence, Section, ValueType};
use crate::suggestion::suggest;
use crate::syntax::{parse_form, parse_forms, Form, Part};
use crate::value::{parse_element, parse_value};
use sanddrum::Value;
use std::collections::BTreeMap;

/// The file named in errors of the schema's defaults.
const DEFAULTS_FILE: &str = "defaults";

/// Reads a text as the schema describes it. Combinations of values are not checked.
///
/// # Errors
/// The text has unknown, repeated or malformed settings.
pub(crate) fn read(
    file: &str,
    text: &str,
    schema: &[Section],
) -> Result<LoadedSettings, SettingsError> {
    let mut reader = Reader {
        loaded: LoadedSettings::new(file, schema),
        counts: BTreeMap::new(),
    };
    for form in parse_forms(file, text)? {
        reader.read_form(schema, &form)?;
    }
    reader.finish(schema)?;
    Ok(reader.loaded)
}

/// Reads one value that is written as in a file, and returns it with its dotted name.
///
/// # Errors
/// The value is not of the key's type.
pub(crate) fn read_written_value(
    file: &str,
    prefix: &str,
    key: &Key,
    written: &str,
) -> Result<(String, Value), SettingsError> {
    let form = parse_form(file, &write_setting(key, written))?;
    read_value(file, prefix, key, &form)
}

/// A key with its value as in a file.
fn write_setting(key: &Key, written: &str) -> String {
    if key.value_type.is_quoted() {
        format!("({} {written:?})", key.name)
    } else {
        format!("({} {written})", key.name)
    }
}

/// The dotted name and the plain value of a key that takes one value.
fn read_value(
    file: &str,
    prefix: &str,
    key: &Key,
    form: &Form,
) -> Result<(String, Value), SettingsError> {
    let parts: Vec<&Part> = form.parts.iter().map(|(part, _)| part).collect();
    let value = parse_value(key.value_type, &parts).map_err(|error| {
        let position = form
            .parts
            .first()
            .map_or(form.position, |(_, position)| *position);
        let message = format!("{}: {error}", key.name);
        SettingsError::new(file, message, error.remedy).at(position)
    })?;
    Ok((key.value_name(prefix), value))
}

struct Reader {
    loaded: LoadedSettings,
    /// How often each section has occurred, by its name.
    counts: BTreeMap<&'static str, usize>,
}

impl Reader {
    fn error(
        &self,
        position: Position,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> SettingsError {
        SettingsError::new(&self.loaded.file, message, remedy).at(position)
    }

    fn read_form(&mut self, schema: &[Section], form: &Form) -> Result<(), SettingsError> {
        let Some(section) = schema.iter().find(|section| section.name == form.name) else {
            let message = format!("({} ...) is not known", form.name);
            let remedy = suggest(&form.name, schema.iter().map(|section| section.name));
            return Err(self.error(form.position, message, remedy));
        };
        let count = self.counts.entry(section.name).or_default();
        let index = *count;
        *count += 1;
        if section.occurrence.is_named() {
            return self.read_named_section(section, form, index);
        }
        if index > 0 {
            let message = format!("({} ...) stands twice", form.name);
            return Err(self.error(form.position, message, "put all of it into one form"));
        }
        self.read_settings(section, section.prefix, &form.parts)
    }

    fn read_named_section(
        &mut self,
        section: &Section,
        form: &Form,
        index: usize,
    ) -> Result<(), SettingsError> {
        let Some(((Part::Word(name), position), settings)) = form.parts.split_first() else {
            let remedy = format!("write ({} \"a-name\" ...)", section.name);
            return Err(self.error(form.position, "a name is wanted", remedy));
        };
        let has_unique_names = section.occurrence == Occurrence::UniqueNames;
        if has_unique_names && self.has_named_section(section, name, index) {
            let message = format!("{} {name:?} stands twice", section.name);
            return Err(self.error(*position, message, "names of one kind differ"));
        }
        let prefix = format!("{}.{index}", section.prefix);
        let value = Value::Text(name.clone());
        self.loaded
            .insert(format!("{prefix}.name"), value, Origin::from(*position));
        self.read_settings(section, &prefix, settings)
    }

    /// Whether one of the first `count` occurrences of a section has this name.
    fn has_named_section(&self, section: &Section, name: &str, count: usize) -> bool {
        (0..count).any(|index| {
            let name_key = format!("{}.{index}.name", section.prefix);
            self.loaded.values.text(&name_key) == Some(name)
        })
    }

    fn read_settings(
        &mut self,
        section: &Section,
        prefix: &str,
        parts: &[(Part, Position)],
    ) -> Result<(), SettingsError> {
        for (part, position) in parts {
            let Part::Form(form) = part else {
                let remedy = format!("write (name value) within ({} ...)", section.name);
                return Err(self.error(*position, "a setting is wanted here", remedy));
            };
            let Some(key) = section.keys.iter().find(|key| key.name == form.name) else {
                let message = format!("{} is not a setting of {}", form.name, section.name);
                let remedy = suggest(&form.name, section.keys.iter().map(|key| key.name));
                return Err(self.error(form.position, message, remedy));
            };
            self.read_setting(key, form, prefix)?;
        }
        self.add_defaults(section, prefix)
    }

    fn read_setting(&mut self, key: &Key, form: &Form, prefix: &str) -> Result<(), SettingsError> {
        let origin = Origin::from(form.position);
        if key.value_type.is_list() {
            return self.read_list(key, form, prefix, &origin);
        }
        let (dotted_name, value) = read_value(&self.loaded.file, prefix, key, form)?;
        if self.loaded.insert(dotted_name, value, origin).is_some() {
            let message = format!("{} stands twice", form.name);
            return Err(self.error(form.position, message, "say it once"));
        }
        Ok(())
    }

    /// Reads a list: its elements as `name.0`, `name.1` and so on, and their number as `name.count`.
    fn read_list(
        &mut self,
        key: &Key,
        form: &Form,
        prefix: &str,
        origin: &Origin,
    ) -> Result<(), SettingsError> {
        let list_name = key.value_name(prefix);
        for (index, (part, position)) in form.parts.iter().enumerate() {
            let value = parse_element(key.value_type, part).map_err(|error| {
                let message = match key.value_type {
                    ValueType::Names => error.to_string(),
                    _ => format!("{}: {error}", key.name),
                };
                self.error(*position, message, error.remedy)
            })?;
            self.loaded
                .insert(format!("{list_name}.{index}"), value, origin.clone());
        }
        let count = Value::Number(form.parts.len() as f64);
        self.loaded
            .insert(format!("{list_name}.count"), count, origin.clone());
        Ok(())
    }

    /// Sets what a section leaves out to the schema's defaults.
    fn add_defaults(&mut self, section: &Section, prefix: &str) -> Result<(), SettingsError> {
        for key in section.keys {
            let Some(default) = key.default else { continue };
            let name = key.value_name(prefix);
            if key.value_type.is_list() {
                if !self.loaded.contains(&format!("{name}.count")) {
                    let form = parse_form(DEFAULTS_FILE, &write_setting(key, default))?;
                    self.read_list(key, &form, prefix, &Origin::Default)?;
                }
            } else if !self.loaded.contains(&name) {
                let (name, value) = read_written_value(DEFAULTS_FILE, prefix, key, default)?;
                self.loaded.insert(name, value, Origin::Default);
            }
        }
        Ok(())
    }

    /// Counts the sections that may occur several times, and sets the defaults of those that are missing.
    fn finish(&mut self, schema: &[Section]) -> Result<(), SettingsError> {
        for section in schema {
            let count = self.counts.get(section.name).copied().unwrap_or_default();
            if section.occurrence.is_named() {
                let name = format!("{}.count", section.prefix);
                let count = Value::Number(count as f64);
                self.loaded.values.0.insert(name, count);
            } else if count == 0 {
                self.add_defaults(section, section.prefix)?;
            }
        }
        Ok(())
    }
}
