//! The admin address: `/healthz`, `/readyz` and `/status`.
