//! Stories and properties of the platform's frames, feed and start configuration.

use proptest::prelude::*;
use rstest::rstest;
use sanddrum_platform::control_feed::MembershipUpdate;
use sanddrum_platform::start_times::{ClockReading, StartTimes};
use sanddrum_platform::{control_feed, frames, FrameDecoder, FrameError, StartupConfig};
use sanddrum_wire::{ExecutionStatus, InstanceState, Phase};
use serde_json::json;

fn read(bytes: &[u8]) -> Result<Option<frames::Response>, FrameError> {
    let mut frames = FrameDecoder::new(4096);
    frames.push_bytes(bytes);
    frames.next_response()
}

#[rstest]
fn a_request_lies_on_the_wire_as_the_platform_describes_it() {
    let bytes = frames::request(
        0x9b1f03aa5c7e2d41,
        "job",
        "7f3a9c21e0b4d655",
        1_500_000,
        b"in",
    );
    let fields = b"profile=job,thing=7f3a9c21e0b4d655,max=1500";
    assert_eq!(bytes[..2], [76, 65]);
    assert_eq!(bytes[2..8], [0, fields.len() as u8, 0, 0, 0, 2]);
    assert_eq!(bytes[8..16], 0x9b1f03aa5c7e2d41u64.to_be_bytes());
    assert_eq!(bytes[16..16 + fields.len()], fields[..]);
    let check = crc32fast::hash(&bytes[16..bytes.len() - 4]);
    assert_eq!(bytes[bytes.len() - 4..], check.to_be_bytes());
}

#[rstest]
#[case(97, Some(ExecutionStatus::Finished))]
#[case(99, Some(ExecutionStatus::ColdMiss))]
#[case(100, Some(ExecutionStatus::Rejected))]
#[case(101, Some(ExecutionStatus::Error))]
#[case(102, Some(ExecutionStatus::Dropped))]
#[case(103, None)]
fn an_answer_tells_its_end_its_copy_and_its_report(
    #[case] code: u8,
    #[case] ended: Option<ExecutionStatus>,
) {
    let fields = "remark=started,report=rif:7;q:2;x0:0.25;x1:1;new:3,copies=2";
    let answer = read(&frames::response(code, 5, fields, b"out"))
        .unwrap()
        .unwrap();
    assert_eq!(
        (answer.id, answer.status, answer.instance, answer.instances),
        (5, ended, Some(InstanceState::StartedLoad), Some(2))
    );
    let report = answer.report.unwrap();
    assert_eq!(
        (
            report.in_flight,
            report.queued,
            report.memory_pinned,
            report.loads_in_progress
        ),
        (Some(7.0), Some(2.0), Some(0.25), Some(1.0))
    );
    assert_eq!(answer.body, b"out");
}

#[rstest]
#[case::noise(b"GET / HTTP/1.1".to_vec(), FrameError::Mark(b'G'))]
#[case::a_router_answers({ let mut f = frames::response(97, 1, "", b""); f[0] = 76; f }, FrameError::Mark(76))]
#[case::no_such_answer(frames::response(98, 1, "", b""), FrameError::Code(98))]
#[case::three_gigabytes({ let mut f = frames::response(97, 1, "", b""); f[4] = 0xc0; f }, FrameError::TooLong(0xc000_0000))]
#[case::a_bit_turned({ let mut f = frames::response(97, 1, "", b"out"); f[17] ^= 1; f }, FrameError::Check)]
#[case::fields_without_values(frames::response(97, 1, "remark", b""), FrameError::Fields)]
fn what_can_not_be_read_ends_the_connection(#[case] bytes: Vec<u8>, #[case] why: FrameError) {
    assert_eq!(read(&bytes), Err(why));
}

#[rstest]
fn an_answer_that_stops_short_is_not_passed_on() {
    let bytes = frames::response(97, 1, "remark=hot", b"out");
    for end in 0..bytes.len() {
        assert_eq!(read(&bytes[..end]), Ok(None));
    }
}

