//! A preloaded library (`LD_PRELOAD`) for tests and soak runs. It steps the wall clock of one process and has its system
//! calls fail in the ways that Linux documents, as the control block says (see [`layout`]), and counts what it did. The
//! process under test knows nothing of it, and without a control block it changes nothing.
//!
//! Calls that a program makes without the C library (the poller's own) are out of its reach.

pub mod layout;

use layout::{Word, BYTES, CONTROL_VARIABLE};
use libc::{
    c_int, c_void, clockid_t, size_t, sockaddr, socklen_t, ssize_t, time_t, timespec, timeval,
};
use std::ffi::CStr;
use std::sync::atomic::{AtomicBool, AtomicPtr, AtomicU64, Ordering};

const MICROS: i64 = 1_000_000;
const MILLION: u64 = 1_000_000;

/// Where the control block is mapped; null before the first look, [`MISSING`] where there is none.
static CONTROL: AtomicPtr<AtomicU64> = AtomicPtr::new(std::ptr::null_mut());
/// Stands for a control block that is not there.
static MISSING: AtomicU64 = AtomicU64::new(0);
/// Random numbers drawn so far.
static DRAWS: AtomicU64 = AtomicU64::new(0);

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
    // SAFETY: a path that ends in NUL, a mapping of a size that is checked, never unmapped.
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
    // SAFETY: the mapping holds `WORDS` aligned words for as long as the process lives.
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

/// A number drawn from the seed and a counter (SplitMix64).
fn draw() -> u64 {
    let n = DRAWS.fetch_add(1, Ordering::Relaxed);
    let mut z = value(Word::Seed).wrapping_add((n + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Whether this call is to fail, counted where it does.
fn fails(rate: Word, counter: Word) -> bool {
    let rate = value(rate);
    let failed = rate > 0 && draw() % MILLION < rate;
    if failed {
        count(counter);
    }
    failed
}

fn fail_with(errors: &[c_int]) -> c_int {
    let error = errors[(draw() % errors.len() as u64) as usize];
    // SAFETY: the thread's own errno.
    unsafe { *libc::__errno_location() = error };
    -1
}

/// The next definition of a function, which is the C library's.
fn next<F: Copy>(cache: &AtomicPtr<c_void>, name: &CStr) -> F {
    let mut found = cache.load(Ordering::Relaxed);
    if found.is_null() {
        // SAFETY: a name that ends in NUL.
        found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
        cache.store(found, Ordering::Relaxed);
    }
    assert!(!found.is_null(), "the C library lacks a function");
    // SAFETY: each caller names the type of the function that it asks for.
    unsafe { std::mem::transmute_copy(&found) }
}

macro_rules! real {
    ($name:literal, $kind:ty) => {{
        static CACHE: AtomicPtr<c_void> = AtomicPtr::new(std::ptr::null_mut());
        next::<$kind>(&CACHE, $name)
    }};
}

/// Descriptors below this are told apart by who made their connection.
const DESCRIPTORS: usize = 4096;
/// Whether a descriptor's connection was made from here. Only those break: one that a client made is the client's, and a
/// break of it would be the client's loss.
static MADE_HERE: [AtomicBool; DESCRIPTORS] = [const { AtomicBool::new(false) }; DESCRIPTORS];

fn set_made_here(fd: c_int, made_here: bool) {
    if let Some(known) = usize::try_from(fd).ok().and_then(|fd| MADE_HERE.get(fd)) {
        known.store(made_here, Ordering::Relaxed);
    }
}
fn is_made_here(fd: c_int) -> bool {
    let known = usize::try_from(fd).ok().and_then(|fd| MADE_HERE.get(fd));
    known.is_some_and(|made_here| made_here.load(Ordering::Relaxed))
}

/// Whether this is a TCP socket: only those fail, never the pipes by which a process hears its signals.
fn is_tcp(fd: c_int) -> bool {
    let (mut domain, mut length): (c_int, socklen_t) = (0, 4);
    let target = std::ptr::addr_of_mut!(domain).cast();
    // SAFETY: room for one integer, whose size is told.
    let known =
        unsafe { libc::getsockopt(fd, libc::SOL_SOCKET, libc::SO_DOMAIN, target, &mut length) };
    known == 0 && domain == libc::AF_INET
}

fn is_regular(fd: c_int) -> bool {
    // SAFETY: plain data that the call fills.
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

/// Reads a clock; the wall clock is stepped.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, at: *mut timespec) -> c_int {
    let result = real!(
        c"clock_gettime",
        unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int
    )(clock, at);
    if result == 0 && (clock == libc::CLOCK_REALTIME || clock == libc::CLOCK_REALTIME_COARSE) {
        let nanos = (*at).tv_nsec;
        let micros = stepped_micros((*at).tv_sec, nanos / 1000);
        (*at).tv_sec = micros.div_euclid(MICROS);
        (*at).tv_nsec = micros.rem_euclid(MICROS) * 1000 + nanos % 1000;
    }
    result
}

/// Reads the wall clock, stepped.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn gettimeofday(at: *mut timeval, zone: *mut c_void) -> c_int {
    let result = real!(
        c"gettimeofday",
        unsafe extern "C" fn(*mut timeval, *mut c_void) -> c_int
    )(at, zone);
    if result == 0 && !at.is_null() {
        let micros = stepped_micros((*at).tv_sec, (*at).tv_usec);
        ((*at).tv_sec, (*at).tv_usec) = (micros.div_euclid(MICROS), micros.rem_euclid(MICROS));
    }
    result
}

/// Reads the wall clock in seconds, stepped.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn time(into: *mut time_t) -> time_t {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    clock_gettime(libc::CLOCK_REALTIME, &mut now);
    if !into.is_null() {
        *into = now.tv_sec;
    }
    now.tv_sec
}

// ---- Sockets

/// Errors of accept(2) that say nothing of the listener.
const ACCEPT_ERRORS: [c_int; 5] = [
    libc::ECONNABORTED,
    libc::ENFILE,
    libc::ENOBUFS,
    libc::EINTR,
    libc::EPROTO,
];
const SOCKET_ERRORS: [c_int; 2] = [libc::ENFILE, libc::ENOBUFS];
const CONNECT_ERRORS: [c_int; 3] = [libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::ENOBUFS];
/// Of a failing read or write of a socket: one in so many breaks a connection that was made from here, half of the rest are
/// interrupted and half are short.
const BREAKS: u64 = 8;
const BREAK_ERRORS: [c_int; 3] = [libc::ETIMEDOUT, libc::EHOSTUNREACH, libc::ECONNRESET];

/// Accepts a connection, or fails.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if fails(Word::Accept, Word::AcceptsFailed) {
        return fail_with(&ACCEPT_ERRORS);
    }
    type Accept = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    let accepted = real!(c"accept4", Accept)(fd, address, length, flags);
    set_made_here(accepted, false);
    accepted
}

