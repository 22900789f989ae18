//! Translates the platform's settings into those of the decision module.

use crate::vocabulary::{decision_key, KeyType};
use sanddrum::{Settings, Value};
use serde_json::Value as Json;

/// Why the platform's settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformSettingsError {
    /// The list of workload classes is empty or not a list.
    #[error("classes: expected a list with at least one entry")]
    NoClasses,
    /// A key has a value that it can't have.
    #[error("{key}: {value} can't be used; expected: {expected}")]
    InvalidValue {
        /// The key's dotted name in the platform's settings.
        key: String,
        /// The value as JSON.
        value: String,
        /// A description of the values that the key may have.
        expected: String,
    },
}

/// The prefix of prices. They are named after what they price, possibly like a key of another type, and are always
/// numbers.
const PRICES_PREFIX: &str = "prices.";

/// Translates the platform's settings into dotted names with scalar values, under the decision module's names. Unknown
/// keys keep their names; null values are left out. A list also has its `.count`.
///
/// # Errors
/// [`PlatformSettingsError`]: an unknown code, or a value whose type is not that of its key. Otherwise an unknown
/// effect or an unknown response to a cold miss would silently be treated as a different one.
pub fn decision_settings(platform_settings: &Json) -> Result<Settings, PlatformSettingsError> {
    if let Some(classes) = platform_settings.get("classes") {
        if classes.as_array().is_none_or(Vec::is_empty) {
            return Err(PlatformSettingsError::NoClasses);
        }
    }
    let mut settings = Settings::default();
    flatten(&Path::default(), platform_settings, &mut settings)?;
    Ok(settings)
}

/// A value's dotted name in the platform's settings and in the decision module's.
#[derive(Default)]
struct Path {
    platform: String,
    decision: String,
}

impl Path {
    fn child(&self, platform_key: &str, decision_key: &str) -> Path {
        Path {
            platform: join(&self.platform, platform_key),
            decision: join(&self.decision, decision_key),
        }
    }

    /// The platform's name of the last key.
    fn key(&self) -> &str {
        self.platform.rsplit('.').next().unwrap_or_default()
    }

    fn is_price(&self) -> bool {
        self.platform.starts_with(PRICES_PREFIX)
    }
}

fn join(parent: &str, key: &str) -> String {
    if parent.is_empty() {
        key.to_string()
    } else {
        format!("{parent}.{key}")
    }
}

fn flatten(
    path: &Path,
    value: &Json,
    settings: &mut Settings,
) -> Result<(), PlatformSettingsError> {
    match value {
        Json::Null => {}
        Json::Object(map) => {
            for (key, value) in map {
                flatten(&path.child(key, decision_key(key)), value, settings)?;
            }
        }
        Json::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                let index = index.to_string();
                flatten(&path.child(&index, &index), value, settings)?;
            }
            let count = Value::Number(list.len() as f64);
            settings.0.insert(join(&path.decision, "count"), count);
        }
        scalar => {
            let value = scalar_value(path, scalar).ok_or_else(|| invalid_value(path, scalar))?;
            settings.0.insert(path.decision.clone(), value);
        }
    }
    Ok(())
}

/// Translates a boolean, number or string for the decision module; `None` if its key can't have that value.
fn scalar_value(path: &Path, value: &Json) -> Option<Value> {
    let key_type = KeyType::of(path.key());
    match value {
        Json::Bool(flag) => {
            let fits = matches!(key_type, KeyType::Flag | KeyType::Any);
            fits.then_some(Value::Flag(*flag))
        }
        Json::Number(number) => {
            let number = number.as_f64().unwrap_or_default();
            let fits = match key_type {
                KeyType::Any => true,
                KeyType::Duration => path.is_price() || number >= 0.0,
                KeyType::Code(_) | KeyType::Flag => path.is_price(),
            };
            fits.then_some(Value::Number(number))
        }
        Json::String(text) => match key_type {
            KeyType::Any => Some(Value::Text(text.clone())),
            KeyType::Code(codes) => codes
                .iter()
                .find(|(platform_code, _)| platform_code == text)
                .map(|(_, decision_code)| Value::Text(decision_code.to_string())),
            KeyType::Flag | KeyType::Duration => None,
        },
        Json::Null | Json::Array(_) | Json::Object(_) => None,
    }
}

fn invalid_value(path: &Path, value: &Json) -> PlatformSettingsError {
    PlatformSettingsError::InvalidValue {
        key: path.platform.clone(),
        value: value.to_string(),
        expected: KeyType::of(path.key()).expected_values(),
    }
}
