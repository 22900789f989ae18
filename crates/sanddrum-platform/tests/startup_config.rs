//! The startup configuration and the deployment settings derived from it.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_platform::control_feed::{FeedEvent, FeedEvents};
use sanddrum_platform::{
    StartupConfig, StartupConfigError, StartupConfigReader, MAX_CONFIGURATION_BYTES,
};
use sanddrum_wire::Phase;
use serde_json::{json, Value as Json};

fn valid_config() -> Json {
    json!({
        "name": "n3", "listen": "127.0.0.1:8080", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 300},
        "feed": "127.0.0.1:2379", "known": {"n": 0, "events": []},
        "settings": {
            "azs": ["here"], "az": 0, "me": 1, "balancers": 3, "kinds": ["slow", "fast"],
            "classes": [{"name": "job", "aim-us": 700000, "deadline-us": 2000000, "effect": "once"}],
            "family-info": {"if-cold": "miss", "placement-calls": true, "idle-life-us": 9000000, "load-wait-us": 4000000},
            "limits": {"streams-per-conn": 32, "keepalive-us": 30000000, "max-open": 500, "try-limit": 4},
            "obligations": {"cold-from": 0.2, "cold-us": 9000000, "fall-multiple": 2.5, "tip-after-us": 2000000,
                            "stop-sending-within-us": 250000},
            "stats": {"fields": ["q", "rif"], "via": "answers"},
        },
    })
}

/// The error of a configuration that can't be used.
fn read_error(config: &Json) -> String {
    StartupConfig::read(&config.to_string())
        .unwrap_err()
        .to_string()
}

#[rstest]
fn deployment_settings_are_derived_from_the_startup_configuration() {
    let config = StartupConfig::read(&valid_config().to_string()).unwrap();
    let settings = config.deployment_settings().unwrap();
    assert_eq!(settings.names("workloads"), ["job"]);
    assert_eq!(settings.text("workloads.0.effect"), "run-once");
    assert_eq!(settings.duration_us("workloads.0.time-limit-us"), 2_000_000);
    assert_eq!(
        (
            settings.integer("limits.max-open"),
            settings.integer("limits.max-clients")
        ),
        (500, 100)
    );
    assert_eq!(settings.duration_us("limits.idle-close-us"), 24_000_000);
    assert_eq!(
        (settings.text("edge.listen"), settings.text("edge.list")),
        ("127.0.0.1:8080", "127.0.0.1:2379")
    );
    assert_eq!(
        (settings.integer("me"), settings.integer("routers")),
        (1, 3)
    );
}

/// Guards against limits that are each within the router's memory and together above it: at the smallest memory of the
/// platform the bounds on what peers can make the router buffer add up to less than it, besides what the program, its
/// lists and its functions take.
/// Review, case 10: a router whose configuration names a zone, a class or itself in this way did not start.
#[rstest]
#[case::no_break_space("brest\u{a0}: nord")]
#[case::combining_accent("e\u{301}tage")]
#[case::quotes_and_backslashes("\"a\\b\"")]
#[case::brackets("((((((((((((((((((((((((((((((((((((((((")]
#[case::line_break("a\nb")]
fn names_of_any_characters_are_kept(#[case] name: &str) {
    let mut config = valid_config();
    config["name"] = json!(name);
    config["settings"]["azs"] = json!([name]);
    config["settings"]["classes"][0]["name"] = json!(name);
    let config = StartupConfig::read(&config.to_string()).unwrap();
    let settings = config.deployment_settings().unwrap();
    assert_eq!(settings.text("edge.name"), name);
    assert_eq!(settings.names("zones"), [name]);
    assert_eq!(settings.names("workloads"), [name]);
}