/// Waits for events, or is interrupted.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    poller: c_int,
    events: *mut libc::epoll_event,
    most: c_int,
    timeout: c_int,
) -> c_int {
    if fails(Word::Wait, Word::WaitsInterrupted) {
        return fail_with(&[libc::EINTR]);
    }
    type Wait = unsafe extern "C" fn(c_int, *mut libc::epoll_event, c_int, c_int) -> c_int;
    real!(c"epoll_wait", Wait)(poller, events, most, timeout)
}

const CONTROL_ERRORS: [c_int; 2] = [libc::ENOMEM, libc::ENOSPC];

/// Changes what a poller watches, or fails.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poller: c_int,
    operation: c_int,
    fd: c_int,
    event: *mut libc::epoll_event,
) -> c_int {
    if operation != libc::EPOLL_CTL_DEL && fails(Word::Control, Word::ControlsFailed) {
        return fail_with(&CONTROL_ERRORS);
    }
    type Control = unsafe extern "C" fn(c_int, c_int, c_int, *mut libc::epoll_event) -> c_int;
    real!(c"epoll_ctl", Control)(poller, operation, fd, event)
}

/// Opens a socket, or fails.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && fails(Word::Socket, Word::SocketsFailed) {
        return fail_with(&SOCKET_ERRORS);
    }
    real!(
        c"socket",
        unsafe extern "C" fn(c_int, c_int, c_int) -> c_int
    )(domain, kind, protocol)
}

/// Connects a socket, or fails.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_tcp(fd) && fails(Word::Connect, Word::ConnectsFailed) {
        return fail_with(&CONNECT_ERRORS);
    }
    set_made_here(fd, true);
    type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    real!(c"connect", Connect)(fd, address, length)
}

/// What becomes of a read or write of so many bytes that is to fail: an error, or fewer bytes.
enum Failing {
    Error(ssize_t),
    Short(size_t),
}

fn failing(fd: c_int, length: size_t, rate: Word, counter: Word) -> Option<Failing> {
    if length == 0 || value(rate) == 0 || !is_tcp(fd) || !fails(rate, counter) {
        return None;
    }
    Some(match draw() % BREAKS {
        0 if is_made_here(fd) => {
            // A connection that is broken stays so.
            // SAFETY: a descriptor of the caller's.
            unsafe { libc::shutdown(fd, libc::SHUT_RDWR) };
            Failing::Error(fail_with(&BREAK_ERRORS) as ssize_t)
        }
        n if n % 2 == 0 => Failing::Error(fail_with(&[libc::EINTR]) as ssize_t),
        _ => Failing::Short(1 + (draw() as usize) % length),
    })
}

/// Receives bytes, or fails or receives fewer.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    into: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match failing(fd, length, Word::Receive, Word::ReceivesFailed) {
        Some(Failing::Error(result)) => return result,
        Some(Failing::Short(length)) => length,
        None => length,
    };
    type Receive = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    real!(c"recv", Receive)(fd, into, length, flags)
}

/// Sends bytes, or fails or sends fewer.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    from: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let length = match failing(fd, length, Word::Send, Word::SendsFailed) {
        Some(Failing::Error(result)) => return result,
        Some(Failing::Short(length)) => length,
        None => length,
    };
    type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    real!(c"send", Send)(fd, from, length, flags)
}

// ---- Files

const DISK_ERRORS: [c_int; 2] = [libc::ENOSPC, libc::EIO];

fn disk_fails(fd: c_int) -> bool {
    let fails = value(Word::Disk) != 0 && is_regular(fd);
    if fails {
        count(Word::DiskWritesFailed);
    }
    fails
}

/// Writes to a descriptor; writes to regular files may fail.
///
/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn write(fd: c_int, from: *const c_void, length: size_t) -> ssize_t {
    if disk_fails(fd) {
        return fail_with(&DISK_ERRORS) as ssize_t;
    }
    real!(
        c"write",
        unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t
    )(fd, from, length)
}

/// # Safety
/// As the C library's.
#[no_mangle]
pub unsafe extern "C" fn fsync(fd: c_int) -> c_int {
    if disk_fails(fd) {
        return fail_with(&DISK_ERRORS);
    }
    real!(c"fsync", unsafe extern "C" fn(c_int) -> c_int)(fd)
}
