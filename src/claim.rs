//! Claims on idempotency keys, decided by the log's offsets.
