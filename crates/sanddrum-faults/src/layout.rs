//! The control block: a file of 64-bit words that the test writes and the preloaded library maps.

/// The environment variable that names the control block's file.
pub const CONTROL_VARIABLE: &str = "SANDDRUM_FAULTS";

/// Words in the control block.
pub const WORDS: usize = 32;

/// What each word of the control block holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[repr(usize)]
pub enum Word {
    /// Microseconds (signed) added to the wall clock. The monotonic clock is never touched.
    WallOffset = 0,
    /// Seed of the random numbers by which calls are chosen to fail.
    Seed = 1,
    /// Calls of `accept4` in a million that fail.
    Accept = 2,
    /// Calls of `socket` in a million that fail.
    Socket = 3,
    /// Calls of `connect` in a million that fail.
    Connect = 4,
    /// Calls of `recv` in a million that fail.
    Receive = 5,
    /// Calls of `send` in a million that fail.
    Send = 6,
    /// Not zero: writes and syncs of regular files fail.
    Disk = 7,
    /// Calls of `epoll_wait` in a million that are interrupted.
    Wait = 8,
    /// Calls of `epoll_ctl` in a million that fail, but for those that remove a descriptor.
    Control = 9,
    /// How many reads of the wall clock were stepped; this and the words after it are counters of the library.
    WallReadsStepped = 16,
    /// How many calls of `accept4` failed.
    AcceptsFailed = 17,
    /// How many calls of `socket` failed.
    SocketsFailed = 18,
    /// How many calls of `connect` failed.
    ConnectsFailed = 19,
    /// How many calls of `recv` failed or were short.
    ReceivesFailed = 20,
    /// How many calls of `send` failed or were short.
    SendsFailed = 21,
    /// How many writes and syncs of regular files failed.
    DiskWritesFailed = 22,
    /// How many calls of `epoll_wait` were interrupted.
    WaitsInterrupted = 23,
    /// How many calls of `epoll_ctl` failed.
    ControlsFailed = 24,
}

/// Size of the control block in bytes.
pub const BYTES: usize = WORDS * 8;
