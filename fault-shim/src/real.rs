//! The C library's own versions of the interposed functions.

use libc::{c_int, c_void, clockid_t, epoll_event, size_t, sockaddr, socklen_t, ssize_t, timespec};
use std::ffi::CStr;
use std::sync::OnceLock;

/// Returns the address of the next function with this name after this library's own, in the order of symbol
/// lookup.
fn lookup_next(name: &CStr) -> usize {
    // SAFETY: a `CStr` ends with a zero byte.
    let address = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    assert!(!address.is_null(), "the C library has no function {name:?}");
    address as usize
}

/// Defines a function that looks up a function of the C library and caches its address.
macro_rules! real_function {
    ($name:ident, $symbol:literal, fn($($argument:ty),*) -> $result:ty) => {
        /// Returns the C library's function of this name.
        pub fn $name() -> unsafe extern "C" fn($($argument),*) -> $result {
            static ADDRESS: OnceLock<usize> = OnceLock::new();
            let address = *ADDRESS.get_or_init(|| lookup_next($symbol));
            // SAFETY: the C library's function at this address has this signature.
            unsafe { std::mem::transmute::<usize, unsafe extern "C" fn($($argument),*) -> $result>(address) }
        }
    };
}

real_function!(recv, c"recv", fn(c_int, *mut c_void, size_t, c_int) -> ssize_t);
real_function!(send, c"send", fn(c_int, *const c_void, size_t, c_int) -> ssize_t);
real_function!(write, c"write", fn(c_int, *const c_void, size_t) -> ssize_t);
real_function!(accept4, c"accept4", fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int);
real_function!(socket, c"socket", fn(c_int, c_int, c_int) -> c_int);
real_function!(connect, c"connect", fn(c_int, *const sockaddr, socklen_t) -> c_int);
real_function!(epoll_wait, c"epoll_wait", fn(c_int, *mut epoll_event, c_int, c_int) -> c_int);
real_function!(epoll_ctl, c"epoll_ctl", fn(c_int, c_int, c_int, *mut epoll_event) -> c_int);
real_function!(clock_gettime, c"clock_gettime", fn(clockid_t, *mut timespec) -> c_int);
