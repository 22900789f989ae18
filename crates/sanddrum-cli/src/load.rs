//! `sanddrum lab load` and `lab measure`: load on an edge, and what an edge costs on this machine.

use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::{
    lines, measure, measure_limits, storm, Decides, LimitsResult, Line, LoadGenerator,
    LoadGeneratorSpec, LoadMeasurement, MeasureSpec, Measured, Policy, ReconnectLoad,
    ReconnectLoadSpec, Speaks,
};
use sanddrum_net::{EventLoop, NullObserver};
use serde_json::{json, Value};
use std::process::ExitCode;

#[derive(Args, Clone, Debug)]
pub struct LoadArgs {
    /// The edge's client door
    #[arg(long, default_value = "127.0.0.1:8080", value_name = "ADDRESS")]
    pub edge: String,
    pub workload: String,
    /// Called are this name and a number behind it
    pub function: String,
    #[arg(long, default_value_t = 1)]
    pub functions: usize,
    /// Calls a second, open loop; 0: as many as it takes
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    pub length: u32,
    #[arg(long, default_value_t = 64)]
    pub connections: usize,
    #[arg(long, default_value = "work-us=1000")]
    pub body: String,
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    #[arg(long)]
    pub json: bool,
}

pub fn load(args: &LoadArgs) -> ExitCode {
    let spec = LoadGeneratorSpec {
        edge: args.edge.clone(),
        workload: args.workload.clone(),
        function: args.function.clone(),
        functions: args.functions,
        connections: args.connections,
        rate: args.rate,
        length: i64::from(args.length) * 1_000_000,
        warm_up: 0,
        body: args.body.clone(),
        tokens: Vec::new(),
        name: None,
        fresh: false,
        reopens: false,
        seed: args.seed,
    };
    match hammer(spec) {
        Ok(seen) => {
            println!("{}", line(&seen));
            if args.json {
                println!("{}", figures(&seen));
            }
            ExitCode::from(if seen.finished > 0 {
                exit::GOOD
            } else {
                exit::BAD
            })
        }
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

fn hammer(spec: LoadGeneratorSpec) -> std::io::Result<LoadMeasurement> {
    let mut driver = EventLoop::new(Box::new(NullObserver))?;
    driver.catch_signals()?;
    let until = driver.now() + spec.length + 5_000_000;
    let hammer = LoadGenerator::new(spec);
    let seen = hammer.seen.clone();
    let host = driver.add(Box::new(hammer), vec![], None)?;
    while !driver.is_core_done(host) && driver.now() < until && !driver.shutdown_requested() {
        let next = driver.now() + 50_000;
        driver.run_until(next)?;
    }
    let seen = std::mem::replace(&mut *seen.borrow_mut(), LoadMeasurement::empty());
    Ok(seen)
}

fn line(h: &LoadMeasurement) -> String {
    let q = |q| h.quantile_us(q) as f64 / 1000.0;
    let (p50, p99, p999) = (q(0.5), q(0.99), q(0.999));
    let others: Vec<String> = h
        .others
        .iter()
        .map(|(status, n)| format!("{n} x {status}"))
        .collect();
    let others = if others.is_empty() {
        "none".into()
    } else {
        others.join(", ")
    };
    let rate = h.rate();
    format!("{rate:.0} calls/s finished; {p50:.3} ms (p50), {p99:.3} (p99), {p999:.3} (p999); others: {others}; dropped {}", h.dropped)
}

fn figures(h: &LoadMeasurement) -> Value {
    let others: Vec<Value> = h
        .others
        .iter()
        .map(|(status, n)| json!({"status": status, "calls": n}))
        .collect();
    json!({
        "finished": h.finished,
        "calls_per_s": h.rate().round(),
        "latency_us": {"p50": h.quantile_us(0.5), "p99": h.quantile_us(0.99), "p999": h.quantile_us(0.999)},
        "others": others,
        "dropped": h.dropped,
    })
}

#[derive(Args, Clone, Debug)]
pub struct MeasureArgs {
    /// Seconds of each run
    #[arg(long, default_value_t = 4, value_name = "SECONDS")]
    pub length: u32,
    /// Runs of each kind, taken in turn
    #[arg(long, default_value_t = 5)]
    pub runs: usize,
    /// Only this part: rate, tokens, flood, tls, door, bodies, fleet, idle, limits, storm
    #[arg(long)]
    pub part: Option<String>,
    /// Edges in the storm
    #[arg(long, value_delimiter = ',', default_values_t = [40, 150, 300])]
    pub edges: Vec<usize>,
    /// Workers in the storm
    #[arg(long, default_value_t = 100, value_name = "WORKERS")]
    pub storm_workers: usize,
    /// Calls a second in the storm
    #[arg(long, default_value_t = 1500, value_name = "CALLS")]
    pub storm_rate: usize,
    /// What a handshake takes a worker in the storm
    #[arg(long, default_value_t = 2, value_name = "MS")]
    pub handshake_ms: usize,
    /// Pictures go into this folder
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<std::path::PathBuf>,
}

pub fn run(args: &MeasureArgs) -> ExitCode {
    let wanted = |part: &str| args.part.as_deref().is_none_or(|only| only == part);
    let all = || -> Result<(), String> {
        if wanted("rate") {
            rate(args)?;
        }
        if wanted("tokens") {
            tokens(args)?;
        }
        if wanted("tls") {
            tls(args)?;
        }
        if wanted("flood") {
            flood(args)?;
        }
        if wanted("door") {
            door(args)?;
        }
        if wanted("bodies") {
            bodies(args)?;
        }
        if wanted("storm") {
            reconnecting(args)?;
        }
        if wanted("fleet") {
            fleet(args)?;
        }
        if wanted("idle") {
            idle(args)?;
        }
        if wanted("limits") {
            limits(args)?;
        }
        Ok(())
    };
    match all() {
        Ok(()) => ExitCode::from(exit::GOOD),
        Err(problem) => fail(exit::TROUBLE, problem),
    }
}

fn spec(args: &MeasureArgs, decides: Decides) -> MeasureSpec {
    let length = i64::from(args.length) * 1_000_000;
    MeasureSpec {
        decides,
        workers: 10,
        functions: 100,
        connections: 64,
        idle_clients: 0,
        rate: 0.0,
        length,
        warm_up: length / 4,
        tls: false,
        tokens: 0,
        door: Speaks::Plain,
        fresh: false,
        resumes: true,
        body_bytes: 0,
        flood: 0,
    }
}

/// Least, middle and most.
fn spread(mut figures: Vec<f64>) -> (f64, f64, f64) {
    figures.sort_by(f64::total_cmp);
    let at = |n: usize| figures.get(n).copied().unwrap_or(0.0);
    (
        at(0),
        at(figures.len() / 2),
        at(figures.len().saturating_sub(1)),
    )
}

fn told((least, middle, most): (f64, f64, f64)) -> String {
    format!("{middle:.2} ({least:.2} to {most:.2})")
}

/// The module beside a bare forwarder: calls a second when saturated, then latencies at half the module's rate.
fn rate(args: &MeasureArgs) -> Result<(), String> {
    let pairs = |rate: f64| -> Result<Vec<(Measured, Measured)>, String> {
        let one = |decides| {
            measure(&MeasureSpec {
                rate,
                ..spec(args, decides)
            })
        };
        (0..args.runs)
            .map(|_| Ok((one(Decides::Module)?, one(Decides::Forwarder)?)))
            .collect()
    };
    let saturated = pairs(0.0)?;
    println!(
        "saturated, 10 workers, 100 functions, 64 connections, {} runs in turn:",
        args.runs
    );
    let of = |figure: &dyn Fn(&(Measured, Measured)) -> f64| {
        spread(saturated.iter().map(figure).collect())
    };
    println!(
        "  calls a second, module         {}",
        told(of(&|(m, _)| m.load.rate()))
    );
    println!(
        "  calls a second, forwarder      {}",
        told(of(&|(_, f)| f.load.rate()))
    );
    println!(
        "  module over forwarder          {}",
        told(of(&|(m, f)| m.load.rate() / f.load.rate()))
    );
    println!(
        "  edge CPU a call, module (us)   {}",
        told(of(&|(m, _)| m.cpu_us_per_call))
    );
    println!(
        "  edge CPU a call, forwarder     {}",
        told(of(&|(_, f)| f.cpu_us_per_call))
    );
    let half = of(&|(m, _)| m.load.rate()).1 / 2.0;
    let open = pairs(half)?;
    println!(
        "open loop at half of that, {half:.0} calls a second, latency in ms from when each call was meant:"
    );
    for (name, q) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
        let of = |figure: &dyn Fn(&(Measured, Measured)) -> f64| {
            told(spread(open.iter().map(figure).collect()))
        };
        let (module, forwarder) = (
            of(&|(m, _)| m.load.quantile_us(q) as f64 / 1000.0),
            of(&|(_, f)| f.load.quantile_us(q) as f64 / 1000.0),
        );
        println!("  {name:5} module {module}, forwarder {forwarder}");
    }
    let others: u64 = open
        .iter()
        .flat_map(|(m, f)| m.load.others.values().chain(f.load.others.values()))
        .sum();
    println!("  answers that were not finished {others}");
    Ok(())
}

/// CPU a call as the fleet grows, at one rate.
fn fleet(args: &MeasureArgs) -> Result<(), String> {
    println!("edge CPU a call (us) at 2,000 calls a second:");
    for (workers, functions) in [
        (10, 100),
        (100, 100),
        (1000, 100),
        (10, 10_000),
        (100, 10_000),
        (1000, 10_000),
    ] {
        let one = |decides| {
            measure(&MeasureSpec {
                workers,
                functions,
                rate: 2000.0,
                ..spec(args, decides)
            })
        };
        let runs: Vec<(Measured, Measured)> = (0..args.runs)
            .map(|_| Ok((one(Decides::Module)?, one(Decides::Forwarder)?)))
            .collect::<Result<_, String>>()?;
        let module = told(spread(
            runs.iter().map(|(m, _)| m.cpu_us_per_call).collect(),
        ));
        let forwarder = told(spread(
            runs.iter().map(|(_, f)| f.cpu_us_per_call).collect(),
        ));
        let p99 = told(spread(
            runs.iter()
                .map(|(m, _)| m.load.quantile_us(0.99) as f64 / 1000.0)
                .collect(),
        ));
        println!("  {workers:5} workers {functions:6} functions: module {module}, forwarder {forwarder}; module's p99 {p99} ms");
    }
    Ok(())
}

/// This process's memory in MB; edge, workers and clients are all in it.
fn memory_mb() -> f64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|l| {
        l.trim()
            .split(' ')
            .next()
            .and_then(|kb| kb.parse::<f64>().ok())
    })
    .unwrap_or(0.0)
        / 1024.0
}

