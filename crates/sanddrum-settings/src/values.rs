//! From forms to dotted names with plain values, each with where it came from.

use crate::forms::{self, problem, Form, Part, Place, SettingsError};
use crate::schema::{Key, Occurrence, Section, ValueType};
use sanddrum::{Micros, Settings, Value};
use std::collections::BTreeMap;
use std::fmt;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    File { line: usize, column: usize },
    Default,
    Given(String),
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
    pub file: String,
    /// Dotted names to plain values, as the decision module takes them.
    pub values: Settings,
    pub origins: BTreeMap<String, Origin>,
    schema: Vec<Section>,
}

impl LoadedSettings {
    pub fn number(&self, name: &str) -> f64 {
        self.values.number(name).unwrap_or_default()
    }
    pub fn duration_us(&self, name: &str) -> Micros {
        self.number(name) as Micros
    }
    pub fn integer(&self, name: &str) -> usize {
        self.number(name) as usize
    }
    pub fn text(&self, name: &str) -> &str {
        self.values.text(name).unwrap_or_default()
    }
    pub fn flag(&self, name: &str) -> bool {
        self.values.flag(name).unwrap_or_default()
    }
    pub fn contains(&self, name: &str) -> bool {
        self.values.0.contains_key(name)
    }
    /// How many of a repeated section, or of a list of names, there are.
    pub fn count(&self, name: &str) -> usize {
        self.integer(&format!("{name}.count"))
    }
    /// A list of whole numbers.
    pub fn integers(&self, name: &str) -> Vec<u64> {
        let each = |n| self.values.number(&format!("{name}.{n}"));
        (0..self.count(name))
            .filter_map(|n| each(n).map(|whole| whole as u64))
            .collect()
    }
    pub fn names(&self, name: &str) -> Vec<String> {
        let each = |n| {
            self.values
                .text(&format!("{name}.{n}.name"))
                .or(self.values.text(&format!("{name}.{n}")))
        };
        (0..self.count(name))
            .filter_map(|n| each(n).map(String::from))
            .collect()
    }
    /// Sets one value from elsewhere than the file, as `limits.max-open` or `edge.listen`, written as in a file.
    ///
    /// # Errors
    /// The name is unknown or the value is wrong for it.
    pub fn override_value(
        &mut self,
        name: &str,
        value: &str,
        by: &str,
    ) -> Result<(), SettingsError> {
        let nowhere = Place { line: 0, column: 0 };
        let schema = self.schema.clone();
        let known = schema
            .iter()
            .filter(|s| !s.occurrence.is_named())
            .flat_map(|s| s.keys.iter().map(move |k| (s, k)));
        let found = known
            .clone()
            .find(|(s, k)| name == format!("{}.{}", s.name, k.name));
        let Some((section, key)) = found else {
            let names: Vec<String> = known
                .map(|(s, k)| format!("{}.{}", s.name, k.name))
                .collect();
            let remedy = meant(name, names.iter().map(String::as_str));
            return Err(problem(
                by,
                nowhere,
                format!("{name} is not a setting"),
                remedy,
            ));
        };
        let text = match key.value_type {
            ValueType::Text | ValueType::Address => format!("({} {value:?})", key.name),
            _ => format!("({} {value})", key.name),
        };
        let form = forms::forms(by, &text)?.remove(0);
        let (dotted, value) = plain(by, section.dotted, key, &form)?;
        self.origins
            .insert(dotted.clone(), Origin::Given(by.to_string()));
        self.values.0.insert(dotted, value);
        Ok(())
    }
    /// The plain map that the decision module takes: all that is set, the edge's zone by its place in the list.
    pub fn values_for_module(&self) -> Settings {
        let mut values = self.values.clone();
        let zone = self
            .names("zones")
            .iter()
            .position(|z| z == self.text("edge.zone"))
            .unwrap_or(0);
        values.0.insert("zone".into(), Value::Number(zone as f64));
        values
    }
    /// A problem that concerns a setting, with its place in the file.
    pub fn error_at(
        &self,
        name: &str,
        what: impl Into<String>,
        remedy: impl Into<String>,
    ) -> SettingsError {
        let place = match self.origins.get(name) {
            Some(Origin::File { line, column }) => Place {
                line: *line,
                column: *column,
            },
            _ => Place { line: 0, column: 0 },
        };
        problem(&self.file, place, what, remedy)
    }
    /// What each key is for, for a listing.
    pub fn description(&self, dotted: &str) -> &'static str {
        let fits = |s: &Section, k: &Key| {
            let last = dotted.rsplit('.').next().unwrap_or_default();
            let (begins, named) = (dotted.starts_with(s.dotted), full_name(k).as_str() == last);
            k.dotted == Some(dotted) || (begins && named)
        };
        let mut keys = self
            .schema
            .iter()
            .flat_map(|s| s.keys.iter().map(move |k| (s, k)));
        keys.find(|(s, k)| fits(s, k))
            .map_or("", |(_, k)| k.description)
    }
}

