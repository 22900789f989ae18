//! A preloaded library (`LD_PRELOAD`) that injects faults in tests and soak runs. As set in the control block (see
//! [`layout`]), it steps the wall clock of a process and makes its system calls fail in ways that Linux documents, and
//! counts the injected faults. The process under test needs no changes. Without a control block, no fault is injected.
//!
//! System calls that bypass the C library (the poller's own) are not affected.

pub mod layout;

use layout::{Word, BYTES, CONTROL_VARIABLE};
use libc::{
    c_int, c_void, clockid_t, size_t, sockaddr, socklen_t, ssize_t, time_t, timespec, timeval,
};
use std::ffi::CStr;
use std::sync::atomic::{AtomicBool, AtomicPtr, AtomicU64, Ordering};

const MICROS: i64 = 1_000_000;
const MILLION: u64 = 1_000_000;

/// The mapped control block: null before the first access, the address of [`MISSING`] if there is none.
static CONTROL: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// Its address marks that there is no control block.
static MISSING: AtomicU64 = AtomicU64::new(0);
/// The number of random numbers generated so far.
static RANDOM_COUNT: AtomicU64 = AtomicU64::new(0);

fn missing() -> *mut AtomicU64 {
    std::ptr::addr_of!(MISSING).cast_mut()
}

fn map_control() -> *mut AtomicU64 {
    let Ok(file) = std::env::var(CONTROL_VARIABLE) else {
        return missing();
    };
    let Ok(path) = std::ffi::CString::new(file) else {
        return missing();
    };
    // SAFETY: the path ends in NUL, the file is large enough for the mapping, and the mapping is never removed.
    unsafe {
        let fd = libc::open(path.as_ptr(), libc::O_RDWR | libc::O_CLOEXEC);
        if fd < 0 {
            return missing();
        }
        let mut stat: libc::stat = std::mem::zeroed();
        let large_enough = libc::fstat(fd, &mut stat) == 0 && stat.st_size >= BYTES as i64;
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        let mapped = match large_enough {
            true => libc::mmap(
                std::ptr::null_mut(),
                BYTES,
                protection,
                libc::MAP_SHARED,
                fd,
                0,
            ),
            false => libc::MAP_FAILED,
        };
        libc::close(fd);
        if mapped == libc::MAP_FAILED {
            return missing();
        }
        mapped.cast()
    }
}

fn word(which: Word) -> Option<&'static AtomicU64> {
    let mut control = CONTROL.load(Ordering::Acquire);
    if control.is_null() {
        control = map_control();
        CONTROL.store(control, Ordering::Release);
    }
    if control == missing() {
        return None;
    }
    // SAFETY: the mapping holds `WORDS` aligned words and exists until the process exits.
    Some(unsafe { &*control.add(which as usize) })
}

fn value(which: Word) -> u64 {
    word(which).map_or(0, |word| word.load(Ordering::Relaxed))
}

fn count(which: Word) {
    if let Some(word) = word(which) {
        word.fetch_add(1, Ordering::Relaxed);
    }
}