/// Thousands of clients that say nothing, and what they do to those that do.
fn idle(args: &MeasureArgs) -> Result<(), String> {
    for idle_clients in [0, 9_000] {
        let before = memory_mb();
        let m = measure(&MeasureSpec {
            idle_clients,
            rate: 2000.0,
            ..spec(args, Decides::Module)
        })?;
        let grown = memory_mb() - before;
        println!("{idle_clients} idle clients, 2,000 calls a second: {}; CPU a call {:.1} us; memory grown by {grown:.1} MB (both ends)", line(&m.load), m.cpu_us_per_call);
    }
    Ok(())
}

/// Customers' limits at many edges, decided by the product's module beside an even split and none, over several seeds.
fn limits(args: &MeasureArgs) -> Result<(), String> {
    println!(
        "customers' limits, {} seeds; parts are of what the customer asked or is limited to:",
        args.runs
    );
    for edges in [10, 100, 300] {
        let mut plotted = Vec::new();
        for policy in [Policy::Seen, Policy::Even, Policy::None] {
            let runs: Vec<LimitsResult> = (0..args.runs as u64)
                .map(|seed| measure_limits(edges, policy, seed))
                .collect();
            let of = |figure: &dyn Fn(&LimitsResult) -> f64| {
                told(spread(runs.iter().map(figure).collect()))
            };
            let moved: Vec<String> = (0..8)
                .map(|n| {
                    format!(
                        "{:.2}",
                        spread(runs.iter().map(|r| r.moved_over_limit[n]).collect()).1
                    )
                })
                .collect();
            let back = of(&|r| r.recovery_seconds.unwrap_or(f64::INFINITY));
            println!(
                "  {edges:3} edges, {policy:?}: honest beside a flood {}; limit spread {}, at one edge {}; moved, each second {}; lent share back after {back} s",
                of(&|r| r.honest_fraction), of(&|r| r.spread_over_limit), of(&|r| r.single_edge_over_limit), moved.join(" ")
            );
            let name = match policy {
                Policy::Seen => "as decided",
                Policy::Even => "an even split",
                Policy::None => continue,
            };
            let middle = |n: usize| spread(runs.iter().map(|r| r.moved_over_limit[n]).collect()).1;
            let points = (0..8)
                .map(|n| (n as f64 + 1.0, (middle(n) - 1.0).abs()))
                .collect();
            plotted.push(Line {
                name: name.into(),
                points,
            });
        }
        if let Some(folder) = &args.plots {
            let title = format!(
                "Error of a summed rate limit after its customer moved to another of {edges} edges"
            );
            lines(
                &folder.join(format!("limits-{edges}.svg")),
                &title,
                ("second", "part of the limit"),
                &plotted,
            )?;
        }
    }
    Ok(())
}

