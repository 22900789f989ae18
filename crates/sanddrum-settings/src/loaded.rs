//! Settings that have been read, as dotted names with plain values.

use crate::error::{Position, SettingsError};
use crate::reader;
use crate::schema::{Key, Section};
use crate::suggestion::suggest;
use sanddrum::{Micros, Settings, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// A position in the file, counted from one.
    File {
        /// The line.
        line: usize,
        /// The column.
        column: usize,
    },
    /// The schema's default.
    Default,
    /// Another source, as a command-line option.
    Given(String),
}

impl From<Position> for Origin {
    fn from(position: Position) -> Self {
        Origin::File {
            line: position.line,
            column: position.column,
        }
    }
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::File { line, column } => write!(f, "line {line}, column {column}"),
            Origin::Default => write!(f, "default"),
            Origin::Given(by) => write!(f, "{by}"),
        }
    }
}

/// Settings that have been read.
#[derive(Clone, Debug, Default)]
pub struct LoadedSettings {
    /// The file that they were read from.
    pub file: String,
    /// Plain values by dotted names, as the decision module takes them.
    pub values: Settings,
    /// Where values came from, by dotted names.
    pub origins: BTreeMap<String, Origin>,
    schema: Vec<Section>,
}

impl LoadedSettings {
    pub(crate) fn new(file: &str, schema: &[Section]) -> Self {
        LoadedSettings {
            file: file.into(),
            schema: schema.to_vec(),
            ..LoadedSettings::default()
        }
    }

    /// Sets a value and returns its origin before, if it was set.
    pub(crate) fn insert(&mut self, name: String, value: Value, origin: Origin) -> Option<Origin> {
        self.values.0.insert(name.clone(), value);
        self.origins.insert(name, origin)
    }

    /// A number; zero where it is not set.
    pub fn number(&self, name: &str) -> f64 {
        self.values.number(name).unwrap_or_default()
    }

    /// A duration in microseconds, under its name with `-us`; zero where it is not set.
    pub fn duration_us(&self, name: &str) -> Micros {
        self.number(name) as Micros
    }

    /// A whole number; zero where it is not set.
    pub fn integer(&self, name: &str) -> usize {
        self.number(name) as usize
    }

    /// A text or a choice; empty where it is not set.
    pub fn text(&self, name: &str) -> &str {
        self.values.text(name).unwrap_or_default()
    }

    /// A flag; false where it is not set.
    pub fn flag(&self, name: &str) -> bool {
        self.values.flag(name).unwrap_or_default()
    }

    /// Whether a value is set.
    pub fn contains(&self, name: &str) -> bool {
        self.values.0.contains_key(name)
    }

    /// The number of elements of a list, or of sections that may occur several times.
    pub fn count(&self, name: &str) -> usize {
        self.integer(&format!("{name}.count"))
    }

    /// A list of whole numbers.
    pub fn integers(&self, name: &str) -> Vec<u64> {
        (0..self.count(name))
            .filter_map(|index| self.values.number(&format!("{name}.{index}")))
            .map(|number| number as u64)
            .collect()
    }

    /// A list of names, or the names of sections that may occur several times.
    pub fn names(&self, name: &str) -> Vec<String> {
        let name_at = |index| {
            let section_name = self.values.text(&format!("{name}.{index}.name"));
            section_name.or(self.values.text(&format!("{name}.{index}")))
        };
        (0..self.count(name))
            .filter_map(name_at)
            .map(String::from)
            .collect()
    }

    /// Overrides one value of a section that occurs once. `name` is the section's and the key's, as `limits.max-open`;
    /// `value` is written as in a file; `by` is the source of the value, as a command-line option.
    ///
    /// # Errors
    /// The name is unknown, or the value is not of its type.
    pub fn override_value(
        &mut self,
        name: &str,
        value: &str,
        by: &str,
    ) -> Result<(), SettingsError> {
        let (section, key) = self.find_key(name, by)?;
        let (dotted_name, value) = reader::read_written_value(by, section.prefix, &key, value)?;
        self.insert(dotted_name, value, Origin::Given(by.to_string()));
        Ok(())
    }

    /// The section and the key of a setting that may be overridden.
    fn find_key(&self, name: &str, by: &str) -> Result<(Section, Key), SettingsError> {
        let candidates: Vec<(String, Section, Key)> = self
            .schema
            .iter()
            .filter(|section| !section.occurrence.is_named())
            .flat_map(|section| section.keys.iter().map(move |key| (section, key)))
            .map(|(section, key)| (format!("{}.{}", section.name, key.name), *section, *key))
            .collect();
        let found = candidates
            .iter()
            .find(|(candidate, _, _)| candidate == name);
        match found {
            Some((_, section, key)) => Ok((*section, *key)),
            None => {
                let remedy = suggest(name, candidates.iter().map(|(known, _, _)| known.as_str()));
                let message = format!("{name} is not a setting");
                Err(SettingsError::new(by, message, remedy))
            }
        }
    }

    /// The plain map that the decision module takes: all values, and the edge's zone as an index into the list of zones.
    pub fn values_for_module(&self) -> Settings {
        let mut values = self.values.clone();
        let zone_index = self
            .names("zones")
            .iter()
            .position(|zone| zone == self.text("edge.zone"))
            .unwrap_or(0);
        values
            .0
            .insert("zone".into(), Value::Number(zone_index as f64));
        values
    }

    /// An error that concerns a setting, with the setting's position in the file if it has one.
    pub fn error_at(
        &self,
        name: &str,
        message: impl Into<String>,
        remedy: impl Into<String>,
    ) -> SettingsError {
        let position = match self.origins.get(name) {
            Some(Origin::File { line, column }) => Some(Position {
                line: *line,
                column: *column,
            }),
            _ => None,
        };
        SettingsError::new(&self.file, message, remedy).at(position)
    }

    /// What a setting is for, by its dotted name; empty for names that are no settings.
    pub fn description(&self, dotted_name: &str) -> &'static str {
        let last_segment = dotted_name.rsplit('.').next().unwrap_or_default();
        let is_named = |section: &Section, key: &Key| {
            let is_in_section = dotted_name.starts_with(section.prefix);
            key.dotted_name == Some(dotted_name)
                || (is_in_section && key.name_with_unit() == last_segment)
        };
        self.schema
            .iter()
            .flat_map(|section| section.keys.iter().map(move |key| (section, key)))
            .find(|(section, key)| is_named(section, key))
            .map_or("", |(_, key)| key.description)
    }
}
