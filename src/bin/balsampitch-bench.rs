//! The `balsampitch-bench` binary: runs experiments under load and faults and prints their results.

use std::alloc::{GlobalAlloc, Layout, System};

use balsampitch::bench::heap;

/// The system allocator, with a count of the live bytes.
struct CountingAllocator;

// SAFETY: every call is forwarded to the system allocator with its arguments unchanged; the
// counting accesses two atomics only, does not allocate and cannot panic.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        heap::record_alloc(layout.size());
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn alloc_zeroed(&self, layout: Layout) -> *mut u8 {
        heap::record_alloc(layout.size());
        // SAFETY: the caller upholds the contract of `alloc_zeroed`.
        unsafe { System.alloc_zeroed(layout) }
    }

    unsafe fn realloc(&self, ptr: *mut u8, layout: Layout, size: usize) -> *mut u8 {
        heap::record_dealloc(layout.size());
        heap::record_alloc(size);
        // SAFETY: the caller upholds the contract of `realloc`; `ptr` was allocated by `System`.
        unsafe { System.realloc(ptr, layout, size) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        heap::record_dealloc(layout.size());
        // SAFETY: the caller upholds the contract of `dealloc`; `ptr` was allocated by `System`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() -> std::process::ExitCode {
    balsampitch::cmd::bench::main()
}
