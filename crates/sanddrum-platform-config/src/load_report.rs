//! Load reports of the platform's workers.

use sanddrum::LoadReport;
use serde_json::Value as Json;

/// The names of the values of a load report, in their order.
pub fn load_report_fields(platform_settings: &Json) -> Vec<String> {
    let fields = platform_settings["stats"]["fields"].as_array();
    fields
        .into_iter()
        .flatten()
        .filter_map(|field| field.as_str().map(String::from))
        .collect()
}

/// Builds a load report from names and values; unknown names are skipped.
pub fn load_report<'a>(values: impl Iterator<Item = (&'a str, Option<f64>)>) -> LoadReport {
    let mut report = LoadReport::default();
    for (name, value) in values {
        let field = match name {
            "rif" | "inflight" => &mut report.in_flight,
            "q" | "queue" => &mut report.queued,
            "busy" | "util" => &mut report.busy,
            "lat_ms" | "latency_ms" => &mut report.latency_ms,
            "rate" | "qps" => &mut report.finished_per_s,
            "fail_rate" | "eps" => &mut report.errors_per_s,
            "x0" => &mut report.memory_pinned,
            "x1" => &mut report.loads_in_progress,
            _ => continue,
        };
        *field = value;
    }
    report
}
