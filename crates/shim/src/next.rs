//! Looks up the function that one of this library replaces.

use std::ffi::CStr;

/// The next function of that name in the search order of the dynamic linker. It is looked up at
/// each call; the C library has a table for that.
///
/// # Safety
/// `F` must be the type of a pointer to that function.
pub(crate) unsafe fn next_symbol<F: Copy>(name: &CStr) -> F {
    // SAFETY: the name is NUL-terminated.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    if found.is_null() {
        // Without the function the process cannot continue, and nothing may be allocated here.
        std::process::abort();
    }
    assert!(size_of::<F>() == size_of_val(&found));
    // SAFETY: the pointer is not null, and the caller guarantees its type.
    unsafe { std::mem::transmute_copy(&found) }
}
