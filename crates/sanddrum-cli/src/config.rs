//! `sanddrum config`: checks and prints settings files.

use crate::{exit, fail};
use sanddrum::Value;
use std::path::Path;
use std::process::ExitCode;

pub fn check(file: &Path, scenario: bool) -> ExitCode {
    match load(file, scenario) {
        Ok(loaded) => {
            let (workloads, functions) = (loaded.count("workloads"), loaded.count("functions"));
            println!(
                "{}: valid; {workloads} workloads, {functions} functions",
                file.display()
            );
            ExitCode::from(exit::SUCCESS)
        }
        Err(problem) => fail(exit::USAGE, problem),
    }
}

fn load(
    file: &Path,
    scenario: bool,
) -> Result<sanddrum_settings::LoadedSettings, sanddrum_settings::SettingsError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|e| sanddrum_settings::SettingsError::from_io(&name, &e))?;
    if scenario {
        return sanddrum_lab::Scenario::read(&name, &text, 1).map(|s| s.settings);
    }
    sanddrum_settings::read(&name, &text)
}

/// Prints every effective setting with its origin and description.
pub fn show(file: &Path, scenario: bool) -> ExitCode {
    let loaded = match load(file, scenario) {
        Ok(loaded) => loaded,
        Err(problem) => return fail(exit::USAGE, problem),
    };
    for (name, value) in &loaded.values.0 {
        let value = match value {
            Value::Number(n) => n.to_string(),
            Value::Text(t) => format!("{t:?}"),
            Value::Flag(f) => if *f { "yes" } else { "no" }.to_string(),
        };
        let origin = loaded
            .origins
            .get(name)
            .map_or_else(|| "counted".to_string(), ToString::to_string);
        println!(
            "{name:36} {value:20} ; {origin}; {}",
            loaded.description(name)
        );
    }
    println!("; settings not listed here have the decision module's defaults (docs/settings.md)");
    ExitCode::from(exit::SUCCESS)
}