/// The same edge over TLS and in plain text, saturated and then at half the rate over TLS.
fn tls(args: &MeasureArgs) -> Result<(), String> {
    let pairs = |rate: f64| -> Result<Vec<(Measured, Measured)>, String> {
        let one = |tls| {
            measure(&MeasureSpec {
                tls,
                rate,
                ..spec(args, Decides::Module)
            })
        };
        (0..args.runs)
            .map(|_| Ok((one(true)?, one(false)?)))
            .collect()
    };
    let saturated = pairs(0.0)?;
    let of = |figure: &dyn Fn(&(Measured, Measured)) -> f64| {
        spread(saturated.iter().map(figure).collect())
    };
    println!(
        "TLS toward 10 workers beside plain text, {} runs in turn:",
        args.runs
    );
    println!(
        "  calls a second over plain      {}",
        told(of(&|(t, p)| t.load.rate() / p.load.rate()))
    );
    println!(
        "  edge CPU a call over plain     {}",
        told(of(&|(t, p)| t.cpu_us_per_call / p.cpu_us_per_call))
    );
    let half = of(&|(t, _)| t.load.rate()).1 / 2.0;
    let open = pairs(half)?;
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let of = |figure: &dyn Fn(&(Measured, Measured)) -> f64| {
            told(spread(open.iter().map(figure).collect()))
        };
        let (over, plain) = (
            of(&|(t, _)| t.load.quantile_us(q) as f64 / 1000.0),
            of(&|(_, p)| p.load.quantile_us(q) as f64 / 1000.0),
        );
        println!("  {name} at {half:.0} calls a second: TLS {over} ms, plain {plain} ms");
    }
    Ok(())
}

