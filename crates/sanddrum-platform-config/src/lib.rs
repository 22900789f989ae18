//! Translates the settings and load reports of the platform that routers are deployed on into those of the decision
//! module. The simulator adapter and the running router share this package, so that the decision module gets the same
//! settings in both. It maps names only and contains no policy.

mod decision_settings;
mod load_report;
mod vocabulary;

pub use decision_settings::{decision_settings, PlatformSettingsError};
pub use load_report::{load_report, load_report_fields};
pub use sanddrum_wire::stable_id;

use serde_json::Value as Json;

/// The names in a list of the platform's settings, such as `classes`, `kinds` or `azs`, unchanged. Entries are strings
/// or objects with a `name`; others are skipped.
pub fn list_names(platform_settings: &Json, list: &str) -> Vec<String> {
    let entries = platform_settings[list].as_array().into_iter().flatten();
    entries
        .filter_map(|entry| entry.as_str().or(entry["name"].as_str()))
        .map(String::from)
        .collect()
}