pub(crate) fn read(
    file: &str,
    text: &str,
    schema: &[Section],
) -> Result<LoadedSettings, SettingsError> {
    let mut loaded = LoadedSettings {
        file: file.into(),
        schema: schema.to_vec(),
        ..LoadedSettings::default()
    };
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for form in forms::forms(file, text)? {
        let found = schema.iter().find(|s| s.name == form.name);
        let Some(section) = found else {
            let remedy = meant(&form.name, schema.iter().map(|s| s.name));
            return Err(problem(
                file,
                form.place,
                format!("({} ...) is not known", form.name),
                remedy,
            ));
        };
        let n = counts.entry(section.name).or_default();
        *n += 1;
        if !section.occurrence.is_named() && *n > 1 {
            let remedy = "put all of it into one form";
            return Err(problem(
                file,
                form.place,
                format!("({} ...) stands twice", form.name),
                remedy,
            ));
        }
        section_of(&mut loaded, section, &form, *n - 1)?;
    }
    for section in schema {
        let n = counts.get(section.name).copied().unwrap_or_default();
        if section.occurrence.is_named() {
            loaded
                .values
                .0
                .insert(format!("{}.count", section.dotted), Value::Number(n as f64));
        } else if n == 0 {
            defaults(&mut loaded, section, section.dotted)?;
        }
    }
    Ok(loaded)
}

fn section_of(
    loaded: &mut LoadedSettings,
    section: &Section,
    form: &Form,
    n: usize,
) -> Result<(), SettingsError> {
    let file = loaded.file.clone();
    let mut parts = form.parts.as_slice();
    let mut at = section.dotted.to_string();
    if section.occurrence.is_named() {
        let Some(((Part::Word(name), place), rest)) = parts.split_first() else {
            let remedy = format!("write ({} \"a-name\" ...)", section.name);
            return Err(problem(&file, form.place, "a name is wanted", remedy));
        };
        if section.occurrence == Occurrence::UniqueNames
            && loaded.names_so_far(section, n).contains(name)
        {
            let remedy = "names of one kind differ";
            return Err(problem(
                &file,
                *place,
                format!("{} {name:?} stands twice", section.name),
                remedy,
            ));
        }
        (parts, at) = (rest, format!("{}.{n}", section.dotted));
        let origin = Origin::File {
            line: place.line,
            column: place.column,
        };
        loaded.origins.insert(format!("{at}.name"), origin);
        loaded
            .values
            .0
            .insert(format!("{at}.name"), Value::Text(name.clone()));
    }
    for (part, place) in parts {
        let Part::Form(inner) = part else {
            let remedy = format!("write (name value) within ({} ...)", section.name);
            return Err(problem(&file, *place, "a setting is wanted here", remedy));
        };
        let Some(key) = section.keys.iter().find(|k| k.name == inner.name) else {
            let what = format!("{} is not a setting of {}", inner.name, section.name);
            let remedy = meant(&inner.name, section.keys.iter().map(|k| k.name));
            return Err(problem(&file, inner.place, what, remedy));
        };
        let origin = Origin::File {
            line: inner.place.line,
            column: inner.place.column,
        };
        if key.value_type.is_list() {
            list(loaded, key, inner, &at, &origin)?;
            continue;
        }
        let (dotted, value) = plain(&file, &at, key, inner)?;
        if loaded.origins.insert(dotted.clone(), origin).is_some() {
            let what = format!("{} stands twice", inner.name);
            return Err(problem(&file, inner.place, what, "say it once"));
        }
        loaded.values.0.insert(dotted, value);
    }
    defaults(loaded, section, &at)
}