/// Calls without a token, with one that is remembered, and with a new one each time.
fn tokens(args: &MeasureArgs) -> Result<(), String> {
    // More new tokens than calls can be made in a run.
    let new = args.length as usize * 80_000;
    let one = |tokens| {
        measure(&MeasureSpec {
            tokens,
            ..spec(args, Decides::Module)
        })
    };
    let runs: Vec<[Measured; 3]> = (0..args.runs)
        .map(|_| Ok([one(0)?, one(1)?, one(new)?]))
        .collect::<Result<_, String>>()?;
    println!(
        "tokens, saturated, {} runs in turn, over calls without one:",
        args.runs
    );
    for (n, name) in [(1, "a remembered token"), (2, "a new token each call")] {
        let rate = spread(
            runs.iter()
                .map(|r| r[n].load.rate() / r[0].load.rate())
                .collect(),
        );
        let cpu = spread(
            runs.iter()
                .map(|r| r[n].cpu_us_per_call - r[0].cpu_us_per_call)
                .collect(),
        );
        println!(
            "  {name:22} calls a second {}, edge CPU a call {} us more",
            told(rate),
            told(cpu)
        );
    }
    for (n, name) in ["no token", "a remembered token", "a new token each call"]
        .iter()
        .enumerate()
    {
        let mut others: std::collections::BTreeMap<u16, u64> = std::collections::BTreeMap::new();
        let each = runs.iter().flat_map(|r| &r[n].load.others);
        each.for_each(|(status, count)| *others.entry(*status).or_default() += count);
        let finished: u64 = runs.iter().map(|r| r[n].load.finished).sum();
        println!("  {name}: finished {finished}, others by status {others:?}");
    }
    Ok(())
}

