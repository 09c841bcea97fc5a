#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O --crate-name standin -o target/review-3/standin review/standin-3/main.rs
