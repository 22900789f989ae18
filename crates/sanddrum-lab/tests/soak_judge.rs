//! The judge of soak runs: for each rule a run that breaks it and nothing else is caught, and one just within it is not.

use rstest::rstest;
use sanddrum_lab::soak::judge::{judge, Rule};
use sanddrum_lab::soak::ledger::*;
use sanddrum_lab::soak::settings::Terms;
use sanddrum_net::Rng;

const S: i64 = 1_000_000;
const MS: i64 = 1_000;
const CALL: CallId = CallId(0x71);
const ROUTER: RouterId = RouterId(0);
const SENT: i64 = 100 * S;
const END: i64 = 200 * S;

fn terms() -> Terms {
    let drawn = Terms::drawn(&mut Rng::new(1));
    Terms {
        longest_deadline: 2 * S,
        cold: 10 * S,
        mean_work: 60 * MS,
        ..drawn
    }
}
/// A run in which one request was served by one attempt.
fn kept() -> Ledger {
    let mut ledger = Ledger::default();
    let request = Request {
        router: ROUTER,
        effect: Effect::Once,
        patience: 2 * S,
        sent: SENT,
        first_on_connection: true,
        rested: 0,
        left: None,
        answers: vec![Answer {
            at: SENT + 100 * MS,
            status: 200,
            body: made_of(CALL, &body_of(CALL)),
        }],
        cut: None,
        unreadable: false,
    };
    ledger.requests.insert(CALL, request);
    ledger.attempts.push(attempt(1, SENT + 10 * MS));
    let life = Life {
        started: 90 * S,
        ready: Some(91 * S),
        asked_to_end: Some(190 * S),
        ended: Some((191 * S, Some(0))),
        descriptors: vec![40, 44],
        resident: vec![10 << 20, 11 << 20],
        ..Life::default()
    };
    ledger.lives.insert(ROUTER, vec![life]);
    ledger
}
fn attempt(server: usize, at: i64) -> Attempt {
    let deadline = (SENT + 2 * S - at).max(0);
    let server = ServerId(server);
    Attempt {
        call: CALL,
        server,
        at,
        deadline,
        never_ran: false,
        arrival_unknown: false,
    }
}
fn request(ledger: &mut Ledger) -> &mut Request {
    ledger.requests.get_mut(&CALL).unwrap()
}
fn life(ledger: &mut Ledger) -> &mut Life {
    &mut ledger.lives.get_mut(&ROUTER).unwrap()[0]
}
fn broken(ledger: &Ledger) -> Vec<Rule> {
    judge(ledger, &terms(), END)
        .iter()
        .map(|found| found.rule)
        .collect()
}

type Change = fn(&mut Ledger);