#[rstest]
fn the_bounds_on_buffered_bytes_add_up_to_less_than_the_smallest_memory_limit() {
    let (memory, program_and_functions) = (32 << 20, 9 << 20);
    let mut config = valid_config();
    config["limits"] = json!({"memory_mb": 32, "sockets": 1024});
    let config = StartupConfig::read(&config.to_string()).unwrap();
    let settings = config.deployment_settings().unwrap();
    let bytes = |name: &str| settings.integer(&format!("limits.{name}-bytes"));
    // Each body is held a second time while it is sent to a worker.
    let bounds = [
        bytes("partial-requests"),
        2 * bytes("held-bodies"),
        bytes("worker-frames"),
        bytes("unread-responses"),
        bytes("largest-list"),
    ];
    let sum: usize = bounds.iter().sum();
    assert!(sum + program_and_functions < memory, "{bounds:?}");
    // The share of each client in the partial requests is a largest request.
    let request = bytes("largest-body") + 1024;
    assert!(bytes("partial-requests") / settings.integer("limits.max-clients") >= request);
}

#[rstest]
#[case::short(1_500_000, 2_100_000)]
#[case::longer_than_the_platform_waits(11_000_000, 3_600_000)]
fn a_graceful_shutdown_ends_before_the_platform_kills_the_router(
    #[case] time_limit_us: i64,
    #[case] stop_within_us: i64,
) {
    let mut config = valid_config();
    config["settings"]["classes"][0]["deadline-us"] = json!(time_limit_us);
    let settings = StartupConfig::read(&config.to_string())
        .unwrap()
        .deployment_settings()
        .unwrap();
    assert_eq!(
        settings.duration_us("limits.stop-within-us"),
        stop_within_us
    );
}

#[rstest]
#[case("classes", json!([]))]
#[case("classes", json!([{"name": "job", "effect": "thrice"}]))]
#[case("family-info", json!({"if-cold": "perhaps"}))]
#[case("limits", json!({"cancel": "yes"}))]
fn an_error_in_the_settings_begins_with_the_rejected_key(#[case] key: &str, #[case] value: Json) {
    let mut config = valid_config();
    config["settings"][key] = value;
    let error = read_error(&config);
    assert!(error.starts_with(&format!("settings.{key}")), "{error}");
}

#[rstest]
#[case("name", json!(""))]
#[case("listen", json!("here:80"))]
#[case("feed", json!(7))]
#[case("seed", json!("none"))]
#[case("limits", json!({"sockets": 0}))]
#[case("settings", json!(null))]
#[case("known", json!({"n": "x"}))]
fn an_error_in_the_configuration_begins_with_the_rejected_key(
    #[case] key: &str,
    #[case] value: Json,
) {
    let mut config = valid_config();
    config[key] = value;
    let error = read_error(&config);
    assert!(error.starts_with(key), "{error}");
}

/// Reads a configuration in parts of this length.
fn read_in_parts(
    mut reader: StartupConfigReader,
    text: &str,
    part_length: usize,
    last_event: u64,
) -> Result<StartupConfig, StartupConfigError> {
    for part in text.as_bytes().chunks(part_length) {
        reader.push(part)?;
    }
    reader.finish(last_event)
}

/// Guards against a reader of running routers that rejects what the reader of starting ones accepts: a fleet of 3,200
/// workers of which half have been replaced has a configuration above 1 MiB.
#[rstest]
#[case::start(StartupConfigReader::for_start(), 3200)]
#[case::reload(StartupConfigReader::for_reload(0), 4800)]
#[case::reload_with_most_events_known(StartupConfigReader::for_reload(2), 3200)]
fn a_configuration_above_a_mebibyte_is_read(
    #[case] reader: StartupConfigReader,
    #[case] expected_changes: usize,
) {
    let member = |index: usize, phase: &str| {
        json!({"id": format!("s-{index:08x}"), "host_port": "10.1.200.9:8080", "locality": "here", "flavor": "fast",
               "cell": 0, "phase": phase, "size": 4, "up_since_ms": 1_700_000_000_000_i64})
    };
    let members = |indexes: std::ops::Range<usize>, phase: &str| -> Vec<Json> {
        indexes.map(|index| member(index, phase)).collect()
    };
    let mut replacement = members(0..1600, "terminated");
    replacement.extend(members(3200..4800, "in_service"));
    let mut config = valid_config();
    config["known"] = json!({"n": 3, "events": [
        {"n": 1, "members": {"complete": true, "members": members(0..3200, "in_service")}},
        {"n": 2, "members": {"complete": false, "members": members(0..1600, "terminating")}},
        {"n": 3, "members": {"complete": false, "members": replacement}},
    ]});
    let text = config.to_string();
    assert!(text.len() > 1 << 20);
    let config = read_in_parts(reader, &text, 32 * 1024, 0).unwrap();
    let changes = config
        .known_events
        .events
        .iter()
        .flat_map(|event| &event.members);
    let count: usize = changes.map(|update| update.members.len()).sum();
    assert_eq!(
        (config.known_events.last_number, count),
        (3, expected_changes)
    );
}

