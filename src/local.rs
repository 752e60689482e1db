//! A whole small fleet in one process, for a newcomer's laptop.