/// The next pseudorandom number, from the seed and a counter (SplitMix64).
fn random() -> u64 {
    let n = RANDOM_COUNT.fetch_add(1, Ordering::Relaxed);
    let mut z = value(Word::Seed).wrapping_add((n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Decides at random whether this call fails, and counts it if so.
fn should_fail(rate: Word, counter: Word) -> bool {
    let rate = value(rate);
    let fails = rate > 0 && random() % MILLION < rate;
    if fails {
        count(counter);
    }
    fails
}

/// Sets `errno` to one of these errors, chosen at random, and returns -1.
fn fail_with(errors: &[c_int]) -> c_int {
    let error = errors[(random() % errors.len() as u64) as usize];
    // SAFETY: the pointer to the thread's own errno is valid.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The next definition of a function after the one in this library, which is the C library's.
fn next_definition<F: Copy>(cache: &AtomicPtr<c_void>, name: &CStr) -> F {
    let mut function = cache.load(Ordering::Relaxed);
    if function.is_null() {
        // SAFETY: the name ends in NUL.
        function = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
        cache.store(function, Ordering::Relaxed);
    }
    assert!(
        !function.is_null(),
        "the C library does not define {name:?}"
    );
    // SAFETY: each caller states the type of the function that it requests.
    unsafe { std::mem::transmute_copy(&function) }
}

/// The C library's definition of a function, looked up once.
macro_rules! real {
    ($name:literal, $signature:ty) => {{
        static CACHE: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
        next_definition::<$signature>(&CACHE, $name)
    }};
}

/// Descriptors below this number are tracked in [`IS_OUTGOING`].
const TRACKED_DESCRIPTORS: usize = 4096;
/// Whether the connection of each descriptor was opened by this process. Only those are broken, as breaking a
/// connection that a client opened would make the client lose it.
static IS_OUTGOING: [AtomicBool; TRACKED_DESCRIPTORS] =
    [const { AtomicBool::new(false) }; TRACKED_DESCRIPTORS];

fn set_outgoing(fd: c_int, is_outgoing: bool) {
    if let Some(tracked) = usize::try_from(fd).ok().and_then(|fd| IS_OUTGOING.get(fd)) {
        tracked.store(is_outgoing, Ordering::Relaxed);
    }
}

fn is_outgoing(fd: c_int) -> bool {
    let tracked = usize::try_from(fd).ok().and_then(|fd| IS_OUTGOING.get(fd));
    tracked.is_some_and(|is_outgoing| is_outgoing.load(Ordering::Relaxed))
}

/// Whether this is an IPv4 socket. Connects, reads and writes fail only on those, never on the pipes through which a
/// process receives its signals.
fn is_ipv4_socket(fd: c_int) -> bool {
    let (mut domain, mut length): (c_int, socklen_t) = (0, 4);
    let target = std::ptr::addr_of_mut!(domain).cast();
    // SAFETY: `target` points to one integer, and `length` is its size.
    let result =
        unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, target, &mut length) };
    result == 0 && domain == libc::AF_INET
}

fn is_regular(fd: c_int) -> bool {
    // SAFETY: `stat` is plain data that the call fills.
    unsafe {
        let mut stat: libc::stat = std::mem::zeroed();
        libc::fstat(fd, &mut stat) == 0 && stat.st_mode & libc::S_IFMT == libc::S_IFREG
    }
}

// ---- Clocks

fn stepped_micros(seconds: i64, micros: i64) -> i64 {
    let offset = value(Word::WallOffset) as i64;
    if offset != 0 {
        count(Word::WallReadsStepped);
    }
    seconds * MICROS + micros + offset
}

/// Reads a clock, and adds the offset if it is the wall clock.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, tp: *mut timespec) -> c_int {
    let result = real!(
        c"clock_gettime",
        unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int
    )(clock, tp);
    if result == 0 && (clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE) {
        let nanos = (*tp).tv_nsec;
        let micros = stepped_micros((*tp).tv_sec, nanos / 1000);
        (*tp).tv_sec = micros.div_euclid(MICROS);
        (*tp).tv_nsec = micros.rem_euclid(MICROS) * 1000 + nanos % 1000;
    }
    result
}

/// Reads the wall clock, and adds the offset.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(tv: *mut timeval, tz: *mut c_void) -> c_int {
    let result = real!(
        c"gettimeofday",
        unsafe extern "C" fn(*mut timeval, *mut c_void) -> c_int
    )(tv, tz);
    if result == 0 && !tv.is_null() {
        let micros = stepped_micros((*tv).tv_sec, (*tv).tv_usec);
        ((*tv).tv_sec, (*tv).tv_usec) = (micros.div_euclid(MICROS), micros.rem_euclid(MICROS));
    }
    result
}

/// Reads the wall clock in seconds, and adds the offset.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn time(tloc: *mut time_t) -> time_t {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if !tloc.is_null() {
        *tloc = now.tv_sec;
    }
    now.tv_sec
}

// ---- Sockets

/// Errors of accept(2) that do not mean that the listening socket is unusable.
const ACCEPT_ERRORS: [c_int; 5] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::EINTR,
    libc::EPROTO,
];
const SOCKET_ERRORS: [c_int; 2] = [libc::ENFILE, libc::ENOBUFS];
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// Of the reads and writes of a socket that fail, half are short. One in this many breaks its connection if this
/// process opened it; the remaining ones are interrupted.
const BREAK_ONE_IN: u64 = 8;
const BREAK_ERRORS: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// Accepts a connection, unless made to fail.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_fail(Word::Accept, Word::AcceptsFailed) {
        return fail_with(&ACCEPT_ERRORS);
    }
    type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    let accepted = real!(c"accept4", Accept)(fd, address, length, flags);
    set_outgoing(accepted, false);
    accepted
}

