//! Judges a soak run from its ledger: the platform's rules, and the operators' stricter terms. Nothing is excused but what the
//! pages excuse, and what the lab itself was too late to see.

mod servers;

use super::ledger::{made_of, Attempt, CallId, Effect, Leaving, Ledger, Request};
use super::settings::Terms;
use sanddrum_net::Micros;
use servers::{drained_loads, drains, slow_starts};
use std::collections::BTreeMap;
use std::fmt;

/// What a run may break.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request has no final answer in time, or its connection ended without one.
    Lost,
    /// A request has more than one final answer.
    AnsweredTwice,
    /// What came back can't be read, or is served with what no server made for it.
    Spoilt,
    /// A request that may run once may have run twice.
    RanTwice,
    /// An attempt came after the final answer.
    AfterAnswer,
    /// An attempt came more than 0.1 s after its client had left.
    AfterLeaving,
    /// A server was told more time than its client had left, and slack.
    Deadline,
    /// Something new came to a server that is to get nothing more.
    Drain,
    /// A server in slow start got more than it bears.
    SlowStart,
    /// What came to a server is of no client.
    Foreign,
    /// What can't be read was answered as served.
    BadClient,
    /// A router was not ready in time.
    NotReady,
    /// A router that was asked to end did not by itself.
    NotEnded,
    Crash,
    /// Descriptors or memory grew over the run.
    Growth,
}

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::AnsweredTwice => "answered-twice",
            Rule::Spoilt => "spoilt",
            Rule::RanTwice => "ran-twice",
            Rule::AfterAnswer => "after-answer",
            Rule::AfterLeaving => "after-leaving",
            Rule::Deadline => "deadline",
            Rule::Drain => "drain",
            Rule::SlowStart => "slow-start",
            Rule::Foreign => "foreign",
            Rule::BadClient => "bad-client",
            Rule::NotReady => "not-ready",
            Rule::NotEnded => "not-ended",
            Rule::Crash => "crash",
            Rule::Growth => "growth",
        }
    }
}

/// One break, with what was seen of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Break {
    pub rule: Rule,
    pub at: Micros,
    pub what: String,
}

impl fmt::Display for Break {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {:.3} s: {}",
            self.rule.name(),
            self.at as f64 / 1e6,
            self.what
        )
    }
}

/// An answer may come so long after its time before it counts as lost.
const LATE: Micros = 500_000;
/// An attempt may begin so long after its client has left.
const AFTER_LEAVING: Micros = 100_000;
/// A deadline passed on may exceed what the client has left by so much.
const DEADLINE_SLACK: Micros = 150_000;
/// A request that crosses the end of a resting connection within this is sent again by its client.
const CROSSING: Micros = 50_000;
/// A connection that has carried nothing for so long rests, be it new: its router may close it.
const RESTS: Micros = 1_000_000;
/// From then on after SIGTERM a router closes its clients' connections; requests that come before that are all answered.
const CLOSES_AFTER_TERM: Micros = 700_000;
/// SIGKILL comes no sooner than the longest deadline, this at the most, and so much.
const KILL_LONGEST: Micros = 3_000_000;
const KILL_AFTER: Micros = 700_000;
/// A restarted router is ready within this.
const READY_WITHIN: Micros = 10_000_000;
/// Resident memory may grow so much over the last two thirds of a run.
const MEMORY_GROWTH: u64 = 12 << 20;

/// All breaks of a run, in order of time.
pub fn judge(ledger: &Ledger, terms: &Terms, end: Micros) -> Vec<Break> {
    let mut breaks = Vec::new();
    requests(ledger, end, &mut breaks);
    attempts(ledger, &mut breaks);
    effects(ledger, &mut breaks);
    drains(ledger, terms, &mut breaks);
    drained_loads(ledger, terms, &mut breaks);
    slow_starts(ledger, terms, &mut breaks);
    lives(ledger, terms, end, &mut breaks);
    breaks.sort_by_key(|b| (b.at, b.rule));
    breaks
}

fn call_text(call: CallId) -> String {
    format!("call {:016x}", call.0)
}

// ---- Clients