/// What a call costs by what its client speaks and whether the connection, or its session, is kept.
fn door(args: &MeasureArgs) -> Result<(), String> {
    use Speaks::{Certificate, Plain, Tls};
    let kinds = [
        ("plain, kept", Plain, false, true),
        ("plain, a connection a call", Plain, true, true),
        ("TLS, kept", Tls, false, true),
        ("TLS, a full handshake a call", Tls, true, false),
        ("TLS, a resumed one a call", Tls, true, true),
        ("certificate, kept", Certificate, false, true),
        ("certificate, full a call", Certificate, true, false),
        ("certificate, resumed a call", Certificate, true, true),
    ];
    let one = |(_, door, fresh, resumes): (&str, Speaks, bool, bool)| {
        measure(&MeasureSpec {
            door,
            fresh,
            resumes,
            connections: 16,
            ..spec(args, Decides::Module)
        })
    };
    let runs: Vec<Vec<Measured>> = (0..args.runs)
        .map(|_| kinds.iter().map(|kind| one(*kind)).collect())
        .collect::<Result<_, String>>()?;
    println!(
        "the client door, saturated, 16 connections, {} runs in turn, over plain and kept:",
        args.runs
    );
    for (n, (name, ..)) in kinds.iter().enumerate() {
        let rate = told(spread(
            runs.iter()
                .map(|r| r[n].load.rate() / r[0].load.rate())
                .collect(),
        ));
        let cpu = told(spread(
            runs.iter()
                .map(|r| r[n].cpu_us_per_call - r[0].cpu_us_per_call)
                .collect(),
        ));
        let p50 = told(spread(
            runs.iter()
                .map(|r| r[n].load.quantile_us(0.5) as f64 / 1000.0)
                .collect(),
        ));
        let others: u64 = runs.iter().flat_map(|r| r[n].load.others.values()).sum();
        println!(
            "  {name:30} calls a second {rate}, edge CPU a call {cpu} us more, p50 {p50} ms, others {others}"
        );
    }
    Ok(())
}

/// What large bodies cost the edge, plain and over TLS on both sides.
fn bodies(args: &MeasureArgs) -> Result<(), String> {
    let body_bytes = 1 << 20;
    let one = |door, tls| {
        measure(&MeasureSpec {
            door,
            tls,
            body_bytes,
            connections: 4,
            ..spec(args, Decides::Module)
        })
    };
    let runs: Vec<[Measured; 2]> = (0..args.runs)
        .map(|_| Ok([one(Speaks::Plain, false)?, one(Speaks::Tls, true)?]))
        .collect::<Result<_, String>>()?;
    println!(
        "bodies of 1 MB, saturated, 4 connections, {} runs in turn:",
        args.runs
    );
    for (n, name) in ["plain on both sides", "TLS on both sides"]
        .iter()
        .enumerate()
    {
        let each = |r: &[Measured; 2]| r[n].cpu_us_per_call * 1000.0 / f64::from(body_bytes as u32);
        let each = told(spread(runs.iter().map(each).collect()));
        let finished: u64 = runs.iter().map(|r| r[n].load.finished).sum();
        let others: u64 = runs.iter().flat_map(|r| r[n].load.others.values()).sum();
        println!(
            "  {name:20} edge CPU {each} ns a byte of finished calls; finished {finished}, others {others}"
        );
    }
    Ok(())
}