#[rstest]
fn a_configuration_that_exceeds_the_limit_is_rejected_without_being_kept() {
    let mut reader = StartupConfigReader::for_start();
    reader.push(b"{\"other\": [0").unwrap();
    let part = ",0".repeat(1 << 20);
    let error = (0..=MAX_CONFIGURATION_BYTES / part.len())
        .find_map(|_| reader.push(part.as_bytes()).err())
        .unwrap();
    assert!(matches!(error, StartupConfigError::TooLarge), "{error}");
}

#[rstest]
#[case::long_string(format!("{{\"other\": \"{}\"}}", "x".repeat(1 << 20)), "not JSON: a value")]
#[case::large_settings(
    format!("{{\"settings\": {{\"x\": [0{}]}}}}", ",0".repeat(1 << 20)),
    "settings: larger"
)]
#[case::deep(format!("{{\"settings\": {}", "[".repeat(1000)), "not JSON: syntax")]
#[case::incomplete("{\"name\": \"n\"".to_string(), "not JSON: ends early")]
#[case::two_values("{} {}".to_string(), "not JSON: syntax")]
#[case::array("[{\"name\": \"n\"}]".to_string(), "known: n")]
#[case::not_utf8_escape("{\"name\": \"\\udc00\"}".to_string(), "not JSON: syntax")]
fn a_text_that_is_no_configuration_is_rejected(#[case] text: String, #[case] expected: &str) {
    let error = StartupConfig::read(&text).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

/// What a router knows of workers after some events: by name the address and phase, and how often each was removed.
#[derive(Clone, Debug, Default, PartialEq)]
struct WorkerList {
    workers: std::collections::BTreeMap<String, (String, Phase)>,
    /// Workers that were removed at least once, of those that the list had at the beginning.
    removed: std::collections::BTreeSet<String>,
}

impl WorkerList {
    fn apply(&mut self, events: &[FeedEvent]) {
        for update in events.iter().filter_map(|event| event.members.as_ref()) {
            if update.is_full_snapshot {
                let is_listed = |name: &String| {
                    update
                        .members
                        .iter()
                        .any(|member| member.endpoint.name == *name)
                };
                let unlisted = self.workers.keys().filter(|name| !is_listed(name));
                self.removed.extend(unlisted.cloned());
                self.workers.retain(|name, _| is_listed(name));
            }
            for member in &update.members {
                let endpoint = &member.endpoint;
                if endpoint.phase == Phase::Gone {
                    self.workers.remove(&endpoint.name);
                    self.removed.insert(endpoint.name.clone());
                } else {
                    let state = (endpoint.address.clone(), endpoint.phase);
                    self.workers.insert(endpoint.name.clone(), state);
                }
            }
        }
    }

    /// The removals of workers that `before` has.
    fn removals_of(&self, before: &WorkerList) -> Vec<String> {
        let known = before.workers.keys();
        known
            .filter(|name| self.removed.contains(*name))
            .cloned()
            .collect()
    }
}

/// An event of the feed, as it is generated.
#[derive(Clone, Debug)]
struct GeneratedEvent {
    is_complete: bool,
    members: Vec<GeneratedMember>,
}

/// A worker in an event: the numbers of its name, of its phase and of its address.
#[derive(Clone, Debug)]
struct GeneratedMember {
    id: u8,
    phase: usize,
    address: u8,
}

/// The names of the phases; the last one removes a worker.
const PHASES: [&str; 3] = ["in_service", "terminating", "terminated"];

fn feed_event() -> impl Strategy<Value = GeneratedEvent> {
    let member = (0u8..6, 0..PHASES.len(), 0u8..3)
        .prop_map(|(id, phase, address)| GeneratedMember { id, phase, address });
    let members = prop::collection::vec(member, 0..4);
    (prop::bool::weighted(0.2), members).prop_map(|(is_complete, members)| GeneratedEvent {
        is_complete,
        members,
    })
}

/// Events of the feed with numbers from 1, as JSON.
fn feed_events(events: &[GeneratedEvent]) -> Vec<Json> {
    let event = |(index, event): (usize, &GeneratedEvent)| {
        let members: Vec<Json> = event
            .members
            .iter()
            // A full snapshot lists no worker that is gone.
            .filter(|member| !event.is_complete || PHASES[member.phase] != "terminated")
            .map(|member| {
                json!({"id": format!("w{}", member.id), "host_port": format!("10.0.0.{}:1", member.address),
                       "phase": PHASES[member.phase]})
            })
            .collect();
        json!({"n": index + 1, "members": {"complete": event.is_complete, "members": members}})
    };
    events.iter().enumerate().map(event).collect()
}

/// Names that an operator may choose.
fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9é][a-zA-Z0-9é _.\"'\\\\;()-]{0,20}"
}

