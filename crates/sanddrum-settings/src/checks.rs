//! Combinations that cannot work are refused before anything starts.

use crate::forms::SettingsError;
use crate::values::LoadedSettings;
use std::collections::BTreeMap;

pub(crate) fn check(l: &LoadedSettings) -> Result<(), SettingsError> {
    let zones = l.names("zones");
    let workloads = l.names("workloads");
    if workloads.is_empty() {
        return Err(l.error_at(
            "",
            "no workload is set",
            "add (workload \"a-name\" (effect ...) ...)",
        ));
    }
    for n in 0..workloads.len() {
        workload(l, &format!("workloads.{n}"))?;
    }
    for n in 0..l.count("functions") {
        let at = format!("functions.{n}.workload");
        let named = format!("functions.{n}.name");
        if !l.contains(&at) {
            return Err(l.error_at(
                &named,
                "a function needs a workload",
                "add (workload \"a-name\")",
            ));
        }
        if !workloads.iter().any(|w| w == l.text(&at)) {
            let known = format!("known are {}", workloads.join(", "));
            return Err(l.error_at(&at, format!("no workload {:?} is set", l.text(&at)), known));
        }
        let name = l.text(&named);
        if name.trim_end_matches('*').contains('*') || name.is_empty() {
            return Err(l.error_at(&named, "a * may stand at the end only", "as \"pick-*\""));
        }
    }
    let shares: f64 = (0..l.count("customers"))
        .map(|n| l.number(&format!("customers.{n}.share")))
        .sum();
    if l.count("customers") > 1 && shares > 1.0 + 1e-9 {
        let what = format!("the customers' shares add up to {shares}");
        return Err(l.error_at("customers.0.share", what, "at most 1 in all"));
    }
    if l.text("copies.on-miss") == "miss" && !l.flag("copies.orders") {
        let what = "nothing could ever be loaded: workers answer a miss and edges give no orders";
        return Err(l.error_at("copies.on-miss", what, "set (orders yes) or (on-miss load)"));
    }
    let rationed = l.duration_us("copies.load-window-us") > 0;
    if rationed && l.number("copies.load-free") < 1.0 && l.number("copies.load-share") <= 0.0 {
        let what = "the ration of orders to load is nought";
        return Err(l.error_at(
            "copies.load-window-us",
            what,
            "set load-free to 1 or more, or load-share above 0",
        ));
    }
    if l.duration_us("copies.keep-alive-us") == 0 {
        return Err(l.error_at(
            "copies.keep-alive-us",
            "no copy would ever be found loaded",
            "set it above 0s",
        ));
    }
    if l.contains("edge.zone") && !zones.iter().any(|z| z == l.text("edge.zone")) {
        let what = format!("no zone {:?} is set", l.text("edge.zone"));
        return Err(l.error_at("edge.zone", what, format!("known are {}", zones.join(", "))));
    }
    if l.text("tls.workers") == "verified" && !l.contains("tls.roots-file") {
        let what = "workers' names can't be verified without roots";
        return Err(l.error_at(
            "tls.workers",
            what,
            "add (roots-file \"roots.pem\"), as sanddrum certs make does",
        ));
    }
    if l.contains("tls.certificate-file") != l.contains("tls.key-file") {
        let what = "a certificate and its key go together";
        return Err(l.error_at(
            "tls.certificate-file",
            what,
            "set both certificate-file and key-file, or neither",
        ));
    }
    door(l)?;
    if l.text("identity.tokens") != "off" && !l.contains("identity.keys-file") {
        let what = "tokens can't be checked without keys";
        return Err(l.error_at(
            "identity.tokens",
            what,
            "add (keys-file \"keys.json\"), made with sanddrum keys new",
        ));
    }
    for kind in ["allow", "deny"] {
        for (n, customer) in l.names(kind).iter().enumerate() {
            let mut patterns = l.names(&format!("{kind}.{n}.functions"));
            patterns.extend(l.names(&format!("{kind}.{n}.workloads")));
            patterns.push(customer.clone());
            if let Some(bad) = patterns
                .iter()
                .find(|p| p.is_empty() || p.trim_end_matches('*').contains('*'))
            {
                let what = format!("{bad:?} is no pattern");
                return Err(l.error_at(
                    &format!("{kind}.{n}.name"),
                    what,
                    "a * may stand at the end only, as \"pick-*\"",
                ));
            }
        }
    }
    let (least, most) = (
        l.duration_us("limits.list-retry-least-us"),
        l.duration_us("limits.list-retry-most-us"),
    );
    if least > most || least == 0 {
        let what = "list-retry-least must be above 0 and no more than list-retry-most";
        return Err(l.error_at("limits.list-retry-least-us", what, "as 100ms and 5s"));
    }
    let (least, most) = (
        l.duration_us("limits.left-alone-least-us"),
        l.duration_us("limits.left-alone-most-us"),
    );
    if least > most || least == 0 {
        let what = "left-alone-least must be above 0 and no more than left-alone-most";
        return Err(l.error_at("limits.left-alone-least-us", what, "as 100ms and 2s"));
    }
    if l.number("limits.largest-body-bytes") >= l.number("limits.largest-frame-bytes") + 1.0 {
        let what = "a body may be larger than a frame, so it could reach no worker";
        return Err(l.error_at(
            "limits.largest-body-bytes",
            what,
            "set largest-frame above largest-body",
        ));
    }
    Ok(())
}

