#!/bin/sh
# Builds the stand-ins of the review's scripts, with the compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/play review/standin/main.rs
