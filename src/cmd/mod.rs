//! Command lines, a file for each binary.

pub mod bench;
