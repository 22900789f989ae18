//! The time until a configuration change reaches all routers. No mechanism distributes changes to all routers today,
//! so this reports the intervals at which routers check their local files.

use super::{Benchmark, Plan, Point, Role, Sink, Source, Stop};
use sanddrum_settings::{Occurrence, Section, SettingsError};

pub const BENCHMARK: Benchmark = Benchmark {
    name: "configuration",
    section: Section {
        name: "configuration-plays",
        prefix: "configuration-plays",
        occurrence: Occurrence::Once,
        description: "without settings, as no mechanism distributes the configuration to routers",
        keys: &[],
    },
    check,
    run,
};

fn check(_: &Plan) -> Result<(), SettingsError> {
    Ok(())
}

/// Interval in seconds at which a router on the platform checks its start configuration, besides SIGHUP (sanddrum-cli,
/// platform.rs). Only the address of the control feed is applied; everything else needs a restart.
const PLATFORM_CHECK_INTERVAL_S: f64 = 3_600.0;

/// Files that running routers reload, with the setting of the check interval. They have to be copied to each router's
/// machine by other means. SIGHUP triggers a check at once.
const WATCHED_FILES: [(&str, &str); 2] = [
    (
        "the key set, by each router from its own file",
        "identity.watch-every-us",
    ),
    (
        "certificates, roots and lists of the revoked, by each router from its own files",
        "tls.watch-every-us",
    ),
];

fn run(plan: &Plan, sink: &mut Sink, _: &Stop) -> Result<(), String> {
    let l = &plan.settings;
    let routers = l.number("capacity.routers");
    let mut record = |play: &str, figure: &str, unit: &'static str, value: f64| {
        sink.point(Point {
            role: Role::Configuration,
            play: play.into(),
            figure: figure.into(),
            unit,
            axis: "routers",
            at: routers,
            value,
            source: Source::WorkedOut,
        })
    };
    record(
        "a change of the configuration: no mechanism today carries it to all routers",
        "mechanisms",
        "mechanisms",
        0.0,
    )?;
    for (what, every) in WATCHED_FILES {
        let play = format!("a file that is already on every router's machine: {what}");
        record(
            &play,
            "looked at every",
            "s",
            l.duration_us(every) as f64 / 1e6,
        )?;
    }
    let play = "a file that is already on every router's machine: the start configuration on the platform, of which only \
                the feed's address is taken up";
    record(play, "looked at every", "s", PLATFORM_CHECK_INTERVAL_S)?;
    let changes_per_day = l.number("capacity.changes");
    record(
        "changes of the configuration",
        "a second, in the mean",
        "changes",
        changes_per_day / 86_400.0,
    )
}