impl LoadedSettings {
    fn names_so_far(&self, section: &Section, n: usize) -> Vec<String> {
        let name = |n| {
            self.values
                .text(&format!("{}.{n}.name", section.dotted))
                .map(String::from)
        };
        (0..n).filter_map(name).collect()
    }
}

/// Names or whole numbers, one after the other.
fn list(
    loaded: &mut LoadedSettings,
    key: &Key,
    form: &Form,
    at: &str,
    origin: &Origin,
) -> Result<(), SettingsError> {
    let dotted = key
        .dotted
        .map_or_else(|| format!("{at}.{}", key.name), String::from);
    for (n, (part, place)) in form.parts.iter().enumerate() {
        let value = match (key.value_type, part) {
            (ValueType::Names, Part::Word(word)) => Ok(Value::Text(word.clone())),
            (ValueType::Names, _) => Err((
                "a name is wanted".into(),
                "write names one after the other".into(),
            )),
            (ValueType::Integers(least, most), part) => {
                value_of(ValueType::Integer(least, most), &[part])
            }
            (kind, part) => value_of(kind, &[part]),
        };
        let value = value.map_err(|(what, remedy)| {
            let named = if key.value_type == ValueType::Names {
                what
            } else {
                format!("{}: {what}", key.name)
            };
            problem(&loaded.file, *place, named, remedy)
        })?;
        loaded.values.0.insert(format!("{dotted}.{n}"), value);
        loaded
            .origins
            .insert(format!("{dotted}.{n}"), origin.clone());
    }
    loaded.values.0.insert(
        format!("{dotted}.count"),
        Value::Number(form.parts.len() as f64),
    );
    loaded
        .origins
        .insert(format!("{dotted}.count"), origin.clone());
    Ok(())
}

fn defaults(loaded: &mut LoadedSettings, section: &Section, at: &str) -> Result<(), SettingsError> {
    for key in section.keys {
        let Some(default) = key.default else { continue };
        let text = match key.value_type {
            ValueType::Text | ValueType::Address => format!("({} {default:?})", key.name),
            _ => format!("({} {default})", key.name),
        };
        let form = forms::forms("defaults", &text)?.remove(0);
        if key.value_type.is_list() {
            let dotted = key
                .dotted
                .map_or_else(|| format!("{at}.{}", key.name), String::from);
            if !loaded.values.0.contains_key(&format!("{dotted}.count")) {
                list(loaded, key, &form, at, &Origin::Default)?;
            }
            continue;
        }
        let (dotted, value) = plain("defaults", at, key, &form)?;
        if !loaded.values.0.contains_key(&dotted) {
            loaded.origins.insert(dotted.clone(), Origin::Default);
            loaded.values.0.insert(dotted, value);
        }
    }
    Ok(())
}

fn full_name(key: &Key) -> String {
    let ending = match key.value_type {
        ValueType::Duration => "-us",
        ValueType::Memory => "-mb",
        ValueType::Bytes => "-bytes",
        _ => "",
    };
    format!("{}{ending}", key.name)
}

/// One setting as its dotted name and plain value.
fn plain(file: &str, at: &str, key: &Key, form: &Form) -> Result<(String, Value), SettingsError> {
    let dotted = key
        .dotted
        .map_or_else(|| format!("{at}.{}", full_name(key)), String::from);
    let place = form.parts.first().map_or(form.place, |(_, place)| *place);
    let parts: Vec<&Part> = form.parts.iter().map(|(part, _)| part).collect();
    let value = value_of(key.value_type, &parts)
        .map_err(|(what, remedy)| problem(file, place, format!("{}: {what}", key.name), remedy))?;
    Ok((dotted, value))
}

