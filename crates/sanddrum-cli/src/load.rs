//! `sanddrum lab load` and `lab measure`: generates load on an edge, and measures what an edge costs on this machine.

use crate::{exit, fail};
use clap::Args;
use sanddrum_lab::{
    measure_edge, measure_limits, run_reconnect_load, write_line_chart, ClientProtocol, Dispatcher,
    EdgeMeasurement, LimitsResult, LoadGenerator, LoadGeneratorSpec, LoadMeasurement, MeasureSpec,
    Policy, ReconnectLoad, ReconnectLoadSpec, Series,
};
use sanddrum_net::{EventLoop, NullObserver};
use serde_json::{json, Value};
use std::process::ExitCode;

#[derive(Args, Clone, Debug)]
pub struct LoadArgs {
    /// Address of the edge's client listener
    #[arg(long, default_value = "127.0.0.1:8080", value_name = "ADDRESS")]
    pub edge: String,
    /// Workload of the functions
    pub workload: String,
    /// Prefix of the function names, which is followed by a number
    pub function: String,
    /// Number of functions
    #[arg(long, default_value_t = 1)]
    pub functions: usize,
    /// Requests per second, open loop; 0: as many as the edge serves, one at a time on each connection
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Length of the run in seconds
    #[arg(long, default_value_t = 10, value_name = "SECONDS")]
    pub length: u32,
    /// Number of client connections
    #[arg(long, default_value_t = 64)]
    pub connections: usize,
    /// Request body; with work-us=N, an emulated worker works on the request for N microseconds
    #[arg(long, default_value = "work-us=1000")]
    pub body: String,
    /// Seed of the random choices
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Print the results as a JSON object as well
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
        duration: i64::from(args.length) * 1_000_000,
        warm_up: 0,
        body: args.body.clone(),
        tokens: Vec::new(),
        tls_name: None,
        connection_per_request: false,
        reopen_closed: false,
        seed: args.seed,
    };
    match generate_load(spec) {
        Ok(measurement) => {
            println!("{}", summary_line(&measurement));
            if args.json {
                println!("{}", summary_json(&measurement));
            }
            ExitCode::from(if measurement.finished > 0 {
                exit::SUCCESS
            } else {
                exit::CHECK_FAILED
            })
        }
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

fn generate_load(spec: LoadGeneratorSpec) -> std::io::Result<LoadMeasurement> {
    let mut driver = EventLoop::new(Box::new(NullObserver))?;
    driver.catch_signals()?;
    let until = driver.now() + spec.duration + 5_000_000;
    let generator = LoadGenerator::new(spec);
    let measurement = generator.measurement.clone();
    let host = driver.add(Box::new(generator), vec![], None)?;
    while !driver.is_core_done(host) && driver.now() < until && !driver.shutdown_requested() {
        let next = driver.now() + 50_000;
        driver.run_until(next)?;
    }
    let measurement = std::mem::replace(&mut *measurement.borrow_mut(), LoadMeasurement::empty());
    Ok(measurement)
}

fn summary_line(measurement: &LoadMeasurement) -> String {
    let quantile_ms = |q| measurement.quantile_us(q) as f64 / 1000.0;
    let (p50, p99, p999) = (quantile_ms(0.5), quantile_ms(0.99), quantile_ms(0.999));
    let others: Vec<String> = measurement
        .other_statuses
        .iter()
        .map(|(status, n)| format!("{n} x {status}"))
        .collect();
    let others = if others.is_empty() {
        "none".into()
    } else {
        others.join(", ")
    };
    let rate = measurement.rate();
    format!("{rate:.0} requests/s finished; {p50:.3} ms (p50), {p99:.3} (p99), {p999:.3} (p999); others: {others}; dropped {}", measurement.dropped)
}

fn summary_json(measurement: &LoadMeasurement) -> Value {
    let others: Vec<Value> = measurement
        .other_statuses
        .iter()
        .map(|(status, n)| json!({"status": status, "calls": n}))
        .collect();
    json!({
        "finished": measurement.finished,
        "calls_per_s": measurement.rate().round(),
        "latency_us": {"p50": measurement.quantile_us(0.5), "p99": measurement.quantile_us(0.99), "p999": measurement.quantile_us(0.999)},
        "others": others,
        "dropped": measurement.dropped,
    })
}

#[derive(Args, Clone, Debug)]
pub struct MeasureArgs {
    /// Length of each run in seconds
    #[arg(long, default_value_t = 4, value_name = "SECONDS")]
    pub length: u32,
    /// Number of runs of each kind, which are interleaved
    #[arg(long, default_value_t = 5)]
    pub runs: usize,
    /// Measure only this part: rate (throughput and latency), tokens, flood (invalid tokens), tls (to workers), door
    /// (client listener), bodies (large bodies), fleet (growing fleets), idle (idle clients), limits (customer limits)
    /// or storm (all edges reconnect)
    #[arg(long)]
    pub part: Option<String>,
    /// Numbers of edges, for the part storm
    #[arg(long, value_delimiter = ',', default_values_t = [40, 150, 300])]
    pub edges: Vec<usize>,
    /// Number of workers, for the part storm
    #[arg(long, default_value_t = 100, value_name = "WORKERS")]
    pub storm_workers: usize,
    /// Requests per second, for the part storm
    #[arg(long, default_value_t = 1500, value_name = "CALLS")]
    pub storm_rate: usize,
    /// Time in milliseconds that a worker spends on a TLS handshake, for the part storm
    #[arg(long, default_value_t = 2, value_name = "MS")]
    pub handshake_ms: usize,
    /// Folder for plots
    #[arg(long, value_name = "FOLDER")]
    pub plots: Option<std::path::PathBuf>,
}

pub fn run(args: &MeasureArgs) -> ExitCode {
    let is_selected = |part: &str| args.part.as_deref().is_none_or(|only| only == part);
    let measure_all = || -> Result<(), String> {
        if is_selected("rate") {
            rate(args)?;
        }
        if is_selected("tokens") {
            tokens(args)?;
        }
        if is_selected("tls") {
            tls(args)?;
        }
        if is_selected("flood") {
            flood(args)?;
        }
        if is_selected("door") {
            client_listener(args)?;
        }
        if is_selected("bodies") {
            bodies(args)?;
        }
        if is_selected("storm") {
            reconnecting(args)?;
        }
        if is_selected("fleet") {
            fleet(args)?;
        }
        if is_selected("idle") {
            idle(args)?;
        }
        if is_selected("limits") {
            limits(args)?;
        }
        Ok(())
    };
    match measure_all() {
        Ok(()) => ExitCode::from(exit::SUCCESS),
        Err(problem) => fail(exit::RUNTIME_ERROR, problem),
    }
}

fn spec(args: &MeasureArgs, dispatcher: Dispatcher) -> MeasureSpec {
    let length = i64::from(args.length) * 1_000_000;
    MeasureSpec {
        dispatcher,
        workers: 10,
        functions: 100,
        connections: 64,
        idle_clients: 0,
        rate: 0.0,
        duration: length,
        warm_up: length / 4,
        tls_to_workers: false,
        tokens: 0,
        client_protocol: ClientProtocol::Plain,
        connection_per_request: false,
        resume_sessions: true,
        body_bytes: 0,
        bad_token_connections: 0,
    }
}

/// Minimum, median and maximum.
fn spread(mut values: Vec<f64>) -> (f64, f64, f64) {
    values.sort_by(f64::total_cmp);
    let at = |n: usize| values.get(n).copied().unwrap_or(0.0);
    (
        at(0),
        at(values.len() / 2),
        at(values.len().saturating_sub(1)),
    )
}

fn format_spread((min, median, max): (f64, f64, f64)) -> String {
    format!("{median:.2} ({min:.2} to {max:.2})")
}

/// Compares the decision module with a plain forwarder: requests per second when saturated, then latencies at half of
/// the module's rate.
fn rate(args: &MeasureArgs) -> Result<(), String> {
    let pairs = |rate: f64| -> Result<Vec<(EdgeMeasurement, EdgeMeasurement)>, String> {
        let one = |dispatcher| {
            measure_edge(&MeasureSpec {
                rate,
                ..spec(args, dispatcher)
            })
        };
        (0..args.runs)
            .map(|_| Ok((one(Dispatcher::Module)?, one(Dispatcher::Forwarder)?)))
            .collect()
    };
    let saturated = pairs(0.0)?;
    println!(
        "saturated, 10 workers, 100 functions, 64 connections, {} interleaved runs:",
        args.runs
    );
    let spread_of = |metric: &dyn Fn(&(EdgeMeasurement, EdgeMeasurement)) -> f64| {
        spread(saturated.iter().map(metric).collect())
    };
    println!(
        "  requests/s, module             {}",
        format_spread(spread_of(&|(m, _)| m.load.rate()))
    );
    println!(
        "  requests/s, forwarder          {}",
        format_spread(spread_of(&|(_, f)| f.load.rate()))
    );
    println!(
        "  module / forwarder             {}",
        format_spread(spread_of(&|(m, f)| m.load.rate() / f.load.rate()))
    );
    println!(
        "  edge CPU us/request, module    {}",
        format_spread(spread_of(&|(m, _)| m.cpu_us_per_request))
    );
    println!(
        "  edge CPU us/request, forwarder {}",
        format_spread(spread_of(&|(_, f)| f.cpu_us_per_request))
    );
    let half = spread_of(&|(m, _)| m.load.rate()).1 / 2.0;
    let open = pairs(half)?;
    println!(
        "open loop at half of that, {half:.0} requests/s, latency in ms from the scheduled time of each request:"
    );
    for (name, q) in [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)] {
        let spread_of = |metric: &dyn Fn(&(EdgeMeasurement, EdgeMeasurement)) -> f64| {
            format_spread(spread(open.iter().map(metric).collect()))
        };
        let (module, forwarder) = (
            spread_of(&|(m, _)| m.load.quantile_us(q) as f64 / 1000.0),
            spread_of(&|(_, f)| f.load.quantile_us(q) as f64 / 1000.0),
        );
        println!("  {name:5} module {module}, forwarder {forwarder}");
    }
    let others: u64 = open
        .iter()
        .flat_map(|(m, f)| {
            m.load
                .other_statuses
                .values()
                .chain(f.load.other_statuses.values())
        })
        .sum();
    println!("  responses other than finished {others}");
    Ok(())
}

