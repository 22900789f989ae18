//! The layout of the control block, a file of 64-bit words that the test writes and the preloaded library maps.

/// The environment variable with the path of the control block's file.
pub const CONTROL_VARIABLE: &str = "SANDDRUM_FAULTS";

/// The number of words in the control block.
pub const WORDS: usize = 32;

/// The words of the control block, by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Word {
    /// Signed microseconds that are added to the wall clock. The monotonic clock is not affected.
    WallOffset = 0,
    /// Seed of the random numbers that decide which calls fail.
    Seed = 1,
    /// Calls of `accept4` per million that fail.
    Accept = 2,
    /// Calls of `socket` per million that fail.
    Socket = 3,
    /// Calls of `connect` per million that fail.
    Connect = 4,
    /// Calls of `recv` per million that fail or are short.
    Receive = 5,
    /// Calls of `send` per million that fail or are short.
    Send = 6,
    /// If not zero, writes and syncs of regular files fail.
    Disk = 7,
    /// Calls of `epoll_wait` per million that are interrupted.
    Wait = 8,
    /// Calls of `epoll_ctl` per million that fail. Calls that remove a descriptor never fail.
    Control = 9,
    /// The number of wall clock reads that were stepped. This word and the following ones are counters that the
    /// library increments.
    WallReadsStepped = 16,
    /// The number of calls of `accept4` that failed.
    AcceptsFailed = 17,
    /// The number of calls of `socket` that failed.
    SocketsFailed = 18,
    /// The number of calls of `connect` that failed.
    ConnectsFailed = 19,
    /// The number of calls of `recv` that failed or were short.
    ReceivesFailed = 20,
    /// The number of calls of `send` that failed or were short.
    SendsFailed = 21,
    /// The number of writes and syncs of regular files that failed.
    DiskWritesFailed = 22,
    /// The number of calls of `epoll_wait` that were interrupted.
    WaitsInterrupted = 23,
    /// The number of calls of `epoll_ctl` that failed.
    ControlsFailed = 24,
}

/// The size of the control block in bytes.
pub const BYTES: usize = WORDS * 8;
