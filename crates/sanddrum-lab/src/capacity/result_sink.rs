//! Where measured points go, and how a run is told to stop.

use super::output::{Output, Summary};
use super::point::Point;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// A request to stop, as by Ctrl-C. Plays look at it between points, and within one where it takes long.
#[derive(Clone, Debug, Default)]
pub struct Stop(Arc<AtomicBool>);

impl Stop {
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }
    /// The flag itself, for a signal handler.
    pub fn flag(&self) -> Arc<AtomicBool> {
        self.0.clone()
    }
}

/// Takes points as they are measured: keeps them, tells of them, and writes the files anew.
#[derive(Default)]
pub struct Sink {
    summary: Summary,
    output: Option<Output>,
    tells: bool,
}

impl Sink {
    /// One that only keeps the points, for tests.
    pub fn quiet() -> Self {
        Sink::default()
    }
    /// One that tells of its progress on stderr and writes to these files.
    pub fn new(output: Output, summary: Summary) -> Self {
        Sink {
            summary,
            output: Some(output),
            tells: true,
        }
    }
    /// Takes a point.
    ///
    /// # Errors
    /// The files could not be written.
    pub fn point(&mut self, point: Point) -> Result<(), String> {
        let at = super::fit::figure(point.at);
        let value = super::fit::figure(point.value);
        self.told(&format!(
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
    /// Progress.
    pub fn told(&self, what: &str) {
        if self.tells {
            eprintln!("{what}");
        }
    }
    pub fn points(&self) -> &[Point] {
        &self.summary.points
    }
    pub fn summary(&self) -> &Summary {
        &self.summary
    }
    /// Nothing more is measured; the files say whether all was.
    ///
    /// # Errors
    /// The files could not be written.
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