fn class() -> impl Strategy<Value = Json> {
    let effect = prop_oneof![Just("repeatable"), Just("by_key"), Just("once")];
    let scope = prop_oneof![
        Just(None),
        Just(Some("all")),
        Just(Some("zone")),
        Just(Some("cell"))
    ];
    let durations_us = (0..20_000_000u64, 1..20_000_000u64, 0..10_000_000u64);
    (name(), durations_us, effect, scope, 0.0..1e4f64).prop_map(
        |(name, (aim, deadline, window), effect, scope, worth)| {
            json!({"name": name, "aim-us": aim, "deadline-us": deadline, "effect": effect, "key-scope": scope,
                   "repeat-window-us": window, "worth": worth, "late-value": 0.3})
        },
    )
}

fn classes_with_unique_names() -> impl Strategy<Value = Vec<Json>> {
    prop::collection::vec(class(), 1..6).prop_map(|mut classes| {
        for (index, class) in classes.iter_mut().enumerate() {
            class["name"] = json!(format!("{}{index}", class["name"].as_str().unwrap()));
        }
        classes
    })
}

fn family_info() -> impl Strategy<Value = Json> {
    let durations_us = (0..30_000_000u64, 0..30_000_000u64);
    (any::<bool>(), any::<bool>(), durations_us).prop_map(
        |(is_miss, placement_calls, (idle_life, load_wait))| {
            json!({
                "if-cold": if is_miss { "miss" } else { "load" }, "placement-calls": placement_calls,
                "idle-life-us": idle_life, "load-wait-us": load_wait,
            })
        },
    )
}

fn obligations() -> impl Strategy<Value = Json> {
    let durations_us = (0..30_000_000u64, 0..9_000_000u64, 0..9_000_000u64);
    (0.0..1.5f64, 0.0..9.0f64, durations_us).prop_map(
        |(cold_from, fall_multiple, (cold, tip_after, stop_sending))| {
            json!({
                "cold-from": cold_from, "cold-us": cold, "fall-multiple": fall_multiple,
                "tip-after-us": tip_after, "stop-sending-within-us": stop_sending,
            })
        },
    )
}

