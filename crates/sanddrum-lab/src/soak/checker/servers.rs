//! Checks what was sent to model servers that are draining, are gone or have just started.

use super::{request_name, seconds, Rule, Violation};
use crate::soak::observations::{FeedFault, Observations, ServerId};
use crate::soak::settings::SoakSettings;
use sanddrum_net::Micros;

/// For events this soon after the start of an outage, the time until they are deemed delivered counts from that start.
/// For later events the platform's documentation can be read in two ways; the checker counts from the event, the
/// reading under which a router can keep the rule.
const OUTAGE_START_WINDOW: Micros = 1_500_000;
/// A router that the feed notifies of an event knows of it after this time.
const NOTIFICATION_DELAY: Micros = 300_000;
/// Exceeding the budget is a violation only if more than this fraction of the requests arrived when routers knew of
/// the server's start.
const INFORMED_FRACTION: f64 = 2.0 / 3.0;
/// Allowance for the latency of real sockets, added to every time limit of the rules.
const SOCKET_SLACK: Micros = 50_000;

/// Returns when an event at this time is deemed delivered, taking the feed's faults into account.
fn deemed_delivered_at(observations: &Observations, at: Micros) -> Micros {
    let is_affected =
        |fault: &&FeedFault| fault.span.from <= at + NOTIFICATION_DELAY && at <= fault.span.to;
    let faults = observations.feed_faults.iter().filter(is_affected);
    faults
        .map(|fault| {
            let began = fault.span.from;
            let is_outage_start = fault.is_outage && at <= began + OUTAGE_START_WINDOW;
            let counts_from = if is_outage_start {
                began
            } else {
                began.max(at)
            };
            counts_from + fault.deemed_delivered_after
        })
        .max()
        .unwrap_or(at)
}

pub(super) fn check_drains(
    observations: &Observations,
    settings: &SoakSettings,
    violations: &mut Vec<Violation>,
) {
    for drain in &observations.drains {
        let from = deemed_delivered_at(observations, drain.announced_at)
            + settings.drain_grace
            + SOCKET_SLACK;
        let arrivals = observations
            .attempts
            .iter()
            .filter(|a| a.server == drain.server && !a.arrival_unknown);
        for attempt in arrivals {
            let Some(request) = observations.requests.get(&attempt.request_id) else {
                continue;
            };
            // The first byte counts, which a router can't take back.
            let arrived = attempt.held_since.unwrap_or(attempt.at);
            let allowance = observations.lab_delay_between(drain.announced_at, arrived)
                + observations.stopped_between(request.router, drain.announced_at, arrived);
            let after = arrived - from - allowance;
            // A router that started after the announcement gets no allowance: its start configuration has the drain.
            if after > 0 {
                let detail = format!(
                    "{} at server {} {:.3} s after the drain grace period",
                    request_name(attempt.request_id),
                    drain.server.0,
                    seconds(after)
                );
                violations.push(Violation {
                    rule: Rule::Drain,
                    at: attempt.at,
                    detail,
                });
            }
        }
    }
}

/// Checks for load commands to a server whose drain has been announced.
pub(super) fn check_load_commands(
    observations: &Observations,
    settings: &SoakSettings,
    violations: &mut Vec<Violation>,
) {
    for drain in &observations.drains {
        let from = deemed_delivered_at(observations, drain.announced_at)
            + settings.drain_grace
            + SOCKET_SLACK;
        let longest_stop = observations
            .stops
            .values()
            .flatten()
            .map(|span| span.overlap(drain.announced_at, Micros::MAX))
            .max()
            .unwrap_or(0);
        let commands = observations.load_commands.iter();
        let late = commands.filter(|command| {
            // The sending router is not known, so the longest stop of any router is allowed for.
            let allowance =
                observations.lab_delay_between(drain.announced_at, command.at) + longest_stop;
            command.server == drain.server
                && !command.arrival_unknown
                && command.at > from + allowance
        });
        for command in late {
            let after = seconds(command.at - from);
            let detail = format!(
                "a load command at server {} {after:.3} s after the drain grace period",
                drain.server.0
            );
            violations.push(Violation {
                rule: Rule::Drain,
                at: command.at,
                detail,
            });
        }
    }
}

pub(super) fn check_slow_starts(
    observations: &Observations,
    settings: &SoakSettings,
    violations: &mut Vec<Violation>,
) {
    for start in observations.starts.iter().filter(|start| !start.before_run) {
        let informed_at = deemed_delivered_at(observations, start.at) + NOTIFICATION_DELAY;
        let mut arrivals = arrival_times(
            observations,
            start.server,
            start.at,
            start.at + settings.slow_start_duration,
        );
        arrivals.sort_unstable();
        let mut first = 0;
        for (n, at) in arrivals.iter().enumerate() {
            while arrivals[first] <= at - settings.slow_start_window {
                first += 1;
            }
            let count = n + 1 - first;
            let informed = arrivals[first..=n]
                .iter()
                .filter(|at| **at >= informed_at)
                .count();
            let budget = settings.slow_start_budget(start.size, at - start.at);
            if count as f64 > budget && informed as f64 > INFORMED_FRACTION * count as f64 {
                let age = seconds(at - start.at);
                let detail = format!(
                    "server {}, {age:.3} s after its start, got {count} requests with a budget of {budget:.0}",
                    start.server.0
                );
                violations.push(Violation {
                    rule: Rule::SlowStart,
                    at: *at,
                    detail,
                });
                break;
            }
        }
    }
}

fn arrival_times(
    observations: &Observations,
    server: ServerId,
    from: Micros,
    to: Micros,
) -> Vec<Micros> {
    let attempts = observations
        .attempts
        .iter()
        .filter(|a| a.server == server && a.at >= from && a.at <= to);
    attempts.map(|attempt| attempt.at).collect()
}
