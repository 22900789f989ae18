//! Checks the observations of a soak run against the platform's rules and the operators' stricter limits. The only
//! exceptions are those that the platform's documentation makes, and times in which the lab itself was late.

mod attempts;
mod servers;

use super::observations::{expected_response_body, Abandonment, Observations, Request, RequestId};
use super::settings::SoakSettings;
use attempts::{check_attempts, check_executions, check_overlaps};
use sanddrum_net::Micros;
use servers::{check_drains, check_load_commands, check_slow_starts};
use std::collections::BTreeMap;
use std::fmt;

/// A rule that a run may violate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// A request got no final response in time, or its connection was closed without one.
    Lost,
    /// A request got more than one final response.
    AnsweredTwice,
    /// A response can't be parsed, or its body is not the one that a server produces for the request.
    Spoilt,
    /// A request that may be executed only once may have been executed twice.
    RanTwice,
    /// Two attempts of a request were out at once where that is not allowed.
    TwoAtOnce,
    /// An attempt was read more than 50 ms after the final response.
    AfterAnswer,
    /// An attempt arrived more than 0.1 s after its client had abandoned the request.
    AfterLeaving,
    /// The deadline passed on to a server exceeded the client's remaining time by more than the slack.
    Deadline,
    /// A server received a new request or load command after the grace period of its drain.
    Drain,
    /// A server in slow start received more requests than its budget.
    SlowStart,
    /// A server received a request that no client had sent.
    Foreign,
    /// A malformed request was answered with status 200.
    BadClient,
    /// A router was not ready in time.
    NotReady,
    /// A router did not exit in time after SIGTERM.
    NotEnded,
    /// A router exited without a signal from the lab, or with an error after SIGTERM.
    Crash,
    /// A router's descriptors or memory grew over the run.
    Growth,
}

impl Rule {
    pub fn name(self) -> &'static str {
        match self {
            Rule::Lost => "lost",
            Rule::AnsweredTwice => "answered-twice",
            Rule::Spoilt => "spoilt",
            Rule::RanTwice => "ran-twice",
            Rule::TwoAtOnce => "two-at-once",
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

/// A violation of a rule, with the observations that show it.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    pub rule: Rule,
    pub at: Micros,
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} at {:.3} s: {}",
            self.rule.name(),
            self.at as f64 / 1e6,
            self.detail
        )
    }
}

/// A request counts as lost if its response is later than its time limit by more than this.
const RESPONSE_SLACK: Micros = 500_000;
/// A client resends a request if its idle connection is closed within this time of sending it.
const CLOSE_RACE_WINDOW: Micros = 50_000;
/// A router may close a connection, even a new one, that has been idle for this long.
const IDLE_CONNECTION_AFTER: Micros = 1_000_000;
/// This long after SIGTERM a router starts to close its clients' connections; requests received before then must all
/// get a response.
const CLOSES_AFTER_SIGTERM: Micros = 700_000;
/// After SIGTERM a router must exit within the longest deadline, capped at `KILL_DEADLINE_CAP`, plus `KILL_MARGIN`. The
/// lab sends SIGKILL no sooner.
const KILL_DEADLINE_CAP: Micros = 3_000_000;
const KILL_MARGIN: Micros = 700_000;
/// A started router must be ready within this time.
const READY_WITHIN: Micros = 10_000_000;
/// Resident memory may grow by this many bytes over the last two thirds of a run.
const MAX_MEMORY_GROWTH: u64 = 12 << 20;

/// Returns all violations of a run, ordered by time.
pub fn check(observations: &Observations, settings: &SoakSettings, end: Micros) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_requests(observations, end, &mut violations);
    check_attempts(observations, settings, &mut violations);
    check_executions(observations, &mut violations);
    if !settings.allows_copies {
        check_overlaps(observations, end, &mut violations);
    }
    check_drains(observations, settings, &mut violations);
    check_load_commands(observations, settings, &mut violations);
    check_slow_starts(observations, settings, &mut violations);
    check_incarnations(observations, settings, end, &mut violations);
    violations.sort_by_key(|violation| (violation.at, violation.rule));
    violations
}

