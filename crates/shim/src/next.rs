//! The function that a stand-in stands in for.

use std::ffi::CStr;

/// The next function of that name in the order of libraries. Looked up at each call: the C library keeps a table for it.
///
/// # Safety
/// `F` must be the type of a pointer to that function.
pub(crate) unsafe fn next<F: Copy>(name: &CStr) -> F {
    // SAFETY: the name ends with a zero byte.
    let found = unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) };
    if found.is_null() {
        // Without it nothing can go on, and nothing may be allocated here.
        std::process::abort();
    }
    assert!(size_of::<F>() == size_of_val(&found));
    // SAFETY: a pointer that is not null, and the caller says of what type.
    unsafe { std::mem::transmute_copy(&found) }
}