fn limits() -> impl Strategy<Value = Json> {
    let counts = (0..100_000u64, 0..50u64, 0..1_000_000u64);
    let durations_us = (0..90_000_000u64, 0..2_000_000u64, 0..9_000_000u64);
    (counts, durations_us).prop_map(
        |((streams, tries, max_open), (keep_alive, connect_timeout, retry_after))| {
            json!({
                "streams-per-conn": streams, "try-limit": tries, "max-open": max_open,
                "keepalive-us": keep_alive, "connect-timeout-us": connect_timeout,
                "max-retry-after-us": retry_after,
            })
        },
    )
}

proptest! {
    /// Guards against a difference between events that are applied one by one, as the feed sends them, and the result
    /// to which a configuration's events are reduced: what is listed in the end, and which workers were removed, even
    /// if they are listed again. The feed may send some of the events while the configuration is being read.
    #[test]
    fn known_events_have_the_same_result_as_the_same_events_one_by_one(
        events in prop::collection::vec(feed_event(), 1..8),
        (known_at_begin, sent_meanwhile) in (0usize..8, 0usize..8),
        part_length in 1usize..200,
    ) {
        let events = feed_events(&events);
        let known_at_begin = known_at_begin.min(events.len());
        let known_at_end = (known_at_begin + sent_meanwhile).min(events.len());
        let mut config = valid_config();
        config["known"] = json!({"n": events.len(), "events": events});
        let response = config["known"].to_string();
        let sequence = sanddrum_platform::control_feed::read(response.as_bytes(), &[]).unwrap();

        let mut before = WorkerList::default();
        before.apply(&sequence.events[..known_at_end]);
        before.removed.clear();
        let mut expected = before.clone();
        expected.apply(&sequence.events[known_at_end..]);

        let reader = if known_at_end == 0 {
            StartupConfigReader::for_start()
        } else {
            StartupConfigReader::for_reload(known_at_begin as u64)
        };
        let text = config.to_string();
        let config = read_in_parts(reader, &text, part_length, known_at_end as u64).unwrap();
        let FeedEvents { last_number, events } = config.known_events;
        let mut actual = before.clone();
        actual.apply(&events);
        prop_assert_eq!(&actual.workers, &expected.workers);
        prop_assert_eq!(actual.removals_of(&before), expected.removals_of(&before));
        prop_assert_eq!(last_number, sequence.last_number);
        let is_new = |event: &FeedEvent| event.number == last_number;
        prop_assert!(events.iter().all(is_new));
        prop_assert_eq!(events.is_empty(), known_at_end as u64 == last_number);
    }

    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in prop::collection::vec(prop::sample::select(b"{}[]\":,\\u0dn1e-.tfx \xff".to_vec()), 0..80),
        part_length in 1usize..10,
    ) {
        let mut reader = StartupConfigReader::for_start();
        let is_valid = bytes.chunks(part_length).all(|part| reader.push(part).is_ok());
        prop_assert!(!is_valid || reader.finish(0).is_err());
    }

    #[test]
    fn settings_that_are_valid_on_the_platform_are_valid_for_the_edge(
        classes in classes_with_unique_names(),
        zones in prop::collection::btree_set(name(), 1..4),
        family_info in family_info(),
        obligations in obligations(),
        limits in limits(),
        (sockets, memory_mb) in (8u64..100_000, 1.0..1e5f64),
        (router, router_count) in (0usize..400, 1usize..400),
    ) {
        let mut config = valid_config();
        config["limits"] = json!({"sockets": sockets, "memory_mb": memory_mb});
        let settings = &mut config["settings"];
        settings["classes"] = json!(classes);
        settings["azs"] = json!(zones);
        settings["az"] = json!(zones.len() - 1);
        settings["family-info"] = family_info;
        settings["obligations"] = obligations;
        settings["limits"] = limits;
        settings["me"] = json!(router);
        settings["balancers"] = json!(router_count);
        let deployment_settings = StartupConfig::read(&config.to_string())
            .unwrap()
            .deployment_settings();
        match deployment_settings {
            Ok(settings) => prop_assert_eq!(settings.names("workloads").len(), classes.len()),
            Err(error) => return Err(TestCaseError::fail(error.to_string())),
        }
    }
}
