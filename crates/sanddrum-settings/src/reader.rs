//! Reads the forms of a settings file into scalar values according to a schema.

use crate::error::{Position, SettingsError};
use crate::loaded::{LoadedSettings, Origin};
use crate::schema::{Key, Occurrence, Section, ValueType};
use crate::suggestion::suggest;
use crate::syntax::{parse_form, parse_forms, quote, Form, Part};
use crate::value::{parse_element, parse_value};
use sanddrum::Value;
use std::collections::BTreeMap;

/// The file name in errors about the schema's defaults.
const DEFAULTS_FILE: &str = "defaults";

/// Reads a text according to a schema. Combinations of values are not checked.
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

/// Reads the value of a key from a literal as written in a file, and returns it with its dotted name.
///
/// # Errors
/// The value is not of the key's type.
pub(crate) fn read_literal(
    file: &str,
    prefix: &str,
    key: &Key,
    literal: &str,
) -> Result<(String, Value), SettingsError> {
    let form = parse_form(file, &format_setting(key, literal))?;
    read_value(file, prefix, key, &form)
}

/// Formats a key and its value as in a file.
fn format_setting(key: &Key, literal: &str) -> String {
    if key.value_type.is_quoted() {
        format!("({} {})", key.name, quote(literal))
    } else {
        format!("({} {literal})", key.name)
    }
}

/// Reads a key that takes one value, and returns its dotted name and the scalar value.
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
    /// How often each section has occurred so far, by its name.
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
            let message = format!("unknown section ({} ...)", form.name);
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
            let message = format!("section ({} ...) occurs twice", form.name);
            return Err(self.error(form.position, message, "merge them into one form"));
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
            return Err(self.error(form.position, "expected a name", remedy));
        };
        let has_unique_names = section.occurrence == Occurrence::UniqueNames;
        if has_unique_names && self.has_named_section(section, name, index) {
            let message = format!("{} {name:?} occurs twice", section.name);
            return Err(self.error(*position, message, "names must be unique"));
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
                return Err(self.error(*position, "expected a setting", remedy));
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
            let message = format!("{} is set twice", form.name);
            return Err(self.error(form.position, message, "set it once"));
        }
        Ok(())
    }

    /// Reads a list: its elements as `name.0`, `name.1` and so on, and its length as `name.count`.
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

    /// Sets the keys that a section leaves out to the schema's defaults.
    fn add_defaults(&mut self, section: &Section, prefix: &str) -> Result<(), SettingsError> {
        for key in section.keys {
            let Some(default) = key.default else { continue };
            let name = key.value_name(prefix);
            if key.value_type.is_list() {
                if !self.loaded.contains(&format!("{name}.count")) {
                    let form = parse_form(DEFAULTS_FILE, &format_setting(key, default))?;
                    self.read_list(key, &form, prefix, &Origin::Default)?;
                }
            } else if !self.loaded.contains(&name) {
                let (name, value) = read_literal(DEFAULTS_FILE, prefix, key, default)?;
                self.loaded.insert(name, value, Origin::Default);
            }
        }
        Ok(())
    }

    /// Sets the number of occurrences of each named section, and the defaults of other sections that are missing.
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