proptest! {
    #[test]
    fn any_split_of_the_bytes_gives_the_same_answers(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..300), 1..5),
        cuts in prop::collection::vec(1usize..90, 1..30),
    ) {
        let bytes: Vec<u8> = bodies.iter().enumerate()
            .flat_map(|(n, body)| frames::response(97, n as u64, "remark=hot", body)).collect();
        let (mut frames, mut rest, mut came) = (FrameDecoder::new(4096), bytes.as_slice(), Vec::new());
        for cut in cuts.iter().cycle() {
            let (piece, left) = rest.split_at((*cut).min(rest.len()));
            frames.push_bytes(piece);
            while let Some(answer) = frames.next_response().unwrap() { came.push(answer.body) }
            rest = left;
            if rest.is_empty() { break }
        }
        prop_assert_eq!(came, bodies);
    }

    #[test]
    fn garbage_never_panics(bytes in prop::collection::vec(any::<u8>(), 0..400), marked in any::<bool>()) {
        let mut bytes = bytes;
        if let (true, [mark, code, ..]) = (marked, &mut bytes[..]) { (*mark, *code) = (108, 97) }
        let mut frames = FrameDecoder::new(4096);
        frames.push_bytes(&bytes);
        while let Ok(Some(_)) = frames.next_response() {}
    }
}

#[rstest]
fn events_tell_who_is_there_who_drains_and_who_started_late() {
    let member = |id: &str, phase: &str, since: i64| {
        json!({"id": id, "host_port": "10.1.0.9:8080", "locality": "here", "flavor": "fast", "cell": 2,
               "phase": phase, "size": 4, "up_since_ms": since})
    };
    let json = json!({"n": 9, "events": [
        {"n": 8, "members": {"revision": 1, "complete": true, "members": [member("a", "in_service", 0)]}},
        {"n": 9, "members": {"revision": 2, "complete": false,
            "members": [member("a", "terminating", 0), member("b", "in_service", 5_000), member("c", "terminated", 0)]}},
    ]});
    let told = control_feed::parse(&json, &["slow".to_string(), "fast".to_string()]).unwrap();
    assert_eq!(
        (
            told.last_number,
            told.events[0].number,
            told.events[1].number
        ),
        (9, 8, 9)
    );
    let MembershipUpdate {
        is_full_snapshot: complete,
        members,
    } = told.events[1].members.clone().unwrap();
    assert!(!complete && told.events[0].members.as_ref().unwrap().is_full_snapshot);
    let phases: Vec<Phase> = members.iter().map(|member| member.endpoint.phase).collect();
    assert_eq!(phases, [Phase::Draining, Phase::Ready, Phase::Gone]);
    let mut starts = StartTimes::default();
    starts.observe_clocks(ClockReading {
        now: 7_000_000,
        wall: 7_000_000,
    });
    let rows = starts.endpoints(7_000_000, members, complete);
    assert_eq!(
        (rows[0].age_us, rows[1].age_us, rows[1].kind, rows[1].cell),
        (-1, 2_000_000, 1, 2)
    );
}