fn request_name(id: RequestId) -> String {
    format!("request {:016x}", id.0)
}

// ---- Clients

fn check_requests(observations: &Observations, end: Micros, violations: &mut Vec<Violation>) {
    let mut add = |rule, at, detail: String| violations.push(Violation { rule, at, detail });
    for (id, request) in &observations.requests {
        let name = request_name(*id);
        if request.malformed {
            add(
                Rule::Spoilt,
                request.sent,
                format!("{name}: the response could not be parsed"),
            );
        }
        if request.responses.len() > 1 {
            add(
                Rule::AnsweredTwice,
                request.responses[1].at,
                format!("{name}: {} responses", request.responses.len()),
            );
        }
        if let Some(response) = request
            .responses
            .first()
            .filter(|response| response.status == 200)
        {
            let expected_body =
                expected_response_body(*id, &super::observations::request_body(*id));
            if response.body != expected_body {
                add(
                    Rule::Spoilt,
                    response.at,
                    format!("{name}: the response body is not the one that a server produces"),
                );
            }
        }
        if let Some(reason) = lost_reason(observations, request, end) {
            add(
                Rule::Lost,
                request.sent,
                format!("{name} to router {}: {reason}", request.router.0),
            );
        }
    }
    if observations.foreign_attempts > 0 {
        add(
            Rule::Foreign,
            0,
            format!(
                "{} attempts with an unknown request id",
                observations.foreign_attempts
            ),
        );
    }
    if observations.malformed_requests_served > 0 {
        add(
            Rule::BadClient,
            0,
            format!(
                "{} malformed requests answered with status 200",
                observations.malformed_requests_served
            ),
        );
    }
}

/// Returns why a request counts as lost, or `None` if it doesn't.
fn lost_reason(observations: &Observations, request: &Request, end: Micros) -> Option<String> {
    if request.abandoned.is_some() || !must_be_answered(observations, request) {
        return None;
    }
    let stops = observations.stopped_between(request.router, request.sent, end);
    let latest = request.sent + request.time_limit + RESPONSE_SLACK + stops;
    if let Some(response) = request.responses.first() {
        let late = response.at - latest - observations.lab_delay_between(request.sent, response.at);
        return (late > 0).then(|| format!("answered {:.3} s too late", late as f64 / 1e6));
    }
    if let Some(closed) = request.closed_unanswered {
        let was_idle = request.idle_before >= IDLE_CONNECTION_AFTER
            || may_close_for_shutdown(observations, request);
        let close_race = was_idle && closed - request.sent <= CLOSE_RACE_WINDOW;
        let after = (closed - request.sent) as f64 / 1e6;
        return (!close_race)
            .then(|| format!("its connection was closed without a response after {after:.3} s"));
    }
    let exited = observations
        .incarnation_at(request.router, request.sent)
        .and_then(|incarnation| incarnation.exited);
    if let Some((at, _)) = exited.filter(|(at, _)| *at < latest) {
        let close_race =
            may_close_for_shutdown(observations, request) && at - request.sent <= CLOSE_RACE_WINDOW;
        return (!close_race).then(|| "its router exited without a response".to_string());
    }
    (end > latest + observations.lab_delay_between(request.sent, end))
        .then(|| "no response".to_string())
}

/// Returns whether a request was sent so long after SIGTERM that its router may close a connection without open
/// requests, even a recently used one: by then clients send requests only on connections that are already open.
fn may_close_for_shutdown(observations: &Observations, request: &Request) -> bool {
    let incarnation = observations.incarnation_at(request.router, request.sent);
    incarnation
        .and_then(|incarnation| incarnation.sigterm_sent)
        .is_some_and(|at| request.sent > at + CLOSES_AFTER_SIGTERM)
}