/// Measures the CPU time per request for growing fleets at a constant rate.
fn fleet(args: &MeasureArgs) -> Result<(), String> {
    println!("edge CPU (us/request) at 2,000 requests/s:");
    for (workers, functions) in [
        (10, 100),
        (100, 100),
        (1000, 100),
        (10, 10_000),
        (100, 10_000),
        (1000, 10_000),
    ] {
        let one = |dispatcher| {
            measure_edge(&MeasureSpec {
                workers,
                functions,
                rate: 2000.0,
                ..spec(args, dispatcher)
            })
        };
        let runs: Vec<(EdgeMeasurement, EdgeMeasurement)> = (0..args.runs)
            .map(|_| Ok((one(Dispatcher::Module)?, one(Dispatcher::Forwarder)?)))
            .collect::<Result<_, String>>()?;
        let module = format_spread(spread(
            runs.iter().map(|(m, _)| m.cpu_us_per_request).collect(),
        ));
        let forwarder = format_spread(spread(
            runs.iter().map(|(_, f)| f.cpu_us_per_request).collect(),
        ));
        let p99 = format_spread(spread(
            runs.iter()
                .map(|(m, _)| m.load.quantile_us(0.99) as f64 / 1000.0)
                .collect(),
        ));
        println!("  {workers:5} workers {functions:6} functions: module {module}, forwarder {forwarder}; module p99 {p99} ms");
    }
    Ok(())
}

