//! Parses the value of one setting according to its type.

use crate::schema::ValueType;
use crate::suggestion::suggest;
use crate::syntax::Part;
use sanddrum::Value;
use std::net::SocketAddr;

const KILOBYTE: f64 = 1024.0;
const MEGABYTE: f64 = 1024.0 * KILOBYTE;
const GIGABYTE: f64 = 1024.0 * MEGABYTE;

/// The longest duration, in microseconds: about 31 years.
const MAX_DURATION_US: f64 = 1e15;
/// The largest amount of memory, in bytes.
const MAX_BYTES: f64 = 1e18;

/// Why a value is not valid for its type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{message}")]
pub(crate) struct ValueError {
    pub message: String,
    /// What to write instead; may be empty.
    pub remedy: String,
}

impl ValueError {
    pub fn new(message: impl Into<String>, remedy: impl Into<String>) -> Self {
        ValueError {
            message: message.into(),
            remedy: remedy.into(),
        }
    }
}

/// Parses the value of a setting that takes one value. `parts` is what follows the setting's name.
///
/// # Errors
/// The parts are not a value of this type.
pub(crate) fn parse_value(value_type: ValueType, parts: &[&Part]) -> Result<Value, ValueError> {
    match value_type {
        ValueType::Duration => parse_duration(parts),
        ValueType::Memory => parse_bytes(parts).map(|bytes| Value::Number(bytes / MEGABYTE)),
        ValueType::Bytes => parse_bytes(parts).map(|bytes| Value::Number(bytes.round())),
        ValueType::Number(min, max) => parse_number(parts, min, max),
        ValueType::Integer(min, max) => parse_integer(parts, min, max),
        ValueType::Integers(..) => Err(ValueError::new(
            "expected integers",
            "for example 10 100 1000",
        )),
        ValueType::Flag => parse_flag(parts),
        ValueType::Choice(words) => parse_choice(parts, words),
        ValueType::Address => parse_address(parts),
        ValueType::Text => parse_text(parts),
        ValueType::Names => Err(not_a_text()),
    }
}

/// Parses one element of a list.
///
/// # Errors
/// The part is not an element of a list of this type.
pub(crate) fn parse_element(value_type: ValueType, part: &Part) -> Result<Value, ValueError> {
    match (value_type, part) {
        (ValueType::Names, Part::Word(word)) => Ok(Value::Text(word.clone())),
        (ValueType::Names, _) => Err(ValueError::new(
            "expected a name",
            "write names separated by spaces",
        )),
        (ValueType::Integers(min, max), part) => parse_integer(&[part], min, max),
        (single, part) => parse_value(single, &[part]),
    }
}

fn parse_duration(parts: &[&Part]) -> Result<Value, ValueError> {
    let [Part::Number(number), Part::Word(unit)] = parts else {
        return Err(ValueError::new(
            "expected a duration",
            "write a number and its unit, such as 250ms",
        ));
    };
    let unit_us = match unit.as_str() {
        "us" => 1.0,
        "ms" => 1e3,
        "s" => 1e6,
        "min" => 6e7,
        "h" => 3.6e9,
        other => {
            let message = format!("{other:?} is not a unit of time");
            return Err(ValueError::new(message, "use us, ms, s, min or h"));
        }
    };
    let duration_us = (number * unit_us).round();
    if !(0.0..=MAX_DURATION_US).contains(&duration_us) {
        return Err(ValueError::new(
            "expected a duration between 0 and about 31 years",
            "",
        ));
    }
    Ok(Value::Number(duration_us))
}

/// An amount of memory in bytes, not rounded.
fn parse_bytes(parts: &[&Part]) -> Result<f64, ValueError> {
    let [Part::Number(number), Part::Word(unit)] = parts else {
        return Err(ValueError::new(
            "expected an amount of memory",
            "write a number and its unit, such as 300MB",
        ));
    };
    let unit_bytes = match unit.as_str() {
        "B" => 1.0,
        "KB" => KILOBYTE,
        "MB" => MEGABYTE,
        "GB" => GIGABYTE,
        other => {
            let message = format!("{other:?} is not a unit of memory");
            return Err(ValueError::new(message, "use B, KB, MB or GB"));
        }
    };
    let bytes = number * unit_bytes;
    if !(1.0..=MAX_BYTES).contains(&bytes) {
        return Err(ValueError::new(
            "expected an amount between 1 B and 1e18 B",
            "",
        ));
    }
    Ok(bytes)
}

fn parse_number(parts: &[&Part], min: f64, max: f64) -> Result<Value, ValueError> {
    match parts {
        [Part::Number(number)] => within_bounds(*number, min, max),
        [Part::Number(number), Part::Word(sign)] if sign == "%" => {
            within_bounds(number / 100.0, min, max)
        }
        _ => Err(ValueError::new(
            "expected a number",
            "for example 0.2 or 20%",
        )),
    }
}

fn parse_integer(parts: &[&Part], min: f64, max: f64) -> Result<Value, ValueError> {
    match parts {
        [Part::Number(number)] if number.fract() == 0.0 => within_bounds(*number, min, max),
        _ => Err(ValueError::new("expected an integer", "")),
    }
}

fn within_bounds(number: f64, min: f64, max: f64) -> Result<Value, ValueError> {
    if !(min..=max).contains(&number) {
        let message = format!("{number} is not between {min} and {max}");
        return Err(ValueError::new(message, ""));
    }
    Ok(Value::Number(number))
}

fn parse_flag(parts: &[&Part]) -> Result<Value, ValueError> {
    match parts {
        [Part::Word(word)] if word == "yes" => Ok(Value::Flag(true)),
        [Part::Word(word)] if word == "no" => Ok(Value::Flag(false)),
        _ => Err(ValueError::new("expected yes or no", "write yes or no")),
    }
}

fn parse_choice(parts: &[&Part], words: &[&str]) -> Result<Value, ValueError> {
    let choices = words.join(", ");
    match parts {
        [Part::Word(word)] if words.contains(&word.as_str()) => Ok(Value::Text(word.clone())),
        [Part::Word(word)] => Err(ValueError::new(
            format!("{word:?} is not one of {choices}"),
            suggest(word, words.iter().copied()),
        )),
        _ => Err(ValueError::new(
            "expected a word",
            format!("use one of {choices}"),
        )),
    }
}

fn parse_address(parts: &[&Part]) -> Result<Value, ValueError> {
    match parts {
        [Part::Word(word)] if word.parse::<SocketAddr>().is_err() => Err(ValueError::new(
            format!("{word:?} is not an address"),
            "write an IP address and a port, such as \"127.0.0.1:8080\"; host names are not resolved",
        )),
        _ => parse_text(parts),
    }
}

fn parse_text(parts: &[&Part]) -> Result<Value, ValueError> {
    match parts {
        [Part::Word(word)] => Ok(Value::Text(word.clone())),
        _ => Err(not_a_text()),
    }
}

fn not_a_text() -> ValueError {
    ValueError::new("expected a single string", "write it in quotes")
}