fn configuration() -> serde_json::Value {
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

#[rstest]
fn a_deployment_follows_from_the_start_configuration() {
    let read = StartupConfig::read(&configuration().to_string()).unwrap();
    let loaded = read.deployment_settings().unwrap();
    assert_eq!(loaded.names("workloads"), ["job"]);
    assert_eq!(loaded.text("workloads.0.effect"), "run-once");
    assert_eq!(loaded.duration_us("workloads.0.time-limit-us"), 2_000_000);
    assert_eq!(
        (
            loaded.integer("limits.max-open"),
            loaded.integer("limits.max-clients")
        ),
        (500, 100)
    );
    assert_eq!(loaded.duration_us("limits.idle-close-us"), 24_000_000);
    assert_eq!(
        (loaded.text("edge.listen"), loaded.text("edge.list")),
        ("127.0.0.1:8080", "127.0.0.1:2379")
    );
    assert_eq!((loaded.integer("me"), loaded.integer("routers")), (1, 3));
}

#[rstest]
#[case::short(1_500_000, 2_100_000)]
#[case::longer_than_it_counts(11_000_000, 3_600_000)]
fn all_is_answered_before_a_router_that_was_asked_to_end_is_killed(
    #[case] longest: i64,
    #[case] by: i64,
) {
    let mut json = configuration();
    json["settings"]["classes"][0]["deadline-us"] = json!(longest);
    let loaded = StartupConfig::read(&json.to_string())
        .unwrap()
        .deployment_settings()
        .unwrap();
    assert_eq!(loaded.duration_us("limits.stop-within-us"), by);
}

#[rstest]
#[case("classes", json!([]))]
#[case("classes", json!([{"name": "job", "effect": "thrice"}]))]
#[case("family-info", json!({"if-cold": "perhaps"}))]
#[case("limits", json!({"cancel": "yes"}))]
fn settings_that_can_not_be_used_end_the_start_by_key(
    #[case] key: &str,
    #[case] value: serde_json::Value,
) {
    let mut json = configuration();
    json["settings"][key] = value;
    let why = StartupConfig::read(&json.to_string()).unwrap_err();
    assert!(why.starts_with(&format!("settings.{key}")), "{why}");
}

#[rstest]
#[case("name", json!(""))]
#[case("listen", json!("here:80"))]
#[case("feed", json!(7))]
#[case("seed", json!("none"))]
#[case("limits", json!({"sockets": 0}))]
#[case("settings", json!(null))]
#[case("known", json!({"n": "x"}))]
fn a_configuration_that_can_not_be_used_names_the_key(
    #[case] key: &str,
    #[case] value: serde_json::Value,
) {
    let mut json = configuration();
    json[key] = value;
    let why = StartupConfig::read(&json.to_string()).unwrap_err();
    assert!(why.starts_with(key), "{why}");
}

/// Names as an operator may choose them.
fn name() -> impl Strategy<Value = String> {
    "[a-zA-Z0-9é][a-zA-Z0-9é _.\"'\\\\;()-]{0,20}"
}
fn class() -> impl Strategy<Value = serde_json::Value> {
    let effect = prop_oneof![Just("repeatable"), Just("by_key"), Just("once")];
    let scope = prop_oneof![
        Just(None),
        Just(Some("all")),
        Just(Some("zone")),
        Just(Some("cell"))
    ];
    (name(), 0..20_000_000u64, 1..20_000_000u64, effect, scope, 0..10_000_000u64, 0.0..1e4f64).prop_map(
        |(name, aim, deadline, effect, scope, window, worth)| {
            json!({"name": name, "aim-us": aim, "deadline-us": deadline, "effect": effect, "key-scope": scope,
                   "repeat-window-us": window, "worth": worth, "late-value": 0.3})
        },
    )
}

proptest! {
    /// Whatever another deployment's classes, limits and rules are, a router starts with them.
    #[test]
    fn any_settings_that_make_sense_to_the_platform_start_a_router(
        classes in prop::collection::vec(class(), 1..6),
        zones in prop::collection::btree_set(name(), 1..4),
        family in (any::<bool>(), any::<bool>(), 0..30_000_000u64, 0..30_000_000u64),
        rules in (0.0..1.5f64, 0..30_000_000u64, 0.0..9.0f64, 0..9_000_000u64, 0..9_000_000u64),
        limits in (0..100_000u64, 0..90_000_000u64, 0..2_000_000u64, 0..50u64, 0..1_000_000u64, 0..9_000_000u64),
        size in (8u64..100_000, 1.0..1e5f64, 0usize..400, 1usize..400),
    ) {
        let mut json = configuration();
        let mut classes = classes;
        for (n, class) in classes.iter_mut().enumerate() {
            class["name"] = json!(format!("{}{n}", class["name"].as_str().unwrap()));
        }
        let settings = &mut json["settings"];
        settings["classes"] = json!(classes);
        settings["azs"] = json!(zones);
        settings["az"] = json!(zones.len() - 1);
        settings["family-info"] = json!({
            "if-cold": if family.0 { "miss" } else { "load" }, "placement-calls": family.1,
            "idle-life-us": family.2, "load-wait-us": family.3,
        });
        settings["obligations"] = json!({
            "cold-from": rules.0, "cold-us": rules.1, "fall-multiple": rules.2, "tip-after-us": rules.3,
            "stop-sending-within-us": rules.4,
        });
        settings["limits"] = json!({
            "streams-per-conn": limits.0, "keepalive-us": limits.1, "connect-timeout-us": limits.2,
            "try-limit": limits.3, "max-open": limits.4, "max-retry-after-us": limits.5,
        });
        (settings["me"], settings["balancers"]) = (json!(size.2), json!(size.3));
        json["limits"] = json!({"sockets": size.0, "memory_mb": size.1});
        let read = StartupConfig::read(&json.to_string()).unwrap();
        let loaded = read.deployment_settings();
        prop_assert!(loaded.is_ok(), "{}", loaded.err().unwrap_or_default());
        prop_assert_eq!(loaded.unwrap().names("workloads").len(), classes.len());
    }
}
