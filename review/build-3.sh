#!/bin/bash
# Builds the stand-ins and clients of the review's cases 11 to 15. They use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness review/standins-3/main.rs