fn requests(ledger: &Ledger, end: Micros, breaks: &mut Vec<Break>) {
    let mut add = |rule, at, what: String| breaks.push(Break { rule, at, what });
    for (call, request) in &ledger.requests {
        let name = call_text(*call);
        if request.unreadable {
            add(
                Rule::Spoilt,
                request.sent,
                format!("{name}: what came back can't be read"),
            );
        }
        if request.answers.len() > 1 {
            add(
                Rule::AnsweredTwice,
                request.answers[1].at,
                format!("{name}: {} answers", request.answers.len()),
            );
        }
        if let Some(answer) = request
            .answers
            .first()
            .filter(|answer| answer.status == 200)
        {
            let made = made_of(*call, &super::ledger::body_of(*call));
            if answer.body != made {
                add(
                    Rule::Spoilt,
                    answer.at,
                    format!("{name}: served with what no server made for it"),
                );
            }
        }
        if let Some(why) = lost(ledger, request, end) {
            add(
                Rule::Lost,
                request.sent,
                format!("{name} to router {}: {why}", request.router.0),
            );
        }
    }
    if ledger.foreign_attempts > 0 {
        add(
            Rule::Foreign,
            0,
            format!("{} attempts of no client", ledger.foreign_attempts),
        );
    }
    if ledger.bad_clients_served > 0 {
        add(
            Rule::BadClient,
            0,
            format!("{} unreadable requests served", ledger.bad_clients_served),
        );
    }
}

/// Why a request is lost, if it is.
fn lost(ledger: &Ledger, request: &Request, end: Micros) -> Option<String> {
    if request.left.is_some() || !is_owed(ledger, request) {
        return None;
    }
    let stops = ledger.stopped_between(request.router, request.sent, end);
    let latest = request.sent + request.patience + LATE + stops;
    if let Some(answer) = request.answers.first() {
        let late = answer.at - latest - ledger.late_between(request.sent, answer.at);
        return (late > 0).then(|| format!("answered {:.3} s too late", late as f64 / 1e6));
    }
    if let Some(cut) = request.cut {
        let rested = request.rested >= RESTS || closes_for_its_end(ledger, request);
        let crossed = rested && cut - request.sent <= CROSSING;
        let after = (cut - request.sent) as f64 / 1e6;
        return (!crossed).then(|| format!("its connection ended unanswered after {after:.3} s"));
    }
    let ended = ledger
        .life_at(request.router, request.sent)
        .and_then(|life| life.ended);
    if let Some((at, _)) = ended.filter(|(at, _)| *at < latest) {
        let crossed = closes_for_its_end(ledger, request) && at - request.sent <= CROSSING;
        return (!crossed).then(|| "its router ended without an answer".to_string());
    }
    (end > latest + ledger.late_between(request.sent, end)).then(|| "no answer".to_string())
}

/// Whether a request came so long after its router was asked to end that the router may close a connection on which none is
/// open, however lately it was used: nothing new is to come by then but on connections that are open.
fn closes_for_its_end(ledger: &Ledger, request: &Request) -> bool {
    let life = ledger.life_at(request.router, request.sent);
    life.and_then(|life| life.asked_to_end)
        .is_some_and(|at| request.sent > at + CLOSES_AFTER_TERM)
}

/// Whether the router that took it owes it an answer: not where it was killed before it was asked to end, nor where it had
/// ended before.
fn is_owed(ledger: &Ledger, request: &Request) -> bool {
    let Some(life) = ledger.life_at(request.router, request.sent) else {
        return false;
    };
    let killed = life.killed.is_some();
    let ended_before = life.ended.is_some_and(|(at, _)| at < request.sent);
    !(killed || ended_before)
}

// ---- Attempts

fn attempts(ledger: &Ledger, breaks: &mut Vec<Break>) {
    for attempt in ledger
        .attempts
        .iter()
        .filter(|attempt| !attempt.arrival_unknown)
    {
        let Some(request) = ledger.requests.get(&attempt.call) else {
            continue;
        };
        let name = format!("{} at server {}", call_text(attempt.call), attempt.server.0);
        let mut add = |rule, what: String| {
            breaks.push(Break {
                rule,
                at: attempt.at,
                what,
            })
        };
        if let Some((left, how)) = request.left {
            let after = attempt.at - left - ledger.late_between(left, attempt.at);
            if after > AFTER_LEAVING {
                add(
                    Rule::AfterLeaving,
                    format!(
                        "{name}: {:.3} s after its client had left ({how:?})",
                        seconds(after)
                    ),
                );
            }
        }
        if let Some(answer) = request.answers.first() {
            let after = attempt.at - answer.at - ledger.late_between(answer.at, attempt.at);
            if after > AFTER_LEAVING {
                add(
                    Rule::AfterAnswer,
                    format!("{name}: {:.3} s after its answer", seconds(after)),
                );
            }
        }
        let has_left = request.sent + request.patience - attempt.at;
        let beyond =
            attempt.deadline - has_left.max(0) - ledger.late_between(request.sent, attempt.at);
        if beyond > DEADLINE_SLACK {
            let came = context(ledger, request, attempt);
            add(
                Rule::Deadline,
                format!(
                    "{name}: told {:.3} s more than is left; {came}",
                    seconds(beyond)
                ),
            );
        }
    }
}

