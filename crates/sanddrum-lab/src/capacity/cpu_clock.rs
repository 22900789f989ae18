//! Measures the processor time of a thread.

/// Measures the processor time of the current thread, without the overhead of reading the clock.
pub(crate) struct ThreadCpuClock {
    overhead: u64,
}

impl ThreadCpuClock {
    pub fn now() -> u64 {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
        time.tv_sec as u64 * 1_000_000_000 + time.tv_nsec as u64
    }
    pub fn new() -> Self {
        const READINGS: u64 = 1000;
        let start = Self::now();
        (1..READINGS).for_each(|_| {
            std::hint::black_box(Self::now());
        });
        ThreadCpuClock {
            overhead: (Self::now() - start) / READINGS,
        }
    }
    /// The processor time of a single reading, in nanoseconds.
    pub fn overhead(&self) -> u64 {
        self.overhead
    }
    pub fn elapsed_since(&self, since: u64) -> u64 {
        (Self::now() - since).saturating_sub(self.overhead)
    }
}