/// Resident memory of this process in MB, which runs the edge, the workers and the clients.
fn resident_memory_mb() -> f64 {
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

/// Measures the effect of thousands of idle client connections on the active ones.
fn idle(args: &MeasureArgs) -> Result<(), String> {
    for idle_clients in [0, 9_000] {
        let before = resident_memory_mb();
        let m = measure_edge(&MeasureSpec {
            idle_clients,
            rate: 2000.0,
            ..spec(args, Dispatcher::Module)
        })?;
        let grown = resident_memory_mb() - before;
        println!("{idle_clients} idle clients, 2,000 requests/s: {}; edge CPU {:.1} us/request; memory grown by {grown:.1} MB (both ends)", summary_line(&m.load), m.cpu_us_per_request);
    }
    Ok(())
}

/// Simulates customer limits enforced by many edges with the decision module, with an even split among edges and
/// without limits, over several seeds.
fn limits(args: &MeasureArgs) -> Result<(), String> {
    println!(
        "customer limits, {} seeds; values are fractions of the customer's demand or limit:",
        args.runs
    );
    for edges in [10, 100, 300] {
        let mut plotted = Vec::new();
        for policy in [Policy::Seen, Policy::Even, Policy::None] {
            let runs: Vec<LimitsResult> = (0..args.runs as u64)
                .map(|seed| measure_limits(edges, policy, seed))
                .collect();
            let spread_of = |metric: &dyn Fn(&LimitsResult) -> f64| {
                format_spread(spread(runs.iter().map(metric).collect()))
            };
            let moved: Vec<String> = (0..8)
                .map(|n| {
                    format!(
                        "{:.2}",
                        spread(runs.iter().map(|r| r.moved_over_limit[n]).collect()).1
                    )
                })
                .collect();
            let recovery = spread_of(&|r| r.recovery_seconds.unwrap_or(f64::INFINITY));
            println!(
                "  {edges:3} edges, {policy:?}: honest customer during a flood {}; rate limit over all edges {}, at one edge {}; after moving, by second {}; lent quota back after {recovery} s",
                spread_of(&|r| r.honest_fraction), spread_of(&|r| r.spread_over_limit), spread_of(&|r| r.single_edge_over_limit), moved.join(" ")
            );
            let name = match policy {
                Policy::Seen => "decision module",
                Policy::Even => "even split",
                Policy::None => continue,
            };
            let median = |n: usize| spread(runs.iter().map(|r| r.moved_over_limit[n]).collect()).1;
            let points = (0..8)
                .map(|n| (n as f64 + 1.0, (median(n) - 1.0).abs()))
                .collect();
            plotted.push(Series {
                name: name.into(),
                points,
            });
        }
        if let Some(folder) = &args.plots {
            let title = format!(
                "Error of a fleet-wide rate limit after its customer moved to another of {edges} edges"
            );
            write_line_chart(
                &folder.join(format!("limits-{edges}.svg")),
                &title,
                ("second", "fraction of the limit"),
                &plotted,
            )?;
        }
    }
    Ok(())
}

/// Compares TLS with plain text to workers: saturated, then at half of the saturated rate over TLS.
fn tls(args: &MeasureArgs) -> Result<(), String> {
    let pairs = |rate: f64| -> Result<Vec<(EdgeMeasurement, EdgeMeasurement)>, String> {
        let one = |tls| {
            measure_edge(&MeasureSpec {
                tls_to_workers: tls,
                rate,
                ..spec(args, Dispatcher::Module)
            })
        };
        (0..args.runs)
            .map(|_| Ok((one(true)?, one(false)?)))
            .collect()
    };
    let saturated = pairs(0.0)?;
    let spread_of = |metric: &dyn Fn(&(EdgeMeasurement, EdgeMeasurement)) -> f64| {
        spread(saturated.iter().map(metric).collect())
    };
    println!(
        "TLS to 10 workers compared with plain text, {} interleaved runs:",
        args.runs
    );
    println!(
        "  requests/s, TLS / plain        {}",
        format_spread(spread_of(&|(t, p)| t.load.rate() / p.load.rate()))
    );
    println!(
        "  edge CPU, TLS / plain          {}",
        format_spread(spread_of(
            &|(t, p)| t.cpu_us_per_request / p.cpu_us_per_request
        ))
    );
    let half = spread_of(&|(t, _)| t.load.rate()).1 / 2.0;
    let open = pairs(half)?;
    for (name, q) in [("p50", 0.5), ("p99", 0.99)] {
        let spread_of = |metric: &dyn Fn(&(EdgeMeasurement, EdgeMeasurement)) -> f64| {
            format_spread(spread(open.iter().map(metric).collect()))
        };
        let (over_tls, plain) = (
            spread_of(&|(t, _)| t.load.quantile_us(q) as f64 / 1000.0),
            spread_of(&|(_, p)| p.load.quantile_us(q) as f64 / 1000.0),
        );
        println!("  {name} at {half:.0} requests/s: TLS {over_tls} ms, plain {plain} ms");
    }
    Ok(())
}

/// Compares requests without a token, with a token that the edge has cached, and with a new token for each request.
fn tokens(args: &MeasureArgs) -> Result<(), String> {
    // More tokens than a run can send requests, so that none is sent twice.
    let distinct_tokens = args.length as usize * 80_000;
    let one = |tokens| {
        measure_edge(&MeasureSpec {
            tokens,
            ..spec(args, Dispatcher::Module)
        })
    };
    let runs: Vec<[EdgeMeasurement; 3]> = (0..args.runs)
        .map(|_| Ok([one(0)?, one(1)?, one(distinct_tokens)?]))
        .collect::<Result<_, String>>()?;
    println!(
        "tokens, saturated, {} interleaved runs, compared with requests without a token:",
        args.runs
    );
    for (n, name) in [(1, "cached token"), (2, "new token per request")] {
        let rate = spread(
            runs.iter()
                .map(|r| r[n].load.rate() / r[0].load.rate())
                .collect(),
        );
        let cpu = spread(
            runs.iter()
                .map(|r| r[n].cpu_us_per_request - r[0].cpu_us_per_request)
                .collect(),
        );
        println!(
            "  {name:22} requests/s x {}, edge CPU + {} us/request",
            format_spread(rate),
            format_spread(cpu)
        );
    }
    for (n, name) in ["no token", "cached token", "new token per request"]
        .iter()
        .enumerate()
    {
        let mut others: std::collections::BTreeMap<u16, u64> = std::collections::BTreeMap::new();
        let unfinished = runs.iter().flat_map(|r| &r[n].load.other_statuses);
        unfinished.for_each(|(status, count)| *others.entry(*status).or_default() += count);
        let finished: u64 = runs.iter().map(|r| r[n].load.finished).sum();
        println!("  {name}: finished {finished}, others by status {others:?}");
    }
    Ok(())
}

/// Measures the cost of a request by its client's protocol and by whether connections are kept alive or TLS sessions
/// resumed.
fn client_listener(args: &MeasureArgs) -> Result<(), String> {
    use ClientProtocol::{Certificate, Plain, Tls};
    let kinds = [
        ("plain, keep-alive", Plain, false, true),
        ("plain, new connections", Plain, true, true),
        ("TLS, keep-alive", Tls, false, true),
        ("TLS, full handshakes", Tls, true, false),
        ("TLS, resumed sessions", Tls, true, true),
        ("certificate, keep-alive", Certificate, false, true),
        ("certificate, full handshakes", Certificate, true, false),
        ("certificate, resumed sessions", Certificate, true, true),
    ];
    let one = |(_, client_protocol, connection_per_request, resume_sessions): (
        &str,
        ClientProtocol,
        bool,
        bool,
    )| {
        measure_edge(&MeasureSpec {
            client_protocol,
            connection_per_request,
            resume_sessions,
            connections: 16,
            ..spec(args, Dispatcher::Module)
        })
    };
    let runs: Vec<Vec<EdgeMeasurement>> = (0..args.runs)
        .map(|_| kinds.iter().map(|kind| one(*kind)).collect())
        .collect::<Result<_, String>>()?;
    println!(
        "client listener, saturated, 16 connections, {} interleaved runs, compared with plain keep-alive:",
        args.runs
    );
    for (n, (name, ..)) in kinds.iter().enumerate() {
        let rate = format_spread(spread(
            runs.iter()
                .map(|r| r[n].load.rate() / r[0].load.rate())
                .collect(),
        ));
        let cpu = format_spread(spread(
            runs.iter()
                .map(|r| r[n].cpu_us_per_request - r[0].cpu_us_per_request)
                .collect(),
        ));
        let p50 = format_spread(spread(
            runs.iter()
                .map(|r| r[n].load.quantile_us(0.5) as f64 / 1000.0)
                .collect(),
        ));
        let others: u64 = runs
            .iter()
            .flat_map(|r| r[n].load.other_statuses.values())
            .sum();
        println!(
            "  {name:30} requests/s x {rate}, edge CPU + {cpu} us/request, p50 {p50} ms, others {others}"
        );
    }
    Ok(())
}

/// Measures the cost of large bodies, in plain text and over TLS on both sides.
fn bodies(args: &MeasureArgs) -> Result<(), String> {
    let body_bytes = 1 << 20;
    let one = |client_protocol, tls_to_workers| {
        measure_edge(&MeasureSpec {
            client_protocol,
            tls_to_workers,
            body_bytes,
            connections: 4,
            ..spec(args, Dispatcher::Module)
        })
    };
    let runs: Vec<[EdgeMeasurement; 2]> = (0..args.runs)
        .map(|_| {
            Ok([
                one(ClientProtocol::Plain, false)?,
                one(ClientProtocol::Tls, true)?,
            ])
        })
        .collect::<Result<_, String>>()?;
    println!(
        "bodies of 1 MB, saturated, 4 connections, {} interleaved runs:",
        args.runs
    );
    for (n, name) in ["plain on both sides", "TLS on both sides"]
        .iter()
        .enumerate()
    {
        let ns_per_byte = |r: &[EdgeMeasurement; 2]| {
            r[n].cpu_us_per_request * 1000.0 / f64::from(body_bytes as u32)
        };
        let ns_per_byte = format_spread(spread(runs.iter().map(ns_per_byte).collect()));
        let finished: u64 = runs.iter().map(|r| r[n].load.finished).sum();
        let others: u64 = runs
            .iter()
            .flat_map(|r| r[n].load.other_statuses.values())
            .sum();
        println!(
            "  {name:20} edge CPU {ns_per_byte} ns/byte of finished requests; finished {finished}, others {others}"
        );
    }
    Ok(())
}

/// Measures honest clients while another client sends tokens with invalid signatures as fast as they are rejected.
fn flood(args: &MeasureArgs) -> Result<(), String> {
    let one = |bad_token_connections| {
        measure_edge(&MeasureSpec {
            bad_token_connections,
            rate: 2000.0,
            tokens: 20,
            ..spec(args, Dispatcher::Module)
        })
    };
    let runs: Vec<[EdgeMeasurement; 3]> = (0..args.runs)
        .map(|_| Ok([one(0)?, one(8)?, one(64)?]))
        .collect::<Result<_, String>>()?;
    println!(
        "2,000 honest requests/s with 20 tokens, {} interleaved runs:",
        args.runs
    );
    for (n, name) in [
        "no flood",
        "8 connections of invalid tokens",
        "64 connections of invalid tokens",
    ]
    .iter()
    .enumerate()
    {
        let quantile_ms = |q: f64| {
            format_spread(spread(
                runs.iter()
                    .map(|r| r[n].load.quantile_us(q) as f64 / 1000.0)
                    .collect(),
            ))
        };
        let finished = format_spread(spread(
            runs.iter()
                .map(|r| {
                    r[n].load.finished as f64
                        / (r[n].load.finished + r[n].load.other_statuses.values().sum::<u64>())
                            as f64
                })
                .collect(),
        ));
        println!(
            "  {name:30} finished {finished}, p50 {} ms, p99 {} ms",
            quantile_ms(0.5),
            quantile_ms(0.99)
        );
    }
    Ok(())
}

/// Simulates a zone that returns cold while every edge reconnects, with reconnections paced as in production and with
/// connections opened on demand without limits.
fn reconnecting(args: &MeasureArgs) -> Result<(), String> {
    println!(
        "a third of {} workers returns cold while all other connections break, TLS, {} requests/s, handshakes of {} ms, virtual time, {} seeds:",
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
            // One thread for each seed.
            let threads: Vec<_> = specs
                .map(|spec| std::thread::spawn(move || run_reconnect_load(&spec)))
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
            let spread_of = |metric: &dyn Fn(&ReconnectLoad) -> f64| {
                format_spread(spread(runs.iter().map(metric).collect()))
            };
            let name = if on_demand { "on demand" } else { "paced" };
            println!(
                "  {edges:3} edges, {name:10}: in time {}, recovered after {} s, worst worker {} handshakes/s, all workers {}, p99 {} ms, rules violated {}",
                spread_of(&|r| r.service), spread_of(&|r| r.recovery_s), spread_of(&|r| f64::from(r.max_handshakes_per_s)), spread_of(&|r| f64::from(r.handshakes)), spread_of(&|r| r.p99_ms), spread_of(&|r| r.violations as f64)
            );
            let mean = |n: usize| {
                runs.iter()
                    .map(|r| r.in_time_fractions.get(n).copied().unwrap_or(0.0))
                    .sum::<f64>()
                    / runs.len() as f64
            };
            plotted.push(Series {
                name: name.into(),
                points: (0..24).map(|n| (n as f64, mean(n))).collect(),
            });
        }
        if let Some(folder) = &args.plots {
            let title =
                format!("Requests in time by second, {edges} edges; a zone is lost at 6 s and returns cold at 9 s");
            write_line_chart(
                &folder.join(format!("storm-{edges}.svg")),
                &title,
                ("second", "fraction in time"),
                &plotted,
            )?;
        }
    }
    Ok(())
}
