//! Prints the measurements of the decisions under load and faults.

use std::alloc::{GlobalAlloc, Layout, System};

use balsampitch::bench::heap;

/// The system's allocator, with a count of live bytes.
struct Counting;

// SAFETY: every call goes to the system's allocator with its arguments unchanged; counting touches
// two atomics only, allocates nothing and cannot panic.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        heap::record_alloc(layout.size());
        // SAFETY: the caller keeps the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        heap::record_alloc(layout.size());
        // SAFETY: the caller keeps the contract of `alloc_zeroed`.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, place: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        heap::record_dealloc(layout.size());
        heap::record_alloc(size);
        // SAFETY: the caller keeps the contract of `realloc`; `place` came from `System`.
        unsafe { System.realloc(place, layout, size) }
    }

    unsafe fn dealloc(&self, place: *mut u8, layout: Layout) {
        heap::record_dealloc(layout.size());
        // SAFETY: the caller keeps the contract of `dealloc`; `place` came from `System`.
        unsafe { System.dealloc(place, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

fn main() -> std::process::ExitCode {
    balsampitch::cmd::bench::main()
}
