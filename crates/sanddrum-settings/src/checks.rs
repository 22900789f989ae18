//! Rejects combinations of values that cannot work, before anything starts.

use crate::error::SettingsError;
use crate::loaded::LoadedSettings;
use std::collections::BTreeMap;

/// How far the sum of the customers' shares may exceed one, to allow for rounding.
const SHARE_TOLERANCE: f64 = 1e-9;

/// Checks all combinations in order, and reports the first invalid one.
///
/// # Errors
/// A combination of values cannot work.
pub(crate) fn check(settings: &LoadedSettings) -> Result<(), SettingsError> {
    check_workloads(settings)?;
    check_functions(settings)?;
    check_shares(settings)?;
    check_instances(settings)?;
    check_zone(settings)?;
    check_worker_tls(settings)?;
    check_client_tls(settings)?;
    check_customer_certificates(settings)?;
    check_tokens(settings)?;
    check_authorization(settings)?;
    check_backoff(settings, "list-retry", "for example 100ms and 5s")?;
    check_backoff(settings, "left-alone", "for example 100ms and 2s")?;
    check_body_size(settings)
}

/// Whether a pattern is a name, or a prefix with one or more `*` at its end.
fn is_pattern(pattern: &str) -> bool {
    !pattern.is_empty() && !pattern.trim_end_matches('*').contains('*')
}

fn check_workloads(settings: &LoadedSettings) -> Result<(), SettingsError> {
    let count = settings.names("workloads").len();
    if count == 0 {
        return Err(settings.error_at(
            "",
            "no workload is defined",
            "add (workload \"a-name\" (effect ...) ...)",
        ));
    }
    for index in 0..count {
        let prefix = format!("workloads.{index}");
        check_start_target(settings, &prefix)?;
        check_idempotency(settings, &prefix)?;
    }
    Ok(())
}

fn check_start_target(settings: &LoadedSettings, workload: &str) -> Result<(), SettingsError> {
    let target_name = format!("{workload}.start-target-us");
    let target_us = settings.duration_us(&target_name);
    let time_limit_us = settings.duration_us(&format!("{workload}.time-limit-us"));
    if target_us == 0 || target_us > time_limit_us {
        let message = "the start target must be above 0 and at most the time limit";
        return Err(settings.error_at(&target_name, message, "for example 1s and 3s"));
    }
    Ok(())
}

fn check_idempotency(settings: &LoadedSettings, workload: &str) -> Result<(), SettingsError> {
    let effect_name = format!("{workload}.effect");
    let group_name = format!("{workload}.group");
    let has_group = settings.contains(&group_name);
    let has_window = settings.duration_us(&format!("{workload}.repeat-window-us")) > 0;
    let is_fingerprinted = settings.text(&effect_name) == "fingerprinted";
    if is_fingerprinted && !(has_group && has_window) {
        let message =
            "a fingerprinted workload must state which workers drop its retries and for how long";
        let remedy =
            "add, for example, (group zone) (repeat-window 2s); both must match what workers do";
        return Err(settings.error_at(&effect_name, message, remedy));
    }
    if !is_fingerprinted && has_group {
        let message = "only fingerprinted workloads have a group";
        let remedy = "remove it, or set (effect fingerprinted)";
        return Err(settings.error_at(&group_name, message, remedy));
    }
    Ok(())
}

fn check_functions(settings: &LoadedSettings) -> Result<(), SettingsError> {
    let workloads = settings.names("workloads");
    for index in 0..settings.count("functions") {
        let name_key = format!("functions.{index}.name");
        let workload_key = format!("functions.{index}.workload");
        if !settings.contains(&workload_key) {
            let message = "a function needs a workload";
            return Err(settings.error_at(&name_key, message, "add (workload \"a-name\")"));
        }
        let workload = settings.text(&workload_key);
        if !workloads.iter().any(|known| known == workload) {
            let message = format!("workload {workload:?} is not defined");
            let remedy = format!("known workloads: {}", workloads.join(", "));
            return Err(settings.error_at(&workload_key, message, remedy));
        }
        if !is_pattern(settings.text(&name_key)) {
            let message = "a * is allowed only at the end";
            return Err(settings.error_at(&name_key, message, "for example \"pick-*\""));
        }
    }
    Ok(())
}

fn check_shares(settings: &LoadedSettings) -> Result<(), SettingsError> {
    let count = settings.count("customers");
    let total: f64 = (0..count)
        .map(|index| settings.number(&format!("customers.{index}.share")))
        .sum();
    if count > 1 && total > 1.0 + SHARE_TOLERANCE {
        let message = format!("the customers' shares add up to {total}");
        return Err(settings.error_at(
            "customers.0.share",
            message,
            "they must add up to at most 1",
        ));
    }
    Ok(())
}

/// Checks that functions can be loaded at all, and that instances stay loaded for some time.
fn check_instances(settings: &LoadedSettings) -> Result<(), SettingsError> {
    if settings.text("copies.on-miss") == "miss" && !settings.flag("copies.orders") {
        let message = "no function could ever be loaded: workers only report a cold miss, and \
                       edges send no load commands";
        let remedy = "set (orders yes) or (on-miss load)";
        return Err(settings.error_at("copies.on-miss", message, remedy));
    }
    let has_load_budget = settings.duration_us("copies.load-window-us") > 0;
    let free_loads = settings.number("copies.load-free");
    let loads_per_request = settings.number("copies.load-share");
    if has_load_budget && free_loads < 1.0 && loads_per_request <= 0.0 {
        let message = "the budget of load commands is zero";
        let remedy = "set load-free to 1 or more, or load-share above 0";
        return Err(settings.error_at("copies.load-window-us", message, remedy));
    }
    if settings.duration_us("copies.keep-alive-us") == 0 {
        let message = "no instance would ever be found loaded";
        return Err(settings.error_at("copies.keep-alive-us", message, "set it above 0s"));
    }
    Ok(())
}