/// Waits for events, unless interrupted.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    epfd: c_int,
    events: *mut libc::epoll_event,
    max_events: c_int,
    timeout: c_int,
) -> c_int {
    if should_fail(Word::Wait, Word::WaitsInterrupted) {
        return fail_with(&[libc::EINTR]);
    }
    type Wait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    real!(c"epoll_wait", Wait)(epfd, events, max_events, timeout)
}

const CONTROL_ERRORS: [c_int; 2] = [libc::ENOMEM, libc::ENOSPC];

/// Changes the interest list of an epoll instance, unless made to fail.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    epfd: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation != libc::EPOLL_CTL_DEL && should_fail(Word::Control, Word::ControlsFailed) {
        return fail_with(&CONTROL_ERRORS);
    }
    type Control = unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int;
    real!(c"epoll_ctl", Control)(epfd, operation, fd, event)
}

/// Opens a socket, unless made to fail.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && should_fail(Word::Socket, Word::SocketsFailed) {
        return fail_with(&SOCKET_ERRORS);
    }
    real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    )(domain, kind, protocol)
}

/// Connects a socket, unless made to fail.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_ipv4_socket(fd) && should_fail(Word::Connect, Word::ConnectsFailed) {
        return fail_with(&CONNECT_ERRORS);
    }
    set_outgoing(fd, true);
    type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    real!(c"connect", Connect)(fd, address, length)
}

/// A fault of a read or write of a socket.
enum SocketFault {
    /// The call fails with this result.
    Error(ssize_t),
    /// The call transfers at most this many bytes.
    Short(size_t),
}

/// Decides at random whether a read or write of `length` bytes fails, and how.
fn socket_fault(fd: c_int, length: size_t, rate: Word, counter: Word) -> Option<SocketFault> {
    if length == 0 || value(rate) == 0 || !is_ipv4_socket(fd) || !should_fail(rate, counter) {
        return None;
    }
    Some(match random() % BREAK_ONE_IN {
        0 if is_outgoing(fd) => {
            // Later calls on a broken connection must fail, too.
            // SAFETY: shutdown(2) has no memory safety requirements.
            unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
            SocketFault::Error(fail_with(&BREAK_ERRORS) as ssize_t)
        }
        n if n % 2 == 0 => SocketFault::Error(fail_with(&[libc::EINTR]) as ssize_t),
        _ => SocketFault::Short(1 + (random() as usize) % length),
    })
}

/// Receives bytes, unless made to fail or to receive fewer.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match socket_fault(fd, length, Word::Receive, Word::ReceivesFailed) {
        Some(SocketFault::Error(result)) => return result,
        Some(SocketFault::Short(length)) => length,
        None => length,
    };
    type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    real!(c"recv", Receive)(fd, buffer, length, flags)
}

/// Sends bytes, unless made to fail or to send fewer.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match socket_fault(fd, length, Word::Send, Word::SendsFailed) {
        Some(SocketFault::Error(result)) => return result,
        Some(SocketFault::Short(length)) => length,
        None => length,
    };
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    real!(c"send", Send)(fd, buffer, length, flags)
}

// ---- Files

const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

/// Whether a write or sync fails, counted if so.
fn disk_should_fail(fd: c_int) -> bool {
    let fails = value(Word::Disk) != 0 && is_regular(fd);
    if fails {
        count(Word::DiskWritesFailed);
    }
    fails
}

/// Writes to a descriptor, unless it is a regular file and made to fail.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if disk_should_fail(fd) {
        return fail_with(&DISK_ERRORS) as ssize_t;
    }
    real!(
        c"write",
        unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t
    )(fd, buffer, length)
}

/// Syncs a file to disk, unless made to fail.
///
/// # Safety
/// The same requirements as for the C library's function.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if disk_should_fail(fd) {
        return fail_with(&DISK_ERRORS);
    }
    real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int)(fd)
}