#[rstest]
#[case::no_answer(Rule::Lost, |l: &mut Ledger| request(l).answers.clear())]
#[case::an_answer_too_late(Rule::Lost, |l: &mut Ledger| request(l).answers[0].at = SENT + 2 * S + 501 * MS)]
#[case::closed_unanswered(Rule::Lost, |l: &mut Ledger| { request(l).answers.clear(); request(l).cut = Some(SENT + 20 * MS) })]
#[case::closed_unanswered_long_after_it_had_rested(Rule::Lost, |l: &mut Ledger| { request(l).answers.clear(); request(l).cut = Some(SENT + 51 * MS); request(l).rested = S })]
#[case::taken_long_after_the_end_was_asked_for(Rule::Lost, |l: &mut Ledger| { request(l).answers.clear(); life(l).asked_to_end = Some(SENT - 701 * MS); life(l).ended = Some((SENT + S, Some(0))) })]
#[case::closed_unanswered_before_the_end_may_come(Rule::Lost, |l: &mut Ledger| { request(l).answers.clear(); request(l).cut = Some(SENT + 20 * MS); life(l).asked_to_end = Some(SENT - 700 * MS); life(l).ended = Some((SENT + S, Some(0))) })]
#[case::two_answers(Rule::AnsweredTwice, |l: &mut Ledger| { let again = request(l).answers[0].clone(); request(l).answers.push(again) })]
#[case::another_body(Rule::Spoilt, |l: &mut Ledger| request(l).answers[0].body.push(0))]
#[case::unreadable(Rule::Spoilt, |l: &mut Ledger| request(l).unreadable = true)]
#[case::two_runs(Rule::RanTwice, |l: &mut Ledger| l.attempts.push(attempt(2, SENT + 20 * MS)))]
#[case::after_the_answer(Rule::AfterAnswer, |l: &mut Ledger| { request(l).effect = Effect::Repeatable; l.attempts.push(attempt(2, SENT + 201 * MS)) })]
#[case::after_the_client_left(Rule::AfterLeaving, |l: &mut Ledger| { request(l).answers.clear(); request(l).left = Some((SENT - 91 * MS, Leaving::Closed)) })]
#[case::too_long_a_deadline(Rule::Deadline, |l: &mut Ledger| l.attempts[0].deadline += 151 * MS)]
#[case::after_a_drain(Rule::Drain, |l: &mut Ledger| l.drains.push(Drain { server: ServerId(1), told: SENT - 291 * MS }))]
#[case::a_load_command_after_a_drain(Rule::Drain, |l: &mut Ledger| { l.drains.push(Drain { server: ServerId(1), told: SENT }); l.load_commands.push(LoadCommand { server: ServerId(1), at: SENT + 301 * MS, arrival_unknown: false }) })]
#[case::after_a_drain_that_an_outage_hid(Rule::Drain, |l: &mut Ledger| { l.attempts[0].at = SENT + 8 * S; l.attempts[0].deadline = 0; request(l).answers.clear(); request(l).left = Some((SENT + 8 * S, Leaving::Closed)); l.drains.push(Drain { server: ServerId(1), told: SENT + S }); l.feed_troubles.push(FeedTrouble { span: Span { from: SENT, to: SENT + 10 * S }, told_after: 7 * S, is_outage: true }) })]
#[case::of_no_client(Rule::Foreign, |l: &mut Ledger| l.foreign_attempts = 1)]
#[case::nonsense_served(Rule::BadClient, |l: &mut Ledger| l.bad_clients_served = 1)]
#[case::never_ready(Rule::NotReady, |l: &mut Ledger| life(l).ready = None)]
#[case::ready_too_late(Rule::NotReady, |l: &mut Ledger| life(l).ready = Some(101 * S))]
#[case::never_ended(Rule::NotEnded, |l: &mut Ledger| life(l).ended = None)]
#[case::ended_too_late(Rule::NotEnded, |l: &mut Ledger| life(l).ended = Some((193 * S, Some(0))))]
#[case::ended_by_itself(Rule::Crash, |l: &mut Ledger| life(l).asked_to_end = None)]
#[case::ended_with_an_error(Rule::Crash, |l: &mut Ledger| life(l).ended = Some((191 * S, Some(101))))]
#[case::more_descriptors(Rule::Growth, |l: &mut Ledger| life(l).descriptors = vec![40, 200])]
#[case::more_memory(Rule::Growth, |l: &mut Ledger| life(l).resident = vec![10 << 20, 30 << 20])]
fn a_run_that_breaks_a_rule_is_caught_by_that_rule_alone(
    #[case] rule: Rule,
    #[case] breaks: Change,
) {
    assert_eq!(broken(&kept()), []);
    let mut ledger = kept();
    breaks(&mut ledger);
    assert_eq!(broken(&ledger), [rule]);
}

