//! The shared key between the system's processes.
