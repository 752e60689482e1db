//! Exchange of service levels between entries.
