//! The startup configuration that the platform gives to a router: a JSON file.

mod reader;

pub use reader::{StartupConfigReader, MAX_CONFIGURATION_BYTES};

use crate::control_feed::{FeedError, FeedEvents};
use crate::deployment;
use crate::json_stream::JsonError;
use sanddrum::Settings;
use sanddrum_platform_config::PlatformSettingsError;
use sanddrum_settings::{LoadedSettings, SettingsError};
use serde_json::Value as Json;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;

/// A startup configuration whose values have been checked.
#[derive(Clone, Debug)]
pub struct StartupConfig {
    /// The router's name.
    pub name: String,
    /// The IP address and port that the router listens on.
    pub listen: String,
    /// The IP address and port of the control feed.
    pub feed: String,
    /// The seed of the router's random number generator.
    pub seed: u64,
    /// The maximum number of open file descriptors, at least one.
    pub max_descriptors: u64,
    /// The memory that the router may use, in MB (2^20 bytes), at least one.
    pub memory_mb: f64,
    /// The result of the feed's events as of when the configuration was written, without those that were known already
    /// when it was read.
    pub known_events: FeedEvents,
    /// The settings under the platform's names.
    pub settings: Json,
    /// The settings under the decision module's names.
    decision_settings: Settings,
}

/// Why a startup configuration can't be used. Except for text that is not JSON, the message begins with the key.
#[derive(Debug, thiserror::Error)]
pub enum StartupConfigError {
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    NotJson(#[from] JsonError),
    /// The text exceeds [`MAX_CONFIGURATION_BYTES`].
    #[error("larger than {MAX_CONFIGURATION_BYTES} bytes")]
    TooLarge,
    /// Everything but the known events together exceeds its limit.
    #[error("settings: larger than {0} bytes")]
    SettingsTooLarge(usize),
    /// A string is missing or empty.
    #[error("{0}: expected a non-empty string")]
    MissingText(&'static str),
    /// A string is not an IP address with a port.
    #[error("{key}: {value:?} is not an IP address and a port")]
    InvalidAddress {
        /// The key.
        key: &'static str,
        /// Its value.
        value: String,
        /// The parser's error.
        source: AddrParseError,
    },
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: {value:?} is not a hexadecimal 64-bit number")]
    InvalidSeed {
        /// The seed as it was given.
        value: String,
        /// The parser's error.
        source: ParseIntError,
    },
    /// One of the `limits` is missing or less than one.
    #[error("limits.{0}: expected a number of at least 1")]
    InvalidLimit(&'static str),
    /// The settings are missing or not an object.
    #[error("settings: expected an object")]
    MissingSettings,
    /// One of the settings can't be used.
    #[error("settings.{0}")]
    InvalidSettings(#[source] PlatformSettingsError),
    /// The known events can't be parsed.
    #[error("known: {0}")]
    InvalidEvents(#[from] FeedError),
}

impl StartupConfig {
    /// Reads and checks the startup configuration of a router that starts.
    ///
    /// # Errors
    /// [`StartupConfigError`], which names the key that can't be used.
    pub fn read(text: &str) -> Result<Self, StartupConfigError> {
        let mut reader = StartupConfigReader::for_start();
        reader.push(text.as_bytes())?;
        reader.finish(0)
    }

    /// Checks the values of a configuration.
    fn check(json: &Json, known_events: FeedEvents) -> Result<Self, StartupConfigError> {
        let seed = read_seed(json)?;
        if !json["settings"].is_object() {
            return Err(StartupConfigError::MissingSettings);
        }
        let decision_settings = sanddrum_platform_config::decision_settings(&json["settings"])
            .map_err(StartupConfigError::InvalidSettings)?;
        Ok(StartupConfig {
            name: read_text(json, "name")?,
            listen: read_address(json, "listen")?,
            feed: read_address(json, "feed")?,
            seed,
            max_descriptors: read_limit(json, "sockets")? as u64,
            memory_mb: read_limit(json, "memory_mb")?,
            known_events,
            settings: json["settings"].clone(),
            decision_settings,
        })
    }

    /// The names of the kinds of machine that workers run on.
    pub fn worker_kinds(&self) -> Vec<String> {
        sanddrum_platform_config::list_names(&self.settings, "kinds")
    }

    /// The settings for the decision module.
    pub fn decision_settings(&self) -> Settings {
        self.decision_settings.clone()
    }

    /// The edge's own settings, checked like those of a file.
    ///
    /// # Errors
    /// [`SettingsError`]: a setting is missing or out of bounds.
    pub fn deployment_settings(&self) -> Result<LoadedSettings, SettingsError> {
        let text = deployment::write(self, &self.decision_settings);
        sanddrum_settings::read("settings", &text)
    }
}

fn read_text(json: &Json, key: &'static str) -> Result<String, StartupConfigError> {
    match json[key].as_str() {
        Some(text) if !text.is_empty() => Ok(text.to_string()),
        _ => Err(StartupConfigError::MissingText(key)),
    }
}

fn read_address(json: &Json, key: &'static str) -> Result<String, StartupConfigError> {
    let value = read_text(json, key)?;
    match value.parse::<SocketAddr>() {
        Ok(_) => Ok(value),
        Err(source) => Err(StartupConfigError::InvalidAddress { key, value, source }),
    }
}

fn read_seed(json: &Json) -> Result<u64, StartupConfigError> {
    let value = read_text(json, "seed")?;
    u64::from_str_radix(&value, 16)
        .map_err(|source| StartupConfigError::InvalidSeed { value, source })
}

fn read_limit(json: &Json, key: &'static str) -> Result<f64, StartupConfigError> {
    json["limits"][key]
        .as_f64()
        .filter(|limit| *limit >= 1.0)
        .ok_or(StartupConfigError::InvalidLimit(key))
}