fn check_zone(settings: &LoadedSettings) -> Result<(), SettingsError> {
    if !settings.contains("edge.zone") {
        return Ok(());
    }
    let zones = settings.names("zones");
    let zone = settings.text("edge.zone");
    if !zones.iter().any(|known| known == zone) {
        let message = format!("zone {zone:?} is not defined");
        let remedy = format!("known zones: {}", zones.join(", "));
        return Err(settings.error_at("edge.zone", message, remedy));
    }
    Ok(())
}

fn check_worker_tls(settings: &LoadedSettings) -> Result<(), SettingsError> {
    if settings.text("tls.workers") == "verified" && !settings.contains("tls.roots-file") {
        let message = "workers' names can't be verified without trusted roots";
        let remedy = "add (roots-file \"roots.pem\"); sanddrum certs make creates such a file";
        return Err(settings.error_at("tls.workers", message, remedy));
    }
    if settings.contains("tls.certificate-file") != settings.contains("tls.key-file") {
        let message = "a certificate and its private key can only be set together";
        let remedy = "set both certificate-file and key-file, or neither";
        return Err(settings.error_at("tls.certificate-file", message, remedy));
    }
    Ok(())
}

fn check_client_tls(settings: &LoadedSettings) -> Result<(), SettingsError> {
    let uses_tls = settings.text("door.speaks") == "tls";
    let has_certificate =
        settings.contains("door.certificate-file") && settings.contains("door.key-file");
    if uses_tls && !has_certificate {
        let message = "the client listener can't use TLS without a certificate and its private key";
        let remedy = "add (certificate-file \"door.pem\") (key-file \"door.key\")";
        return Err(settings.error_at("door.speaks", message, remedy));
    }
    let verifies_clients = settings.text("door.certificates") != "off";
    if verifies_clients && !(uses_tls && settings.contains("door.roots-file")) {
        let message = "clients' certificates can't be verified without TLS and trusted roots";
        let remedy = "add (speaks tls) and (roots-file \"clients.pem\")";
        return Err(settings.error_at("door.certificates", message, remedy));
    }
    Ok(())
}

/// Checks that each name in client certificates belongs to only one customer.
fn check_customer_certificates(settings: &LoadedSettings) -> Result<(), SettingsError> {
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    for customer in 0..settings.count("customers") {
        let key = format!("customers.{customer}.certificates");
        for name in settings.names(&key) {
            if !is_pattern(&name) || name == "*" {
                let message = format!("{name:?} is not a valid name in a certificate");
                let remedy = "a * is allowed only at the end of a prefix";
                return Err(settings.error_at(&key, message, remedy));
            }
            let owner = *owners.entry(name.clone()).or_insert(customer);
            if owner != customer {
                let message = format!("{name:?} is set for two customers");
                return Err(settings.error_at(&key, message, "remove it from one of them"));
            }
        }
    }
    Ok(())
}

fn check_tokens(settings: &LoadedSettings) -> Result<(), SettingsError> {
    if settings.text("identity.tokens") != "off" && !settings.contains("identity.keys-file") {
        let message = "tokens can't be verified without keys";
        let remedy = "add (keys-file \"keys.json\"); sanddrum keys new creates such a file";
        return Err(settings.error_at("identity.tokens", message, remedy));
    }
    Ok(())
}

fn check_authorization(settings: &LoadedSettings) -> Result<(), SettingsError> {
    for section in ["allow", "deny"] {
        for (index, customer) in settings.names(section).into_iter().enumerate() {
            let mut patterns = settings.names(&format!("{section}.{index}.functions"));
            patterns.extend(settings.names(&format!("{section}.{index}.workloads")));
            patterns.push(customer);
            if let Some(invalid) = patterns.iter().find(|pattern| !is_pattern(pattern)) {
                let message = format!("{invalid:?} is not a valid pattern");
                let remedy = "a * is allowed only at the end, as in \"pick-*\"";
                return Err(settings.error_at(&format!("{section}.{index}.name"), message, remedy));
            }
        }
    }
    Ok(())
}

/// Checks the first and the longest backoff that a pair of limits sets.
fn check_backoff(
    settings: &LoadedSettings,
    limit: &str,
    remedy: &str,
) -> Result<(), SettingsError> {
    let first_name = format!("limits.{limit}-least-us");
    let first_us = settings.duration_us(&first_name);
    let longest_us = settings.duration_us(&format!("limits.{limit}-most-us"));
    if first_us > longest_us || first_us == 0 {
        let message = format!("{limit}-least must be above 0 and at most {limit}-most");
        return Err(settings.error_at(&first_name, message, remedy));
    }
    Ok(())
}

fn check_body_size(settings: &LoadedSettings) -> Result<(), SettingsError> {
    let max_body_bytes = settings.number("limits.largest-body-bytes");
    let max_frame_bytes = settings.number("limits.largest-frame-bytes");
    if max_body_bytes >= max_frame_bytes + 1.0 {
        let message =
            "a body larger than a frame would be accepted but could not be sent to a worker";
        let remedy = "set largest-frame above largest-body";
        return Err(settings.error_at("limits.largest-body-bytes", message, remedy));
    }
    Ok(())
}
