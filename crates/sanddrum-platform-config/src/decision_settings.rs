//! Translates the platform's settings into the decision module's.

use crate::vocabulary::{own_name, KeyType};
use sanddrum::{Settings, Value};
use serde_json::Value as Json;

/// Why the platform's settings can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformSettingsError {
    /// The list of workload classes is empty or no list.
    #[error("classes: a list with at least one entry is wanted")]
    NoClasses,
    /// A value that its key can't have.
    #[error("{key}: {value} can't be used; wanted: {expected}")]
    InvalidValue {
        /// The key's dotted name on the platform.
        key: String,
        /// The value as JSON.
        value: String,
        /// What values the key may have.
        expected: String,
    },
}

/// Prices are named after what they are for, perhaps like a key of another type, and are always numbers.
const PRICES_PREFIX: &str = "prices.";

/// The platform's settings as dotted names with plain values, by the decision module's names. Unknown keys are kept under
/// their own names; what is missing or null is left out. A list also has its `.count`.
///
/// # Errors
/// [`PlatformSettingsError`]: an unknown code, or a value of another type than its key has. Guards against an unknown
/// effect or an unknown answer to a cold miss being taken for another.
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

/// A value's dotted name, by the platform's keys and by the decision module's.
#[derive(Default)]
struct Path {
    platform: String,
    own: String,
}

impl Path {
    fn child(&self, platform_key: &str, own_key: &str) -> Path {
        Path {
            platform: join(&self.platform, platform_key),
            own: join(&self.own, own_key),
        }
    }

    /// The last key on the platform.
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
                flatten(&path.child(key, own_name(key)), value, settings)?;
            }
        }
        Json::Array(list) => {
            for (index, value) in list.iter().enumerate() {
                let index = index.to_string();
                flatten(&path.child(&index, &index), value, settings)?;
            }
            let count = Value::Number(list.len() as f64);
            settings.0.insert(join(&path.own, "count"), count);
        }
        plain => {
            let value = plain_value(path, plain).ok_or_else(|| invalid_value(path, plain))?;
            settings.0.insert(path.own.clone(), value);
        }
    }
    Ok(())
}

/// A boolean, number or text as the decision module has it; `None` where its key can't have it.
fn plain_value(path: &Path, value: &Json) -> Option<Value> {
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
                .map(|(_, own_code)| Value::Text(own_code.to_string())),
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
