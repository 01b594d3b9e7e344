#!/bin/bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, with the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/6/main.rs review/7/main.rs review/9/main.rs review/10/main.rs; do
    case_number=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -o "target/review-2/case-$case_number" "$source"
done