/// A setting's plain value, or what is wrong with it and what to do.
fn value_of(kind: ValueType, parts: &[&Part]) -> Result<Value, (String, String)> {
    let wrong = |what: &str, remedy: &str| Err((what.to_string(), remedy.to_string()));
    match (kind, parts) {
        (ValueType::Duration, [Part::Number(n), Part::Word(unit)]) => {
            let unit = match unit.as_str() {
                "us" => 1.0,
                "ms" => 1e3,
                "s" => 1e6,
                "min" => 6e7,
                "h" => 3.6e9,
                other => {
                    return wrong(
                        &format!("{other:?} is not a unit of time"),
                        "us, ms, s, min or h",
                    )
                }
            };
            let span = (n * unit).round();
            (0.0..=1e15)
                .contains(&span)
                .then_some(Value::Number(span))
                .ok_or(("a span from 0 on is wanted".into(), String::new()))
        }
        (ValueType::Duration, _) => wrong(
            "a span of time is wanted",
            "write a number and its unit, as 250ms",
        ),
        (ValueType::Memory | ValueType::Bytes, [Part::Number(n), Part::Word(unit)]) => {
            let unit = match unit.as_str() {
                "B" => 1.0,
                "KB" => 1024.0,
                "MB" => 1024.0 * 1024.0,
                "GB" => 1024.0 * 1024.0 * 1024.0,
                other => {
                    return wrong(
                        &format!("{other:?} is not a unit of memory"),
                        "B, KB, MB or GB",
                    )
                }
            };
            let bytes = n * unit;
            if !(1.0..=1e18).contains(&bytes) {
                return wrong("more than 0 is wanted", "");
            }
            Ok(Value::Number(if kind == ValueType::Bytes {
                bytes.round()
            } else {
                bytes / 1024.0 / 1024.0
            }))
        }
        (ValueType::Memory | ValueType::Bytes, _) => wrong(
            "an amount of memory is wanted",
            "write a number and its unit, as 300MB",
        ),
        (ValueType::Number(least, most), [Part::Number(n)]) => bounded(*n, least, most),
        (ValueType::Number(least, most), [Part::Number(n), Part::Word(sign)]) if sign == "%" => {
            bounded(n / 100.0, least, most)
        }
        (ValueType::Number(..), _) => wrong("a number is wanted", "as 0.2 or 20%"),
        (ValueType::Integer(least, most), [Part::Number(n)]) if n.fract() == 0.0 => {
            bounded(*n, least, most)
        }
        (ValueType::Integer(..), _) => wrong("a whole number is wanted", ""),
        (ValueType::Flag, [Part::Word(word)]) if word == "yes" || word == "no" => {
            Ok(Value::Flag(word == "yes"))
        }
        (ValueType::Flag, _) => wrong("yes or no is wanted", "write yes or no"),
        (ValueType::Choice(words), [Part::Word(word)]) if words.contains(&word.as_str()) => {
            Ok(Value::Text(word.clone()))
        }
        (ValueType::Choice(words), [Part::Word(word)]) => {
            let what = format!("{word:?} is not one of {}", words.join(", "));
            wrong(&what, &meant(word, words.iter().copied()))
        }
        (ValueType::Choice(words), _) => {
            wrong("a word is wanted", &format!("one of {}", words.join(", ")))
        }
        (ValueType::Address, [Part::Word(word)])
            if word.parse::<std::net::SocketAddr>().is_err() =>
        {
            let remedy = "an IP address and a port, as \"127.0.0.1:8080\"; names are not looked up";
            wrong(&format!("{word:?} is not an address"), remedy)
        }
        (ValueType::Text | ValueType::Address, [Part::Word(word)]) => Ok(Value::Text(word.clone())),
        (ValueType::Integers(..), _) => wrong("whole numbers are wanted", "as 10 100 1000"),
        (ValueType::Text | ValueType::Address | ValueType::Names, _) => {
            wrong("one text is wanted", "in quotes")
        }
    }
}

fn bounded(n: f64, least: f64, most: f64) -> Result<Value, (String, String)> {
    let within = (least..=most).contains(&n).then_some(Value::Number(n));
    within.ok_or_else(|| {
        (
            format!("{n} is not between {least} and {most}"),
            String::new(),
        )
    })
}

/// What was likely meant, else what there is.
fn meant<'a>(word: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.collect();
    let near = known
        .iter()
        .map(|k| (strsim::jaro_winkler(word, k), *k))
        .max_by(|a, b| a.0.total_cmp(&b.0));
    match near {
        Some((likeness, k)) if likeness > 0.8 => format!("did you mean {k}?"),
        _ => format!("known here: {}", known.join(", ")),
    }
}
