//! Short stories of what the module does, one for each failure met.

mod host;
use host::*;
use rstest::rstest;
use sanddrum::*;
use std::collections::BTreeSet;

#[rstest]
fn a_second_job_goes_where_the_first_left_a_copy() {
    let mut host = Host::new(3, &[]);
    host.job(1, 7);
    let first = host.sent(1);
    host.finish(1, Warmth::StartedLoad, 900_000);
    host.job(2, 7);
    assert!(first.is_some());
    assert_eq!(host.sent(2), first);
}

#[rstest]
#[case::while_kept(7_000_000, true)]
#[case::after_the_keep_alive(8_100_000, false)]
fn a_copy_is_believed_for_its_keep_alive(#[case] idle: Micros, #[case] warm: bool) {
    // Asks show belief: a router that believes a copy warm sends there without asking. Answers pay for asks.
    let mut host = Host::new(3, &[("copies.orders", Value::Flag(true))]);
    host.job(1, 7);
    host.answer_asks(0);
    host.finish(1, Warmth::StartedLoad, 900_000);
    for paying in 100..104 {
        host.job(paying, 8);
        host.answer_asks(0);
        host.finish(paying, Warmth::Warm, 10_000);
    }
    host.pass(idle);
    let asked = host.count(|did| matches!(did, Did::Hold(_, 7, 0)));
    host.job(2, 7);
    assert_eq!(
        host.count(|did| matches!(did, Did::Hold(_, 7, 0))) == asked,
        warm
    );
}

