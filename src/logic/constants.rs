//! Every figure that the decisions rest on: ratios to settings, each with its reason.

use crate::Micros;

/// A sweep takes up what waits this often in the tightest start target.
pub(super) const SWEEPS_A_TARGET: Micros = 20;
/// A worker answers an ask or a probe, which never waits for work, well within this part of that target.
pub(super) const ASKS_A_TARGET: Micros = 10;
/// Before anything is learned, work takes this part of the start target and a load the whole of it.
pub(super) const GUESS_OF_TARGET: f64 = 0.25;
/// Weight of the newest figure in a running mean: about the last ten count.
pub(super) const NEWEST: f64 = 0.2;
/// Silence is looked into once an answer is this many times later than expected.
pub(super) const SILENCE: f64 = 2.0;
/// A worker this many times slower than the middle one counts as slow and comes last.
pub(super) const SLOW: f64 = 2.5;
/// The pace seen at a worker, or of loads, is forgotten at this rate, so that a slow one is tried again.
pub(super) const PACE_FADES_US: f64 = 2e6;
/// A worker's report is forgotten at this rate: of hundreds of routers each hears it every ten seconds or so.
pub(super) const REPORT_FADES_US: f64 = 1e7;
/// A cold worker gets this part of what it would bear in proportion; the rest is for bursts and chance.
pub(super) const COLD_CAUTION: f64 = 0.7;
/// A function is asked for again after this part of the keep-alive, as copies come and go no faster.
pub(super) const ASKS_A_KEEP: Micros = 4;
/// What an answer to an ask says may already be half way to lapsing.
pub(super) const ASKED_COPY_LASTS: Micros = 2;
/// Workers, or loads, count as pressed once they take this many times what they take when calm.
pub(super) const PRESSED: f64 = 1.5;
/// Loads under way at the middle worker from which on they wait for each other: few run at a time.
pub(super) const LOADS_WAIT: f64 = 2.0;
/// A worker this far from calm holds more than it has cores for, and copies for each of them.
pub(super) const CROWDED: f64 = 2.0;
/// Workers count as pressed, too, once this part of what the middle one reports waits or its cores are busy.
pub(super) const WAITING: f64 = 0.4;
/// Reports of workers by which pressure is judged at least: of fewer, one crowded worker would tell too much.
pub(super) const FEW_REPORTS: f64 = 5.0;
/// Cores busy for more than this part leave jobs waiting.
pub(super) const BUSY: f64 = 0.95;
/// A late answer cuts the part of jobs taken while pressed by this part, a first full one by twice that.
pub(super) const LATE_CUT: f64 = 0.1;
/// An answer in time raises it by so much, five times where nothing waits any more. Not by a part of itself,
/// or nothing would draw the marks of many routers together.
pub(super) const RISE: f64 = LATE_CUT / 10.0;
/// Never less is taken than this, so that something comes back by which it can rise again.
pub(super) const LEAST_TAKEN: f64 = 0.01;
/// What a job in time earns of a further execution for jobs that were turned away.
pub(super) const EARNS_FURTHER: f64 = 0.1;
/// What a job in time earns of an ask, and an ask that finds a copy: together no more asks than jobs in time.
pub(super) const EARNS_ASK: f64 = 0.5;
/// A worker that holds this many times what the middle one holds has more than its part.
pub(super) const UNEVEN: f64 = 1.5;
/// One answer counts for no more than this pace: a job that was itself long tells little of its worker.
pub(super) const MOST_PACE: f64 = 10.0;
/// A job is in time if this many times its expected time fits: times scatter about as widely as their mean.
pub(super) const IN_TIME: f64 = 2.0;
/// Jobs in flight that a worker is trusted with before anything is seen of it, from all routers together.
pub(super) const FIRST_LIMIT: f64 = 24.0;
/// What a full set of jobs in time adds to a limit; less than one, as the other routers add to theirs, too.
pub(super) const GROWS: f64 = 0.25;
/// Jobs that earn less than the mean for their work fill this part of a worker's limit.
pub(super) const CHEAP_SHARE: f64 = 0.6;
/// What is left of a worker's limit once answers from it are too slow for their start targets.
pub(super) const CUT: f64 = 0.8;
/// What jobs take when calm is the least mean seen; it is let rise this slowly, should the work change.
pub(super) const CALM_RISES_US: f64 = 3e7;
/// Copies are renewed at this part of their life.
pub(super) const RENEW_AT: f64 = 0.8;
/// A function gets so many homes that each bears this part of a mean worker's load from it; half of it where
/// a home wrongly presumed warm costs a miss and not a load.
pub(super) const HOME_PART: f64 = 0.5;
/// Homes looked at for a job, and as many spares beyond them: a few draws find the emptier ones nearly as
/// well as a look at all. A function with more than both is decided in parts, each with homes of its own.
pub(super) const HOMES: usize = 4;
/// They are looked for among this many times as many workers: more where half of them may not be called.
pub(super) const LOOKS: usize = 4;
/// Copies looked at for a job: those of all homes and of their spares, each told twice at the most.
pub(super) const COPIES: usize = 4 * HOMES;
/// Workers, of those heard of last, by which the middle one is told.
pub(super) const HEARD_LAST: usize = 128;
/// Homes of any function: with one, chance alone makes some workers home to far more work than others.
pub(super) const FEW_HOMES: usize = 2;
/// Errors in a row that count, each of which doubles the time for which a worker is left alone.
pub(super) const MOST_FAILURES: u32 = 6;
/// A failed call for the list is made again within this part of the time after which a router counts as told.
pub(super) const CALLS_AN_ASK: Micros = 4;
/// A function not called for this many keep-alives is forgotten.
pub(super) const FORGET_KEEPS: Micros = 4;
