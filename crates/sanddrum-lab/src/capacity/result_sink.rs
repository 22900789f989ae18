//! Collects measured points and carries the request to stop a run.

use super::output::{Output, Summary};
use super::point::Point;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A request to stop, for example by Ctrl-C. Benchmarks check it between points, and within points that take long.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
    /// The flag, for a signal handler.
    pub fn flag(&self) -> Arc<AtomicBool> {
        self.0.clone()
    }
}

/// Collects points as they are measured, reports progress and rewrites the result files after each.
#[derive(Default)]
pub struct Sink {
    summary: Summary,
    output: Option<Output>,
    verbose: bool,
}

impl Sink {
    /// A sink that only collects the points, for tests.
    pub fn quiet() -> Self {
        Sink::default()
    }
    /// A sink that reports progress on stderr and writes the result files.
    pub fn new(output: Output, summary: Summary) -> Self {
        Sink {
            summary,
            output: Some(output),
            verbose: true,
        }
    }
    /// Adds a point.
    ///
    /// # Errors
    /// The result files could not be written.
    pub fn point(&mut self, point: Point) -> Result<(), String> {
        let at = super::fit::format_value(point.at);
        let value = super::fit::format_value(point.value);
        self.progress(&format!(
            "{}: {} {value} {} at {at} {}{}",
            point.play,
            point.figure,
            point.unit,
            point.axis,
            if point.source == super::Source::NotFinished {
                " (not finished)"
            } else {
                ""
            }
        ));
        self.summary.points.push(point);
        self.write()
    }
    /// Prints a line of progress to stderr unless the sink is quiet.
    pub fn progress(&self, what: &str) {
        if self.verbose {
            eprintln!("{what}");
        }
    }
    pub fn points(&self) -> &[Point] {
        &self.summary.points
    }
    pub fn summary(&self) -> &Summary {
        &self.summary
    }
    /// Ends the run and writes the result files, which say whether it was complete.
    ///
    /// # Errors
    /// The result files could not be written.
    pub fn finish(&mut self, complete: bool) -> Result<(), String> {
        self.summary.complete = complete;
        self.write()
    }
    fn write(&self) -> Result<(), String> {
        self.output
            .as_ref()
            .map_or(Ok(()), |output| output.write(&self.summary))
    }
}