fn misses_and_orders() -> [(&'static str, Value); 2] {
    [
        ("copies.on-miss", Value::Text("miss".into())),
        ("copies.orders", Value::Flag(true)),
    ]
}

#[rstest]
fn a_restarted_worker_is_believed_empty() {
    let mut host = Host::new(3, &misses_and_orders());
    host.job(1, 7);
    host.answer_asks(0);
    let w = host.loaded_by_order(7, 900_000);
    assert_eq!(host.sent(1), Some(w));
    host.finish(1, Warmth::Warm, 100_000);
    host.list(
        EndpointListKind::Delta,
        vec![row(w, WorkerState::Ready, host.now)],
    );
    host.job(2, 7);
    assert_eq!(host.sent(2), None);
}

#[rstest]
fn a_burst_orders_one_load_and_waits_for_it() {
    let mut host = Host::new(3, &misses_and_orders());
    host.job(1, 7);
    host.answer_asks(0);
    host.job(2, 7);
    assert_eq!(
        host.count(|did| matches!(did, Did::Hold(_, 7, 1))),
        2,
        "one a lane"
    );
    host.job(3, 7);
    host.job(3, 7);
    host.loaded_by_order(7, 900_000);
    assert!(host.sent(1).is_some());
    let orders = host.count(|did| matches!(did, Did::Hold(_, _, 1)));
    assert_eq!(orders, 3, "a further order a further job, no more");
}

#[rstest]
fn where_nothing_may_be_ordered_none_is_and_each_place_is_tried_once() {
    let mut host = Host::new(3, &[("copies.on-miss", Value::Text("miss".into()))]);
    host.job(1, 7);
    let mut tried = BTreeSet::new();
    while let Some(w) = host.sent(1).filter(|w| tried.insert(*w)) {
        host.end(1, Outcome::ColdMiss, Warmth::Unknown, 1_000);
        assert!(tried.len() <= 3, "{w} again");
    }
    assert_eq!(
        (tried.len(), host.finals(1)),
        (3, 0),
        "all places, then it waits while it can be in time"
    );
    assert_eq!(host.count(|did| matches!(did, Did::Hold(..))), 0);
}

#[rstest]
#[case::that_must_be_asked("subscribe", 1)]
#[case::that_comes_by_itself("automatic", 0)]
fn a_list_is_asked_for_and_asked_again_after_a_failure(#[case] mode: &str, #[case] calls: usize) {
    let set = [
        ("membership-mode", Value::Text(mode.into())),
        ("rules.ask-every-us", Value::Number(8e6)),
    ];
    let mut host = Host::new(2, &set);
    let subscribed = |host: &Host| host.count(|did| *did == Did::Subscribe);
    assert_eq!(subscribed(&host), calls);
    for _ in 0..calls {
        host.list(EndpointListKind::Failed, vec![]);
        host.list(EndpointListKind::Failed, vec![]);
        host.pass(900_000);
        assert_eq!(subscribed(&host), calls, "not at once, with all others");
        host.pass(1_200_000);
        assert_eq!(subscribed(&host), 2 * calls);
    }
    host.job(1, 7);
    assert!(host.sent(1).is_some(), "the list before the failure holds");
}

#[rstest]
fn another_routers_copy_is_found_by_asking() {
    let mut host = Host::new(9, &[("copies.orders", Value::Flag(true))]);
    host.job(1, 7);
    assert_eq!(host.sent(1), None);
    let asked = host.asked(7);
    assert_eq!(
        asked.len(),
        2,
        "other homes than the one where it would load, as far as a new router may ask"
    );
    host.order_end(asked[0], 7, Outcome::Finished, 0);
    host.order_end(asked[1], 7, Outcome::Finished, 1);
    assert_eq!(host.sent(1), Some(asked[1]));
}

#[rstest]
#[case::restartable("restartable", true)]
#[case::run_once("run-once", false)]
fn an_error_is_tried_again_only_where_that_is_harmless(#[case] effect: &str, #[case] again: bool) {
    let mut host = Host::new(3, &[("workloads.0.effect", Value::Text(effect.into()))]);
    host.job(1, 7);
    host.end(1, Outcome::Error, Warmth::Unknown, 10_000);
    assert_eq!(host.tries[&1], if again { 2 } else { 1 });
    assert_eq!(
        host.count(|did| *did == Did::Kill(1)),
        usize::from(!again),
        "and at once"
    );
    assert_eq!(host.count(|did| *did == Did::PushBack(1)), 0);
}

#[rstest]
#[case::in_its_zone(0, 100_000, true)]
#[case::in_another_zone(1, 100_000, false)]
#[case::past_the_window(0, 600_000, false)]
fn a_fingerprinted_job_stays_in_its_group_and_window(
    #[case] zone: usize,
    #[case] after: Micros,
    #[case] again: bool,
) {
    let text = |t: &str| Value::Text(t.into());
    let set = [
        ("workloads.0.effect", text("fingerprinted")),
        ("workloads.0.group", text("zone")),
        ("workloads.0.repeat-window-us", Value::Number(500_000.0)),
    ];
    let mut host = Host::new(1, &set);
    host.job(1, 7);
    let other = Endpoint {
        zone: ZoneId(zone),
        ..row(9, WorkerState::Ready, 0)
    };
    host.list(
        EndpointListKind::Delta,
        vec![row(0, WorkerState::Draining, 0), other],
    );
    host.end(1, Outcome::Error, Warmth::Unknown, after);
    assert_eq!(host.tries[&1], if again { 2 } else { 1 });
    assert_eq!(
        host.count(|did| *did == Did::PushBack(1)),
        0,
        "it may have run"
    );
}

#[rstest]
#[case(WorkerState::Draining)]
#[case(WorkerState::Gone)]
fn nothing_new_goes_to_a_worker_told_to_drain_in_the_same_round(#[case] state: WorkerState) {
    let mut host = Host::new(1, &[]);
    let list = EndpointList {
        kind: EndpointListKind::Delta,
        endpoints: vec![row(0, state, 0)],
    };
    let job = host.draft(1, 7);
    host.handle(EventBatch {
        endpoint_lists: vec![list],
        requests: vec![job],
        ..EventBatch::default()
    });
    host.pass(4_000_000);
    assert_eq!(
        host.count(|did| matches!(did, Did::Execute(..) | Did::Hold(_, _, 1))),
        0
    );
    assert_eq!(host.finals(1), 1);
}

#[rstest]
fn a_cold_worker_gets_no_job_that_was_not_saved_up_for() {
    let mut host = Host::new(2, &[]);
    host.list(
        EndpointListKind::Delta,
        vec![row(1, WorkerState::Ready, host.now)],
    );
    for job in 0..8 {
        host.job(job, job);
    }
    assert_eq!(host.count(|did| matches!(did, Did::Execute(_, 1))), 0);
}

#[rstest]
fn a_silent_worker_is_checked_then_shunned_and_its_jobs_moved() {
    let set = [
        ("limits.probes", Value::Flag(true)),
        ("limits.second-copies", Value::Flag(true)),
    ];
    let mut host = Host::new(2, &set);
    host.job(0, 7);
    host.finish(0, Warmth::StartedLoad, 900_000);
    host.job(1, 7);
    let silent = host.sent(1).unwrap_or(9);
    host.pass(1_000_000);
    assert!(host.count(|did| *did == Did::Probe(silent)) > 1);
    assert_eq!(host.tries[&1], 2, "a second execution beside the first");
    assert_ne!(host.sent(1), Some(silent));
    host.job(2, 8);
    assert_ne!(host.sent(2), Some(silent));
}

#[rstest]
fn a_run_once_job_at_a_silent_worker_is_left_alone_and_killed_at_its_time() {
    let set = [
        ("limits.probes", Value::Flag(true)),
        ("workloads.0.effect", Value::Text("run-once".into())),
    ];
    let mut host = Host::new(2, &set);
    host.job(1, 7);
    host.pass(2_990_000);
    assert_eq!((host.tries[&1], host.finals(1)), (1, 0));
    host.pass(20_000);
    assert_eq!(host.count(|did| *did == Did::Kill(1)), 1);
    host.end(1, Outcome::TimedOut, Warmth::Unknown, 1_000);
    assert_eq!(host.finals(1), 1, "a late end changes nothing");
}

#[rstest]
fn a_try_with_no_time_for_a_load_is_pushed_back_at_once() {
    let mut host = Host::new(3, &[]);
    let job = Request {
        deadline: host.now + 390_000,
        ..host.draft(1, 7)
    };
    host.handle(EventBatch {
        requests: vec![job],
        ..EventBatch::default()
    });
    assert_eq!(host.count(|did| *did == Did::PushBack(1)), 1);
}

#[rstest]
fn a_crowded_fleet_takes_only_what_fits_its_start_target() {
    let mut host = Host::new(1, &[]);
    for burst in 0..40 {
        let latency = if burst < 15 { 150_000 } else { 950_000 };
        let jobs = burst * 6..burst * 6 + 6;
        jobs.clone().for_each(|id| host.job(id, id % 6));
        host.now += latency;
        jobs.for_each(|id| host.answer(id, Outcome::Finished, Warmth::Warm, latency));
        assert!(
            burst >= 15 || host.count(|did| matches!(did, Did::PushBack(_))) == 0,
            "calm"
        );
    }
    assert!(host.count(|did| matches!(did, Did::PushBack(_))) > 0);
}

#[rstest]
fn hinted_far_too_low_is_not_a_reason_to_push_others_back() {
    let mut host = Host::new(1, &[]);
    for id in 0..60 {
        let hint = if id % 2 == 0 { 1_000 } else { 200_000 };
        let job = Request {
            expected_work: Some(hint),
            ..host.draft(id, 7)
        };
        host.handle(EventBatch {
            requests: vec![job],
            ..EventBatch::default()
        });
        host.finish(id, Warmth::Warm, 100_000);
    }
    assert_eq!(host.count(|did| matches!(did, Did::PushBack(_))), 0);
}

#[rstest]
fn loads_ordered_stay_within_the_ration() {
    let set = [
        ("copies.load-window-us", Value::Number(5e6)),
        ("copies.load-free", Value::Number(2.0)),
        ("copies.load-share", Value::Number(0.1)),
    ];
    let mut host = Host::new(8, &[&misses_and_orders()[..], &set[..]].concat());
    (0..10).for_each(|id| host.job(id, id));
    host.answer_asks(0);
    assert_eq!(
        host.count(|did| matches!(did, Did::Hold(_, _, 1))),
        3,
        "two and a tenth of ten"
    );
}

#[rstest]
#[case::of_several_functions([1, 2], 0)]
#[case::of_one_function([1, 1], 1)]
fn after_failed_loads_of_several_functions_none_is_ordered_for_a_while(
    #[case] failing: [u64; 2],
    #[case] orders: usize,
) {
    let mut host = Host::new(3, &misses_and_orders());
    let ordered = |host: &Host| host.count(|did| matches!(did, Did::Hold(_, 3, 1)));
    for (n, function) in failing.into_iter().enumerate() {
        host.job(n as u64, function);
        host.answer_asks(0);
        let at = host.log.did.iter().rev().find_map(|did| match did {
            Did::Hold(w, f, 1) if *f == function => Some(*w),
            _ => None,
        });
        host.order_end(at.unwrap_or(99), function, Outcome::Error, 0);
    }
    host.job(9, 3);
    host.answer_asks(0);
    assert_eq!(ordered(&host), orders);
    host.pass(1_600_000);
    host.job(10, 3);
    assert!(ordered(&host) >= 1, "and then again");
}

#[rstest]
fn a_set_count_is_held_ahead_and_renewed() {
    let set = [
        ("copies.orders", Value::Flag(true)),
        ("routers", Value::Number(2.0)),
        ("design.pre-warmed", Value::Number(3.0)),
    ];
    let mut host = Host::new(3, &set);
    host.job(1, 7);
    assert_eq!(
        host.count(|did| matches!(did, Did::Hold(_, 7, 2))),
        1,
        "its share of three"
    );
    host.answer_asks(0);
    host.loaded_by_order(7, 500_000);
    host.pass(6_500_000);
    assert_eq!(host.count(|did| matches!(did, Did::Hold(_, 7, 2))), 2);
}

#[rstest]
#[case::set_for_it("design.7.keep-alive-us", 1)]
#[case::set_for_another("design.8.keep-alive-us", 0)]
fn a_longer_keep_alive_is_renewed_by_orders_of_one(#[case] name: &str, #[case] orders: usize) {
    let mut host = Host::new(
        3,
        &[
            ("copies.orders", Value::Flag(true)),
            (name, Value::Number(2e7)),
        ],
    );
    host.job(1, 7);
    host.answer_asks(0);
    host.finish(1, Warmth::StartedLoad, 900_000);
    host.pass(7_000_000);
    assert_eq!(host.count(|did| matches!(did, Did::Hold(_, 7, 1))), orders);
}

#[rstest]
fn idle_copies_are_dropped_once_where_that_is_set() {
    let set = [
        ("copies.orders", Value::Flag(true)),
        ("design.drop-after-us", Value::Number(2e6)),
    ];
    let mut host = Host::new(3, &set);
    host.job(1, 7);
    host.answer_asks(0);
    host.finish(1, Warmth::StartedLoad, 900_000);
    let w = host.sent(1).unwrap_or(9);
    host.pass(7_500_000);
    assert_eq!(host.count(|did| *did == Did::Unload(w, 7)), 1);
    host.pass(7_500_000);
    assert_eq!(host.count(|did| matches!(did, Did::Unload(..))), 1);
}

#[rstest]
#[case::one_of_three(1, 0, false)]
#[case::two_of_three(2, 1, false)]
#[case::two_of_three_that_were_away_meanwhile(2, 1, true)]
fn most_workers_looking_ill_is_not_believed(
    #[case] ill: u64,
    #[case] used: usize,
    #[case] away: bool,
) {
    let mut host = Host::new(3, &[("limits.probes", Value::Flag(true))]);
    for job in 0..ill {
        host.job(job, job);
        host.end(job, Outcome::NoConnection, Warmth::Unknown, 1_000);
        // Each is tried elsewhere; that one works.
        host.finish(job, Warmth::StartedLoad, 900_000);
    }
    let suspects: Vec<u64> = (0..3)
        .filter(|w| host.count(|did| *did == Did::Probe(*w)) > 0)
        .collect();
    if away {
        host.list(
            EndpointListKind::Delta,
            suspects
                .iter()
                .map(|w| row(*w, WorkerState::Gone, 0))
                .collect(),
        );
        for job in 50..60 {
            host.job(job, job);
            host.finish(job, Warmth::StartedLoad, 300_000);
            host.pass(700_000);
        }
        host.list(
            EndpointListKind::Delta,
            suspects
                .iter()
                .map(|w| row(*w, WorkerState::Ready, 0))
                .collect(),
        );
        host.pass(200_000);
    }
    let before = host.log.did.len();
    (10..30).for_each(|job| host.job(job, job));
    let sent = &host.log.did[before..];
    let there = |did: &&Did| matches!(did, Did::Execute(_, w) if suspects.contains(w));
    assert_eq!(suspects.len() as u64, ill);
    assert_eq!(usize::from(sent.iter().any(|did| there(&did))), used);
}

#[rstest]
#[case::many_routers(200.0, 0)]
#[case::alone(1.0, 2)]
fn homes_are_presumed_warm_where_others_send_and_asked_where_none_does(
    #[case] routers: f64,
    #[case] asks: usize,
) {
    let set = [
        ("copies.orders", Value::Flag(true)),
        ("routers", Value::Number(routers)),
    ];
    let mut host = Host::new(9, &set);
    host.job(1, 7);
    assert_eq!(host.asked(7).len(), asks);
    assert_eq!(host.sent(1).is_some(), asks == 0);
}

#[rstest]
fn routers_that_share_nothing_find_the_same_homes() {
    let mut homes = [BTreeSet::new(), BTreeSet::new()];
    for (seed, homes) in (1..).zip(&mut homes) {
        for job in 0..40 {
            let mut host = Host::seeded(seed * 100 + job, 60, &[("routers", Value::Number(200.0))]);
            host.job(1, 7);
            homes.extend(host.sent(1));
        }
    }
    assert_eq!(homes[0], homes[1]);
    assert_eq!(homes[0].len(), 2, "few for a function that was called once");
}

#[rstest]
#[case::that_tell_load_of_late("live", true)]
#[case::that_stay("nominal", false)]
fn sizes_that_change_with_every_list_do_not_move_homes(#[case] sizes: &str, #[case] same: bool) {
    let homes = [3, 7].map(|seed: u64| {
        let set = [
            ("routers", Value::Number(200.0)),
            ("sizes", Value::Text(sizes.into())),
        ];
        let listed = |w: u64| Endpoint {
            size: ((w * seed + seed) % 9 + 1) as f64 / 4.0,
            ..row(w, WorkerState::Ready, 0)
        };
        let sent = (0..160).map(|job| {
            let mut host = Host::seeded(job / 8, 60, &set);
            host.list(EndpointListKind::Full, (0..60).map(listed).collect());
            host.job(1, job % 8);
            (job % 8, host.sent(1))
        });
        sent.collect::<BTreeSet<_>>()
    });
    assert_eq!(homes[0] == homes[1], same);
}

#[rstest]
fn a_home_found_without_its_copy_gets_one_for_the_jobs_that_follow() {
    let text = |t: &str| Value::Text(t.into());
    let set = [
        ("copies.on-miss", text("miss")),
        ("copies.orders", Value::Flag(true)),
    ];
    let mut host = Host::new(
        6,
        &[&set[..], &[("routers", Value::Number(200.0))]].concat(),
    );
    for job in 0..8 {
        host.job(job, 7);
        let missed = host.sent(job);
        host.end(job, Outcome::ColdMiss, Warmth::Unknown, 1_000);
        if host.sent(job) != missed {
            host.finish(job, Warmth::Warm, 50_000);
        }
    }
    let ordered = host.count(|did| matches!(did, Did::Hold(_, 7, 1)));
    assert!(ordered > 0, "a copy where one was missing");
}

#[rstest]
#[case::as_the_others(4.0, true)]
#[case::far_more(40.0, false)]
fn a_worker_that_reports_far_more_jobs_than_others_has_no_room(
    #[case] held: f64,
    #[case] there: bool,
) {
    let mut host = Host::new(
        3,
        &[
            ("routers", Value::Number(200.0)),
            ("copies.orders", Value::Flag(true)),
        ],
    );
    let mut report = |id: u64, function: u64, held: f64| {
        host.job(id, function);
        let w = host.sent(id);
        host.report = Some(LoadReport {
            in_flight: Some(held),
            queued: Some(0.0),
            ..LoadReport::default()
        });
        host.finish(id, Warmth::Warm, 50_000);
        w
    };
    // Enough others to know what the middle worker holds, then the one in question.
    for id in 0..30 {
        report(id, id, 4.0);
    }
    let first = report(100, 99, held);
    host.pass(200_000);
    host.job(101, 99);
    assert_eq!(host.sent(101) == first, there);
}

#[rstest]
fn while_pressed_jobs_that_earn_little_for_their_work_go_first() {
    let number = Value::Number;
    let set = [
        ("workloads.count", number(2.0)),
        ("workloads.1.start-target-us", number(1e6)),
    ];
    let earns = [
        ("workloads.1.importance", number(9.0)),
        ("routers", number(200.0)),
    ];
    let mut host = Host::new(6, &[&set[..], &earns[..]].concat());
    host.report = Some(LoadReport {
        in_flight: Some(40.0),
        queued: Some(30.0),
        ..LoadReport::default()
    });
    let job = |host: &mut Host, id: u64| {
        let job = Request {
            workload: WorkloadId(id as usize % 2),
            ..host.draft(id, id % 2)
        };
        host.handle(EventBatch {
            requests: vec![job],
            ..EventBatch::default()
        });
    };
    for id in 0..120 {
        job(&mut host, id);
        host.finish(id, Warmth::Warm, 100_000);
    }
    for id in 120..127 {
        job(&mut host, id);
        if host.finals(id) == 0 {
            host.finish(id, Warmth::Warm, 1_100_000);
        }
    }
    let mut pushed = [0, 0];
    for id in 127..327 {
        job(&mut host, id);
        pushed[id as usize % 2] += host.finals(id);
        host.handle(EventBatch {
            cancelled: vec![RequestId(id)],
            ..EventBatch::default()
        });
    }
    assert!(
        pushed[0] >= 55 && pushed[1] <= 35,
        "of 100 each: {pushed:?} pushed back"
    );
}

#[rstest]
#[case::where_a_wrong_guess_costs_a_miss("miss", 30.0, 5)]
#[case::where_it_costs_a_load("load", 30.0, 4)]
#[case::not_where_nothing_waits("load", 0.0, 2)]
fn crowded_homes_are_replaced_by_further_ones(
    #[case] on_miss: &str,
    #[case] queued: f64,
    #[case] homes: usize,
) {
    let set = [
        ("routers", Value::Number(400.0)),
        ("copies.on-miss", Value::Text(on_miss.into())),
    ];
    let mut host = Host::new(25, &set);
    // Every worker tells what it holds, the homes of function 99 as soon as they are found.
    for id in 0..400 {
        host.job(id, 1_000 + id);
        host.report = Some(LoadReport {
            in_flight: Some(4.0),
            queued: Some(0.0),
            ..LoadReport::default()
        });
        host.finish(id, Warmth::Warm, 20_000);
    }
    let mut found = BTreeSet::new();
    for id in 400..410 {
        host.job(id, 99);
        found.extend(host.sent(id));
        host.report = Some(LoadReport {
            in_flight: Some(40.0),
            queued: Some(queued),
            ..LoadReport::default()
        });
        host.finish(id, Warmth::Warm, 20_000);
    }
    assert_eq!(found.len(), homes);
}

#[rstest]
#[case::at_two_of_six(2, true)]
#[case::at_all(6, false)]
fn queues_at_a_few_workers_turn_no_job_away(#[case] crowded: u64, #[case] all_taken: bool) {
    let mut host = Host::new(6, &[("routers", Value::Number(200.0))]);
    for id in 0..200 {
        host.job(id, id);
        let queued = if host.sent(id).is_some_and(|w| w < crowded) {
            40.0
        } else {
            0.0
        };
        host.report = Some(LoadReport {
            in_flight: Some(40.0),
            queued: Some(queued),
            ..LoadReport::default()
        });
        if host.finals(id) == 0 {
            host.finish(
                id,
                Warmth::Warm,
                if queued > 0.0 { 1_020_000 } else { 150_000 },
            );
        }
    }
    let pushed = host.count(|did| matches!(did, Did::PushBack(_)));
    assert_eq!(pushed == 0, all_taken, "{pushed} pushed back");
}

#[rstest]
#[case::one_router(1.0)]
#[case::two_hundred(200.0)]
fn routers_together_send_a_cold_worker_no_more_than_its_part(#[case] routers: f64) {
    // One worker of four starts anew; all routers take the same traffic as one, ten jobs a second together.
    let mut sent = 0;
    for router in 0..routers as u64 {
        let mut host = Host::seeded(router, 4, &[("routers", Value::Number(routers))]);
        host.list(
            EndpointListKind::Delta,
            vec![row(1, WorkerState::Ready, host.now)],
        );
        let jobs = 20 / routers as u64 + u64::from(router < 20 % routers as u64);
        (0..jobs).for_each(|id| {
            host.pass(100_000);
            host.job(id, router * 100 + id);
        });
        sent += host.count(|did| matches!(did, Did::Execute(_, 1)));
    }
    assert!(sent <= 3, "of twenty jobs in two seconds: {sent}");
}

#[rstest]
#[case::nothing_waits(0.0, None, Warmth::Warm, 0)]
#[case::three_in_ten_wait(12.0, None, Warmth::Warm, 0)]
#[case::most_wait(30.0, None, Warmth::Warm, 20)]
#[case::most_wait_for_cores(30.0, Some(1.0), Warmth::Warm, 20)]
#[case::most_wait_while_cores_are_idle(30.0, Some(0.5), Warmth::Warm, 0)]
#[case::late_answers_waited_for_a_load(30.0, None, Warmth::WaitedForLoad, 0)]
fn where_reports_show_queues_and_answers_are_late_less_is_taken(
    #[case] queued: f64,
    #[case] busy: Option<f64>,
    #[case] warmth: Warmth,
    #[case] least: usize,
) {
    let set = [
        ("routers", Value::Number(200.0)),
        ("copies.on-miss", Value::Text("miss".into())),
    ];
    let mut host = Host::new(6, &set);
    host.report = Some(LoadReport {
        in_flight: Some(40.0),
        queued: Some(queued),
        busy,
        ..LoadReport::default()
    });
    for id in 0..120 {
        host.job(id, 7);
        if host.finals(id) == 0 {
            host.finish(id, warmth, 1_100_000);
        }
    }
    let pushed = host.count(|did| matches!(did, Did::PushBack(_)));
    assert!(
        if least == 0 {
            pushed == 0
        } else {
            pushed >= least
        },
        "{pushed} pushed back"
    );
}

#[rstest]
fn where_a_quarter_of_answers_stays_late_ever_less_is_taken() {
    let mut host = Host::new(6, &[("routers", Value::Number(200.0))]);
    host.report = Some(LoadReport {
        in_flight: Some(40.0),
        queued: Some(30.0),
        ..LoadReport::default()
    });
    let mut pushed = Vec::new();
    for id in 0..800 {
        host.job(id, 7);
        pushed.push(host.finals(id));
        if host.finals(id) == 0 {
            host.finish(
                id,
                Warmth::Warm,
                if id % 4 == 0 { 1_100_000 } else { 200_000 },
            );
        }
    }
    let of_last = pushed[600..].iter().sum::<usize>();
    assert!(of_last >= 150, "{of_last} of the last 200 jobs pushed back");
}

#[rstest]
#[case::target("workloads.0.start-target-us")]
#[case::keep_alive("copies.keep-alive-us")]
#[case::cold("rules.cold-us")]
#[case::fall("rules.fall-us")]
#[case::cold_from("rules.cold-from")]
#[case::routers("routers")]
#[case::window("workloads.0.repeat-window-us")]
#[case::workloads("workloads.count")]
fn a_setting_of_nought_loses_no_job_and_wakes_no_more_often(#[case] name: &str) {
    let mut host = Host::new(
        5,
        &[
            (name, Value::Number(0.0)),
            ("copies.orders", Value::Flag(true)),
        ],
    );
    host.list(
        EndpointListKind::Delta,
        vec![row(1, WorkerState::Ready, host.now)],
    );
    let mut woken = 0;
    for id in 0..40 {
        host.job(id, id % 3);
        host.answer_asks(0);
        if host.sent(id).is_some() {
            host.finish(id, Warmth::Warm, 50_000);
        }
        let until = host.now + 100_000;
        while host.log.wake <= until {
            (host.now, woken) = (host.now.max(host.log.wake), woken + 1);
            host.log.wake = Micros::MAX;
            host.handle(EventBatch {
                timer: true,
                ..EventBatch::default()
            });
        }
        host.now = until;
    }
    host.pass(4_000_000);
    let answered = (0..40)
        .filter(|id| host.sent(*id).is_some() || host.finals(*id) == 1)
        .count();
    assert_eq!(answered, 40);
    assert!(woken < 40 * 40, "woken {woken} times in four seconds");
}

#[rstest]
fn odd_input_is_answered_without_a_panic() {
    let mut host = Host::new(0, &[]);
    host.job(1, 7);
    host.list(EndpointListKind::Full, vec![]);
    let late = Request {
        deadline: host.now - 1,
        concurrency: 0.0,
        memory_mb: 0.0,
        ..host.draft(2, 8)
    };
    host.handle(EventBatch {
        requests: vec![late],
        cancelled: vec![RequestId(99)],
        ..EventBatch::default()
    });
    host.order_end(5, 55, Outcome::Finished, 1);
    host.end(77, Outcome::Finished, Warmth::Warm, 10);
    host.end(2, Outcome::Finished, Warmth::Warm, 10);
    host.end(2, Outcome::Finished, Warmth::Warm, 10);
    let probe = HealthCheckResult {
        worker: WorkerId(5),
        outcome: Outcome::Finished,
        latency: 1,
        report: None,
    };
    host.handle(EventBatch {
        health_check_results: vec![probe],
        timer: true,
        ..EventBatch::default()
    });
    host.pass(4_000_000);
    assert_eq!((host.finals(1), host.finals(2)), (1, 1));
}

#[rstest]
#[case::of_several_functions([0, 1, 2], true)]
#[case::of_one_function([0, 0, 2], false)]
fn a_worker_that_fails_what_it_gets_is_left_alone(
    #[case] failing: [usize; 3],
    #[case] alone: bool,
) {
    let mut host = Host::new(2, &[]);
    let mut at_one = Vec::new();
    for function in 1..30 {
        host.job(function, function);
        at_one.extend(host.sent(function).filter(|w| *w == 1).map(|_| function));
        host.finish(function, Warmth::StartedLoad, 100_000);
    }
    for (n, which) in failing[..2].iter().enumerate() {
        host.job(100 + n as u64, at_one[*which]);
        host.now += 400_000;
        host.answer(100 + n as u64, Outcome::Error, Warmth::Warm, 1_000);
        host.now += 300_000;
    }
    host.job(200, at_one[failing[2]]);
    assert_eq!(host.sent(200) != Some(1), alone);
}

#[rstest]
fn a_function_whose_load_outlasts_its_jobs_is_loaded_for_those_that_follow() {
    let set = [
        ("copies.on-miss", Value::Text("miss".into())),
        ("copies.orders", Value::Flag(true)),
    ];
    let mut host = Host::new(3, &set);
    for id in [1, 2] {
        let job = Request {
            load_time: Some(4_000_000),
            ..host.draft(id, 7)
        };
        host.handle(EventBatch {
            requests: vec![job],
            ..EventBatch::default()
        });
        host.answer_asks(0);
        assert_eq!(
            host.finals(id),
            1,
            "it could not be in time and is pushed back at once"
        );
    }
    assert_eq!(
        host.count(|did| matches!(did, Did::Hold(_, 7, 1))),
        1,
        "one load, for the second call"
    );
    host.loaded_by_order(7, 4_000_000);
    host.job(3, 7);
    assert!(host.sent(3).is_some());
}

#[rstest]
#[case::where_workers_load_by_themselves("load", 1)]
#[case::where_they_answer_a_miss("miss", 0)]
fn slow_loads_alone_turn_jobs_away_only_where_they_wait_at_workers(
    #[case] on_miss: &str,
    #[case] away: usize,
) {
    let mut host = Host::new(
        3,
        &[
            ("copies.on-miss", Value::Text(on_miss.into())),
            ("copies.orders", Value::Flag(true)),
        ],
    );
    // Loads take four times what they are told to; no job has had to wait for a core.
    for id in 1..4 {
        let job = Request {
            load_time: Some(300_000),
            ..host.draft(id, id)
        };
        host.handle(EventBatch {
            requests: vec![job],
            ..EventBatch::default()
        });
        host.answer_asks(0);
        match on_miss {
            "load" => host.finish(id, Warmth::StartedLoad, 1_200_000),
            _ => drop(host.loaded_by_order(id, 1_200_000)),
        }
    }
    let job = Request {
        load_time: Some(500_000),
        ..host.draft(9, 9)
    };
    host.handle(EventBatch {
        requests: vec![job],
        ..EventBatch::default()
    });
    host.answer_asks(0);
    assert_eq!(host.finals(9), away);
}

#[rstest]
#[case::where_nothing_waits(0.0, true)]
#[case::where_jobs_wait(3.0, false)]
fn a_few_heavy_jobs_cut_what_a_worker_gets_only_where_jobs_wait(
    #[case] queued: f64,
    #[case] room: bool,
) {
    let mut host = Host::new(1, &[]);
    host.report = Some(LoadReport {
        in_flight: Some(1.0),
        queued: Some(queued),
        ..LoadReport::default()
    });
    for id in 1..40 {
        host.job(id, 7);
        host.finish(
            id,
            if id == 1 {
                Warmth::StartedLoad
            } else {
                Warmth::Warm
            },
            50_000,
        );
    }
    for id in 40..48 {
        host.job(id, 7);
        host.finish(id, Warmth::Warm, 400_000);
    }
    let jobs: Vec<Request> = (100..130)
        .map(|id| Request {
            concurrency: 100.0,
            ..host.draft(id, 7)
        })
        .collect();
    host.handle(EventBatch {
        requests: jobs,
        ..EventBatch::default()
    });
    let sent = (100..130).filter(|id| host.sent(*id).is_some()).count();
    // Six tenths of the first limit, as jobs that earn less than the mean get.
    assert_eq!(sent >= 14, room, "{sent}");
}
