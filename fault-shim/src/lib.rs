//! A library for `LD_PRELOAD` that interposes system call wrappers of the C library and makes some calls fail
//! according to the plan in the environment (see [`fault_plan`]). Without a plan, calls are passed on
//! unchanged.
//!
//! It injects only faults that Linux documents, and only into the process that loads it; no descriptor, file
//! or clock outside of that process is affected. Reads and writes fail only on TCP connections over IPv4, so
//! that pipes and files of the process keep working. Writes of the log to standard error can fail as well.

mod decision;
mod real;

use decision::{draw_errno, draw_length, should_inject, wall_clock_offset_ms};
use fault_plan::SystemCallFault;
use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};

/// Conversion factor from milliseconds to nanoseconds.
const NANOS_PER_MILLI: i64 = 1_000_000;
/// Conversion factor from seconds to nanoseconds.
const NANOS_PER_SECOND: i64 = 1_000_000_000;
/// Maximum number of bytes that a shortened read or write transfers.
const MAX_SHORT_LENGTH: usize = 16;

/// Sets `errno` and returns -1, the result of a failed call.
fn fail(errno: c_int) -> c_int {
    // SAFETY: the pointer to the thread's `errno` is always valid.
    unsafe { *libc::__errno_location() = errno };
    -1
}

/// Returns whether a descriptor is a TCP socket over IPv4.
fn is_tcp(descriptor: c_int) -> bool {
    let option = |name: c_int| {
        let mut value: c_int = 0;
        let mut length = size_of::<c_int>() as socklen_t;
        let pointer = (&raw mut value).cast::<c_void>();
        // SAFETY: `value` and `length` are locals that outlive the call, and `length` is the size of `value`.
        let result =
            unsafe { libc::getsockopt(descriptor, libc::SOL_SOCKET, name, pointer, &raw mut length) };
        (result == 0).then_some(value)
    };
    option(libc::SO_DOMAIN) == Some(libc::AF_INET) && option(libc::SO_TYPE) == Some(libc::SOCK_STREAM)
}

/// Returns how many of the requested bytes a read or write may transfer.
fn allowed_length(kind: SystemCallFault, wanted: size_t) -> size_t {
    if wanted > 1 && should_inject(kind) {
        wanted.min(draw_length(MAX_SHORT_LENGTH))
    } else {
        wanted
    }
}

/// Interposes `recv` to interrupt or shorten reads.
///
/// # Safety
/// As for `recv`: `buffer` must have room for `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn recv(
    descriptor: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let mut length = length;
    if is_tcp(descriptor) {
        if should_inject(SystemCallFault::InterruptedRead) {
            return fail(libc::EINTR) as ssize_t;
        }
        length = allowed_length(SystemCallFault::ShortRead, length);
    }
    // SAFETY: the caller guarantees a valid buffer; the length has not increased.
    unsafe { real::recv()(descriptor, buffer, length, flags) }
}

/// Interposes `send` to interrupt or shorten writes, or make them fail.
///
/// # Safety
/// As for `send`: `buffer` must hold `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn send(
    descriptor: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    let mut length = length;
    if is_tcp(descriptor) {
        if should_inject(SystemCallFault::InterruptedWrite) {
            return fail(libc::EINTR) as ssize_t;
        }
        if should_inject(SystemCallFault::NoBufferForWrite) {
            return fail(libc::ENOBUFS) as ssize_t;
        }
        if should_inject(SystemCallFault::ZeroWrite) {
            return 0;
        }
        length = allowed_length(SystemCallFault::ShortWrite, length);
    }
    // SAFETY: the caller guarantees a valid buffer; the length has not increased.
    unsafe { real::send()(descriptor, buffer, length, flags) }
}

/// Interposes `write` to make writes of the log to standard error fail.
///
/// # Safety
/// As for `write`: `buffer` must hold `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn write(descriptor: c_int, buffer: *const c_void, length: size_t) -> ssize_t {
    if descriptor == libc::STDERR_FILENO && should_inject(SystemCallFault::FailedLog) {
        return fail(draw_errno(&[libc::ENOSPC, libc::EIO])) as ssize_t;
    }
    // SAFETY: the caller guarantees valid arguments, which are passed on unchanged.
    unsafe { real::write()(descriptor, buffer, length) }
}

