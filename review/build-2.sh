#!/usr/bin/env bash
# Builds the rig of the second review: its stand-ins and its judge, from the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig-2/main.rs