#[rstest]
#[case::late_but_not_lost(|l: &mut Ledger| request(l).answers[0].at = SENT + 2 * S + 499 * MS)]
#[case::cut_where_it_crossed(|l: &mut Ledger| { request(l).answers.clear(); request(l).cut = Some(SENT + 40 * MS); request(l).rested = S })]
#[case::its_router_was_killed(|l: &mut Ledger| { request(l).answers.clear(); life(l).killed = Some(101 * S) })]
#[case::crossed_the_end_of_its_router(|l: &mut Ledger| { request(l).answers.clear(); life(l).asked_to_end = Some(SENT - 701 * MS); life(l).ended = Some((SENT + 49 * MS, Some(0))) })]
#[case::crossed_a_close_of_an_ending_router(|l: &mut Ledger| { request(l).answers.clear(); request(l).cut = Some(SENT + 49 * MS); life(l).asked_to_end = Some(SENT - 701 * MS); life(l).ended = Some((SENT + S, Some(0))) })]
#[case::stopped_meanwhile(|l: &mut Ledger| { request(l).answers[0].at = SENT + 4 * S; l.stops.insert(ROUTER, vec![Span { from: SENT + S, to: SENT + 3 * S }]); })]
#[case::a_second_run_of_what_never_ran(|l: &mut Ledger| { l.attempts[0].never_ran = true; l.attempts.push(attempt(2, SENT + 20 * MS)) })]
#[case::just_after_the_client_left(|l: &mut Ledger| { request(l).answers.clear(); request(l).left = Some((SENT - 89 * MS, Leaving::Closed)) })]
#[case::a_deadline_within_the_slack(|l: &mut Ledger| l.attempts[0].deadline += 149 * MS)]
#[case::within_the_grace(|l: &mut Ledger| l.drains.push(Drain { server: ServerId(1), told: SENT - 289 * MS }))]
#[case::the_feed_was_silent(|l: &mut Ledger| { l.drains.push(Drain { server: ServerId(1), told: SENT - S }); l.feed_troubles.push(FeedTrouble { span: Span { from: SENT - 2 * S, to: SENT }, told_after: 7 * S, is_outage: false }) })]
#[case::in_an_outage_before_its_drains_count_as_told(|l: &mut Ledger| { l.attempts[0].at = SENT + 7 * S; l.attempts[0].deadline = 0; request(l).answers.clear(); request(l).left = Some((SENT + 8 * S, Leaving::Closed)); l.drains.push(Drain { server: ServerId(1), told: SENT + S }); l.feed_troubles.push(FeedTrouble { span: Span { from: SENT, to: SENT + 10 * S }, told_after: 7 * S, is_outage: true }) })]
#[case::read_late_by_the_lab(|l: &mut Ledger| { l.attempts[0].deadline += 155 * MS; l.lab_late.push(Span { from: SENT, to: SENT + 60 * MS }) })]
fn a_run_that_the_pages_excuse_is_not_caught(#[case] excused: Change) {
    let mut ledger = kept();
    excused(&mut ledger);
    assert_eq!(broken(&ledger), []);
}

/// So many calls, by clients of their own, in the first second of a server that has just started.
fn rushed(calls: u64, told_late: bool) -> Ledger {
    let mut ledger = kept();
    let start = SENT + if told_late { S } else { -S };
    ledger.starts.push(Start {
        server: ServerId(9),
        at: start,
        size: 4.0,
        long_ago: false,
    });
    for n in 0..calls {
        let call = CallId(1000 + n);
        let mut request = ledger.requests[&CALL].clone();
        request.answers[0].body = made_of(call, &body_of(call));
        ledger.requests.insert(call, request);
        let at = start.max(SENT) + n as i64 * 1000;
        let deadline = (SENT + 2 * S - at).max(0);
        ledger.attempts.push(Attempt {
            call,
            server: ServerId(9),
            ..attempt(9, at)
        });
        ledger.requests.get_mut(&call).unwrap().answers[0].at = at + 100 * MS;
        assert!(deadline > 0);
    }
    ledger
}

#[rstest]
fn more_than_a_server_in_slow_start_bears_is_caught() {
    // By the terms: 1.5 * 4 / 0.06 s * 2 s * (0.2 + 0.8 * 1 s / 10 s) = 56 at one second, and 2 * root of 56 + 2.
    let budget = terms().slow_start_budget(4.0, S);
    assert!((70.0..74.0).contains(&budget), "{budget}");
    assert_eq!(broken(&rushed(60, false)), []);
    assert_eq!(broken(&rushed(90, false)), [Rule::SlowStart]);
}

#[rstest]
fn what_comes_before_the_start_is_told_is_not_the_routers_fault() {
    // All within the time in which routers hear of it.
    assert_eq!(broken(&rushed(90, true)), []);
}