/// Interposes `accept4` to make the acceptance of connections fail.
///
/// # Safety
/// As for `accept4`: `address` and `length` must be null or valid.
#[no_mangle]
pub unsafe extern "C" fn accept4(
    descriptor: c_int,
    address: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    if should_inject(SystemCallFault::FailedAccept) {
        const ERRORS: [c_int; 6] =
            [libc::ECONNABORTED, libc::ENFILE, libc::ENOBUFS, libc::EMFILE, libc::ENOMEM, libc::EINTR];
        return fail(draw_errno(&ERRORS));
    }
    // SAFETY: the caller guarantees valid arguments, which are passed on unchanged.
    unsafe { real::accept4()(descriptor, address, length, flags) }
}

/// Interposes `socket` to make the creation of IPv4 sockets fail.
///
/// # Safety
/// As for `socket`, which has no requirements.
#[no_mangle]
pub unsafe extern "C" fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int {
    if domain == libc::AF_INET && should_inject(SystemCallFault::FailedSocket) {
        return fail(draw_errno(&[libc::EMFILE, libc::ENFILE, libc::ENOBUFS]));
    }
    // SAFETY: the call has no pointer arguments.
    unsafe { real::socket()(domain, kind, protocol) }
}

/// Interposes `connect` to make connection attempts of TCP sockets fail.
///
/// # Safety
/// As for `connect`: `address` must point to `length` bytes.
#[no_mangle]
pub unsafe extern "C" fn connect(descriptor: c_int, address: *const sockaddr, length: socklen_t) -> c_int {
    if is_tcp(descriptor) && should_inject(SystemCallFault::FailedConnect) {
        return fail(draw_errno(&[libc::EADDRNOTAVAIL, libc::ENETUNREACH, libc::EINTR]));
    }
    // SAFETY: the caller guarantees valid arguments, which are passed on unchanged.
    unsafe { real::connect()(descriptor, address, length) }
}

/// Interposes `epoll_wait` to interrupt waits.
///
/// # Safety
/// As for `epoll_wait`: `events` must have room for `capacity` events.
#[no_mangle]
pub unsafe extern "C" fn epoll_wait(
    descriptor: c_int,
    events: *mut epoll_event,
    capacity: c_int,
    timeout: c_int,
) -> c_int {
    if should_inject(SystemCallFault::InterruptedWait) {
        return fail(libc::EINTR);
    }
    // SAFETY: the caller guarantees valid arguments, which are passed on unchanged.
    unsafe { real::epoll_wait()(descriptor, events, capacity, timeout) }
}

/// Interposes `epoll_ctl` to make the registration of TCP sockets fail.
///
/// # Safety
/// As for `epoll_ctl`: `event` must be null or valid.
#[no_mangle]
pub unsafe extern "C" fn epoll_ctl(
    poll: c_int,
    operation: c_int,
    descriptor: c_int,
    event: *mut epoll_event,
) -> c_int {
    if operation == libc::EPOLL_CTL_ADD
        && is_tcp(descriptor)
        && should_inject(SystemCallFault::FailedRegistration)
    {
        return fail(libc::ENOMEM);
    }
    // SAFETY: the caller guarantees valid arguments, which are passed on unchanged.
    unsafe { real::epoll_ctl()(poll, operation, descriptor, event) }
}

/// Interposes `clock_gettime` to step the wall clock. Other clocks are unaffected.
///
/// # Safety
/// As for `clock_gettime`: `time` must be valid.
#[no_mangle]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller guarantees valid arguments, which are passed on unchanged.
    let result = unsafe { real::clock_gettime()(clock, time) };
    if result == 0 && clock == libc::CLOCK_REALTIME {
        let offset = wall_clock_offset_ms();
        if offset != 0 {
            // SAFETY: the caller guarantees that the pointer is valid, and the call has set the time.
            let time = unsafe { &mut *time };
            let nanos = time.tv_sec * NANOS_PER_SECOND + time.tv_nsec + offset * NANOS_PER_MILLI;
            time.tv_sec = nanos.div_euclid(NANOS_PER_SECOND);
            time.tv_nsec = nanos.rem_euclid(NANOS_PER_SECOND);
        }
    }
    result
}
