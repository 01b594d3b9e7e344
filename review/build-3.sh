#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/13. Needs only rustc.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -C opt-level=2 -o target/review-3/case review/common-3/main.rs
