//! Settings that have been read, as dotted names with scalar values.

use crate::error::{Position, SettingsError};
use crate::reader;
use crate::schema::{Key, Section};
use crate::suggestion::suggest;
use sanddrum::{Micros, Settings, Value};
use std::collections::BTreeMap;
use std::fmt;

/// The origin of a value.
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
    /// An override from another source, such as a command-line option.
    Override(String),
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
            Origin::Override(source) => write!(f, "{source}"),
        }
    }
}

/// Settings that have been read.
#[derive(Clone, Debug, Default)]
pub struct LoadedSettings {
    /// The file that they were read from.
    pub file: String,
    /// Scalar values by dotted name, as the decision module expects them.
    pub values: Settings,
    /// The origins of values, by dotted name.
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

    /// Sets a value and returns its previous origin, if it was already set.
    pub(crate) fn insert(&mut self, name: String, value: Value, origin: Origin) -> Option<Origin> {
        self.values.0.insert(name.clone(), value);
        self.origins.insert(name, origin)
    }

    /// A number; zero if it is not set.
    pub fn number(&self, name: &str) -> f64 {
        self.values.number(name).unwrap_or_default()
    }

    /// A duration in microseconds, by its dotted name including `-us`; zero if it is not set.
    pub fn duration_us(&self, name: &str) -> Micros {
        self.number(name) as Micros
    }

    /// A non-negative integer; zero if it is not set.
    pub fn integer(&self, name: &str) -> usize {
        self.number(name) as usize
    }

    /// A string or a choice; empty if it is not set.
    pub fn text(&self, name: &str) -> &str {
        self.values.text(name).unwrap_or_default()
    }

    /// A flag; false if it is not set.
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

    /// A list of integers.
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

    /// Overrides one value of a section that occurs once. `name` consists of the names of the section and of the key,
    /// such as `limits.max-open`; `value` is written as in a file; `source` names what overrides it, such as a
    /// command-line option.
    ///
    /// # Errors
    /// The name is unknown, or the value is not of its type.
    pub fn override_value(
        &mut self,
        name: &str,
        value: &str,
        source: &str,
    ) -> Result<(), SettingsError> {
        let (section, key) = self.find_key(name, source)?;
        let (dotted_name, value) = reader::read_literal(source, section.prefix, &key, value)?;
        self.insert(dotted_name, value, Origin::Override(source.to_string()));
        Ok(())
    }

    /// The section and the key of a setting that may be overridden.
    fn find_key(&self, name: &str, source: &str) -> Result<(Section, Key), SettingsError> {
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
                Err(SettingsError::new(source, message, remedy))
            }
        }
    }

    /// The settings for the decision module: all values, and the edge's zone as an index into the list of zones.
    pub fn decision_settings(&self) -> Settings {
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

    /// Creates an error that concerns a setting, with the setting's position in the file if it has one.
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

    /// The description of a setting, by its dotted name; empty if there is no such setting.
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
