#!/bin/bash
# Builds the stand-in that the scripts of cases 6 to 10 start. It uses the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/world review/standins-2/main.rs