/// Honest callers beside somebody who sends tokens with bad signatures as fast as they are refused.
fn flood(args: &MeasureArgs) -> Result<(), String> {
    let one = |flood| {
        measure(&MeasureSpec {
            flood,
            rate: 2000.0,
            tokens: 20,
            ..spec(args, Decides::Module)
        })
    };
    let runs: Vec<[Measured; 3]> = (0..args.runs)
        .map(|_| Ok([one(0)?, one(8)?, one(64)?]))
        .collect::<Result<_, String>>()?;
    println!(
        "2,000 honest calls a second with 20 tokens, {} runs in turn:",
        args.runs
    );
    for (n, name) in [
        "no flood",
        "8 connections of bad tokens",
        "64 connections of bad tokens",
    ]
    .iter()
    .enumerate()
    {
        let q = |q: f64| {
            told(spread(
                runs.iter()
                    .map(|r| r[n].load.quantile_us(q) as f64 / 1000.0)
                    .collect(),
            ))
        };
        let part = told(spread(
            runs.iter()
                .map(|r| {
                    r[n].load.finished as f64
                        / (r[n].load.finished + r[n].load.others.values().sum::<u64>()) as f64
                })
                .collect(),
        ));
        println!(
            "  {name:30} finished {part}, p50 {} ms, p99 {} ms",
            q(0.5),
            q(0.99)
        );
    }
    Ok(())
}

/// A zone back cold with every edge reconnecting, as decided and on demand.
fn reconnecting(args: &MeasureArgs) -> Result<(), String> {
    println!(
        "a third of {} workers back cold and all else torn at once, TLS, {} calls a second, handshakes of {} ms, virtual, {} seeds:",
        args.storm_workers, args.storm_rate, args.handshake_ms, args.runs
    );
    for edges in args.edges.iter().copied() {
        let mut plotted = Vec::new();
        for on_demand in [false, true] {
            let spec = ReconnectLoadSpec {
                edges,
                workers: args.storm_workers,
                rate: args.storm_rate,
                handshake_ms: args.handshake_ms,
                on_demand,
                seed: 0,
            };
            let specs = (1..=args.runs as u64).map(|seed| ReconnectLoadSpec { seed, ..spec });
            // Each in a thread of its own, as many as there are processors.
            let threads: Vec<_> = specs
                .map(|spec| std::thread::spawn(move || storm(&spec)))
                .collect();
            let mut runs: Vec<ReconnectLoad> = Vec::new();
            for thread in threads {
                runs.push(
                    thread
                        .join()
                        .map_err(|_| "a thread panicked")?
                        .map_err(|e| e.to_string())?,
                );
            }
            let of = |figure: &dyn Fn(&ReconnectLoad) -> f64| {
                told(spread(runs.iter().map(figure).collect()))
            };
            let name = if on_demand { "on demand" } else { "as decided" };
            println!(
                "  {edges:3} edges, {name:10}: service {}, calm after {} s, worst worker {} handshakes a second, all {}, p99 {} ms, rules broken {}",
                of(&|r| r.service), of(&|r| r.calm), of(&|r| f64::from(r.worst)), of(&|r| f64::from(r.handshakes)), of(&|r| r.p99_ms), of(&|r| r.broken as f64)
            );
            let mean = |n: usize| {
                runs.iter()
                    .map(|r| r.seconds.get(n).copied().unwrap_or(0.0))
                    .sum::<f64>()
                    / runs.len() as f64
            };
            plotted.push(Line {
                name: name.into(),
                points: (0..24).map(|n| (n as f64, mean(n))).collect(),
            });
        }
        if let Some(folder) = &args.plots {
            let title =
                format!("Service a second, {edges} edges; a zone lost at 6 s, back cold at 9 s");
            lines(
                &folder.join(format!("storm-{edges}.svg")),
                &title,
                ("second", "calls in time"),
                &plotted,
            )?;
        }
    }
    Ok(())
}