/// How an attempt came about, for whoever looks into a break.
fn context(ledger: &Ledger, request: &Request, attempt: &Attempt) -> String {
    let stopped = ledger.stopped_between(request.router, request.sent, attempt.at);
    let all = ledger
        .attempts
        .iter()
        .filter(|other| other.call == attempt.call);
    let told = |other: &Attempt| {
        let (after, deadline) = (seconds(other.at - request.sent), seconds(other.deadline));
        let arrival = if other.arrival_unknown {
            " or before"
        } else {
            ""
        };
        format!(
            "{after:.3}{arrival} at server {} with {deadline:.3}",
            other.server.0
        )
    };
    let all: Vec<String> = all.map(told).collect();
    format!(
        "router {}, {:.3} s after its sending with {:.3} s of patience, stopped for {:.3} s of that, attempts {}, {}",
        request.router.0,
        seconds(attempt.at - request.sent),
        seconds(request.patience),
        seconds(stopped),
        all.join(", "),
        if request.first_on_connection { "a new connection" } else { "a kept connection" }
    )
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

fn effects(ledger: &Ledger, breaks: &mut Vec<Break>) {
    let mut ran: BTreeMap<CallId, Vec<&Attempt>> = BTreeMap::new();
    for attempt in ledger.attempts.iter().filter(|attempt| !attempt.never_ran) {
        ran.entry(attempt.call).or_default().push(attempt);
    }
    for (call, all) in ran {
        let once = ledger
            .requests
            .get(&call)
            .is_some_and(|request| request.effect == Effect::Once);
        if once && all.len() > 1 {
            let what = format!("{} came to {} servers", call_text(call), all.len());
            breaks.push(Break {
                rule: Rule::RanTwice,
                at: all[1].at,
                what,
            });
        }
    }
}

// ---- Routers

fn lives(ledger: &Ledger, terms: &Terms, end: Micros, breaks: &mut Vec<Break>) {
    for (router, lives) in &ledger.lives {
        for life in lives {
            let mut add = |rule, at, what: String| {
                breaks.push(Break {
                    rule,
                    at,
                    what: format!("router {}: {what}", router.0),
                });
            };
            let gone = life.killed.or(life.asked_to_end).unwrap_or(end);
            let stops = ledger.stopped_between(*router, life.started, gone);
            let ready_by = life.started + READY_WITHIN + stops;
            if life.ready.map_or(gone > ready_by, |ready| ready > ready_by) {
                add(
                    Rule::NotReady,
                    life.started,
                    "not ready in time".to_string(),
                );
            }
            if let Some(at) = life.killed_after_asked {
                add(
                    Rule::NotEnded,
                    at,
                    "did not end by itself after SIGTERM".to_string(),
                );
            }
            match (life.ended, life.killed, life.asked_to_end) {
                _ if life.killed_after_asked.is_some() => {}
                (Some((at, code)), None, None) => {
                    add(Rule::Crash, at, format!("ended by itself, code {code:?}"))
                }
                (Some((at, code)), None, Some(asked)) if code != Some(0) => {
                    add(
                        Rule::Crash,
                        at,
                        format!(
                            "ended with {code:?} {:.3} s after SIGTERM",
                            seconds(at - asked)
                        ),
                    );
                }
                (ended, None, Some(asked)) => {
                    let longest = terms.longest_deadline.min(KILL_LONGEST);
                    let by =
                        asked + longest + KILL_AFTER + ledger.stopped_between(*router, asked, end);
                    let late =
                        ended.map_or(end > by, |(at, _)| at > by + ledger.late_between(asked, at));
                    if late {
                        add(
                            Rule::NotEnded,
                            asked,
                            "did not end by itself after SIGTERM".to_string(),
                        );
                    }
                }
                _ => {}
            }
            if let [first, .., last] = life.descriptors.as_slice() {
                if last > &terms.descriptors || *last > 2 * first + 64 {
                    add(
                        Rule::Growth,
                        end,
                        format!("descriptors went from {first} to {last}"),
                    );
                }
            }
            if let [first, .., last] = life.resident.as_slice() {
                if *last > first + MEMORY_GROWTH {
                    add(
                        Rule::Growth,
                        end,
                        format!("memory went from {first} to {last} bytes"),
                    );
                }
            }
        }
    }
}

/// How many left, by how; for the summary.
pub fn leavings(ledger: &Ledger) -> BTreeMap<&'static str, usize> {
    let mut count = BTreeMap::new();
    for (_, how) in ledger.requests.values().filter_map(|request| request.left) {
        let name = match how {
            Leaving::Closed => "closed",
            Leaving::Reset => "reset",
            Leaving::Aborted => "aborted",
        };
        *count.entry(name).or_default() += 1;
    }
    count
}
