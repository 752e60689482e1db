//! The measurements of `balsampitch-bench`.
