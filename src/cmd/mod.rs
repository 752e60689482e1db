//! Command lines, a file for each binary.
