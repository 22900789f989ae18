//! The vocabulary of schemas: what sections and keys a settings file may have, and which values.

/// What values a key takes. Bounds are inclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ValueType {
    /// A duration with a unit, as `250ms`. Kept in microseconds; its dotted name ends in `-us`.
    Duration,
    /// An amount of memory with a unit, as `300MB`. Kept in MB (2^20 bytes); its dotted name ends in `-mb`.
    Memory,
    /// A number of bytes with a unit, as `16KB`. Kept in bytes; its dotted name ends in `-bytes`.
    Bytes,
    /// A number, or a percentage, between a least and a greatest one.
    Number(f64, f64),
    /// A whole number between a least and a greatest one.
    Integer(f64, f64),
    /// Whole numbers between a least and a greatest one, one after the other.
    Integers(f64, f64),
    /// `yes` or `no`.
    Flag,
    /// A text.
    Text,
    /// One of these words.
    Choice(&'static [&'static str]),
    /// An IP address and a port.
    Address,
    /// Names, one after the other.
    Names,
}

impl ValueType {
    /// Whether a key of this type takes any number of values.
    pub(crate) fn is_list(self) -> bool {
        matches!(self, ValueType::Names | ValueType::Integers(..))
    }

    /// Whether a value of this type is written as a quoted text.
    pub(crate) fn is_quoted(self) -> bool {
        matches!(self, ValueType::Text | ValueType::Address)
    }

    /// What a dotted name of this type ends in: its unit.
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
    /// What values it takes.
    pub value_type: ValueType,
    /// The value where the file has none, written as in a file. Without one the setting is absent, and its reader's
    /// default counts.
    pub default: Option<&'static str>,
    /// What it is for, for a listing.
    pub description: &'static str,
    /// The dotted name, where it is not made of the section's prefix and the key's name.
    pub dotted_name: Option<&'static str>,
}

impl Key {
    /// The key's name with its unit.
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

    /// The same key under another dotted name.
    pub(crate) const fn named(self, dotted_name: &'static str) -> Key {
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
    /// Any number of times; the first part is a name, and names are unique.
    UniqueNames,
    /// Any number of times; the first part is a name, and names may be equal.
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
    /// What the dotted names of its keys begin with.
    pub prefix: &'static str,
    /// How often it may occur.
    pub occurrence: Occurrence,
    /// Its keys.
    pub keys: &'static [Key],
    /// What it is for.
    pub description: &'static str,
}

/// A key whose dotted name is made of its section's prefix and its name.
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
