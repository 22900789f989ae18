//! What came to model servers that drain, are gone or have just started.

use super::{call_text, seconds, Break, Rule};
use crate::soak::ledger::{FeedTrouble, Ledger, ServerId};
use crate::soak::settings::Terms;
use sanddrum_net::Micros;

/// What the feed would have told so soon after an outage began counts as told by when that began. For later events the pages
/// can be read in two ways; the judge takes the one by which a router can keep the rule: as long after the event.
const AT_THE_BEGIN: Micros = 1_500_000;
/// So long after an event a router that is told of it has heard of it.
const NOTICE: Micros = 300_000;
/// The part of a fallen server's calls that has to come from routers that knew of the start.
const FROM_TOLD: f64 = 2.0 / 3.0;
/// Every time limit of the rules is so much longer on sockets.
const ON_SOCKETS: Micros = 50_000;

/// When what the feed tells at an instant counts as told, where it is troubled.
fn told_by(ledger: &Ledger, at: Micros) -> Micros {
    let troubled =
        |trouble: &&FeedTrouble| trouble.span.from <= at + NOTICE && at <= trouble.span.to;
    let troubles = ledger.feed_troubles.iter().filter(troubled);
    troubles
        .map(|trouble| {
            let began = trouble.span.from;
            let is_at_its_begin = trouble.is_outage && at <= began + AT_THE_BEGIN;
            let counts_from = if is_at_its_begin {
                began
            } else {
                began.max(at)
            };
            counts_from + trouble.told_after
        })
        .max()
        .unwrap_or(at)
}

pub(super) fn drains(ledger: &Ledger, terms: &Terms, breaks: &mut Vec<Break>) {
    for drain in &ledger.drains {
        let from = told_by(ledger, drain.told) + terms.grace + ON_SOCKETS;
        let late = ledger
            .attempts
            .iter()
            .filter(|a| a.server == drain.server && !a.arrival_unknown);
        for attempt in late {
            let Some(request) = ledger.requests.get(&attempt.call) else {
                continue;
            };
            let excused = ledger.late_between(drain.told, attempt.at)
                + ledger.stopped_between(request.router, drain.told, attempt.at);
            let after = attempt.at - from - excused;
            // A router that was started since knows of it from its configuration.
            if after > 0 {
                let what = format!(
                    "{} at server {} {:.3} s after the grace",
                    call_text(attempt.call),
                    drain.server.0,
                    seconds(after)
                );
                breaks.push(Break {
                    rule: Rule::Drain,
                    at: attempt.at,
                    what,
                });
            }
        }
    }
}

/// Load commands to a server that is to get nothing more.
pub(super) fn drained_loads(ledger: &Ledger, terms: &Terms, breaks: &mut Vec<Break>) {
    for drain in &ledger.drains {
        let from = told_by(ledger, drain.told) + terms.grace + ON_SOCKETS;
        let longest_stop = ledger
            .stops
            .values()
            .flatten()
            .map(|span| span.within(drain.told, Micros::MAX))
            .max()
            .unwrap_or(0);
        let commands = ledger.load_commands.iter();
        let late = commands.filter(|command| {
            // Which router it came from is not seen: none may have been stopped for so long.
            let excused = ledger.late_between(drain.told, command.at) + longest_stop;
            command.server == drain.server
                && !command.arrival_unknown
                && command.at > from + excused
        });
        for command in late {
            let after = seconds(command.at - from);
            let what = format!(
                "a load command at server {} {after:.3} s after the grace",
                drain.server.0
            );
            breaks.push(Break {
                rule: Rule::Drain,
                at: command.at,
                what,
            });
        }
    }
}

pub(super) fn slow_starts(ledger: &Ledger, terms: &Terms, breaks: &mut Vec<Break>) {
    for start in ledger.starts.iter().filter(|start| !start.long_ago) {
        let told = told_by(ledger, start.at) + NOTICE;
        let mut came = arrivals(ledger, start.server, start.at, start.at + terms.cold);
        came.sort_unstable();
        let mut first = 0;
        for (n, at) in came.iter().enumerate() {
            while came[first] <= at - terms.fall {
                first += 1;
            }
            let count = n + 1 - first;
            let knew = came[first..=n].iter().filter(|at| **at >= told).count();
            let budget = terms.slow_start_budget(start.size, at - start.at);
            if count as f64 > budget && knew as f64 > FROM_TOLD * count as f64 {
                let age = seconds(at - start.at);
                let what = format!(
                    "server {}, {age:.3} s old, got {count} where {budget:.0} are borne",
                    start.server.0
                );
                breaks.push(Break {
                    rule: Rule::SlowStart,
                    at: *at,
                    what,
                });
                break;
            }
        }
    }
}

fn arrivals(ledger: &Ledger, server: ServerId, from: Micros, to: Micros) -> Vec<Micros> {
    let there = ledger
        .attempts
        .iter()
        .filter(|a| a.server == server && a.at >= from && a.at <= to);
    there.map(|attempt| attempt.at).collect()
}