/// Returns whether a request must be answered by its router. This is not required if the lab killed the router as an
/// injected fault, or if the router had exited before the request was sent.
fn must_be_answered(observations: &Observations, request: &Request) -> bool {
    let Some(incarnation) = observations.incarnation_at(request.router, request.sent) else {
        return false;
    };
    let killed = incarnation.killed.is_some();
    let exited_before = incarnation.exited.is_some_and(|(at, _)| at < request.sent);
    !(killed || exited_before)
}

fn seconds(span: Micros) -> f64 {
    span as f64 / 1e6
}

// ---- Routers

fn check_incarnations(
    observations: &Observations,
    settings: &SoakSettings,
    end: Micros,
    violations: &mut Vec<Violation>,
) {
    for (router, incarnations) in &observations.incarnations {
        for incarnation in incarnations {
            let mut add = |rule, at, detail: String| {
                violations.push(Violation {
                    rule,
                    at,
                    detail: format!("router {}: {detail}", router.0),
                });
            };
            let until = incarnation
                .killed
                .or(incarnation.sigterm_sent)
                .unwrap_or(end);
            let stops = observations.stopped_between(*router, incarnation.started, until);
            let ready_by = incarnation.started + READY_WITHIN + stops;
            if incarnation
                .ready
                .map_or(until > ready_by, |ready| ready > ready_by)
            {
                add(
                    Rule::NotReady,
                    incarnation.started,
                    "not ready in time".to_string(),
                );
            }
            if let Some(at) = incarnation.killed_after_sigterm {
                add(
                    Rule::NotEnded,
                    at,
                    "did not exit in time after SIGTERM".to_string(),
                );
            }
            match (
                incarnation.exited,
                incarnation.killed,
                incarnation.sigterm_sent,
            ) {
                _ if incarnation.killed_after_sigterm.is_some() => {}
                (Some((at, code)), None, None) => add(
                    Rule::Crash,
                    at,
                    format!("exited without a signal from the lab, code {code:?}"),
                ),
                (Some((at, code)), None, Some(sigterm)) if code != Some(0) => {
                    add(
                        Rule::Crash,
                        at,
                        format!(
                            "exited with code {code:?} {:.3} s after SIGTERM",
                            seconds(at - sigterm)
                        ),
                    );
                }
                (exited, None, Some(sigterm)) => {
                    let max_deadline = settings.max_deadline.min(KILL_DEADLINE_CAP);
                    let by = sigterm
                        + max_deadline
                        + KILL_MARGIN
                        + observations.stopped_between(*router, sigterm, end);
                    let late = exited.map_or(end > by, |(at, _)| {
                        at > by + observations.lab_delay_between(sigterm, at)
                    });
                    if late {
                        add(
                            Rule::NotEnded,
                            sigterm,
                            "did not exit in time after SIGTERM".to_string(),
                        );
                    }
                }
                _ => {}
            }
            if let [first, .., last] = incarnation.descriptors.as_slice() {
                if last > &settings.max_descriptors || *last > 2 * first + 64 {
                    add(
                        Rule::Growth,
                        end,
                        format!("descriptors went from {first} to {last}"),
                    );
                }
            }
            if let [first, .., last] = incarnation.resident_bytes.as_slice() {
                if *last > first + MAX_MEMORY_GROWTH {
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

/// Counts abandoned requests by the way they were abandoned, for the summary.
pub fn count_abandoned(observations: &Observations) -> BTreeMap<&'static str, usize> {
    let mut count = BTreeMap::new();
    for (_, how) in observations
        .requests
        .values()
        .filter_map(|request| request.abandoned)
    {
        let name = match how {
            Abandonment::Closed => "closed",
            Abandonment::Reset => "reset",
            Abandonment::Aborted => "aborted",
        };
        *count.entry(name).or_default() += 1;
    }
    count
}