fn door(l: &LoadedSettings) -> Result<(), SettingsError> {
    let tls = l.text("door.speaks") == "tls";
    if tls && !(l.contains("door.certificate-file") && l.contains("door.key-file")) {
        let what = "the client door can't speak TLS without a certificate and its key";
        return Err(l.error_at(
            "door.speaks",
            what,
            "add (certificate-file \"door.pem\") (key-file \"door.key\")",
        ));
    }
    if l.text("door.certificates") != "off" && !(tls && l.contains("door.roots-file")) {
        let what = "clients' certificates can't be verified without TLS and roots";
        return Err(l.error_at(
            "door.certificates",
            what,
            "add (speaks tls) and (roots-file \"clients.pem\")",
        ));
    }
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    for n in 0..l.count("customers") {
        let at = format!("customers.{n}.certificates");
        for name in l.names(&at) {
            if name.is_empty() || name.trim_end_matches('*').contains('*') || name == "*" {
                let what = format!("{name:?} is no certificate's name");
                return Err(l.error_at(&at, what, "a * may stand at the end of a beginning only"));
            }
            if owners
                .insert(name.clone(), n)
                .is_some_and(|other| other != n)
            {
                let what = format!("{name:?} would be two customers'");
                return Err(l.error_at(&at, what, "take it out of one of them"));
            }
        }
    }
    Ok(())
}

fn workload(l: &LoadedSettings, at: &str) -> Result<(), SettingsError> {
    let name = |key: &str| format!("{at}.{key}");
    let (target, limit) = (
        l.duration_us(&name("start-target-us")),
        l.duration_us(&name("time-limit-us")),
    );
    if target == 0 || target > limit {
        let what = "the start target must be above 0 and no longer than the time limit";
        return Err(l.error_at(&name("start-target-us"), what, "as 1s and 3s"));
    }
    let fingerprinted = l.text(&name("effect")) == "fingerprinted";
    if fingerprinted
        && !(l.contains(&name("group")) && l.duration_us(&name("repeat-window-us")) > 0)
    {
        let what =
            "a fingerprinted workload needs to say which workers drop its repeats and for how long";
        return Err(l.error_at(
            &name("effect"),
            what,
            "add (group zone) and (repeat-window 2s), as the workers do it",
        ));
    }
    if !fingerprinted && l.contains(&name("group")) {
        let what = "only fingerprinted workloads have a group";
        return Err(l.error_at(
            &name("group"),
            what,
            "take it out, or set (effect fingerprinted)",
        ));
    }
    Ok(())
}
