//! Requests that crash their targets.
