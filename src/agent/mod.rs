//! The agent: the only way to its target.
