//! Tests the checker of soak runs: for each rule, a run that violates only that rule is reported, and one just within
//! its limits is not.

use rstest::rstest;
use sanddrum_lab::soak::checker::{check, Rule};
use sanddrum_lab::soak::observations::*;
use sanddrum_lab::soak::settings::SoakSettings;
use sanddrum_net::Rng;

const S: i64 = 1_000_000;
const MS: i64 = 1_000;
const REQUEST_ID: RequestId = RequestId(0x71);
const ROUTER: RouterId = RouterId(0);
const SENT: i64 = 100 * S;
const END: i64 = 200 * S;

fn settings() -> SoakSettings {
    let random = SoakSettings::random(&mut Rng::new(1));
    SoakSettings {
        max_deadline: 2 * S,
        slow_start_duration: 10 * S,
        mean_service_time: 60 * MS,
        allows_copies: false,
        ..random
    }
}
/// Observations of a run in which one attempt served one request.
fn passing_run() -> Observations {
    let mut observations = Observations::default();
    let request = Request {
        router: ROUTER,
        effect: Effect::Once,
        time_limit: 2 * S,
        sent: SENT,
        first_on_connection: true,
        idle_before: 0,
        abandoned: None,
        responses: vec![Response {
            at: SENT + 100 * MS,
            status: 200,
            body: expected_response_body(REQUEST_ID, &request_body(REQUEST_ID)),
        }],
        closed_unanswered: None,
        malformed: false,
    };
    observations.requests.insert(REQUEST_ID, request);
    observations.attempts.push(attempt(1, SENT + 10 * MS));
    let incarnation = Incarnation {
        started: 90 * S,
        ready: Some(91 * S),
        sigterm_sent: Some(190 * S),
        exited: Some((191 * S, Some(0))),
        descriptors: vec![40, 44],
        resident_bytes: vec![10 << 20, 11 << 20],
        ..Incarnation::default()
    };
    observations.incarnations.insert(ROUTER, vec![incarnation]);
    observations
}
fn attempt(server: usize, at: i64) -> Attempt {
    let deadline = (SENT + 2 * S - at).max(0);
    let server = ServerId(server);
    Attempt {
        request_id: REQUEST_ID,
        server,
        at,
        deadline,
        never_ran: false,
        arrival_unknown: false,
        held_since: None,
        ended: Some(at + 5 * MS),
    }
}
fn request(observations: &mut Observations) -> &mut Request {
    observations.requests.get_mut(&REQUEST_ID).unwrap()
}
fn incarnation(observations: &mut Observations) -> &mut Incarnation {
    &mut observations.incarnations.get_mut(&ROUTER).unwrap()[0]
}
fn violated_rules(observations: &Observations) -> Vec<Rule> {
    check(observations, &settings(), END)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

type Change = fn(&mut Observations);

#[rstest]
#[case::no_response(Rule::Lost, |o: &mut Observations| request(o).responses.clear())]
#[case::response_too_late(Rule::Lost, |o: &mut Observations| request(o).responses[0].at = SENT + 2 * S + 501 * MS)]
#[case::connection_closed_without_response(Rule::Lost, |o: &mut Observations| { request(o).responses.clear(); request(o).closed_unanswered = Some(SENT + 20 * MS) })]
#[case::idle_connection_closed_after_race_window(Rule::Lost, |o: &mut Observations| { request(o).responses.clear(); request(o).closed_unanswered = Some(SENT + 51 * MS); request(o).idle_before = S })]
#[case::router_exits_without_response_after_sigterm(Rule::Lost, |o: &mut Observations| { request(o).responses.clear(); incarnation(o).sigterm_sent = Some(SENT - 701 * MS); incarnation(o).exited = Some((SENT + S, Some(0))) })]
#[case::connection_closed_too_early_after_sigterm(Rule::Lost, |o: &mut Observations| { request(o).responses.clear(); request(o).closed_unanswered = Some(SENT + 20 * MS); incarnation(o).sigterm_sent = Some(SENT - 700 * MS); incarnation(o).exited = Some((SENT + S, Some(0))) })]
#[case::two_responses(Rule::AnsweredTwice, |o: &mut Observations| { let duplicate = request(o).responses[0].clone(); request(o).responses.push(duplicate) })]
#[case::wrong_body(Rule::Spoilt, |o: &mut Observations| request(o).responses[0].body.push(0))]
#[case::response_malformed(Rule::Spoilt, |o: &mut Observations| request(o).malformed = true)]
#[case::executed_twice(Rule::RanTwice, |o: &mut Observations| o.attempts.push(attempt(2, SENT + 20 * MS)))]
#[case::attempt_after_response(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; o.attempts.push(attempt(2, SENT + 151 * MS)) })]
#[case::attempt_held_back_until_after_response(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), ..attempt(2, SENT + 151 * MS) }) })]
#[case::attempt_held_back_until_after_an_early_failure(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; request(o).responses[0].at = SENT + 2 * S + 349 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 400 * MS) }) })]
#[case::attempt_sent_after_a_late_failure(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; request(o).responses[0].at = SENT + 2 * S + 350 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 2 * S + 351 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 401 * MS) }) })]
#[case::attempt_held_back_until_after_an_early_answer_of_a_shutdown(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; incarnation(o).sigterm_sent = Some(SENT - S); incarnation(o).exited = Some((SENT + 1650 * MS, Some(0))); request(o).responses[0].at = SENT + 1549 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), ..attempt(2, SENT + 1650 * MS) }) })]
#[case::attempt_at_a_frozen_server_until_after_an_early_failure(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; request(o).responses[0].at = SENT + 2 * S + 349 * MS; o.attempts.push(Attempt { arrival_unknown: true, held_since: Some(SENT + 50 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 400 * MS) }) })]
#[case::attempt_held_back_until_after_an_early_failure_of_a_stopped_router(Rule::AfterAnswer, |o: &mut Observations| { request(o).effect = Effect::Repeatable; o.stops.insert(ROUTER, vec![Span { from: SENT - 300 * MS, to: SENT + 10 * MS }]); request(o).responses[0].at = SENT + 2 * S + 49 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 100 * MS) }) })]
#[case::repetition_by_key_after_its_window(Rule::RanTwice, |o: &mut Observations| { request(o).effect = Effect::ByKey; request(o).responses[0].at = SENT + 1200 * MS; o.attempts.push(attempt(2, SENT + 10 * MS + REPEAT_WINDOW + 51 * MS)) })]
#[case::two_attempts_at_once(Rule::TwoAtOnce, |o: &mut Observations| { request(o).effect = Effect::Repeatable; o.attempts[0].ended = Some(SENT + 26 * MS); o.attempts.push(Attempt { ended: Some(SENT + 40 * MS), ..attempt(2, SENT + 20 * MS) }) })]
#[case::second_attempt_while_the_first_never_ends(Rule::TwoAtOnce, |o: &mut Observations| { request(o).effect = Effect::Repeatable; o.attempts[0].ended = None; o.attempts.push(Attempt { ended: Some(SENT + 90 * MS), ..attempt(2, SENT + 20 * MS) }) })]
#[case::attempt_after_client_closed(Rule::AfterLeaving, |o: &mut Observations| { request(o).responses.clear(); request(o).abandoned = Some((SENT - 91 * MS, Abandonment::Closed)) })]
#[case::deadline_too_long(Rule::Deadline, |o: &mut Observations| o.attempts[0].deadline += 151 * MS)]
#[case::attempt_after_drain(Rule::Drain, |o: &mut Observations| o.drains.push(Drain { server: ServerId(1), announced_at: SENT - 291 * MS }))]
#[case::load_command_after_drain(Rule::Drain, |o: &mut Observations| { o.drains.push(Drain { server: ServerId(1), announced_at: SENT }); o.load_commands.push(LoadCommand { server: ServerId(1), at: SENT + 301 * MS, arrival_unknown: false }) })]
#[case::attempt_after_drain_during_outage(Rule::Drain, |o: &mut Observations| { o.attempts[0].at = SENT + 8 * S; o.attempts[0].deadline = 0; request(o).responses.clear(); request(o).abandoned = Some((SENT + 8 * S, Abandonment::Closed)); o.drains.push(Drain { server: ServerId(1), announced_at: SENT + S }); o.feed_faults.push(FeedFault { span: Span { from: SENT, to: SENT + 10 * S }, deemed_delivered_after: 7 * S, is_outage: true }) })]
#[case::attempt_of_unknown_request(Rule::Foreign, |o: &mut Observations| o.foreign_attempts = 1)]
#[case::malformed_request_served(Rule::BadClient, |o: &mut Observations| o.malformed_requests_served = 1)]
#[case::never_ready(Rule::NotReady, |o: &mut Observations| incarnation(o).ready = None)]
#[case::ready_too_late(Rule::NotReady, |o: &mut Observations| incarnation(o).ready = Some(101 * S))]
#[case::never_exited(Rule::NotEnded, |o: &mut Observations| incarnation(o).exited = None)]
#[case::exited_too_late(Rule::NotEnded, |o: &mut Observations| incarnation(o).exited = Some((193 * S, Some(0))))]
#[case::exited_without_signal(Rule::Crash, |o: &mut Observations| incarnation(o).sigterm_sent = None)]
#[case::exited_with_error(Rule::Crash, |o: &mut Observations| incarnation(o).exited = Some((191 * S, Some(101))))]
#[case::descriptor_growth(Rule::Growth, |o: &mut Observations| incarnation(o).descriptors = vec![40, 200])]
#[case::memory_growth(Rule::Growth, |o: &mut Observations| incarnation(o).resident_bytes = vec![10 << 20, 30 << 20])]
fn each_violation_is_reported_under_its_rule_only(#[case] rule: Rule, #[case] change: Change) {
    assert_eq!(violated_rules(&passing_run()), []);
    let mut observations = passing_run();
    change(&mut observations);
    assert_eq!(violated_rules(&observations), [rule]);
}

#[rstest]
#[case::late_within_slack(|o: &mut Observations| request(o).responses[0].at = SENT + 2 * S + 499 * MS)]
#[case::idle_connection_closed_within_race_window(|o: &mut Observations| { request(o).responses.clear(); request(o).closed_unanswered = Some(SENT + 40 * MS); request(o).idle_before = S })]
#[case::router_killed(|o: &mut Observations| { request(o).responses.clear(); incarnation(o).killed = Some(101 * S) })]
#[case::router_exit_within_race_window(|o: &mut Observations| { request(o).responses.clear(); incarnation(o).sigterm_sent = Some(SENT - 701 * MS); incarnation(o).exited = Some((SENT + 49 * MS, Some(0))) })]
#[case::connection_closed_by_stopping_router_within_race_window(|o: &mut Observations| { request(o).responses.clear(); request(o).closed_unanswered = Some(SENT + 49 * MS); incarnation(o).sigterm_sent = Some(SENT - 701 * MS); incarnation(o).exited = Some((SENT + S, Some(0))) })]
#[case::router_stopped_meanwhile(|o: &mut Observations| { request(o).responses[0].at = SENT + 4 * S; o.stops.insert(ROUTER, vec![Span { from: SENT + S, to: SENT + 3 * S }]); })]
#[case::second_attempt_after_rejected_one(|o: &mut Observations| { o.attempts[0].never_ran = true; o.attempts.push(attempt(2, SENT + 20 * MS)) })]
#[case::second_attempt_as_the_first_ends(|o: &mut Observations| { request(o).effect = Effect::Repeatable; o.attempts[0].ended = Some(SENT + 24 * MS); o.attempts.push(attempt(2, SENT + 20 * MS)) })]
#[case::attempt_held_back_until_after_the_latest_failure(|o: &mut Observations| { request(o).effect = Effect::Repeatable; request(o).responses[0].at = SENT + 2 * S + 350 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 500 * MS) }) })]
#[case::attempt_at_a_frozen_server_until_after_the_latest_failure(|o: &mut Observations| { request(o).effect = Effect::Repeatable; request(o).responses[0].at = SENT + 2 * S + 350 * MS; o.attempts.push(Attempt { arrival_unknown: true, held_since: Some(SENT + 50 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 500 * MS) }) })]
#[case::attempt_held_back_until_after_the_latest_failure_of_a_stopped_router(|o: &mut Observations| { request(o).effect = Effect::Repeatable; o.stops.insert(ROUTER, vec![Span { from: SENT - 300 * MS, to: SENT + 10 * MS }]); request(o).responses[0].at = SENT + 2 * S + 50 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), deadline: 0, ..attempt(2, SENT + 2 * S + 200 * MS) }) })]
#[case::repetition_by_key_within_its_window(|o: &mut Observations| { request(o).effect = Effect::ByKey; request(o).responses[0].at = SENT + 1200 * MS; o.attempts.push(attempt(2, SENT + 10 * MS + REPEAT_WINDOW + 50 * MS)) })]
#[case::attempt_held_back_until_after_the_latest_answer_of_a_shutdown(|o: &mut Observations| { request(o).effect = Effect::Repeatable; incarnation(o).sigterm_sent = Some(SENT - S); incarnation(o).exited = Some((SENT + 1650 * MS, Some(0))); request(o).responses[0].at = SENT + 1550 * MS; o.attempts.push(Attempt { held_since: Some(SENT + 50 * MS), ..attempt(2, SENT + 1650 * MS) }) })]
#[case::attempt_just_after_response(|o: &mut Observations| { request(o).effect = Effect::Repeatable; o.attempts.push(attempt(2, SENT + 149 * MS)) })]
#[case::attempt_held_back_since_before_client_closed(|o: &mut Observations| { request(o).responses.clear(); o.attempts[0].held_since = Some(SENT - 50 * MS); request(o).abandoned = Some((SENT - 91 * MS, Abandonment::Closed)) })]
#[case::attempt_just_after_client_closed(|o: &mut Observations| { request(o).responses.clear(); request(o).abandoned = Some((SENT - 89 * MS, Abandonment::Closed)) })]
#[case::deadline_within_slack(|o: &mut Observations| o.attempts[0].deadline += 149 * MS)]
#[case::attempt_within_drain_grace(|o: &mut Observations| o.drains.push(Drain { server: ServerId(1), announced_at: SENT - 289 * MS }))]
#[case::feed_was_silent(|o: &mut Observations| { o.drains.push(Drain { server: ServerId(1), announced_at: SENT - S }); o.feed_faults.push(FeedFault { span: Span { from: SENT - 2 * S, to: SENT }, deemed_delivered_after: 7 * S, is_outage: false }) })]
#[case::drain_not_yet_deemed_delivered_in_outage(|o: &mut Observations| { o.attempts[0].at = SENT + 7 * S; o.attempts[0].deadline = 0; request(o).responses.clear(); request(o).abandoned = Some((SENT + 8 * S, Abandonment::Closed)); o.drains.push(Drain { server: ServerId(1), announced_at: SENT + S }); o.feed_faults.push(FeedFault { span: Span { from: SENT, to: SENT + 10 * S }, deemed_delivered_after: 7 * S, is_outage: true }) })]
#[case::lab_was_late(|o: &mut Observations| { o.attempts[0].deadline += 155 * MS; o.lab_delays.push(Span { from: SENT, to: SENT + 60 * MS }) })]
fn permitted_deviations_are_not_reported(#[case] change: Change) {
    let mut observations = passing_run();
    change(&mut observations);
    assert_eq!(violated_rules(&observations), []);
}

/// Where copies are allowed, a result waits about a second for an attempt at a frozen server, and no longer.
#[rstest]
#[case::long_enough(950 * MS, true, true, &[])]
#[case::too_early(949 * MS, true, true, &[Rule::AfterAnswer])]
#[case::without_copies(S, true, false, &[Rule::AfterAnswer])]
#[case::by_its_link(S, false, true, &[Rule::AfterAnswer])]
fn a_result_waits_for_an_attempt_at_a_frozen_server(
    #[case] waited: i64,
    #[case] is_frozen: bool,
    #[case] allows_copies: bool,
    #[case] expected: &[Rule],
) {
    let mut observations = passing_run();
    request(&mut observations).effect = Effect::Repeatable;
    request(&mut observations).responses[0].at = SENT + 50 * MS + waited;
    observations.attempts.push(Attempt {
        arrival_unknown: is_frozen,
        held_since: Some(SENT + 50 * MS),
        ..attempt(2, SENT + 1500 * MS)
    });
    let settings = SoakSettings {
        allows_copies,
        ..settings()
    };
    let violations = check(&observations, &settings, END);
    let rules: Vec<Rule> = violations.iter().map(|violation| violation.rule).collect();
    assert_eq!(rules, expected);
}

/// Observations of a run in which a new server receives this many requests, right at its start or from one second
/// later.
fn slow_start_run(requests: u64, right_at_start: bool) -> Observations {
    let mut observations = passing_run();
    let start = SENT + if right_at_start { S } else { -S };
    observations.starts.push(Start {
        server: ServerId(9),
        at: start,
        size: 4.0,
        before_run: false,
    });
    for n in 0..requests {
        let request_id = RequestId(1000 + n);
        let mut request = observations.requests[&REQUEST_ID].clone();
        request.responses[0].body = expected_response_body(request_id, &request_body(request_id));
        observations.requests.insert(request_id, request);
        let at = start.max(SENT) + n as i64 * 1000;
        let deadline = (SENT + 2 * S - at).max(0);
        observations.attempts.push(Attempt {
            request_id,
            server: ServerId(9),
            ..attempt(9, at)
        });
        observations
            .requests
            .get_mut(&request_id)
            .unwrap()
            .responses[0]
            .at = at + 100 * MS;
        assert!(deadline > 0);
    }
    observations
}

#[rstest]
fn exceeding_the_slow_start_budget_is_reported() {
    // With these settings: 1.5 * 4 / 0.06 s * 2 s * (0.2 + 0.8 * 1 s / 10 s) = 56 at one second, plus 2 * sqrt(56) +
    // 2.
    let budget = settings().slow_start_budget(4.0, S);
    assert!((70.0..74.0).contains(&budget), "{budget}");
    assert_eq!(violated_rules(&slow_start_run(60, false)), []);
    assert_eq!(
        violated_rules(&slow_start_run(90, false)),
        [Rule::SlowStart]
    );
}

#[rstest]
fn requests_before_routers_know_of_the_start_are_not_reported() {
    // All requests arrive within the time that the feed has to notify the routers.
    assert_eq!(violated_rules(&slow_start_run(90, true)), []);
}
