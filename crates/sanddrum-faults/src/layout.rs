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
    /// Seed of the library's chance.
    Seed = 1,
    /// Calls in a million that fail, one word for each call.
    Accept = 2,
    Socket = 3,
    Connect = 4,
    Receive = 5,
    Send = 6,
    /// Not nought: writes and syncs of regular files fail.
    Disk = 7,
    /// Calls in a million, as above: waits for input that are interrupted.
    Wait = 8,
    /// Changes of what the poller watches that fail.
    Control = 9,
    /// From here on: how often each fault came.
    WallReadsStepped = 16,
    AcceptsFailed = 17,
    SocketsFailed = 18,
    ConnectsFailed = 19,
    ReceivesFailed = 20,
    SendsFailed = 21,
    DiskWritesFailed = 22,
    WaitsInterrupted = 23,
    ControlsFailed = 24,
}

/// Size of the control block in bytes.
pub const BYTES: usize = WORDS * 8;
