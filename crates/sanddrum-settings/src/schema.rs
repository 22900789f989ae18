//! The types of a schema, which states the sections, keys and values that a settings file may have.

/// The type of a key's values. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// A duration with a unit, such as `250ms`. Stored in microseconds; the dotted name ends in `-us`.
    Duration,
    /// An amount of memory with a unit, such as `300MB`. Stored in MB (2^20 bytes); the dotted name ends in `-mb`.
    Memory,
    /// A number of bytes with a unit, such as `16KB`. Stored in bytes; the dotted name ends in `-bytes`.
    Bytes,
    /// A number or a percentage, with its lower and upper bound.
    Number(f64, f64),
    /// An integer, with its lower and upper bound.
    Integer(f64, f64),
    /// A list of integers, with their lower and upper bound.
    Integers(f64, f64),
    /// `yes` or `no`.
    Flag,
    /// A string.
    Text,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An IP address and a port.
    Address,
    /// A list of names.
    Names,
}

impl ValueType {
    /// Whether a key of this type takes any number of values.
    pub(crate) fn is_list(self) -> bool {
        matches!(self, ValueType::Names | ValueType::Integers(..))
    }

    /// Whether a value of this type is written as a quoted string.
    pub(crate) fn is_quoted(self) -> bool {
        matches!(self, ValueType::Text | ValueType::Address)
    }

    /// The suffix of dotted names of this type, which is the unit.
    fn unit_suffix(self) -> &'static str {
        match self {
            ValueType::Duration => "-us",
            ValueType::Memory => "-mb",
            ValueType::Bytes => "-bytes",
            _ => "",
        }
    }
}

/// A key of a section.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Its name in the file.
    pub name: &'static str,
    /// The type of its value.
    pub value_type: ValueType,
    /// The value if the file has none, written as in a file. Without a default the setting is absent, and the code
    /// that reads it uses a default of its own.
    pub default: Option<&'static str>,
    /// What it is for, as shown in listings of settings.
    pub description: &'static str,
    /// The dotted name, if it is not the section's prefix followed by the key's name.
    pub dotted_name: Option<&'static str>,
}

impl Key {
    /// The key's name followed by its unit.
    pub(crate) fn name_with_unit(&self) -> String {
        format!("{}{}", self.name, self.value_type.unit_suffix())
    }

    /// The dotted name of this key's value in a section whose dotted names begin with `prefix`.
    pub(crate) fn value_name(&self, prefix: &str) -> String {
        match self.dotted_name {
            Some(dotted_name) => dotted_name.to_string(),
            None => format!("{prefix}.{}", self.name_with_unit()),
        }
    }

    /// The same key with a different dotted name.
    pub(crate) const fn with_dotted_name(self, dotted_name: &'static str) -> Key {
        Key {
            dotted_name: Some(dotted_name),
            ..self
        }
    }
}

/// How often a section may occur in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occurrence {
    /// At most once, without a name.
    Once,
    /// Any number of times; the first part is a name, which must be unique.
    UniqueNames,
    /// Any number of times; the first part is a name, which need not be unique.
    AnyNames,
}

impl Occurrence {
    /// Whether the first part of the section is its name.
    pub fn is_named(self) -> bool {
        self != Occurrence::Once
    }
}

/// A section of a settings file: `(name (key value) ...)`.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Its name in the file.
    pub name: &'static str,
    /// The prefix of the dotted names of its keys.
    pub prefix: &'static str,
    /// How often it may occur.
    pub occurrence: Occurrence,
    /// Its keys.
    pub keys: &'static [Key],
    /// What it is for.
    pub description: &'static str,
}

/// Creates a key whose dotted name is its section's prefix followed by its name.
pub const fn key(
    name: &'static str,
    value_type: ValueType,
    default: Option<&'static str>,
    description: &'static str,
) -> Key {
    Key {
        name,
        value_type,
        default,
        description,
        dotted_name: None,
    }
}
