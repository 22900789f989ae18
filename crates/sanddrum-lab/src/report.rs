//! The results of an experiment, as text for a terminal and as a self-contained HTML page.

use crate::experiment::{difference, Difference, Experiment, RunResult, FEW_SEEDS, MEASURES};
use crate::plots::{line_chart_svg, Series};
use std::fmt::Write;

fn spread(results: &[RunResult], of: fn(&RunResult) -> f64) -> (f64, f64, f64) {
    let each: Vec<f64> = results.iter().map(of).collect();
    let mean = each.iter().sum::<f64>() / each.len().max(1) as f64;
    let fold = |pick: fn(f64, f64) -> f64, from: f64| each.iter().copied().fold(from, pick);
    (mean, fold(f64::min, f64::MAX), fold(f64::max, f64::MIN))
}
fn format_number(n: f64) -> String {
    match n.abs() {
        a if a >= 1000.0 => format!("{n:.0}"),
        a if a >= 10.0 => format!("{n:.1}"),
        _ => format!("{n:.3}"),
    }
}
fn difference_from_first(
    all: &[Vec<RunResult>],
    n: usize,
    of: fn(&RunResult) -> f64,
) -> Option<Difference> {
    let each = |n: usize| all.get(n).map(|f| f.iter().map(of).collect::<Vec<f64>>());
    (n > 0)
        .then(|| Some(difference(&each(0)?, &each(n)?)))
        .flatten()
}

/// Warnings about the reliability of the results.
fn warnings(experiment: &Experiment) -> Vec<String> {
    let few = format!(
        "only {} seeds: intervals from fewer than {FEW_SEEDS} seeds are unreliable",
        experiment.seeds
    );
    (experiment.seeds < FEW_SEEDS)
        .then_some(few)
        .into_iter()
        .collect()
}

/// The results as text for a terminal.
pub fn text(experiment: &Experiment, all: &[Vec<RunResult>]) -> String {
    let mut out = String::new();
    let first = &experiment.variants[0].name;
    let _ = writeln!(
        out,
        "{}: {} seeds, virtual time; mean (min to max), and the difference from {first:?} with its 95 % interval",
        experiment.file, experiment.seeds
    );
    for (name, _, of) in MEASURES {
        let _ = writeln!(out, "{name}");
        for (n, variant) in experiment.variants.iter().enumerate() {
            let (mean, min, max) = spread(&all[n], of);
            let _ = write!(
                out,
                "  {:24} {} ({} to {})",
                variant.name,
                format_number(mean),
                format_number(min),
                format_number(max)
            );
            if let Some(d) = difference_from_first(all, n, of) {
                let clear = if d.is_clear() { "" } else { "  not clear" };
                let (mean, min, max) = (
                    format_number(d.mean),
                    format_number(d.lower),
                    format_number(d.upper),
                );
                let _ = write!(out, "   {mean} [{min}, {max}]{clear}");
            }
            out.push('\n');
        }
    }
    for warning in warnings(experiment) {
        let _ = writeln!(out, "warning: {warning}");
    }
    out
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The fraction of the calls of each second that were answered in time, over all seeds.
fn service_over_time(results: &[RunResult]) -> Vec<(f64, f64)> {
    let longest = results.iter().map(|f| f.seconds.len()).max().unwrap_or(0);
    let of_second = |n: usize| {
        let each = results.iter().filter_map(|f| f.seconds.get(n));
        let (begun, in_time) = each.fold((0, 0), |sum, of| (sum.0 + of.0, sum.1 + of.1));
        (n as f64, f64::from(in_time) / f64::from(begun.max(1)))
    };
    (0..longest).map(of_second).collect()
}

/// The results as one HTML page with a table and a chart.
///
/// # Errors
/// The chart can't be drawn.
pub fn html(experiment: &Experiment, all: &[Vec<RunResult>]) -> Result<String, String> {
    let mut rows = String::new();
    for (name, more_is_better, of) in MEASURES {
        let _ = write!(rows, "<tr><th>{name}</th>");
        for n in 0..experiment.variants.len() {
            let (mean, min, max) = spread(&all[n], of);
            let _ = write!(
                rows,
                "<td>{}<small> {} to {}</small>",
                format_number(mean),
                format_number(min),
                format_number(max)
            );
            if let Some(d) = difference_from_first(all, n, of) {
                let better = (d.mean > 0.0) == more_is_better;
                let class = match (d.is_clear(), better) {
                    (false, _) => "unclear",
                    (true, true) => "better",
                    (true, false) => "worse",
                };
                let (mean, min, max) = (
                    format_number(d.mean),
                    format_number(d.lower),
                    format_number(d.upper),
                );
                let _ = write!(rows, "<br><span class={class}>{mean} [{min}, {max}]</span>");
            }
            rows.push_str("</td>");
        }
        rows.push_str("</tr>\n");
    }
    let header_cells: String = experiment
        .variants
        .iter()
        .map(|v| format!("<th>{}</th>", escape_html(&v.name)))
        .collect();
    let line = |(n, v): (usize, &crate::Variant)| Series {
        name: v.name.clone(),
        points: service_over_time(&all[n]),
    };
    let lines: Vec<Series> = experiment.variants.iter().enumerate().map(line).collect();
    let picture = line_chart_svg("Calls answered in time", ("second", "part"), &lines)?;
    let warnings_html: String = warnings(experiment)
        .iter()
        .map(|w| format!("<p class=worse>Warning: {}</p>", escape_html(w)))
        .collect();
    Ok(format!(
        "<!doctype html><html lang=en><meta charset=utf-8><title>{file}</title>\n<style>\
         body{{font:15px/1.5 sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}}\
         table{{border-collapse:collapse}}td,th{{padding:.3rem .8rem;border-bottom:1px solid #ddd;text-align:left;\
         vertical-align:top}}small{{color:#666}}.better{{color:#176a2f}}.worse{{color:#a3211b}}.unclear{{color:#777}}\
         pre{{background:#f6f6f6;padding:1rem;overflow:auto}}svg{{max-width:100%;height:auto}}</style>\n\
         <h1>{file}</h1><p>{seeds} seeds in virtual time, each with every variant. Means with minimum and maximum; below \
         them the mean of the paired differences from the first variant, with its 95 % bootstrap interval; grey where the \
         interval includes zero.</p>{warnings_html}\n<table><tr><th></th>{header_cells}</tr>\n{rows}</table>\n{picture}\n\
         <h2>The scenario</h2><pre>{text}</pre></html>\n",
        file = escape_html(&experiment.file),
        seeds = experiment.seeds,
        text = escape_html(&experiment.text),
    ))
}
